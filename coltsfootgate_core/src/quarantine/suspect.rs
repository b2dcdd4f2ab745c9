//! Counts the crashes under one possible cause.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::CrashCause;
use crate::ids::EndpointId;

/// Crashes after which a cause is blocked.
pub(super) const CRASHES_TO_BLOCK: usize = 3;
/// Delay of a decision, in which other instances report the same crash or that a request was served.
const DECISION_DELAY: Duration = Duration::from_millis(150);
/// Share of the crashes under the most suspected cause that another one must have to be blocked first, if both
/// were served before the crashes.
const CRASH_SHARE_MIN: f64 = 0.75;
/// The same for one that was never served: it came with the crashes, and what it shares its requests with was
/// also lost in crashes of other reasons.
const NEW_CRASH_SHARE_MIN: f64 = 0.7;
/// Maximum number of endpoints that are kept for one suspect.
const SUSPECT_ENDPOINTS_MAX: usize = 64;

/// The crash of one endpoint under a possible cause.
#[derive(Clone, Debug)]
pub(super) struct SeenCrash {
    pub(super) endpoint: EndpointId,
    /// When it was known that the endpoint had crashed.
    at: Instant,
    /// When this instance heard of it.
    heard_at: Instant,
    /// When the last request with the cause was sent to the endpoint.
    sent_at: Instant,
}

impl SeenCrash {
    /// A crash that was known at `at` and is heard of at `heard_at`.
    pub(super) fn new(
        endpoint: &EndpointId,
        sent_at: Instant,
        at: Instant,
        heard_at: Instant,
    ) -> Self {
        Self { endpoint: endpoint.clone(), at, heard_at, sent_at }
    }
}

/// A possible cause of crashes.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// The crashes since a request with it was last served, in the order in which they happened.
    seen: Vec<SeenCrash>,
    /// Those of them that count.
    counted: Vec<SeenCrash>,
    /// All endpoints that crashed under it since then.
    pub(super) endpoints: BTreeSet<EndpointId>,
    /// Its position among the causes of its requests.
    pub(super) depth: usize,
    /// When a request with it was last served, as far as known.
    pub(super) served_at: Option<Instant>,
}

impl Suspect {
    /// Records a crash; one that is reported several times, or later than others that came after it, counts once and
    /// in its place.
    pub(super) fn record_crash(&mut self, cause: CrashCause, crash: SeenCrash) {
        if self.served_at.is_some_and(|served_at| crash.at <= served_at) {
            return;
        }
        if self.endpoints.len() < SUSPECT_ENDPOINTS_MAX {
            self.endpoints.insert(crash.endpoint.clone());
        }
        if let Some(known) = self.seen.iter_mut().find(|seen| seen.endpoint == crash.endpoint) {
            known.sent_at = known.sent_at.max(crash.sent_at);
        } else if self.seen.len() < SUSPECT_ENDPOINTS_MAX {
            let place = self.seen.partition_point(|seen| seen.at <= crash.at);
            self.seen.insert(place, crash);
        }
        self.count(cause);
    }

    /// Finds out which crashes count.
    ///
    /// Many requests have a part in common, so that endpoints that crash at the same moment may have another cause:
    /// under a part, a crash counts if its request was sent after the crash before was known.
    fn count(&mut self, cause: CrashCause) {
        self.counted.clear();
        for crash in &self.seen {
            let counts = match cause {
                CrashCause::Part(_) => {
                    self.counted.last().is_none_or(|last| crash.sent_at > last.at)
                }
                CrashCause::Request(_) => true,
            };
            if counts {
                self.counted.push(crash.clone());
            }
        }
    }

    pub(super) fn record_served(&mut self, served_at: Instant) {
        self.served_at = self.served_at.max(Some(served_at));
        self.counted.retain(|crash| crash.at > served_at);
        // A crash that did not count beside one which is forgotten now still doesn't.
        self.seen.clone_from(&self.counted);
        if self.counted.is_empty() {
            self.endpoints.clear();
        }
    }

    pub(super) fn forget_crash(&mut self, endpoint: &EndpointId) {
        self.seen.retain(|crash| crash.endpoint != *endpoint);
        self.counted.retain(|crash| crash.endpoint != *endpoint);
        self.endpoints.remove(endpoint);
    }

    /// The number of crashes that count.
    pub(super) fn crashes(&self) -> usize {
        self.counted.len()
    }

    /// When the last crash that counts was known.
    pub(super) fn last_crash(&self) -> Option<Instant> {
        self.counted.last().map(|last| last.at)
    }

    /// Share of the crashes under the most suspected cause from which it may be blocked before that one.
    pub(super) fn crash_share_min(&self) -> f64 {
        if self.served_at.is_none() { NEW_CRASH_SHARE_MIN } else { CRASH_SHARE_MIN }
    }

    /// When it may be blocked; `None` if too few endpoints crashed.
    ///
    /// Counted from when the crashes were heard of: those that are reported again are old, and what was served since
    /// is still to be heard.
    pub(super) fn due(&self, is_explained: impl Fn(&EndpointId) -> bool) -> Option<Instant> {
        let unexplained = self.counted.iter().filter(|crash| !is_explained(&crash.endpoint));
        let first: Vec<_> = unexplained.take(CRASHES_TO_BLOCK).collect();
        let is_enough = first.len() == CRASHES_TO_BLOCK;
        let heard_at = first.iter().map(|crash| crash.heard_at).max();
        heard_at.filter(|_| is_enough).map(|heard_at| heard_at + DECISION_DELAY)
    }
}
