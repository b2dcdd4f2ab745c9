//! The task that owns the connection to one other instance.

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
use coltsfootgate_wire::PeerReply;

use super::counted::CountedStream;
use super::exchange;
use super::handshake::prove_as_client;
use super::{PeerError, PeerIdentity};
use crate::metrics::DaemonMetrics;

/// Time to connect and prove the shared secret.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// A connection without calls for so long is closed.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Pause between two pings while calls are in flight.
const PING_PAUSE: Duration = Duration::from_millis(500);
/// A connection that leaves a ping unanswered for so long is dropped as silent.
const PING_TIME: Duration = Duration::from_secs(1);
/// Shortest time without a new attempt after one that failed.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest time without a new attempt after one that failed.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// A coded request that waits for its reply.
pub(super) struct LinkCall {
    pub(super) message: Bytes,
    pub(super) reply: oneshot::Sender<Result<PeerReply, PeerError>>,
}

/// Owns the connection to one instance.
pub(super) struct PeerLink {
    peer: InstanceId,
    own: PeerIdentity,
    metrics: DaemonMetrics,
    backoff: ConnectBackoff,
}

/// Keeps attempts to connect apart.
struct ConnectBackoff {
    failures: u32,
    next_attempt: Option<Instant>,
    last_error: Option<PeerError>,
}

/// A connection that is closed when dropped, whatever the other side does.
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
    pub(super) fn new(peer: InstanceId, own: PeerIdentity, metrics: DaemonMetrics) -> Self {
        let backoff = ConnectBackoff { failures: 0, next_attempt: None, last_error: None };
        Self { peer, own, metrics, backoff }
    }

    /// Serves calls until none has come for a while.
    pub(super) async fn run(mut self, mut calls: UnboundedReceiver<LinkCall>) {
        while let Ok(Some(call)) = monoio::time::timeout(IDLE_TIME, calls.next()).await {
            match self.connect().await {
                Ok(link) => self.serve(link, call, &mut calls).await,
                Err(error) => {
                    let _ = call.reply.send(Err(error));
                }
            }
        }
        // Calls that came in since would be lost otherwise; their callers may ask again.
        calls.close();
        while let Some(call) = calls.next().await {
            let _ = call.reply.send(Err(PeerError::Unreachable("connection closing".to_owned())));
        }
    }

    async fn connect(&mut self) -> Result<OpenLink, PeerError> {
        self.backoff.check(Instant::now())?;
        let opened = monoio::time::timeout(CONNECT_TIME, self.open()).await;
        match opened.unwrap_or(Err(PeerError::Unreachable("no answer in time".to_owned()))) {
            Ok(link) => {
                if self.backoff.failures > 0 {
                    info!("{} answers again", self.peer);
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
        let address = self.peer.parse().map_err(|_| unreachable("not an address".to_owned()))?;
        let stream = TcpStream::connect_addr(address).await;
        let stream = stream.map_err(|error| unreachable(error.to_string()))?;
        stream.set_nodelay(true)?;
        let mut stream = CountedStream::new(stream, self.metrics.clone());
        // No call was sent yet, so a broken connection here leaves nothing in doubt.
        prove_as_client(&mut stream, &self.own, address).await.map_err(|error| match error {
            PeerError::Broken(cause) => unreachable(cause),
            error => error,
        })?;
        let (sender, mut connection) = client::handshake(StreamWrapper::new(stream)).await?;
        let ping_pong = connection.ping_pong();
        let (closing, closed) = oneshot::channel();
        let (driver, abort) = abortable(async move {
            let _closing = closing;
            if let Err(error) = connection.await {
                debug!("connection ended: {error}");
            }
        });
        monoio::spawn(driver);
        Ok(OpenLink { sender, ping_pong, closed, driver: abort })
    }

    /// Serves calls until the connection ends, goes silent or is no longer used.
    async fn serve(
        &self,
        mut link: OpenLink,
        first: LinkCall,
        calls: &mut UnboundedReceiver<LinkCall>,
    ) {
        let in_flight = Rc::new(Cell::new(0));
        start_call(&link.sender, first, &in_flight);
        let ping_pong = link.ping_pong.take();
        let silence = watch_silence(ping_pong, in_flight.clone());
        pin_mut!(silence);
        loop {
            let ended = select(&mut link.closed, &mut silence);
            let next = monoio::time::timeout(IDLE_TIME, calls.next());
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
                    info!("dropped the connection to {}, which went silent", self.peer);
                    self.metrics.peer_fault("silent");
                    return;
                }
            }
        }
    }
}

/// Sends a call on a task of its own, which ends early when the caller gives up.
fn start_call(sender: &SendRequest<Bytes>, call: LinkCall, in_flight: &Rc<Cell<usize>>) {
    let sender = sender.clone();
    let in_flight = in_flight.clone();
    in_flight.set(in_flight.get() + 1);
    monoio::spawn(async move {
        let LinkCall { message, mut reply } = call;
        let exchange = exchange::call(sender, message);
        pin_mut!(exchange);
        let answered = match select(exchange, reply.cancellation()).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        };
        if let Some(result) = answered {
            let _ = reply.send(result);
        }
        in_flight.set(in_flight.get() - 1);
    });
}

/// Ends when a ping stays unanswered; pings go out only while calls are in flight.
async fn watch_silence(ping_pong: Option<PingPong>, in_flight: Rc<Cell<usize>>) {
    let Some(mut ping_pong) = ping_pong else { return std::future::pending().await };
    loop {
        monoio::time::sleep(PING_PAUSE).await;
        if in_flight.get() == 0 {
            continue;
        }
        let pong = monoio::time::timeout(PING_TIME, ping_pong.ping(Ping::opaque())).await;
        if pong.is_err() {
            return;
        }
    }
}

impl ConnectBackoff {
    /// Fails while no new attempt is due.
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
        let longest = BACKOFF_MIN.saturating_mul(1 << self.failures.min(8)).min(BACKOFF_MAX);
        self.failures += 1;
        self.next_attempt = Some(now + longest.mul_f64(rand::rng().random_range(0.5..1.0)));
        self.last_error = Some(error);
    }
}
