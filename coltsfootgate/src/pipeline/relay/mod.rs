//! Relays an endpoint's answer to the caller, and checks that it is complete and belongs to the
//! attempt.

mod body;
mod events;
mod model;

use std::convert::identity;
use std::time::Instant;

use bytes::Bytes;
use coltsfootgate_core::answer::{ContentEnd, is_complete};
use coltsfootgate_core::stream::StreamPosition;
use futures_util::future::{Either, select};
use http::{HeaderValue, StatusCode, header};

use super::classify::{AnswerForm, ClassifiedRequest};
use super::context::PipelineContext;
use super::journal::RequestJournal;
use super::lease::{AttemptMeasurements, GrantLease};
use super::settle::ServedAnswer;
use crate::dialect::CallerDialect;
use crate::endpoint::event::EventTooLarge;
use crate::endpoint::{AnswerStream, EndpointAnswer, EndpointFailure};
use crate::entry::CallerLink;

/// How the relaying of one attempt ended.
#[derive(Debug)]
pub enum RelayEnd {
    /// The endpoint sent a complete answer.
    Served(ServedAnswer),
    /// The caller disconnected.
    CallerDisconnected,
    /// The endpoint sent a complete error answer, which the caller gets unless a retry follows.
    ErrorAnswer(ServedAnswer),
    /// The endpoint failed before the answer was complete.
    Failed(EndpointFailure),
}

impl From<EndpointFailure> for RelayEnd {
    fn from(failure: EndpointFailure) -> Self {
        Self::Failed(failure)
    }
}

impl From<EventTooLarge> for RelayEnd {
    fn from(_: EventTooLarge) -> Self {
        Self::Failed(EndpointFailure::Mismatched)
    }
}

/// The state needed to relay the answer of one attempt.
pub struct RelayTask<'a> {
    /// The state shared by all requests.
    pub context: &'a PipelineContext,
    /// The request.
    pub request: &'a ClassifiedRequest,
    /// The grant under which it was sent.
    pub lease: &'a GrantLease,
    /// The id of the attempt, which the answer must echo.
    pub attempt: &'a str,
    /// When the request was sent.
    pub sent_at: Instant,
    /// The measurements of the attempt.
    pub measurements: AttemptMeasurements,
    /// Whether the request was counted as begun.
    pub has_begun: bool,
    /// Where the caller is in a stream of events, after all attempts.
    pub position: StreamPosition,
}

impl RelayTask<'_> {
    /// Relays an answer until it ends, fails or the caller disconnects.
    pub async fn relay<D: CallerDialect>(
        &mut self,
        answer: EndpointAnswer,
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> RelayEnd {
        journal.record.answer_framing = Some(answer.stream.framing().name());
        journal.record.answer_end = None;
        let is_model = !matches!(self.request.form, AnswerForm::Service | AnswerForm::EventStream);
        let relayed = match self.request.form {
            AnswerForm::EventStream => self.relay_events::<D>(answer, caller, journal).await,
            _ if is_failed_answer(answer.status, is_model) => {
                Err(RelayEnd::Failed(EndpointFailure::FailedAnswer(answer.status)))
            }
            AnswerForm::ModelStream if answer.status.is_success() => {
                self.relay_stream::<D>(answer.stream, caller, journal).await
            }
            AnswerForm::ModelStream | AnswerForm::ModelBody | AnswerForm::Service => {
                self.relay_body::<D>(answer, caller, journal).await
            }
        };
        relayed.map_or_else(identity, RelayEnd::Served)
    }

    /// Ends an answer whose transfer ended without an error.
    ///
    /// Fails unless the answer is complete.
    fn end_answer(
        &self,
        end: ContentEnd,
        stream: &AnswerStream,
        journal: &mut RequestJournal,
    ) -> Result<(), EndpointFailure> {
        let framing = stream.framing();
        journal.record.answer_end = Some(end.name());
        self.context.metrics.answer_ended(framing, end);
        if is_complete(framing, end) { Ok(()) } else { Err(EndpointFailure::ConnectionLost) }
    }

    /// Counts the request as one that the endpoint began to run.
    pub fn record_begun(&mut self) {
        if !self.has_begun {
            self.has_begun = true;
            self.context.usage.record_begun(&self.request.customer.id);
        }
    }

    fn record_token(&mut self, now: Instant, journal: &mut RequestJournal) {
        self.record_begun();
        journal.record_first_token(now);
        let since_sent = now.duration_since(self.sent_at);
        let first = *self.measurements.first_token.get_or_insert(since_sent);
        if self.measurements.tokens > 0 {
            self.measurements.between_tokens =
                Some((since_sent - first) / self.measurements.tokens);
        }
        self.measurements.tokens += 1;
    }

    /// Returns the next piece of the answer, unless the caller disconnects first.
    async fn next_piece(
        &self,
        stream: &mut AnswerStream,
        caller: &mut CallerLink,
    ) -> Result<Option<Bytes>, RelayEnd> {
        let next = stream.next(self.request.pool.silence);
        match select(std::pin::pin!(next), std::pin::pin!(caller.disconnected())).await {
            Either::Left((piece, _)) => piece.map_err(RelayEnd::Failed),
            Either::Right(_) => Err(RelayEnd::CallerDisconnected),
        }
    }
}

/// Whether a status reports a failure of the endpoint rather than an answer to the request.
fn is_failed_answer(status: StatusCode, is_model: bool) -> bool {
    match status {
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
            true
        }
        _ => is_model && (status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS),
    }
}

/// The content type of a streamed answer.
pub fn event_stream_type() -> (header::HeaderName, HeaderValue) {
    (header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"))
}
