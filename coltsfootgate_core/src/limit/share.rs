//! What an entry instance may let through of one customer's requests.

use std::time::{Duration, Instant};

use super::{LimitAsk, LimitSlice, TokenBucket};
use crate::ids::{CustomerId, InstanceId, RequestTier};
use crate::reason::ErrorKind;
use crate::settings::CustomerSettings;

/// Share of a slice's life after which it is renewed while in use.
const RENEW_SHARE: f64 = 0.5;
/// Time without requests after which what is not in use goes back to the owner.
const IDLE_RETURN: Duration = Duration::from_secs(1);
/// Time for which an ask fetches ahead what arrives at the present rate.
const FETCH_AHEAD: Duration = Duration::from_millis(500);
/// Requests that an ask fetches ahead at most.
const AHEAD_MAX: u32 = 64;
/// Time for which a reply that left nothing stands for new requests as well.
const EXHAUSTED_LIFE: Duration = Duration::from_millis(50);
/// Time to wait that is stated when the concurrency is used up.
const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);
/// Time for which a cautious share is used before the owner is asked again.
const CAUTIOUS_LIFE: Duration = Duration::from_millis(500);

/// What becomes of a request under its customer's limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitDecision {
    /// It is let through and counts as in flight.
    Admit,
    /// The limits' owner must be asked first.
    Ask,
    /// It is refused.
    Refuse {
        /// Which limit.
        kind: ErrorKind,
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// One customer's slice at one entry instance.
#[derive(Clone, Debug)]
pub struct LimitShare {
    customer: CustomerId,
    entry: InstanceId,
    sequence: u64,
    concurrency: u32,
    permits: u32,
    in_use: u32,
    /// Requests that arrived since the last ask.
    demand: u32,
    /// The highest tier among them.
    demand_tier: RequestTier,
    last_request: Option<Instant>,
    asked: Option<PendingAsk>,
    valid_until: Option<Instant>,
    valid_for: Duration,
    open_to: RequestTier,
    /// Until when the owner's word stands that tiers below are kept out.
    closed_until: Option<Instant>,
    last_ask: Option<Instant>,
    exhausted: Option<ExhaustedSlice>,
    cautious: Option<CautiousShare>,
}

/// An ask on its way.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    sent: Instant,
    in_use: u32,
    demand: u32,
}

/// The owner's word that nothing is left, for a moment.
#[derive(Clone, Copy, Debug)]
struct ExhaustedSlice {
    until: Instant,
    next_permit: Duration,
}

/// The part of the limits that is used while their owner is out of reach.
#[derive(Clone, Debug)]
struct CautiousShare {
    concurrency: u32,
    bucket: TokenBucket,
    until: Instant,
}

impl LimitShare {
    /// Makes a share that holds nothing yet.
    pub fn new(customer: CustomerId, entry: InstanceId) -> Self {
        Self {
            customer,
            entry,
            sequence: 0,
            concurrency: 0,
            permits: 0,
            in_use: 0,
            demand: 0,
            demand_tier: RequestTier::LOWEST,
            last_request: None,
            asked: None,
            valid_until: None,
            valid_for: Duration::ZERO,
            open_to: RequestTier::LOWEST,
            closed_until: None,
            last_ask: None,
            exhausted: None,
            cautious: None,
        }
    }

    /// Requests in flight.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Decides on a new request of a tier.
    pub fn decide(&mut self, tier: RequestTier, now: Instant) -> LimitDecision {
        self.demand = self.demand.saturating_add(1);
        self.demand_tier = self.demand_tier.min(tier);
        self.last_request = Some(now);
        self.decide_again(tier, now)
    }

    /// Decides on a request once more, after an ask was answered or its owner was out of reach.
    ///
    /// Another ask may be needed when requests that came later used up what was lent.
    pub fn decide_again(&mut self, tier: RequestTier, now: Instant) -> LimitDecision {
        if self.try_admit(tier, now) {
            return LimitDecision::Admit;
        }
        let is_exhausted = self.exhausted.is_some_and(|exhausted| exhausted.until > now);
        let is_closed =
            self.open_to.is_above(tier) && self.closed_until.is_some_and(|until| until > now);
        if is_exhausted || is_closed || self.is_cautious(now) {
            return self.refusal(tier, now);
        }
        LimitDecision::Ask
    }

    /// Notes that a request that was let through has ended.
    pub fn finish(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Whether an ask is on its way.
    pub fn is_asking(&self) -> bool {
        self.asked.is_some()
    }

    /// Whether to ask now, so that a slice in use does not lapse and an idle one is given back.
    pub fn wants_renewal(&self, now: Instant) -> bool {
        let Some(until) = self.valid_until.filter(|until| *until > now) else { return false };
        if self.asked.is_some() {
            return false;
        }
        let is_late = now + self.valid_for.mul_f64(1.0 - RENEW_SHARE) >= until;
        let is_quiet =
            self.last_request.is_none_or(|last| now.saturating_duration_since(last) >= IDLE_RETURN);
        let has_spare = self.concurrency > self.in_use || self.permits > 0;
        (is_late && self.in_use > 0) || (is_quiet && has_spare)
    }

    /// Whether nothing is in flight and nothing held, so that the share can be forgotten.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.in_use == 0 && self.asked.is_none() && !self.is_valid(now)
    }

