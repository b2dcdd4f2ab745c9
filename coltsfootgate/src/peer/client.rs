//! Client side of the calls between instances, with one connection per peer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_channel::oneshot;

use coltsfootgate_core::head::TreeHead;
use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_wire::{ForwardMessage, PeerReply, PeerRequest, encode_request};

use super::link::{LinkCall, PeerLink};
use super::{ForwardedAnswer, PeerError, PeerIdentity};
use crate::clock;
use crate::metrics::DaemonMetrics;
use crate::transfer::{MemoryAccount, MemoryPart, MemoryUse};
use crate::tree::{PeerFetchError, TreePeers};

/// Timeout of fetching the head or a value of the tree from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls other instances; clones share the same connections.
#[derive(Clone)]
pub struct PeerHandle(Rc<PeerShared>);

struct PeerShared {
    identity: PeerIdentity,
    metrics: DaemonMetrics,
    /// The memory for answers that peers forward.
    memory: MemoryPart,
    links: RefCell<HashMap<InstanceId, PeerLinkHandle>>,
}

/// The connection to a peer, as its callers see it.
struct PeerLinkHandle {
    calls: UnboundedSender<LinkCall>,
    /// Whether the peer does not answer pings.
    is_silent: Rc<Cell<bool>>,
}

impl PeerHandle {
    /// Creates a handle without connections.
    pub fn new(identity: PeerIdentity, metrics: DaemonMetrics, memory: &MemoryAccount) -> Self {
        let memory = memory.part(MemoryUse::ForwardedAnswers).clone();
        Self(Rc::new(PeerShared { identity, metrics, memory, links: RefCell::default() }))
    }

    /// The memory for answers that peers forward.
    pub fn forwarded_memory(&self) -> &MemoryPart {
        &self.0.memory
    }

    /// Sends a request to an instance and waits for its reply until the deadline.
    ///
    /// Dropping the future resets the stream, which cancels the call at the instance.
    ///
    /// # Errors
    ///
    /// After [`PeerError::Unreachable`] the instance never received the request; after any other
    /// error it may have processed it.
    pub async fn call(
        &self,
        instance: &InstanceId,
        request: PeerRequest,
        deadline: Instant,
    ) -> Result<PeerReply, PeerError> {
        let now = clock::now();
        let kind = request.name();
        let message = Bytes::from(encode_request(request, now)?);
        self.0.metrics.peer_message_sent(kind, message.len());
        let (reply, receiver) = oneshot::channel();
        self.send(instance, LinkCall::Message(message, reply));
        let time_left = deadline.saturating_duration_since(now);
        let result = match monoio::time::timeout(time_left, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(PeerError::Broken("connection closed".to_owned())),
            Err(_) => Err(PeerError::TimedOut),
        };
        if let Err(error) = &result {
            self.0.metrics.peer_fault(error.name());
        }
        result
    }

    /// Sends an encoded request that an instance is asked to forward, and waits for its reply.
    ///
    /// Dropping the future resets the stream, which cancels the request at the endpoint.
    ///
    /// # Errors
    ///
    /// After [`PeerError::Unreachable`] the instance never received the request, and after
    /// [`PeerError::MemoryFull`] it does not forward it; after any other error it may have forwarded it.
    pub async fn forward(
        &self,
        instance: &InstanceId,
        message: ForwardMessage,
    ) -> Result<ForwardedAnswer, PeerError> {
        self.0.metrics.peer_message_sent("forward", message.size());
        let (reply, receiver) = oneshot::channel();
        self.send(instance, LinkCall::Forward(message, reply));
        let result = receiver.await;
        result.unwrap_or_else(|_| Err(PeerError::Broken("connection closed".to_owned())))
    }

    /// Whether an instance with calls in flight does not answer pings.
    pub fn is_silent(&self, instance: &InstanceId) -> bool {
        self.0.links.borrow().get(instance).is_some_and(|link| link.is_silent.get())
    }

    /// Passes a call to the connection of an instance; starts a new connection if there is none.
    fn send(&self, instance: &InstanceId, call: LinkCall) {
        let mut links = self.0.links.borrow_mut();
        let call = match links.get(instance) {
            Some(link) => match link.calls.unbounded_send(call) {
                Ok(()) => return,
                Err(closed) => closed.into_inner(),
            },
            None => call,
        };
        let (sender, calls) = unbounded();
        let is_silent = Rc::new(Cell::new(false));
        // Cannot fail, because the receiver still exists.
        let _ = sender.unbounded_send(call);
        links.retain(|_, link| !link.calls.is_closed());
        let handle = PeerLinkHandle { calls: sender, is_silent: is_silent.clone() };
        links.insert(instance.clone(), handle);
        let (identity, metrics) = (self.0.identity.clone(), self.0.metrics.clone());
        let forwarded_bytes_max = self.0.memory.bytes_max;
        let link =
            PeerLink::new(instance.clone(), identity, metrics, is_silent, forwarded_bytes_max);
        monoio::spawn(link.run(calls));
    }

    async fn fetch(
        &self,
        peer: &InstanceId,
        request: PeerRequest,
    ) -> Result<PeerReply, PeerFetchError> {
        let deadline = clock::now() + FETCH_TIMEOUT;
        self.call(peer, request, deadline).await.map_err(|_| PeerFetchError)
    }
}

impl TreePeers for PeerHandle {
    async fn head(&self, peer: &InstanceId) -> Result<Option<TreeHead>, PeerFetchError> {
        match self.fetch(peer, PeerRequest::FetchHead).await? {
            PeerReply::Head(head) => Ok(head),
            _ => Err(PeerFetchError),
        }
    }

    async fn object(
        &self,
        peer: &InstanceId,
        digest: &str,
    ) -> Result<Option<Bytes>, PeerFetchError> {
        match self.fetch(peer, PeerRequest::FetchObject(digest.into())).await? {
            PeerReply::Object(object) => Ok(object.map(Bytes::from)),
            _ => Err(PeerFetchError),
        }
    }
}
