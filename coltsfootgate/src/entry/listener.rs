//! Accepts callers' connections and serves their requests.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::os::fd::{AsRawFd, RawFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use coltsfootgate_core::prelude::ErrorKind;
use coltsfootgate_core::settings::ConnectionSettings;
use futures_util::future::select;
use http::{Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::rt::{Read, Write};
use hyper::server::conn::http1::{self, Connection, Parts};
use hyper::service::{HttpService, service_fn};
use monoio::io::{AsyncWriteRentExt, IntoPollIo};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use monoio_compat::hyper::{MonoioIo, MonoioTimer};
use nix::libc::linger;
use nix::sys::socket::{setsockopt, sockopt};

use super::answer::{AnswerBody, OUTCOME, REASON, RULE, Refusal};
use super::request::{ENTRY_RULE, RequestBounds};
use super::stall::{HeadLimits, SharedPhase, TimeoutStream};
use crate::accept::{accept_backlog, accept_connections};
use crate::metrics::{ConnectionSide, DaemonMetrics};
use crate::shutdown::ShutdownSignal;
use crate::tree::TreeHandle;

/// Time that a caller which has just connected has for its first request once connections are no longer reused.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Timeout of the HTTP library for a head; longer than any that settings allow, since the stream has timers of its own.
/// Without one, the library does not poll the stream of a connection that becomes idle.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(7 * 24 * 3600);

/// Limits on callers' connections and requests.
#[derive(Clone, Debug)]
pub struct EntryBounds {
    /// Maximum number of open connections.
    pub connections_max: usize,
    /// Maximum size of a request's head, in bytes.
    pub head_bytes_max: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be open without a request.
    pub idle_timeout: Duration,
    /// Limits on the body.
    pub request: RequestBounds,
}

impl EntryBounds {
    /// The limits on heads that the settings tree sets, and these where it sets none.
    fn head_limits(&self, settings: &ConnectionSettings) -> HeadLimits {
        HeadLimits {
            bytes_max: settings.head_bytes.map_or(self.head_bytes_max, |bytes| bytes as usize),
            head_timeout: settings.head_time.unwrap_or(self.head_timeout),
            idle_timeout: settings.idle_time.unwrap_or(self.idle_timeout),
        }
    }
}

/// Handles the requests of callers.
pub trait RequestHandler: 'static {
    /// Answers a request. The future is dropped if the caller disconnects before the head of the
    /// answer is ready.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<AnswerBody>>;

    /// Counts an error that ended a connection before a request was read.
    fn connection_failed(&self, kind: ErrorKind);
}

/// Accepts callers' connections until shutdown.
pub struct EntryListener<H> {
    listener: TcpListener,
    handler: Rc<H>,
    bounds: EntryBounds,
    metrics: DaemonMetrics,
    tree: TreeHandle,
    shutdown: ShutdownSignal,
}

impl<H: RequestHandler> EntryListener<H> {
    /// Creates a listener on a bound socket.
    pub fn new(
        listener: TcpListener,
        handler: Rc<H>,
        bounds: EntryBounds,
        metrics: DaemonMetrics,
        tree: TreeHandle,
        shutdown: ShutdownSignal,
    ) -> Self {
        Self { listener, handler, bounds, metrics, tree, shutdown }
    }

    /// Accepts connections until shutdown. Open connections then finish their request in flight.
    pub async fn run(self) {
        let start = |stream| self.start_connection(stream);
        let accepting = accept_connections(&self.listener, "callers", start);
        let stopping = self.shutdown.closing();
        select(std::pin::pin!(accepting), std::pin::pin!(stopping)).await;
        accept_backlog(&self.listener, "callers", start).await;
    }

    fn start_connection(&self, stream: TcpStream) {
        if self.metrics.open_connections(ConnectionSide::Callers) >= self.bounds.connections_max {
            self.metrics.connection_refused(ConnectionSide::Callers);
            self.handler.connection_failed(ErrorKind::TooManyConnections);
            monoio::spawn(refuse_connection(stream));
            return;
        }
        let count = self.metrics.connection_opened(ConnectionSide::Callers);
        let handler = self.handler.clone();
        let (bounds, tree) = (self.bounds.clone(), self.tree.clone());
        let write_timeout = bounds.request.body_timeout;
        let limits = move || bounds.head_limits(&tree.connections());
        let shutdown = self.shutdown.clone();
        monoio::spawn(async move {
            serve_connection(stream, handler, write_timeout, limits, shutdown).await;
            drop(count);
        });
    }
}

async fn refuse_connection(mut stream: TcpStream) {
    let message = "the instance holds as many connections as it may";
    let refusal = Refusal::new(ErrorKind::TooManyConnections, ENTRY_RULE, message);
    let body = refusal.body();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         retry-after: 1\r\nconnection: close\r\n{OUTCOME}: {}\r\n{REASON}: {}\r\n\
         {RULE}: {ENTRY_RULE}\r\ncontent-length: {}\r\n\r\n",
        refusal.kind.outcome(),
        refusal.kind,
        body.len(),
    );
    let answer = [head.as_bytes(), &body].concat();
    let (_, _) = stream.write_all(answer).await;
}

