//! Runs the requests of a pool through entries, owners and engines.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{GrantAnswer, GrantRequest, OwnerEvent, ReleaseReport};
use coltsfootgate_core::prelude::{EndpointId, GrantId, InstanceId, ZoneName};
use coltsfootgate_core::routing::{CooperativePolicy, RequestRoute};

use super::control::InstanceProcessor;
use super::owners::ModelOwner;
use super::{
    ClassOutcome, ClassProfile, ControlCosts, EngineModel, EngineProfile, InstanceProfile,
    ModelRequest, ModelTime, PoolOutcome, RequestIndex,
};

/// The pool of the simulation.
pub(super) const POOL: &str = "pools.model";

/// Who decides about the placement of requests.
#[derive(Clone, Copy, Debug)]
pub enum Assignment {
    /// Owners, which entries ask.
    Owners {
        /// The setting `owner_endpoints`: engines of an owner that has a whole core.
        owner_endpoints: u32,
        /// Whether instances know each other's processors; if not, all count as whole cores.
        knows_processors: bool,
    },
    /// Each entry, from the load of engines that it knows with a delay.
    Entries {
        /// Age of the known load.
        lag: Duration,
    },
}

/// A time in which the first owner stands still.
#[derive(Clone, Copy, Debug)]
pub struct OwnerFreeze {
    /// Its start.
    pub start: ModelTime,
    /// Its length.
    pub length: Duration,
}

/// The pool and the instances in front of it.
#[derive(Clone, Debug)]
pub struct FleetProfile {
    /// The instances, which are all entries.
    pub instances: Vec<InstanceProfile>,
    /// Number of engines.
    pub engines: usize,
    /// The speed and size of each engine.
    pub engine: EngineProfile,
    /// The classes of requests.
    pub classes: Vec<ClassProfile>,
    /// What messages cost.
    pub costs: ControlCosts,
    /// Who decides.
    pub assignment: Assignment,
    /// When an owner stands still.
    pub freeze: Option<OwnerFreeze>,
}

/// A message between instances; `owner` is the position of an owner.
#[derive(Clone, Debug)]
pub(super) enum ControlMessage {
    Ask { owner: usize, request: Box<GrantRequest> },
    Answer { index: RequestIndex, grant: GrantId, owner: usize, answer: GrantAnswer },
    FirstToken { owner: usize, requester: InstanceId, grant: GrantId },
    Release { owner: usize, report: ReleaseReport },
    Cancel { owner: usize, requester: InstanceId, grant: GrantId },
}

#[derive(Clone, Debug)]
pub(super) enum ModelEvent {
    /// A request arrives at its entry.
    Arrive(RequestIndex),
    /// The entry has accepted a request.
    Accepted(RequestIndex),
    /// A message has reached an instance.
    Arrived(usize, ControlMessage),
    /// The processor of its receiver has time for a message.
    Handle(ControlMessage),
    /// An owner has not answered a request in time.
    AskTimeout(RequestIndex, GrantId),
    /// A waiting request looks for a better owner, unless it has done so since this number.
    Reconsider(RequestIndex, u32),
    /// A request reaches an engine.
    Submit(RequestIndex, usize),
    EngineStep(usize),
    OwnerTick(usize),
    /// The caller of a request stops waiting.
    Deadline(RequestIndex),
    /// The first owner stands still for this long.
    Freeze(Duration),
}

/// The grant under which a request was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldModelGrant {
    pub(super) grant: GrantId,
    /// The owner; `None` if the entry chose the engine.
    pub(super) owner: Option<usize>,
    pub(super) engine: usize,
    pub(super) sent: ModelTime,
}

/// A request in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestRun {
    pub(super) route: Option<RequestRoute>,
    /// Grants that were asked for and not answered, with their owners.
    pub(super) asked: Vec<(GrantId, usize)>,
    pub(super) reconsiderations: u32,
    pub(super) held: Option<HeldModelGrant>,
    pub(super) first_event: Option<ModelTime>,
    pub(super) last_event: Option<ModelTime>,
    pub(super) longest_pause: Duration,
    pub(super) events: u32,
    pub(super) is_over: bool,
}

