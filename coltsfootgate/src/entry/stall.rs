//! Closes callers' connections that make no progress for too long, and finds out when their limits have changed.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use monoio::time::{Sleep, sleep};

/// Bytes of a head that are kept back until its connection is set up for the limit in force.
const HELD_BYTES_MAX: usize = 4096;

/// The limits on the heads of requests, and on the time between two requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadLimits {
    /// Maximum size of a head, in bytes.
    pub bytes_max: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be open without a request.
    pub idle_timeout: Duration,
}

impl HeadLimits {
    /// How long a connection may wait for the first byte of a head.
    fn wait_max(&self) -> Duration {
        self.idle_timeout.max(self.head_timeout)
    }
}

/// The phase of a connection in its cycle of requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ConnectionPhase {
    /// No byte of the next head has arrived.
    #[default]
    Idle,
    /// The next head has arrived in part.
    Arriving,
    /// A request is being served.
    Serving,
    /// A head did not arrive completely in time.
    HeadTimedOut,
    /// No head began to arrive in time.
    IdleTimedOut,
}

/// The phase of a connection, shared by its stream and its service; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct SharedPhase(Rc<PhaseState>);

#[derive(Debug, Default)]
struct PhaseState {
    phase: Cell<ConnectionPhase>,
    is_limit_outdated: Cell<bool>,
}

impl SharedPhase {
    /// Records that a head was read completely; the request lasts until the guard is dropped.
    pub fn request_started(&self) -> RequestGuard {
        self.set(ConnectionPhase::Serving);
        RequestGuard(self.clone())
    }

    /// Whether the connection ended because a head did not arrive in time.
    pub fn head_timed_out(&self) -> bool {
        self.get() == ConnectionPhase::HeadTimedOut
    }

    /// Whether the connection ended because no head began to arrive in time.
    pub fn idle_timed_out(&self) -> bool {
        self.get() == ConnectionPhase::IdleTimedOut
    }

    /// Whether a head arrives under another limit on its size than the one that the connection is set up with. All
    /// answers have been sent then.
    pub fn is_limit_outdated(&self) -> bool {
        self.0.is_limit_outdated.get()
    }

    fn get(&self) -> ConnectionPhase {
        self.0.phase.get()
    }

    fn set(&self, phase: ConnectionPhase) {
        self.0.phase.set(phase);
    }
}

/// Held until the answer to a request is written.
#[derive(Debug)]
pub struct RequestGuard(SharedPhase);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.set(ConnectionPhase::Idle);
    }
}

/// The time that a connection has been waiting for the next head.
struct IdleWait {
    since: Instant,
    /// The longest time that was allowed since then; a caller may rely on it.
    allowed: Duration,
    timer: Pin<Box<Sleep>>,
}

/// A stream that fails if a write, the arrival of a head or the wait for one takes too long.
///
/// The failure closes the connection and cancels the request whose answer it carried. A caller that
/// stops reading or sending therefore cannot occupy an endpoint or delay a shutdown indefinitely.
///
/// The limits in force are asked for when a head begins to arrive, since a connection may live longer than they do. A
/// longer idle time holds at once for a connection that waits, a shorter one from the next answer on.
pub struct TimeoutStream<S, L> {
    stream: S,
    limits: L,
    /// The maximum size of a head that the connection is set up with, in bytes.
    head_bytes_max: usize,
    /// Bytes that have arrived and that the connection has still to read.
    held: Bytes,
    /// Whether all that was written has been sent.
    is_flushed: bool,
    write_timeout: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
    phase: SharedPhase,
    head_timer: Option<Pin<Box<Sleep>>>,
    idle: Option<IdleWait>,
}

impl<S, L: Fn() -> HeadLimits> TimeoutStream<S, L> {
    /// Wraps a stream. A write may take `write_timeout`; `limits` returns the limits in force.
    pub fn new(stream: S, write_timeout: Duration, phase: SharedPhase, limits: L) -> Self {
        let head_bytes_max = limits().bytes_max;
        Self {
            stream,
            limits,
            head_bytes_max,
            held: Bytes::new(),
            is_flushed: true,
            write_timeout,
            write_timer: None,
            phase,
            head_timer: None,
            idle: None,
        }
    }

    /// The maximum size of a head that the connection is to be set up with, in bytes.
    pub fn head_bytes_max(&self) -> usize {
        self.head_bytes_max
    }

