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
enum ConnectionPhase {
    /// No byte of the next head has arrived.
    #[default]
    Idle,
    /// A part of a head has arrived.
    Arriving,
    /// A request is being served.
    Served,
    /// A head took too long.
    HeadTimedOut,
}

/// Tells the stream of a connection when a request starts and ends; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct SharedPhase(Rc<Cell<ConnectionPhase>>);

impl SharedPhase {
    /// A head was read whole; the request lasts until the guard is dropped.
    pub fn request_started(&self) -> RequestGuard {
        self.0.set(ConnectionPhase::Served);
        RequestGuard(self.clone())
    }

    /// Whether the connection ended because a head took too long.
    pub fn head_timed_out(&self) -> bool {
        self.0.get() == ConnectionPhase::HeadTimedOut
    }
}

/// Held until the answer of a request was written.
#[derive(Debug)]
pub struct RequestGuard(SharedPhase);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.0.set(ConnectionPhase::Idle);
    }
}

/// A stream on which a write, or the arrival of a head, that lasts too long fails.
///
/// The failure ends the connection and with it the request whose answer it carried, so a caller
/// that is silent for good holds neither an endpoint nor a process that is shutting down.
pub struct TimeoutStream<S> {
    stream: S,
    write_timeout: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
    phase: SharedPhase,
    head_timeout: Duration,
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> TimeoutStream<S> {
    /// Guards a stream: a write may take `write_timeout`, and a head, from its first byte, `head_timeout`.
    pub fn new(
        stream: S,
        write_timeout: Duration,
        phase: SharedPhase,
        head_timeout: Duration,
    ) -> Self {
        Self { stream, write_timeout, write_timer: None, phase, head_timeout, head_timer: None }
    }

    /// Fails once a head has been arriving for too long.
    fn poll_head_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.phase.0.get() != ConnectionPhase::Arriving {
            self.head_timer = None;
            return Poll::Pending;
        }
        let head_timeout = self.head_timeout;
        let timer = self.head_timer.get_or_insert_with(|| Box::pin(sleep(head_timeout)));
        ready!(timer.as_mut().poll(context));
        self.phase.0.set(ConnectionPhase::HeadTimedOut);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Passes progress on, and turns a wait that lasts too long into an error.
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
}

impl<S: Read + Unpin> Read for TimeoutStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            return self.poll_head_timeout(context);
        }
        if self.phase.0.get() == ConnectionPhase::Idle {
            self.phase.0.set(ConnectionPhase::Arriving);
        }
        read
    }
}

impl<S: Write + Unpin> Write for TimeoutStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.poll_write_timeout(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.poll_write_timeout(flushed, context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closed = Pin::new(&mut self.stream).poll_shutdown(context);
        self.poll_write_timeout(closed, context)
    }
}
