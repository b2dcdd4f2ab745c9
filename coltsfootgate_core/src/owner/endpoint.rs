//! The endpoints of an owner and the choice among them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::concurrency::AdaptiveSlots;
use super::engine::{EngineLoad, GrantKey};
use super::errors::ErrorShare;
use super::event::{EngineReservation, GrantRequest, ReleaseReport, ReleaseResult};
use super::ledger::GrantLedger;
use super::placement::{EngineView, placement_cost};
use super::snapshot::EndpointSnapshot;
use super::straggler::{EndpointHealth, EndpointState};
use crate::ids::EndpointId;
use crate::settings::EndpointSettings;

/// Extra load, as a share of its slots, that a warm cache is worth to an endpoint.
const AFFINITY_WORTH: f64 = 0.25;

/// Load, as a share of its slots, that failing all requests beyond the pool's share counts for.
const ERRORS_WORTH: f64 = 2.5;
/// Share of failed answers of the pool's median endpoint above which failures are common.
const COMMON_ERRORS: f64 = 0.2;
/// Load, as a share of its slots, that an endpoint in the requester's availability zone may have more.
const ZONE_WORTH: f64 = 0.05;

/// One endpoint and what its owner knows of it.
#[derive(Clone, Debug)]
pub struct OwnedEndpoint {
    settings: EndpointSettings,
    slots: AdaptiveSlots,
    health: EndpointHealth,
    load: EngineLoad,
    errors: ErrorShare,
    in_flight: u32,
    is_draining: bool,
    is_owned: bool,
    last_grant: u64,
}

impl OwnedEndpoint {
    fn new(settings: EndpointSettings) -> Self {
        let slots = AdaptiveSlots::new(settings.slots, settings.slots_max);
        Self {
            settings,
            slots,
            health: EndpointHealth::default(),
            load: EngineLoad::new(None),
            errors: ErrorShare::default(),
            in_flight: 0,
            is_draining: false,
            is_owned: true,
            last_grant: 0,
        }
    }

    fn is_in_service(&self) -> bool {
        self.is_owned && !self.is_draining && self.health.state() != EndpointState::Ejected
    }

    /// Requests it may run at once now.
    fn limit(&self, now: Instant) -> u32 {
        if self.is_in_service() { self.health.allowance(self.slots.limit(), now) } else { 0 }
    }

    fn free(&self, now: Instant) -> u32 {
        match self.health.state() {
            EndpointState::Probing if self.in_flight > 0 => 0,
            _ => self.limit(now).saturating_sub(self.in_flight),
        }
    }

    fn load(&self, now: Instant) -> f64 {
        f64::from(self.in_flight) / f64::from(self.limit(now).max(1))
    }
}

/// All endpoints of an owner, with those that still hold grants from before.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, OwnedEndpoint>,
    peer_token_times: Vec<Duration>,
    kv_cache_tokens: Option<u64>,
    grants: u64,
}

