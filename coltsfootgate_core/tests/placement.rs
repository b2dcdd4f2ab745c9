//! Tests of request placement on simulated engines, where long prompts and requests with tight
//! targets arrive together at one pool owner.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use coltsfootgate_core::owner::{
    DeferralCause, EngineReservation, GrantRequest, HeldGrant, OwnerAction, OwnerEvent,
    OwnerSettings, PoolOwner, ReleaseResult,
};
use coltsfootgate_core::prelude::*;
use coltsfootgate_core::prompt::{PromptLoad, PromptPart};

use support::{OwnerDriver, START, completed_report, endpoint, grant_request};

/// Number of engines in the pool.
const ENGINES: u32 = 12;
/// Number of slots of each engine.
const SLOTS: u32 = 64;
/// KV cache capacity of each engine, in tokens.
const KV_CACHE_TOKENS: u64 = 500_000;
/// Time step of the simulation.
const TIME_STEP: Duration = Duration::from_millis(2);
/// Simulated time of a run.
const RUN_TIME: Duration = Duration::from_secs(20);
/// Number of shared documents for each kind of request.
const DOCUMENTS: u64 = 100;

/// A kind of request in the simulation.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    tier: u8,
    arrivals_per_second: f64,
    /// Tokens of the document, which requests share.
    shared_tokens: u32,
    /// Tokens that belong to one request alone.
    own_tokens: u32,
    first_token: Duration,
    between_tokens: Duration,
    answer_time: Duration,
}

const LONG: RequestKind = RequestKind {
    tier: 3,
    arrivals_per_second: 22.0,
    shared_tokens: 5_000,
    own_tokens: 6_600,
    first_token: Duration::from_millis(2_500),
    between_tokens: Duration::from_millis(1_000),
    answer_time: Duration::from_millis(3_000),
};
/// Long prompts of a lower tier.
const LONG_LOW_TIER: RequestKind = RequestKind { tier: 5, ..LONG };
const SHORT: RequestKind = RequestKind {
    tier: 1,
    arrivals_per_second: 40.0,
    shared_tokens: 200,
    own_tokens: 630,
    first_token: Duration::from_millis(300),
    between_tokens: Duration::from_millis(250),
    answer_time: Duration::from_millis(1_500),
};

/// A request at a simulated engine.
#[derive(Clone, Debug)]
struct EngineRequest {
    grant: GrantId,
    tier: u8,
    document: u64,
    arrived: Instant,
    first_token: Option<Instant>,
    ends_at: Instant,
}

#[derive(Default)]
/// A simulated engine, which prefills one prompt after the other.
struct SimulatedEngine {
    busy_until: Option<Instant>,
    cached_documents: BTreeSet<u64>,
    requests: Vec<EngineRequest>,
}

/// A pool owner with simulated engines and clients.
struct PlacementSimulation {
    owner: PoolOwner,
    /// Prefill rate of an engine, in tokens per second, which the owner has to estimate.
    prefill_rate: f64,
    engines: BTreeMap<EndpointId, SimulatedEngine>,
    waiting: BTreeMap<GrantId, (u8, u64, Instant)>,
    arrivals: BTreeMap<u8, u32>,
    first_tokens: BTreeMap<u8, Vec<Duration>>,
    stalled_short_requests: u32,
    /// From this time on, the first engine that is sent a request emits no more tokens.
    unresponsive_from: Option<Instant>,
    unresponsive_engine: Option<EndpointId>,
    lost_requests: usize,
    prefilled_shared_tokens: u64,
    max_reserved_tokens: u64,
}

fn prompt(kind: &RequestKind, document: u64, grant: GrantId) -> PromptLoad {
    let shared = PromptPart { id: document, tokens: kind.shared_tokens };
    let own = PromptPart { id: 1_000_000 + grant, tokens: kind.own_tokens };
    PromptLoad {
        parts: vec![shared, own],
        tokens: kind.shared_tokens + kind.own_tokens,
        answer_tokens: 400,
        first_token_target: kind.first_token,
        between_tokens_target: kind.between_tokens,
    }
}

