//! Which instances are live, by the platform's list and the peers' heartbeats.

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

/// The live instances of this instance's region, as it knows them.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// The instances with their zones, this one included unless it is leaving.
    pub places: Vec<OwnerLocation>,
    /// Which of them owns what.
    pub owners: OwnerTable,
    /// Addresses of endpoints that the platform lists as leaving.
    pub leaving_endpoints: BTreeSet<Arc<str>>,
}

impl MemberView {
    /// The zone of a live instance.
    pub fn zone(&self, instance: &InstanceId) -> Option<&ZoneName> {
        self.places.iter().find(|place| place.owner == *instance).map(|place| &place.zone)
    }
}

/// News about instances.
#[derive(Clone, Debug)]
pub enum MemberChange {
    /// The view is another one now.
    View(Rc<MemberView>),
    /// An instance is gone, and nothing that it held is left.
    Lost(InstanceId),
    /// An instance began a new life and holds nothing from the one before.
    Reborn(InstanceId),
    /// An instance told how busy its owned endpoints are.
    Pressure(InstanceId, Vec<PoolPressure>),
}

/// What the task is told.
#[derive(Debug)]
pub(crate) enum MemberMessage {
    /// A peer sent a heartbeat and waits for one.
    Heartbeat {
        heartbeat: PeerHeartbeat,
        pressures: Vec<PoolPressure>,
        reply: oneshot::Sender<PeerReply>,
    },
    /// A peer answered a heartbeat.
    Answered { heartbeat: PeerHeartbeat, pressures: Vec<PoolPressure> },
    /// A peer asks whether an instance is heard.
    AskAbout { about: InstanceId, reply: oneshot::Sender<PeerReply> },
    /// A peer answered whether an instance is heard.
    Vouched { about: InstanceId, by: InstanceId, heard: bool },
    /// The platform gave its list.
    Listed(ListedMembers),
    /// This instance leaves; the reply comes when the neighbours were told.
    Leave(oneshot::Sender<()>),
}

/// Gives out the live instances; clones share the same view.
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
    /// Makes a handle that knows nobody, and the receiver for its task.
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

    /// The live instances as they are known now.
    pub fn view(&self) -> Rc<MemberView> {
        self.0.view.borrow().clone()
    }

    /// Receives the present view and all news after it.
    pub fn subscribe(&self) -> UnboundedReceiver<MemberChange> {
        let (sender, receiver) = unbounded();
        let _ = sender.unbounded_send(MemberChange::View(self.view()));
        self.0.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// Sets what the next heartbeats tell of the endpoints owned here.
    pub fn set_pressures(&self, pressures: Vec<PoolPressure>) {
        *self.0.pressures.borrow_mut() = pressures;
    }

    /// Announces that this instance leaves, and waits until its neighbours were told.
    pub async fn leave(&self) {
        let (reply, told) = oneshot::channel();
        self.tell(MemberMessage::Leave(reply));
        let _ = told.await;
    }

    /// All known instances, for status pages.
    pub fn status(&self) -> Value {
        self.0.status.borrow().clone()
    }

    pub(crate) fn tell(&self, message: MemberMessage) {
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
