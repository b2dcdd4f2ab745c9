//! Ends a caller's connection whose other side takes nothing for too long.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use monoio::time::{Sleep, sleep};

/// A stream on which a write that makes no progress within the limit fails.
///
/// The failure ends the connection and with it the request whose answer it carried, so a caller
/// that is silent for good holds neither an endpoint nor a process that is shutting down.
pub struct StallGuard<S> {
    stream: S,
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> StallGuard<S> {
    /// Guards a stream.
    pub fn new(stream: S, limit: Duration) -> Self {
        Self { stream, limit, timer: None }
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
        Pin::new(&mut self.stream).poll_read(context, buffer)
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
