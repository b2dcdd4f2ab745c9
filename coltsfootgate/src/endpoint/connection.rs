//! A pool of HTTP/1.1 connections to endpoints, which stay open between requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootgate_core::answer::AnswerFraming;
use coltsfootgate_core::prelude::{EndpointId, PoolId};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use monoio::net::TcpStream;
use monoio::time::timeout;

use super::{
    EndpointAnswer, EndpointClient, EndpointFailure, EndpointPaths, EndpointRequest, ForwardHold,
    SendProgress,
};
use crate::peer::ForwardedBody;
use crate::routes::RouteTable;
use crate::transfer::{HttpConnection, PiecedBody, SendFailure, answer_framing};

/// Maximum time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which a connect that takes long looks whether the path is lost.
const PATH_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Highest number that is the status of an answer; the HTTP library takes any of three digits from 100 on.
const STATUS_MAX: u16 = 599;
/// Maximum number of idle connections to each endpoint.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// The endpoint to which a request is sent.
struct SendTarget {
    pool: PoolId,
    endpoint: EndpointId,
    address: Arc<str>,
}

type IdleConnections = HashMap<Arc<str>, Vec<HttpConnection>>;

/// The connections of this instance to all endpoints.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Rc<RefCell<IdleConnections>>,
    path: EndpointPaths,
    routes: RouteTable,
}

impl ConnectionPool {
    /// Creates a pool without connections, which records in `path` what it reaches, and sends nothing to
    /// endpoints that rest according to `routes`.
    pub fn new(path: EndpointPaths, routes: RouteTable) -> Self {
        Self { idle: Rc::default(), path, routes }
    }

    /// Closes the idle connections to an endpoint after one of its connections stopped responding.
    pub fn drop_idle(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    fn take_idle(&self, address: &str) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, address: &Arc<str>, connection: HttpConnection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address.clone()).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(connection);
        }
    }

    async fn connect(&self, target: &SendTarget) -> Result<HttpConnection, EndpointFailure> {
        let Some(stream) = self.open(target).await else {
            self.path.record_unreached(&target.pool);
            return Err(EndpointFailure::NeverSent);
        };
        self.path.record_reached(&target.pool);
        HttpConnection::start(stream).await.map_err(|_| EndpointFailure::NeverSent)
    }

    /// Connects to an endpoint, unless the path to all of its pool turns out to be lost meanwhile.
    async fn open(&self, target: &SendTarget) -> Option<TcpStream> {
        let give_up_at = Instant::now() + CONNECT_TIMEOUT;
        let mut connecting = pin!(TcpStream::connect(&*target.address));
        loop {
            if let Ok(connected) = timeout(PATH_CHECK_PERIOD, connecting.as_mut()).await {
                return connected.ok();
            }
            if self.path.is_lost(&target.pool) || Instant::now() >= give_up_at {
                return None;
            }
        }
    }

    /// Sends a request on an idle connection, or on a new one if no idle connection accepts it.
    async fn send_once(
        &self,
        target: &SendTarget,
        mut message: Request<PiecedBody>,
        progress: &SendProgress,
    ) -> Result<(Response<Incoming>, HttpConnection), EndpointFailure> {
        while let Some(mut connection) = self.take_idle(&target.address) {
            progress.begin_send();
            match connection.send(message).await {
                Ok(response) => return Ok((response, connection)),
                Err(SendFailure::Unsent(unsent)) => message = *unsent,
                Err(SendFailure::Broken(_)) => return Err(EndpointFailure::ConnectionLost),
            }
        }
        progress.revert_send();
        let mut connection = self.connect(target).await?;
        // The endpoint may have turned another request away meanwhile.
        if self.routes.is_resting(&target.endpoint) {
            self.put_idle(&target.address, connection);
            return Err(EndpointFailure::Resting);
        }
        progress.begin_send();
        match connection.send(message).await {
            Ok(response) => Ok((response, connection)),
            Err(SendFailure::Unsent(_)) => Err(EndpointFailure::NeverSent),
            Err(SendFailure::Broken(_)) => Err(EndpointFailure::ConnectionLost),
        }
    }
}

