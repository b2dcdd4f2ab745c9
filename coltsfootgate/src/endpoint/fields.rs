//! Reads the fields of a server-sent event from its lines.

use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;
use coltsfootgate_core::stream::StreamPosition;

/// What the lines of a block state about its id.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum IdField {
    /// No line names one.
    #[default]
    Missing,
    /// The last line that names one; it can be sent in a header unchanged.
    Named(Arc<str>),
    /// The last line that names one has none by which the event can be found again.
    Unusable,
}

/// The fields of the block of lines that is being read.
#[derive(Clone, Debug, Default)]
pub struct EventFields {
    id: IdField,
    /// Where the values of the data lines lie, in the bytes that the lines are read from.
    data: Vec<Range<usize>>,
    has_field: bool,
}

impl EventFields {
    /// Reads the line that lies in a range of `bytes`, without its end. A comment or an empty line states nothing.
    pub fn read_line(&mut self, bytes: &[u8], range: Range<usize>) {
        let line = &bytes[range.clone()];
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value_start) = match colon {
            Some(colon) => (&line[..colon], colon + 1),
            None => (line, line.len()),
        };
        if name.is_empty() {
            return;
        }
        self.has_field = true;
        let has_space = line.get(value_start) == Some(&b' ');
        let value_start = value_start + usize::from(has_space);
        match name {
            b"id" => self.read_id(&line[value_start..]),
            b"data" => self.data.push(range.start + value_start..range.end),
            _ => {}
        }
    }

    /// Whether a line with a field was read since the last event.
    pub fn has_field(&self) -> bool {
        self.has_field
    }

    /// The data of the event in `bytes`, which begin as those did that its lines were read from. Several lines of
    /// data are joined by line feeds.
    pub fn data(&self, bytes: &Bytes) -> Bytes {
        match &*self.data {
            [] => Bytes::new(),
            [line] => bytes.slice(line.clone()),
            lines => {
                let lines: Vec<&[u8]> = lines.iter().map(|line| &bytes[line.clone()]).collect();
                lines.join(&b'\n').into()
            }
        }
    }

    /// Ends the block and moves a position behind it, if it has a field.
    ///
    /// An event without an id of its own leaves the position unknown: after the id of an earlier one it would be
    /// sent again.
    pub fn end_event(&mut self, position: &mut StreamPosition) {
        self.data.clear();
        let id = std::mem::take(&mut self.id);
        if !std::mem::take(&mut self.has_field) {
            return;
        }
        *position = match id {
            IdField::Named(id) => StreamPosition::After(id),
            IdField::Missing | IdField::Unusable => StreamPosition::Unknown,
        };
    }

    fn read_id(&mut self, value: &[u8]) {
        // The format requires that such a line is ignored.
        if value.contains(&0) {
            return;
        }
        let id = std::str::from_utf8(value).ok().filter(|id| is_sendable(id));
        self.id = id.map_or(IdField::Unusable, |id| IdField::Named(id.into()));
    }
}

/// Whether a header can name an id unchanged.
fn is_sendable(id: &str) -> bool {
    !id.is_empty()
        && id.trim_ascii() == id
        && !id.contains(|character: char| character.is_ascii_control())
}
