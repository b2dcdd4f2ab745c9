//! Which waiting requests get the free slots of an owner's endpoints.
//!
//! Load pattern: a burst of long prompts is more than the engines can read in time. Those that are
//! held back must not keep short ones from being looked at, and one whose target has passed must not
//! make the next one late as well.

use std::time::{Duration, Instant};

use super::PoolOwner;
use super::event::{GrantRequest, OwnerAction};
use super::queue::QueuedRequest;
use crate::ids::RequestTier;
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
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLook {
    /// When it was.
    pub(super) at: Instant,
    /// The highest tier of a prompt that was held back.
    tier: RequestTier,
    /// The shortest prompt that was held back, in tokens.
    shortest: u32,
}

impl HeldLook {
    /// Whether a request that arrives now has to wait behind what was held back.
    pub(super) fn goes_before(&self, request: &GrantRequest) -> bool {
        let is_lower = request.tier.index() >= self.tier.index();
        is_lower && request.prompt.is_known() && request.prompt.tokens >= self.shortest
    }
}

/// What one look found no endpoint for.
#[derive(Default)]
struct HeldBack {
    passed_over: Vec<QueuedRequest>,
    /// Requests for which no endpoint was found.
    tried: usize,
    /// The highest tier and the shortest prompt among them, in tokens.
    prompts: Option<(RequestTier, u32)>,
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
            let (tier, tokens) = (request.tier, request.prompt.tokens);
            self.prompts = Some(match self.prompts {
                Some((highest, shortest)) => (highest.min(tier), shortest.min(tokens)),
                None => (tier, tokens),
            });
        }
        self.passed_over.push(queued);
    }

    fn look(&self, at: Instant) -> Option<HeldLook> {
        self.prompts.map(|(tier, shortest)| HeldLook { at, tier, shortest })
    }
}

impl PoolOwner {
    /// Gives free slots to what waits: by tier, and in each tier to what can still be on time first.
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<OwnerAction>) {
        // To look at held prompts with each message would take most of an owner's time in a burst.
        if self.looked.is_some_and(|looked| now < looked.at + LOOK_PERIOD) {
            return;
        }
        let mut held = HeldBack::default();
        let mut late = Vec::new();
        while !held.is_full() && self.endpoints.is_any_free(now) {
            let Some(queued) = self.queue.take() else { break };
            let tier = queued.request.tier;
            if late.first().is_some_and(|first: &QueuedRequest| first.request.tier != tier) {
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
    request.prompt.is_known() && waited > request.prompt.first_token.mul_f64(LATE_SHARE)
}
