//! Relays streams of server-sent events of any kind.

use std::time::Instant;

use bytes::Bytes;

use super::{RelayEnd, RelayTask};
use crate::dialect::CallerDialect;
use crate::endpoint::event::EventReader;
use crate::endpoint::scanner::EventScanner;
use crate::endpoint::{EndpointAnswer, EndpointFailure};
use crate::entry::CallerLink;
use crate::pipeline::dispatch::answer_headers;
use crate::pipeline::journal::RequestJournal;
use crate::pipeline::resume::record_origin;
use crate::pipeline::settle::ServedAnswer;

impl RelayTask<'_> {
    /// Forwards events as they arrive. The head is sent to the caller with the first event, so that
    /// another attempt can still answer if none arrives.
    pub(super) async fn relay_events<D: CallerDialect>(
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
}
