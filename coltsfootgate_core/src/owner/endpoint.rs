//! The endpoints of an owner, with what is known of each of them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::concurrency::AdaptiveSlots;
use super::engine::{EngineLoad, GrantKey};
use super::errors::ErrorRate;
use super::event::{EngineReservation, GrantRequest, ReleaseReport, ReleaseResult};
use super::ledger::GrantLedger;
use super::snapshot::EndpointSnapshot;
use super::straggler::{EndpointHealth, EndpointState};
use super::takeover::SlotHold;
use crate::endpoint_limit::EndpointLimiter;
use crate::estimate::AnswerTime;
use crate::ids::EndpointId;
use crate::settings::EndpointSettings;

/// Error rate above that of the other endpoints from which an endpoint is ejected.
const EXCESS_ERROR_RATE: f64 = 0.5;
/// Median error rate of the other endpoints from which failures count as pool-wide.
const POOL_WIDE_ERROR_RATE: f64 = 0.2;

/// One endpoint with its load, health and concurrency limit.
#[derive(Clone, Debug)]
pub struct OwnedEndpoint {
    pub(super) settings: EndpointSettings,
    slots: AdaptiveSlots,
    pub(super) limiter: EndpointLimiter,
    health: EndpointHealth,
    /// Time between tokens, or of a whole answer without tokens, by which deadlines are checked.
    answer_time: AnswerTime,
    pub(super) load: EngineLoad,
    pub(super) error_rate: ErrorRate,
    in_flight: u32,
    /// Requests of this instance that run there under grants of another queue.
    pub(super) held_elsewhere: u32,
    /// Set while the owner does not know which grants of earlier owners are in use there.
    pub(super) hold: Option<SlotHold>,
    is_draining: bool,
    pub(super) is_owned: bool,
    /// Whether no endpoint of the pool that is fully open has a free slot.
    is_pressed: bool,
    /// The table's grant count at the endpoint's last grant; orders equally loaded endpoints.
    pub(super) last_grant: u64,
}

impl OwnedEndpoint {
    fn new(settings: EndpointSettings, limit_sharers: u32) -> Self {
        let slots = AdaptiveSlots::new(settings.slots, settings.slots_max);
        Self {
            settings,
            slots,
            limiter: EndpointLimiter::new(limit_sharers),
            health: EndpointHealth::default(),
            answer_time: AnswerTime::default(),
            load: EngineLoad::new(None),
            error_rate: ErrorRate::default(),
            in_flight: 0,
            held_elsewhere: 0,
            hold: None,
            is_draining: false,
            is_owned: true,
            is_pressed: false,
            last_grant: 0,
        }
    }

    pub(super) fn is_in_service(&self) -> bool {
        self.is_owned && !self.is_draining && self.health.state() != EndpointState::Ejected
    }

    /// Whether it serves with all its slots and has answered lately.
    fn is_proven(&self) -> bool {
        self.is_in_service() && self.health.is_fully_open() && self.slots.token_time().is_some()
    }

    /// Whether a request may be sent to this endpoint, whose id is `id`, once it has a free slot.
    pub(super) fn may_serve(&self, id: &EndpointId, request: &GrantRequest) -> bool {
        let has_version = request.version.is_none() || request.version == self.settings.version;
        has_version && !request.excluded.contains(id)
    }

    /// Current maximum number of concurrent requests.
    pub(super) fn slot_limit(&self, now: Instant) -> u32 {
        if !self.is_in_service() {
            return 0;
        }
        self.health.allowed_slots(self.slots.limit(), self.is_pressed, now)
    }

    /// Number of requests that may be sent to it now.
    pub(super) fn free_slots(&self, now: Instant) -> u32 {
        let free = self.untaken_slots(now);
        self.limiter.available(now).map_or(free, |available| free.min(available))
    }

    /// Slots without a request, whatever limit the endpoint states.
    fn untaken_slots(&self, now: Instant) -> u32 {
        if self.health.is_single(self.is_pressed) && self.in_flight > 0 {
            return 0;
        }
        let slots = self.slot_limit(now);
        let slots = self.hold.map_or(slots, |hold| hold.usable(slots, now));
        slots.saturating_sub(self.in_flight + self.held_elsewhere)
    }

