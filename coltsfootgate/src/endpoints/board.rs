//! The replica roster, shared between the tasks of this instance.

use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::time::Instant;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};

use coltsfootgate_core::ids::{EndpointId, PoolId};
use coltsfootgate_core::roster::{
    ReplicaAnnouncement, ReplicaChange, ReplicaRoster, ReplicaSnapshot, RosterEvent,
};
use coltsfootgate_core::stream::StreamOrigin;

/// The replicas that may serve requests; clones share the same roster.
#[derive(Clone, Debug)]
pub struct SharedRoster(Rc<RosterState>);

#[derive(Debug)]
struct RosterState {
    roster: RefCell<ReplicaRoster>,
    events: UnboundedSender<RosterEvent>,
}

impl SharedRoster {
    /// Creates an empty roster, and the receiver of the events for the task that updates it.
    pub fn new() -> (Self, UnboundedReceiver<RosterEvent>) {
        let (events, receiver) = unbounded();
        let state = RosterState { roster: RefCell::default(), events };
        (Self(Rc::new(state)), receiver)
    }

    /// Reports that an endpoint said in an answer that it is leaving.
    pub fn report_leaving(&self, endpoint: EndpointId) {
        // Fails only while the process is ending.
        let _ = self.0.events.unbounded_send(RosterEvent::SaidLeaving(endpoint));
    }

    /// Whether an endpoint is known to be leaving, or has left.
    pub fn has_left(&self, endpoint: &EndpointId) -> bool {
        self.0.roster.borrow().has_left(endpoint)
    }

    /// The replicas of a pool that serve and are not leaving.
    pub fn serving(&self, pool: &PoolId) -> Vec<ReplicaAnnouncement> {
        self.0.roster.borrow().serving(pool).cloned().collect()
    }

    /// The replicas known here, for another instance, with the listed `origins` of streams.
    pub fn snapshot(&self, origins: Vec<StreamOrigin>) -> ReplicaSnapshot {
        self.0.roster.borrow().snapshot(origins)
    }

    /// Whether the platform's list of endpoints is unreachable, so that peers are polled instead.
    pub fn is_source_lost(&self) -> bool {
        self.0.roster.borrow().is_source_lost()
    }

    /// Borrows the roster, for the task that updates it.
    pub(super) fn borrow(&self) -> Ref<'_, ReplicaRoster> {
        self.0.roster.borrow()
    }

    /// The sender of events to the task.
    pub(super) fn events(&self) -> UnboundedSender<RosterEvent> {
        self.0.events.clone()
    }

    /// Applies an event and returns the endpoints that changed.
    pub(super) fn handle(
        &self,
        event: RosterEvent,
        now: Instant,
    ) -> Vec<(EndpointId, ReplicaChange)> {
        self.0.roster.borrow_mut().handle(event, now)
    }
}
