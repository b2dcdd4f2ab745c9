//! Tracks the recent error rate of an endpoint.
//!
//! Load pattern: an endpoint responds quickly but fails part of its requests. It therefore has few
//! requests in flight, and a choice by load alone would send it a disproportionate share.

use std::time::{Duration, Instant};

use super::event::ReleaseResult;

/// Weight of one answer in the moving average.
const ANSWER_WEIGHT: f64 = 0.12;
/// Time constant with which the error rate decays (to 1/e) while no answer ends.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Exponential moving average of the share of an endpoint's answers that failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ErrorRate {
    rate: f64,
    updated: Option<Instant>,
}

impl ErrorRate {
    /// Records how an answer ended; results that say nothing about the endpoint are ignored.
    pub fn record(&mut self, result: ReleaseResult, now: Instant) {
        let failed = match result {
            ReleaseResult::Completed => 0.0,
            ReleaseResult::ConnectFailed
            | ReleaseResult::ConnectionLost
            | ReleaseResult::Silent
            | ReleaseResult::Failed => 1.0,
            ReleaseResult::Cancelled | ReleaseResult::NotSent | ReleaseResult::Refused => return,
        };
        self.rate = self.get(now) * (1.0 - ANSWER_WEIGHT) + failed * ANSWER_WEIGHT;
        self.updated = Some(now);
    }

    /// The error rate, 0 to 1.
    pub fn get(&self, now: Instant) -> f64 {
        let elapsed = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
