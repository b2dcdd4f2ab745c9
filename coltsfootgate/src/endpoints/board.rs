//! The replica roster, shared between the tasks of this instance.

use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coltsfootgate_core::ids::EndpointId;
use coltsfootgate_core::roster::{
    ReplicaChange, ReplicaRoster, ReplicaSnapshot, RosterEvent, SoleVersion,
};

use crate::clock;

/// The replicas that may serve requests; clones share the same roster.
#[derive(Clone, Debug, Default)]
pub struct SharedRoster(Rc<RefCell<ReplicaRoster>>);

impl SharedRoster {
    /// The replicas known here, for another instance.
    pub fn snapshot(&self) -> ReplicaSnapshot {
        self.0.borrow().snapshot()
    }

    /// Whether the platform's list of endpoints is unreachable, so that peers are polled instead.
    pub fn is_source_lost(&self) -> bool {
        self.0.borrow().is_source_lost()
    }

    /// The software version of all replicas of a pool that were listed within the last `span`, if
    /// there was only one.
    pub fn sole_version(&self, pool: &str, span: Duration) -> Option<SoleVersion> {
        self.0.borrow().sole_version(pool, span, clock::now())
    }

    /// Borrows the roster, for the task that updates it.
    pub(super) fn borrow(&self) -> Ref<'_, ReplicaRoster> {
        self.0.borrow()
    }

    /// Applies an event and returns the endpoints that changed.
    pub(super) fn handle(
        &self,
        event: RosterEvent,
        now: Instant,
    ) -> Vec<(EndpointId, ReplicaChange)> {
        self.0.borrow_mut().handle(event, now)
    }
}
