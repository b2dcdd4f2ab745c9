//! Relays the streams of model engines.

use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootgate_core::answer::ContentEnd;
use coltsfootgate_core::stream::StreamPosition;

use super::{RelayEnd, RelayTask};
use crate::dialect::CallerDialect;
use crate::endpoint::event::{ChunkFields, EventReader, StreamEvent};
use crate::endpoint::{AnswerStream, EndpointFailure};
use crate::entry::CallerLink;
use crate::pipeline::journal::RequestJournal;
use crate::pipeline::settle::{ServedAnswer, stream_head};

/// Maximum time for the end of a transfer to arrive after the mark that ends its content.
const TRANSFER_END_TIMEOUT: Duration = Duration::from_millis(20);

impl RelayTask<'_> {
    /// Forwards the chunks of a stream as they arrive, up to the mark that ends it.
    pub(super) async fn relay_stream<D: CallerDialect>(
        &mut self,
        mut stream: AnswerStream,
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> Result<ServedAnswer, RelayEnd> {
        let mut reader = EventReader::new(self.context.answer_memory(), StreamPosition::Start);
        loop {
            match reader.next_event()? {
                Some(StreamEvent::Done) => {
                    self.end_answer(ContentEnd::Marked, &stream, journal)?;
                    // Read only so that the connection can be reused.
                    let _ = stream.next(TRANSFER_END_TIMEOUT).await;
                    return Ok(ServedAnswer::Stream);
                }
                Some(StreamEvent::Chunk { event, data }) => {
                    self.forward_chunk::<D>(event, &data, caller, journal).await?;
                }
                None => match self.next_piece(&mut stream, caller).await? {
                    Some(piece) => reader.push(&piece),
                    None => {
                        self.end_answer(ContentEnd::Unmarked, &stream, journal)?;
                        return Ok(ServedAnswer::Stream);
                    }
                },
            }
        }
    }

    async fn forward_chunk<D: CallerDialect>(
        &mut self,
        event: Bytes,
        data: &[u8],
        caller: &mut CallerLink,
        journal: &mut RequestJournal,
    ) -> Result<(), RelayEnd> {
        let Some(fields) = ChunkFields::parse(data) else {
            return Err(EndpointFailure::Mismatched.into());
        };
        if fields.id != self.attempt {
            return Err(EndpointFailure::Mismatched.into());
        }
        if !caller.has_started() {
            let (status, headers) = stream_head::<D>(self.request);
            caller.start_stream(status, headers);
        }
        let is_token = fields.has_token();
        if is_token {
            self.record_token(Instant::now(), journal);
        }
        if !is_token {
            // Endpoints skip tokens only, so this chunk would be sent again.
            self.position = StreamPosition::Unknown;
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
