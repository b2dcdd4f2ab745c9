//! Remembers which possible causes of crashes were served lately.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{CauseKey, CrashCause};

/// Time after which a request that is being answered does not count as lost: its endpoint did not crash
/// because it began to answer.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);

/// Number of keys after which the older half is forgotten.
const GENERATION_MAX: usize = 4096;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The endpoint sent a complete answer.
    Complete,
    /// The connection was lost.
    ConnectionLost,
    /// Any other way.
    Other,
}

/// What the end of an attempt shows about possible causes of crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEvidence {
    /// The endpoint answered for so long that the request does not crash it.
    Served,
    /// The connection was lost when the endpoint may just have begun to answer.
    Lost,
    /// Nothing.
    Unclear,
}

impl AttemptEvidence {
    /// Evaluates an attempt that ended now; `answered_since` is when its first event arrived.
    pub fn new(end: AttemptEnd, answered_since: Option<Instant>, now: Instant) -> Self {
        let has_survived = answered_since.is_some_and(|since| since + SURVIVAL_TIME <= now);
        match end {
            AttemptEnd::Complete => Self::Served,
            _ if has_survived => Self::Served,
            AttemptEnd::ConnectionLost => Self::Lost,
            AttemptEnd::Other => Self::Unclear,
        }
    }
}

/// When possible causes of crashes were last served, for a limited number of recent ones of each kind.
#[derive(Clone, Debug, Default)]
pub struct ServedCauses {
    parts: RecentKeys,
    requests: RecentKeys,
}

#[derive(Clone, Debug, Default)]
struct RecentKeys {
    recent: HashMap<CauseKey, Instant>,
    older: HashMap<CauseKey, Instant>,
}

impl ServedCauses {
    /// Records that a request with a possible cause was served.
    pub fn record(&mut self, key: CauseKey, served_at: Instant) {
        let keys = match key.cause {
            CrashCause::Part(_) => &mut self.parts,
            CrashCause::Request(_) => &mut self.requests,
        };
        keys.record(key, served_at);
    }

    /// When a request with a possible cause was last served, if that is remembered.
    pub fn last(&self, key: &CauseKey) -> Option<Instant> {
        let keys = match key.cause {
            CrashCause::Part(_) => &self.parts,
            CrashCause::Request(_) => &self.requests,
        };
        keys.recent.get(key).or_else(|| keys.older.get(key)).copied()
    }
}

impl RecentKeys {
    fn record(&mut self, key: CauseKey, served_at: Instant) {
        let last = self.recent.entry(key).or_insert(served_at);
        *last = served_at.max(*last);
        if self.recent.len() >= GENERATION_MAX {
            self.older = std::mem::take(&mut self.recent);
        }
    }
}
