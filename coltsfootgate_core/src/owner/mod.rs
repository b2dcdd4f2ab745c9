//! Decides which waiting request goes to which endpoint of a pool.

mod affinity;
mod concurrency;
mod dispatch;
mod endpoint;
mod engine;
mod errors;
mod event;
mod fair;
mod ledger;
mod placement;
mod queue;
mod snapshot;
mod straggler;

use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use affinity::PrefixAffinity;
pub use concurrency::AdaptiveSlots;
pub use endpoint::EndpointTable;
pub use engine::{EngineLoad, GrantKey};
pub use event::{
    EngineShare, GrantRequest, HeldGrant, OwnerAction, OwnerEvent, OwnerPressure, ReleaseReport,
    ReleaseResult,
};
pub use fair::{ArrivalNumber, FairQueue};
pub use ledger::{GrantLedger, GrantRecord, LedgerChange};
pub use placement::{EngineView, placement_cost};
pub use queue::{AdmissionQueue, QueueAdmission, QueuedRequest};
pub use snapshot::EndpointSnapshot;
pub use straggler::{EndpointHealth, EndpointState};

use self::dispatch::{HeldLook, LOOK_PERIOD};
use crate::estimate::{LengthEstimator, ServiceEstimator};
use crate::ids::{EndpointId, GrantId, InstanceId, PoolId};
use crate::reason::ErrorKind;

/// Share of a class's answers that its estimated length covers.
const LENGTH_QUANTILE: f64 = 0.5;
/// Share of a class's answers that are shorter than what a request is expected to need at least.
const SHORT_QUANTILE: f64 = 0.25;

/// What an owner knows of its pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerSettings {
    /// The pool.
    pub pool: PoolId,
    /// Tightest target between two tokens over all classes; none for a plain service.
    pub between_tokens: Option<Duration>,
    /// Memory of each of its engines, in tokens, if known.
    pub memory: Option<u64>,
}

/// What status pages show of an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerSnapshot {
    /// The pool.
    pub pool: PoolId,
    /// How busy it is.
    pub pressure: OwnerPressure,
    /// Grants in flight.
    pub grants: usize,
    /// Its endpoints.
    pub endpoints: Vec<EndpointSnapshot>,
}

/// The queue, the ledger and the endpoints of one pool that one instance owns.
#[derive(Clone, Debug)]
pub struct PoolOwner {
    /// When prompts were held back last, if any still are.
    looked: Option<HeldLook>,
    settings: OwnerSettings,
    queue: AdmissionQueue,
    ledger: GrantLedger,
    endpoints: EndpointTable,
    affinity: PrefixAffinity<EndpointId>,
    answers: LengthEstimator,
    service: ServiceEstimator,
}

impl PoolOwner {
    /// Makes an owner that has no endpoint yet.
    pub fn new(settings: OwnerSettings) -> Self {
        let mut endpoints = EndpointTable::default();
        endpoints.set_memory(settings.memory);
        Self {
            looked: None,
            settings,
            queue: AdmissionQueue::new(),
            ledger: GrantLedger::default(),
            endpoints,
            affinity: PrefixAffinity::default(),
            answers: LengthEstimator::default(),
            service: ServiceEstimator::default(),
        }
    }

    /// Takes over changed settings.
    pub fn set_settings(&mut self, settings: OwnerSettings) {
        self.endpoints.set_memory(settings.memory);
        self.settings = settings;
    }