fn kind_of_tier(tier: u8) -> RequestKind {
    match tier {
        tier if tier == LONG.tier => LONG,
        tier if tier == LONG_LOW_TIER.tier => LONG_LOW_TIER,
        _ => SHORT,
    }
}

impl PlacementSimulation {
    fn new(prefill_rate: f64) -> Self {
        Self::with_kv_cache(prefill_rate, KV_CACHE_TOKENS)
    }

    fn with_kv_cache(prefill_rate: f64, kv_cache_tokens: u64) -> Self {
        let settings = OwnerSettings {
            pool: "pools.model".into(),
            between_tokens: Some(Duration::from_millis(250)),
            kv_cache_tokens: Some(kv_cache_tokens),
            limit_sharers: 1,
        };
        let mut simulation = Self {
            owner: PoolOwner::new(settings),
            prefill_rate,
            engines: BTreeMap::new(),
            waiting: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            first_tokens: BTreeMap::new(),
            stalled_short_requests: 0,
            unresponsive_from: None,
            unresponsive_engine: None,
            lost_requests: 0,
            prefilled_shared_tokens: 0,
            max_reserved_tokens: 0,
        };
        let owned: Vec<_> = (0..ENGINES).map(|number| endpoint(number, SLOTS)).collect();
        for engine in &owned {
            simulation.engines.insert(engine.id.clone(), SimulatedEngine::default());
        }
        simulation.handle(OwnerEvent::Endpoints(owned), *START);
        simulation
    }

    fn handle(&mut self, event: OwnerEvent, now: Instant) {
        for action in self.owner.handle(event, now) {
            match action {
                OwnerAction::Grant { grant, endpoint, .. } => {
                    self.start_request(grant, &endpoint, now);
                }
                OwnerAction::Refuse { grant, .. } => {
                    self.waiting.remove(&grant);
                }
                OwnerAction::Busy { .. }
                | OwnerAction::Probe { .. }
                | OwnerAction::StateChanged { .. }
                | OwnerAction::LimitChanged { .. }
                | OwnerAction::AskHolders { .. }
                | OwnerAction::TakenOver { .. } => (),
            }
        }
    }

