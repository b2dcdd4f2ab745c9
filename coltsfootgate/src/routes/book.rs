//! The grants that this entry holds.

use std::collections::HashMap;

use coltsfootgate_core::owner::HeldGrant;
use coltsfootgate_core::prelude::{GrantId, PoolId};

use super::AskPlace;

/// One request of this entry at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseEntry {
    /// The pool.
    pub pool: PoolId,
    /// The grant.
    pub held: HeldGrant,
    /// Who gave it.
    pub place: AskPlace,
}

/// All grants that this entry holds, so that a new owner can be told of them.
#[derive(Debug, Default)]
pub struct LeaseBook {
    leases: HashMap<GrantId, LeaseEntry>,
}

impl LeaseBook {
    /// Notes a grant.
    pub fn note(&mut self, lease: LeaseEntry) {
        self.leases.insert(lease.held.grant, lease);
    }

    /// Forgets a grant that was given back.
    pub fn remove(&mut self, grant: GrantId) {
        self.leases.remove(&grant);
    }

    /// The grants that an owner counts.
    pub fn owned(&self) -> impl Iterator<Item = &LeaseEntry> {
        self.leases.values().filter(|lease| matches!(lease.place, AskPlace::Owner(_)))
    }
}
