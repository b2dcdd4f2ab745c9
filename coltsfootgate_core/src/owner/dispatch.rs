//! Dispatches waiting requests to free slots of an owner's endpoints.
//!
//! Load pattern: a burst of long prompts exceeds what the engines can prefill in time. Deferred
//! prompts must not block shorter ones behind them, and a prompt that already misses its target
//! must not make the next one miss its target as well.

use std::time::{Duration, Instant};

use super::PoolOwner;
use super::event::{GrantRequest, OwnerAction, QueueRank};
use super::queue::QueuedRequest;
use crate::reason::ErrorKind;

/// Period of the scans of the queue while prompts are deferred.
pub(super) const SCAN_PERIOD: Duration = Duration::from_millis(20);
/// Failed placement attempts after which a scan skips prompts that are not shorter than the
/// deferred ones, or ends if it deferred no prompt of known length.
const ATTEMPTS_MAX: usize = 8;
/// Maximum number of requests that a scan skips.
const SKIPPED_MAX: usize = 128;
/// Fraction of the first-token target after which a waiting prompt is expected to miss it.
const LATE_FRACTION: f64 = 0.5;

/// The requests that the last scan of the queue deferred.
#[derive(Clone, Debug)]
pub(super) struct DeferralScan {
    /// The time of the scan.
    pub(super) at: Instant,
    /// The highest rank of a deferred prompt.
    rank: QueueRank,
    /// The length of the shortest deferred prompt, in tokens.
    shortest: u32,
    /// The ranks of all scanned requests that got no endpoint, highest first.
    ranks: Vec<QueueRank>,
}

impl DeferralScan {
    /// Whether a new request must wait behind the deferred prompts.
    fn blocks(&self, request: &GrantRequest) -> bool {
        let is_lower = request.rank() >= self.rank;
        is_lower && request.prompt.is_known() && request.prompt.tokens >= self.shortest
    }

    /// Number of scanned requests of this rank or higher that got no endpoint.
    fn skipped_before(&self, rank: QueueRank) -> usize {
        self.ranks.partition_point(|skipped| *skipped <= rank)
    }
}

/// The requests for which a scan found no endpoint.
#[derive(Default)]
struct DeferredRequests {
    skipped: Vec<QueuedRequest>,
    /// Number of requests whose placement was attempted and failed.
    failed_attempts: usize,
    /// The highest rank and the shortest length in tokens among the deferred prompts.
    prompts: Option<(QueueRank, u32)>,
}

impl DeferredRequests {
    /// Whether a request is deferred without a placement attempt, since shorter ones failed.
    fn implies_deferral(&self, request: &GrantRequest) -> bool {
        let is_longer = self.prompts.is_some_and(|(_, shortest)| request.prompt.tokens >= shortest);
        self.failed_attempts >= ATTEMPTS_MAX && request.prompt.is_known() && is_longer
    }

    fn is_full(&self) -> bool {
        let are_attempts_spent = self.failed_attempts >= ATTEMPTS_MAX && self.prompts.is_none();
        are_attempts_spent || self.skipped.len() >= SKIPPED_MAX
    }

    fn add(&mut self, queued: QueuedRequest) {
        let request = &queued.request;
        // Others may use the endpoints that a request cannot use for their software version.
        if request.version.is_some() {
            self.skipped.push(queued);
            return;
        }
        self.failed_attempts += 1;
        if request.prompt.is_known() {
            let (rank, tokens) = (request.rank(), request.prompt.tokens);
            self.prompts = Some(match self.prompts {
                Some((highest, shortest)) => (highest.min(rank), shortest.min(tokens)),
                None => (rank, tokens),
            });
        }
        self.skipped.push(queued);
    }

    /// Whether a skipped request has a higher rank.
    fn is_any_above(&self, rank: QueueRank) -> bool {
        self.skipped.iter().any(|queued| queued.request.rank() < rank)
    }

    fn summarize(&self, at: Instant) -> Option<DeferralScan> {
        let (rank, shortest) = self.prompts?;
        let mut ranks: Vec<_> = self.skipped.iter().map(|queued| queued.request.rank()).collect();
        ranks.sort_unstable();
        Some(DeferralScan { at, rank, shortest, ranks })
    }
}