    /// Sends a granted request to its engine, where it queues behind earlier prompts.
    fn start_request(&mut self, grant: GrantId, endpoint: &EndpointId, now: Instant) {
        let Some((tier, document, arrived)) = self.waiting.remove(&grant) else { return };
        let kind = kind_of_tier(tier);
        let is_unresponsive = self.unresponsive_from.is_some_and(|from| now >= from);
        if is_unresponsive
            && self.unresponsive_engine.get_or_insert_with(|| endpoint.clone()) == endpoint
        {
            self.lost_requests += 1;
            return;
        }
        let engine = self.engines.get_mut(endpoint).unwrap();
        let mut tokens = kind.own_tokens;
        if engine.cached_documents.insert(document) {
            tokens += kind.shared_tokens;
            self.prefilled_shared_tokens += u64::from(kind.shared_tokens);
        }
        let prefill = Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate);
        if prefill > SHORT.between_tokens {
            let short = engine.requests.iter().filter(|request| request.tier == SHORT.tier);
            self.stalled_short_requests += short.count() as u32;
        }
        let first_token = engine.busy_until.map_or(now, |until| until.max(now)) + prefill;
        engine.busy_until = Some(first_token);
        engine.requests.push(EngineRequest {
            grant,
            tier,
            document,
            arrived,
            first_token: Some(first_token),
            ends_at: first_token + kind.answer_time,
        });
        let held = engine.requests.iter().map(|request| {
            let kind = kind_of_tier(request.tier);
            u64::from(kind.shared_tokens + kind.own_tokens + 400)
        });
        self.max_reserved_tokens = self.max_reserved_tokens.max(held.sum());
    }

    fn is_sent(&self, grant: GrantId) -> bool {
        let mut requests = self.engines.values().flat_map(|engine| &engine.requests);
        requests.any(|request| request.grant == grant)
    }

    fn arrive(&mut self, kind: &RequestKind, grant: GrantId, document: u64, now: Instant) {
        self.waiting.insert(grant, (kind.tier, document, now));
        *self.arrivals.entry(kind.tier).or_default() += 1;
        let request = GrantRequest {
            prompt: prompt(kind, document, grant),
            arrived: now,
            deadline: now + Duration::from_secs(12),
            ..grant_request(grant, kind.tier)
        };
        self.handle(OwnerEvent::RequestGrant(request), now);
    }

    /// Reports due first tokens and ends of requests to the owner.
    fn report_progress(&mut self, now: Instant) {
        let requester = grant_request(0, 1).requester;
        let mut events = Vec::new();
        for (id, engine) in &mut self.engines {
            for request in &mut engine.requests {
                if request.first_token.is_some_and(|first| first <= now) {
                    let first = request.first_token.take().unwrap();
                    let times = self.first_tokens.entry(request.tier).or_default();
                    times.push(first - request.arrived);
                    let (requester, grant) = (requester.clone(), request.grant);
                    events.push(OwnerEvent::FirstToken { requester, grant });
                }
            }
            let (ended, running): (Vec<_>, Vec<_>) =
                engine.requests.drain(..).partition(|request| request.ends_at <= now);
            engine.requests = running;
            for request in ended {
                assert!(request.document < 2 * DOCUMENTS);
                let token_time = Duration::from_millis(20);
                let report = completed_report(request.grant, id.clone(), 64, token_time);
                events.push(OwnerEvent::Release(report));
            }
        }
        for event in events {
            self.handle(event, now);
        }
        self.handle(OwnerEvent::Tick, now);
    }

    fn run(&mut self, seed: u64, load: f64) {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut now, mut grant) = (*START, 0);
        while now < *START + RUN_TIME {
            for (number, kind) in [LONG, SHORT].iter().enumerate() {
                let chance = kind.arrivals_per_second * load * TIME_STEP.as_secs_f64();
                if random.random_bool(chance.min(1.0)) {
                    grant += 1;
                    let first = number as u64 * DOCUMENTS;
                    let document = random.random_range(first..first + DOCUMENTS);
                    self.arrive(kind, grant, document, now);
                }
            }
            self.report_progress(now);
            now += TIME_STEP;
        }
    }

    /// Share of the long prompts that the engines have time to prefill in addition to all else.
    fn feasible_long_share(&self) -> f64 {
        let tokens = RUN_TIME.as_secs_f64() * self.prefill_rate * f64::from(ENGINES);
        let own_tokens =
            |kind: &RequestKind| f64::from(self.arrivals[&kind.tier] * kind.own_tokens);
        (tokens - own_tokens(&SHORT) - self.prefilled_shared_tokens as f64) / own_tokens(&LONG)
    }

    /// Share of a kind's requests whose first token met the target.
    fn attained(&self, kind: &RequestKind) -> f64 {
        let times = &self.first_tokens[&kind.tier];
        let met = times.iter().filter(|time| **time <= kind.first_token).count();
        met as f64 / f64::from(self.arrivals[&kind.tier])
    }
}

/// Long prompts need about half of the engines' prefill capacity, so both kinds meet their targets.
#[rstest]
#[case::slow_engines(1, 30_000.0, 0.6)]
#[case::fast_engines(2, 60_000.0, 1.0)]
#[case::a_burst_of_both(3, 60_000.0, 1.8)]
#[case::calm(4, 45_000.0, 0.4)]
fn short_prompts_meet_their_target_beside_long_ones(
    #[case] seed: u64,
    #[case] prefill_rate: f64,
    #[case] load: f64,
) {
    let mut simulation = PlacementSimulation::new(prefill_rate);
    simulation.run(seed, load);
    assert!(simulation.attained(&SHORT) >= 0.95, "short {}", simulation.attained(&SHORT));
    assert!(simulation.attained(&LONG) >= 0.95, "long {}", simulation.attained(&LONG));
}

/// An engine whose KV cache is overcommitted preempts running requests.
#[test]
fn kv_cache_of_engines_is_not_overcommitted() {
    let kv_cache_tokens = 100_000;
    let mut simulation = PlacementSimulation::with_kv_cache(60_000.0, kv_cache_tokens);
    simulation.run(5, 2.0);
    assert!(
        simulation.max_reserved_tokens <= kv_cache_tokens,
        "{}",
        simulation.max_reserved_tokens
    );
}