impl EndpointClient for ConnectionPool {
    async fn send(&self, request: EndpointRequest) -> Result<EndpointAnswer, EndpointFailure> {
        let target = SendTarget {
            pool: request.pool.clone(),
            endpoint: request.endpoint.clone(),
            address: request.address.clone(),
        };
        let (head_timeout, progress) = (request.head_timeout, request.progress.clone());
        let message = build_message(request)?;
        let waiting = self.path.begin_wait(&target.pool);
        let sending = self.send_once(&target, message, &progress);
        let (response, connection) = match timeout(head_timeout, sending).await {
            Ok(sent) => sent?,
            Err(_) => {
                self.drop_idle(&target.address);
                return Err(EndpointFailure::Stalled);
            }
        };
        drop(waiting);
        self.path.record_heard(&target.pool);
        let (head, body) = response.into_parts();
        if head.status.as_u16() > STATUS_MAX {
            // No status of an answer; the connection is dropped with whatever follows.
            return Err(EndpointFailure::Mismatched);
        }
        let framing = answer_framing(&head.headers, &body);
        let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let connection = Some(connection);
        let body = DirectBody { body, connection, target, connections: self.clone() };
        let stream = AnswerStream { framing, length, source: AnswerSource::Direct(body) };
        Ok(EndpointAnswer { status: head.status, headers: head.headers, stream })
    }
}

fn build_message(request: EndpointRequest) -> Result<Request<PiecedBody>, EndpointFailure> {
    let mut message = Request::new(PiecedBody::from(request.body));
    *message.method_mut() = request.method;
    *message.uri_mut() = request.path.parse().map_err(|_| EndpointFailure::NeverSent)?;
    *message.headers_mut() = request.headers;
    Ok(message)
}

/// The body of an answer. Dropping it before its end cancels the request at the endpoint.
pub struct AnswerStream {
    framing: AnswerFraming,
    length: Option<usize>,
    source: AnswerSource,
}

/// Where the body of an answer arrives.
enum AnswerSource {
    Direct(DirectBody),
    Forwarded { body: ForwardedBody, _hold: ForwardHold },
}

/// The body of an answer on a connection of this instance. Dropping it before its end closes the
/// connection.
struct DirectBody {
    body: Incoming,
    connection: Option<HttpConnection>,
    target: SendTarget,
    connections: ConnectionPool,
}

impl std::fmt::Debug for AnswerStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("AnswerStream").field("framing", &self.framing).finish()
    }
}

impl AnswerStream {
    /// Creates the stream of an answer that another instance forwards.
    pub fn forwarded(body: ForwardedBody, framing: AnswerFraming, hold: ForwardHold) -> Self {
        Self { framing, length: None, source: AnswerSource::Forwarded { body, _hold: hold } }
    }

    /// How the end of the body is marked.
    pub fn framing(&self) -> AnswerFraming {
        self.framing
    }

    /// Number of bytes of the body, if its endpoint stated it.
    pub fn length(&self) -> Option<usize> {
        self.length
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost or no data arrives for the time `silence`.
    pub async fn next(&mut self, silence: Duration) -> Result<Option<Bytes>, EndpointFailure> {
        match &mut self.source {
            AnswerSource::Direct(body) => body.next(silence).await,
            AnswerSource::Forwarded { body, .. } => match timeout(silence, body.next()).await {
                Ok(piece) => piece.map_err(|_| EndpointFailure::ConnectionLost),
                Err(_) => Err(EndpointFailure::Stalled),
            },
        }
    }
}

impl DirectBody {
    async fn next(&mut self, silence: Duration) -> Result<Option<Bytes>, EndpointFailure> {
        loop {
            let frame = match timeout(silence, self.body.frame()).await {
                Ok(frame) => frame,
                Err(_) => {
                    self.connections.drop_idle(&self.target.address);
                    return Err(EndpointFailure::Stalled);
                }
            };
            match frame {
                None => {
                    self.return_connection();
                    return Ok(None);
                }
                Some(Err(_)) => return Err(EndpointFailure::ConnectionLost),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.connections.path.record_heard(&self.target.pool);
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.connections.put_idle(&self.target.address, connection);
        }
    }
}
