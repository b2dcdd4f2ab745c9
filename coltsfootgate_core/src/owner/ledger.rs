//! The grants in flight, reconciled with what entry instances report.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use super::event::{HeldGrant, QueueRank};
use crate::ids::{ClassId, EndpointId, GrantId, InstanceId};

/// Maximum delivery time of a grant; a younger one that an announcement lacks is kept.
const DELIVERY_TIME_MAX: Duration = Duration::from_secs(2);
/// Shortest time between two checks whether the requester of a grant still holds it.
const CHECK_PERIOD_MIN: Duration = Duration::from_secs(2);
/// Number of ended grants that are remembered, to recognise late messages about them.
const ENDED_MAX: usize = 4096;

/// A grant in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantRecord {
    /// The endpoint that the grant is for.
    pub endpoint: EndpointId,
    /// The class of the request.
    pub class: ClassId,
    /// The rank of the request.
    pub rank: QueueRank,
    /// The part of the endpoint that the request uses, 0 to 1; `None` if another owner issued the
    /// grant.
    pub size: Option<f64>,
    /// When it was granted, or first announced.
    pub granted_at: Instant,
    /// Whether a tier's floor let the request overtake one of a higher tier.
    pub by_floor: bool,
    /// Estimated tokens of the answer; `None` if another owner issued the grant.
    pub tokens: Option<u32>,
    /// When to ask its requester whether it still holds the grant.
    pub check_due: Instant,
}

/// When a grant issued at `granted_at` is checked first.
pub(super) fn first_check(granted_at: Instant) -> Instant {
    granted_at + DELIVERY_TIME_MAX
}

/// All grants in flight at the endpoints of one owner.
#[derive(Clone, Debug, Default)]
pub struct GrantLedger {
    grants: BTreeMap<(InstanceId, GrantId), GrantRecord>,
    ended: HashSet<(InstanceId, GrantId)>,
    ended_order: VecDeque<(InstanceId, GrantId)>,
}

impl GrantLedger {
    /// Number of grants in flight.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Whether no grant is in flight.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Number of grants in flight at each endpoint.
    pub fn count_by_endpoint(&self) -> HashMap<EndpointId, u32> {
        let mut counts = HashMap::new();
        for record in self.grants.values() {
            *counts.entry(record.endpoint.clone()).or_default() += 1;
        }
        counts
    }

    /// The record of a grant.
    pub fn get(&self, requester: &InstanceId, grant: GrantId) -> Option<&GrantRecord> {
        self.grants.get(&(requester.clone(), grant))
    }

    /// Whether a grant is in flight.
    pub fn contains(&self, key: &(InstanceId, GrantId)) -> bool {
        self.grants.contains_key(key)
    }

    /// Whether a grant with this id recently ended, or was cancelled before it was issued.
    pub fn has_ended(&self, requester: &InstanceId, grant: GrantId) -> bool {
        self.ended.contains(&(requester.clone(), grant))
    }

    /// Adds a grant.
    pub fn insert(&mut self, requester: &InstanceId, grant: GrantId, record: GrantRecord) {
        self.grants.insert((requester.clone(), grant), record);
    }

    /// Removes a grant; returns `None` if it is unknown or has already ended.
    pub fn end(&mut self, requester: &InstanceId, grant: GrantId) -> Option<GrantRecord> {
        let key = (requester.clone(), grant);
        if self.ended.insert(key.clone()) {
            self.ended_order.push_back(key.clone());
        }
        if self.ended_order.len() > ENDED_MAX
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        self.grants.remove(&key)
    }

    /// Removes all grants of an entry instance.
    pub fn remove_requester(&mut self, requester: &InstanceId) -> Vec<GrantRecord> {
        let keys = self.keys_by_requester(requester);
        keys.into_iter().filter_map(|key| self.grants.remove(&key)).collect()
    }

    /// Adjusts the grants of an entry instance to those that it announces.
    pub fn reconcile(
        &mut self,
        requester: &InstanceId,
        held: Vec<HeldGrant>,
        now: Instant,
    ) -> LedgerChange {
        let announced: HashSet<GrantId> = held.iter().map(|held| held.grant).collect();
        let mut change = LedgerChange::default();
        for key in self.keys_by_requester(requester) {
            let is_delivered = self
                .grants
                .get(&key)
                .is_some_and(|record| now.duration_since(record.granted_at) > DELIVERY_TIME_MAX);
            if is_delivered && !announced.contains(&key.1) {
                change.removed.extend(self.grants.remove(&key));
            }
        }
        for held in held {
            let key = (requester.clone(), held.grant);
            if self.grants.contains_key(&key) || self.ended.contains(&key) {
                continue;
            }
            let record = GrantRecord {
                endpoint: held.endpoint,
                class: held.class,
                rank: held.rank,
                size: None,
                granted_at: now,
                by_floor: false,
                tokens: None,
                check_due: first_check(now),
            };
            change.added.push((held.grant, record.clone()));
            self.grants.insert(key, record);
        }
        change
    }

    /// The grants that their requesters should confirm, by requester; each is asked for again later.
    ///
    /// A release or cancellation can be lost, or go to another owner that an instance saw for a while.
    /// Without a check its slot would count as taken for as long as both instances live.
    pub fn take_unconfirmed(&mut self, now: Instant) -> BTreeMap<InstanceId, Vec<GrantId>> {
        let mut unconfirmed: BTreeMap<InstanceId, Vec<GrantId>> = BTreeMap::new();
        for ((requester, grant), record) in &mut self.grants {
            if record.check_due <= now {
                record.check_due = now + CHECK_PERIOD_MIN;
                unconfirmed.entry(requester.clone()).or_default().push(*grant);
            }
        }
        unconfirmed
    }

    /// Removes the grants that a requester was asked for and does not hold; returns them.
    pub fn confirm(
        &mut self,
        requester: &InstanceId,
        asked: &[GrantId],
        held: &[GrantId],
        now: Instant,
    ) -> Vec<GrantRecord> {
        let mut removed = Vec::new();
        for grant in asked {
            if !held.contains(grant) {
                removed.extend(self.end(requester, *grant));
            } else if let Some(record) = self.grants.get_mut(&(requester.clone(), *grant)) {
                // The longer a grant is held, the less often it is checked.
                let age = now.saturating_duration_since(record.granted_at);
                record.check_due = now + age.max(CHECK_PERIOD_MIN);
            }
        }
        removed
    }

    fn keys_by_requester(&self, requester: &InstanceId) -> Vec<(InstanceId, GrantId)> {
        let range = (requester.clone(), GrantId::MIN)..=(requester.clone(), GrantId::MAX);
        self.grants.range(range).map(|(key, _)| key.clone()).collect()
    }
}

/// The changes that an announcement caused.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LedgerChange {
    /// Grants that were missing from the ledger.
    pub added: Vec<(GrantId, GrantRecord)>,
    /// Grants that the entry instance no longer holds.
    pub removed: Vec<GrantRecord>,
}
