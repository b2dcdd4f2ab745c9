//! Closes callers' connections that make no progress for too long.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use monoio::time::{Sleep, sleep};

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
}

/// The phase of a connection, shared by its stream and its service; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct SharedPhase(Rc<Cell<ConnectionPhase>>);

impl SharedPhase {
    /// Records that a head was read completely; the request lasts until the guard is dropped.
    pub fn request_started(&self) -> RequestGuard {
        self.0.set(ConnectionPhase::Serving);
        RequestGuard(self.clone())
    }

    /// Whether the connection ended because a head did not arrive in time.
    pub fn head_timed_out(&self) -> bool {
        self.0.get() == ConnectionPhase::HeadTimedOut
    }
}

/// Held until the answer to a request is written.
#[derive(Debug)]
pub struct RequestGuard(SharedPhase);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.0.set(ConnectionPhase::Idle);
    }
}

/// A stream that fails if a write or the arrival of a head takes too long.
///
/// The failure closes the connection and cancels the request whose answer it carried. A caller that
/// stops reading or sending therefore cannot occupy an endpoint or delay a shutdown indefinitely.
pub struct TimeoutStream<S> {
    stream: S,
    write_timeout: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
    phase: SharedPhase,
    head_timeout: Duration,
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> TimeoutStream<S> {
    /// Wraps a stream. A write may take `write_timeout`; a head may take `head_timeout` from its
    /// first byte.
    pub fn new(
        stream: S,
        write_timeout: Duration,
        phase: SharedPhase,
        head_timeout: Duration,
    ) -> Self {
        Self { stream, write_timeout, write_timer: None, phase, head_timeout, head_timer: None }
    }

    /// Fails once `head_timeout` has passed since the first byte of an incomplete head.
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
