//! The answer of an endpoint that a peer forwards.

use bytes::Bytes;
use h2::RecvStream;

use coltsfootgate_wire::ForwardReply;

use super::PeerError;
use super::exchange::ForwardedHead;
use super::link::CallCount;

/// Bytes of an answer that may arrive before its caller reads them: the flow-control window of a stream.
pub const ANSWER_WINDOW_BYTES: usize = 64 * 1024;

/// The reply of a peer that was asked to forward a request, with the bytes that follow it. Dropping it
/// before its end cancels the request at the endpoint.
pub struct ForwardedAnswer {
    /// What became of the request.
    pub reply: ForwardReply,
    /// The bytes of the endpoint's answer.
    pub body: ForwardedBody,
}

/// The bytes of an answer that a peer forwards.
pub struct ForwardedBody {
    first: Bytes,
    stream: RecvStream,
    /// Keeps the connection under watch while the answer lasts.
    _count: CallCount,
}

impl ForwardedAnswer {
    pub(super) fn new(head: ForwardedHead, count: CallCount) -> Self {
        let ForwardedHead { reply, first, body } = head;
        Self { reply, body: ForwardedBody { first, stream: body, _count: count } }
    }
}

impl ForwardedBody {
    /// Returns the next piece of the answer, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the peer or the endpoint broke off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, PeerError> {
        if !self.first.is_empty() {
            return Ok(Some(std::mem::take(&mut self.first)));
        }
        let Some(piece) = self.stream.data().await else { return Ok(None) };
        let piece = piece?;
        self.stream.flow_control().release_capacity(piece.len())?;
        Ok(Some(piece))
    }
}
