//! Schedules the requests of one pool: admission, queueing, choice of endpoint and endpoint health.

mod activity;
mod affinity;
mod choice;
mod concurrency;
mod dispatch;
mod endpoint;
mod engine;
mod errors;
mod event;
mod fair;
mod headroom;
mod ledger;
mod limit;
mod pace;
mod paths;
mod placement;
mod queue;
mod snapshot;
mod straggler;
mod takeover;
mod waiting;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

pub use activity::{DeferralCause, OwnerActivity};
pub use affinity::PrefixAffinity;
pub use concurrency::AdaptiveSlots;
pub use endpoint::EndpointTable;
pub use engine::{EngineLoad, GrantKey};
pub use event::{
    EngineReservation, GrantAnswer, GrantRequest, HeldGrant, OwnerAction, OwnerEvent,
    OwnerPressure, QueueRank, ReleaseReport, ReleaseResult,
};
pub use fair::{ArrivalNumber, FairQueue};
pub use headroom::RankHeadroom;
pub use ledger::{GrantLedger, GrantRecord, LedgerChange};
pub use pace::OpeningPace;
pub use placement::{EngineCandidate, placement_cost};
pub use queue::{AdmissionQueue, QueueAdmission, QueuedRequest};
pub use snapshot::EndpointSnapshot;
pub use straggler::{EndpointHealth, EndpointState};
pub use takeover::{DISCOVERY_TIME, GrantHolders, HOLD_TIME, RESERVE_TIME, START_TIME};
pub use waiting::WaitingCounts;

use self::dispatch::{DeferralScan, SCAN_PERIOD};
use self::paths::RequesterPaths;
use self::takeover::OwnerTakeover;
use crate::endpoint_limit::LimitStatement;
use crate::estimate::{LengthEstimator, ServiceEstimator};
use crate::ids::{EndpointId, GrantId, InstanceId, PoolId};
use crate::reason::ErrorKind;

/// Quantile of a class's answer lengths that serves as the length estimate of a request.
const ANSWER_LENGTH_QUANTILE: f64 = 0.5;
/// Quantile of a class's answer lengths that serves as the minimum length of an answer when
/// checking whether a deadline can still be met.
const ANSWER_LENGTH_MIN_QUANTILE: f64 = 0.25;

/// The settings of a pool that its owner needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerSettings {
    /// The pool.
    pub pool: PoolId,
    /// The tightest target for the time between two tokens over all classes; `None` for a service
    /// without tokens.
    pub between_tokens: Option<Duration>,
    /// KV cache capacity of each engine, in tokens, if known.
    pub kv_cache_tokens: Option<u64>,
    /// Number of instances among which the limits of endpoints are divided.
    pub limit_sharers: u32,
}

/// The state of a pool owner, for status pages.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerSnapshot {
    /// The pool.
    pub pool: PoolId,
    /// The load of the owner.
    pub pressure: OwnerPressure,
    /// Number of grants in flight.
    pub grants: usize,
    /// Counts of its decisions.
    pub activity: OwnerActivity,
    /// The rank of the request that is served next, and how long it has waited.
    pub first_waiting: Option<(QueueRank, Duration)>,
    /// The time between tokens, or of answers without tokens, by which deadlines are checked.
    pub answer_time: Option<Duration>,
    /// The endpoints of the owner.
    pub endpoints: Vec<EndpointSnapshot>,
}

/// Schedules the endpoints of one pool that are assigned to this instance.
#[derive(Clone, Debug)]
pub struct PoolOwner {
    /// The last scan of the queue that deferred prompts, while any of them still wait.
    last_scan: Option<DeferralScan>,
    settings: OwnerSettings,
    queue: AdmissionQueue,
    activity: OwnerActivity,
    ledger: GrantLedger,
    headroom: RankHeadroom,
    endpoints: EndpointTable,
    affinity: PrefixAffinity<EndpointId>,
    paths: RequesterPaths,
    takeover: OwnerTakeover,
    answers: LengthEstimator,
    service: ServiceEstimator,
    /// When the last event was processed.
    updated: Option<Instant>,
}

