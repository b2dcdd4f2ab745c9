//! Admission of one customer's requests at an entry instance.

use std::time::{Duration, Instant};

use super::{LimitSlice, SliceRequest, TokenBucket};
use crate::ids::{CustomerId, InstanceId, RequestTier};
use crate::reason::ErrorKind;
use crate::settings::CustomerSettings;

/// Fraction of a slice's lifetime after which it is renewed while in use.
const RENEW_FRACTION: f64 = 0.5;
/// Time without requests after which the unused part of a slice is returned to the owner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a slice request prefetches permits at the current arrival rate.
const PREFETCH_TIME: Duration = Duration::from_millis(500);
/// Maximum number of permits that a slice request prefetches.
const PREFETCH_MAX: u32 = 64;
/// Time for which a slice that was too small also decides on new requests, so that they are refused
/// without another slice request.
const EXHAUSTED_TTL: Duration = Duration::from_millis(50);
/// Retry delay reported to callers when the concurrency limit is reached.
const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);
/// Time for which the fallback limit is used before the owner is contacted again.
const FALLBACK_TTL: Duration = Duration::from_millis(500);

/// The decision on a request under its customer's limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitDecision {
    /// The request is admitted and counts as in flight.
    Admit,
    /// A slice must be requested from the owner of the limits first.
    RequestSlice,
    /// The request is refused.
    Refuse {
        /// Which limit was reached.
        kind: ErrorKind,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Admits or refuses one customer's requests at one entry instance, within the slice that the owner
/// granted.
#[derive(Clone, Debug)]
pub struct LocalLimiter {
    customer: CustomerId,
    entry: InstanceId,
    sequence: u64,
    concurrency: u32,
    permits: u32,
    in_use: u32,
    /// Requests that arrived since the last slice request.
    demand: u32,
    /// The highest tier among the requests counted in `demand`.
    demand_tier: RequestTier,
    last_request: Option<Instant>,
    pending_slice: Option<PendingSlice>,
    valid_until: Option<Instant>,
    valid_for: Duration,
    open_to: RequestTier,
    /// Time until which tiers below `open_to` are refused without another slice request.
    closed_until: Option<Instant>,
    last_slice_request: Option<Instant>,
    exhausted: Option<ExhaustedSlice>,
    fallback: Option<FallbackLimit>,
}

/// A slice request that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingSlice {
    sent_at: Instant,
    in_use: u32,
    demand: u32,
}

/// Records for a short time that the owner granted less than was needed.
#[derive(Clone, Copy, Debug)]
struct ExhaustedSlice {
    until: Instant,
    next_permit: Duration,
}

/// The part of the limits that is used while their owner is unreachable.
#[derive(Clone, Debug)]
struct FallbackLimit {
    concurrency: u32,
    bucket: TokenBucket,
    until: Instant,
}

impl LocalLimiter {
    /// Creates a limiter without a slice.
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
            pending_slice: None,
            valid_until: None,
            valid_for: Duration::ZERO,
            open_to: RequestTier::LOWEST,
            closed_until: None,
            last_slice_request: None,
            exhausted: None,
            fallback: None,
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Decides on a new request of the given tier.
    pub fn decide(&mut self, tier: RequestTier, now: Instant) -> LimitDecision {
        self.demand = self.demand.saturating_add(1);
        self.demand_tier = self.demand_tier.min(tier);
        self.last_request = Some(now);
        self.decide_again(tier, now)
    }

    /// Decides on a request again, after a slice request was answered or the owner was unreachable.
    ///
    /// Another slice request may be needed if later requests used up the slice.
    pub fn decide_again(&mut self, tier: RequestTier, now: Instant) -> LimitDecision {
        if self.try_admit(tier, now) {
            return LimitDecision::Admit;
        }
        let is_exhausted = self.exhausted.is_some_and(|exhausted| exhausted.until > now);
        let is_closed =
            self.open_to.is_above(tier) && self.closed_until.is_some_and(|until| until > now);
        if is_exhausted || is_closed || self.is_fallback_active(now) {
            return self.refusal(tier, now);
        }
        LimitDecision::RequestSlice
    }

    /// Records that an admitted request has ended.
    pub fn finish(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Whether a slice request is unanswered.
    pub fn is_slice_requested(&self) -> bool {
        self.pending_slice.is_some()
    }

    /// Whether to request a slice now, to renew a slice in use before it expires or to return the
    /// unused part of an idle one.
    pub fn needs_renewal(&self, now: Instant) -> bool {
        let Some(until) = self.valid_until.filter(|until| *until > now) else { return false };
        if self.pending_slice.is_some() {
            return false;
        }
        let is_expiring = now + self.valid_for.mul_f64(1.0 - RENEW_FRACTION) >= until;
        let is_inactive = self
            .last_request
            .is_none_or(|last| now.saturating_duration_since(last) >= IDLE_TIMEOUT);
        let has_unused = self.concurrency > self.in_use || self.permits > 0;
        (is_expiring && self.in_use > 0) || (is_inactive && has_unused)
    }

    /// Whether no request is in flight and no slice is held or requested, so that the limiter can
    /// be dropped.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.in_use == 0 && self.pending_slice.is_none() && !self.is_valid(now)
    }

