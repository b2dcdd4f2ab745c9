//! The tree of settings in force, followed from the platform's store and from peers.

mod load;
mod source;
mod task;
#[cfg(test)]
mod tests;
mod watch;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Debug, Formatter};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};

use coltsfootgate_config::{ConfigTree, ContentDigest};
use coltsfootgate_core::freshness::{SettingsFreshness, VersionProof};
use coltsfootgate_core::head::{HeadEvent, TreeHead};
use coltsfootgate_core::ids::{ConfigVersion, InstanceId};
use coltsfootgate_core::settings::ConnectionSettings;

use crate::clock;

pub use self::source::{NoTreePeers, PeerFetchError, TreePeers};
pub use self::task::TreeTask;

/// The immutable values that a tree is made of, by digest.
pub type TreeObjects = BTreeMap<ContentDigest, Bytes>;

/// A tree of settings in force here.
pub struct ActiveTree {
    /// The version.
    pub version: ConfigVersion,
    /// The head value that names the tree.
    pub head: TreeHead,
    /// The settings.
    pub tree: Rc<ConfigTree>,
    /// The values that the tree was read from, for peers that cannot reach the store.
    pub objects: TreeObjects,
}

impl Debug for ActiveTree {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ActiveTree").field("head", &self.head).finish_non_exhaustive()
    }
}

/// Gives out the tree in force and takes news about versions; clones share the same tree.
#[derive(Clone, Debug)]
pub struct TreeHandle(Rc<TreeShared>);

#[derive(Debug)]
struct TreeShared {
    freshness: RefCell<SettingsFreshness>,
    current: RefCell<Option<Rc<ActiveTree>>>,
    subscribers: RefCell<Vec<UnboundedSender<Rc<ActiveTree>>>>,
    events: UnboundedSender<HeadEvent>,
}

impl TreeHandle {
    /// Creates a handle without a tree, and the receiver of the events for its task.
    pub fn new() -> (Self, UnboundedReceiver<HeadEvent>) {
        let (events, receiver) = unbounded();
        let (freshness, current) = (RefCell::default(), RefCell::default());
        let subscribers = RefCell::default();
        (Self(Rc::new(TreeShared { freshness, current, subscribers, events })), receiver)
    }

    /// The tree in force, if there is one.
    pub fn current(&self) -> Option<Rc<ActiveTree>> {
        self.0.current.borrow().clone()
    }

    /// Bounds on callers' connections; none before the first tree.
    pub fn connections(&self) -> ConnectionSettings {
        self.current().map(|active| active.tree.connections()).unwrap_or_default()
    }

    /// How long ago the tree in force was proved to be the newest; `None` if it never was.
    pub fn age(&self) -> Option<Duration> {
        let version = self.current()?.version;
        self.0.freshness.borrow().age(version, clock::boot_time())
    }

    /// Takes in a proof that a version was the newest one.
    pub fn record_proof(&self, proof: VersionProof) {
        self.0.freshness.borrow_mut().record(proof);
    }

    /// Receives the tree in force and every one that comes into force later.
    pub fn subscribe(&self) -> UnboundedReceiver<Rc<ActiveTree>> {
        let (sender, receiver) = unbounded();
        if let Some(tree) = self.current() {
            let _ = sender.unbounded_send(tree);
        }
        self.0.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// Tells that a version is said to be in the store.
    pub fn hint(&self, version: ConfigVersion) {
        self.send(HeadEvent::Hinted(version));
    }

    /// Tells that a peer has a version in force.
    pub fn report_peer_version(&self, peer: InstanceId, version: ConfigVersion) {
        self.send(HeadEvent::PeerVersion(peer, version));
    }

    /// Tells which other instances the platform lists.
    pub fn update_peers(&self, peers: Vec<InstanceId>) {
        self.send(HeadEvent::Listed(peers));
    }

    /// A value of the tree in force, for a peer.
    pub fn object(&self, digest: &str) -> Option<Bytes> {
        self.0.current.borrow().as_ref()?.objects.get(digest).cloned()
    }

    /// Puts a tree in force, unless its version is not above the present one.
    pub(crate) fn publish(&self, tree: Rc<ActiveTree>) {
        let version = self.current().map_or(0, |current| current.version);
        if tree.version <= version {
            return;
        }
        *self.0.current.borrow_mut() = Some(tree.clone());
        self.0
            .subscribers
            .borrow_mut()
            .retain(|subscriber| subscriber.unbounded_send(tree.clone()).is_ok());
    }

    fn send(&self, event: HeadEvent) {
        // Fails only while the process is ending.
        let _ = self.0.events.unbounded_send(event);
    }
}
