//! Ends a caller's connection that makes no progress for too long.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use monoio::time::{Sleep, sleep};

/// Where a connection stands between two requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum HeadPhase {
    /// No byte of the next head has arrived.
    #[default]
    Idle,
    /// A part of a head has arrived.
    Arriving,
    /// A request is being served.
    Served,
    /// A head took too long.
    TooSlow,
}

/// Tells the stream of a connection when a request starts and ends; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct HeadClock(Rc<Cell<HeadPhase>>);

impl HeadClock {
    /// A head was read whole; the request lasts until the guard is dropped.
    pub fn request_started(&self) -> RequestGuard {
        self.0.set(HeadPhase::Served);
        RequestGuard(self.clone())
    }

    /// Whether the connection ended because a head took too long.
    pub fn was_too_slow(&self) -> bool {
        self.0.get() == HeadPhase::TooSlow
    }
}

/// Held until the answer of a request was written.
#[derive(Debug)]
pub struct RequestGuard(HeadClock);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.0.set(HeadPhase::Idle);
    }
}

/// A stream on which a write, or the arrival of a head, that lasts too long fails.
///
/// The failure ends the connection and with it the request whose answer it carried, so a caller
/// that is silent for good holds neither an endpoint nor a process that is shutting down.
pub struct StallGuard<S> {
    stream: S,
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    clock: HeadClock,
    head_limit: Duration,
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> StallGuard<S> {
    /// Guards a stream: a write may take `limit`, and a head, from its first byte, `head_limit`.
    pub fn new(stream: S, limit: Duration, clock: HeadClock, head_limit: Duration) -> Self {
        Self { stream, limit, timer: None, clock, head_limit, head_timer: None }
    }

    /// Fails once a head has been arriving for too long.
    fn check_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.clock.0.get() != HeadPhase::Arriving {
            self.head_timer = None;
            return Poll::Pending;
        }
        let limit = self.head_limit;
        let timer = self.head_timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(context));
        self.clock.0.set(HeadPhase::TooSlow);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Passes progress on, and turns a wait that lasts too long into an error.
    fn check<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: Read + Unpin> Read for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            return self.check_head(context);
        }
        if self.clock.0.get() == HeadPhase::Idle {
            self.clock.0.set(HeadPhase::Arriving);
        }
        read
    }
}

impl<S: Write + Unpin> Write for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.check(flushed, context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closed = Pin::new(&mut self.stream).poll_shutdown(context);
        self.check(closed, context)
    }
}
