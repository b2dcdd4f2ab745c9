//! Long prompts and requests with tight targets arrive together at the engines of one owner.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use coltsfootgate_core::owner::{
    EngineShare, GrantRequest, HeldGrant, OwnerAction, OwnerEvent, OwnerSettings, PoolOwner,
    ReleaseReport, ReleaseResult,
};
use coltsfootgate_core::prelude::*;
use coltsfootgate_core::prompt::{PromptLoad, PromptPart};

use support::{OwnerDriver, START, ask, endpoint};

/// Engines of the pool.
const ENGINES: u32 = 12;
/// Requests that each engine runs at once.
const SLOTS: u32 = 64;
/// Tokens that fit into the memory of an engine.
const MEMORY: u64 = 500_000;
/// Step of the replay.
const STEP: Duration = Duration::from_millis(2);
/// Length of the replay.
const LENGTH: Duration = Duration::from_secs(20);
/// Documents that long prompts are about.
const DOCUMENTS: u64 = 100;

/// A kind of request in the replay.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    tier: u8,
    per_second: f64,
    shared: u32,
    own: u32,
    first_token: Duration,
    between_tokens: Duration,
    answer: Duration,
}

const LONG: RequestKind = RequestKind {
    tier: 3,
    per_second: 22.0,
    shared: 5_000,
    own: 6_600,
    first_token: Duration::from_millis(2_500),
    between_tokens: Duration::from_millis(1_000),
    answer: Duration::from_millis(3_000),
};
/// Long prompts of a lower tier.
const LOW: RequestKind = RequestKind { tier: 5, ..LONG };
const SHORT: RequestKind = RequestKind {
    tier: 1,
    per_second: 40.0,
    shared: 200,
    own: 630,
    first_token: Duration::from_millis(300),
    between_tokens: Duration::from_millis(250),
    answer: Duration::from_millis(1_500),
};

/// One request at an engine of the replay, which reads one prompt after the other.
#[derive(Clone, Debug)]
struct EngineRequest {
    grant: GrantId,
    kind: u8,
    document: u64,
    arrived: Instant,
    first_token: Option<Instant>,
    ends: Instant,
}

#[derive(Default)]
struct ReplayEngine {
    busy_until: Option<Instant>,
    kept: BTreeSet<u64>,
    requests: Vec<EngineRequest>,
}

struct Replay {
    owner: PoolOwner,
    /// Prompt tokens that an engine reads in a second; the owner is not told.
    rate: f64,
    engines: BTreeMap<EndpointId, ReplayEngine>,
    waiting: BTreeMap<GrantId, (u8, u64, Instant)>,
    arrived: BTreeMap<u8, u32>,
    first_tokens: BTreeMap<u8, Vec<Duration>>,
    stops_beside_short: u32,
    /// From when on an engine, the first that is sent a request then, gives no more tokens.
    dark_from: Option<Instant>,
    dark: Option<EndpointId>,
    lost: usize,
    shared_read: u64,
    memory_most: u64,
}

fn prompt(kind: &RequestKind, document: u64, grant: GrantId) -> PromptLoad {
    let shared = PromptPart { id: document, tokens: kind.shared };
    let own = PromptPart { id: 1_000_000 + grant, tokens: kind.own };
    PromptLoad {
        parts: vec![shared, own],
        tokens: kind.shared + kind.own,
        answer_tokens: 400,
        first_token_target: kind.first_token,
        between_tokens_target: kind.between_tokens,
    }
}

fn kind_of(tier: u8) -> RequestKind {
    match tier {
        tier if tier == LONG.tier => LONG,
        tier if tier == LOW.tier => LOW,
        _ => SHORT,
    }
}

impl Replay {
    fn new(rate: f64) -> Self {
        Self::with_memory(rate, MEMORY)
    }

    fn with_memory(rate: f64, memory: u64) -> Self {
        let settings = OwnerSettings {
            pool: "pools.model".into(),
            between_tokens: Some(Duration::from_millis(250)),
            memory: Some(memory),
        };
        let mut replay = Self {
            owner: PoolOwner::new(settings),
            rate,
            engines: BTreeMap::new(),
            waiting: BTreeMap::new(),
            arrived: BTreeMap::new(),
            first_tokens: BTreeMap::new(),
            stops_beside_short: 0,
            dark_from: None,
            dark: None,
            lost: 0,
            shared_read: 0,
            memory_most: 0,
        };
        let owned: Vec<_> = (0..ENGINES).map(|number| endpoint(number, SLOTS)).collect();
        for engine in &owned {
            replay.engines.insert(engine.id.clone(), ReplayEngine::default());
        }
        replay.event(OwnerEvent::Endpoints(owned), *START);
        replay
    }

