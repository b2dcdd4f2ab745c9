//! The queue of waiting requests: strict priority by tier, with a minimum share for each tier.
//!
//! Load pattern: a customer's tier applies to classes that configure different tiers. In overload,
//! requests of the lower classes must not fill the tier's queue while higher ones are refused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::event::{GrantRequest, QueueRank};
use super::fair::{ArrivalNumber, FairQueue};
use super::waiting::WaitingCounts;
use crate::ids::{GrantId, InstanceId, RequestTier, TIER_COUNT};

/// Upper bound on the sum of the floors of all waiting tiers; larger sums are scaled down to it.
const FLOOR_SUM_MAX: f64 = 0.9;
/// Maximum credit of a tier, in waiting requests of mean length.
const CREDIT_MAX_REQUESTS: f64 = 2.0;
/// Maximum debt of a tier, in waiting requests of mean length.
const DEBT_MAX_REQUESTS: f64 = 8.0;
/// Tolerance for rounding errors in a credit, as a fraction of a request.
const CREDIT_TOLERANCE: f64 = 1e-9;

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The grant request.
    pub request: GrantRequest,
    /// Its position in the order of arrival.
    pub arrival: ArrivalNumber,
    /// Whether its tier's floor let it overtake a waiting request of a higher tier.
    pub by_floor: bool,
}

/// The result of admitting a request to the queue.
#[derive(Clone, Debug)]
pub enum QueueAdmission {
    /// The request was queued and displaced the listed requests of lower rank.
    Queued(Vec<QueuedRequest>),
    /// The queue is full and no request of a lower rank waits.
    Full,
}

/// The waiting requests of one tier, and the credit that its floor accrues.
#[derive(Clone, Debug, Default)]
struct TierQueue {
    /// The waiting requests by the tier that their class configures, highest first.
    by_stated_tier: [FairQueue; TIER_COUNT],
    waiting: usize,
    tokens: u64,
    floor: f64,
    /// Whether a brief request may be served next, after one of a higher class tier.
    is_brief_turn: bool,
    /// Tokens of service that the floor still owes the tier; negative if the tier
    /// received more than its floor.
    credit: f64,
}

impl TierQueue {
    fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// The request that is served next by priority.
    fn first(&self) -> Option<ArrivalNumber> {
        self.by_stated_tier.iter().find_map(FairQueue::first)
    }

    /// The request that is served next: by the tier of the class, but after each request a brief one
    /// of a lower class tier has its turn. `is_brief` compares two class tiers.
    fn next(
        &mut self,
        is_brief: impl Fn(RequestTier, RequestTier) -> bool,
    ) -> Option<ArrivalNumber> {
        let is_turn = std::mem::replace(&mut self.is_brief_turn, true);
        let mut waiting = RequestTier::all()
            .zip(&self.by_stated_tier)
            .filter_map(|(stated_tier, queue)| Some((stated_tier, queue.first()?)));
        let (highest, first) = waiting.next()?;
        let brief =
            if is_turn { waiting.find(|(lower, _)| is_brief(*lower, highest)) } else { None };
        if let Some((_, arrival)) = brief {
            self.is_brief_turn = false;
            return Some(arrival);
        }
        Some(first)
    }

    /// The newest request of the lowest configured tier that has any, from this index on.
    fn newest_from(&self, stated_tier: usize) -> Option<ArrivalNumber> {
        self.by_stated_tier.get(stated_tier..)?.iter().rev().find_map(FairQueue::newest)
    }

    fn mean_tokens(&self) -> f64 {
        self.tokens as f64 / self.waiting.max(1) as f64
    }

    /// Whether the credit covers a waiting request of mean length.
    fn has_due_credit(&self) -> bool {
        self.is_waiting() && self.credit >= self.mean_tokens() * (1.0 - CREDIT_TOLERANCE)
    }

    /// Adds the floor's share of `tokens` of service to the credit, up to its maximum.
    fn accrue(&mut self, tokens: f64) {
        let max = self.mean_tokens() * CREDIT_MAX_REQUESTS;
        self.credit = (self.credit + tokens * self.floor).min(max.max(self.credit));
    }

    /// Deducts service that the tier received because of its floor; the credit may turn into debt.
    fn debit(&mut self, tokens: f64) {
        let min = -DEBT_MAX_REQUESTS * self.mean_tokens().max(tokens.abs());
        self.credit = (self.credit - tokens).max(min.min(self.credit));
    }

    /// Deducts service that the tier received by priority from a positive credit, without causing
    /// debt.
    fn consume_credit(&mut self, tokens: f64) {
        self.credit = (self.credit - tokens).max(self.credit.min(0.0));
    }
}

