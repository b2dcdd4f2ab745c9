//! Server side of the calls between instances: accepts connections and forwards requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use futures_util::future::{AbortHandle, Abortable, Either, select};
use h2::RecvStream;
use h2::server::{self, Connection, SendResponse};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Request, Response, StatusCode};
use log::{debug, info};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use monoio_compat::StreamWrapper;

use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_wire::{
    MESSAGE_BYTES_MAX, PeerReply, PeerRequest, WireError, decode_request, encode_reply,
};

use super::counted::CountedStream;
use super::exchange::{FORWARD_PATH, discard_message, read_message, refuse_forward, send_message};
use super::forwarder::RequestForwarder;
use super::handshake::authenticate_as_server;
use super::{PeerError, PeerIdentity};
use crate::accept::accept_connections;
use crate::clock;
use crate::metrics::{ConnectionSide, DaemonMetrics};
use crate::transfer::{HeldBuffer, MemoryPart};

/// Timeout of authentication and the h2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of reading a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of sending a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without requests after which a connection is closed; longer than the client's timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum number of concurrent requests on one connection.
const STREAMS_MAX: u32 = 4096;

type PeerConnection = Connection<StreamWrapper<CountedStream>, Bytes>;

/// A request of a peer that waits for its reply.
///
/// If the peer cancels the call, the receiver of the reply is dropped, which
/// [`oneshot::Sender::cancellation`] detects.
#[derive(Debug)]
pub struct PeerCall {
    /// The authenticated instance that sent the request.
    pub from: InstanceId,
    /// The request.
    pub request: PeerRequest,
    /// Sends the reply.
    pub reply: oneshot::Sender<PeerReply>,
}

/// Listens for connections of other instances.
pub struct PeerListener {
    listener: TcpListener,
    shared: Rc<ListenerShared>,
}

struct ListenerShared {
    identity: PeerIdentity,
    metrics: DaemonMetrics,
    calls: UnboundedSender<PeerCall>,
    forwarder: RequestForwarder,
    /// The memory for messages.
    memory: MemoryPart,
    connections_max: usize,
    /// The current connection of each peer, with a number that distinguishes it from earlier ones.
    connections: RefCell<HashMap<InstanceId, (u64, AbortHandle)>>,
    opened_count: Cell<u64>,
}

impl PeerListener {
    /// Creates a listener that passes calls on to `calls` and requests for endpoints to `forwarder`.
    pub fn new(
        listener: TcpListener,
        identity: PeerIdentity,
        metrics: DaemonMetrics,
        calls: UnboundedSender<PeerCall>,
        forwarder: RequestForwarder,
        connections_max: usize,
    ) -> Self {
        let (connections, opened_count) = (RefCell::default(), Cell::new(0));
        let memory = forwarder.memory.clone();
        let shared = ListenerShared {
            identity,
            metrics,
            calls,
            forwarder,
            memory,
            connections_max,
            connections,
            opened_count,
        };
        Self { listener, shared: Rc::new(shared) }
    }

    /// Accepts connections until the future is dropped.
    pub async fn serve(self) {
        let start = |stream| self.start(stream);
        accept_connections(&self.listener, "peers", start).await;
    }

    fn start(&self, stream: TcpStream) {
        let metrics = &self.shared.metrics;
        if metrics.open_connections(ConnectionSide::Peers) >= self.shared.connections_max {
            metrics.connection_refused(ConnectionSide::Peers);
            return;
        }
        let open_connection = metrics.connection_opened(ConnectionSide::Peers);
        let shared = self.shared.clone();
        monoio::spawn(async move {
            if let Err(error) = shared.serve_connection(stream).await {
                debug!("a connection of a peer failed: {error}");
                shared.metrics.peer_fault(error.name());
            }
            drop(open_connection);
        });
    }
}

impl ListenerShared {
    async fn serve_connection(self: &Rc<Self>, stream: TcpStream) -> Result<(), PeerError> {
        stream.set_nodelay(true)?;
        let stream = CountedStream::new(stream, self.metrics.clone());
        let (from, connection) = timeout(HANDSHAKE_TIMEOUT, self.open(stream))
            .await
            .unwrap_or(Err(PeerError::TimedOut))?;
        let (abort, registration) = AbortHandle::new_pair();
        let number = self.register_connection(&from, abort);
        let requests = self.serve_requests(from.clone(), connection);
        let served = Abortable::new(requests, registration).await;
        let mut connections = self.connections.borrow_mut();
        if connections.get(&from).is_some_and(|(current, _)| *current == number) {
            connections.remove(&from);
        }
        served.unwrap_or(Ok(()))
    }

