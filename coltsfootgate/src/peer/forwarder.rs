//! Sends requests to endpoints for instances that have no path to them.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use h2::server::SendResponse;
use h2::{Reason, SendStream};
use http::{HeaderMap, Response, StatusCode};
use log::info;
use monoio::time::timeout;

use coltsfootgate_core::ids::EndpointId;
use coltsfootgate_wire::{ForwardRefusal, ForwardReply, ForwardRequest, decode_forward_request};

use super::PeerError;
use super::exchange::{refuse_forward, send_forward_reply, send_part};
use super::forwarded::ANSWER_WINDOW_BYTES;
use crate::dialect::{AnswerNotice, EndpointDialect};
use crate::endpoint::{
    AnswerStream, ConnectionPool, EndpointAnswer, EndpointClient, EndpointFailure, EndpointPaths,
    EndpointRequest, SendProgress, from_header_rows, header_rows,
};
use crate::endpoints::SharedRoster;
use crate::metrics::DaemonMetrics;
use crate::routes::RouteTable;
use crate::shutdown::ShutdownSignal;
use crate::transfer::MemoryPart;

/// Time by which the timeouts here exceed those of the instance that asked, so that its own apply first.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Time limit for the instance that asked to make room for a piece of the answer.
const READER_TIMEOUT: Duration = Duration::from_secs(30);

/// How to read the head of an endpoint's answer.
#[derive(Clone, Copy)]
pub struct EndpointRules {
    check_head: fn(StatusCode, &HeaderMap, &str) -> Result<(), EndpointFailure>,
    answer_notice: fn(StatusCode, &HeaderMap) -> Option<AnswerNotice>,
}

impl EndpointRules {
    /// The rules of a dialect.
    pub fn of<D: EndpointDialect>() -> Self {
        Self { check_head: D::check_head, answer_notice: D::answer_notice }
    }
}

/// Sends requests of other instances over this instance's own connections, never through a third one.
#[derive(Clone)]
pub struct RequestForwarder {
    /// The connections to endpoints.
    pub endpoints: ConnectionPool,
    /// The path to endpoints.
    pub path: EndpointPaths,
    /// The endpoints, and which of them rest.
    pub routes: RouteTable,
    /// The replicas that announced themselves.
    pub roster: SharedRoster,
    /// How to read answers.
    pub rules: EndpointRules,
    /// The metrics.
    pub metrics: DaemonMetrics,
    /// The memory for messages of other instances and for what is on its way through this one.
    pub memory: MemoryPart,
    /// The requests in flight.
    pub load: ForwardLoad,
    /// The shutdown of this process.
    pub shutdown: ShutdownSignal,
}

/// The requests that are being forwarded; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct ForwardLoad(Rc<LoadState>);

#[derive(Debug, Default)]
struct LoadState {
    open: Cell<usize>,
    is_closed: Cell<bool>,
}

/// Counts a request as forwarded until it is dropped.
struct OpenForward(ForwardLoad);

impl ForwardLoad {
    /// Accepts no further requests.
    pub fn close(&self) {
        self.0.is_closed.set(true);
    }

    /// The number of requests in flight.
    pub fn open(&self) -> usize {
        self.0.open.get()
    }

    fn begin(&self) -> OpenForward {
        self.0.open.set(self.0.open.get() + 1);
        OpenForward(self.clone())
    }
}

impl Drop for OpenForward {
    fn drop(&mut self) {
        let open = &self.0.0.open;
        open.set(open.get() - 1);
    }
}

impl RequestForwarder {
    /// Sends a request to its endpoint and passes the answer on, until it ends or the peer cancels it.
    pub(super) async fn serve(
        &self,
        message: Bytes,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), PeerError> {
        let request = decode_forward_request(&message)?;
        // The body of the request is a slice of the message and alone keeps it.
        drop(message);
        let _open = self.load.begin();
        let Some(_window) = self.memory.take(ANSWER_WINDOW_BYTES) else {
            info!("refused to forward a request: no memory is left for its answer");
            self.metrics.forward_served(PeerError::MemoryFull.name());
            return refuse_forward(respond).await;
        };
        let silence = request.silence + TIMEOUT_MARGIN;
        let answer = {
            let sending = self.send_until_due(request);
            let reset = poll_fn(|context| respond.poll_reset(context));
            pin_mut!(sending);
            match select(sending, reset).await {
                Either::Left((answer, _)) => answer,
                // Dropping the future cancels the request at the endpoint.
                Either::Right(_) => return Ok(()),
            }
        };
        let mut stream = respond.send_response(Response::new(()), false)?;
        match answer {
            Ok(EndpointAnswer { status, headers, stream: answer }) => {
                let (status, framing) = (status.as_u16(), answer.framing());
                let headers = header_rows(&headers);
                let reply = ForwardReply::Answered { status, headers, framing };
                send_forward_reply(&mut stream, reply).await?;
                self.pass_on(answer, stream, silence).await
            }
            Err(reply) => {
                self.metrics.forward_served(reply_name(&reply));
                send_forward_reply(&mut stream, reply).await?;
                Ok(stream.send_data(Bytes::new(), true)?)
            }
        }
    }