    /// Slots that are taken or free; an endpoint that limits its requests leaves others unused.
    fn usable_slots(&self, now: Instant) -> u32 {
        let limit = self.slot_limit(now);
        match self.limiter.available(now) {
            Some(available) => limit.min(self.in_flight.saturating_add(available)),
            None => limit,
        }
    }

    /// Requests a second that it completes if each takes `held`; infinite if that is not known.
    fn service_rate(&self, held: Option<Duration>, now: Instant) -> f64 {
        let slots = f64::from(self.slot_limit(now));
        let by_slots = held.map_or(f64::INFINITY, |held| slots / held.as_secs_f64());
        by_slots.min(self.limiter.rate().unwrap_or(f64::INFINITY))
    }

    /// By how much longer than its pool it takes, beyond what a good endpoint may.
    pub(super) fn excess_slowness(&self, now: Instant) -> f64 {
        self.health.excess_slowness(now)
    }

    /// Requests in flight relative to the current maximum.
    pub(super) fn slot_usage(&self, now: Instant) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slot_limit(now).max(1))
    }
}

/// All endpoints of an owner, including former ones that still have grants in flight.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    pub(super) endpoints: BTreeMap<EndpointId, OwnedEndpoint>,
    peer_token_times: Vec<Duration>,
    kv_cache_tokens: Option<u64>,
    /// Whether the endpoints answer in tokens. An engine is slow because of what it runs, so that one that is
    /// restricted gets no more while the others are full.
    has_tokens: bool,
    /// Number of instances among which the endpoints' limits are divided.
    pub(super) limit_sharers: u32,
    /// Requests of this instance at each endpoint that run under grants of another queue.
    pub(super) held_elsewhere: HashMap<EndpointId, u32>,
    grants: u64,
}

impl EndpointTable {
    /// Replaces the set of endpoints, and returns those that were not in it; endpoints outside it get no new grants.
    ///
    /// Grants in flight are recounted from the ledger, since a requester may have announced a grant
    /// for an endpoint before the owner knew the endpoint.
    pub fn set_owned(
        &mut self,
        owned: Vec<EndpointSettings>,
        ledger: &GrantLedger,
    ) -> Vec<EndpointId> {
        let mut added = Vec::new();
        let (kv_cache_tokens, limit_sharers) = (self.kv_cache_tokens, self.limit_sharers);
        let mut former = HashSet::new();
        for (id, endpoint) in &mut self.endpoints {
            if std::mem::take(&mut endpoint.is_owned) {
                former.insert(id.clone());
            }
        }
        // Where none has answered yet, nobody is the measure for the others.
        let has_proven = self.endpoints.values().any(OwnedEndpoint::is_proven);
        for settings in owned {
            let start = || {
                let mut endpoint = OwnedEndpoint::new(settings.clone(), limit_sharers);
                if has_proven {
                    endpoint.health.start_opening();
                }
                endpoint
            };
            if !former.contains(&settings.id) {
                added.push(settings.id.clone());
            }
            let endpoint = self.endpoints.entry(settings.id.clone()).or_insert_with(start);
            endpoint.held_elsewhere = self.held_elsewhere.get(&settings.id).copied().unwrap_or(0);
            endpoint.load.set_kv_cache_tokens(kv_cache_tokens);
            endpoint.slots.set_bounds(settings.slots, settings.slots_max);
            endpoint.settings = settings;
            endpoint.is_owned = true;
        }
        let counts = ledger.count_by_endpoint();
        for (id, endpoint) in &mut self.endpoints {
            endpoint.in_flight = counts.get(id).copied().unwrap_or(0);
        }
        self.remove_unused();
        added
    }