    fn event(&mut self, event: OwnerEvent, now: Instant) {
        for action in self.owner.handle(event, now) {
            match action {
                OwnerAction::Grant { grant, endpoint, .. } => self.send(grant, &endpoint, now),
                OwnerAction::Refuse { grant, .. } => {
                    self.waiting.remove(&grant);
                }
                OwnerAction::Busy { .. }
                | OwnerAction::Probe { .. }
                | OwnerAction::StateChanged { .. } => (),
            }
        }
    }

    /// Puts a granted request at its engine, behind the prompts that were sent before.
    fn send(&mut self, grant: GrantId, endpoint: &EndpointId, now: Instant) {
        let Some((tier, document, arrived)) = self.waiting.remove(&grant) else { return };
        let kind = kind_of(tier);
        let is_dark = self.dark_from.is_some_and(|from| now >= from);
        if is_dark && self.dark.get_or_insert_with(|| endpoint.clone()) == endpoint {
            self.lost += 1;
            return;
        }
        let engine = self.engines.get_mut(endpoint).unwrap();
        let mut tokens = kind.own;
        if engine.kept.insert(document) {
            tokens += kind.shared;
            self.shared_read += u64::from(kind.shared);
        }
        let reading = Duration::from_secs_f64(f64::from(tokens) / self.rate);
        if reading > SHORT.between_tokens {
            let short = engine.requests.iter().filter(|request| request.kind == SHORT.tier);
            self.stops_beside_short += short.count() as u32;
        }
        let first = engine.busy_until.map_or(now, |until| until.max(now)) + reading;
        engine.busy_until = Some(first);
        engine.requests.push(EngineRequest {
            grant,
            kind: tier,
            document,
            arrived,
            first_token: Some(first),
            ends: first + kind.answer,
        });
        let held = engine.requests.iter().map(|request| {
            let kind = kind_of(request.kind);
            u64::from(kind.shared + kind.own + 400)
        });
        self.memory_most = self.memory_most.max(held.sum());
    }

    fn is_sent(&self, grant: GrantId) -> bool {
        let mut requests = self.engines.values().flat_map(|engine| &engine.requests);
        requests.any(|request| request.grant == grant)
    }

    fn arrive(&mut self, kind: &RequestKind, grant: GrantId, document: u64, now: Instant) {
        self.waiting.insert(grant, (kind.tier, document, now));
        *self.arrived.entry(kind.tier).or_default() += 1;
        let request = GrantRequest {
            prompt: prompt(kind, document, grant),
            arrived: now,
            deadline: now + Duration::from_secs(12),
            ..ask(grant, kind.tier)
        };
        self.event(OwnerEvent::Ask(request), now);
    }

    /// Tells the owner of first tokens and ends that are due.
    fn progress(&mut self, now: Instant) {
        let asker = ask(0, 1).asker;
        let mut events = Vec::new();
        for (id, engine) in &mut self.engines {
            for request in &mut engine.requests {
                if request.first_token.is_some_and(|first| first <= now) {
                    let first = request.first_token.take().unwrap();
                    let times = self.first_tokens.entry(request.kind).or_default();
                    times.push(first - request.arrived);
                    let (asker, grant) = (asker.clone(), request.grant);
                    events.push(OwnerEvent::FirstToken { asker, grant });
                }
            }
            let (ended, running): (Vec<_>, Vec<_>) =
                engine.requests.drain(..).partition(|request| request.ends <= now);
            engine.requests = running;
            for request in ended {
                assert!(request.document < 2 * DOCUMENTS);
                events.push(OwnerEvent::Release(ReleaseReport {
                    asker: asker.clone(),
                    grant: request.grant,
                    endpoint: id.clone(),
                    tokens: 64,
                    first_token: None,
                    between_tokens: Some(Duration::from_millis(20)),
                    result: ReleaseResult::Completed,
                }));
            }
        }
        for event in events {
            self.event(event, now);
        }
        self.event(OwnerEvent::Tick, now);
    }