/// Requests with the same shared part are placed at few engines, so that the others need not
/// prefill it.
#[test]
fn shared_parts_are_prefilled_at_few_engines() {
    let mut simulation = PlacementSimulation::new(60_000.0);
    simulation.run(6, 1.0);
    let once = DOCUMENTS * u64::from(LONG.shared_tokens + SHORT.shared_tokens);
    assert!(
        simulation.prefilled_shared_tokens <= 2 * once,
        "{} times",
        simulation.prefilled_shared_tokens as f64 / once as f64
    );
}

/// A long prefill stalls all requests that run at the same engine, so few short ones may run there.
#[test]
fn long_prompts_are_placed_away_from_running_short_ones() {
    let mut simulation = PlacementSimulation::new(30_000.0);
    simulation.run(7, 0.8);
    let short = simulation.first_tokens[&SHORT.tier].len() as f64;
    let share = f64::from(simulation.stalled_short_requests) / short;
    assert!(share <= 0.05, "{share} stalls for each short request");
}

/// A new owner of an engine must count the KV cache of requests that an earlier owner granted.
#[test]
fn new_owner_counts_the_kv_cache_of_announced_grants() {
    let settings = OwnerSettings {
        pool: "pools.model".into(),
        between_tokens: Some(Duration::from_millis(250)),
        kv_cache_tokens: Some(100_000),
        limit_sharers: 1,
    };
    let mut owner = PoolOwner::new(settings);
    owner.handle(OwnerEvent::Endpoints(vec![endpoint(0, SLOTS)]), *START);
    let requester = grant_request(0, 1).requester;
    let reservation =
        EngineReservation { kv_cache_tokens: 95_000, between_tokens: Duration::from_millis(1_000) };
    let held = HeldGrant {
        grant: 1,
        endpoint: endpoint(0, SLOTS).id,
        class: "classes.t3".into(),
        rank: (RequestTier::LOWEST, RequestTier::LOWEST),
        reservation,
    };
    owner.handle(OwnerEvent::Announce { requester: requester.clone(), held: vec![held] }, *START);
    let request = GrantRequest { prompt: prompt(&LONG, 7, 2), ..grant_request(2, LONG.tier) };
    let is_grant = |action: &OwnerAction| matches!(action, OwnerAction::Grant { .. });
    assert!(!owner.handle(OwnerEvent::RequestGrant(request), *START).iter().any(is_grant));
    let later = *START + Duration::from_millis(100);
    let actions = owner.handle(OwnerEvent::Cancel { requester, grant: 1 }, later);
    assert!(actions.iter().any(is_grant), "{actions:?}");
}

/// A burst of long prompts is deferred; long prompts of a lower tier that arrive later must wait
/// behind them.
#[test]
fn lower_tier_does_not_overtake_deferred_prompts() {
    let mut simulation = PlacementSimulation::new(60_000.0);
    for grant in 1..=200 {
        simulation.arrive(&LONG, grant, grant % DOCUMENTS, *START);
    }
    let (mut now, mut grant) = (*START, 1000);
    loop {
        now += TIME_STEP;
        grant += 1;
        simulation.report_progress(now);
        simulation.arrive(&LONG_LOW_TIER, grant, grant % DOCUMENTS, now);
        let is_higher_waiting = || simulation.waiting.values().any(|(tier, ..)| *tier == LONG.tier);
        if !is_higher_waiting() {
            break;
        }
        assert!(!simulation.is_sent(grant), "the lower tier was granted after {:?}", now - *START);
    }
    assert!(now - *START > Duration::from_secs(1), "no prompt was deferred");
}

