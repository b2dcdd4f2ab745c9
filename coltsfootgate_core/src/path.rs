//! Decides from the connects of an instance whether it has lost the path to all endpoints of a pool.
//!
//! Load pattern: an instance is partitioned from all endpoints, while callers, the store and other instances
//! still reach it. Its connects hang or are refused, and its open connections fall silent or live on. Endpoints
//! that crashed, or that are silent for a moment, look the same for their own connects only.

use std::time::{Duration, Instant};

/// Number of endpoints that a check connects to at the same time.
pub const SAMPLE_SIZE: usize = 4;
/// The same while the path is lost.
const LOST_SAMPLE_SIZE: usize = 2;
/// Number of endpoints that a check must have tried to show that the path is lost.
const UNREACHED_MIN: usize = 2;
/// Time for which requests may wait for the head of an answer, while no endpoint sends anything, before the
/// path is checked.
const SILENCE_MAX: Duration = Duration::from_millis(300);
/// Interval between the starts of two checks.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// A change of what is known of the path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathChange {
    /// The path to all endpoints of the pool is lost.
    Lost {
        /// Number of endpoints that could not be reached.
        unreached: usize,
        /// Time since an endpoint was last heard, if ever.
        silence: Option<Duration>,
    },
    /// An endpoint was reached after the path had been lost for this time.
    Regained(Duration),
}

/// What an instance knows of its path to the endpoints of one pool.
#[derive(Clone, Debug, Default)]
pub struct PathMonitor {
    /// Whether a connect failed since the last check began.
    has_failed: bool,
    /// When an endpoint last sent anything.
    heard_at: Option<Instant>,
    /// When a connect last succeeded.
    reached_at: Option<Instant>,
    /// Number of requests that wait for the head of an answer.
    waiting: usize,
    /// Since when requests wait without a pause.
    waiting_since: Option<Instant>,
    lost_since: Option<Instant>,
    checked_at: Option<Instant>,
}

impl PathMonitor {
    /// Whether the path to all endpoints of the pool is lost.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records that a request begins to wait for the head of an answer.
    pub fn begin_wait(&mut self, now: Instant) {
        if self.waiting == 0 {
            self.waiting_since = Some(now);
        }
        self.waiting += 1;
    }

    /// Records that a request no longer waits for the head of an answer.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records that an endpoint sent something on an open connection.
    pub fn record_heard(&mut self, now: Instant) {
        self.heard_at = Some(now);
    }

    /// Records a connect that succeeded.
    pub fn record_reached(&mut self, now: Instant) -> Option<PathChange> {
        self.has_failed = false;
        self.heard_at = Some(now);
        self.reached_at = Some(now);
        let lost_since = self.lost_since.take()?;
        Some(PathChange::Regained(now.saturating_duration_since(lost_since)))
    }

    /// Records a connect that failed, which may be the endpoint's fault.
    pub fn record_unreached(&mut self) {
        self.has_failed = true;
    }

    /// Starts a check if one is due; returns the number of endpoints to connect to at the same time.
    pub fn start_check(&mut self, now: Instant) -> Option<usize> {
        if self.checked_at.is_some_and(|checked_at| now < checked_at + CHECK_PERIOD) {
            return None;
        }
        let sample = match self.is_lost() {
            true => LOST_SAMPLE_SIZE,
            false if self.has_failed || self.is_silent(now) => SAMPLE_SIZE,
            false => return None,
        };
        self.checked_at = Some(now);
        self.has_failed = false;
        Some(sample)
    }

    /// Records that a check that began at `started` connected to none of so many endpoints.
    pub fn record_failed_check(
        &mut self,
        unreached: usize,
        started: Instant,
        now: Instant,
    ) -> Option<PathChange> {
        let was_reached = self.reached_at.is_some_and(|reached_at| reached_at >= started);
        if self.is_lost() || was_reached || unreached < UNREACHED_MIN {
            return None;
        }
        self.lost_since = Some(now);
        let silence = self.heard_at.map(|heard_at| now.saturating_duration_since(heard_at));
        Some(PathChange::Lost { unreached, silence })
    }

    /// Whether requests wait, and no endpoint has sent anything for so long.
    fn is_silent(&self, now: Instant) -> bool {
        let Some(waiting_since) = self.waiting_since.filter(|_| self.waiting > 0) else {
            return false;
        };
        let since = self.heard_at.map_or(waiting_since, |heard_at| heard_at.max(waiting_since));
        now >= since + SILENCE_MAX
    }
}
