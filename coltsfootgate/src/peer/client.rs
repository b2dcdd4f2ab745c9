//! Calls other instances, over one connection for each.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_channel::oneshot;

use coltsfootgate_core::head::TreeHead;
use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_wire::{PeerReply, PeerRequest, encode_request};

use super::link::{LinkCall, PeerLink};
use super::{PeerError, PeerIdentity};
use crate::clock;
use crate::metrics::DaemonMetrics;
use crate::tree::{PeerFetchError, TreePeers};

/// Time for a peer to give its head or a value of the tree.
const FETCH_TIME: Duration = Duration::from_secs(2);

/// Calls other instances; clones share the same connections.
#[derive(Clone)]
pub struct PeerHandle(Rc<PeerShared>);

struct PeerShared {
    own: PeerIdentity,
    metrics: DaemonMetrics,
    links: RefCell<HashMap<InstanceId, UnboundedSender<LinkCall>>>,
}

impl PeerHandle {
    /// Makes a handle without connections.
    pub fn new(own: PeerIdentity, metrics: DaemonMetrics) -> Self {
        Self(Rc::new(PeerShared { own, metrics, links: RefCell::default() }))
    }

    /// Sends a request to an instance and waits for its reply until the deadline.
    ///
    /// Dropping the future tells the instance that the call was given up.
    ///
    /// # Errors
    ///
    /// After [`PeerError::Unreachable`] the instance never saw the request; after any other error
    /// it may have acted on it.
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
        self.send(instance, LinkCall { message, reply });
        let left = deadline.saturating_duration_since(now);
        let result = match monoio::time::timeout(left, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(PeerError::Broken("connection closed".to_owned())),
            Err(_) => Err(PeerError::TimedOut),
        };
        if let Err(error) = &result {
            self.0.metrics.peer_fault(error.name());
        }
        result
    }

    /// Hands a call to the connection of an instance, which is opened if there is none.
    fn send(&self, instance: &InstanceId, call: LinkCall) {
        let mut links = self.0.links.borrow_mut();
        let call = match links.get(instance) {
            Some(link) => match link.unbounded_send(call) {
                Ok(()) => return,
                Err(closed) => closed.into_inner(),
            },
            None => call,
        };
        let (sender, calls) = unbounded();
        // The receiver is at hand, so the call cannot be lost.
        let _ = sender.unbounded_send(call);
        links.retain(|_, link| !link.is_closed());
        links.insert(instance.clone(), sender);
        let link = PeerLink::new(instance.clone(), self.0.own.clone(), self.0.metrics.clone());
        monoio::spawn(link.run(calls));
    }

    async fn fetch(
        &self,
        peer: &InstanceId,
        request: PeerRequest,
    ) -> Result<PeerReply, PeerFetchError> {
        let deadline = clock::now() + FETCH_TIME;
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
