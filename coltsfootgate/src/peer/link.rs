//! The task that manages the connection to one peer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::oneshot;
use futures_util::future::{AbortHandle, Either, abortable, select};
use futures_util::{StreamExt, pin_mut};
use h2::client::{self, SendRequest};
use h2::{Ping, PingPong};
use log::{debug, info};
use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;
use rand::Rng;

use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_wire::{ForwardMessage, PeerReply};

use super::counted::CountedStream;
use super::exchange;
use super::forwarded::ForwardedAnswer;
use super::handshake::authenticate_as_client;
use super::{PeerError, PeerIdentity};
use crate::metrics::DaemonMetrics;

/// Timeout of connecting and authenticating.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without calls after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Flow-control window of a connection for replies, in bytes, beside what forwarded answers may fill.
const REPLIES_WINDOW_BYTES: usize = 4 * 1024 * 1024;
/// Largest flow-control window, in bytes.
const WINDOW_BYTES_MAX: u32 = (1 << 31) - 1;
/// Interval between two pings while calls are in flight.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an answer to a ping after which the peer counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(200);
/// Time without an answer to a ping after which a connection is dropped.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound of the first delay before reconnecting; doubled with each failure.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Upper bound of all delays before reconnecting.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// An encoded request that waits for its reply.
pub(super) enum LinkCall {
    Message(Bytes, oneshot::Sender<Result<PeerReply, PeerError>>),
    Forward(ForwardMessage, oneshot::Sender<Result<ForwardedAnswer, PeerError>>),
}

impl LinkCall {
    fn fail(self, error: PeerError) {
        // Sending fails if the caller has dropped the call.
        match self {
            Self::Message(_, reply) => drop(reply.send(Err(error))),
            Self::Forward(_, reply) => drop(reply.send(Err(error))),
        }
    }
}

/// Counts a call as in flight until it is dropped.
pub(super) struct CallCount(Rc<Cell<usize>>);

impl CallCount {
    fn new(in_flight: &Rc<Cell<usize>>) -> Self {
        in_flight.set(in_flight.get() + 1);
        Self(in_flight.clone())
    }
}

impl Drop for CallCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Manages the connection to one peer.
pub(super) struct PeerLink {
    peer: InstanceId,
    identity: PeerIdentity,
    metrics: DaemonMetrics,
    backoff: ConnectBackoff,
    /// Whether the peer does not answer pings.
    is_silent: Rc<Cell<bool>>,
    /// Bytes that may be held of answers that peers forward.
    forwarded_bytes_max: usize,
}

/// Delays attempts to connect after failures.
struct ConnectBackoff {
    failures: u32,
    next_attempt: Option<Instant>,
    last_error: Option<PeerError>,
}

