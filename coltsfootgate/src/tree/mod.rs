//! The settings tree in force, kept up to date from the platform's store and from peers.

mod load;
mod slices;
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
use coltsfootgate_core::freshness::{SettingsFreshness, SettingsStatement, VersionProof};
use coltsfootgate_core::head::{HeadEvent, TreeHead};
use coltsfootgate_core::ids::{ConfigVersion, InstanceId};
use coltsfootgate_core::settings::ConnectionSettings;

use crate::clock;

pub use self::slices::{SlicePacer, build_tree};
pub use self::source::{NoTreePeers, PeerFetchError, TreePeers};
pub use self::task::TreeTask;

/// The immutable values that make up a tree, by digest.
pub type TreeObjects = BTreeMap<ContentDigest, Bytes>;

/// A settings tree that is or was in force on this instance.
pub struct ActiveTree {
    /// The version of the tree.
    pub version: ConfigVersion,
    /// The head value that refers to the tree.
    pub head: TreeHead,
    /// The settings.
    pub tree: Rc<ConfigTree>,
    /// The values that the tree was parsed from, for peers that cannot reach the store.
    pub objects: TreeObjects,
}

impl Debug for ActiveTree {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ActiveTree").field("head", &self.head).finish_non_exhaustive()
    }
}

/// Shared access to the tree in force and to the [`TreeTask`]; clones share the same state.
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

    /// Limits on callers' connections from the settings; empty before the first tree is in force.
    pub fn connections(&self) -> ConnectionSettings {
        self.current().map(|active| active.tree.connections()).unwrap_or_default()
    }

    /// Time since the tree in force was last confirmed as the newest; `None` if it never was.
    pub fn age(&self) -> Option<Duration> {
        self.statement().age
    }

    /// The version of the tree in force and the time since it was last confirmed, as one value.
    pub fn statement(&self) -> SettingsStatement {
        let version = self.0.current.borrow().as_ref().map(|active| active.version);
        self.0.freshness.borrow().statement(version, clock::boot_time())
    }

    /// Records a proof that a version was the newest one.
    pub fn record_proof(&self, proof: VersionProof) {
        self.0.freshness.borrow_mut().record(proof);
    }

    /// Subscribes to the tree in force and to each one that replaces it.
    pub fn subscribe(&self) -> UnboundedReceiver<Rc<ActiveTree>> {
        let (sender, receiver) = unbounded();
        if let Some(tree) = self.current() {
            let _ = sender.unbounded_send(tree);
        }
        self.0.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// Notifies the task that a version may have been written to the store.
    pub fn hint(&self, version: ConfigVersion) {
        self.send(HeadEvent::VersionHint(version));
    }

    /// Notifies the task that a version is in force on a peer.
    pub fn report_peer_version(&self, peer: InstanceId, version: ConfigVersion) {
        self.send(HeadEvent::PeerVersion(peer, version));
    }

    /// Replaces the list of peers from which the task may fetch the tree.
    pub fn update_peers(&self, peers: Vec<InstanceId>) {
        self.send(HeadEvent::PeersListed(peers));
    }

    /// A value of the tree in force, by digest, for a peer.
    pub fn object(&self, digest: &str) -> Option<Bytes> {
        self.0.current.borrow().as_ref()?.objects.get(digest).cloned()
    }

    /// Puts a tree in force and publishes it, if its version is above the current one.
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
