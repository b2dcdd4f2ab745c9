//! Lends slices of customers' limits to entry instances, never more than the limit in all.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use super::{LimitAsk, LimitSlice, SLICE_LIFE, SLICE_MARGIN, TokenBucket};
use crate::ids::{CustomerId, InstanceId, RequestTier, TIER_COUNT};
use crate::settings::CustomerSettings;

/// The part of a customer's concurrency that the lowest tier leaves to those above.
const KEPT_FOR_HIGHER: f64 = 0.25;

/// The limits of the customers that one instance owns.
#[derive(Clone, Debug)]
pub struct LimitOwner {
    started: Instant,
    customers: HashMap<CustomerId, CustomerLimit>,
}

/// One customer's limits and who holds what of them.
#[derive(Clone, Debug)]
struct CustomerLimit {
    concurrency: u32,
    bucket: TokenBucket,
    holders: HashMap<InstanceId, SliceHolder>,
    lapses: BTreeSet<(Instant, InstanceId)>,
    /// The sum of what all holders may have in flight.
    lent: u32,
    /// How many holders got less than they wanted.
    unmet: u32,
}

#[derive(Clone, Debug)]
struct SliceHolder {
    sequence: u64,
    /// What the holder may have in flight, by this slice or one before that it may still use.
    counted: u32,
    is_unmet: bool,
    lapse: Instant,
}

impl LimitOwner {
    /// Makes an owner that may follow another one, whose slices are still in use.
    pub fn new(now: Instant) -> Self {
        Self { started: now, customers: HashMap::new() }
    }

    /// Lends a slice; `live` is how many entry instances there are.
    pub fn lend(
        &mut self,
        ask: &LimitAsk,
        settings: &CustomerSettings,
        live: u32,
        now: Instant,
    ) -> LimitSlice {
        let is_new = now.saturating_duration_since(self.started) < SLICE_LIFE;
        let customer = self
            .customers
            .entry(ask.customer.clone())
            .or_insert_with(|| CustomerLimit::new(settings, now));
        customer.set_limits(settings, now);
        customer.lapse(now);
        let fair = (settings.concurrency / live.max(1)).max(1);
        let most = if is_new { ask.holding.max(fair) } else { u32::MAX };
        customer.lend(ask, most, now)
    }

    /// Forgets customers nobody holds a slice of.
    pub fn forget_idle(&mut self, now: Instant) {
        for customer in self.customers.values_mut() {
            customer.lapse(now);
        }
        self.customers.retain(|_, customer| !customer.holders.is_empty());
    }

    /// Requests in flight that all slices of a customer allow together.
    pub fn lent(&self, customer: &CustomerId) -> u32 {
        self.customers.get(customer).map_or(0, |customer| customer.lent)
    }
}

impl CustomerLimit {
    fn new(settings: &CustomerSettings, now: Instant) -> Self {
        Self {
            concurrency: settings.concurrency,
            bucket: TokenBucket::new(settings.rate, settings.burst, now),
            holders: HashMap::new(),
            lapses: BTreeSet::new(),
            lent: 0,
            unmet: 0,
        }
    }

    fn set_limits(&mut self, settings: &CustomerSettings, now: Instant) {
        self.concurrency = settings.concurrency;
        self.bucket.set(settings.rate, settings.burst, now);
    }

    fn lend(&mut self, ask: &LimitAsk, most: u32, now: Instant) -> LimitSlice {
        let old = self.take_holder(&ask.entry);
        let counted = old.as_ref().map_or(0, |old| old.still_counted(ask));
        let sequence = old.map_or(ask.sequence, |old| old.sequence.max(ask.sequence)) + 1;
        let free = self.concurrency.saturating_sub(self.lent);
        let open = self.open_slots(ask.tier).saturating_sub(self.lent).max(ask.in_use);
        let granted = ask.wanted.min(most).min(self.fair_most(ask)).min(free).min(open);
        self.put_holder(
            &ask.entry,
            SliceHolder {
                sequence,
                counted: granted.max(counted),
                is_unmet: granted < ask.wanted,
                lapse: now + SLICE_LIFE + SLICE_MARGIN,
            },
        );
        self.bucket.put_back(ask.permits_returned, now);
        let permits = self.bucket.take(ask.permits_wanted, now);
        LimitSlice {
            sequence,
            concurrency: granted,
            permits,
            valid_for: SLICE_LIFE,
            next_permit: self.bucket.until_next(now),
            open_to: self.open_to(self.lent - granted.max(counted) + ask.in_use),
        }
    }

    /// The lowest tier that may start requests while this many are in flight or lent elsewhere.
    fn open_to(&self, taken: u32) -> RequestTier {
        let open = |tier: &RequestTier| taken < self.open_slots(*tier);
        RequestTier::all().rev().find(open).unwrap_or(RequestTier::HIGHEST)
    }

    /// How many requests may be in flight while one of this tier starts.
    ///
    /// The last part of the limit is open to the higher tiers only, so that a customer's lower
    /// tiers cannot keep its higher ones out.
    fn open_slots(&self, tier: RequestTier) -> u32 {
        let kept = KEPT_FOR_HIGHER * tier.index() as f64 / (TIER_COUNT - 1) as f64;
        (f64::from(self.concurrency) * (1.0 - kept)).ceil() as u32
    }

    /// While others want more, a holder keeps its even part or what it has in flight.
    fn fair_most(&self, ask: &LimitAsk) -> u32 {
        if self.unmet == 0 {
            return u32::MAX;
        }
        let holders = self.holders.len() as u32 + 1;
        (self.concurrency / holders).max(ask.in_use).max(1)
    }

    fn lapse(&mut self, now: Instant) {
        while let Some((lapse, entry)) = self.lapses.first().cloned() {
            if lapse > now {
                break;
            }
            self.take_holder(&entry);
        }
    }

    fn take_holder(&mut self, entry: &InstanceId) -> Option<SliceHolder> {
        let holder = self.holders.remove(entry)?;
        self.lapses.remove(&(holder.lapse, entry.clone()));
        self.lent -= holder.counted;
        self.unmet -= u32::from(holder.is_unmet);
        Some(holder)
    }

    fn put_holder(&mut self, entry: &InstanceId, holder: SliceHolder) {
        self.lapses.insert((holder.lapse, entry.clone()));
        self.lent += holder.counted;
        self.unmet += u32::from(holder.is_unmet);
        self.holders.insert(entry.clone(), holder);
    }
}

impl SliceHolder {
    /// What the holder may have in flight by its old slices, given what it says of them.
    fn still_counted(&self, ask: &LimitAsk) -> u32 {
        if ask.sequence < self.sequence {
            // The last slice may be on its way still, so the one before may be in use.
            return self.counted;
        }
        ask.holding.max(ask.in_use).min(self.counted)
    }
}