    /// Marks an endpoint as draining.
    pub fn set_draining(&mut self, endpoint: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.is_draining = true;
        }
    }

    /// Whether any endpoint accepts new requests, now or once it has a free slot.
    pub fn is_any_in_service(&self) -> bool {
        self.endpoints.values().any(OwnedEndpoint::is_in_service)
    }

    /// Whether any endpoint that accepts new requests may serve this request.
    pub fn can_ever_serve(&self, request: &GrantRequest) -> bool {
        self.endpoints
            .iter()
            .any(|(id, endpoint)| endpoint.is_in_service() && endpoint.may_serve(id, request))
    }

    /// The number of free slots and of all slots.
    pub fn slots(&self, now: Instant) -> (u32, u32) {
        self.endpoints.values().fold((0, 0), |(free, all), endpoint| {
            (free + endpoint.free_slots(now), all + endpoint.usable_slots(now))
        })
    }

    /// Expected time between two grants while all endpoints are in use, if each request takes
    /// `held`; zero if that is not known.
    pub fn grant_interval(&self, held: Option<Duration>, now: Instant) -> Duration {
        let endpoints = self.endpoints.values();
        let rate: f64 = endpoints.map(|endpoint| endpoint.service_rate(held, now)).sum();
        if rate > 0.0 { Duration::from_secs_f64(rate.recip()) } else { held.unwrap_or_default() }
    }

    /// Whether any slot is free.
    pub fn is_any_free(&self, now: Instant) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.free_slots(now) > 0)
    }

    /// The free room of all endpoints, in endpoints.
    pub fn free_room(&self, now: Instant) -> f64 {
        let in_service = self.endpoints.values().filter(|endpoint| endpoint.slot_limit(now) > 0);
        let free = |endpoint: &OwnedEndpoint| {
            let used = endpoint.slot_usage(now).max(endpoint.load.kv_cache_usage()).min(1.0);
            let allowed = f64::from(endpoint.free_slots(now)) / f64::from(endpoint.slot_limit(now));
            if endpoint.limiter.rate().is_some() { allowed.min(1.0 - used) } else { 1.0 - used }
        };
        in_service.map(free).sum()
    }

    /// The part of an endpoint that a request uses, 0 to 1, by slots or by KV cache.
    pub fn size_at(&self, endpoint: &EndpointId, request: &GrantRequest, now: Instant) -> f64 {
        let Some(endpoint) = self.endpoints.get(endpoint) else { return 0.0 };
        let slot = 1.0 / f64::from(endpoint.slot_limit(now).max(1));
        slot.max(endpoint.load.kv_cache_share(request.prompt.kv_cache_tokens())).min(1.0)
    }

    /// Sets whether the endpoints answer in tokens.
    pub fn set_has_tokens(&mut self, has_tokens: bool) {
        self.has_tokens = has_tokens;
    }

    /// Sets the KV cache capacity of each engine, in tokens.
    pub fn set_kv_cache_tokens(&mut self, kv_cache_tokens: Option<u64>) {
        self.kv_cache_tokens = kv_cache_tokens;
        for endpoint in self.endpoints.values_mut() {
            endpoint.load.set_kv_cache_tokens(kv_cache_tokens);
        }
    }

    /// Records a grant.
    pub fn record_grant(&mut self, request: &GrantRequest, endpoint: &EndpointId, now: Instant) {
        self.grants += 1;
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else { return };
        if request.prompt.is_known() {
            let key = (request.requester.clone(), request.grant);
            endpoint.load.record_grant(key, &request.prompt, now);
        }
        endpoint.last_grant = self.grants;
        endpoint.in_flight += 1;
        endpoint.limiter.take(now);
        endpoint.health.record_grant(now);
        if endpoint.untaken_slots(now) == 0 {
            endpoint.slots.record_saturation();
        }
        self.update_pressure(now);
    }

    /// Finds out whether any endpoint that is fully open has a free slot.
    pub fn update_pressure(&mut self, now: Instant) {
        let is_free = |endpoint: &OwnedEndpoint| {
            endpoint.health.is_fully_open() && endpoint.free_slots(now) > 0
        };
        let is_pressed = !self.has_tokens && !self.endpoints.values().any(is_free);
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_pressed = is_pressed;
        }
    }

    /// Records a grant that an earlier owner issued.
    pub fn record_announced(
        &mut self,
        endpoint: &EndpointId,
        grant: GrantKey,
        reservation: EngineReservation,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.in_flight += 1;
            if reservation != EngineReservation::default() {
                endpoint.load.add_running(grant, reservation);
            }
        }
    }

    /// Records that the first token of a granted request arrived.
    pub fn record_first_token(&mut self, endpoint: &EndpointId, grant: &GrantKey, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.load.record_first_token(grant, now);
            endpoint.health.record_first_token(endpoint.slots.limit());
        }
    }

    /// Removes the prompt of a grant that ended.
    pub fn remove_prompt(&mut self, endpoint: &EndpointId, grant: &GrantKey, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.load.record_end(grant, now);
        }
    }

    /// Removes the prompts of grants that are no longer in the ledger.
    pub fn retain_prompts(&mut self, ledger: &GrantLedger, now: Instant) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.load.retain(|grant| ledger.contains(grant), now);
        }
    }

    /// Records the end of a grant.
    pub fn record_end(&mut self, endpoint: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
        self.remove_unused();
    }

    /// Updates the health and the concurrency limit of an endpoint from a release report.
    pub fn record_release(
        &mut self,
        report: &ReleaseReport,
        target: Option<Duration>,
        now: Instant,
    ) {
        let pool = self
            .median_token_time_excluding(&report.endpoint)
            .filter(|_| self.may_be_slow(&report.endpoint));
        // If most endpoints fail, ejecting them one by one would leave none in service.
        let has_failed =
            matches!(report.result, ReleaseResult::ConnectionLost | ReleaseResult::Failed);
        let others_rate = self.median_error_rate_excluding(&report.endpoint, now);
        let is_pool_wide = has_failed && others_rate >= POOL_WIDE_ERROR_RATE;
        let Some(endpoint) = self.endpoints.get_mut(&report.endpoint) else { return };
        endpoint.error_rate.record(report.result, now);
        if !is_pool_wide {
            endpoint.health.record_result(report.result, now);
            // Error answers of an application are no fault of an endpoint unless the others give far fewer.
            let excess = endpoint.error_rate.get(now) - others_rate;
            if report.result == ReleaseResult::Failed && excess >= EXCESS_ERROR_RATE {
                endpoint.health.record_excess_failures(now);
            }
        }
        let slots = endpoint.slots.limit();
        if report.result == ReleaseResult::Refused {
            endpoint.slots.record_endpoint_queueing();
        }
        // A service without tokens is measured by its response time instead.
        let token_time = if target.is_some() { report.between_tokens } else { report.first_token };
        if let Some(token_time) = token_time {
            endpoint.answer_time.record(token_time, now);
            endpoint.slots.record_answer(token_time, report.first_token, target);
        }
        match (token_time, pool) {
            (Some(token_time), Some(pool)) => {
                endpoint.health.record_token_time(token_time, pool, slots, now);
            }
            _ if report.result == ReleaseResult::Completed => {
                endpoint.health.record_completion(slots, now);
            }
            _ => {}
        }
    }

    /// Records the queue length that an endpoint reported about itself.
    pub fn record_load(&mut self, endpoint: &EndpointId, waiting: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint)
            && waiting > 0
        {
            endpoint.slots.record_endpoint_queueing();
        }
    }

    /// Records the result of a health probe.
    pub fn record_probe(&mut self, endpoint: &EndpointId, alive: bool, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.health.record_probe(alive, now);
        }
    }

    /// The endpoints whose health state changed since the last call.
    pub fn take_state_changes(&mut self) -> Vec<(EndpointId, EndpointState)> {
        let changed = self.endpoints.iter_mut().filter_map(|(id, endpoint)| {
            endpoint.health.take_change().map(|state| (id.clone(), state))
        });
        changed.collect()
    }

    /// Sets the times between tokens that the pool's other owners measured.
    pub fn set_peer_token_times(&mut self, token_times: Vec<Duration>) {
        self.peer_token_times = token_times;
    }

    /// The ejected endpoints whose probe is due; schedules their next probes.
    pub fn take_probes(&mut self, now: Instant) -> Vec<EndpointId> {
        self.endpoints
            .iter_mut()
            .filter(|(_, endpoint)| endpoint.is_owned && !endpoint.is_draining)
            .filter_map(|(id, endpoint)| endpoint.health.take_probe(now).then(|| id.clone()))
            .collect()
    }

    /// The time at which the next probe is due.
    pub fn next_probe(&self) -> Option<Instant> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.is_owned && !endpoint.is_draining)
            .filter_map(|endpoint| endpoint.health.next_probe())
            .min()
    }

    /// Median time between tokens over the endpoints in service that do not limit their requests.
    pub fn token_time(&self) -> Option<Duration> {
        median(self.unlimited().filter_map(|endpoint| endpoint.slots.token_time()).collect())
    }

    /// The same, or the median time of answers without tokens, as far as answers came lately.
    pub fn answer_time(&self, now: Instant) -> Option<Duration> {
        median(self.unlimited().filter_map(|endpoint| endpoint.answer_time.get(now)).collect())
    }

    /// The endpoints in service that do not limit their requests.
    fn unlimited(&self) -> impl Iterator<Item = &OwnedEndpoint> {
        let endpoints = self.endpoints.values();
        endpoints.filter(|one| one.is_in_service() && one.limiter.rate().is_none())
    }

    /// The state of every endpoint, for status pages.
    pub fn snapshot(&self, now: Instant) -> Vec<EndpointSnapshot> {
        self.endpoints
            .iter()
            .map(|(id, endpoint)| EndpointSnapshot {
                endpoint: id.clone(),
                state: endpoint.health.state(),
                is_draining: endpoint.is_draining || !endpoint.is_owned,
                slots: endpoint.slots.limit(),
                limit: endpoint.limiter.stated_rate(),
                in_flight: endpoint.in_flight,
                backlog: endpoint.load.backlog(now),
                prefill_rate: endpoint.load.prefill_rate(),
                token_time: endpoint.slots.token_time(),
            })
            .collect()
    }

    /// The median error rate of all other endpoints in service.
    fn median_error_rate_excluding(&self, excluded: &EndpointId, now: Instant) -> f64 {
        let endpoints = self.endpoints.iter();
        let others = endpoints.filter(|(id, endpoint)| endpoint.is_in_service() && *id != excluded);
        let mut rates: Vec<f64> =
            others.map(|(_, endpoint)| endpoint.error_rate.get(now)).collect();
        rates.sort_unstable_by(f64::total_cmp);
        rates.get(rates.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
    }

    /// Whether an endpoint may be restricted because it is slower than the others.
    ///
    /// If it would be one of the greater half, what the others took is no measure for it: their requests may
    /// have been others, or their last answers old.
    fn may_be_slow(&self, id: &EndpointId) -> bool {
        let in_service = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_in_service());
        let known = in_service.clone().count() + self.peer_token_times.len();
        let others = in_service.filter(|(other, _)| *other != id);
        let restricted =
            others.filter(|(_, endpoint)| endpoint.health.state() != EndpointState::Healthy);
        (restricted.count() + 1) * 2 <= known
    }

    /// Median time between tokens over all other endpoints and the pool's other owners.
    ///
    /// Endpoints that limit their requests are almost idle, so they are no measure for loaded ones.
    fn median_token_time_excluding(&self, excluded: &EndpointId) -> Option<Duration> {
        let others = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| *id != excluded && endpoint.limiter.rate().is_none());
        let own = others.filter_map(|(_, endpoint)| endpoint.slots.token_time());
        median(own.chain(self.peer_token_times.iter().copied()).collect())
    }

    fn remove_unused(&mut self) {
        self.endpoints.retain(|_, endpoint| endpoint.is_owned || endpoint.in_flight > 0);
    }
}

fn median(mut times: Vec<Duration>) -> Option<Duration> {
    times.sort_unstable();
    times.get(times.len().saturating_sub(1) / 2).copied()
}
