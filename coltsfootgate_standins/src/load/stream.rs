//! Reads server-sent events and checks every token against the request.

use serde::Deserialize;

use crate::answer_text::PromptDigest;

/// What a streamed answer has shown so far.
#[derive(Debug)]
pub(super) struct StreamChecker {
    digest: PromptDigest,
    /// Tokens that a whole answer has.
    length: u32,
    pub(super) tokens: u32,
    /// Whether a token was not the next one of this request's answer.
    pub(super) foreign: bool,
    pub(super) done: bool,
    pub(super) error_code: Option<String>,
    pub(super) end: Option<EndEvent>,
    is_end_event: bool,
    unread: Vec<u8>,
}

/// The last event of a streamed answer.
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
            done: false,
            error_code: None,
            end: None,
            is_end_event: false,
            unread: Vec::new(),
        }
    }

    /// Whether the answer is the whole answer to this request.
    pub(super) fn is_whole(&self) -> bool {
        self.done && !self.foreign && self.tokens == self.length
    }

    /// Takes a piece of the body and returns how many tokens it brought.
    pub(super) fn feed(&mut self, piece: &[u8]) -> u32 {
        let before = self.tokens;
        self.unread.extend_from_slice(piece);
        let unread = std::mem::take(&mut self.unread);
        let mut lines = unread.split(|byte| *byte == b'\n').peekable();
        while let Some(line) = lines.next() {
            if lines.peek().is_none() {
                self.unread = line.to_vec();
            } else {
                self.line(line);
            }
        }
        self.tokens - before
    }

    fn line(&mut self, line: &[u8]) {
        if let Some(name) = line.strip_prefix(b"event: ") {
            self.is_end_event = name == b"coltsfootgate.end";
        }
        let Some(data) = line.strip_prefix(b"data: ") else { return };
        if data == b"[DONE]" {
            self.done = true;
        } else if std::mem::take(&mut self.is_end_event) {
            self.end = serde_json::from_slice(data).ok();
        } else if let Ok(event) = serde_json::from_slice::<ChunkEvent>(data) {
            self.error_code = event.error.and_then(|error| error.code).or(self.error_code.take());
            for choice in event.choices {
                self.content(choice.delta.content.unwrap_or_default());
            }
        } else {
            self.foreign = true;
        }
    }

    fn content(&mut self, content: String) {
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
