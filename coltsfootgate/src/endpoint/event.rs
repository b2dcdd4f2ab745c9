//! Splits a streamed answer into server-sent events.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Maximum size of an event, in bytes; a larger one fails the attempt.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// One event of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// A chunk of the answer, unchanged, including its blank line.
    Chunk(Bytes),
    /// The end of a complete answer.
    Done,
}

/// An event exceeded its maximum size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLarge;

/// The fields of a chunk that the router reads.
#[derive(Debug, Deserialize)]
pub struct ChunkFields {
    /// The id of the attempt, echoed by the engine.
    #[serde(default)]
    pub id: String,
    /// The choices of the chunk.
    #[serde(default)]
    pub choices: Vec<ChoiceFields>,
}

/// The fields of a choice that the router reads.
#[derive(Debug, Deserialize)]
pub struct ChoiceFields {
    /// Set in the chunk that ends the choice.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

impl ChunkFields {
    /// Parses the data of an event; `None` if it has none or is not a valid chunk.
    pub fn parse(event: &[u8]) -> Option<Self> {
        serde_json::from_slice(event_data(event)?).ok()
    }

    /// Whether the chunk contains a token rather than the end of the answer.
    pub fn has_token(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason.is_none())
    }
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    scanned: usize,
}

impl EventReader {
    /// Creates a reader with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Removes all complete events from the buffer and returns them unchanged, with the id of the
    /// last one that has an id.
    ///
    /// # Errors
    ///
    /// Fails if the incomplete event in the buffer is too large.
    pub fn take_complete(&mut self) -> Result<(Bytes, Option<Arc<str>>), EventTooLarge> {
        let mut end = 0;
        while let Some(position) = self.find_event_end() {
            end = position;
            self.scanned = position;
        }
        self.scanned -= end;
        if self.buffer.len() - end > EVENT_BYTES_MAX {
            return Err(EventTooLarge);
        }
        let events = self.buffer.split_to(end).freeze();
        let last = last_event_id(&events);
        Ok((events, last))
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// Removes and returns the next complete event; `None` if more of the stream must arrive first.
    ///
    /// # Errors
    ///
    /// Fails if the incomplete event in the buffer is too large.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLarge> {
        let Some(end) = self.find_event_end() else {
            return if self.buffer.len() > EVENT_BYTES_MAX { Err(EventTooLarge) } else { Ok(None) };
        };
        let event = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let is_done = event_data(&event).is_some_and(|data| data == b"[DONE]");
        Ok(Some(if is_done { StreamEvent::Done } else { StreamEvent::Chunk(event) }))
    }

    /// Returns the position after the next blank line; each byte is scanned only once.
    fn find_event_end(&mut self) -> Option<usize> {
        let start = self.scanned;
        for position in start..self.buffer.len() {
            if self.buffer[position] != b'\n' {
                continue;
            }
            let before = &self.buffer[..position];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(position + 1);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

/// Returns the value of the last `id` line.
fn last_event_id(events: &[u8]) -> Option<Arc<str>> {
    let mut ids = events.split(|byte| *byte == b'\n').rev().filter_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id.trim_ascii()).ok()
    });
    ids.next().map(Arc::from)
}

fn event_data(event: &[u8]) -> Option<&[u8]> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let data = line.strip_prefix(b"data:")?;
        Some(data.trim_ascii())
    })
}
