//! Answers to callers: bodies, errors and the headers that report the outcome.

use std::fmt::{self, Display, Formatter};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use coltsfootgate_core::prelude::{BranchPath, ErrorKind};
use futures_util::Stream;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use serde_json::json;

use super::caller::ConnectionGuard;
use super::pieces::PieceReceiver;
use super::stall::RequestGuard;
use crate::dialect::CallerDialect;
use crate::transfer::take_frame;

/// Header with the id of the request.
pub const REQUEST_ID: &str = "coltsfootgate-request-id";
/// Header with the outcome of the request.
pub const OUTCOME: &str = "coltsfootgate-outcome";
/// Header with the reason for the outcome.
pub const REASON: &str = "coltsfootgate-reason";
/// Header with the branch of the settings tree with the rule that decided the outcome.
pub const RULE: &str = "coltsfootgate-rule";
/// Header with the version of the settings tree.
pub const CONFIG_VERSION: &str = "coltsfootgate-config-version";

/// Header of an answer that was stored when an earlier request with the same idempotency key ran.
pub const REPLAYED: &str = "coltsfootgate-replayed";

/// An error that answers a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The kind of the error.
    pub kind: ErrorKind,
    /// The branch of the settings tree with the rule that decided.
    pub rule: BranchPath,
    /// The message for the caller: what was found and what is allowed.
    pub message: String,
    /// The delay after which the same request may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a delay for the next attempt.
    pub fn new(kind: ErrorKind, rule: impl Into<BranchPath>, message: impl Into<String>) -> Self {
        Self { kind, rule: rule.into(), message: message.into(), retry_after: None }
    }

    /// Sets the delay after which the same request may succeed.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// The status of the answer.
    pub fn status(&self) -> StatusCode {
        // Non-standard codes such as 499 are valid, so the fallback is never used.
        StatusCode::from_u16(self.kind.answer().status).unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// The body of the answer, in the format that OpenAI clients parse.
    pub fn body(&self) -> Bytes {
        let answer = self.kind.answer();
        let error = json!({
            "message": self.message,
            "type": answer.error_type,
            "param": null,
            "code": answer.code,
        });
        Bytes::from(json!({ "error": error }).to_string())
    }

    /// Whether the caller must not use the connection again.
    fn ends_connection(&self) -> bool {
        matches!(self.kind, ErrorKind::InstanceLeaving | ErrorKind::InstanceStopped)
    }

    /// The headers of the answer that depend only on the kind of the error and its delay.
    pub fn headers<D: CallerDialect>(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.kind.answer().may_retry {
            let delay = self.retry_after.unwrap_or(Duration::from_secs(1));
            headers.insert(header::RETRY_AFTER, D::retry_after(delay));
        }
        if self.ends_connection() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        headers
    }
}

impl Display for Refusal {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Refusal {}

/// The error that aborts a transfer, so that the caller does not take the answer for complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AbortedTransfer;

impl Display for AbortedTransfer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was aborted before it was complete")
    }
}

impl std::error::Error for AbortedTransfer {}

/// The body of an answer.
#[derive(Debug)]
pub struct AnswerBody {
    content: AnswerContent,
    guard: Option<ConnectionGuard>,
    request: Option<RequestGuard>,
}

#[derive(Debug)]
enum AnswerContent {
    /// What is left of a complete answer.
    Full(Bytes),
    Stream(PieceReceiver),
    /// The pieces before the abort are being written.
    Aborting,
}

impl AnswerBody {
    /// Creates a body from complete content.
    pub fn full(body: Bytes) -> Self {
        Self { content: AnswerContent::Full(body), guard: None, request: None }
    }

    /// Creates a body whose pieces arrive one by one.
    pub fn stream(pieces: PieceReceiver) -> Self {
        Self { content: AnswerContent::Stream(pieces), guard: None, request: None }
    }

    /// Holds the guard of the caller's connection until the body is written or dropped.
    pub fn with_connection(mut self, guard: ConnectionGuard) -> Self {
        self.guard = Some(guard);
        self
    }

    /// Holds the guard of the request until the body is written or dropped.
    pub fn with_request(mut self, request: RequestGuard) -> Self {
        self.request = Some(request);
        self
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AbortedTransfer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedTransfer>>> {
        match &mut self.content {
            AnswerContent::Full(body) => {
                Poll::Ready(take_frame(body).map(|frame| Ok(Frame::data(frame))))
            }
            AnswerContent::Stream(pieces) => match Pin::new(pieces).poll_next(context) {
                // The server drops unwritten pieces on an error. The error is therefore delayed by
                // one poll, in which the server can write them.
                Poll::Ready(Some(Err(AbortedTransfer))) => {
                    self.content = AnswerContent::Aborting;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
                piece => piece.map(|piece| piece.map(|piece| piece.map(Frame::data))),
            },
            AnswerContent::Aborting => Poll::Ready(Some(Err(AbortedTransfer))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, AnswerContent::Full(body) if body.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            AnswerContent::Full(body) => SizeHint::with_exact(body.len() as u64),
            AnswerContent::Stream(_) | AnswerContent::Aborting => SizeHint::default(),
        }
    }
}