/// An open connection; dropping it closes the connection, whatever the state of the other side.
struct OpenLink {
    sender: SendRequest<Bytes>,
    ping_pong: Option<PingPong>,
    closed: oneshot::Receiver<()>,
    driver: AbortHandle,
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl PeerLink {
    pub(super) fn new(
        peer: InstanceId,
        identity: PeerIdentity,
        metrics: DaemonMetrics,
        is_silent: Rc<Cell<bool>>,
        forwarded_bytes_max: usize,
    ) -> Self {
        let backoff = ConnectBackoff { failures: 0, next_attempt: None, last_error: None };
        Self { peer, identity, metrics, backoff, is_silent, forwarded_bytes_max }
    }

    /// Sends calls until none arrives for [`IDLE_TIMEOUT`], and reconnects as needed.
    pub(super) async fn run(mut self, mut calls: UnboundedReceiver<LinkCall>) {
        while let Ok(Some(call)) = monoio::time::timeout(IDLE_TIMEOUT, calls.next()).await {
            match self.connect().await {
                Ok(link) => self.serve(link, call, &mut calls).await,
                Err(error) => call.fail(error),
            }
        }
        // Calls that arrived in the meantime fail explicitly; their callers may retry.
        calls.close();
        while let Some(call) = calls.next().await {
            call.fail(PeerError::Unreachable("connection closing".to_owned()));
        }
    }

    async fn connect(&mut self) -> Result<OpenLink, PeerError> {
        self.backoff.check(Instant::now())?;
        let opened = monoio::time::timeout(CONNECT_TIMEOUT, self.open()).await;
        match opened.unwrap_or(Err(PeerError::Unreachable("connect timed out".to_owned()))) {
            Ok(link) => {
                if self.backoff.failures > 0 {
                    info!("connected to {} again", self.peer);
                }
                self.backoff.succeeded();
                Ok(link)
            }
            Err(error) => {
                if self.backoff.failures == 0 {
                    info!("could not connect to {}: {error}", self.peer);
                }
                self.backoff.failed(Instant::now(), error.clone());
                Err(error)
            }
        }
    }

    async fn open(&self) -> Result<OpenLink, PeerError> {
        let unreachable = |cause: String| PeerError::Unreachable(cause);
        let address =
            self.peer.parse().map_err(|_| unreachable("id is not an address".to_owned()))?;
        let stream = TcpStream::connect_addr(address).await;
        let stream = stream.map_err(|error| unreachable(error.to_string()))?;
        stream.set_nodelay(true)?;
        let mut stream = CountedStream::new(stream, self.metrics.clone());
        // No call was sent yet, so a broken connection here leaves nothing in doubt.
        authenticate_as_client(&mut stream, &self.identity, address).await.map_err(|error| {
            match error {
                PeerError::Broken(cause) => unreachable(cause),
                error => error,
            }
        })?;
        let (sender, mut connection) = client::Builder::new()
            .initial_connection_window_size(self.window_bytes())
            .handshake(StreamWrapper::new(stream))
            .await?;
        let ping_pong = connection.ping_pong();
        let (closing, closed) = oneshot::channel();
        let (driver, abort) = abortable(async move {
            let _closing = closing;
            if let Err(error) = connection.await {
                debug!("connection to a peer ended: {error}");
            }
        });
        monoio::spawn(driver);
        Ok(OpenLink { sender, ping_pong, closed, driver: abort })
    }

    /// Flow-control window of the connection, in bytes: forwarded answers that their callers read slowly can't fill it
    /// all, however many they are, so that replies never wait for them.
    fn window_bytes(&self) -> u32 {
        let window = self.forwarded_bytes_max + REPLIES_WINDOW_BYTES;
        u32::try_from(window).unwrap_or(u32::MAX).min(WINDOW_BYTES_MAX)
    }

    /// Sends calls until the connection ends, stops answering pings or is no longer used.
    async fn serve(
        &self,
        mut link: OpenLink,
        first: LinkCall,
        calls: &mut UnboundedReceiver<LinkCall>,
    ) {
        let in_flight = Rc::new(Cell::new(0));
        start_call(&link.sender, first, &in_flight);
        let ping_pong = link.ping_pong.take();
        let ping_timeout =
            wait_for_ping_timeout(ping_pong, in_flight.clone(), self.is_silent.clone());
        pin_mut!(ping_timeout);
        loop {
            let ended = select(&mut link.closed, &mut ping_timeout);
            let next = monoio::time::timeout(IDLE_TIMEOUT, calls.next());
            pin_mut!(next);
            match select(next, ended).await {
                Either::Left((Ok(Some(call)), _)) => {
                    start_call(&link.sender, call, &in_flight);
                }
                Either::Left((Ok(None), _)) => return,
                Either::Left((Err(_), _)) if in_flight.get() == 0 => return,
                Either::Left((Err(_), _)) => (),
                Either::Right((Either::Left(_), _)) => return,
                Either::Right((Either::Right(_), _)) => {
                    info!("dropped the connection to {}: a ping timed out", self.peer);
                    self.metrics.peer_fault("silent");
                    return;
                }
            }
        }
    }
}

/// Sends a call in a task of its own, which ends early if the caller drops the call.
fn start_call(sender: &SendRequest<Bytes>, call: LinkCall, in_flight: &Rc<Cell<usize>>) {
    let sender = sender.clone();
    let count = CallCount::new(in_flight);
    monoio::spawn(async move {
        match call {
            LinkCall::Message(message, mut reply) => {
                let call = exchange::call(sender, message);
                if let Some(result) = until_dropped(call, &mut reply).await {
                    let _ = reply.send(result);
                }
                drop(count);
            }
            LinkCall::Forward(message, mut reply) => {
                let call = exchange::forward(sender, message);
                if let Some(result) = until_dropped(call, &mut reply).await {
                    let _ = reply.send(result.map(|head| ForwardedAnswer::new(head, count)));
                }
            }
        }
    });
}

/// Runs a call until it ends, or until the receiver of its reply is dropped.
async fn until_dropped<C: Future, T>(call: C, reply: &mut oneshot::Sender<T>) -> Option<C::Output> {
    pin_mut!(call);
    match select(call, reply.cancellation()).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(_) => None,
    }
}

/// Returns when a ping is not answered in time; pings are sent only while calls are in flight.
async fn wait_for_ping_timeout(
    ping_pong: Option<PingPong>,
    in_flight: Rc<Cell<usize>>,
    is_silent: Rc<Cell<bool>>,
) {
    let Some(mut ping_pong) = ping_pong else { return std::future::pending().await };
    loop {
        is_silent.set(false);
        monoio::time::sleep(PING_INTERVAL).await;
        if in_flight.get() == 0 {
            continue;
        }
        let pong = ping_pong.ping(Ping::opaque());
        pin_mut!(pong);
        if monoio::time::timeout(SILENT_AFTER, &mut pong).await.is_ok() {
            continue;
        }
        is_silent.set(true);
        if monoio::time::timeout(PING_TIMEOUT - SILENT_AFTER, pong).await.is_err() {
            return;
        }
    }
}

impl ConnectBackoff {
    /// Returns the last error until the next attempt is due.
    fn check(&self, now: Instant) -> Result<(), PeerError> {
        match (&self.last_error, self.next_attempt) {
            (Some(error), Some(next)) if now < next => Err(error.clone()),
            _ => Ok(()),
        }
    }

    fn succeeded(&mut self) {
        self.failures = 0;
        self.next_attempt = None;
        self.last_error = None;
    }

    fn failed(&mut self, now: Instant, error: PeerError) {
        let delay_max = BACKOFF_MIN.saturating_mul(1 << self.failures.min(8)).min(BACKOFF_MAX);
        self.failures += 1;
        self.next_attempt = Some(now + delay_max.mul_f64(rand::rng().random_range(0.5..1.0)));
        self.last_error = Some(error);
    }
}
