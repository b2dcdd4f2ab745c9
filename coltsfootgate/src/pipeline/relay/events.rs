//! Relays streams of server-sent events of any kind.

use std::time::Instant;

use bytes::Bytes;

use super::{RelayEnd, RelayTask};
use crate::dialect::CallerDialect;
use crate::endpoint::event::{EventBatch, EventReader};
use crate::endpoint::{EndpointAnswer, EndpointFailure};
use crate::entry::CallerLink;
use crate::pipeline::dispatch::answer_headers;
use crate::pipeline::journal::RequestJournal;
use crate::pipeline::resume::record_origin;
use crate::pipeline::settle::ServedAnswer;

impl RelayTask<'_> {
    /// Forwards complete events as they arrive. The head is sent to the caller with the first event, so
    /// that another attempt can still answer if none arrives.
    pub(super) async fn relay_events<D: CallerDialect>(
        &mut self,
        answer: EndpointAnswer,
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> Result<ServedAnswer, RelayEnd> {
        if !answer.status.is_success() {
            if caller.has_started() {
                return Err(EndpointFailure::FailedAnswer(answer.status).into());
            }
            // The body may be an error that another endpoint does not return.
            return self.relay_body::<D>(answer, caller, journal).await;
        }
        let is_continuation = caller.has_started();
        let EndpointAnswer { status, headers, mut stream } = answer;
        let headers = answer_headers::<D>(&headers);
        let mut reader = EventReader::new(self.context.answer_memory(), self.position.clone());
        while let Some(piece) = self.next_piece(&mut stream, caller).await? {
            reader.push(&piece);
            let EventBatch { bytes: events, position } = reader.take_complete()?;
            self.position = position;
            if events.is_empty() {
                continue;
            }
            if !caller.has_started() {
                record_origin(self.context, self.request, &self.lease.endpoint).await;
                caller.start_stream(status, headers.clone());
            }
            self.forward_events(events, caller, journal).await?;
        }
        self.end_answer(reader.end(), &stream, journal)?;
        // The stream broke off before its end, so something must follow.
        if is_continuation && self.measurements.tokens == 0 {
            return Err(EndpointFailure::ConnectionLost.into());
        }
        let body = reader.take_remainder();
        if !caller.has_started() {
            return Ok(ServedAnswer::Body { status, headers, body });
        }
        if !body.is_empty() {
            caller.send(body).await.map_err(|_| RelayEnd::CallerDisconnected)?;
        }
        Ok(ServedAnswer::Forwarded)
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
}