impl EndpointTable {
    /// Takes over a new set of endpoints; others give no new grants.
    ///
    /// Grants in flight are counted anew, since some may have been announced before.
    pub fn set_owned(&mut self, owned: Vec<EndpointSettings>, ledger: &GrantLedger) {
        let kv_cache_tokens = self.kv_cache_tokens;
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_owned = false;
        }
        for settings in owned {
            let endpoint = self
                .endpoints
                .entry(settings.id.clone())
                .or_insert_with(|| OwnedEndpoint::new(settings.clone()));
            endpoint.load.set_kv_cache_tokens(kv_cache_tokens);
            endpoint.slots.set_bounds(settings.slots, settings.slots_max);
            endpoint.settings = settings;
            endpoint.is_owned = true;
        }
        let counts = ledger.count_by_endpoint();
        for (id, endpoint) in &mut self.endpoints {
            endpoint.in_flight = counts.get(id).copied().unwrap_or(0);
        }
        self.forget_unused();
    }

    /// Marks an endpoint as leaving.
    pub fn set_draining(&mut self, endpoint: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.is_draining = true;
        }
    }

    /// Whether any endpoint takes new work, now or once it has a free slot.
    pub fn is_any_in_service(&self) -> bool {
        self.endpoints.values().any(OwnedEndpoint::is_in_service)
    }

    /// Whether any endpoint that takes new work is not among those excluded.
    pub fn can_ever_serve(&self, request: &GrantRequest) -> bool {
        self.endpoints
            .iter()
            .any(|(id, endpoint)| endpoint.is_in_service() && !request.excluded.contains(id))
    }

    /// Slots that are free, and slots in all.
    pub fn slots(&self, now: Instant) -> (u32, u32) {
        self.endpoints.values().fold((0, 0), |(free, all), endpoint| {
            (free + endpoint.free(now), all + endpoint.limit(now))
        })
    }

    /// Whether any slot is free.
    pub fn is_any_free(&self, now: Instant) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.free(now) > 0)
    }

    /// Takes over the kv_cache_tokens of the engines, in tokens.
    pub fn set_kv_cache_tokens(&mut self, kv_cache_tokens: Option<u64>) {
        self.kv_cache_tokens = kv_cache_tokens;
        for endpoint in self.endpoints.values_mut() {
            endpoint.load.set_kv_cache_tokens(kv_cache_tokens);
        }
    }

    /// The endpoint for a request; `None` if it has to wait.
    pub fn choose(
        &self,
        request: &GrantRequest,
        hint: Option<&EndpointId>,
        now: Instant,
    ) -> Option<EndpointId> {
        if request.prompt.is_known() {
            self.choose_engine(request, now)
        } else {
            self.choose_least_loaded(request, hint, now)
        }
    }

    /// The engine at which a prompt costs least.
    fn choose_engine(&self, request: &GrantRequest, now: Instant) -> Option<EndpointId> {
        let least_errors = self.least_errors(now);
        let last = self.endpoints.len().saturating_sub(1).max(1) as f64;
        let candidates =
            self.endpoints.iter().enumerate().filter(|(_, (id, endpoint))| {
                endpoint.free(now) > 0 && !request.excluded.contains(id)
            });
        let costs = candidates.filter_map(|(position, (id, endpoint))| {
            let engine = EngineView {
                load: &endpoint.load,
                order: position as f64 / last,
                taken: endpoint.load(now),
                is_near: endpoint.settings.zone == request.zone,
                errors: (endpoint.errors.get(now) - least_errors).max(0.0),
            };
            Some((placement_cost(request, engine, now)?, id))
        });
        let chosen = costs.min_by(|one, other| one.0.total_cmp(&other.0));
        chosen.map(|(_, id)| id.clone())
    }

    /// The least loaded endpoint, or the hinted one if nearly so; one in the same zone goes first.
    fn choose_least_loaded(
        &self,
        request: &GrantRequest,
        hint: Option<&EndpointId>,
        now: Instant,
    ) -> Option<EndpointId> {
        let least_errors = self.least_errors(now);
        let candidates = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| endpoint.free(now) > 0 && !request.excluded.contains(id));
        let cost = |(id, endpoint): &(&EndpointId, &OwnedEndpoint)| {
            let worth = if hint == Some(id) { AFFINITY_WORTH } else { 0.0 };
            let is_far = endpoint.settings.zone != request.zone;
            let distance = if is_far { ZONE_WORTH } else { 0.0 };
            let errors = (endpoint.errors.get(now) - least_errors).max(0.0) * ERRORS_WORTH;
            (endpoint.load(now) - worth + distance + errors, endpoint.last_grant)
        };
        let order = |one: &(f64, u64), other: &(f64, u64)| {
            one.0.total_cmp(&other.0).then(one.1.cmp(&other.1))
        };
        let chosen = candidates.min_by(|one, other| order(&cost(one), &cost(other)));
        chosen.map(|(id, _)| id.clone())
    }

    /// Counts a grant.
    pub fn granted(&mut self, request: &GrantRequest, endpoint: &EndpointId, now: Instant) {
        self.grants += 1;
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else { return };
        if request.prompt.is_known() {
            let key = (request.requester.clone(), request.grant);
            endpoint.load.granted(key, &request.prompt, now);
        }
        endpoint.last_grant = self.grants;
        endpoint.in_flight += 1;
        endpoint.health.granted(now);
        if endpoint.free(now) == 0 {
            endpoint.slots.saturated();
        }
    }

    /// Counts a grant that was given by an earlier owner.
    pub fn announced(
        &mut self,
        endpoint: &EndpointId,
        grant: GrantKey,
        reservation: EngineReservation,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.in_flight += 1;
            if reservation != EngineReservation::default() {
                endpoint.load.note_running(grant, reservation);
            }
        }
    }

    /// Learns that the first token of a granted request came.
    pub fn first_token(&mut self, endpoint: &EndpointId, grant: &GrantKey, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.load.first_token(grant, now);
        }
    }

    /// Forgets the prompt of a grant that ended.
    pub fn forget_prompt(&mut self, endpoint: &EndpointId, grant: &GrantKey, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.load.ended(grant, now);
        }
    }

    /// Forgets the prompts of grants that the ledger does not hold any more.
    pub fn retain_prompts(&mut self, ledger: &GrantLedger, now: Instant) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.load.retain(|grant| ledger.holds(grant), now);
        }
    }

    /// Counts the end of a grant.
    pub fn ended(&mut self, endpoint: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
        self.forget_unused();
    }

    /// Learns from what an entry saw.
    pub fn learn(&mut self, report: &ReleaseReport, target: Option<Duration>, now: Instant) {
        let pool = self.pool_time_without(&report.endpoint);
        // Where most endpoints fail, to take them out one by one would leave none.
        let is_common = report.result == ReleaseResult::Failed
            && self.pool_errors(&report.endpoint, now) >= COMMON_ERRORS;
        let Some(endpoint) = self.endpoints.get_mut(&report.endpoint) else { return };
        endpoint.errors.note(report.result, now);
        if !is_common {
            endpoint.health.ended(report.result, now);
        }
        if report.result == ReleaseResult::Refused {
            endpoint.slots.queued_at_endpoint();
        }
        // A plain service has no tokens; the time to its answer stands in for their pace.
        let pace = if target.is_some() { report.between_tokens } else { report.first_token };
        if let Some(pace) = pace {
            endpoint.slots.measured(pace, report.first_token, target);
        }
        match (pace, pool) {
            (Some(pace), Some(pool)) => endpoint.health.measured(pace, pool, now),
            _ if report.result == ReleaseResult::Completed => endpoint.health.completed(now),
            _ => {}
        }
    }

    /// Learns from an endpoint's own late view of its load.
    pub fn load_report(&mut self, endpoint: &EndpointId, waiting: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint)
            && waiting > 0
        {
            endpoint.slots.queued_at_endpoint();
        }
    }

    /// Learns what came of a probe.
    pub fn probed(&mut self, endpoint: &EndpointId, alive: bool, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.health.probed(alive, now);
        }
    }

    /// The endpoints that are trusted more or less than at the last call.
    pub fn take_state_changes(&mut self) -> Vec<(EndpointId, EndpointState)> {
        let changed = self.endpoints.iter_mut().filter_map(|(id, endpoint)| {
            endpoint.health.take_change().map(|state| (id.clone(), state))
        });
        changed.collect()
    }

    /// Learns the speeds of the pool's other owners.
    pub fn set_peer_token_times(&mut self, speeds: Vec<Duration>) {
        self.peer_token_times = speeds;
    }

    /// The ejected endpoints whose probe is due.
    pub fn take_probes(&mut self, now: Instant) -> Vec<EndpointId> {
        self.endpoints
            .iter_mut()
            .filter(|(_, endpoint)| endpoint.is_owned && !endpoint.is_draining)
            .filter_map(|(id, endpoint)| endpoint.health.take_probe(now).then(|| id.clone()))
            .collect()
    }

    /// The next moment at which a probe is due.
    pub fn next_probe(&self) -> Option<Instant> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.is_owned && !endpoint.is_draining)
            .filter_map(|endpoint| endpoint.health.next_probe())
            .min()
    }

    /// Median time between tokens over the endpoints in service.
    pub fn token_time(&self) -> Option<Duration> {
        let endpoints = self.endpoints.values().filter(|endpoint| endpoint.is_in_service());
        median(endpoints.filter_map(|endpoint| endpoint.slots.token_time()).collect())
    }

    /// A view of every endpoint, for status pages.
    pub fn snapshot(&self) -> Vec<EndpointSnapshot> {
        self.endpoints
            .iter()
            .map(|(id, endpoint)| EndpointSnapshot {
                endpoint: id.clone(),
                state: endpoint.health.state(),
                is_draining: endpoint.is_draining || !endpoint.is_owned,
                slots: endpoint.slots.limit(),
                in_flight: endpoint.in_flight,
                token_time: endpoint.slots.token_time(),
            })
            .collect()
    }

    /// Share of failed answers of the endpoint that fails least.
    ///
    /// Against the median, where most fail, those that do not would be no better than the others.
    fn least_errors(&self, now: Instant) -> f64 {
        let endpoints = self.endpoints.values().filter(|endpoint| endpoint.is_in_service());
        endpoints.map(|endpoint| endpoint.errors.get(now)).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Share of failed answers of the median of all other endpoints.
    fn pool_errors(&self, judged: &EndpointId, now: Instant) -> f64 {
        let endpoints = self.endpoints.iter();
        let others = endpoints.filter(|(id, one)| one.is_in_service() && *id != judged);
        let mut shares: Vec<f64> = others.map(|(_, one)| one.errors.get(now)).collect();
        shares.sort_unstable_by(f64::total_cmp);
        shares.get(shares.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
    }

    /// Median time between tokens over all others that are known.
    fn pool_time_without(&self, judged: &EndpointId) -> Option<Duration> {
        let others = self.endpoints.iter().filter(|(id, _)| *id != judged);
        let own = others.filter_map(|(_, endpoint)| endpoint.slots.token_time());
        median(own.chain(self.peer_token_times.iter().copied()).collect())
    }

    fn forget_unused(&mut self) {
        self.endpoints.retain(|_, endpoint| endpoint.is_owned || endpoint.in_flight > 0);
    }
}

fn median(mut times: Vec<Duration>) -> Option<Duration> {
    times.sort_unstable();
    times.get(times.len().saturating_sub(1) / 2).copied()
}
