//! Tests of an owner in a burst of requests of all ranks on simulated engines with few slots.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use coltsfootgate_core::owner::{GrantRequest, OwnerAction, OwnerEvent, OwnerSettings, PoolOwner};
use coltsfootgate_core::prelude::*;
use coltsfootgate_core::prompt::{PromptLoad, PromptPart};

use support::{START, completed_report, endpoint, grant_request};

/// Number of engines of the owner.
const ENGINES: u32 = 17;
/// Prefill rate of an engine, in tokens per second.
const PREFILL_RATE: f64 = 50_000.0;
/// Time step of the simulation.
const TIME_STEP: Duration = Duration::from_millis(2);
/// Simulated time of a run.
const RUN_TIME: Duration = Duration::from_secs(14);
/// The time at which the burst starts.
const BURST_START: Duration = Duration::from_secs(5);
/// Duration of the burst.
const BURST_TIME: Duration = Duration::from_secs(5);
/// Time over which the requests that got nothing are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Interval between the starts of two windows.
const WINDOW_STEP: Duration = Duration::from_millis(500);
/// Share of the requests whose customer has the highest tier.
const HIGHEST_TIER_SHARE: f64 = 0.1;
/// Largest share of the requests of an urgent kind that may get nothing in a window.
const UNSERVED_MAX: f64 = 1.0 / 12.0;

/// A kind of request in the simulation.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    class_tier: u8,
    arrivals_per_second: f64,
    prompt_tokens: u32,
    /// Time from the first token to the end of the answer.
    answer_time: Duration,
    first_token: Duration,
    between_tokens: Duration,
    /// Time after which the caller stops waiting.
    patience: Duration,
}

const CHAT: RequestKind = RequestKind {
    class_tier: 1,
    arrivals_per_second: 20.0,
    prompt_tokens: 800,
    answer_time: Duration::from_millis(1_600),
    first_token: Duration::from_millis(300),
    between_tokens: Duration::from_millis(400),
    patience: Duration::from_secs(10),
};
const TAG: RequestKind = RequestKind {
    class_tier: 2,
    arrivals_per_second: 28.0,
    prompt_tokens: 2_400,
    answer_time: Duration::from_millis(100),
    first_token: Duration::from_millis(500),
    between_tokens: Duration::from_millis(600),
    patience: Duration::from_millis(2_500),
};
const DIGEST: RequestKind = RequestKind {
    class_tier: 3,
    arrivals_per_second: 26.0,
    prompt_tokens: 12_000,
    answer_time: Duration::from_millis(3_250),
    first_token: Duration::from_millis(2_500),
    between_tokens: Duration::from_millis(1_500),
    patience: Duration::from_secs(12),
};
const KINDS: [RequestKind; 3] = [CHAT, TAG, DIGEST];

/// What became of a request.
#[derive(Clone, Copy, Debug)]
struct SimulatedRequest {
    kind: RequestKind,
    sent: Instant,
    served: bool,
}

/// A request at an engine.
#[derive(Clone, Debug)]
struct RunningRequest {
    grant: GrantId,
    endpoint: EndpointId,
    first_token: Option<Instant>,
    ends_at: Instant,
}

/// A pool owner with simulated engines and callers.
struct BurstSimulation {
    owner: PoolOwner,
    /// Number of slots of each engine.
    slots: u32,
    requests: BTreeMap<GrantId, SimulatedRequest>,
    running: Vec<RunningRequest>,
    prefilled_until: BTreeMap<EndpointId, Instant>,
}

impl BurstSimulation {
    fn new(slots: u32) -> Self {
        let settings = OwnerSettings {
            pool: "pools.model".into(),
            between_tokens: Some(CHAT.between_tokens),
            kv_cache_tokens: None,
            limit_sharers: 1,
        };
        let mut simulation = Self {
            owner: PoolOwner::new(settings),
            slots,
            requests: BTreeMap::new(),
            running: Vec::new(),
            prefilled_until: BTreeMap::new(),
        };
        let owned = (0..ENGINES).map(|number| endpoint(number, slots)).collect();
        simulation.handle(OwnerEvent::Endpoints(owned), *START);
        simulation
    }

    fn handle(&mut self, event: OwnerEvent, now: Instant) {
        for action in self.owner.handle(event, now) {
            if let OwnerAction::Grant { grant, endpoint, .. } = action {
                self.start_request(grant, endpoint, now);
            }
        }
    }

