//! Which waiting requests get the free slots of an owner's endpoints.
//!
//! Load pattern: a burst of long prompts is more than the engines can read in time. Those that are
//! held back must not keep short ones from being looked at, and one whose target has passed must not
//! make the next one late as well.

use std::time::{Duration, Instant};

use super::PoolOwner;
use super::event::{GrantRequest, OwnerAction, QueueRank};
use super::queue::QueuedRequest;
use crate::reason::ErrorKind;

/// Period at which requests that wait are looked at without news.
pub(super) const LOOK_PERIOD: Duration = Duration::from_millis(20);
/// How many requests that no free endpoint takes are tried for later ones.
const HELD_BACK_MAX: usize = 8;
/// How many requests are passed over in one look.
const PASSED_OVER_MAX: usize = 128;
/// Part of its target after which a waiting prompt is not expected to be on time any more.
const LATE_SHARE: f64 = 0.5;

/// What the last look at waiting requests held back.
#[derive(Clone, Debug)]
pub(super) struct HeldLook {
    /// When it was.
    pub(super) at: Instant,
    /// The highest rank of a prompt that was held back.
    rank: QueueRank,
    /// The shortest prompt that was held back, in tokens.
    shortest: u32,
    /// The ranks of all that were looked at and got no endpoint, highest first.
    ranks: Vec<QueueRank>,
}

impl HeldLook {
    /// Whether a request that arrives now has to wait behind what was held back.
    fn goes_before(&self, request: &GrantRequest) -> bool {
        let is_lower = request.rank() >= self.rank;
        is_lower && request.prompt.is_known() && request.prompt.tokens >= self.shortest
    }

    /// How many of this rank or above were looked at and got no endpoint.
    fn passed_over_before(&self, rank: QueueRank) -> usize {
        self.ranks.partition_point(|passed_over| *passed_over <= rank)
    }
}

/// What one look found no endpoint for.
#[derive(Default)]
struct HeldBack {
    passed_over: Vec<QueuedRequest>,
    /// Requests for which no endpoint was found.
    tried: usize,
    /// The highest rank and the shortest prompt among them, in tokens.
    prompts: Option<(QueueRank, u32)>,
}

impl HeldBack {
    /// Whether it is clear without a try that a request is held back, too.
    fn covers(&self, request: &GrantRequest) -> bool {
        let is_longer = self.prompts.is_some_and(|(_, shortest)| request.prompt.tokens >= shortest);
        self.tried >= HELD_BACK_MAX && request.prompt.is_known() && is_longer
    }

    fn is_full(&self) -> bool {
        let is_all_tried = self.tried >= HELD_BACK_MAX && self.prompts.is_none();
        is_all_tried || self.passed_over.len() >= PASSED_OVER_MAX
    }

    fn add(&mut self, queued: QueuedRequest) {
        self.tried += 1;
        let request = &queued.request;
        if request.prompt.is_known() {
            let (rank, tokens) = (request.rank(), request.prompt.tokens);
            self.prompts = Some(match self.prompts {
                Some((highest, shortest)) => (highest.min(rank), shortest.min(tokens)),
                None => (rank, tokens),
            });
        }
        self.passed_over.push(queued);
    }

    fn look(&self, at: Instant) -> Option<HeldLook> {
        let (rank, shortest) = self.prompts?;
        let mut ranks: Vec<_> =
            self.passed_over.iter().map(|queued| queued.request.rank()).collect();
        ranks.sort_unstable();
        Some(HeldLook { at, rank, shortest, ranks })
    }
}

impl PoolOwner {
    /// Gives free slots to what waits: by rank, and in each to what can still be on time first.
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<OwnerAction>) {
        // To look at held prompts with each message would take most of an owner's time in a burst.
        if self.looked.as_ref().is_some_and(|looked| now < looked.at + LOOK_PERIOD) {
            return;
        }
        let mut held = HeldBack::default();
        let mut late = Vec::new();
        while !held.is_full() && self.endpoints.is_any_free(now) {
            let Some(queued) = self.queue.take() else { break };
            let rank = queued.request.rank();
            if late.first().is_some_and(|first: &QueuedRequest| first.request.rank() != rank) {
                self.place_all(&mut late, now, &mut held, actions);
            }
            if is_late(&queued.request, now) && late.len() < PASSED_OVER_MAX {
                late.push(queued);
            } else {
                self.place(queued, now, &mut held, actions);
            }
        }
        self.place_all(&mut late, now, &mut held, actions);
        self.looked = held.look(now);
        for queued in held.passed_over {
            self.queue.restore(queued);
        }
    }

    /// Whether a request that arrives now has to wait behind others, also where an endpoint is free.
    pub(super) fn is_behind(&self, request: &GrantRequest) -> bool {
        let Some(looked) = &self.looked else { return false };
        // Those that came since the last look, or that it did not reach, may use what is free now.
        let waiting = self.queue.waiting_before(request.rank()) as usize;
        looked.goes_before(request) || waiting > looked.passed_over_before(request.rank())
    }

    fn place_all(
        &mut self,
        late: &mut Vec<QueuedRequest>,
        now: Instant,
        held: &mut HeldBack,
        actions: &mut Vec<OwnerAction>,
    ) {
        for queued in late.drain(..) {
            self.place(queued, now, held, actions);
        }
    }

    /// Grants a request, refuses it, or holds it back.
    fn place(
        &mut self,
        queued: QueuedRequest,
        now: Instant,
        held: &mut HeldBack,
        actions: &mut Vec<OwnerAction>,
    ) {
        if held.covers(&queued.request) {
            held.passed_over.push(queued);
            return;
        }
        if self.is_too_late(&queued.request, now) {
            let kind = ErrorKind::DeadlineUnmeetable;
            actions.push(self.refuse(&queued.request, kind, now));
            return;
        }
        match self.choose(&queued.request, now) {
            Some(endpoint) => {
                self.queue.charge(&queued);
                let action = self.grant(&queued.request, endpoint, queued.by_floor, now);
                actions.push(action);
            }
            None if self.endpoints.can_ever_serve(&queued.request) => held.add(queued),
            None => actions.push(self.refuse(&queued.request, ErrorKind::NoEndpoint, now)),
        }
    }
}

/// Whether a prompt has waited for so long that its first token is not expected on time.
fn is_late(request: &GrantRequest, now: Instant) -> bool {
    let waited = now.saturating_duration_since(request.arrived);
    request.prompt.is_known() && waited > request.prompt.first_token_target.mul_f64(LATE_SHARE)
}
