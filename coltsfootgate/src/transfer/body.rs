//! Bodies that are sent in pieces, so that a connection holds no second copy of them.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// Largest piece of a body that is passed to a connection at once, in bytes. A connection copies it to its buffer.
const FRAME_BYTES_MAX: usize = 16 * 1024;

/// Takes the next piece of a body that is passed to a connection; `None` if nothing is left.
pub fn take_frame(body: &mut Bytes) -> Option<Bytes> {
    let length = body.len().min(FRAME_BYTES_MAX);
    (length > 0).then(|| body.split_to(length))
}

/// A complete body.
#[derive(Clone, Debug)]
pub struct PiecedBody(Bytes);

impl From<Bytes> for PiecedBody {
    fn from(body: Bytes) -> Self {
        Self(body)
    }
}

impl Body for PiecedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(take_frame(&mut self.0).map(|frame| Ok(Frame::data(frame))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}
