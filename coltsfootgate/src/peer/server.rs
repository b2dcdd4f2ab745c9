//! Accepts connections of other instances and passes their requests on.

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
use http::{Request, Response, StatusCode};
use log::debug;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::StreamWrapper;

use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_wire::{PeerReply, PeerRequest, decode_request, encode_reply};

use super::counted::CountedStream;
use super::exchange::{read_message, send_message};
use super::handshake::prove_as_server;
use super::{PeerError, PeerIdentity};
use crate::accept::accept_connections;
use crate::clock;
use crate::metrics::{ConnectionSide, DaemonMetrics};

/// Time for the proof of the shared secret and the start of h2.
const PROOF_TIME: Duration = Duration::from_secs(2);
/// Time for a request to arrive whole.
const REQUEST_TIME: Duration = Duration::from_secs(5);
/// Time for a reply to be taken by the other side.
const REPLY_TIME: Duration = Duration::from_secs(10);
/// A connection without a new request for so long is closed; the other side closes it earlier.
const IDLE_TIME: Duration = Duration::from_secs(90);
/// Requests that one connection may have open at once.
const STREAMS_MAX: u32 = 4096;

type PeerConnection = Connection<StreamWrapper<CountedStream>, Bytes>;

/// A request of a peer that waits for its reply.
///
/// When the peer gives the call up, the receiver of the reply is dropped, which
/// [`oneshot::Sender::cancellation`] tells.
#[derive(Debug)]
pub struct PeerCall {
    /// The instance that asks, as it proved itself.
    pub from: InstanceId,
    /// The request.
    pub request: PeerRequest,
    /// Where the reply goes.
    pub reply: oneshot::Sender<PeerReply>,
}

/// Listens for other instances.
pub struct PeerListener {
    listener: TcpListener,
    shared: Rc<ListenerShared>,
}

struct ListenerShared {
    own: PeerIdentity,
    metrics: DaemonMetrics,
    calls: UnboundedSender<PeerCall>,
    connections_max: usize,
    /// The present connection of each peer, with a number that tells it from earlier ones.
    present: RefCell<HashMap<InstanceId, (u64, AbortHandle)>>,
    opened: Cell<u64>,
}

impl PeerListener {
    /// Makes a listener that passes requests on to `calls`.
    pub fn new(
        listener: TcpListener,
        own: PeerIdentity,
        metrics: DaemonMetrics,
        calls: UnboundedSender<PeerCall>,
        connections_max: usize,
    ) -> Self {
        let (present, opened) = (RefCell::default(), Cell::new(0));
        let shared = ListenerShared { own, metrics, calls, connections_max, present, opened };
        Self { listener, shared: Rc::new(shared) }
    }

    /// Serves until the future is dropped.
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
        let count = metrics.connection_opened(ConnectionSide::Peers);
        let shared = self.shared.clone();
        monoio::spawn(async move {
            if let Err(error) = shared.serve_connection(stream).await {
                debug!("connection of a peer ended: {error}");
                shared.metrics.peer_fault(error.name());
            }
            drop(count);
        });
    }
}

impl ListenerShared {
    async fn serve_connection(self: &Rc<Self>, stream: TcpStream) -> Result<(), PeerError> {
        stream.set_nodelay(true)?;
        let stream = CountedStream::new(stream, self.metrics.clone());
        let (from, connection) = monoio::time::timeout(PROOF_TIME, self.open(stream))
            .await
            .unwrap_or(Err(PeerError::TimedOut))?;
        let (abort, registration) = AbortHandle::new_pair();
        let number = self.replace_connection(&from, abort);
        let requests = self.serve_requests(from.clone(), connection);
        let served = Abortable::new(requests, registration).await;
        let mut present = self.present.borrow_mut();
        if present.get(&from).is_some_and(|(present, _)| *present == number) {
            present.remove(&from);
        }
        served.unwrap_or(Ok(()))
    }

    /// Ends an earlier connection of the same peer, which keeps one and must have lost it.
    fn replace_connection(&self, from: &InstanceId, abort: AbortHandle) -> u64 {
        let number = self.opened.get() + 1;
        self.opened.set(number);
        let earlier = self.present.borrow_mut().insert(from.clone(), (number, abort));
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
            let accepted = monoio::time::timeout(IDLE_TIME, connection.accept()).await;
            let Ok(Some(accepted)) = accepted else { return Ok(()) };
            let (request, respond) = accepted?;
            monoio::spawn(self.clone().serve_call(from.clone(), request, respond));
        }
    }

    async fn open(
        &self,
        mut stream: CountedStream,
    ) -> Result<(InstanceId, PeerConnection), PeerError> {
        let from = prove_as_server(&mut stream, &self.own).await?;
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
            debug!("request of a peer was not handled: {error}");
            self.metrics.peer_fault(error.name());
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::BAD_REQUEST;
            // The peer may have given the call up.
            let _ = respond.send_response(response, true);
        }
    }

    async fn handle_call(
        &self,
        from: InstanceId,
        request: Request<RecvStream>,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), PeerError> {
        let message = monoio::time::timeout(REQUEST_TIME, read_message(request.into_body()))
            .await
            .unwrap_or(Err(PeerError::TimedOut))?;
        let request = decode_request(&message, clock::now())?;
        let (reply, receiver) = oneshot::channel();
        let _ = self.calls.unbounded_send(PeerCall { from, request, reply });
        let reset = std::future::poll_fn(|context| respond.poll_reset(context));
        let reply = match select(receiver, reset).await {
            Either::Left((reply, _)) => reply.map_err(|_| PeerError::Unhandled)?,
            // Dropping the receiver tells the handler that the call was given up.
            Either::Right(_) => return Ok(()),
        };
        let message = Bytes::from(encode_reply(reply)?);
        let stream = respond.send_response(Response::new(()), false)?;
        monoio::time::timeout(REPLY_TIME, send_message(stream, message))
            .await
            .unwrap_or(Err(PeerError::TimedOut))
    }
}
