//! Tracks which instances are live, from the platform's instance list and the peers' heartbeats.

mod list;
mod task;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_channel::oneshot;
use serde_json::Value;

use coltsfootgate_core::ids::{InstanceId, ZoneName};
use coltsfootgate_core::membership::PeerHeartbeat;
use coltsfootgate_core::rendezvous::OwnerTable;
use coltsfootgate_core::routing::OwnerLocation;
use coltsfootgate_wire::{PeerReply, PoolPressure};

use self::list::ListedMembers;
pub use self::task::MembersTask;

/// The instances of the region that may own anything: those that this instance considers live or, while there
/// is none, those that are leaving.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// Address and zone of each of these instances, which may include this one.
    pub locations: Vec<OwnerLocation>,
    /// Assigns owners among these instances.
    pub owners: OwnerTable,
    /// The live instances, which may include this one.
    pub live: OwnerTable,
    /// The instances that are leaving, which may include this one; they answer until they have left.
    pub leaving: OwnerTable,
    /// Whether every listed instance was heard, or was silent for so long that it counts as dead.
    pub is_complete: bool,
    /// Number of listed instances that were neither heard nor given up; `None` before the list was read.
    pub unheard: Option<usize>,
    /// Addresses of the endpoints that the platform lists as leaving.
    pub leaving_endpoints: BTreeSet<Arc<str>>,
}

impl MemberView {
    /// The other instances that answer, leaving ones included: those that may know what is not stored.
    pub fn answering(&self, own: &InstanceId) -> Vec<&InstanceId> {
        let all = self.live.instances().chain(self.leaving.instances());
        all.filter(|id| *id != own).collect()
    }

    /// The zone of an instance; `None` if it is none of these.
    pub fn zone(&self, instance: &InstanceId) -> Option<&ZoneName> {
        self.locations
            .iter()
            .find(|location| location.owner == *instance)
            .map(|location| &location.zone)
    }
}

/// A change that is published to the subscribers of a [`MembersHandle`].
#[derive(Clone, Debug)]
pub enum MemberChange {
    /// A new view replaces the previous one.
    View(Rc<MemberView>),
    /// An instance is treated as failed, and its in-memory state counts as lost.
    Lost(InstanceId),
    /// An instance was restarted, and the in-memory state of its previous process is lost.
    Restarted(InstanceId),
    /// An instance reported the load of the endpoints that it owns, by pool.
    Pressure(InstanceId, Vec<PoolPressure>),
}

/// Input of the [`MembersTask`].
#[derive(Debug)]
pub(crate) enum MemberMessage {
    /// A peer sent a heartbeat; `reply` takes the heartbeat that answers it.
    Heartbeat {
        heartbeat: PeerHeartbeat,
        pressures: Vec<PoolPressure>,
        reply: oneshot::Sender<PeerReply>,
    },
    /// A peer replied to a heartbeat from this instance with its own.
    HeartbeatReply { heartbeat: PeerHeartbeat, pressures: Vec<PoolPressure> },
    /// A peer asks whether this instance hears from another one.
    AskAbout { about: InstanceId, reply: oneshot::Sender<PeerReply> },
    /// The instance `by` answered whether it hears from the instance `about`.
    ReachabilityReport { about: InstanceId, by: InstanceId, heard: bool },
    /// The platform's instance list was read.
    Listed(ListedMembers),
    /// This instance is shutting down; the sender is notified once the heartbeats that announce it
    /// to the neighbours were replied to or have failed.
    Leave(oneshot::Sender<()>),
}

/// Shared access to the live instances and to the [`MembersTask`]; clones share the same state.
#[derive(Clone)]
pub struct MembersHandle(Rc<MembersShared>);

struct MembersShared {
    messages: UnboundedSender<MemberMessage>,
    view: RefCell<Rc<MemberView>>,
    subscribers: RefCell<Vec<UnboundedSender<MemberChange>>>,
    pressures: RefCell<Vec<PoolPressure>>,
    status: RefCell<Value>,
}

impl MembersHandle {
    /// Creates a handle with an empty view, and the receiver for its task.
    pub(crate) fn new() -> (Self, UnboundedReceiver<MemberMessage>) {
        let (messages, receiver) = unbounded();
        let shared = MembersShared {
            messages,
            view: RefCell::default(),
            subscribers: RefCell::default(),
            pressures: RefCell::default(),
            status: RefCell::default(),
        };
        (Self(Rc::new(shared)), receiver)
    }

    /// The current view.
    pub fn view(&self) -> Rc<MemberView> {
        self.0.view.borrow().clone()
    }

    /// Subscribes to changes; the first one received is the current view.
    pub fn subscribe(&self) -> UnboundedReceiver<MemberChange> {
        let (sender, receiver) = unbounded();
        let _ = sender.unbounded_send(MemberChange::View(self.view()));
        self.0.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// Sets the load of the endpoints owned here, which later heartbeats report.
    pub fn set_pressures(&self, pressures: Vec<PoolPressure>) {
        *self.0.pressures.borrow_mut() = pressures;
    }

    /// Announces to the neighbours that this instance is leaving, and waits for their replies or the
    /// timeout.
    pub async fn leave(&self) {
        let (reply, announced) = oneshot::channel();
        self.send(MemberMessage::Leave(reply));
        let _ = announced.await;
    }

    /// All known instances as JSON, for the status page.
    pub fn status(&self) -> Value {
        self.0.status.borrow().clone()
    }

    pub(crate) fn send(&self, message: MemberMessage) {
        // Fails only while the process is ending.
        let _ = self.0.messages.unbounded_send(message);
    }

    fn pressures(&self) -> Vec<PoolPressure> {
        self.0.pressures.borrow().clone()
    }

    fn publish(&self, change: MemberChange) {
        if let MemberChange::View(view) = &change {
            *self.0.view.borrow_mut() = view.clone();
        }
        self.0
            .subscribers
            .borrow_mut()
            .retain(|subscriber| subscriber.unbounded_send(change.clone()).is_ok());
    }

    fn set_status(&self, status: Value) {
        *self.0.status.borrow_mut() = status;
    }
}