/// The queue of one owner.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    tiers: [TierQueue; TIER_COUNT],
    requests: BTreeMap<ArrivalNumber, GrantRequest>,
    grants: BTreeMap<(InstanceId, GrantId), ArrivalNumber>,
    deadlines: BTreeSet<(Instant, ArrivalNumber)>,
    next_arrival: ArrivalNumber,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of waiting requests of each rank.
    pub fn waiting(&self) -> WaitingCounts {
        let mut waiting = WaitingCounts::default();
        for (tier, queue) in RequestTier::all().zip(&self.tiers) {
            for (stated_tier, requests) in RequestTier::all().zip(&queue.by_stated_tier) {
                waiting.add((tier, stated_tier), requests.len() as u32);
            }
        }
        waiting
    }

    /// Number of waiting requests that are served before a new one of this rank.
    pub fn waiting_before(&self, (tier, stated_tier): QueueRank) -> u32 {
        let above = self.tiers[..tier.index()].iter().map(|tier| tier.waiting);
        let queues = &self.tiers[tier.index()].by_stated_tier[..=stated_tier.index()];
        (above.sum::<usize>() + queues.iter().map(FairQueue::len).sum::<usize>()) as u32
    }

    /// Whether a request of this rank waits.
    pub fn is_waiting(&self, (tier, stated_tier): QueueRank) -> bool {
        !self.tiers[tier.index()].by_stated_tier[stated_tier.index()].is_empty()
    }

    /// Whether a request of a higher rank waits.
    pub fn is_any_above(&self, (tier, stated_tier): QueueRank) -> bool {
        let queues = &self.tiers[tier.index()].by_stated_tier[..stated_tier.index()];
        self.tiers[..tier.index()].iter().any(TierQueue::is_waiting)
            || queues.iter().any(|queue| !queue.is_empty())
    }

    /// The rank of the request that is served next by priority, and how long it has waited.
    pub fn first_waiting(&self, now: Instant) -> Option<(QueueRank, Duration)> {
        let arrival = self.tiers.iter().find_map(TierQueue::first)?;
        let request = self.requests.get(&arrival)?;
        Some((request.rank(), now.saturating_duration_since(request.arrived)))
    }

    /// The earliest deadline of all waiting requests.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Whether this grant request is already waiting.
    pub fn contains(&self, requester: &InstanceId, grant: GrantId) -> bool {
        self.grants.contains_key(&(requester.clone(), grant))
    }

    /// Adds a request; if its tier's queue is full, it displaces requests of lower rank.
    pub fn admit(&mut self, request: GrantRequest) -> QueueAdmission {
        let excess = self.excess(&request);
        let displaced = match excess {
            QueueExcess::None => Vec::new(),
            QueueExcess::Requests => self.displace(request.rank(), 0),
            QueueExcess::Tokens => self.displace(request.rank(), request.tokens.into()),
        };
        if excess != QueueExcess::None && displaced.is_empty() {
            return QueueAdmission::Full;
        }
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.insert(arrival, request);
        QueueAdmission::Queued(displaced)
    }

    /// Removes the request that is served next, without charging for it.
    ///
    /// `is_brief` tells whether requests of the first rank hold their slots so briefly that they
    /// take turns with those of the second one, which has the same tier.
    pub fn take(
        &mut self,
        is_brief: impl Fn(QueueRank, QueueRank) -> bool,
    ) -> Option<QueuedRequest> {
        let (index, by_floor) = self.next_tier()?;
        let tier = RequestTier::all().nth(index)?;
        let is_brief = |lower, higher| is_brief((tier, lower), (tier, higher));
        let arrival = self.tiers[index].next(is_brief)?;
        let mut queued = self.remove_arrival(arrival)?;
        queued.by_floor = by_floor;
        Some(queued)
    }

    /// Returns a taken request to its former position.
    pub fn restore(&mut self, queued: QueuedRequest) {
        self.insert(queued.arrival, queued.request);
    }

    /// Charges the tier and the customer of a taken request that was granted.
    pub fn charge(&mut self, queued: &QueuedRequest) {
        let request = &queued.request;
        let tokens = f64::from(request.tokens.max(1));
        let granted = request.tier.index();
        self.accrue(tokens, Some(granted));
        let tier = &mut self.tiers[granted];
        match queued.by_floor {
            true => tier.debit(tokens),
            false => tier.consume_credit(tokens),
        }
        let queue = &mut tier.by_stated_tier[request.stated_tier.index()];
        queue.charge(&request.customer, request.tokens, request.weight);
    }

    /// Corrects the credits for the difference between the estimated and actual answer tokens.
    pub fn correct_credits(
        &mut self,
        tier: RequestTier,
        by_floor: bool,
        estimated: u32,
        actual: u32,
    ) {
        let difference = f64::from(actual) - f64::from(estimated);
        self.accrue(difference, None);
        if by_floor {
            self.tiers[tier.index()].debit(difference);
        }
    }

    /// Accrues credit for all tiers with waiting requests and for the one that is served.
    fn accrue(&mut self, tokens: f64, served: Option<usize>) {
        let scale = self.floor_scale();
        for (index, tier) in self.tiers.iter_mut().enumerate() {
            if Some(index) == served || tier.is_waiting() {
                tier.accrue(tokens * scale);
            }
        }
    }

    /// Removes one request.
    pub fn remove(&mut self, requester: &InstanceId, grant: GrantId) -> Option<GrantRequest> {
        let arrival = *self.grants.get(&(requester.clone(), grant))?;
        self.remove_arrival(arrival).map(|queued| queued.request)
    }

    /// Removes all requests of one entry instance.
    pub fn remove_requester(&mut self, requester: &InstanceId) -> Vec<GrantRequest> {
        let range = (requester.clone(), GrantId::MIN)..=(requester.clone(), GrantId::MAX);
        let arrivals: Vec<_> = self.grants.range(range).map(|(_, arrival)| *arrival).collect();
        arrivals
            .into_iter()
            .filter_map(|arrival| self.remove_arrival(arrival))
            .map(|queued| queued.request)
            .collect()
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<GrantRequest> {
        let mut expired = Vec::new();
        while let Some((deadline, arrival)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            expired.extend(self.remove_arrival(arrival).map(|queued| queued.request));
        }
        expired
    }

    /// Removes every request.
    pub fn drain(&mut self) -> Vec<GrantRequest> {
        let arrivals: Vec<_> = self.requests.keys().copied().collect();
        arrivals
            .into_iter()
            .filter_map(|arrival| self.remove_arrival(arrival))
            .map(|queued| queued.request)
            .collect()
    }

    /// The index of the tier that is served next, and whether its floor lets it overtake a higher
    /// one.
    fn next_tier(&self) -> Option<(usize, bool)> {
        let highest = self.tiers.iter().position(TierQueue::is_waiting)?;
        match self.tiers.iter().position(TierQueue::has_due_credit) {
            Some(due) if due > highest => Some((due, true)),
            _ => Some((highest, false)),
        }
    }

    /// The factor that limits the sum of the floors of all waiting tiers to `FLOOR_SUM_MAX`.
    fn floor_scale(&self) -> f64 {
        let waiting = self.tiers.iter().filter(|tier| tier.is_waiting());
        let total: f64 = waiting.map(|tier| tier.floor).sum();
        if total > FLOOR_SUM_MAX { FLOOR_SUM_MAX / total } else { 1.0 }
    }

    fn excess(&self, request: &GrantRequest) -> QueueExcess {
        let tier = &self.tiers[request.tier.index()];
        if tier.tokens + u64::from(request.tokens) > request.queue_tokens {
            return QueueExcess::Tokens;
        }
        if tier.waiting >= request.queue_requests as usize {
            return QueueExcess::Requests;
        }
        QueueExcess::None
    }

    /// Removes the newest requests of the lowest ranks below `above`, at least one if there is any,
    /// until `tokens` are freed.
    fn displace(&mut self, above: QueueRank, tokens: u64) -> Vec<QueuedRequest> {
        let mut displaced = Vec::new();
        let mut freed = 0;
        while displaced.is_empty() || freed < tokens {
            let Some(victim) = self.newest_below(above) else { break };
            let Some(queued) = self.remove_arrival(victim) else { break };
            freed += u64::from(queued.request.tokens);
            displaced.push(queued);
        }
        displaced
    }

    fn newest_below(&self, (tier, stated_tier): QueueRank) -> Option<ArrivalNumber> {
        let below = &self.tiers[tier.index() + 1..];
        let victim = below.iter().rev().find_map(|tier| tier.newest_from(0));
        victim.or_else(|| self.tiers[tier.index()].newest_from(stated_tier.index() + 1))
    }

    fn insert(&mut self, arrival: ArrivalNumber, request: GrantRequest) {
        let tier = &mut self.tiers[request.tier.index()];
        tier.floor = if tier.is_waiting() { tier.floor.max(request.floor) } else { request.floor };
        tier.waiting += 1;
        tier.tokens += u64::from(request.tokens);
        tier.by_stated_tier[request.stated_tier.index()].push(&request.customer, arrival);
        self.deadlines.insert((request.deadline, arrival));
        self.grants.insert((request.requester.clone(), request.grant), arrival);
        self.requests.insert(arrival, request);
    }

    fn remove_arrival(&mut self, arrival: ArrivalNumber) -> Option<QueuedRequest> {
        let request = self.requests.remove(&arrival)?;
        let tier = &mut self.tiers[request.tier.index()];
        tier.tokens -= u64::from(request.tokens);
        tier.waiting -= 1;
        tier.by_stated_tier[request.stated_tier.index()].remove(&request.customer, arrival);
        self.deadlines.remove(&(request.deadline, arrival));
        self.grants.remove(&(request.requester.clone(), request.grant));
        Some(QueuedRequest { request, arrival, by_floor: false })
    }
}

/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum QueueExcess {
    None,
    Requests,
    Tokens,
}
