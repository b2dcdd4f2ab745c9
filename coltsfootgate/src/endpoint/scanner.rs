//! Follows the lines of a stream of server-sent events to find where events end.

use coltsfootgate_core::answer::ContentEnd;

/// What the line being read consists of so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LineKind {
    /// No byte yet.
    #[default]
    Empty,
    /// A comment, which begins with a colon.
    Comment,
    /// A field of an event.
    Field,
}

/// Finds the blank lines that end events.
///
/// A line ends with a line feed, a carriage return or both. A block of comments between two blank
/// lines is not an event.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    line: LineKind,
    follows_return: bool,
    /// Whether a line was read since the last blank one.
    in_block: bool,
    /// Whether one of these lines is a field.
    has_field: bool,
    has_event: bool,
    bytes_since_event: usize,
}

impl EventScanner {
    /// Reads the next byte and returns whether it ends a block of lines.
    pub fn scan(&mut self, byte: u8) -> bool {
        let ends_pair = self.follows_return && byte == b'\n';
        self.follows_return = byte == b'\r';
        self.bytes_since_event += 1;
        if ends_pair {
            return false;
        }
        if !matches!(byte, b'\n' | b'\r') {
            self.read_character(byte);
            return false;
        }
        let line = std::mem::take(&mut self.line);
        let ends_block = self.in_block && line == LineKind::Empty;
        if ends_block {
            self.end_block();
        }
        ends_block
    }

    /// Reads a piece of the stream.
    pub fn scan_all(&mut self, piece: &[u8]) {
        for byte in piece {
            self.scan(*byte);
        }
    }

    /// Whether a complete event was read.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// The number of bytes read since the last complete event.
    pub fn bytes_since_event(&self) -> usize {
        self.bytes_since_event
    }

    /// Where the stream ends if no further byte follows.
    pub fn end(&self) -> ContentEnd {
        if self.in_block {
            ContentEnd::InsideEvent
        } else if self.has_event {
            ContentEnd::BetweenEvents
        } else {
            ContentEnd::NoEvent
        }
    }

    fn read_character(&mut self, byte: u8) {
        if self.line != LineKind::Empty {
            return;
        }
        self.in_block = true;
        self.line = if byte == b':' { LineKind::Comment } else { LineKind::Field };
        self.has_field |= self.line == LineKind::Field;
    }

    fn end_block(&mut self) {
        self.in_block = false;
        if std::mem::take(&mut self.has_field) {
            self.has_event = true;
            self.bytes_since_event = 0;
        }
    }
}