    /// Takes one event in and returns what to do.
    pub fn handle(&mut self, event: OwnerEvent, now: Instant) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            OwnerEvent::Ask(request) => self.ask(request, now, &mut actions),
            OwnerEvent::FirstToken { asker, grant } => self.first_token(asker, grant, now),
            OwnerEvent::Release(report) => self.release(&report, now),
            OwnerEvent::Cancel { asker, grant } => self.cancel(&asker, grant, now),
            OwnerEvent::AskerLost { asker } => self.asker_lost(&asker, now),
            OwnerEvent::Announce { asker, held } => self.announce(&asker, held, now),
            OwnerEvent::LoadReport { endpoint, waiting, .. } => {
                self.endpoints.load_report(&endpoint, waiting);
            }
            OwnerEvent::ProbeResult { endpoint, alive } => {
                self.endpoints.probed(&endpoint, alive, now);
            }
            OwnerEvent::PoolSpeed { token_times } => self.endpoints.set_pool_speeds(token_times),
            OwnerEvent::Endpoints(owned) => self.endpoints.set_owned(owned, &self.ledger),
            OwnerEvent::EndpointLeaving { endpoint } => self.endpoints.set_leaving(&endpoint),
            OwnerEvent::Tick => {}
        }
        self.settle(now, &mut actions);
        actions
    }

    /// How busy the owner is.
    pub fn pressure(&self, now: Instant) -> OwnerPressure {
        let (free_slots, slots) = self.endpoints.slots(now);
        OwnerPressure {
            free_slots,
            slots,
            waiting_by_tier: self.queue.waiting_by_tier(),
            estimate: self.service.grant_interval(slots),
            token_time: self.endpoints.token_time(),
        }
    }

    /// When `Tick` is wanted next.
    pub fn next_deadline(&self) -> Option<Instant> {
        // Prompts that are held back may be sent once others were read.
        let look = self.looked.as_ref().map(|looked| looked.at + LOOK_PERIOD);
        let (deadline, probe) = (self.queue.next_deadline(), self.endpoints.next_probe());
        [look, deadline, probe].into_iter().flatten().min()
    }

    /// A view for status pages.
    pub fn snapshot(&self, now: Instant) -> OwnerSnapshot {
        OwnerSnapshot {
            pool: self.settings.pool.clone(),
            pressure: self.pressure(now),
            grants: self.ledger.len(),
            endpoints: self.endpoints.snapshot(),
        }
    }

    /// Whether neither an ask waits nor a grant is in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.ledger.is_empty()
    }

    fn ask(&mut self, mut request: GrantRequest, now: Instant, actions: &mut Vec<OwnerAction>) {
        if let Some(record) = self.ledger.get(&request.asker, request.grant) {
            actions.push(OwnerAction::Grant {
                asker: request.asker,
                grant: request.grant,
                endpoint: record.endpoint.clone(),
                by_floor: record.by_floor,
                pressure: self.pressure(now),
            });
            return;
        }
        if self.queue.contains(&request.asker, request.grant) {
            return;
        }
        if let Some(kind) = self.refusal(&request, now) {
            actions.push(self.refuse(&request, kind, now));
            return;
        }
        request.tokens = self.answers.tokens(&request.class, LENGTH_QUANTILE, request.tokens);
        self.dispatch(now, actions);
        let chosen = if self.is_behind(&request) { None } else { self.choose(&request, now) };
        if let Some(endpoint) = chosen {
            actions.push(self.grant(&request, endpoint, false, now));
        } else if request.wait {
            self.enqueue(request, now, actions);
        } else {
            actions.push(OwnerAction::Busy {
                asker: request.asker,
                grant: request.grant,
                pressure: self.pressure(now),
            });
        }
    }

    /// Why a request is refused before the queue is looked at.
    fn refusal(&self, request: &GrantRequest, now: Instant) -> Option<ErrorKind> {
        if self.ledger.has_ended(&request.asker, request.grant) {
            return Some(ErrorKind::CallerLeftWaiting);
        }
        if request.deadline <= now {
            return Some(ErrorKind::DeadlinePassed);
        }
        if !self.endpoints.can_ever_serve(request) {
            return Some(ErrorKind::NoEndpoint);
        }
        self.is_too_late(request, now).then_some(ErrorKind::DeadlineUnmeetable)
    }

    fn enqueue(&mut self, request: GrantRequest, now: Instant, actions: &mut Vec<OwnerAction>) {
        let ahead = self.queue.waiting_before(request.rank());
        let wait = self.pressure(now).wait_behind(ahead);
        if self.is_too_late(&request, now + wait) {
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
        self.queue.remove(&report.asker, report.grant);
        let Some(record) = self.ledger.end(&report.asker, report.grant) else { return };
        self.endpoints.learn(report, self.settings.between_tokens, now);
        let key = (report.asker.clone(), report.grant);
        self.endpoints.forget_prompt(&record.endpoint, &key, now);
        self.endpoints.ended(&record.endpoint);
        if let Some(estimated) = record.tokens {
            self.queue.settle(record.tier, record.by_floor, estimated, report.tokens);
        }
        if report.result == ReleaseResult::Completed {
            self.answers.record(&record.class, report.tokens);
        }
        if report.result != ReleaseResult::NotSent {
            self.service.record(now.duration_since(record.since));
        }
    }

    fn first_token(&mut self, asker: InstanceId, grant: GrantId, now: Instant) {
        let Some(record) = self.ledger.get(&asker, grant) else { return };
        self.endpoints.first_token(&record.endpoint, &(asker, grant), now);
    }

    fn cancel(&mut self, asker: &InstanceId, grant: GrantId, now: Instant) {
        self.queue.remove(asker, grant);
        if let Some(record) = self.ledger.end(asker, grant) {
            self.endpoints.forget_prompt(&record.endpoint, &(asker.clone(), grant), now);
            self.endpoints.ended(&record.endpoint);
        }
    }

    fn asker_lost(&mut self, asker: &InstanceId, now: Instant) {
        self.queue.remove_asker(asker);
        for record in self.ledger.lapse(asker) {
            self.endpoints.ended(&record.endpoint);
        }
        self.endpoints.retain_prompts(&self.ledger, now);
    }

    fn announce(&mut self, asker: &InstanceId, held: Vec<HeldGrant>, now: Instant) {
        let shares: HashMap<GrantId, EngineShare> =
            held.iter().map(|held| (held.grant, held.share)).collect();
        let change = self.ledger.reconcile(asker, held, now);
        for (grant, record) in &change.added {
            let share = shares.get(grant).copied().unwrap_or_default();
            self.endpoints.announced(&record.endpoint, (asker.clone(), *grant), share);
        }
        for record in &change.removed {
            self.endpoints.ended(&record.endpoint);
        }
        self.endpoints.retain_prompts(&self.ledger, now);
    }

    /// Refuses what has waited until its deadline.
    fn expire(&mut self, now: Instant, actions: &mut Vec<OwnerAction>) {
        for request in self.queue.expire(now) {
            actions.push(self.refuse(&request, ErrorKind::DeadlinePassed, now));
        }
    }

    /// Gives free slots to what waits, or refuses all of it when no endpoint is left.
    fn settle(&mut self, now: Instant, actions: &mut Vec<OwnerAction>) {
        if self.queue.is_empty() {
            self.looked = None;
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

    /// Whether even a short answer, begun now, would end after the deadline.
    fn is_too_late(&self, request: &GrantRequest, now: Instant) -> bool {
        let token_time = self.endpoints.token_time().unwrap_or_default();
        let tokens = self.answers.tokens(&request.class, SHORT_QUANTILE, 0);
        now + token_time.saturating_mul(tokens) > request.deadline
    }

    fn choose(&self, request: &GrantRequest, now: Instant) -> Option<EndpointId> {
        let hint = self.affinity.hint(request.prefix);
        self.endpoints.choose(request, hint, now)
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
            tier: request.tier,
            since: now,
            by_floor,
            tokens: Some(request.tokens),
        };
        self.ledger.insert(&request.asker, request.grant, record);
        self.endpoints.granted(request, &endpoint, now);
        self.affinity.note(request.prefix, endpoint.clone());
        OwnerAction::Grant {
            asker: request.asker.clone(),
            grant: request.grant,
            endpoint,
            by_floor,
            pressure: self.pressure(now),
        }
    }

    fn refuse(&self, request: &GrantRequest, kind: ErrorKind, now: Instant) -> OwnerAction {
        OwnerAction::Refuse {
            asker: request.asker.clone(),
            grant: request.grant,
            kind,
            pressure: self.pressure(now),
        }
    }
}
