//! Other instances as a source of the tree.

use bytes::Bytes;

use coltsfootgate_core::head::TreeHead;
use coltsfootgate_core::ids::InstanceId;

/// A peer gave no usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerFetchError;

/// Asks other instances for the tree that they have in force.
// Futures stay on the thread that made them.
#[allow(async_fn_in_trait)]
pub trait TreePeers: Clone + 'static {
    /// The head in force at a peer; `None` if it has none.
    async fn head(&self, peer: &InstanceId) -> Result<Option<TreeHead>, PeerFetchError>;

    /// A value of the tree in force at a peer, by digest; `None` if it does not have it.
    async fn object(
        &self,
        peer: &InstanceId,
        digest: &str,
    ) -> Result<Option<Bytes>, PeerFetchError>;
}

/// Stands for the peers of an instance that has none.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTreePeers;

impl TreePeers for NoTreePeers {
    async fn head(&self, _peer: &InstanceId) -> Result<Option<TreeHead>, PeerFetchError> {
        Err(PeerFetchError)
    }

    async fn object(
        &self,
        _peer: &InstanceId,
        _digest: &str,
    ) -> Result<Option<Bytes>, PeerFetchError> {
        Err(PeerFetchError)
    }
}
