//! Drives a pool owner and records its actions.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{
    EndpointState, GrantRequest, OwnerAction, OwnerEvent, OwnerSettings, OwnerSnapshot, PoolOwner,
    ReleaseReport, ReleaseResult,
};
use coltsfootgate_core::prelude::*;
use coltsfootgate_core::prompt::PromptLoad;

/// The time at which every test starts.
pub static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// A pool owner with the requests it received and the actions it returned.
pub struct OwnerDriver {
    pub owner: PoolOwner,
    now: Instant,
    requests: BTreeMap<(InstanceId, GrantId), GrantRequest>,
    actions: Vec<OwnerAction>,
    held: Vec<(InstanceId, GrantId, EndpointId)>,
}

/// The settings of a numbered endpoint.
pub fn endpoint(number: u32, slots: u32) -> EndpointSettings {
    EndpointSettings {
        replica: None,
        version: None,
        id: format!("endpoints.e{number}").into(),
        address: format!("127.0.0.1:{}", 8000 + number).into(),
        zone: "zone-a".into(),
        slots,
        slots_max: slots * 2,
    }
}

/// A grant request that may wait in the queue, with a grant id and a tier.
pub fn grant_request(grant: GrantId, tier: u8) -> GrantRequest {
    GrantRequest {
        request: RequestId::from_u128(grant.into()),
        requester: "127.0.0.1:9001".into(),
        grant,
        class: format!("classes.t{tier}").into(),
        tier: RequestTier::new(tier).expect("tier in range"),
        stated_tier: RequestTier::new(tier).expect("tier in range"),
        customer: "customers.one".into(),
        weight: 1.0,
        floor: 0.0,
        queue_requests: 100,
        queue_tokens: 1_000_000,
        tokens: 10,
        prompt: PromptLoad::default(),
        zone: "zone-a".into(),
        arrived: *START,
        deadline: *START + Duration::from_secs(3600),
        prefix: None,
        version: None,
        excluded: Vec::new(),
        wait: true,
    }
}

/// The release of a grant after a complete answer.
pub fn completed_report(
    grant: GrantId,
    endpoint: EndpointId,
    tokens: u32,
    between_tokens: Duration,
) -> ReleaseReport {
    ReleaseReport {
        requester: grant_request(grant, 1).requester,
        grant,
        endpoint,
        tokens,
        first_token: None,
        between_tokens: Some(between_tokens),
        result: ReleaseResult::Completed,
    }
}

impl OwnerDriver {
    pub fn new(endpoints: u32, slots: u32) -> Self {
        Self::with_token_target(endpoints, slots, Some(Duration::from_millis(34)))
    }

    /// The owner of a service whose answers have no tokens.
    pub fn without_tokens(endpoints: u32, slots: u32) -> Self {
        Self::with_token_target(endpoints, slots, None)
    }

    fn with_token_target(endpoints: u32, slots: u32, between_tokens: Option<Duration>) -> Self {
        let settings = OwnerSettings {
            pool: "pools.model".into(),
            between_tokens,
            kv_cache_tokens: None,
            limit_sharers: 1,
        };
        let mut driver = Self {
            owner: PoolOwner::new(settings),
            now: *START,
            requests: BTreeMap::new(),
            actions: Vec::new(),
            held: Vec::new(),
        };
        let owned = (0..endpoints).map(|number| endpoint(number, slots)).collect();
        driver.handle(OwnerEvent::Endpoints(owned));
        driver
    }

    pub fn now(&self) -> Instant {
        self.now
    }

    pub fn actions(&self) -> &[OwnerAction] {
        &self.actions
    }

    pub fn held(&self) -> &[(InstanceId, GrantId, EndpointId)] {
        &self.held
    }

    pub fn next_deadline(&self) -> Option<Instant> {
        self.owner.next_deadline()
    }

    pub fn snapshot(&self) -> OwnerSnapshot {
        self.owner.snapshot(self.now)
    }

    /// The grants whose requesters are asked now whether they hold them.
    pub fn take_unconfirmed(&mut self) -> BTreeMap<InstanceId, Vec<GrantId>> {
        self.owner.take_unconfirmed(self.now)
    }

    pub fn in_flight(&self) -> usize {
        self.snapshot().grants
    }

    pub fn advance(&mut self, time: Duration) -> Vec<OwnerAction> {
        self.now += time;
        self.handle(OwnerEvent::Tick)
    }