    /// Makes an ask; permits in hand go back with it, and so does what is no longer wanted.
    pub fn ask(&mut self, now: Instant) -> LimitAsk {
        let demand = std::mem::take(&mut self.demand);
        let permits_wanted = demand.saturating_add(self.ahead(demand, now));
        let wanted = self.in_use.saturating_add(permits_wanted);
        self.last_ask = Some(now);
        self.concurrency = self.concurrency.min(wanted);
        self.asked = Some(PendingAsk { sent: now, in_use: self.in_use, demand });
        LimitAsk {
            customer: self.customer.clone(),
            entry: self.entry.clone(),
            sequence: self.sequence,
            holding: self.usable(now),
            in_use: self.in_use,
            wanted,
            permits_wanted,
            tier: std::mem::replace(&mut self.demand_tier, RequestTier::LOWEST),
            permits_returned: std::mem::take(&mut self.permits),
        }
    }

    /// Takes a slice over; it is valid from the moment of the ask.
    pub fn accept(&mut self, slice: &LimitSlice, now: Instant) {
        let Some(asked) = self.asked.take() else { return };
        if slice.sequence <= self.sequence {
            return;
        }
        self.sequence = slice.sequence;
        self.concurrency = slice.concurrency;
        self.permits = slice.permits;
        self.valid_until = Some(asked.sent + slice.valid_for);
        self.valid_for = slice.valid_for;
        self.cautious = None;
        self.open_to = slice.open_to;
        let is_short =
            slice.permits < asked.demand || slice.concurrency < asked.in_use + asked.demand;
        let is_closed = slice.open_to != RequestTier::LOWEST;
        self.closed_until = is_closed.then_some(now + EXHAUSTED_LIFE);
        self.exhausted = is_short.then(|| ExhaustedSlice {
            until: now + EXHAUSTED_LIFE,
            next_permit: slice.next_permit,
        });
    }

    /// Notes that an ask was not answered; permits that went back with it stay with the owner.
    pub fn ask_lost(&mut self) {
        self.asked = None;
    }

    /// Requests in flight that the slice allows now.
    pub fn usable(&self, now: Instant) -> u32 {
        if self.is_valid(now) { self.concurrency } else { 0 }
    }

    /// Falls back to an even part of the limits, since their owner cannot be reached.
    pub fn owner_unreachable(&mut self, settings: &CustomerSettings, live: u32, now: Instant) {
        self.asked = None;
        let live = live.max(1);
        let until = now + CAUTIOUS_LIFE;
        match &mut self.cautious {
            Some(cautious) => cautious.until = until,
            None => {
                let rate = settings.rate / f64::from(live);
                self.cautious = Some(CautiousShare {
                    concurrency: (settings.concurrency / live).max(1),
                    bucket: TokenBucket::new(rate, settings.burst / live, now),
                    until,
                });
            }
        }
    }

    /// What is expected to arrive soon, going by what arrived since the last ask.
    fn ahead(&self, demand: u32, now: Instant) -> u32 {
        let Some(last) = self.last_ask.filter(|_| demand > 0) else { return 0 };
        let elapsed = now.saturating_duration_since(last).max(FETCH_AHEAD);
        let ahead = f64::from(demand) * FETCH_AHEAD.as_secs_f64() / elapsed.as_secs_f64();
        (ahead.ceil() as u32).min(AHEAD_MAX)
    }

    fn try_admit(&mut self, tier: RequestTier, now: Instant) -> bool {
        let is_open = !self.open_to.is_above(tier);
        let is_admitted = (is_open && self.try_slice(now)) || self.try_cautious(now);
        self.in_use += u32::from(is_admitted);
        is_admitted
    }

    fn try_slice(&mut self, now: Instant) -> bool {
        let is_open = self.is_valid(now) && self.in_use < self.concurrency && self.permits > 0;
        self.permits -= u32::from(is_open);
        is_open
    }

    fn try_cautious(&mut self, now: Instant) -> bool {
        let in_use = self.in_use;
        self.cautious.as_mut().is_some_and(|cautious| {
            cautious.until > now
                && in_use < cautious.concurrency
                && cautious.bucket.take(1, now) == 1
        })
    }

    fn refusal(&self, tier: RequestTier, now: Instant) -> LimitDecision {
        let concurrency = match &self.cautious {
            Some(cautious) if cautious.until > now => cautious.concurrency,
            _ => self.concurrency,
        };
        if self.in_use >= concurrency || self.open_to.is_above(tier) {
            let kind = ErrorKind::ConcurrencyLimited;
            return LimitDecision::Refuse { kind, retry_after: CONCURRENCY_RETRY };
        }
        let retry_after = self.exhausted.map_or(CONCURRENCY_RETRY, |slice| slice.next_permit);
        LimitDecision::Refuse { kind: ErrorKind::RateLimited, retry_after }
    }

    fn is_cautious(&self, now: Instant) -> bool {
        self.cautious.as_ref().is_some_and(|cautious| cautious.until > now)
    }

    fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| until > now)
    }
}