    fn run(&mut self, seed: u64, load: f64) {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut now, mut grant) = (*START, 0);
        while now < *START + LENGTH {
            for (number, kind) in [LONG, SHORT].iter().enumerate() {
                let chance = kind.per_second * load * STEP.as_secs_f64();
                if random.random_bool(chance.min(1.0)) {
                    grant += 1;
                    let first = number as u64 * DOCUMENTS;
                    let document = random.random_range(first..first + DOCUMENTS);
                    self.arrive(kind, grant, document, now);
                }
            }
            self.progress(now);
            now += STEP;
        }
    }

    /// Share of the long prompts that the engines can read beside all else that they read.
    fn long_share_that_fits(&self) -> f64 {
        let tokens = LENGTH.as_secs_f64() * self.rate * f64::from(ENGINES);
        let own = |kind: &RequestKind| f64::from(self.arrived[&kind.tier] * kind.own);
        (tokens - own(&SHORT) - self.shared_read as f64) / own(&LONG)
    }

    /// Share of a kind's first tokens that met the target.
    fn attained(&self, kind: &RequestKind) -> f64 {
        let times = &self.first_tokens[&kind.tier];
        let met = times.iter().filter(|time| **time <= kind.first_token).count();
        met as f64 / f64::from(self.arrived[&kind.tier])
    }
}

/// Long prompts at half of what the engines can read: everybody meets the target.
#[rstest]
#[case::slow_engines(1, 30_000.0, 0.6)]
#[case::fast_engines(2, 60_000.0, 1.0)]
#[case::a_burst_of_both(3, 60_000.0, 1.8)]
#[case::calm(4, 45_000.0, 0.4)]
fn short_prompts_meet_their_target_beside_long_ones(
    #[case] seed: u64,
    #[case] rate: f64,
    #[case] load: f64,
) {
    let mut replay = Replay::new(rate);
    replay.run(seed, load);
    assert!(replay.attained(&SHORT) >= 0.95, "short {}", replay.attained(&SHORT));
    assert!(replay.attained(&LONG) >= 0.95, "long {}", replay.attained(&LONG));
}

/// An engine whose memory is overcommitted breaks off running requests.
#[test]
fn the_memory_of_engines_is_not_overcommitted() {
    let memory = 100_000;
    let mut replay = Replay::with_memory(60_000.0, memory);
    replay.run(5, 2.0);
    assert!(replay.memory_most <= memory, "{}", replay.memory_most);
}

/// A shared part is read at few engines rather than at all of them.
#[test]
fn shared_parts_are_read_at_few_engines() {
    let mut replay = Replay::new(60_000.0);
    replay.run(6, 1.0);
    let once = DOCUMENTS * u64::from(LONG.shared + SHORT.shared);
    assert!(replay.shared_read <= 2 * once, "{} times", replay.shared_read as f64 / once as f64);
}

/// A long prompt stops the tokens of all that run beside it, so few short ones run there.
#[test]
fn long_prompts_are_kept_away_from_running_short_ones() {
    let mut replay = Replay::new(30_000.0);
    replay.run(7, 0.8);
    let short = replay.first_tokens[&SHORT.tier].len() as f64;
    let share = f64::from(replay.stops_beside_short) / short;
    assert!(share <= 0.05, "{share} stops for each short request");
}

/// An owner takes over engines that run requests already: their memory is taken.
#[test]
fn a_new_owner_counts_the_memory_of_announced_grants() {
    let settings = OwnerSettings {
        pool: "pools.model".into(),
        between_tokens: Some(Duration::from_millis(250)),
        memory: Some(100_000),
    };
    let mut owner = PoolOwner::new(settings);
    owner.handle(OwnerEvent::Endpoints(vec![endpoint(0, SLOTS)]), *START);
    let asker = ask(0, 1).asker;
    let share = EngineShare { memory: 95_000, between_tokens: Duration::from_millis(1_000) };
    let held = HeldGrant {
        grant: 1,
        endpoint: endpoint(0, SLOTS).id,
        class: "classes.t3".into(),
        tier: RequestTier::LOWEST,
        share,
    };
    owner.handle(OwnerEvent::Announce { asker: asker.clone(), held: vec![held] }, *START);
    let request = GrantRequest { prompt: prompt(&LONG, 7, 2), ..ask(2, LONG.tier) };
    let is_grant = |action: &OwnerAction| matches!(action, OwnerAction::Grant { .. });
    assert!(!owner.handle(OwnerEvent::Ask(request), *START).iter().any(is_grant));
    let later = *START + Duration::from_millis(100);
    let actions = owner.handle(OwnerEvent::Cancel { asker, grant: 1 }, later);
    assert!(actions.iter().any(is_grant), "{actions:?}");
}

