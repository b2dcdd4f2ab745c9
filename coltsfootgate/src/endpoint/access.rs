//! Sends requests to endpoints, through other instances while this one has no path to endpoints.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use log::info;
use monoio::time::{sleep, timeout};

use coltsfootgate_core::forward::ForwarderBook;
use coltsfootgate_core::prelude::{EndpointId, InstanceId, PoolId, ZoneName};
use coltsfootgate_wire::{
    ForwardMessage, ForwardReply, ForwardRequest, HeaderRows, PeerReply, PeerRequest,
    encode_forward_request,
};

use super::{
    AnswerStream, ConnectionPool, EndpointAnswer, EndpointClient, EndpointFailure, EndpointPaths,
    EndpointRequest, SendProgress,
};
use crate::members::MembersHandle;
use crate::metrics::DaemonMetrics;
use crate::peer::{ANSWER_WINDOW_BYTES, ForwardedAnswer, PeerError, PeerHandle};
use crate::transfer::MemoryShare;

/// Time limit for another instance to say whether it reaches an endpoint.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of other instances that are asked whether they reach an endpoint.
const CHECKS_MAX: usize = 2;

/// Pauses after which instances without memory for a request are asked again.
const FULL_PAUSES: [Duration; 8] = [
    Duration::from_millis(25),
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(400),
    Duration::from_millis(400),
    Duration::from_millis(400),
];

/// Sends requests to endpoints; clones share the same connections.
#[derive(Clone)]
pub struct EndpointAccess {
    direct: ConnectionPool,
    path: EndpointPaths,
    forwarders: Rc<ForwarderClient>,
}

/// Asks other instances to forward requests.
pub struct ForwarderClient {
    own: InstanceId,
    zone: ZoneName,
    members: MembersHandle,
    peers: PeerHandle,
    metrics: DaemonMetrics,
    book: Rc<RefCell<ForwarderBook>>,
}

/// Counts a request as forwarded by an instance until it is dropped.
struct ForwardCount {
    book: Rc<RefCell<ForwarderBook>>,
    instance: InstanceId,
}

impl Drop for ForwardCount {
    fn drop(&mut self) {
        self.book.borrow_mut().end(&self.instance);
    }
}

/// What became of asking instances to forward a request.
enum AskResult {
    /// One of them forwards it, or tried to.
    Forwarded(Box<ForwardedAnswer>, ForwardCount),
    /// It may have been forwarded, and failed.
    Failed(EndpointFailure),
    /// None of them forwards it.
    Refused {
        /// Whether one of them has no memory left for it.
        has_full: bool,
    },
}

/// What an answer that is forwarded holds until its end.
pub struct ForwardHold {
    _count: ForwardCount,
    _window: MemoryShare,
}

/// What is known of an endpoint to which a connection was lost or failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointReach {
    /// An instance connects to it.
    Reached,
    /// No instance that has a path connects to it.
    Unreached,
    /// This instance has no path, and no other one told.
    Unknown,
}

impl EndpointAccess {
    /// Creates the access of an instance.
    pub fn new(direct: ConnectionPool, path: EndpointPaths, forwarders: ForwarderClient) -> Self {
        Self { direct, path, forwarders: Rc::new(forwarders) }
    }

    /// The connections of this instance itself.
    pub fn direct(&self) -> &ConnectionPool {
        &self.direct
    }

    /// The path of this instance itself.
    pub fn path(&self) -> &EndpointPaths {
        &self.path
    }

    /// Whether this instance reaches no endpoint of a pool itself.
    pub fn is_path_lost(&self, pool: &PoolId) -> bool {
        self.path.is_lost(pool)
    }

    /// Finds out whether an endpoint accepts connections, from other instances if this one reaches none.
    pub async fn find_reach(
        &self,
        pool: &PoolId,
        endpoint: &EndpointId,
        address: &str,
    ) -> EndpointReach {
        if self.path.check(pool, address).await {
            return EndpointReach::Reached;
        }
        if self.path.reaches_any(pool).await {
            return EndpointReach::Unreached;
        }
        let mut has_answer = !self.path.is_lost(pool);
        for instance in self.forwarders.choose().into_iter().take(CHECKS_MAX) {
            match self.forwarders.check(&instance, endpoint).await {
                Some(true) => return EndpointReach::Reached,
                Some(false) => has_answer = true,
                None => {}
            }
        }
        if has_answer { EndpointReach::Unreached } else { EndpointReach::Unknown }
    }
}

impl EndpointClient for EndpointAccess {
    async fn send(&self, request: EndpointRequest) -> Result<EndpointAnswer, EndpointFailure> {
        let pool = request.pool.clone();
        if !self.path.is_lost(&pool) {
            let sent = self.direct.send(request.clone()).await;
            let may_forward = matches!(sent, Err(EndpointFailure::NeverSent));
            if !may_forward || !self.path.is_lost(&pool) {
                return sent;
            }
        }
        self.forwarders.send(request).await
    }
}

impl ForwarderClient {
    /// Creates the client of an instance in a zone.
    pub fn new(
        own: InstanceId,
        zone: ZoneName,
        members: MembersHandle,
        peers: PeerHandle,
        metrics: DaemonMetrics,
    ) -> Self {
        Self { own, zone, members, peers, metrics, book: Rc::default() }
    }

    fn count(&self, instance: &InstanceId) -> ForwardCount {
        self.book.borrow_mut().begin(instance.clone());
        ForwardCount { book: self.book.clone(), instance: instance.clone() }
    }

    fn choose(&self) -> Vec<InstanceId> {
        let (view, book) = (self.members.view(), self.book.borrow());
        book.choose(&view.locations, &self.own, &self.zone, Instant::now(), rand::random)
    }

