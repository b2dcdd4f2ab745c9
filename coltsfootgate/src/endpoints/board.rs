//! The replicas that announced themselves, as this instance knows them.

use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::time::Instant;

use coltsfootgate_core::ids::EndpointId;
use coltsfootgate_core::roster::{ReplicaChange, ReplicaRoster, ReplicaSnapshot, RosterEvent};

/// Gives out what is known; clones share the same roster.
#[derive(Clone, Debug, Default)]
pub struct SharedRoster(Rc<RefCell<ReplicaRoster>>);

impl SharedRoster {
    /// What is known now, for a peer.
    pub fn snapshot(&self) -> ReplicaSnapshot {
        self.0.borrow().snapshot()
    }

    /// Whether the platform's list does not answer, so that peers have to be asked.
    pub fn is_source_lost(&self) -> bool {
        self.0.borrow().is_source_lost()
    }

    /// The roster, for the task that keeps it.
    pub(super) fn borrow(&self) -> Ref<'_, ReplicaRoster> {
        self.0.borrow()
    }

    /// Takes an event in; gives the replicas whose place changed.
    pub(super) fn handle(
        &self,
        event: RosterEvent,
        now: Instant,
    ) -> Vec<(EndpointId, ReplicaChange)> {
        self.0.borrow_mut().handle(event, now)
    }
}