impl PoolOwner {
    /// Assigns free slots by rank, and within a rank first to requests that can still meet their
    /// first-token target.
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<OwnerAction>) {
        // Scanning deferred prompts on every event would take most of the owner's time in a burst.
        if self.last_scan.as_ref().is_some_and(|scan| now < scan.at + SCAN_PERIOD) {
            return;
        }
        let mut deferred = DeferredRequests::default();
        let mut late: Vec<QueuedRequest> = Vec::new();
        while !deferred.is_full() && self.endpoints.is_any_free(now) {
            let headroom = &self.headroom;
            let queued = self.queue.take(|rank, higher| headroom.is_brief(rank, higher));
            let Some(queued) = queued else { break };
            // Late prompts are placed when no other one of their rank is left.
            if late.first().is_some_and(|first| self.has_passed(first, &queued)) {
                self.place_late(&mut late, now, &mut deferred, actions);
            }
            if is_late(&queued.request, now) && late.len() < SKIPPED_MAX {
                late.push(queued);
            } else {
                self.place(queued, now, &mut deferred, actions);
            }
        }
        self.place_late(&mut late, now, &mut deferred, actions);
        self.last_scan = deferred.summarize(now);
        for queued in deferred.skipped {
            self.queue.restore(queued);
        }
    }

    /// Whether a scan that took `next` has taken all waiting requests of the rank of `late`.
    fn has_passed(&self, late: &QueuedRequest, next: &QueuedRequest) -> bool {
        let rank = late.request.rank();
        next.request.rank() != rank && !self.queue.is_waiting(rank)
    }

    /// Whether a new request must queue behind others even if an endpoint is free.
    pub(super) fn must_queue(&self, request: &GrantRequest) -> bool {
        let Some(scan) = &self.last_scan else { return false };
        // Requests that arrived after the last scan, or that it did not reach, come first for a
        // slot that is free now.
        let waiting = self.queue.waiting_before(request.rank()) as usize;
        scan.blocks(request) || waiting > scan.skipped_before(request.rank())
    }

    fn place_late(
        &mut self,
        late: &mut Vec<QueuedRequest>,
        now: Instant,
        deferred: &mut DeferredRequests,
        actions: &mut Vec<OwnerAction>,
    ) {
        for queued in late.drain(..) {
            self.place(queued, now, deferred, actions);
        }
    }

    /// Grants a request, refuses it, or defers it.
    fn place(
        &mut self,
        queued: QueuedRequest,
        now: Instant,
        deferred: &mut DeferredRequests,
        actions: &mut Vec<OwnerAction>,
    ) {
        if deferred.implies_deferral(&queued.request) {
            deferred.skipped.push(queued);
            return;
        }
        if self.misses_deadline(&queued.request, Duration::ZERO, now) {
            let kind = ErrorKind::DeadlineUnmeetable;
            actions.push(self.refuse(&queued.request, kind, now));
            return;
        }
        match self.choose(&queued.request, queued.by_floor, now) {
            Ok(endpoint) => {
                let rank = queued.request.rank();
                let is_overtaking = !queued.by_floor
                    && (deferred.is_any_above(rank) || self.queue.is_any_above(rank));
                self.activity.record_grant(is_overtaking);
                self.queue.charge(&queued);
                let action = self.grant(&queued.request, endpoint, queued.by_floor, now);
                actions.push(action);
            }
            Err(cause) if self.endpoints.can_ever_serve(&queued.request) => {
                self.activity.record_deferral(cause);
                deferred.add(queued);
            }
            Err(_) => actions.push(self.refuse(&queued.request, ErrorKind::NoEndpoint, now)),
        }
    }
}

/// Whether a prompt has waited so long that its first token is expected to miss its target.
fn is_late(request: &GrantRequest, now: Instant) -> bool {
    let waited = now.saturating_duration_since(request.arrived);
    request.prompt.is_known() && waited > request.prompt.first_token_target.mul_f64(LATE_FRACTION)
}
