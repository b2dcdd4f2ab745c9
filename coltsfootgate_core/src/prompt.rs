//! What is known of a prompt before it is read.

use std::time::Duration;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// What a request asks of an engine; all zero where the caller says nothing of its prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptLoad {
    /// The parts of the prompt in order; requests with the same first parts share their cache.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Target for the time to the first token.
    pub first_token: Duration,
    /// Target for the time between two tokens or events.
    pub between_tokens: Duration,
}

impl PromptLoad {
    /// Tokens of the parts together.
    pub fn part_tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).fold(0, u32::saturating_add)
    }

    /// Tokens that the request holds in an engine's memory at its end.
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.tokens.max(self.part_tokens())) + u64::from(self.answer_tokens)
    }

    /// Whether anything is known of the prompt.
    pub fn is_known(&self) -> bool {
        self.tokens > 0 || !self.parts.is_empty()
    }
}
