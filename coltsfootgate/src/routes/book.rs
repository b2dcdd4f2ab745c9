//! Records the grants that this entry instance holds.

use std::collections::HashMap;

use coltsfootgate_core::owner::HeldGrant;
use coltsfootgate_core::prelude::{GrantId, PoolId};

use super::GrantSource;

/// A request of this entry instance that was sent to an endpoint, with its grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseEntry {
    /// The pool.
    pub pool: PoolId,
    /// The grant.
    pub held: HeldGrant,
    /// Where the grant came from.
    pub source: GrantSource,
}

/// All grants that this entry instance holds, so that it can announce them to a new owner.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: HashMap<GrantId, LeaseEntry>,
}

impl LeaseTable {
    /// Adds a grant.
    pub fn insert(&mut self, lease: LeaseEntry) {
        self.leases.insert(lease.held.grant, lease);
    }

    /// Removes a grant that was returned.
    pub fn remove(&mut self, grant: GrantId) {
        self.leases.remove(&grant);
    }

    /// Whether a grant is held that an owner issued.
    pub fn is_owned(&self, grant: GrantId) -> bool {
        let lease = self.leases.get(&grant);
        lease.is_some_and(|lease| matches!(lease.source, GrantSource::Owner(_)))
    }

    /// Returns the grants issued by owners, not those from the fallback share or without an owner.
    pub fn owned(&self) -> impl Iterator<Item = &LeaseEntry> {
        self.leases.values().filter(|lease| matches!(lease.source, GrantSource::Owner(_)))
    }
}
