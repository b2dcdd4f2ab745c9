//! Settings of the stand-in engine.

use std::time::Duration;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Seed of the answer lengths and of the age of load reports.
    pub seed: u64,
    /// Largest number of sequences that run at once.
    pub batch: usize,
    /// Largest number of waiting requests; further ones are refused before they start.
    pub waiting: usize,
    /// Duration of a step without sequences.
    pub step_base: Duration,
    /// Time that each running sequence adds to a step.
    pub step_sequence: Duration,
    /// Time that each uncached prompt token adds to the step that admits its sequence.
    pub prefill: Duration,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Capacity of the prefix cache in blocks of 16 tokens.
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
    /// Tokens per second with a full batch and no prefill.
    pub fn full_rate(&self) -> f64 {
        let step = self.step_base + self.step_sequence * self.batch as u32;
        self.batch as f64 / step.as_secs_f64()
    }
}