/// The state of a run.
pub(super) struct PoolFleet<'a> {
    pub(super) profile: &'a FleetProfile,
    pub(super) load: &'a [ModelRequest],
    start: Instant,
    queue: BinaryHeap<Reverse<(ModelTime, u64)>>,
    events: HashMap<u64, ModelEvent>,
    next_event: u64,
    next_grant: GrantId,
    pub(super) grant_requests: HashMap<GrantId, RequestIndex>,
    pub(super) names: Vec<InstanceId>,
    pub(super) processors: Vec<InstanceProcessor>,
    pub(super) policies: Vec<CooperativePolicy>,
    /// The owners of the pool, then those of fallback shares.
    pub(super) owners: Vec<ModelOwner>,
    /// The positions of owners of fallback shares, by entry.
    pub(super) fallbacks: HashMap<usize, usize>,
    pub(super) engines: Vec<EngineModel>,
    pub(super) engine_ids: HashMap<EndpointId, usize>,
    pub(super) requests_of_engine: Vec<u32>,
    /// The load of all engines at several times.
    pub(super) known_loads: Vec<(ModelTime, Vec<EngineLoadReport>)>,
    pub(super) runs: Vec<RequestRun>,
    /// When each shared part was last used.
    pub(super) part_uses: HashMap<u64, ModelTime>,
    pub(super) asks: u64,
    pub(super) outcome: PoolOutcome,
}

/// What an engine reports of its load.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineLoadReport {
    pub(super) requests: usize,
    pub(super) backlog: u64,
}

/// Runs all requests until none is in progress.
pub fn run_pool(profile: &FleetProfile, load: &[ModelRequest]) -> PoolOutcome {
    let mut fleet = PoolFleet::new(profile, load);
    while let Some(Reverse((now, number))) = fleet.queue.pop() {
        if let Some(event) = fleet.events.remove(&number) {
            fleet.handle(event, now);
        }
    }
    fleet.finish()
}