    pub fn request(&mut self, request: GrantRequest) -> Vec<OwnerAction> {
        self.requests.insert((request.requester.clone(), request.grant), request.clone());
        self.handle(OwnerEvent::RequestGrant(request))
    }

    pub fn handle(&mut self, event: OwnerEvent) -> Vec<OwnerAction> {
        let actions = self.owner.handle(event, self.now);
        for action in &actions {
            if let OwnerAction::Grant { requester, grant, endpoint, .. } = action {
                let held = (requester.clone(), *grant, endpoint.clone());
                if !self.held.contains(&held) {
                    self.held.push(held);
                }
            }
        }
        self.actions.extend(actions.clone());
        actions
    }

    /// Repeats a grant request that was already granted.
    pub fn repeat_request(&mut self, requester: &InstanceId, grant: GrantId) -> Vec<OwnerAction> {
        let request = self.requests[&(requester.clone(), grant)].clone();
        self.handle(OwnerEvent::RequestGrant(request))
    }

    /// Removes the held grants of a lost entry instance.
    pub fn forget_held(&mut self, lost: &InstanceId) {
        self.held.retain(|(requester, _, _)| requester != lost);
    }

    /// Releases the oldest held grant.
    pub fn release_oldest(&mut self, result: ReleaseResult) -> Vec<OwnerAction> {
        self.release(0, result, Duration::from_millis(10))
    }

    /// Releases a held grant with a mean time between tokens.
    pub fn release(
        &mut self,
        index: usize,
        result: ReleaseResult,
        between_tokens: Duration,
    ) -> Vec<OwnerAction> {
        self.release_with(index, result, between_tokens, between_tokens, 10)
    }

    /// Releases a held grant after a complete answer with the given latencies.
    pub fn release_with_latencies(
        &mut self,
        index: usize,
        first_token: Duration,
        between_tokens: Duration,
    ) {
        self.release_with(index, ReleaseResult::Completed, first_token, between_tokens, 10);
    }

    /// Releases a held grant after a complete answer of `tokens`.
    pub fn release_with_tokens(&mut self, index: usize, tokens: u32) {
        let token_time = Duration::from_millis(10);
        self.release_with(index, ReleaseResult::Completed, token_time, token_time, tokens);
    }

    /// The tier of a held grant.
    pub fn held_tier(&self, index: usize) -> u8 {
        let (requester, grant, _) = &self.held[index];
        self.tier(requester, *grant).number()
    }

    fn release_with(
        &mut self,
        index: usize,
        result: ReleaseResult,
        first_token: Duration,
        between_tokens: Duration,
        tokens: u32,
    ) -> Vec<OwnerAction> {
        let (requester, grant, endpoint) = self.held.remove(index);
        self.handle(OwnerEvent::Release(ReleaseReport {
            requester,
            grant,
            endpoint,
            tokens,
            first_token: Some(first_token),
            between_tokens: Some(between_tokens),
            result,
        }))
    }

    pub fn granted_tiers(&self) -> Vec<u8> {
        self.actions
            .iter()
            .filter_map(|action| match action {
                OwnerAction::Grant { requester, grant, .. } => {
                    Some(self.tier(requester, *grant).number())
                }
                _ => None,
            })
            .collect()
    }

    pub fn granted_endpoints(&self) -> Vec<EndpointId> {
        let endpoints = self.actions.iter().filter_map(|action| match action {
            OwnerAction::Grant { endpoint, .. } => Some(endpoint.clone()),
            _ => None,
        });
        endpoints.collect()
    }

    pub fn granted_ids(&self) -> Vec<GrantId> {
        let grants = self.actions.iter().filter_map(|action| match action {
            OwnerAction::Grant { grant, .. } => Some(*grant),
            _ => None,
        });
        grants.collect()
    }

    pub fn grant_count(&self) -> usize {
        self.granted_tiers().len()
    }

    pub fn state_changes(&self) -> Vec<EndpointState> {
        let states = self.actions.iter().filter_map(|action| match action {
            OwnerAction::StateChanged { state, .. } => Some(*state),
            _ => None,
        });
        states.collect()
    }

    pub fn refusals(&self) -> Vec<(RequestTier, ErrorKind)> {
        self.actions
            .iter()
            .filter_map(|action| match action {
                OwnerAction::Refuse { requester, grant, kind, .. } => {
                    Some((self.tier(requester, *grant), *kind))
                }
                _ => None,
            })
            .collect()
    }

    fn tier(&self, requester: &InstanceId, grant: GrantId) -> RequestTier {
        self.requests[&(requester.clone(), grant)].tier
    }
}