    /// Registers a connection and aborts the earlier one of the same peer, if there is one.
    ///
    /// A peer keeps a single connection, so it must have lost the earlier one.
    fn register_connection(&self, from: &InstanceId, abort: AbortHandle) -> u64 {
        let number = self.opened_count.get() + 1;
        self.opened_count.set(number);
        let earlier = self.connections.borrow_mut().insert(from.clone(), (number, abort));
        if let Some((_, earlier)) = earlier {
            earlier.abort();
        }
        number
    }

    async fn serve_requests(
        self: &Rc<Self>,
        from: InstanceId,
        mut connection: PeerConnection,
    ) -> Result<(), PeerError> {
        loop {
            let accepted = timeout(IDLE_TIMEOUT, connection.accept()).await;
            let Ok(Some(accepted)) = accepted else { return Ok(()) };
            let (request, respond) = accepted?;
            monoio::spawn(self.clone().serve_call(from.clone(), request, respond));
        }
    }

    async fn open(
        &self,
        mut stream: CountedStream,
    ) -> Result<(InstanceId, PeerConnection), PeerError> {
        let from = authenticate_as_server(&mut stream, &self.identity).await?;
        let connection = server::Builder::new()
            .max_concurrent_streams(STREAMS_MAX)
            .handshake(StreamWrapper::new(stream))
            .await?;
        Ok((from, connection))
    }

    async fn serve_call(
        self: Rc<Self>,
        from: InstanceId,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let result = self.handle_call(from, request, &mut respond).await;
        if let Err(error) = result {
            debug!("could not handle a request of a peer: {error}");
            self.metrics.peer_fault(error.name());
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::BAD_REQUEST;
            // Fails if the peer has cancelled the call.
            let _ = respond.send_response(response, true);
        }
    }

    /// Reads a message into memory that is taken for it first, by its announced size.
    async fn receive(
        &self,
        headers: &HeaderMap,
        body: &mut RecvStream,
    ) -> Result<Bytes, PeerError> {
        let announced = headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok());
        let announced = announced.and_then(|length| length.parse().ok()).unwrap_or(0);
        if announced > MESSAGE_BYTES_MAX {
            return Err(WireError::TooLarge(announced).into());
        }
        let share = self.memory.take(announced).ok_or(PeerError::MemoryFull)?;
        let reading = read_message(body, HeldBuffer::with_share(share, announced));
        timeout(REQUEST_TIMEOUT, reading).await.unwrap_or(Err(PeerError::TimedOut))
    }

    /// Tells a peer that its request is not forwarded, for want of memory.
    async fn refuse_forward(
        &self,
        from: &InstanceId,
        mut body: RecvStream,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), PeerError> {
        info!("refused to forward a request of {from}: no memory is left for it");
        self.metrics.forward_served(PeerError::MemoryFull.name());
        refuse_forward(respond).await?;
        // Earlier builds send all of a request before they read the reply.
        let discarding = discard_message(&mut body);
        timeout(REQUEST_TIMEOUT, discarding).await.unwrap_or(Err(PeerError::TimedOut))
    }

    async fn handle_call(
        &self,
        from: InstanceId,
        request: Request<RecvStream>,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), PeerError> {
        let is_forward = request.uri().path() == FORWARD_PATH;
        let (head, mut body) = request.into_parts();
        let message = self.receive(&head.headers, &mut body).await;
        if is_forward {
            return match message {
                Ok(message) => self.forwarder.serve(message, respond).await,
                Err(PeerError::MemoryFull) => self.refuse_forward(&from, body, respond).await,
                Err(error) => Err(error),
            };
        }
        let request = decode_request(&message?, clock::now())?;
        let (reply, receiver) = oneshot::channel();
        let _ = self.calls.unbounded_send(PeerCall { from, request, reply });
        let reset = std::future::poll_fn(|context| respond.poll_reset(context));
        let reply = match select(receiver, reset).await {
            Either::Left((reply, _)) => reply.map_err(|_| PeerError::Unhandled)?,
            // Dropping the receiver notifies the handler that the call was cancelled.
            Either::Right(_) => return Ok(()),
        };
        let message = Bytes::from(encode_reply(reply)?);
        let stream = respond.send_response(Response::new(()), false)?;
        timeout(REPLY_TIMEOUT, send_message(stream, message))
            .await
            .unwrap_or(Err(PeerError::TimedOut))
    }
}
