//! Decides from the connects of an instance whether it has lost the path to all endpoints of a pool.
//!
//! Load pattern: an instance is partitioned from all endpoints, while callers, the store and other instances
//! still reach it. Its connects hang or are refused, and its open connections fall silent or live on. A single
//! endpoint that crashed, or that is silent for a moment, looks the same for its own connects only.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::EndpointId;

/// Number of endpoints that cannot be reached, and none that can, from which the path counts as lost.
const UNREACHED_MIN: usize = 3;
/// Time after which a failed connect says nothing about the path any more.
const UNREACHED_TIME: Duration = Duration::from_secs(3);
/// Time for which requests may wait for the head of an answer, while no endpoint sends anything, before the
/// path is checked.
const SILENCE_MAX: Duration = Duration::from_millis(300);
/// Interval between two checks of a path that is suspected or lost.
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
    /// Number of endpoints that may be reached.
    endpoints: usize,
    /// The endpoints whose last connect failed, with its time, since any connect succeeded.
    unreached: BTreeMap<EndpointId, Instant>,
    /// When an endpoint last sent anything.
    heard_at: Option<Instant>,
    /// Number of requests that wait for the head of an answer.
    waiting: usize,
    /// Since when requests wait without a pause.
    waiting_since: Option<Instant>,
    lost_since: Option<Instant>,
    checked_at: Option<Instant>,
}

impl PathMonitor {
    /// Sets the number of endpoints that may be reached.
    pub fn set_endpoints(&mut self, endpoints: usize) {
        self.endpoints = endpoints;
    }

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
        self.unreached.clear();
        self.heard_at = Some(now);
        let lost_since = self.lost_since.take()?;
        Some(PathChange::Regained(now.saturating_duration_since(lost_since)))
    }

    /// Records a connect that failed.
    pub fn record_unreached(&mut self, endpoint: EndpointId, now: Instant) -> Option<PathChange> {
        self.unreached.insert(endpoint, now);
        self.unreached.retain(|_, failed_at| now < *failed_at + UNREACHED_TIME);
        let unreached = self.unreached.len();
        if self.is_lost() || unreached < UNREACHED_MIN.min(self.endpoints.max(2)) {
            return None;
        }
        self.lost_since = Some(now);
        let silence = self.heard_at.map(|heard_at| now.saturating_duration_since(heard_at));
        Some(PathChange::Lost { unreached, silence })
    }

    /// The number of endpoints to connect to now, to learn whether the path is lost or back.
    pub fn take_checks(&mut self, now: Instant) -> usize {
        if self.checked_at.is_some_and(|checked_at| now < checked_at + CHECK_PERIOD) {
            return 0;
        }
        let checks = match self.is_lost() {
            true => 1,
            false if self.is_suspected(now) => UNREACHED_MIN,
            false => return 0,
        };
        self.checked_at = Some(now);
        checks
    }

    fn is_suspected(&self, now: Instant) -> bool {
        let has_failed = self.unreached.values().any(|failed_at| now < *failed_at + CHECK_PERIOD);
        has_failed || self.is_silent(now)
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
