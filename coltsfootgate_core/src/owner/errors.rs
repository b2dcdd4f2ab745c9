//! How often an endpoint fails, against the others of its pool.
//!
//! Load pattern: an endpoint is up and quick, but fails a part of its requests. It looks idle, so the
//! least loaded choice would send it more than its part.

use std::time::{Duration, Instant};

use super::event::ReleaseResult;

/// Weight of one answer in the share.
const ANSWER_WEIGHT: f64 = 0.12;
/// Time in which a share that nothing confirms fades to a third.
const FADE: Duration = Duration::from_secs(4);

/// The share of an endpoint's answers that failed lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct ErrorShare {
    share: f64,
    at: Option<Instant>,
}

impl ErrorShare {
    /// Notes how an answer ended.
    pub fn note(&mut self, result: ReleaseResult, now: Instant) {
        let failed = match result {
            ReleaseResult::Completed => 0.0,
            ReleaseResult::ConnectFailed | ReleaseResult::Silent | ReleaseResult::Failed => 1.0,
            ReleaseResult::Cancelled | ReleaseResult::NotSent | ReleaseResult::Refused => return,
        };
        self.share = self.get(now) * (1.0 - ANSWER_WEIGHT) + failed * ANSWER_WEIGHT;
        self.at = Some(now);
    }

    /// The share, 0 to 1.
    pub fn get(&self, now: Instant) -> f64 {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.share * (-elapsed.as_secs_f64() / FADE.as_secs_f64()).exp()
    }
}
