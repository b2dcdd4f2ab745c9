//! The interface to other instances as sources of the settings tree.

use bytes::Bytes;

use coltsfootgate_core::head::TreeHead;
use coltsfootgate_core::ids::InstanceId;

/// A peer did not reply, or its reply was not usable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerFetchError;

/// Fetches the tree in force on other instances.
// The runtime has one thread, so the futures need not be `Send`.
#[allow(async_fn_in_trait)]
pub trait TreePeers: Clone + 'static {
    /// Fetches the head in force on a peer; `None` if it has none.
    async fn head(&self, peer: &InstanceId) -> Result<Option<TreeHead>, PeerFetchError>;

    /// Fetches a value of the tree in force on a peer, by digest; `None` if the peer does not have
    /// it.
    async fn object(
        &self,
        peer: &InstanceId,
        digest: &str,
    ) -> Result<Option<Bytes>, PeerFetchError>;
}

/// The implementation for an instance without peers, which fails every call.
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