impl<'a> PoolFleet<'a> {
    fn new(profile: &'a FleetProfile, load: &'a [ModelRequest]) -> Self {
        let name = |number: usize| format!("10.0.{}.{}:1", number / 250, number % 250).into();
        let policy = |one: &InstanceProfile| CooperativePolicy::new(zone_name(one.zone));
        let classes = vec![ClassOutcome::default(); profile.classes.len()];
        let mut fleet = Self {
            profile,
            load,
            start: Instant::now(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            next_grant: 0,
            grant_requests: HashMap::new(),
            names: (0..profile.instances.len()).map(name).collect(),
            processors: profile.instances.iter().map(InstanceProcessor::new).collect(),
            policies: profile.instances.iter().map(policy).collect(),
            owners: Vec::new(),
            fallbacks: HashMap::new(),
            engines: vec![EngineModel::new(profile.engine); profile.engines],
            engine_ids: HashMap::new(),
            requests_of_engine: vec![0; profile.engines],
            known_loads: Vec::new(),
            runs: vec![RequestRun::default(); load.len()],
            part_uses: HashMap::new(),
            asks: 0,
            outcome: PoolOutcome { classes, ..PoolOutcome::default() },
        };
        fleet.assign_engines();
        for (index, request) in load.iter().enumerate() {
            fleet.schedule(request.arrives, ModelEvent::Arrive(index));
        }
        if let Some(freeze) = profile.freeze {
            fleet.schedule(freeze.start, ModelEvent::Freeze(freeze.length));
        }
        fleet
    }

    /// The time of the product's decisions at a time of the run.
    pub(super) fn instant(&self, now: ModelTime) -> Instant {
        self.start + now
    }

    /// The time of the run at a time of the product's decisions.
    pub(super) fn model_time(&self, instant: Instant) -> ModelTime {
        instant.saturating_duration_since(self.start)
    }

    pub(super) fn schedule(&mut self, at: ModelTime, event: ModelEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    pub(super) fn new_grant(&mut self, index: RequestIndex) -> GrantId {
        self.next_grant += 1;
        self.grant_requests.insert(self.next_grant, index);
        self.next_grant
    }

    pub(super) fn class(&self, index: RequestIndex) -> &'a ClassProfile {
        &self.profile.classes[self.load[index].class]
    }

    /// Sends a message; one to the same instance is handled at once.
    pub(super) fn send(&mut self, from: usize, to: usize, message: ControlMessage, now: ModelTime) {
        if from == to {
            self.schedule(now, ModelEvent::Handle(message));
            return;
        }
        let sent = self.processors[from].work(self.profile.costs.message, now);
        self.processors[from].bytes += self.bytes(&message);
        let arrives = sent + self.profile.costs.link_delay;
        self.schedule(arrives, ModelEvent::Arrived(to, message));
    }

    fn bytes(&self, message: &ControlMessage) -> u64 {
        match message {
            ControlMessage::Ask { .. } => self.profile.costs.ask_bytes,
            _ => self.profile.costs.message_bytes,
        }
    }

    fn handle(&mut self, event: ModelEvent, now: ModelTime) {
        match event {
            ModelEvent::Arrive(index) => self.accept(index, now),
            ModelEvent::Accepted(index) => self.begin(index, now),
            ModelEvent::Arrived(instance, message) => self.receive(instance, message, now),
            ModelEvent::Handle(message) => self.handle_message(message, now),
            ModelEvent::AskTimeout(index, grant) => self.time_out(index, grant, now),
            ModelEvent::Reconsider(index, number) => self.reconsider(index, number, now),
            ModelEvent::Submit(index, engine) => self.submit(index, engine, now),
            ModelEvent::EngineStep(engine) => self.step_engine(engine, now),
            ModelEvent::OwnerTick(owner) => self.tick_owner(owner, now),
            ModelEvent::Deadline(index) => self.give_up(index, now),
            ModelEvent::Freeze(length) => {
                if let Some(owner) = self.owners.first() {
                    self.processors[owner.instance].freeze(now + length);
                }
            }
        }
    }

    fn accept(&mut self, index: RequestIndex, now: ModelTime) {
        let entry = self.load[index].entry;
        let accepted = self.processors[entry].work(self.profile.costs.request, now);
        self.schedule(accepted, ModelEvent::Accepted(index));
        self.schedule(now + self.class(index).deadline, ModelEvent::Deadline(index));
    }

    fn receive(&mut self, instance: usize, message: ControlMessage, now: ModelTime) {
        let ControlCosts { message: handling, decision, .. } = self.profile.costs;
        let is_decision = !matches!(message, ControlMessage::Answer { .. });
        let cost = if is_decision { handling + decision } else { handling };
        self.processors[instance].bytes += self.bytes(&message);
        let done = self.processors[instance].work(cost, now);
        self.schedule(done, ModelEvent::Handle(message));
    }

    fn handle_message(&mut self, message: ControlMessage, now: ModelTime) {
        match message {
            ControlMessage::Ask { owner, request } => {
                self.drive_owner(owner, OwnerEvent::RequestGrant(*request), now);
            }
            ControlMessage::FirstToken { owner, requester, grant } => {
                self.drive_owner(owner, OwnerEvent::FirstToken { requester, grant }, now);
            }
            ControlMessage::Release { owner, report } => {
                self.drive_owner(owner, OwnerEvent::Release(report), now);
            }
            ControlMessage::Cancel { owner, requester, grant } => {
                self.drive_owner(owner, OwnerEvent::Cancel { requester, grant }, now);
            }
            ControlMessage::Answer { index, grant, owner, answer } => {
                self.handle_answer(index, grant, owner, answer, now);
            }
        }
    }

    fn finish(mut self) -> PoolOutcome {
        for request in self.load {
            self.outcome.classes[request.class].requests += 1;
        }
        let length = self.load.last().map_or(1.0, |last| last.arrives.as_secs_f64());
        for engine in &self.engines {
            self.outcome.prefilled += engine.counts().prefilled;
            self.outcome.kept += engine.counts().kept;
        }
        let requests = self.load.len().max(1) as f64;
        let most = self.requests_of_engine.iter().max().copied().unwrap_or(0);
        self.outcome.busiest_engine = f64::from(most) * self.engines.len() as f64 / requests;
        self.outcome.asked = self.asks as f64 / requests;
        let used = self.processors.iter().map(|one| one.used.as_secs_f64() / length);
        self.outcome.busiest_processor = used.fold(0.0, f64::max);
        let bytes = self.processors.iter().map(|one| one.bytes as f64 / length);
        self.outcome.busiest_bytes = bytes.fold(0.0, f64::max);
        let waits = self.processors.iter().map(|one| one.longest_wait);
        self.outcome.longest_wait = waits.max().unwrap_or_default();
        self.outcome
    }
}

pub(super) fn zone_name(number: usize) -> ZoneName {
    format!("zone-{number}").into()
}
