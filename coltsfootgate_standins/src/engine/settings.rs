//! What a stand-in engine can do.

use std::time::Duration;

/// What an engine can do.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Seed of the answer lengths and the lag of reports.
    pub seed: u64,
    /// Sequences that run at once.
    pub batch: usize,
    /// Requests that may wait; more are refused before they start.
    pub waiting: usize,
    /// Duration of a step without sequences.
    pub step_base: Duration,
    /// What each sequence adds to a step.
    pub step_sequence: Duration,
    /// What each prompt token that is not cached adds to a step.
    pub prefill: Duration,
    /// Tokens that the key-value memory holds.
    pub kv_tokens: u64,
    /// Blocks of 16 tokens that the prefix cache holds.
    pub cache_blocks: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            batch: 8,
            waiting: 64,
            step_base: Duration::from_micros(2500),
            step_sequence: Duration::from_micros(500),
            prefill: Duration::from_micros(20),
            kv_tokens: 32_768,
            cache_blocks: 256,
        }
    }
}

impl EngineSettings {
    /// Tokens a second with a full batch and nothing to prefill.
    pub fn full_rate(&self) -> f64 {
        let step = self.step_base + self.step_sequence * self.batch as u32;
        self.batch as f64 / step.as_secs_f64()
    }
}
