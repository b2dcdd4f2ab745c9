//! Grants slices of customers' limits to entry instances; the sum never exceeds the limit.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use super::{LimitSlice, SLICE_EXPIRY_MARGIN, SLICE_LIFETIME, SliceRequest, TokenBucket};
use crate::ids::{CustomerId, InstanceId, RequestTier, TIER_COUNT};
use crate::settings::CustomerSettings;

/// Fraction of a customer's concurrency that the lowest tier leaves to higher tiers.
const HIGHER_TIER_RESERVE: f64 = 0.25;

/// The limits of the customers that one instance owns.
#[derive(Clone, Debug)]
pub struct LimitOwner {
    started: Instant,
    customers: HashMap<CustomerId, CustomerLimit>,
}

/// One customer's limits and the slices granted from them.
#[derive(Clone, Debug)]
struct CustomerLimit {
    concurrency: u32,
    bucket: TokenBucket,
    holders: HashMap<InstanceId, SliceHolder>,
    expiries: BTreeSet<(Instant, InstanceId)>,
    /// Sum of the concurrency that all holders may use.
    granted: u32,
    /// Number of holders that were granted less than they requested.
    unmet_holders: u32,
}

#[derive(Clone, Debug)]
struct SliceHolder {
    sequence: u64,
    /// Concurrency that the holder may use, under this slice or an earlier one still in use.
    counted: u32,
    is_unmet: bool,
    expires_at: Instant,
}

impl LimitOwner {
    /// Creates an owner; slices that a previous owner granted may still be in use.
    pub fn new(now: Instant) -> Self {
        Self { started: now, customers: HashMap::new() }
    }

    /// Grants a slice; `live_entries` is the number of entry instances.
    ///
    /// During its first [`SLICE_LIFETIME`] the owner grants no more than an even share or what the
    /// entry instance already holds, since slices of a previous owner may still be in use.
    pub fn grant(
        &mut self,
        request: &SliceRequest,
        settings: &CustomerSettings,
        live_entries: u32,
        now: Instant,
    ) -> LimitSlice {
        let is_new = now.saturating_duration_since(self.started) < SLICE_LIFETIME;
        let customer = self
            .customers
            .entry(request.customer.clone())
            .or_insert_with(|| CustomerLimit::new(settings, now));
        customer.set_limits(settings, now);
        customer.drop_expired(now);
        let even_share = (settings.concurrency / live_entries.max(1)).max(1);
        let cap = if is_new { request.holding.max(even_share) } else { u32::MAX };
        customer.grant(request, cap, now)
    }

    /// Removes the customers of which no entry instance holds a slice.
    pub fn forget_idle(&mut self, now: Instant) {
        for customer in self.customers.values_mut() {
            customer.drop_expired(now);
        }
        self.customers.retain(|_, customer| !customer.holders.is_empty());
    }

    /// Returns the sum of the concurrency that all slices of a customer allow.
    pub fn granted(&self, customer: &CustomerId) -> u32 {
        self.customers.get(customer).map_or(0, |customer| customer.granted)
    }
}

impl CustomerLimit {
    fn new(settings: &CustomerSettings, now: Instant) -> Self {
        Self {
            concurrency: settings.concurrency,
            bucket: TokenBucket::new(settings.rate, settings.burst, now),
            holders: HashMap::new(),
            expiries: BTreeSet::new(),
            granted: 0,
            unmet_holders: 0,
        }
    }

    fn set_limits(&mut self, settings: &CustomerSettings, now: Instant) {
        self.concurrency = settings.concurrency;
        self.bucket.reconfigure(settings.rate, settings.burst, now);
    }

    fn grant(&mut self, request: &SliceRequest, cap: u32, now: Instant) -> LimitSlice {
        let old = self.remove_holder(&request.entry);
        let counted = old.as_ref().map_or(0, |old| old.still_counted(request));
        let sequence = old.map_or(request.sequence, |old| old.sequence.max(request.sequence)) + 1;
        let free = self.concurrency.saturating_sub(self.granted);
        let open = self.open_slots(request.tier).saturating_sub(self.granted).max(request.in_use);
        let granted = request.wanted.min(cap).min(self.fair_cap(request)).min(free).min(open);
        self.insert_holder(
            &request.entry,
            SliceHolder {
                sequence,
                counted: granted.max(counted),
                is_unmet: granted < request.wanted,
                expires_at: now + SLICE_LIFETIME + SLICE_EXPIRY_MARGIN,
            },
        );
        self.bucket.refund(request.permits_returned, now);
        let permits = self.bucket.take(request.permits_wanted, now);
        LimitSlice {
            sequence,
            concurrency: granted,
            permits,
            valid_for: SLICE_LIFETIME,
            next_permit: self.bucket.until_next(now),
            open_to: self.open_to(self.granted - granted.max(counted) + request.in_use),
        }
    }

    /// Returns the lowest tier that may start requests while `taken` requests are in flight at this
    /// entry instance or granted to others.
    fn open_to(&self, taken: u32) -> RequestTier {
        let open = |tier: &RequestTier| taken < self.open_slots(*tier);
        RequestTier::all().rev().find(open).unwrap_or(RequestTier::HIGHEST)
    }

    /// Returns the number of requests in flight below which a request of this tier may start.
    ///
    /// The last part of the limit is reserved for higher tiers, so that a customer's lower tiers
    /// cannot use up all of it.
    fn open_slots(&self, tier: RequestTier) -> u32 {
        let reserved = HIGHER_TIER_RESERVE * tier.index() as f64 / (TIER_COUNT - 1) as f64;
        (f64::from(self.concurrency) * (1.0 - reserved)).ceil() as u32
    }

    /// Returns the largest slice that a holder may be granted: while any other holder has less than
    /// it requested, the larger of the even share and what the holder has in flight.
    fn fair_cap(&self, request: &SliceRequest) -> u32 {
        if self.unmet_holders == 0 {
            return u32::MAX;
        }
        let holders = self.holders.len() as u32 + 1;
        (self.concurrency / holders).max(request.in_use).max(1)
    }

    /// Drops the holders whose slice has expired.
    fn drop_expired(&mut self, now: Instant) {
        while let Some((expires_at, entry)) = self.expiries.first().cloned() {
            if expires_at > now {
                break;
            }
            self.remove_holder(&entry);
        }
    }

    fn remove_holder(&mut self, entry: &InstanceId) -> Option<SliceHolder> {
        let holder = self.holders.remove(entry)?;
        self.expiries.remove(&(holder.expires_at, entry.clone()));
        self.granted -= holder.counted;
        self.unmet_holders -= u32::from(holder.is_unmet);
        Some(holder)
    }

    fn insert_holder(&mut self, entry: &InstanceId, holder: SliceHolder) {
        self.expiries.insert((holder.expires_at, entry.clone()));
        self.granted += holder.counted;
        self.unmet_holders += u32::from(holder.is_unmet);
        self.holders.insert(entry.clone(), holder);
    }
}

impl SliceHolder {
    /// Returns the concurrency that the holder may still use under its earlier slices, given the
    /// state that it reports.
    fn still_counted(&self, request: &SliceRequest) -> u32 {
        if request.sequence < self.sequence {
            // The last slice may still be in transit, so the one before it may be in use.
            return self.counted;
        }
        request.holding.max(request.in_use).min(self.counted)
    }
}
