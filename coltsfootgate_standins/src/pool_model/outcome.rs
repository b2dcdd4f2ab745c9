//! What a run shows.

use std::time::Duration;

/// What became of the requests of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassOutcome {
    /// All requests.
    pub requests: u32,
    /// Those whose first event and pauses met their targets.
    pub on_time: u32,
    /// Those that were served whole, but late.
    pub late: u32,
    /// Those that were refused.
    pub refused: u32,
    /// Those whose callers gave up while they waited.
    pub gave_up_waiting: u32,
    /// Those whose callers gave up while they ran.
    pub gave_up_running: u32,
}

impl ClassOutcome {
    /// Share of the requests that were served on time, 0 to 1.
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests.max(1))
    }

    /// Share of the requests that were served whole, 0 to 1.
    pub fn served_share(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.requests.max(1))
    }
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct PoolOutcome {
    /// By class.
    pub classes: Vec<ClassOutcome>,
    /// Tokens of prompts that engines prefilled.
    pub prefilled: u64,
    /// Tokens of prompts that engines found kept.
    pub kept: u64,
    /// Tokens of shared parts that were prefilled although an engine had used them in the last ten seconds.
    pub shared_again: u64,
    /// Tokens of each shared part once: what no placement can avoid.
    pub shared_once: u64,
    /// Requests at the engine that got most, relative to the mean.
    pub busiest_engine: f64,
    /// Grant requests for each request.
    pub asked: f64,
    /// Share of a core that the busiest instance used.
    pub busiest_processor: f64,
    /// Bytes of control messages a second at the instance that had most.
    pub busiest_bytes: f64,
    /// Longest time for which a message waited for the processor of its receiver.
    pub longest_wait: Duration,
}