    /// Sends a granted request to its engine, which prefills one prompt after the other.
    fn start_request(&mut self, grant: GrantId, endpoint: EndpointId, now: Instant) {
        let request = self.requests.get_mut(&grant).unwrap();
        request.served = true;
        let prefill = f64::from(request.kind.prompt_tokens) / PREFILL_RATE;
        let free_at = self.prefilled_until.get(&endpoint).map_or(now, |until| now.max(*until));
        let first_token = free_at + Duration::from_secs_f64(prefill);
        self.prefilled_until.insert(endpoint.clone(), first_token);
        // The more requests run at an engine, the more slowly each token is generated.
        let running = self.running.iter().filter(|running| running.endpoint == endpoint).count();
        let usage = running as f64 / f64::from(self.slots);
        let ends_at = first_token + request.kind.answer_time.mul_f64(0.75 + 0.5 * usage);
        let first_token = Some(first_token);
        self.running.push(RunningRequest { grant, endpoint, first_token, ends_at });
    }

    fn arrive(&mut self, grant: GrantId, tier: u8, kind: RequestKind, now: Instant) {
        self.requests.insert(grant, SimulatedRequest { kind, sent: now, served: false });
        let part = PromptPart { id: grant, tokens: kind.prompt_tokens };
        let request = GrantRequest {
            stated_tier: RequestTier::new(kind.class_tier).unwrap(),
            class: format!("classes.c{}", kind.class_tier).into(),
            queue_requests: 400,
            prompt: PromptLoad {
                parts: vec![part],
                tokens: kind.prompt_tokens,
                answer_tokens: 400,
                first_token_target: kind.first_token,
                between_tokens_target: kind.between_tokens,
            },
            arrived: now,
            deadline: now + kind.patience,
            ..grant_request(grant, tier)
        };
        self.handle(OwnerEvent::RequestGrant(request), now);
    }

    /// Reports due first tokens and ends of requests to the owner.
    fn report_progress(&mut self, now: Instant) {
        let requester = grant_request(0, 1).requester;
        let mut events = Vec::new();
        for request in &mut self.running {
            if request.first_token.is_some_and(|first| first <= now) {
                request.first_token = None;
                let (requester, grant) = (requester.clone(), request.grant);
                events.push(OwnerEvent::FirstToken { requester, grant });
            }
        }
        let (ended, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|request| request.ends_at <= now);
        self.running = running;
        for request in ended {
            let token_time = Duration::from_millis(50);
            let report = completed_report(request.grant, request.endpoint, 40, token_time);
            events.push(OwnerEvent::Release(report));
        }
        for event in events {
            self.handle(event, now);
        }
        self.handle(OwnerEvent::Tick, now);
    }

    /// Runs the whole time with a burst of `load` times the usual arrivals.
    fn run(&mut self, seed: u64, load: f64) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut grant = 0;
        let mut elapsed = Duration::ZERO;
        while elapsed < RUN_TIME {
            let now = *START + elapsed;
            let is_burst = (BURST_START..BURST_START + BURST_TIME).contains(&elapsed);
            let load = if is_burst { load } else { 1.0 };
            for kind in KINDS {
                let chance = kind.arrivals_per_second * load * TIME_STEP.as_secs_f64();
                if random.random_bool(chance.min(1.0)) {
                    grant += 1;
                    let tier = if random.random_bool(HIGHEST_TIER_SHARE) { 1 } else { 2 };
                    self.arrive(grant, tier, kind, now);
                }
            }
            self.report_progress(now);
            elapsed += TIME_STEP;
        }
    }

    /// The highest share of a kind's requests that got nothing in a window.
    fn worst_unserved(&self, kind: &RequestKind) -> f64 {
        let last = RUN_TIME - kind.patience.min(BURST_TIME) - WINDOW;
        let starts = (0..).map(|step| WINDOW_STEP * step).take_while(|start| *start <= last);
        let share = |start: Duration| {
            let window = *START + start..*START + start + WINDOW;
            let sent = self.requests.values().filter(|request| {
                request.kind.class_tier == kind.class_tier && window.contains(&request.sent)
            });
            let (all, unserved) = sent.fold((0_u32, 0_u32), |(all, unserved), request| {
                (all + 1, unserved + u32::from(!request.served))
            });
            f64::from(unserved) / f64::from(all.max(1))
        };
        starts.map(share).fold(0.0, f64::max)
    }

    fn served(&self, kind: &RequestKind) -> usize {
        let of_kind =
            self.requests.values().filter(|request| request.kind.class_tier == kind.class_tier);
        of_kind.filter(|request| request.served).count()
    }
}

/// At the start of a burst, long requests of the lowest rank must not take the slots that urgent
/// ones need a second later.
#[rstest]
#[case::seed(3)]
#[case::second_seed(6)]
#[case::third_seed(7)]
fn long_requests_at_the_start_of_a_burst_leave_slots_for_urgent_ones(#[case] seed: u64) {
    let mut simulation = BurstSimulation::new(12);
    simulation.run(seed, 3.0);
    for kind in [CHAT, TAG] {
        let unserved = simulation.worst_unserved(&kind);
        assert!(unserved <= UNSERVED_MAX, "{unserved} of class tier {}", kind.class_tier);
    }
    assert!(simulation.served(&DIGEST) > 0);
}
