//! Response bodies of the stand-ins.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};

/// Makes the server close the connection before the answer is complete.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionCut;

impl Display for ConnectionCut {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("the connection is closed by an injected fault")
    }
}

impl Error for ConnectionCut {}

/// A response body, sent at once or streamed.
#[derive(Debug)]
pub enum StandinBody {
    /// The complete body, or `None` if it is empty.
    Complete(Option<Bytes>),
    /// Chunks until the sender is dropped; an error closes the connection.
    Chunks(UnboundedReceiver<Result<Bytes, ConnectionCut>>),
    /// A streamed body whose last chunks are written before the connection is closed.
    Closing,
}

impl From<Bytes> for StandinBody {
    fn from(bytes: Bytes) -> Self {
        Self::Complete(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for StandinBody {
    type Data = Bytes;
    type Error = ConnectionCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionCut>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(receiver) => match Pin::new(receiver).poll_next(context) {
                // At an error, the server drops the chunks that it has buffered. One more poll lets
                // it write them first.
                Poll::Ready(Some(Err(ConnectionCut))) => {
                    *self = Self::Closing;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
                chunk => chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            },
            Self::Closing => Poll::Ready(Some(Err(ConnectionCut))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) | Self::Closing => SizeHint::default(),
        }
    }
}