    /// Creates a slice request; it returns all unused permits and the concurrency that is no longer
    /// needed.
    pub fn request_slice(&mut self, now: Instant) -> SliceRequest {
        let demand = std::mem::take(&mut self.demand);
        let permits_wanted = demand.saturating_add(self.prefetch_count(demand, now));
        let wanted = self.in_use.saturating_add(permits_wanted);
        self.last_slice_request = Some(now);
        self.concurrency = self.concurrency.min(wanted);
        self.pending_slice = Some(PendingSlice { sent_at: now, in_use: self.in_use, demand });
        SliceRequest {
            customer: self.customer.clone(),
            entry: self.entry.clone(),
            sequence: self.sequence,
            holding: self.usable_concurrency(now),
            in_use: self.in_use,
            wanted,
            permits_wanted,
            tier: std::mem::replace(&mut self.demand_tier, RequestTier::LOWEST),
            permits_returned: std::mem::take(&mut self.permits),
        }
    }

    /// Installs a slice; its validity starts when the request for it was sent.
    pub fn accept(&mut self, slice: &LimitSlice, now: Instant) {
        let Some(pending) = self.pending_slice.take() else { return };
        if slice.sequence <= self.sequence {
            return;
        }
        self.sequence = slice.sequence;
        self.concurrency = slice.concurrency;
        self.permits = slice.permits;
        self.valid_until = Some(pending.sent_at + slice.valid_for);
        self.valid_for = slice.valid_for;
        self.fallback = None;
        self.open_to = slice.open_to;
        let is_short =
            slice.permits < pending.demand || slice.concurrency < pending.in_use + pending.demand;
        let is_closed = slice.open_to != RequestTier::LOWEST;
        self.closed_until = is_closed.then_some(now + EXHAUSTED_TTL);
        self.exhausted = is_short
            .then(|| ExhaustedSlice { until: now + EXHAUSTED_TTL, next_permit: slice.next_permit });
    }

    /// Records that a slice request failed; the permits that it returned stay with the owner.
    pub fn slice_request_failed(&mut self) {
        self.pending_slice = None;
    }

    /// Returns the concurrency that the slice allows at time `now`, 0 if it has expired.
    pub fn usable_concurrency(&self, now: Instant) -> u32 {
        if self.is_valid(now) { self.concurrency } else { 0 }
    }

    /// Falls back to an even share of the limits among `live_entries` entry instances, because the
    /// owner cannot be reached.
    pub fn owner_unreachable(
        &mut self,
        settings: &CustomerSettings,
        live_entries: u32,
        now: Instant,
    ) {
        self.pending_slice = None;
        let live_entries = live_entries.max(1);
        let until = now + FALLBACK_TTL;
        match &mut self.fallback {
            Some(fallback) => fallback.until = until,
            None => {
                let rate = settings.rate / f64::from(live_entries);
                self.fallback = Some(FallbackLimit {
                    concurrency: (settings.concurrency / live_entries).max(1),
                    bucket: TokenBucket::new(rate, settings.burst / live_entries, now),
                    until,
                });
            }
        }
    }

    /// Returns how many permits to prefetch, from the arrival rate since the last slice request.
    fn prefetch_count(&self, demand: u32, now: Instant) -> u32 {
        let Some(last) = self.last_slice_request.filter(|_| demand > 0) else { return 0 };
        let elapsed = now.saturating_duration_since(last).max(PREFETCH_TIME);
        let expected = f64::from(demand) * PREFETCH_TIME.as_secs_f64() / elapsed.as_secs_f64();
        (expected.ceil() as u32).min(PREFETCH_MAX)
    }

    fn try_admit(&mut self, tier: RequestTier, now: Instant) -> bool {
        let is_open = !self.open_to.is_above(tier);
        let is_admitted = (is_open && self.try_slice(now)) || self.try_fallback(now);
        self.in_use += u32::from(is_admitted);
        is_admitted
    }

    fn try_slice(&mut self, now: Instant) -> bool {
        let is_open = self.is_valid(now) && self.in_use < self.concurrency && self.permits > 0;
        self.permits -= u32::from(is_open);
        is_open
    }

    fn try_fallback(&mut self, now: Instant) -> bool {
        let in_use = self.in_use;
        self.fallback.as_mut().is_some_and(|fallback| {
            fallback.until > now
                && in_use < fallback.concurrency
                && fallback.bucket.take(1, now) == 1
        })
    }

    fn refusal(&self, tier: RequestTier, now: Instant) -> LimitDecision {
        let concurrency = match &self.fallback {
            Some(fallback) if fallback.until > now => fallback.concurrency,
            _ => self.concurrency,
        };
        if self.in_use >= concurrency || self.open_to.is_above(tier) {
            let kind = ErrorKind::ConcurrencyLimited;
            return LimitDecision::Refuse { kind, retry_after: CONCURRENCY_RETRY };
        }
        let retry_after = self.exhausted.map_or(CONCURRENCY_RETRY, |slice| slice.next_permit);
        LimitDecision::Refuse { kind: ErrorKind::RateLimited, retry_after }
    }

    fn is_fallback_active(&self, now: Instant) -> bool {
        self.fallback.as_ref().is_some_and(|fallback| fallback.until > now)
    }

    fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| until > now)
    }
}
