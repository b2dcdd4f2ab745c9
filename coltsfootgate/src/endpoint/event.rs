//! Splits a streamed answer into server-sent events.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use coltsfootgate_core::answer::ContentEnd;
use serde::Deserialize;

use super::scanner::EventScanner;
use crate::transfer::{MemoryPart, MemoryShare};

/// Maximum size of an event and the comments before it, in bytes; a larger one fails the attempt.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// One event of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// A chunk of the answer, unchanged, including its blank line.
    Chunk(Bytes),
    /// The end of a complete answer.
    Done,
}

/// An event, with the comments before it, exceeded its maximum size or the memory that is left.
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
#[derive(Debug)]
pub struct EventReader {
    buffer: BytesMut,
    share: MemoryShare,
    scanner: EventScanner,
    scanned: usize,
}

impl EventReader {
    /// Creates a reader with an empty buffer, whose memory is drawn from `memory`.
    pub fn new(memory: &MemoryPart) -> Self {
        let (buffer, scanner) = (BytesMut::new(), EventScanner::default());
        Self { buffer, share: memory.share(), scanner, scanned: 0 }
    }

    /// Appends a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Removes all complete events from the buffer and returns them unchanged, with the id of the
    /// last one that has an id. Comments before the first event are returned with it.
    ///
    /// # Errors
    ///
    /// Fails if too many bytes arrived without completing an event, or no memory is left for them.
    pub fn take_complete(&mut self) -> Result<(Bytes, Option<Arc<str>>), EventTooLarge> {
        let mut end = 0;
        while let Some(position) = self.find_block_end() {
            if self.scanner.has_event() {
                end = position;
            }
        }
        self.check_size()?;
        let events = self.split_to(end);
        let last = last_event_id(&events);
        Ok((events, last))
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.split_to(self.buffer.len())
    }

    /// Where the stream ends if no further byte follows.
    pub fn end(&self) -> ContentEnd {
        self.scanner.end()
    }

    /// Removes and returns the next complete event; `None` if more of the stream must arrive first.
    ///
    /// # Errors
    ///
    /// Fails if too many bytes arrived without completing an event, or no memory is left for them.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLarge> {
        let Some(end) = self.find_block_end() else {
            return self.check_size().map(|()| None);
        };
        let event = self.split_to(end);
        let is_done = event_data(&event).is_some_and(|data| data == b"[DONE]");
        Ok(Some(if is_done { StreamEvent::Done } else { StreamEvent::Chunk(event) }))
    }

    fn check_size(&mut self) -> Result<(), EventTooLarge> {
        let is_covered = self.share.ask(self.buffer.capacity());
        let is_large = self.scanner.bytes_since_event() > EVENT_BYTES_MAX || !is_covered;
        if is_large { Err(EventTooLarge) } else { Ok(()) }
    }

    fn split_to(&mut self, end: usize) -> Bytes {
        self.scanned = self.scanned.saturating_sub(end);
        self.buffer.split_to(end).freeze()
    }

    /// Returns the position after the next blank line that ends a block; each byte is scanned only
    /// once.
    fn find_block_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.scanner.scan(byte) {
                // The line feed of a pair belongs to the blank line.
                if byte == b'\r' && self.buffer.get(self.scanned) == Some(&b'\n') {
                    self.scanned += 1;
                    self.scanner.scan(b'\n');
                }
                return Some(self.scanned);
            }
        }
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
