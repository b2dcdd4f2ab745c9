//! Requests that wait for a grant, in strict order of tiers above the floors.
//!
//! Load pattern: one customer's tier holds classes of different tiers. In overload those of the lower
//! ones must not fill the tier's bound and be served while those of the higher ones are refused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::event::{GrantRequest, QueueRank};
use super::fair::{ArrivalNumber, FairQueue};
use crate::ids::{GrantId, InstanceId, RequestTier, TIER_COUNT};

/// Largest share of service that all floors together may claim.
const FLOORS_SHARE_MAX: f64 = 0.9;
/// Most requests of mean length that a tier can be owed.
const CREDIT_MAX: f64 = 2.0;
/// Most requests of mean length that a tier can have had beyond its floor.
const DEBT_MAX: f64 = 8.0;
/// Part of a request by which rounding may keep a credit below what it should be.
const CREDIT_SLACK: f64 = 1e-9;

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// What was asked.
    pub request: GrantRequest,
    /// Its position in the order of arrival.
    pub arrival: ArrivalNumber,
    /// Whether a floor put it before a waiting request of a higher tier.
    pub by_floor: bool,
}

/// What became of a request that wants to wait.
#[derive(Clone, Debug)]
pub enum QueueAdmission {
    /// It waits; the listed requests of lower ranks gave their places to it.
    Queued(Vec<QueuedRequest>),
    /// The queue is at its bound and nothing of a lower rank waits.
    Full,
}

/// The requests of one tier, with what the tier is owed.
#[derive(Clone, Debug, Default)]
struct TierQueue {
    /// A line for each tier that classes state.
    lines: [FairQueue; TIER_COUNT],
    waiting: usize,
    tokens: u64,
    floor: f64,
    /// Tokens of service that the tier is owed by its floor; negative if it had more.
    credit: f64,
}

impl TierQueue {
    fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// The request that is served next.
    fn first(&self) -> Option<ArrivalNumber> {
        self.lines.iter().find_map(FairQueue::first)
    }

    /// The newest request of the last of the lines from this one on.
    fn newest_from(&self, line: usize) -> Option<ArrivalNumber> {
        self.lines.get(line..)?.iter().rev().find_map(FairQueue::newest)
    }

    fn mean_tokens(&self) -> f64 {
        self.tokens as f64 / self.waiting.max(1) as f64
    }

    /// Whether the floor owes the tier a request of mean length.
    fn is_due(&self) -> bool {
        self.is_waiting() && self.credit >= self.mean_tokens() * (1.0 - CREDIT_SLACK)
    }

    /// Adds the floor's part of some service to the credit.
    fn earn(&mut self, tokens: f64) {
        let most = self.mean_tokens() * CREDIT_MAX;
        self.credit = (self.credit + tokens * self.floor).min(most.max(self.credit));
    }

    /// Takes service that the floor gave from the credit.
    fn pay(&mut self, tokens: f64) {
        let least = -DEBT_MAX * self.mean_tokens().max(tokens.abs());
        self.credit = (self.credit - tokens).max(least.min(self.credit));
    }

