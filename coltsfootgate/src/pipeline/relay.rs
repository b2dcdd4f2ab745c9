//! Relays an endpoint's answer to the caller, and checks that it is complete and belongs to the
//! attempt.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use coltsfootgate_core::answer::ContentEnd;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderValue, StatusCode, header};

use super::admit::{AttemptMeasurements, GrantLease};
use super::classify::{AnswerForm, ClassifiedRequest};
use super::context::PipelineContext;
use super::dispatch::answer_headers;
use super::journal::RequestJournal;
use super::resume::record_origin;
use super::settle::{ServedAnswer, outcome_headers, stream_head};
use crate::dialect::CallerDialect;
use crate::endpoint::event::{ChunkFields, EventReader, StreamEvent};
use crate::endpoint::scanner::EventScanner;
use crate::endpoint::{AnswerStream, EndpointAnswer, EndpointFailure};
use crate::entry::CallerLink;

/// Maximum size of an answer that is buffered until it is complete, in bytes.
const BUFFERED_ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;

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
    /// The id of the last event sent to the caller in any attempt.
    pub last_event: Option<Arc<str>>,
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
        if self.request.form == AnswerForm::EventStream {
            return self.relay_events::<D>(answer, caller, journal).await;
        }
        let is_model = self.request.form != AnswerForm::Service;
        if is_failed_answer(answer.status, is_model) {
            return RelayEnd::Failed(EndpointFailure::FailedAnswer(answer.status));
        }
        if self.request.form == AnswerForm::ModelStream && answer.status.is_success() {
            self.relay_stream::<D>(answer.stream, caller, journal).await
        } else {
            self.relay_body::<D>(answer, caller, journal).await
        }
    }

    async fn relay_stream<D: CallerDialect>(
        &mut self,
        mut stream: AnswerStream,
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> RelayEnd {
        let mut reader = EventReader::new();
        loop {
            match reader.next_event() {
                Ok(Some(StreamEvent::Done)) => {
                    self.record_end(ContentEnd::Marked, &stream, journal);
                    return self.finish_stream(stream).await;
                }
                Ok(Some(StreamEvent::Chunk(event))) => {
                    if let Err(end) = self.forward_chunk::<D>(event, caller, journal).await {
                        return end;
                    }
                }
                Ok(None) => match self.next_piece(&mut stream, caller).await {
                    Ok(Some(piece)) => reader.push(&piece),
                    Ok(None) => {
                        self.record_end(ContentEnd::Unmarked, &stream, journal);
                        return RelayEnd::Failed(EndpointFailure::ConnectionLost);
                    }
                    Err(end) => return end,
                },
                Err(_) => return RelayEnd::Failed(EndpointFailure::Mismatched),
            }
        }
    }

    /// Records and counts where the content of an answer ended.
    fn record_end(&self, end: ContentEnd, stream: &AnswerStream, journal: &mut RequestJournal) {
        journal.record.answer_end = Some(end.name());
        self.context.metrics.answer_ended(stream.framing(), end);
    }

    /// Reads the end of the transfer, so that the connection can be reused.
    async fn finish_stream(&self, mut stream: AnswerStream) -> RelayEnd {
        // The answer is already complete; a transfer that does not end only loses the connection.
        let _ = stream.next(Duration::from_millis(20)).await;
        RelayEnd::Served(ServedAnswer::Stream)
    }

    async fn forward_chunk<D: CallerDialect>(
        &mut self,
        event: Bytes,
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> Result<(), RelayEnd> {
        let Some(fields) = ChunkFields::parse(&event) else {
            return Err(RelayEnd::Failed(EndpointFailure::Mismatched));
        };
        if fields.id != self.attempt {
            return Err(RelayEnd::Failed(EndpointFailure::Mismatched));
        }
        if !caller.has_started() {
            let (status, headers) = stream_head::<D>(self.request);
            caller.start_stream(status, headers);
        }
        let is_token = fields.has_token();
        if is_token {
            self.record_token(Instant::now(), journal);
        }
        if caller.send(event).await.is_err() {
            return Err(RelayEnd::CallerDisconnected);
        }
        if is_token {
            journal.record.tokens += 1;
        }
        Ok(())
    }

    fn record_token(&mut self, now: Instant, journal: &mut RequestJournal) {
        journal.record_first_token(now);
        let since_sent = now.duration_since(self.sent_at);
        let first = *self.measurements.first_token.get_or_insert(since_sent);
        if self.measurements.tokens > 0 {
            self.measurements.between_tokens =
                Some((since_sent - first) / self.measurements.tokens);
        }
        self.measurements.tokens += 1;
    }

    /// Forwards events as they arrive. The head is sent to the caller with the first event, so that
    /// another attempt can still answer if none arrives.
    async fn relay_events<D: CallerDialect>(
        &mut self,
        answer: EndpointAnswer,
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> RelayEnd {
        if !answer.status.is_success() {
            if caller.has_started() {
                return RelayEnd::Failed(EndpointFailure::FailedAnswer(answer.status));
            }
            // The body may be an error that another endpoint does not return.
            return self.relay_body::<D>(answer, caller, journal).await;
        }
        let EndpointAnswer { status, headers, mut stream } = answer;
        let headers = answer_headers(&headers);
        let mut reader = EventReader::new();
        let mut scanner = EventScanner::default();
        loop {
            let (events, is_end) = match self.next_piece(&mut stream, caller).await {
                Ok(Some(piece)) => {
                    scanner.scan_all(&piece);
                    match self.forwardable_events(&mut reader, piece) {
                        Ok(events) => (events, false),
                        Err(failure) => return RelayEnd::Failed(failure),
                    }
                }
                Ok(None) => {
                    self.record_end(scanner.end(), &stream, journal);
                    (reader.take_remainder(), true)
                }
                Err(end) => return end,
            };
            if !events.is_empty() {
                if !caller.has_started() {
                    record_origin(self.context, self.request, &self.lease.endpoint).await;
                    caller.start_stream(status, headers.clone());
                }
                if let Err(end) = self.forward_events(events, caller, journal).await {
                    return end;
                }
            }
            if is_end && caller.has_started() {
                return RelayEnd::Served(ServedAnswer::Forwarded);
            }
            if is_end {
                let body = Bytes::new();
                return RelayEnd::Served(ServedAnswer::Body { status, headers, body });
            }
        }
    }

    /// The part of a piece that may be forwarded: all of it, or only complete events if the stream
    /// may be resumed.
    fn forwardable_events(
        &mut self,
        reader: &mut EventReader,
        piece: Bytes,
    ) -> Result<Bytes, EndpointFailure> {
        if !self.request.class.resume {
            return Ok(piece);
        }
        reader.push(&piece);
        let (events, last) = reader.take_complete().map_err(|_| EndpointFailure::Mismatched)?;
        if last.is_some() {
            self.last_event = last;
        }
        Ok(events)
    }

    async fn forward_events(
        &mut self,
        events: Bytes,
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> Result<(), RelayEnd> {
        if self.measurements.tokens == 0 {
            self.lease.report_first_token();
        }
        self.record_token(Instant::now(), journal);
        caller.send(events).await.map_err(|_| RelayEnd::CallerDisconnected)?;
        journal.record.tokens += 1;
        Ok(())
    }

    async fn relay_body<D: CallerDialect>(
        &mut self,
        answer: EndpointAnswer,
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> RelayEnd {
        let EndpointAnswer { status, headers, mut stream } = answer;
        let headers = answer_headers(&headers);
        self.measurements.first_token = Some(self.sent_at.elapsed());
        let mut buffered = BytesMut::new();
        loop {
            match self.next_piece(&mut stream, caller).await {
                Ok(Some(piece)) => buffered.extend_from_slice(&piece),
                Ok(None) => {
                    self.record_end(ContentEnd::Opaque, &stream, journal);
                    break;
                }
                Err(end) => return end,
            }
            if buffered.len() > BUFFERED_ANSWER_BYTES_MAX {
                let head = (status, headers);
                return self
                    .forward_body::<D>(head, buffered.freeze(), stream, caller, journal)
                    .await;
            }
        }
        let body = buffered.freeze();
        if self.request.form == AnswerForm::ModelBody && !self.has_attempt_id(status, &body) {
            return RelayEnd::Failed(EndpointFailure::Mismatched);
        }
        journal.record_first_token(Instant::now());
        let answer = ServedAnswer::Body { status, headers, body };
        if status.is_server_error() && self.request.class.retries_errors {
            return RelayEnd::ErrorAnswer(answer);
        }
        RelayEnd::Served(answer)
    }

    /// Forwards an answer that is too large to buffer; on failure, the transfer to the caller is
    /// aborted.
    async fn forward_body<D: CallerDialect>(
        &mut self,
        (status, mut headers): (StatusCode, HeaderMap),
        buffered: Bytes,
        mut stream: AnswerStream,
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> RelayEnd {
        journal.record_first_token(Instant::now());
        headers.extend(outcome_headers::<D>(self.request, "streaming", "streaming", ""));
        caller.start_stream(status, headers);
        let mut piece = buffered;
        loop {
            if caller.send(piece).await.is_err() {
                return RelayEnd::CallerDisconnected;
            }
            match self.next_piece(&mut stream, caller).await {
                Ok(Some(next)) => piece = next,
                Ok(None) => {
                    self.record_end(ContentEnd::Opaque, &stream, journal);
                    return RelayEnd::Served(ServedAnswer::Forwarded);
                }
                Err(end) => return end,
            }
        }
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

    /// Whether a body echoes the id of the attempt; bodies of error answers are not checked.
    fn has_attempt_id(&self, status: StatusCode, body: &Bytes) -> bool {
        if !status.is_success() {
            return true;
        }
        let fields = serde_json::from_slice::<ChunkFields>(body);
        fields.is_ok_and(|fields| fields.id == self.attempt)
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
