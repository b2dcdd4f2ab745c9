//! Answers to callers: bodies, errors and the headers that tell why.

use std::fmt::{self, Display, Formatter};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use coltsfootgate_core::prelude::{BranchPath, ErrorKind};
use futures_channel::mpsc;
use futures_util::Stream;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use serde_json::json;

use super::caller::PresenceGuard;
use super::stall::RequestGuard;
use crate::dialect::CallerDialect;

/// Header with the id of the request.
pub const REQUEST_ID: &str = "coltsfootgate-request-id";
/// Header with the outcome of the request.
pub const OUTCOME: &str = "coltsfootgate-outcome";
/// Header with the reason for the outcome.
pub const REASON: &str = "coltsfootgate-reason";
/// Header with the branch that set the rule which decided.
pub const RULE: &str = "coltsfootgate-rule";
/// Header with the version of the tree.
pub const CONFIG_VERSION: &str = "coltsfootgate-config-version";

/// Header of an answer that was recorded when the request first ran.
pub const REPLAYED: &str = "coltsfootgate-replayed";

/// A request that is answered with an error, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The kind of the error.
    pub kind: ErrorKind,
    /// The branch that set the rule which decided.
    pub rule: BranchPath,
    /// What was found and what is allowed, for the caller.
    pub message: String,
    /// When the same request may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal without a time to come back.
    pub fn new(kind: ErrorKind, rule: impl Into<BranchPath>, message: impl Into<String>) -> Self {
        Self { kind, rule: rule.into(), message: message.into(), retry_after: None }
    }

    /// Says when the same request may succeed.
    pub fn after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// The status of the answer.
    pub fn status(&self) -> StatusCode {
        // 499 and the like are valid codes, so the fallback is never met.
        StatusCode::from_u16(self.kind.answer().status).unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// The body of the answer, in the shape that OpenAI clients parse.
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

    /// The headers of the answer that depend on the kind alone.
    pub fn headers<D: CallerDialect>(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.kind.answer().may_retry {
            let delay = self.retry_after.unwrap_or(Duration::from_secs(1));
            headers.insert(header::RETRY_AFTER, D::retry_after(delay));
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

/// Ends a transfer so that the caller cannot take the answer for whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenTransfer;

impl Display for BrokenTransfer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer broke off before its end")
    }
}

impl std::error::Error for BrokenTransfer {}

/// The body of an answer.
#[derive(Debug)]
pub struct AnswerBody {
    content: AnswerContent,
    guard: Option<PresenceGuard>,
    request: Option<RequestGuard>,
}

#[derive(Debug)]
enum AnswerContent {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, BrokenTransfer>>),
    /// The pieces before the break are being written.
    Breaking,
}

impl AnswerBody {
    /// A body that is there at once.
    pub fn whole(body: Bytes) -> Self {
        let content = (!body.is_empty()).then_some(body);
        Self { content: AnswerContent::Whole(content), guard: None, request: None }
    }

    /// A body whose pieces arrive one by one.
    pub fn stream(pieces: mpsc::Receiver<Result<Bytes, BrokenTransfer>>) -> Self {
        Self { content: AnswerContent::Stream(pieces), guard: None, request: None }
    }

    /// Keeps the guard until the body is written or dropped.
    pub fn holding(mut self, guard: PresenceGuard) -> Self {
        self.guard = Some(guard);
        self
    }

    /// Marks the request as served until the body is written or dropped.
    pub fn serving(mut self, request: RequestGuard) -> Self {
        self.request = Some(request);
        self
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenTransfer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenTransfer>>> {
        match &mut self.content {
            AnswerContent::Whole(body) => {
                Poll::Ready(body.take().map(|body| Ok(Frame::data(body))))
            }
            AnswerContent::Stream(pieces) => match Pin::new(pieces).poll_next(context) {
                // The server drops unwritten pieces at an error, so it gets a turn to write them.
                Poll::Ready(Some(Err(BrokenTransfer))) => {
                    self.content = AnswerContent::Breaking;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
                piece => piece.map(|piece| piece.map(|piece| piece.map(Frame::data))),
            },
            AnswerContent::Breaking => Poll::Ready(Some(Err(BrokenTransfer))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, AnswerContent::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            AnswerContent::Whole(Some(body)) => SizeHint::with_exact(body.len() as u64),
            AnswerContent::Whole(None) => SizeHint::with_exact(0),
            AnswerContent::Stream(_) | AnswerContent::Breaking => SizeHint::default(),
        }
    }
}
