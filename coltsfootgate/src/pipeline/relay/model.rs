//! Relays the streams of model engines.

use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootgate_core::answer::ContentEnd;

use super::{RelayEnd, RelayTask};
use crate::dialect::CallerDialect;
use crate::endpoint::event::{ChunkFields, EventReader, StreamEvent};
use crate::endpoint::{AnswerStream, EndpointFailure};
use crate::entry::CallerLink;
use crate::pipeline::journal::RequestJournal;
use crate::pipeline::settle::{ServedAnswer, stream_head};

impl RelayTask<'_> {
    /// Forwards the chunks of a stream as they arrive, up to the mark that ends it.
    pub(super) async fn relay_stream<D: CallerDialect>(
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
}
