//! Parses server-sent events and compares every token with the expected answer.

use serde::Deserialize;

use crate::answer_text::PromptDigest;

/// Incremental check of one streamed answer.
#[derive(Debug)]
pub(super) struct StreamChecker {
    digest: PromptDigest,
    /// Length of the expected answer in tokens.
    length: u32,
    /// Number of expected tokens received.
    pub(super) tokens: u32,
    /// Whether some content was not the next token of the expected answer.
    pub(super) foreign: bool,
    /// Whether `[DONE]` was received.
    pub(super) is_done: bool,
    pub(super) error_code: Option<String>,
    pub(super) end: Option<EndEvent>,
    /// Whether the next data line belongs to the end event.
    is_end_event: bool,
    /// Start of a line whose end was not received yet.
    partial_line: Vec<u8>,
}

/// Data of the event `coltsfootgate.end`, which ends a streamed answer.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct EndEvent {
    pub(super) outcome: String,
    pub(super) reason: String,
}

#[derive(Deserialize)]
struct ChunkEvent {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    error: Option<ErrorMember>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
}

#[derive(Default, Deserialize)]
struct ChunkDelta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct ErrorMember {
    code: Option<String>,
}

impl StreamChecker {
    pub(super) fn new(digest: PromptDigest, length: u32) -> Self {
        Self {
            digest,
            length,
            tokens: 0,
            foreign: false,
            is_done: false,
            error_code: None,
            end: None,
            is_end_event: false,
            partial_line: Vec::new(),
        }
    }

    /// Whether the answer is the complete expected answer.
    pub(super) fn is_complete(&self) -> bool {
        self.is_done && !self.foreign && self.tokens == self.length
    }

    /// Parses a chunk of the body and returns the number of expected tokens in it.
    pub(super) fn feed(&mut self, chunk: &[u8]) -> u32 {
        let before = self.tokens;
        self.partial_line.extend_from_slice(chunk);
        let text = std::mem::take(&mut self.partial_line);
        let mut lines = text.split(|byte| *byte == b'\n').peekable();
        while let Some(line) = lines.next() {
            if lines.peek().is_none() {
                self.partial_line = line.to_vec();
            } else {
                self.parse_line(line);
            }
        }
        self.tokens - before
    }

    fn parse_line(&mut self, line: &[u8]) {
        if let Some(name) = line.strip_prefix(b"event: ") {
            self.is_end_event = name == b"coltsfootgate.end";
        }
        let Some(data) = line.strip_prefix(b"data: ") else { return };
        if data == b"[DONE]" {
            self.is_done = true;
        } else if std::mem::take(&mut self.is_end_event) {
            self.end = serde_json::from_slice(data).ok();
        } else if let Ok(event) = serde_json::from_slice::<ChunkEvent>(data) {
            self.error_code = event.error.and_then(|error| error.code).or(self.error_code.take());
            for choice in event.choices {
                self.check_content(choice.delta.content.unwrap_or_default());
            }
        } else {
            self.foreign = true;
        }
    }

    fn check_content(&mut self, content: String) {
        let mut rest = content.as_str();
        while !rest.is_empty() {
            let Some(after) = rest.strip_prefix(&self.digest.token(self.tokens)) else {
                self.foreign = true;
                return;
            };
            self.tokens += 1;
            rest = after;
        }
    }
}