impl PoolOwner {
    /// Creates an owner without endpoints.
    pub fn new(settings: OwnerSettings) -> Self {
        let mut endpoints = EndpointTable::default();
        endpoints.set_kv_cache_tokens(settings.kv_cache_tokens);
        endpoints.set_has_tokens(settings.between_tokens.is_some());
        endpoints.set_limit_sharers(settings.limit_sharers);
        Self {
            last_scan: None,
            settings,
            queue: AdmissionQueue::new(),
            activity: OwnerActivity::default(),
            ledger: GrantLedger::default(),
            headroom: RankHeadroom::default(),
            endpoints,
            affinity: PrefixAffinity::default(),
            paths: RequesterPaths::default(),
            takeover: OwnerTakeover::default(),
            answers: LengthEstimator::default(),
            service: ServiceEstimator::default(),
            updated: None,
        }
    }

    /// Replaces the settings of the pool.
    pub fn set_settings(&mut self, settings: OwnerSettings) {
        self.endpoints.set_kv_cache_tokens(settings.kv_cache_tokens);
        self.endpoints.set_has_tokens(settings.between_tokens.is_some());
        self.endpoints.set_limit_sharers(settings.limit_sharers);
        self.settings = settings;
    }

    /// Processes one event and returns the resulting actions in order.
    pub fn handle(&mut self, event: OwnerEvent, now: Instant) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            OwnerEvent::RequestGrant(request) => self.request_grant(request, now, &mut actions),
            OwnerEvent::FirstToken { requester, grant } => self.first_token(requester, grant, now),
            OwnerEvent::Release(report) => self.release(&report, now),
            OwnerEvent::Cancel { requester, grant } => self.cancel(&requester, grant, now),
            OwnerEvent::RequesterLost { requester } => self.requester_lost(&requester, now),
            OwnerEvent::Announce { requester, held } => self.announce(&requester, held, now),
            OwnerEvent::Confirm { requester, asked, held } => {
                self.confirm(&requester, &asked, &held, now);
            }
            OwnerEvent::LoadReport { endpoint, waiting, .. } => {
                self.endpoints.record_load(&endpoint, waiting);
            }
            OwnerEvent::ProbeResult { endpoint, alive } => {
                self.endpoints.record_probe(&endpoint, alive, now);
            }
            OwnerEvent::PeerTokenTimes { token_times } => {
                self.endpoints.set_peer_token_times(token_times);
            }
            OwnerEvent::Endpoints(owned) => {
                let added = self.endpoints.set_owned(owned, &self.ledger);
                if self.takeover.may_be_others() {
                    self.take_over(&added, now);
                }
            }
            OwnerEvent::Alone(is_alone) => self.takeover.set_alone(is_alone),
            OwnerEvent::Holders(holders) => self.takeover.set_holders(holders, now),
            OwnerEvent::Resumed => self.take_over(&self.endpoints.owned(), now),
            OwnerEvent::EndpointDraining { endpoint } => self.endpoints.set_draining(&endpoint),
            OwnerEvent::LimitStated(statement) => {
                self.limit_stated(statement, now, &mut actions);
            }
            OwnerEvent::Tick => {}
        }
        self.updated = Some(now);
        self.takeover.advance(&mut self.endpoints, now, &mut actions);
        self.endpoints.update_pressure(now);
        self.finish_event(now, &mut actions);
        actions
    }

    /// The current load of the owner.
    pub fn pressure(&self, now: Instant) -> OwnerPressure {
        let (free_slots, slots) = self.endpoints.slots(now);
        OwnerPressure {
            free_slots,
            slots,
            waiting: self.queue.waiting(),
            grant_interval: self.endpoints.grant_interval(self.service.mean(), now),
            token_time: self.endpoints.token_time(),
        }
    }

    /// When the next `Tick` is due, if any.
    pub fn next_deadline(&self) -> Option<Instant> {
        // A deferred prompt becomes eligible as engines finish the prefill of others.
        let scan = self.last_scan.as_ref().map(|scan| scan.at + SCAN_PERIOD);
        let (deadline, probe) = (self.queue.next_deadline(), self.endpoints.next_probe());
        let updated = self.updated.filter(|_| !self.queue.is_empty());
        let allowed = updated.and_then(|updated| self.endpoints.next_allowed(updated));
        let takeover = self.takeover.next_due();
        [scan, deadline, probe, allowed, takeover].into_iter().flatten().min()
    }

    /// The state of the owner, for status pages.
    pub fn snapshot(&self, now: Instant) -> OwnerSnapshot {
        OwnerSnapshot {
            pool: self.settings.pool.clone(),
            pressure: self.pressure(now),
            grants: self.ledger.len(),
            activity: self.activity,
            first_waiting: self.queue.first_waiting(now),
            answer_time: self.endpoints.answer_time(now),
            endpoints: self.endpoints.snapshot(now),
        }
    }

    /// The grants in flight that their requesters should confirm now, by requester.
    pub fn take_unconfirmed(&mut self, now: Instant) -> BTreeMap<InstanceId, Vec<GrantId>> {
        self.ledger.take_unconfirmed(now)
    }

    /// Counts or forgets a request that this instance runs at an endpoint under a grant of another queue; returns
    /// whether a request waits here.
    pub fn record_elsewhere(&mut self, endpoint: &EndpointId, is_held: bool) -> bool {
        self.endpoints.record_elsewhere(endpoint, is_held);
        !self.queue.is_empty()
    }

    /// Whether no request waits and no grant is in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.ledger.is_empty()
    }

    fn request_grant(
        &mut self,
        mut request: GrantRequest,
        now: Instant,
        actions: &mut Vec<OwnerAction>,
    ) {
        if let Some(record) = self.ledger.get(&request.requester, request.grant) {
            actions.push(OwnerAction::Grant {
                requester: request.requester,
                grant: request.grant,
                endpoint: record.endpoint.clone(),
                by_floor: record.by_floor,
                is_paced: false,
                pressure: self.pressure(now),
            });
            return;
        }
        if self.queue.contains(&request.requester, request.grant) {
            return;
        }
        if let Some(kind) = self.refusal_reason(&request, now) {
            actions.push(self.refuse(&request, kind, now));
            return;
        }
        request.tokens =
            self.answers.tokens(&request.class, ANSWER_LENGTH_QUANTILE, request.tokens);
        self.dispatch(now, actions);
        let chosen =
            if self.must_queue(&request) { None } else { self.choose(&request, false, now).ok() };
        if let Some(endpoint) = chosen {
            let is_overtaking = self.queue.is_any_above(request.rank());
            self.activity.record_grant(is_overtaking);
            actions.push(self.grant(&request, endpoint, false, now));
        } else if request.wait {
            self.enqueue(request, now, actions);
        } else {
            actions.push(OwnerAction::Busy {
                requester: request.requester,
                grant: request.grant,
                pressure: self.pressure(now),
            });
        }
    }

    /// The reason to refuse a request regardless of the queue, if any.
    fn refusal_reason(&self, request: &GrantRequest, now: Instant) -> Option<ErrorKind> {
        if self.ledger.has_ended(&request.requester, request.grant) {
            return Some(ErrorKind::CallerLeftWaiting);
        }
        if request.deadline <= now {
            return Some(ErrorKind::DeadlinePassed);
        }
        if !self.endpoints.can_ever_serve(request) {
            return Some(ErrorKind::NoEndpoint);
        }
        self.misses_deadline(request, Duration::ZERO, now).then_some(ErrorKind::DeadlineUnmeetable)
    }

    fn enqueue(&mut self, request: GrantRequest, now: Instant, actions: &mut Vec<OwnerAction>) {
        let ahead = self.queue.waiting_before(request.rank());
        let wait = self.pressure(now).wait_behind(ahead);
        if self.misses_deadline(&request, wait, now) {
            actions.push(self.refuse(&request, ErrorKind::DeadlineUnmeetable, now));
            return;
        }
        match self.queue.admit(request.clone()) {
            QueueAdmission::Full => actions.push(self.refuse(&request, ErrorKind::QueueFull, now)),
            QueueAdmission::Queued(displaced) => {
                for victim in displaced {
                    actions.push(self.refuse(&victim.request, ErrorKind::Displaced, now));
                }
            }
        }
    }

    fn release(&mut self, report: &ReleaseReport, now: Instant) {
        self.queue.remove(&report.requester, report.grant);
        let Some(record) = self.ledger.end(&report.requester, report.grant) else { return };
        if self.paths.record(report, now) {
            self.activity.record_path_fault();
        } else {
            self.endpoints.record_release(report, self.settings.between_tokens, now);
        }
        let key = (report.requester.clone(), report.grant);
        self.endpoints.remove_prompt(&record.endpoint, &key, now);
        self.record_end(&record);
        if let Some(estimated) = record.tokens {
            self.queue.correct_credits(record.rank.0, record.by_floor, estimated, report.tokens);
        }
        if report.result == ReleaseResult::Completed {
            self.answers.record(&record.class, report.tokens);
        }
        if report.result == ReleaseResult::NotSent {
            self.endpoints.refund_limit(&record.endpoint, now);
        } else {
            let held = now.duration_since(record.granted_at);
            self.service.record(held);
            if let Some(size) = record.size {
                self.headroom.record_held(record.rank, held, size);
            }
        }
    }

    fn first_token(&mut self, requester: InstanceId, grant: GrantId, now: Instant) {
        let Some(record) = self.ledger.get(&requester, grant) else { return };
        self.endpoints.record_first_token(&record.endpoint, &(requester, grant), now);
    }

    fn cancel(&mut self, requester: &InstanceId, grant: GrantId, now: Instant) {
        self.queue.remove(requester, grant);
        if let Some(record) = self.ledger.end(requester, grant) {
            self.endpoints.remove_prompt(&record.endpoint, &(requester.clone(), grant), now);
            self.endpoints.refund_limit(&record.endpoint, now);
            self.record_end(&record);
        }
    }

    fn limit_stated(
        &mut self,
        statement: LimitStatement,
        now: Instant,
        actions: &mut Vec<OwnerAction>,
    ) {
        if let Some(rate) = self.endpoints.observe_limit(&statement, now) {
            let endpoint = statement.endpoint;
            actions.push(OwnerAction::LimitChanged { endpoint, rate });
        }
    }

    /// Holds back the slots of endpoints whose grants others may have given out.
    fn take_over(&mut self, taken: &[EndpointId], now: Instant) {
        if !taken.is_empty() && self.takeover.is_needed() {
            self.endpoints.hold(taken, now);
            self.takeover.begin(now);
        }
    }

    fn requester_lost(&mut self, requester: &InstanceId, now: Instant) {
        self.takeover.record_heard(requester, false);
        self.queue.remove_requester(requester);
        self.paths.remove(requester);
        for record in self.ledger.remove_requester(requester) {
            self.record_end(&record);
        }
        self.endpoints.retain_prompts(&self.ledger, now);
    }

    fn announce(&mut self, requester: &InstanceId, held: Vec<HeldGrant>, now: Instant) {
        self.takeover.record_heard(requester, !held.is_empty());
        let reservations: HashMap<GrantId, EngineReservation> =
            held.iter().map(|held| (held.grant, held.reservation)).collect();
        let change = self.ledger.reconcile(requester, held, now);
        for (grant, record) in &change.added {
            self.headroom.record_announced(record.rank);
            let reservation = reservations.get(grant).copied().unwrap_or_default();
            self.endpoints.record_announced(
                &record.endpoint,
                (requester.clone(), *grant),
                reservation,
            );
        }
        for record in &change.removed {
            self.record_end(record);
        }
        self.endpoints.retain_prompts(&self.ledger, now);
    }

    fn confirm(
        &mut self,
        requester: &InstanceId,
        asked: &[GrantId],
        held: &[GrantId],
        now: Instant,
    ) {
        let lost = self.ledger.confirm(requester, asked, held, now);
        for record in &lost {
            self.record_end(record);
            self.activity.record_lost_grant();
        }
        self.endpoints.retain_prompts(&self.ledger, now);
    }

    /// Refuses waiting requests whose deadline has passed.
    fn expire(&mut self, now: Instant, actions: &mut Vec<OwnerAction>) {
        for request in self.queue.expire(now) {
            actions.push(self.refuse(&request, ErrorKind::DeadlinePassed, now));
        }
    }

    /// Dispatches waiting requests, or refuses all of them if no endpoint is in service; then
    /// collects state changes and due probes.
    fn finish_event(&mut self, now: Instant, actions: &mut Vec<OwnerAction>) {
        if self.queue.is_empty() {
            self.last_scan = None;
        }
        if !self.queue.is_empty() {
            if self.endpoints.is_any_in_service() {
                self.dispatch(now, actions);
            } else {
                for request in self.queue.drain() {
                    actions.push(self.refuse(&request, ErrorKind::NoEndpoint, now));
                }
            }
        }
        for (endpoint, state) in self.endpoints.take_state_changes() {
            actions.push(OwnerAction::StateChanged { endpoint, state });
        }
        for endpoint in self.endpoints.take_probes(now) {
            actions.push(OwnerAction::Probe { endpoint });
        }
    }

    /// Whether even a short answer that starts after a wait would end after the deadline.
    fn misses_deadline(&self, request: &GrantRequest, wait: Duration, now: Instant) -> bool {
        let token_time = self.endpoints.answer_time(now).unwrap_or_default();
        let tokens = self.answers.tokens(&request.class, ANSWER_LENGTH_MIN_QUANTILE, 0);
        now + wait + token_time.saturating_mul(tokens) > request.deadline
    }

    /// Updates the endpoint and the headroom for a grant that is no longer in flight.
    fn record_end(&mut self, record: &GrantRecord) {
        self.endpoints.record_end(&record.endpoint);
        self.headroom.record_end(record.rank);
    }

    /// Chooses the endpoint for a request, or returns the reason why it must wait. A request that a
    /// floor entitles to service needs no headroom.
    fn choose(
        &self,
        request: &GrantRequest,
        by_floor: bool,
        now: Instant,
    ) -> Result<EndpointId, DeferralCause> {
        let hint = self.affinity.hint(request.prefix);
        let endpoint = self.endpoints.choose(request, hint, now)?;
        // Services without prompts hold their slots too briefly for that.
        if by_floor || !request.prompt.is_known() {
            return Ok(endpoint);
        }
        let size = self.endpoints.size_at(&endpoint, request, now);
        let free = self.endpoints.free_room(now);
        let is_allowed = self.headroom.allows(request.rank(), size, free, now);
        is_allowed.then_some(endpoint).ok_or(DeferralCause::NoHeadroom)
    }

    fn grant(
        &mut self,
        request: &GrantRequest,
        endpoint: EndpointId,
        by_floor: bool,
        now: Instant,
    ) -> OwnerAction {
        let record = GrantRecord {
            endpoint: endpoint.clone(),
            class: request.class.clone(),
            rank: request.rank(),
            size: Some(self.endpoints.size_at(&endpoint, request, now)),
            granted_at: now,
            by_floor,
            tokens: Some(request.tokens),
            check_due: ledger::first_check(now),
        };
        self.ledger.insert(&request.requester, request.grant, record);
        self.headroom.record_grant(request.rank(), now);
        let is_paced = self.endpoints.is_limited(&endpoint);
        self.endpoints.record_grant(request, &endpoint, now);
        self.affinity.record(request.prefix, endpoint.clone());
        OwnerAction::Grant {
            requester: request.requester.clone(),
            grant: request.grant,
            endpoint,
            by_floor,
            is_paced,
            pressure: self.pressure(now),
        }
    }

    fn refuse(&mut self, request: &GrantRequest, kind: ErrorKind, now: Instant) -> OwnerAction {
        if kind == ErrorKind::DeadlineUnmeetable {
            self.activity.record_late_refusal();
        }
        OwnerAction::Refuse {
            requester: request.requester.clone(),
            grant: request.grant,
            kind,
            pressure: self.pressure(now),
        }
    }
}
