//! Connects the task that processes a request with the connection of its caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_channel::oneshot;
use http::{HeaderMap, Response, StatusCode};

use super::answer::AnswerBody;
use super::pieces::{PieceSender, piece_channel};
use crate::transfer::{MemoryAccount, MemoryPart, MemoryUse};

/// The caller closed its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerDisconnected;

/// Held by the connection; dropping it reports to the task that the caller has disconnected.
#[derive(Debug)]
pub struct ConnectionGuard {
    _sender: oneshot::Sender<Infallible>,
}

/// Sends an answer to a caller, complete or in pieces, and detects when the caller disconnects.
#[derive(Debug)]
pub struct CallerLink {
    head: Option<oneshot::Sender<Response<AnswerBody>>>,
    pieces: Option<PieceSender>,
    /// The memory for pieces that wait for the caller.
    memory: MemoryPart,
    disconnection: oneshot::Receiver<Infallible>,
}

/// The connection's end of a [`CallerLink`].
pub struct AnswerReceiver {
    /// Receives the head of the answer, with its body.
    pub head: oneshot::Receiver<Response<AnswerBody>>,
    /// Must be held as long as the caller is connected.
    pub guard: ConnectionGuard,
}

impl AnswerReceiver {
    /// Waits for the answer.
    ///
    /// A task that was dropped without an answer may have sent the request, so its caller must not be told that
    /// the request did not run.
    pub async fn receive(self) -> Response<AnswerBody> {
        match self.head.await {
            Ok(response) => response.map(|body| body.with_connection(self.guard)),
            Err(_) => {
                let mut response = Response::new(AnswerBody::full(Bytes::new()));
                *response.status_mut() = StatusCode::BAD_GATEWAY;
                response
            }
        }
    }
}

impl CallerLink {
    /// Creates both ends of a link; what waits for a slow caller draws on `memory`.
    pub fn new(memory: &MemoryAccount) -> (Self, AnswerReceiver) {
        let memory = memory.part(MemoryUse::SlowCallers).clone();
        let (head_sender, head) = oneshot::channel();
        let (disconnection_sender, disconnection) = oneshot::channel();
        let link = Self { head: Some(head_sender), pieces: None, memory, disconnection };
        let guard = ConnectionGuard { _sender: disconnection_sender };
        (link, AnswerReceiver { head, guard })
    }

    /// Whether the head of an answer was sent, so that no other answer can follow.
    pub fn has_started(&self) -> bool {
        self.head.is_none()
    }

    /// Sends a complete answer.
    pub fn send_full(&mut self, status: StatusCode, headers: HeaderMap, body: Bytes) {
        self.send_head(status, headers, AnswerBody::full(body));
    }

    /// Sends the head of an answer whose body follows in pieces.
    pub fn start_stream(&mut self, status: StatusCode, headers: HeaderMap) {
        let (sender, receiver) = piece_channel(&self.memory);
        self.pieces = Some(sender);
        self.send_head(status, headers, AnswerBody::stream(receiver));
    }

    /// Sends a piece of a started answer, and waits while the buffer for a slow caller is full.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn send(&mut self, piece: Bytes) -> Result<(), CallerDisconnected> {
        let pieces = self.pieces.as_mut().ok_or(CallerDisconnected)?;
        pieces.send(piece).await
    }

    /// Ends a started answer as a complete transfer.
    pub fn finish(&mut self) {
        self.pieces = None;
    }

    /// Aborts a started answer, so that the caller sees an incomplete transfer.
    pub async fn abort(&mut self) {
        if let Some(pieces) = self.pieces.take() {
            pieces.abort().await;
        }
    }

    /// Resolves once the caller has disconnected or has read its complete answer.
    pub async fn disconnected(&mut self) -> CallerDisconnected {
        let _ = (&mut self.disconnection).await;
        CallerDisconnected
    }

    /// Whether the caller has disconnected.
    pub fn is_disconnected(&mut self) -> bool {
        let mut context = Context::from_waker(std::task::Waker::noop());
        let disconnection = Pin::new(&mut self.disconnection);
        matches!(disconnection.poll(&mut context), Poll::Ready(_))
    }

    fn send_head(&mut self, status: StatusCode, headers: HeaderMap, body: AnswerBody) {
        let Some(head) = self.head.take() else { return };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        let _ = head.send(response);
    }
}