    async fn check(&self, instance: &InstanceId, endpoint: &EndpointId) -> Option<bool> {
        let deadline = Instant::now() + CHECK_TIMEOUT;
        let question = PeerRequest::CheckEndpoint(endpoint.clone());
        match self.peers.call(instance, question, deadline).await {
            Ok(PeerReply::Reachable(is_reachable)) => is_reachable,
            Ok(_) | Err(_) => None,
        }
    }

    /// Sends a request through the first instance that forwards it. While some have no memory left for it, waits for
    /// a time, since bodies are kept only until their endpoints have read them.
    async fn send(&self, request: EndpointRequest) -> Result<EndpointAnswer, EndpointFailure> {
        let progress = request.progress.clone();
        let mut answer_due = Instant::now() + request.head_timeout;
        let mut pauses = FULL_PAUSES.iter();
        let Ok(message) = encode_forward_request(forward_request(request)) else {
            self.metrics.forward_requested("too-large");
            return Err(EndpointFailure::PathLost);
        };
        let Some(window) = self.peers.forwarded_memory().take(ANSWER_WINDOW_BYTES) else {
            info!(
                "a request is not sent through another instance: no memory is left for its answer"
            );
            self.metrics.forward_requested("memory-full");
            return Err(EndpointFailure::PathLost);
        };
        loop {
            let asked = self.ask_instances(&message, &progress, answer_due).await;
            let has_full = match asked {
                AskResult::Forwarded(answer, count) => {
                    let hold = ForwardHold { _count: count, _window: window };
                    return self.read_answer(*answer, hold);
                }
                AskResult::Failed(failure) => return Err(failure),
                AskResult::Refused { has_full } => has_full,
            };
            let Some(pause) = pauses.next().filter(|_| has_full) else { break };
            let pause = pause.mul_f64(rand::random_range(0.5..1.0));
            sleep(pause).await;
            answer_due += pause;
        }
        progress.set_via(None);
        Err(EndpointFailure::PathLost)
    }

    /// Asks one instance after the other to forward a request.
    async fn ask_instances(
        &self,
        message: &ForwardMessage,
        progress: &SendProgress,
        answer_due: Instant,
    ) -> AskResult {
        let mut has_full = false;
        for instance in self.choose() {
            let count = self.count(&instance);
            progress.set_via(Some(instance.clone()));
            progress.begin_send();
            let time_left = answer_due.saturating_duration_since(Instant::now());
            let forwarding = self.peers.forward(&instance, message.clone());
            let Ok(forwarded) = timeout(time_left, forwarding).await else {
                return AskResult::Failed(EndpointFailure::Stalled);
            };
            match forwarded {
                Ok(ForwardedAnswer { reply: ForwardReply::Refused(refusal), .. }) => {
                    progress.revert_send();
                    self.refused(&instance, refusal.name());
                }
                Err(error @ (PeerError::Unreachable(_) | PeerError::MemoryFull)) => {
                    progress.revert_send();
                    self.refused(&instance, error.name());
                    has_full |= error == PeerError::MemoryFull;
                }
                Ok(answer) => {
                    self.book.borrow_mut().record_forward(&instance);
                    return AskResult::Forwarded(Box::new(answer), count);
                }
                Err(error) => {
                    // The instance may have forwarded the request.
                    self.book.borrow_mut().record_refusal(instance, Instant::now());
                    self.metrics.forward_requested(error.name());
                    return AskResult::Failed(EndpointFailure::ConnectionLost);
                }
            }
        }
        AskResult::Refused { has_full }
    }

    fn refused(&self, instance: &InstanceId, cause: &str) {
        info!("instance {instance} does not forward a request: {cause}");
        self.metrics.forward_requested(cause);
        self.book.borrow_mut().record_refusal(instance.clone(), Instant::now());
    }

    fn read_answer(
        &self,
        answer: ForwardedAnswer,
        hold: ForwardHold,
    ) -> Result<EndpointAnswer, EndpointFailure> {
        let ForwardedAnswer { reply, body } = answer;
        let (name, result) = match reply {
            ForwardReply::Answered { status, headers, framing } => {
                let head = StatusCode::from_u16(status).ok().zip(from_header_rows(&headers));
                let stream = AnswerStream::forwarded(body, framing, hold);
                let answer =
                    head.map(|(status, headers)| EndpointAnswer { status, headers, stream });
                ("answered", answer.ok_or(EndpointFailure::ConnectionLost))
            }
            ForwardReply::NeverSent | ForwardReply::Refused(_) => {
                ("never-sent", Err(EndpointFailure::NeverSent))
            }
            ForwardReply::ConnectionLost => {
                ("connection-lost", Err(EndpointFailure::ConnectionLost))
            }
            ForwardReply::Stalled => ("stalled", Err(EndpointFailure::Stalled)),
        };
        self.metrics.forward_requested(name);
        result
    }
}

fn forward_request(request: EndpointRequest) -> ForwardRequest {
    ForwardRequest {
        pool: request.pool,
        endpoint: request.endpoint,
        attempt: request.attempt,
        method: request.method.as_str().into(),
        path: request.path,
        headers: header_rows(&request.headers),
        body: request.body,
        head_timeout: request.head_timeout,
        silence: request.silence,
    }
}

/// Headers as they are sent between instances.
pub fn header_rows(headers: &HeaderMap) -> HeaderRows {
    let row = |(name, value): (&HeaderName, &HeaderValue)| {
        (Arc::from(name.as_str()), value.as_bytes().to_vec())
    };
    headers.iter().map(row).collect()
}

/// The headers that another instance sent; `None` if one of them is malformed.
pub fn from_header_rows(rows: &HeaderRows) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(rows.len());
    for (name, value) in rows {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}
