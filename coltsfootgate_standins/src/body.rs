//! Response bodies of the stand-ins.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};

/// Makes the server close the connection without finishing the answer.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionCut;

impl Display for ConnectionCut {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("the connection is cut on purpose")
    }
}

impl Error for ConnectionCut {}

/// A body that is known at once, or that arrives piece by piece.
#[derive(Debug)]
pub enum StandinBody {
    /// The whole body.
    Whole(Option<Bytes>),
    /// Pieces until the sender is dropped; an error cuts the connection.
    Pieces(UnboundedReceiver<Result<Bytes, ConnectionCut>>),
    /// A body whose pieces are being written before the connection is cut.
    Cutting,
}

impl From<Bytes> for StandinBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(receiver) => match Pin::new(receiver).poll_next(context) {
                // The server drops unwritten pieces at an error, so it gets a turn to write them.
                Poll::Ready(Some(Err(ConnectionCut))) => {
                    *self = Self::Cutting;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
                piece => piece.map(|piece| piece.map(|piece| piece.map(Frame::data))),
            },
            Self::Cutting => Poll::Ready(Some(Err(ConnectionCut))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) | Self::Cutting => SizeHint::default(),
        }
    }
}