/// What is known of a connection, however often it is set up anew; clones share the same state.
#[derive(Clone)]
struct ConnectionState {
    phase: SharedPhase,
    /// Whether a head was read.
    has_served: Rc<Cell<bool>>,
    /// Whether the caller knows answers in chunks.
    knows_chunks: Rc<Cell<bool>>,
    shutdown: ShutdownSignal,
}

/// Serves the requests of a connection. `limits` returns the limits on heads that are in force.
async fn serve_connection<H: RequestHandler>(
    stream: TcpStream,
    handler: Rc<H>,
    write_timeout: Duration,
    limits: impl Fn() -> HeadLimits + Unpin,
    shutdown: ShutdownSignal,
) {
    let _ = stream.set_nodelay(true);
    let descriptor = stream.as_raw_fd();
    let Ok(stream) = stream.into_poll_io() else { return };
    let (phase, has_served) = (SharedPhase::default(), Rc::default());
    let knows_chunks = Rc::new(Cell::new(true));
    let state = ConnectionState { phase: phase.clone(), has_served, knows_chunks, shutdown };
    let mut stream = TimeoutStream::new(MonoioIo::new(stream), write_timeout, phase, limits);
    loop {
        let mut connection = http1::Builder::new()
            .timer(MonoioTimer)
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .max_buf_size(stream.head_bytes_max())
            .serve_connection(stream, request_service(handler.clone(), state.clone()));
        let Some(ended) = run_connection(&mut connection, &state).await else {
            let Parts { io, read_buf, .. } = connection.into_parts();
            stream = io;
            stream.adopt_limit(&read_buf);
            continue;
        };
        let Err(error) = ended else { return };
        if !state.knows_chunks.get() {
            reset_on_close(descriptor);
        }
        if let Some(kind) = connection_error_kind(&error, &state) {
            handler.connection_failed(kind);
        }
        return;
    }
}

/// Passes the requests of a connection to their handler.
fn request_service<H: RequestHandler>(
    handler: Rc<H>,
    state: ConnectionState,
) -> impl HttpService<Incoming, ResBody = AnswerBody, Error = Infallible> {
    service_fn(move |request: Request<Incoming>| {
        let (handler, draining) = (handler.clone(), state.shutdown.clone());
        state.has_served.set(true);
        state.knows_chunks.set(request.version() >= Version::HTTP_11);
        let guard = state.phase.request_started();
        async move {
            let mut response = handler.handle(request).await;
            if draining.is_closing() {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| body.with_request(guard)))
        }
    })
}

/// Serves a connection until it ends; returns `None` if it must be set up anew before, since the next head arrives under
/// another limit on its size. From the shutdown on, no further request is read.
async fn run_connection<I, S>(
    connection: &mut Connection<I, S>,
    state: &ConnectionState,
) -> Option<hyper::Result<()>>
where
    I: Read + Write + Unpin,
    S: HttpService<Incoming, ResBody = AnswerBody, Error = Infallible>,
    Connection<I, S>: Future<Output = hyper::Result<()>> + Unpin,
{
    let stopping = async {
        state.shutdown.closing().await;
        if !state.has_served.get() {
            sleep(FIRST_REQUEST_WAIT).await;
        }
    };
    let mut stopping = std::pin::pin!(stopping);
    let mut is_stopping = false;
    let ended = poll_fn(|context| {
        if !is_stopping && stopping.as_mut().poll(context).is_ready() {
            is_stopping = true;
            Pin::new(&mut *connection).graceful_shutdown();
        }
        match Pin::new(&mut *connection).poll(context) {
            Poll::Ready(ended) => Poll::Ready(Some(ended)),
            Poll::Pending if state.phase.is_limit_outdated() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    });
    ended.await
}

/// Makes a socket send a reset when it is closed.
///
/// A caller that knows no chunks takes the normal end of its connection for the end of the answer.
fn reset_on_close(descriptor: RawFd) {
    let no_linger = linger { l_onoff: 1, l_linger: 0 };
    if let Err(error) = setsockopt(descriptor, sockopt::Linger, &no_linger) {
        log::warn!("cannot reset the connection of a caller whose answer broke off: {error}");
    }
}

/// The reason for which a connection failed; `None` if it only ended between two requests.
fn connection_error_kind(error: &hyper::Error, state: &ConnectionState) -> Option<ErrorKind> {
    if state.phase.head_timed_out() {
        Some(ErrorKind::SlowRequest)
    } else if state.phase.idle_timed_out() {
        (!state.has_served.get()).then_some(ErrorKind::SlowRequest)
    } else if error.is_parse_too_large() {
        Some(ErrorKind::HeadTooLarge)
    } else if error.is_parse() {
        Some(ErrorKind::MalformedRequest)
    } else {
        None
    }
}
