//! Follows the lines of a stream of server-sent events to find where events end.

use coltsfootgate_core::answer::ContentEnd;

/// The bytes of a byte order mark, which may begin a stream and belongs to no line.
pub const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// What a byte of a stream ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScannedByte {
    /// Nothing: it is part of a line, or of the end of a line that ended before it.
    Inside,
    /// A line.
    LineEnd,
    /// A block of lines; the line that ends here is empty.
    BlockEnd,
}

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

/// Finds the ends of lines, and the blank lines that end events.
///
/// A line ends with a line feed, a carriage return or both. A block of comments between two blank
/// lines is not an event.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// Bytes at the start of the stream that are part of a byte order mark; its length from the first other byte on.
    mark_bytes: usize,
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
    /// Reads the next byte and returns what it ends.
    pub fn scan(&mut self, byte: u8) -> ScannedByte {
        let ends_pair = self.follows_return && byte == b'\n';
        self.follows_return = byte == b'\r';
        self.bytes_since_event += 1;
        if ends_pair || self.continues_mark(byte) {
            return ScannedByte::Inside;
        }
        if !matches!(byte, b'\n' | b'\r') {
            self.read_character(byte);
            return ScannedByte::Inside;
        }
        let line = std::mem::take(&mut self.line);
        if !self.in_block || line != LineKind::Empty {
            return ScannedByte::LineEnd;
        }
        self.end_block();
        ScannedByte::BlockEnd
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

    /// Whether a byte is part of a byte order mark at the start of the stream.
    fn continues_mark(&mut self, byte: u8) -> bool {
        let is_next = BYTE_ORDER_MARK.get(self.mark_bytes) == Some(&byte);
        if is_next {
            self.mark_bytes += 1;
            return true;
        }
        let is_broken_off = (1..BYTE_ORDER_MARK.len()).contains(&self.mark_bytes);
        self.mark_bytes = BYTE_ORDER_MARK.len();
        if is_broken_off {
            self.read_character(BYTE_ORDER_MARK[0]);
        }
        false
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