    /// Sends a request and waits for the head of its answer, until this process must end its answers.
    async fn send_until_due(
        &self,
        request: ForwardRequest,
    ) -> Result<EndpointAnswer, ForwardReply> {
        let progress = SendProgress::default();
        let sending = self.send(request, progress.clone());
        let due = self.shutdown.answers_due();
        pin_mut!(sending, due);
        match select(sending, due).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) if progress.may_be_sent() => Err(ForwardReply::ConnectionLost),
            Either::Right(_) => Err(ForwardReply::Refused(ForwardRefusal::Leaving)),
        }
    }

    async fn send(
        &self,
        request: ForwardRequest,
        progress: SendProgress,
    ) -> Result<EndpointAnswer, ForwardReply> {
        let endpoint = request.endpoint.clone();
        let address = self.usable_address(&request).map_err(ForwardReply::Refused)?;
        let (pool, attempt) = (request.pool.clone(), request.attempt.clone());
        let request = endpoint_request(request, address, progress);
        let request = request.ok_or(ForwardReply::NeverSent)?;
        let answer = self.endpoints.send(request).await.map_err(|failure| match failure {
            EndpointFailure::NeverSent if self.path.is_lost(&pool) => {
                ForwardReply::Refused(ForwardRefusal::PathLost)
            }
            EndpointFailure::Resting => ForwardReply::Refused(ForwardRefusal::EndpointResting),
            EndpointFailure::NeverSent | EndpointFailure::PathLost => ForwardReply::NeverSent,
            EndpointFailure::Stalled => ForwardReply::Stalled,
            _ => ForwardReply::ConnectionLost,
        })?;
        self.observe(&endpoint, &answer, &attempt);
        self.metrics.forward_served("answered");
        Ok(answer)
    }

    /// The address at which this instance may reach the endpoint of a request now.
    fn usable_address(&self, request: &ForwardRequest) -> Result<Arc<str>, ForwardRefusal> {
        let endpoint = &request.endpoint;
        if self.load.0.is_closed.get() {
            return Err(ForwardRefusal::Leaving);
        }
        if self.path.is_lost(&request.pool) {
            return Err(ForwardRefusal::PathLost);
        }
        if self.routes.is_resting(endpoint) {
            return Err(ForwardRefusal::EndpointResting);
        }
        let known = self.routes.endpoint(&request.pool, endpoint);
        let usable = known.filter(|_| !self.roster.has_left(endpoint));
        usable.map(|endpoint| endpoint.address).ok_or(ForwardRefusal::EndpointUnknown)
    }

    /// Records what an endpoint states to this instance, whose request it takes it for.
    fn observe(&self, endpoint: &EndpointId, answer: &EndpointAnswer, attempt: &str) {
        let checked = (self.rules.check_head)(answer.status, &answer.headers, attempt);
        if checked == Err(EndpointFailure::Mismatched) {
            return;
        }
        let Some(notice) = (self.rules.answer_notice)(answer.status, &answer.headers) else {
            return;
        };
        if notice.is_leaving && !self.roster.has_left(endpoint) {
            info!("endpoint {endpoint} says in a forwarded answer that it is leaving");
            self.roster.report_leaving(endpoint.clone());
        }
        if let Some(time) = notice.rest {
            info!("endpoint {endpoint} wants no requests for {time:?}, says a forwarded answer");
            self.routes.record_rest(endpoint, time);
        }
    }

    /// Passes the bytes of an answer on; an answer that breaks off, or does not end before this process must, ends
    /// with a reset, so that it never looks complete.
    async fn pass_on(
        &self,
        mut answer: AnswerStream,
        mut stream: SendStream<Bytes>,
        silence: Duration,
    ) -> Result<(), PeerError> {
        let due = self.shutdown.answers_due();
        pin_mut!(due);
        loop {
            let piece = {
                let next = answer.next(silence);
                let reset = poll_fn(|context| stream.poll_reset(context));
                pin_mut!(next);
                match select(next, select(reset, due.as_mut())).await {
                    Either::Left((piece, _)) => piece,
                    Either::Right((Either::Left(_), _)) => return Ok(()),
                    Either::Right((Either::Right(_), _)) => Err(EndpointFailure::ConnectionLost),
                }
            };
            match piece {
                Ok(Some(piece)) => timeout(READER_TIMEOUT, send_part(&mut stream, piece))
                    .await
                    .unwrap_or(Err(PeerError::TimedOut))?,
                Ok(None) => return Ok(stream.send_data(Bytes::new(), true)?),
                Err(_) => {
                    stream.send_reset(Reason::INTERNAL_ERROR);
                    return Ok(());
                }
            }
        }
    }
}

/// `None` if the request cannot be sent as it is.
fn endpoint_request(
    request: ForwardRequest,
    address: Arc<str>,
    progress: SendProgress,
) -> Option<EndpointRequest> {
    Some(EndpointRequest {
        pool: request.pool,
        endpoint: request.endpoint,
        address,
        attempt: request.attempt,
        method: request.method.parse().ok()?,
        path: request.path,
        headers: from_header_rows(&request.headers)?,
        body: request.body,
        head_timeout: request.head_timeout + TIMEOUT_MARGIN,
        silence: request.silence,
        progress,
    })
}

fn reply_name(reply: &ForwardReply) -> &'static str {
    match reply {
        ForwardReply::Answered { .. } => "answered",
        ForwardReply::Refused(refusal) => refusal.name(),
        ForwardReply::NeverSent => "never-sent",
        ForwardReply::ConnectionLost => "connection-lost",
        ForwardReply::Stalled => "stalled",
    }
}