    /// Adopts the limit in force for a connection that is set up anew. `unread` are the bytes that the former one had
    /// read and not used.
    pub fn adopt_limit(&mut self, unread: &[u8]) {
        if !unread.is_empty() {
            let mut held = BytesMut::from(unread);
            held.extend_from_slice(&self.held);
            self.held = held.freeze();
        }
        self.head_bytes_max = (self.limits)().bytes_max;
        self.phase.0.is_limit_outdated.set(false);
    }

    /// Fails if the wait for a head, or for the rest of one, takes too long.
    fn poll_timeouts(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.phase.get() {
            ConnectionPhase::Arriving => self.poll_head_timeout(context),
            ConnectionPhase::Idle => self.poll_idle_timeout(context),
            _ => {
                (self.head_timer, self.idle) = (None, None);
                Poll::Pending
            }
        }
    }

    /// Fails once the head timeout has passed since the first byte of an incomplete head.
    fn poll_head_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.idle = None;
        let limits = &self.limits;
        let timer = self.head_timer.get_or_insert_with(|| Box::pin(sleep(limits().head_timeout)));
        ready!(timer.as_mut().poll(context));
        self.phase.set(ConnectionPhase::HeadTimedOut);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Fails once the connection has been waiting for longer than any limit since allowed.
    fn poll_idle_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.head_timer = None;
        let limits = &self.limits;
        let idle = self.idle.get_or_insert_with(|| {
            let allowed = limits().wait_max();
            IdleWait { since: Instant::now(), allowed, timer: Box::pin(sleep(allowed)) }
        });
        loop {
            ready!(idle.timer.as_mut().poll(context));
            idle.allowed = idle.allowed.max(limits().wait_max());
            let remaining = idle.allowed.saturating_sub(idle.since.elapsed());
            if remaining.is_zero() {
                self.phase.set(ConnectionPhase::IdleTimedOut);
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            idle.timer = Box::pin(sleep(remaining));
        }
    }

    /// Returns the result of a write, or an error once `write_timeout` has passed without progress.
    fn poll_write_timeout<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let write_timeout = self.write_timeout;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(sleep(write_timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Whether a head that begins now has another limit than the connection.
    fn is_outdated(&self) -> bool {
        let is_idle = self.phase.get() == ConnectionPhase::Idle;
        is_idle && (self.limits)().bytes_max != self.head_bytes_max
    }

    /// Reports that the connection must be set up anew, once all answers have been sent.
    fn report_outdated(&self) {
        if self.is_flushed && !self.held.is_empty() && self.is_outdated() {
            self.phase.0.is_limit_outdated.set(true);
        }
    }

    fn read_held(&mut self, mut buffer: ReadBufCursor<'_>) {
        let length = self.held.len().min(buffer.remaining());
        buffer.put_slice(&self.held[..length]);
        self.held.advance(length);
        self.begin_head();
    }

    fn begin_head(&mut self) {
        if self.phase.get() == ConnectionPhase::Idle {
            self.phase.set(ConnectionPhase::Arriving);
            (self.head_timer, self.idle) = (None, None);
        }
    }
}

impl<S: Read + Unpin, L: Fn() -> HeadLimits> TimeoutStream<S, L> {
    /// Keeps the first bytes of a head back until the connection is set up anew; returns `Ready` at the end of the
    /// stream.
    fn poll_hold(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; HELD_BYTES_MAX];
        let mut buffer = ReadBuf::new(&mut bytes);
        let read = Pin::new(&mut self.stream).poll_read(context, buffer.unfilled());
        if read.is_pending() {
            return self.poll_timeouts(context);
        }
        ready!(read)?;
        if buffer.filled().is_empty() {
            return Poll::Ready(Ok(()));
        }
        self.held = Bytes::copy_from_slice(buffer.filled());
        self.report_outdated();
        Poll::Pending
    }
}

impl<S: Read + Unpin, L: Fn() -> HeadLimits + Unpin> Read for TimeoutStream<S, L> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_outdated() {
            if self.held.is_empty() {
                return self.poll_hold(context);
            }
            self.report_outdated();
            return Poll::Pending;
        }
        if !self.held.is_empty() {
            self.read_held(buffer);
            return Poll::Ready(Ok(()));
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            return self.poll_timeouts(context);
        }
        self.begin_head();
        read
    }
}

impl<S: Write + Unpin, L: Fn() -> HeadLimits + Unpin> Write for TimeoutStream<S, L> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_flushed = false;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.poll_write_timeout(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.is_flushed = true;
            self.report_outdated();
        }
        self.poll_write_timeout(flushed, context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closed = Pin::new(&mut self.stream).poll_shutdown(context);
        self.poll_write_timeout(closed, context)
    }
}
