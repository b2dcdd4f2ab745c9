//! Splits a streamed answer into server-sent events.

use std::ops::Range;

use bytes::{Bytes, BytesMut};
use coltsfootgate_core::answer::ContentEnd;
use coltsfootgate_core::stream::StreamPosition;
use serde::Deserialize;

use super::fields::EventFields;
use super::scanner::{BYTE_ORDER_MARK, EventScanner, ScannedByte};
use crate::transfer::{MemoryPart, MemoryShare};

/// Maximum size of an event and the comments before it, in bytes; a larger one fails the attempt.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// The data of the event that ends a complete answer of a model.
const END_MARK: &[u8] = b"[DONE]";

/// One event of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// A chunk of the answer.
    Chunk {
        /// The event, unchanged, including its blank line.
        event: Bytes,
        /// Its data; empty if it has none.
        data: Bytes,
    },
    /// The end of a complete answer.
    Done,
}

/// The complete events that a reader returns at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    /// The events, unchanged, with the comments between them.
    pub bytes: Bytes,
    /// The position after the last event.
    pub position: StreamPosition,
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
    /// Parses the data of an event, or a whole answer; `None` if it is not valid.
    pub fn parse(data: &[u8]) -> Option<Self> {
        serde_json::from_slice(data).ok()
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
    /// Where the line being read begins in the buffer.
    line_start: usize,
    /// Whether a line of the stream has ended.
    has_line: bool,
    /// The fields of the block being read.
    fields: EventFields,
    position: StreamPosition,
}

impl EventReader {
    /// Creates a reader with an empty buffer, whose memory is drawn from `memory`, for a stream that continues at a
    /// position.
    pub fn new(memory: &MemoryPart, position: StreamPosition) -> Self {
        Self {
            buffer: BytesMut::new(),
            share: memory.share(),
            scanner: EventScanner::default(),
            scanned: 0,
            line_start: 0,
            has_line: false,
            fields: EventFields::default(),
            position,
        }
    }

    /// Appends a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Removes all complete events from the buffer and returns them unchanged. Comments before the first event are
    /// returned with it.
    ///
    /// # Errors
    ///
    /// Fails if too many bytes arrived without completing an event, or no memory is left for them.
    pub fn take_complete(&mut self) -> Result<EventBatch, EventTooLarge> {
        let mut end = 0;
        while let Some(position) = self.find_block_end() {
            if self.scanner.has_event() {
                end = position;
            }
            self.fields.end_event(&mut self.position);
        }
        self.check_size()?;
        Ok(EventBatch { bytes: self.split_to(end), position: self.position.clone() })
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.split_to(self.buffer.len())
    }

    /// Where the stream ends if no further byte follows.
    pub fn end(&self) -> ContentEnd {
        self.scanner.end()
    }

    /// Removes and returns the next complete event, with the comments before it; `None` if more of the stream must
    /// arrive first.
    ///
    /// # Errors
    ///
    /// Fails if too many bytes arrived without completing an event, or no memory is left for them.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLarge> {
        while let Some(end) = self.find_block_end() {
            if !self.fields.has_field() {
                continue;
            }
            let event = self.split_to(end);
            let data = self.fields.data(&event);
            self.fields.end_event(&mut self.position);
            let is_done = data.trim_ascii() == END_MARK;
            let event = StreamEvent::Chunk { event, data };
            return Ok(Some(if is_done { StreamEvent::Done } else { event }));
        }
        self.check_size().map(|()| None)
    }

    fn check_size(&mut self) -> Result<(), EventTooLarge> {
        let is_covered = self.share.ask(self.buffer.capacity());
        let is_large = self.scanner.bytes_since_event() > EVENT_BYTES_MAX || !is_covered;
        if is_large { Err(EventTooLarge) } else { Ok(()) }
    }

    fn split_to(&mut self, end: usize) -> Bytes {
        self.scanned = self.scanned.saturating_sub(end);
        self.line_start = self.line_start.saturating_sub(end);
        self.buffer.split_to(end).freeze()
    }

    /// Returns the position after the next blank line that ends a block, and reads the lines before it; each byte
    /// is scanned only once.
    fn find_block_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            let line = self.line_start..self.scanned;
            self.scanned += 1;
            match self.scanner.scan(byte) {
                // The line feed of a pair follows the line that the carriage return ended.
                ScannedByte::Inside if byte == b'\n' => self.line_start = self.scanned,
                ScannedByte::Inside => {}
                ScannedByte::LineEnd => self.read_line(line),
                ScannedByte::BlockEnd => {
                    self.read_line(line);
                    self.take_line_feed(byte);
                    return Some(self.scanned);
                }
            }
        }
        None
    }

    /// Reads the line in a range of the buffer and begins the next one.
    fn read_line(&mut self, range: Range<usize>) {
        self.line_start = self.scanned;
        let has_mark = !self.has_line && self.buffer[range.clone()].starts_with(BYTE_ORDER_MARK);
        self.has_line = true;
        let skipped = if has_mark { BYTE_ORDER_MARK.len() } else { 0 };
        self.fields.read_line(&self.buffer, range.start + skipped..range.end);
    }

    /// Adds the line feed of a pair to the blank line that its carriage return ended.
    fn take_line_feed(&mut self, byte: u8) {
        if byte == b'\r' && self.buffer.get(self.scanned) == Some(&b'\n') {
            self.scanned += 1;
            self.scanner.scan(b'\n');
            self.line_start = self.scanned;
        }
    }
}
