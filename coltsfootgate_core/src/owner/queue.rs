//! Requests that wait for a grant, in strict order of tiers above the floors.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::event::GrantRequest;
use super::fair::{ArrivalNumber, FairQueue};
use crate::ids::{GrantId, InstanceId, RequestTier, TIER_COUNT};

/// Largest share of grants that all floors together may claim.
const FLOORS_SHARE_MAX: f64 = 0.9;
/// Most grants that a tier can be owed.
const CREDIT_MAX: f64 = 2.0;
/// Credit at which a tier is owed a grant; below one by what summing floors may lose.
const CREDIT_DUE: f64 = 1.0 - 1e-9;

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
    /// It waits; the listed requests of lower tiers gave their places to it.
    Queued(Vec<QueuedRequest>),
    /// The queue is at its bound and nothing of a lower tier waits.
    Full,
}

/// The requests of one tier, with what the tier is owed.
#[derive(Clone, Debug, Default)]
struct TierQueue {
    line: FairQueue,
    tokens: u64,
    floor: f64,
    credit: f64,
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
        std::array::from_fn(|index| self.tiers[index].line.len() as u32)
    }

    /// Estimated tokens that wait in this tier and those above.
    pub fn tokens_before(&self, tier: RequestTier) -> u64 {
        self.tiers[..=tier.index()].iter().map(|tier| tier.tokens).sum()
    }

    /// The next moment at which a waiting request reaches its deadline.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Whether this ask is waiting already.
    pub fn contains(&self, asker: &InstanceId, grant: GrantId) -> bool {
        self.grants.contains_key(&(asker.clone(), grant))
    }

    /// Adds a request, displacing requests of lower tiers if the bound of its own is reached.
    pub fn admit(&mut self, request: GrantRequest) -> QueueAdmission {
        let excess = self.excess(&request);
        let displaced = match excess {
            QueueExcess::None => Vec::new(),
            QueueExcess::Requests => self.displace(request.tier, 0),
            QueueExcess::Tokens => self.displace(request.tier, request.tokens.into()),
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
        let arrival = self.tiers[tier].line.first()?;
        let mut queued = self.remove_arrival(arrival)?;
        queued.by_floor = by_floor;
        Some(queued)
    }

    /// Puts a taken request back in its place.
    pub fn restore(&mut self, queued: QueuedRequest) {
        self.insert(queued.arrival, queued.request);
    }

    /// Charges the tier and the customer of a taken request that was granted.
    pub fn charge(&mut self, request: &GrantRequest) {
        let scale = self.floor_scale();
        let granted = request.tier.index();
        for (index, tier) in self.tiers.iter_mut().enumerate() {
            if index == granted || !tier.line.is_empty() {
                tier.credit = (tier.credit + tier.floor * scale).min(CREDIT_MAX);
            }
            if index == granted {
                tier.credit = (tier.credit - 1.0).max(0.0);
            }
        }
        self.tiers[granted].line.charge(&request.customer, request.tokens, request.weight);
    }

    /// Removes one request.
    pub fn remove(&mut self, asker: &InstanceId, grant: GrantId) -> Option<GrantRequest> {
        let arrival = *self.grants.get(&(asker.clone(), grant))?;
        self.remove_arrival(arrival).map(|queued| queued.request)
    }

    /// Removes all requests of one entry instance.
    pub fn remove_asker(&mut self, asker: &InstanceId) -> Vec<GrantRequest> {
        let range = (asker.clone(), GrantId::MIN)..=(asker.clone(), GrantId::MAX);
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
        let is_waiting = |tier: &TierQueue| !tier.line.is_empty();
        let highest = self.tiers.iter().position(is_waiting)?;
        let owed = self.tiers.iter().position(|tier| is_waiting(tier) && tier.credit >= CREDIT_DUE);
        match owed {
            Some(owed) if owed > highest => Some((owed, true)),
            _ => Some((highest, false)),
        }
    }

    /// Keeps the floors of all waiting tiers together below the share they may claim.
    fn floor_scale(&self) -> f64 {
        let waiting = self.tiers.iter().filter(|tier| !tier.line.is_empty());
        let total: f64 = waiting.map(|tier| tier.floor).sum();
        if total > FLOORS_SHARE_MAX { FLOORS_SHARE_MAX / total } else { 1.0 }
    }

    fn excess(&self, request: &GrantRequest) -> QueueExcess {
        let tier = &self.tiers[request.tier.index()];
        if tier.tokens + u64::from(request.tokens) > request.queue_tokens {
            return QueueExcess::Tokens;
        }
        if tier.line.len() >= request.queue_requests as usize {
            return QueueExcess::Requests;
        }
        QueueExcess::None
    }

    /// Removes the newest requests of the lowest tiers, until these many tokens are free.
    fn displace(&mut self, above: RequestTier, tokens: u64) -> Vec<QueuedRequest> {
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

    fn victim_below(&self, above: RequestTier) -> Option<ArrivalNumber> {
        let below = &self.tiers[above.index() + 1..];
        below.iter().rev().find_map(|tier| tier.line.newest())
    }

    fn insert(&mut self, arrival: ArrivalNumber, request: GrantRequest) {
        let tier = &mut self.tiers[request.tier.index()];
        tier.floor =
            if tier.line.is_empty() { request.floor } else { tier.floor.max(request.floor) };
        tier.tokens += u64::from(request.tokens);
        tier.line.push(&request.customer, arrival);
        self.deadlines.insert((request.deadline, arrival));
        self.grants.insert((request.asker.clone(), request.grant), arrival);
        self.requests.insert(arrival, request);
    }

    fn remove_arrival(&mut self, arrival: ArrivalNumber) -> Option<QueuedRequest> {
        let request = self.requests.remove(&arrival)?;
        let tier = &mut self.tiers[request.tier.index()];
        tier.tokens -= u64::from(request.tokens);
        tier.line.remove(&request.customer, arrival);
        self.deadlines.remove(&(request.deadline, arrival));
        self.grants.remove(&(request.asker.clone(), request.grant));
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
