//! The link between the task that works on a request and the connection of its caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::SinkExt;
use http::{HeaderMap, Response, StatusCode};

use super::answer::{AbortedTransfer, AnswerBody};

/// Pieces of an answer held for a caller that reads slowly; beyond it the endpoint waits.
const BUFFERED_PIECES_MAX: usize = 16;

/// The caller closed its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerDisconnected;

/// Held by the connection's side; dropping it tells the task that the caller is disconnected.
#[derive(Debug)]
pub struct ConnectionGuard {
    _sender: oneshot::Sender<Infallible>,
}

/// Gives an answer to a caller, whole or piece by piece, and tells when the caller leaves.
#[derive(Debug)]
pub struct CallerLink {
    head: Option<oneshot::Sender<Response<AnswerBody>>>,
    pieces: Option<mpsc::Sender<Result<Bytes, AbortedTransfer>>>,
    presence: oneshot::Receiver<Infallible>,
}

/// The connection's side of a [`CallerLink`].
pub struct AnswerReceiver {
    /// Brings the answer of the request.
    pub head: oneshot::Receiver<Response<AnswerBody>>,
    /// To be kept as long as the caller is there.
    pub guard: ConnectionGuard,
}

impl CallerLink {
    /// Makes the two sides of a link.
    pub fn new() -> (Self, AnswerReceiver) {
        let (head_sender, head) = oneshot::channel();
        let (presence_sender, presence) = oneshot::channel();
        let link = Self { head: Some(head_sender), pieces: None, presence };
        let guard = ConnectionGuard { _sender: presence_sender };
        (link, AnswerReceiver { head, guard })
    }

    /// Whether the head of an answer was given, so that no other answer can be.
    pub fn has_started(&self) -> bool {
        self.head.is_none()
    }

    /// Gives a whole answer.
    pub fn answer_whole(&mut self, status: StatusCode, headers: HeaderMap, body: Bytes) {
        self.answer(status, headers, AnswerBody::whole(body));
    }

    /// Gives the head of an answer whose pieces follow.
    pub fn start_stream(&mut self, status: StatusCode, headers: HeaderMap) {
        let (sender, receiver) = mpsc::channel(BUFFERED_PIECES_MAX);
        self.pieces = Some(sender);
        self.answer(status, headers, AnswerBody::stream(receiver));
    }

    /// Gives a piece of a started answer, waiting while the caller is behind.
    pub async fn send(&mut self, piece: Bytes) -> Result<(), CallerDisconnected> {
        let pieces = self.pieces.as_mut().ok_or(CallerDisconnected)?;
        pieces.send(Ok(piece)).await.map_err(|_| CallerDisconnected)
    }

    /// Ends a started answer so that the caller sees a whole transfer.
    pub fn finish(&mut self) {
        self.pieces = None;
    }

    /// Ends a started answer so that the caller sees a broken transfer.
    pub async fn abort(&mut self) {
        if let Some(mut pieces) = self.pieces.take() {
            let _ = pieces.send(Err(AbortedTransfer)).await;
        }
    }

    /// Resolves once the caller has left or has read its whole answer.
    pub async fn disconnected(&mut self) -> CallerDisconnected {
        let _ = (&mut self.presence).await;
        CallerDisconnected
    }

    /// Whether the caller has left.
    pub fn is_disconnected(&mut self) -> bool {
        let mut context = Context::from_waker(std::task::Waker::noop());
        let presence = Pin::new(&mut self.presence);
        matches!(presence.poll(&mut context), Poll::Ready(_))
    }

    fn answer(&mut self, status: StatusCode, headers: HeaderMap, body: AnswerBody) {
        let Some(head) = self.head.take() else { return };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        let _ = head.send(response);
    }
}