/// A burst of long prompts is held back; long prompts of a lower tier that arrive later wait, too.
#[test]
fn a_lower_tier_does_not_take_what_held_prompts_wait_for() {
    let mut replay = Replay::new(60_000.0);
    for grant in 1..=200 {
        replay.arrive(&LONG, grant, grant % DOCUMENTS, *START);
    }
    let (mut now, mut grant) = (*START, 1000);
    loop {
        now += STEP;
        grant += 1;
        replay.progress(now);
        replay.arrive(&LOW, grant, grant % DOCUMENTS, now);
        let is_higher_waiting = || replay.waiting.values().any(|(tier, ..)| *tier == LONG.tier);
        if !is_higher_waiting() {
            break;
        }
        assert!(!replay.is_sent(grant), "granted after {:?}", now - *START);
    }
    assert!(now - *START > Duration::from_secs(1), "nothing was held back");
}

/// More long prompts than can be read: the engines' time goes to those that can still be on time.
#[rstest]
#[case::seed(11)]
#[case::other_seed(12)]
fn in_overload_late_prompts_do_not_make_others_late(#[case] seed: u64) {
    let mut replay = Replay::new(20_000.0);
    replay.run(seed, 1.6);
    let fits = replay.long_share_that_fits();
    assert!(fits < 0.9, "no overload: {fits} fit");
    let read = replay.first_tokens[&LONG.tier].len() as f64;
    let share_read = read / f64::from(replay.arrived[&LONG.tier]);
    let attained = replay.attained(&LONG);
    assert!(attained >= share_read * 0.9, "{attained} of {share_read} that were read");
    // Engines that run short prompts of a higher tier are spared, so not all that fits is read.
    assert!(attained >= fits * 0.5, "{attained} of {fits} that fit");
    assert!(replay.attained(&SHORT) >= 0.9, "short {}", replay.attained(&SHORT));
}

/// An engine goes dark: it takes requests and gives no token. Few are sent there before that shows.
#[rstest]
#[case::calm(21, 0.5)]
#[case::busy(22, 1.0)]
fn an_engine_that_gives_no_first_token_is_passed_over(#[case] seed: u64, #[case] load: f64) {
    let mut replay = Replay::new(60_000.0);
    replay.dark_from = Some(*START + Duration::from_secs(5));
    replay.run(seed, load);
    // No more than all short requests that arrive within their target of 0.3 s.
    let most = (SHORT.per_second * load * 0.3) as usize;
    assert!(replay.lost <= most, "{} requests were sent to the dark engine", replay.lost);
}

/// A long prompt is held, a short one waits for a slot. The slot that becomes free before the next
/// look is for the latter, not for a lower tier that arrives meanwhile.
#[test]
fn a_later_arrival_does_not_overtake_what_waits_for_a_slot() {
    let mut driver = OwnerDriver::new(1, 3);
    let request = |kind: &RequestKind, grant| GrantRequest {
        prompt: prompt(kind, grant, grant),
        ..ask(grant, kind.tier)
    };
    let lower = RequestKind { tier: 2, ..SHORT };
    for grant in 1..=3 {
        driver.ask(request(&LONG, grant));
    }
    driver.ask(request(&SHORT, 4));
    driver.ask(request(&SHORT, 5));
    assert_eq!(driver.granted_ids(), [1, 2, 4]);
    driver.advance(Duration::from_millis(5));
    driver.release(2, ReleaseResult::Completed, Duration::from_millis(1));
    driver.ask(request(&lower, 6));
    assert_eq!(driver.granted_ids(), [1, 2, 4], "the lower tier took the slot");
    driver.advance(Duration::from_millis(20));
    assert_eq!(driver.granted_ids(), [1, 2, 4, 5]);
}
