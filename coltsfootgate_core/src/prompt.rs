//! The size and parts of a prompt as known before an engine processes it.

use std::time::Duration;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifies the text of the part; equal texts have equal ids.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// The expected load of a request on an engine, and its latency targets.
///
/// The token counts are zero if the caller does not state them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptLoad {
    /// The parts of the prompt in order; requests with equal leading parts share cached prefixes.
    pub parts: Vec<PromptPart>,
    /// Length of the prompt, in tokens.
    pub tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Target for the time to the first token.
    pub first_token_target: Duration,
    /// Target for the time between two tokens or events.
    pub between_tokens_target: Duration,
}

/// The parts of a prompt that other requests may have as well: all but the last.
pub fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

impl PromptLoad {
    /// Total length of the parts, in tokens.
    pub fn part_tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).fold(0, u32::saturating_add)
    }

    /// Total length of the parts that other requests may have as well, in tokens.
    pub fn shared_tokens(&self) -> u32 {
        shared_parts(&self.parts).iter().map(|part| part.tokens).fold(0, u32::saturating_add)
    }

    /// Tokens that the request occupies in the engine's KV cache at its end.
    pub fn kv_cache_tokens(&self) -> u64 {
        u64::from(self.tokens.max(self.part_tokens())) + u64::from(self.answer_tokens)
    }

    /// Whether the caller stated the length or the parts of the prompt.
    pub fn is_known(&self) -> bool {
        self.tokens > 0 || !self.parts.is_empty()
    }
}