/// More long prompts arrive than the engines can prefill; the engines' time must go to those that
/// can still meet their target.
#[rstest]
#[case::seed(11)]
#[case::other_seed(12)]
fn late_prompts_do_not_delay_others_in_overload(#[case] seed: u64) {
    let mut simulation = PlacementSimulation::new(20_000.0);
    simulation.run(seed, 1.6);
    let feasible = simulation.feasible_long_share();
    assert!(feasible < 0.9, "no overload: {feasible} feasible");
    let prefilled = simulation.first_tokens[&LONG.tier].len() as f64;
    let prefilled_share = prefilled / f64::from(simulation.arrivals[&LONG.tier]);
    let attained = simulation.attained(&LONG);
    assert!(
        attained >= prefilled_share * 0.9,
        "{attained} of {prefilled_share} that were prefilled"
    );
    // Long prompts avoid engines that run short prompts of a higher tier, so not all of the feasible
    // share is prefilled.
    assert!(attained >= feasible * 0.5, "{attained} of {feasible} feasible");
    assert!(simulation.attained(&SHORT) >= 0.9, "short {}", simulation.attained(&SHORT));
}

/// An engine accepts requests but emits no tokens. Only few requests may be sent to it before their
/// overdue first tokens reveal that.
#[rstest]
#[case::calm(21, 0.5)]
#[case::busy(22, 1.0)]
fn engine_that_emits_no_first_token_is_avoided(#[case] seed: u64, #[case] load: f64) {
    let mut simulation = PlacementSimulation::new(60_000.0);
    simulation.unresponsive_from = Some(*START + Duration::from_secs(5));
    simulation.run(seed, load);
    // At most as many as all short requests that arrive within their first-token target of 0.3 s.
    let max_lost = (SHORT.arrivals_per_second * load * 0.3) as usize;
    assert!(
        simulation.lost_requests <= max_lost,
        "{} requests were sent to the unresponsive engine",
        simulation.lost_requests
    );
}

/// A long prompt is deferred and a short one waits for a slot. A slot that becomes free before the
/// next scan must go to the short one, not to a request of a lower tier that arrives meanwhile.
#[test]
fn later_arrival_of_a_lower_tier_does_not_overtake_a_waiting_request() {
    let mut driver = OwnerDriver::new(1, 3);
    let request = |kind: &RequestKind, grant| GrantRequest {
        prompt: prompt(kind, grant, grant),
        ..grant_request(grant, kind.tier)
    };
    let lower = RequestKind { tier: 2, ..SHORT };
    for grant in 1..=3 {
        driver.request(request(&LONG, grant));
    }
    driver.request(request(&SHORT, 4));
    driver.request(request(&SHORT, 5));
    assert_eq!(driver.granted_ids(), [1, 2, 4]);
    driver.advance(Duration::from_millis(5));
    driver.release(2, ReleaseResult::Completed, Duration::from_millis(1));
    driver.request(request(&lower, 6));
    assert_eq!(driver.granted_ids(), [1, 2, 4], "the lower tier took the slot");
    driver.advance(Duration::from_millis(20));
    assert_eq!(driver.granted_ids(), [1, 2, 4, 5]);
}

/// A long prompt is deferred for the backlog of the only engine, and a short one of a lower tier is
/// granted before it.
#[test]
fn snapshot_tells_why_a_request_waits_and_what_was_granted_before_it() {
    let mut driver = OwnerDriver::new(1, SLOTS);
    let request = |kind: &RequestKind, grant| GrantRequest {
        prompt: prompt(kind, grant, grant),
        ..grant_request(grant, kind.tier)
    };
    for grant in 1..=3 {
        driver.request(request(&LONG, grant));
    }
    driver.request(request(&RequestKind { tier: 5, ..SHORT }, 4));
    driver.advance(Duration::from_millis(20));
    assert_eq!(driver.granted_ids(), [1, 2, 4]);
    let snapshot = driver.snapshot();
    let rank = RequestTier::new(LONG.tier).unwrap();
    assert_eq!(snapshot.first_waiting, Some(((rank, rank), Duration::from_millis(20))));
    assert_eq!((snapshot.activity.grants, snapshot.activity.overtaking_grants), (3, 1));
    let causes = DeferralCause::ALL.iter().zip(snapshot.activity.deferrals);
    let counted: Vec<_> = causes.filter(|(_, count)| *count > 0).map(|(cause, _)| *cause).collect();
    assert_eq!(counted, [DeferralCause::PrefillBacklog]);
    assert!(snapshot.endpoints[0].backlog > Duration::from_millis(100));
}
