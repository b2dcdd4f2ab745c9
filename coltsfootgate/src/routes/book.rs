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
    /// Whether the owner of the endpoint was told of the grant, whatever its source.
    pub is_announced: bool,
}

impl LeaseEntry {
    /// Whether the request takes a slot that an owner gives out, and not only the endpoint's connection.
    fn is_counted(&self) -> bool {
        self.source != GrantSource::Ungranted
    }
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
    pub fn remove(&mut self, grant: GrantId) -> Option<LeaseEntry> {
        self.leases.remove(&grant)
    }

    /// Whether a grant is held that its endpoint's owner counts.
    pub fn is_counted(&self, grant: GrantId) -> bool {
        self.leases.get(&grant).is_some_and(LeaseEntry::is_counted)
    }

    /// Returns the grants that the owners of their endpoints count, or will.
    pub fn counted_mut(&mut self) -> impl Iterator<Item = &mut LeaseEntry> {
        self.leases.values_mut().filter(|lease| lease.is_counted())
    }
}