    /// Takes service that no floor was needed for from what the tier is owed.
    fn use_up(&mut self, tokens: f64) {
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
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// How many requests of each tier wait, highest first.
    pub fn waiting_by_tier(&self) -> [u32; TIER_COUNT] {
        std::array::from_fn(|index| self.tiers[index].waiting as u32)
    }

    /// How many requests are served before a new one of this rank.
    pub fn waiting_before(&self, (tier, stated_tier): QueueRank) -> u32 {
        let above = self.tiers[..tier.index()].iter().map(|tier| tier.waiting);
        let lines = &self.tiers[tier.index()].lines[..=stated_tier.index()];
        (above.sum::<usize>() + lines.iter().map(FairQueue::len).sum::<usize>()) as u32
    }

    /// The next moment at which a waiting request reaches its deadline.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Whether this ask is waiting already.
    pub fn contains(&self, requester: &InstanceId, grant: GrantId) -> bool {
        self.grants.contains_key(&(requester.clone(), grant))
    }

    /// Adds a request, displacing requests of lower tiers if the bound of its own is reached.
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

    /// Takes the request that is served next, without charging for it.
    pub fn take(&mut self) -> Option<QueuedRequest> {
        let (tier, by_floor) = self.next_tier()?;
        let arrival = self.tiers[tier].first()?;
        let mut queued = self.remove_arrival(arrival)?;
        queued.by_floor = by_floor;
        Some(queued)
    }

    /// Puts a taken request back in its place.
    pub fn restore(&mut self, queued: QueuedRequest) {
        self.insert(queued.arrival, queued.request);
    }

    /// Charges the tier and the customer of a taken request that was granted.
    pub fn charge(&mut self, queued: &QueuedRequest) {
        let request = &queued.request;
        let tokens = f64::from(request.tokens.max(1));
        let granted = request.tier.index();
        self.earn(tokens, Some(granted));
        let tier = &mut self.tiers[granted];
        match queued.by_floor {
            true => tier.pay(tokens),
            false => tier.use_up(tokens),
        }
        let line = &mut tier.lines[request.stated_tier.index()];
        line.charge(&request.customer, request.tokens, request.weight);
    }

    /// Corrects the credits once the length of an answer is known.
    pub fn settle(&mut self, tier: RequestTier, by_floor: bool, estimated: u32, actual: u32) {
        let difference = f64::from(actual) - f64::from(estimated);
        self.earn(difference, None);
        if by_floor {
            self.tiers[tier.index()].pay(difference);
        }
    }

    /// Adds to the credits of all tiers that wait, and of the one that is served.
    fn earn(&mut self, tokens: f64, served: Option<usize>) {
        let scale = self.floor_scale();
        for (index, tier) in self.tiers.iter_mut().enumerate() {
            if Some(index) == served || tier.is_waiting() {
                tier.earn(tokens * scale);
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

    /// Removes the requests whose deadline has come.
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

    /// The tier that is served next, and whether a floor puts it before a higher one.
    fn next_tier(&self) -> Option<(usize, bool)> {
        let highest = self.tiers.iter().position(TierQueue::is_waiting)?;
        match self.tiers.iter().position(TierQueue::is_due) {
            Some(due) if due > highest => Some((due, true)),
            _ => Some((highest, false)),
        }
    }

    /// Keeps the floors of all waiting tiers together below the share they may claim.
    fn floor_scale(&self) -> f64 {
        let waiting = self.tiers.iter().filter(|tier| tier.is_waiting());
        let total: f64 = waiting.map(|tier| tier.floor).sum();
        if total > FLOORS_SHARE_MAX { FLOORS_SHARE_MAX / total } else { 1.0 }
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

    /// Removes the newest requests of the lowest ranks, until these many tokens are free.
    fn displace(&mut self, above: QueueRank, tokens: u64) -> Vec<QueuedRequest> {
        let mut displaced = Vec::new();
        let mut freed = 0;
        while displaced.is_empty() || freed < tokens {
            let Some(victim) = self.victim_below(above) else { break };
            let Some(queued) = self.remove_arrival(victim) else { break };
            freed += u64::from(queued.request.tokens);
            displaced.push(queued);
        }
        displaced
    }

    fn victim_below(&self, (tier, stated_tier): QueueRank) -> Option<ArrivalNumber> {
        let below = &self.tiers[tier.index() + 1..];
        let victim = below.iter().rev().find_map(|tier| tier.newest_from(0));
        victim.or_else(|| self.tiers[tier.index()].newest_from(stated_tier.index() + 1))
    }

    fn insert(&mut self, arrival: ArrivalNumber, request: GrantRequest) {
        let tier = &mut self.tiers[request.tier.index()];
        tier.floor = if tier.is_waiting() { tier.floor.max(request.floor) } else { request.floor };
        tier.waiting += 1;
        tier.tokens += u64::from(request.tokens);
        tier.lines[request.stated_tier.index()].push(&request.customer, arrival);
        self.deadlines.insert((request.deadline, arrival));
        self.grants.insert((request.requester.clone(), request.grant), arrival);
        self.requests.insert(arrival, request);
    }

    fn remove_arrival(&mut self, arrival: ArrivalNumber) -> Option<QueuedRequest> {
        let request = self.requests.remove(&arrival)?;
        let tier = &mut self.tiers[request.tier.index()];
        tier.tokens -= u64::from(request.tokens);
        tier.waiting -= 1;
        tier.lines[request.stated_tier.index()].remove(&request.customer, arrival);
        self.deadlines.remove(&(request.deadline, arrival));
        self.grants.remove(&(request.requester.clone(), request.grant));
        Some(QueuedRequest { request, arrival, by_floor: false })
    }
}

/// Which bound a request would pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum QueueExcess {
    None,
    Requests,
    Tokens,
}
