//! Relays answers that are not streamed.

use std::time::Instant;

use bytes::Bytes;
use coltsfootgate_core::answer::ContentEnd;
use http::{HeaderMap, StatusCode};

use super::{RelayEnd, RelayTask};
use crate::dialect::CallerDialect;
use crate::endpoint::event::ChunkFields;
use crate::endpoint::{AnswerStream, EndpointAnswer, EndpointFailure};
use crate::entry::CallerLink;
use crate::pipeline::classify::AnswerForm;
use crate::pipeline::dispatch::answer_headers;
use crate::pipeline::journal::RequestJournal;
use crate::pipeline::settle::{ServedAnswer, outcome_headers};
use crate::transfer::{HeldBuffer, MemoryFull};

/// Maximum size of an answer that is buffered until it is complete, in bytes.
const BUFFERED_ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Whether an answer of this length may be buffered until it is complete.
fn fits_buffer(bytes: usize) -> bool {
    bytes <= BUFFERED_ANSWER_BYTES_MAX
}

impl RelayTask<'_> {
    /// Buffers an answer until it is complete, so that another attempt can still follow, and forwards
    /// it as it arrives once it is too large for that or no memory is left.
    pub(super) async fn relay_body<D: CallerDialect>(
        &mut self,
        answer: EndpointAnswer,
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> Result<ServedAnswer, RelayEnd> {
        let EndpointAnswer { status, headers, mut stream } = answer;
        let headers = answer_headers::<D>(&headers);
        self.measurements.first_token = Some(self.sent_at.elapsed());
        let (announced, memory) = (stream.length(), self.context.answer_memory());
        let may_fit = announced.is_none_or(|length| fits_buffer(length) && memory.covers(length));
        let mut buffered = HeldBuffer::new(memory, announced.filter(|_| may_fit));
        while let Some(piece) = self.next_piece(&mut stream, caller).await? {
            let is_covered = buffered.extend(&piece) != Err(MemoryFull);
            if !may_fit || !is_covered || !fits_buffer(buffered.len()) {
                let head = (status, headers);
                return self
                    .forward_body::<D>(head, buffered.freeze(), stream, caller, journal)
                    .await;
            }
        }
        self.end_answer(ContentEnd::Opaque, &stream, journal)?;
        let body = buffered.freeze();
        if self.request.form == AnswerForm::ModelBody && !self.has_attempt_id(status, &body) {
            return Err(EndpointFailure::Mismatched.into());
        }
        journal.record_first_token(Instant::now());
        let answer = ServedAnswer::Body { status, headers, body };
        if status.is_server_error() && self.request.class.retries_errors {
            return Err(RelayEnd::ErrorAnswer(answer));
        }
        Ok(answer)
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
    ) -> Result<ServedAnswer, RelayEnd> {
        journal.record_first_token(Instant::now());
        headers.extend(outcome_headers::<D>(self.request, "streaming", "streaming", ""));
        caller.start_stream(status, headers);
        let mut next = Some(buffered);
        while let Some(piece) = next {
            caller.send(piece).await.map_err(|_| RelayEnd::CallerDisconnected)?;
            next = self.next_piece(&mut stream, caller).await?;
        }
        self.end_answer(ContentEnd::Opaque, &stream, journal)?;
        Ok(ServedAnswer::Forwarded)
    }

    /// Whether a body echoes the id of the attempt; bodies of error answers are not checked.
    fn has_attempt_id(&self, status: StatusCode, body: &Bytes) -> bool {
        if !status.is_success() {
            return true;
        }
        ChunkFields::parse(body).is_some_and(|fields| fields.id == self.attempt)
    }
}
