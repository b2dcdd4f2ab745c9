//! Bounds what a server can send, so that it cannot occupy the event loop or send a head without end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};
use monoio::time::{Sleep, sleep};

/// Maximum number of bytes that a connection delivers at once. What an answer leaves in buffers while its caller does not
/// read is a multiple of it.
const READ_BYTES_MAX: usize = 16 * 1024;
/// Maximum number of bytes that a connection delivers without a pause.
const BURST_BYTES_MAX: usize = 256 * 1024;
/// Pause after a burst. The event loop runs its timers only when no task is ready.
const BURST_PAUSE: Duration = Duration::from_millis(1);

/// The number of bytes that may still arrive before the head of an answer is complete; clones share
/// the same state.
#[derive(Clone, Debug, Default)]
pub struct HeadAllowance(Rc<Cell<Option<usize>>>);

impl HeadAllowance {
    /// Starts to count the bytes of a head.
    pub fn begin(&self, bytes_max: usize) {
        self.0.set(Some(bytes_max));
    }

    /// Ends the count: the head has arrived.
    pub fn end(&self) {
        self.0.set(None);
    }

    fn spend(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.0.get() else { return Ok(()) };
        let left = left.checked_sub(bytes).ok_or(io::ErrorKind::InvalidData)?;
        self.0.set(Some(left));
        Ok(())
    }
}

/// A stream that pauses after a burst of bytes and fails if a head is too large.
#[derive(Debug)]
pub struct BoundedReads<S> {
    stream: S,
    head: HeadAllowance,
    burst: usize,
    pause: Option<Pin<Box<Sleep>>>,
}

impl<S> BoundedReads<S> {
    /// Wraps a stream.
    pub fn new(stream: S, head: HeadAllowance) -> Self {
        Self { stream, head, burst: 0, pause: None }
    }

    fn poll_pause(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.burst < BURST_BYTES_MAX {
            return Poll::Ready(());
        }
        let pause = self.pause.get_or_insert_with(|| Box::pin(sleep(BURST_PAUSE)));
        ready!(pause.as_mut().poll(context));
        self.pause = None;
        self.burst = 0;
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedReads<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_pause(context));
        let length = buffer.remaining().min(READ_BYTES_MAX);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let bytes = part.filled().len();
        buffer.advance(bytes);
        if read.is_pending() {
            self.burst = 0;
        }
        ready!(read)?;
        self.burst += bytes;
        Poll::Ready(self.head.spend(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedReads<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
