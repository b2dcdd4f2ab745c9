//! Decides whether an endpoint's answer that has ended is complete.

/// How the transfer of an answer marks its end.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AnswerFraming {
    /// The head states a length.
    Length,
    /// The answer consists of chunks, of which the last one is marked.
    Chunks,
    /// The answer ends when its connection is closed.
    ConnectionClose,
}

impl AnswerFraming {
    /// All framings, in order of declaration.
    pub const ALL: &'static [Self] = &[Self::Length, Self::Chunks, Self::ConnectionClose];

    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::ConnectionClose => "connection-close",
        }
    }
}

/// Where the content of an answer ended, after a transfer that ended without an error.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ContentEnd {
    /// The content has no structure that shows its end.
    Opaque,
    /// The content ended with the mark that its format requires.
    Marked,
    /// The content ended without the mark that its format requires.
    Unmarked,
    /// A stream ended after a complete event.
    BetweenEvents,
    /// A stream ended in the middle of an event.
    InsideEvent,
    /// A stream ended without an event.
    NoEvent,
}

impl ContentEnd {
    /// All ends, in order of declaration.
    pub const ALL: &'static [Self] = &[
        Self::Opaque,
        Self::Marked,
        Self::Unmarked,
        Self::BetweenEvents,
        Self::InsideEvent,
        Self::NoEvent,
    ];

    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Opaque => "opaque",
            Self::Marked => "marked",
            Self::Unmarked => "unmarked",
            Self::BetweenEvents => "between-events",
            Self::InsideEvent => "inside-event",
            Self::NoEvent => "no-event",
        }
    }
}

/// Whether an answer is complete, after its transfer ended without an error.
///
/// A transfer that ends properly does not prove that its content is complete: an endpoint that fails
/// may close the connection, or end its own framing, in the middle of an event. The end of a
/// connection between two events proves neither, and counts as the end of the answer.
pub fn is_complete(framing: AnswerFraming, end: ContentEnd) -> bool {
    match end {
        ContentEnd::Opaque | ContentEnd::Marked | ContentEnd::BetweenEvents => true,
        ContentEnd::Unmarked | ContentEnd::InsideEvent => false,
        // An endpoint that failed before its first event looks the same if nothing marks the end.
        ContentEnd::NoEvent => framing != AnswerFraming::ConnectionClose,
    }
}
