//! Replays plain services whose replicas start, recover, fail or are slow for moments, under load.
//!
//! What is measured is how much of what is sound is used, and how often callers meet what is sick.

use std::collections::BTreeMap;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{
    GrantRequest, OwnerAction, OwnerEvent, OwnerSettings, PoolOwner, ReleaseReport, ReleaseResult,
};
use coltsfootgate_core::prelude::*;
use coltsfootgate_core::prompt::PromptLoad;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);
const SLOTS: u32 = 6;
/// Median time that a sound replica takes.
const WORK_TIME: Duration = Duration::from_millis(25);
const STEP: Duration = Duration::from_millis(1);
const RUN_TIME: Duration = Duration::from_secs(10);
/// Share of the answers of an application that are errors, at every replica.
const ERROR_SHARE: f64 = 0.14;

/// How a replica answers at a moment: the factor of its time, and the share of its answers that fail.
#[derive(Clone, Copy, Debug)]
struct Manner {
    factor: f64,
    failing: f64,
}

const SOUND: Manner = Manner { factor: 1.0, failing: ERROR_SHARE };

/// The manner of a replica, by its number and the time in seconds; `None` while it is not there.
type Behaviour = fn(u32, f64) -> Option<Manner>;

fn all_sound(_: u32, _: f64) -> Option<Manner> {
    Some(SOUND)
}

/// Each replica is slower for a fifth of a second now and then.
fn noisy(number: u32, at: f64) -> Option<Manner> {
    let phase = (at + f64::from(number) * 0.7) % 2.1;
    Some(if phase < 0.2 { Manner { factor: 2.5, ..SOUND } } else { SOUND })
}

fn one_slow(number: u32, _: f64) -> Option<Manner> {
    Some(if number == 0 { Manner { factor: 5.0, ..SOUND } } else { SOUND })
}

fn one_grey(number: u32, _: f64) -> Option<Manner> {
    Some(if number == 0 { Manner { factor: 0.2, failing: 0.6 } } else { SOUND })
}

/// One starts late, with cold caches for a second.
fn late_start(number: u32, at: f64) -> Option<Manner> {
    match number {
        0 if at < 5.0 => None,
        0 if at < 6.0 => Some(Manner { factor: 4.0, ..SOUND }),
        _ => Some(SOUND),
    }
}

fn late_start_warm(number: u32, at: f64) -> Option<Manner> {
    (number != 0 || at >= 5.0).then_some(SOUND)
}

struct Pool {
    owner: PoolOwner,
    random: StdRng,
    now: Duration,
    behaviour: Behaviour,
    size: u32,
    /// When each running request ends, and how.
    running: BTreeMap<GrantId, (EndpointId, Duration, Duration, ReleaseResult)>,
    arrivals: BTreeMap<GrantId, Duration>,
    outcome: Outcome,
}

#[derive(Clone, Debug, Default)]
struct Outcome {
    completed: u32,
    failed: u32,
    refused: u32,
    /// Slots in use, summed over the steps in which requests waited, and those of all replicas there.
    used: u64,
    usable: u64,
    /// Answers of replica 0 by second, and those that took over four times the usual.
    of_first: BTreeMap<u64, (u32, u32)>,
}

impl Outcome {
    /// How much of the pool is used while requests wait.
    fn used_share(&self) -> f64 {
        self.used as f64 / self.usable.max(1) as f64
    }
}

fn endpoint(number: u32) -> EndpointSettings {
    EndpointSettings {
        id: format!("e{number}").into(),
        replica: None,
        address: format!("127.0.0.1:{}", 8000 + number).into(),
        version: None,
        zone: "zone-a".into(),
        slots: SLOTS,
        slots_max: SLOTS,
    }
}

impl Pool {
    fn new(size: u32, behaviour: Behaviour, seed: u64) -> Self {
        let owner = PoolOwner::new(OwnerSettings {
            pool: "pools.app".into(),
            between_tokens: None,
            kv_cache_tokens: None,
            limit_sharers: 1,
        });
        Self {
            owner,
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            behaviour,
            size,
            running: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn present(&self) -> Vec<u32> {
        let at = self.now.as_secs_f64();
        (0..self.size).filter(|number| (self.behaviour)(*number, at).is_some()).collect()
    }

    /// Runs with arrivals of this part of what the replicas there can do.
    fn run(mut self, load: f64) -> Outcome {
        let mut known = Vec::new();
        let mut next_grant = 0;
        while self.now < RUN_TIME {
            self.now += STEP;
            let present = self.present();
            if present != known {
                let endpoints = present.iter().map(|number| endpoint(*number)).collect();
                self.handle(OwnerEvent::Endpoints(endpoints));
                known = present;
            }
            self.finish_due();
            let capacity = f64::from(SLOTS) * known.len() as f64 / WORK_TIME.as_secs_f64() / 1.14;
            let expected = capacity * load * STEP.as_secs_f64();
            let arrivals = expected as u32 + u32::from(self.random.random_bool(expected.fract()));
            for _ in 0..arrivals {
                next_grant += 1;
                self.request(next_grant);
            }
            self.handle(OwnerEvent::Tick);
            if !self.arrivals.is_empty() {
                self.outcome.used += self.running.len() as u64;
                self.outcome.usable += u64::from(SLOTS) * known.len() as u64;
            }
        }
        self.outcome
    }

    fn instant(&self) -> Instant {
        *START + self.now
    }

    fn request(&mut self, grant: GrantId) {
        let arrived = self.instant();
        self.arrivals.insert(grant, self.now);
        let tier = RequestTier::HIGHEST;
        self.handle(OwnerEvent::RequestGrant(GrantRequest {
            request: RequestId::from_u128(grant.into()),
            requester: "127.0.0.1:9001".into(),
            grant,
            class: "classes.a".into(),
            tier,
            stated_tier: tier,
            customer: "customers.one".into(),
            weight: 1.0,
            floor: 0.0,
            queue_requests: 400,
            queue_tokens: 500_000,
            tokens: 1,
            prompt: PromptLoad::default(),
            zone: "zone-a".into(),
            arrived,
            deadline: arrived + Duration::from_millis(1500),
            prefix: None,
            version: None,
            excluded: Vec::new(),
            wait: true,
        }));
    }

    fn handle(&mut self, event: OwnerEvent) {
        for action in self.owner.handle(event, self.instant()) {
            match action {
                OwnerAction::Grant { grant, endpoint, .. } => self.start(grant, endpoint),
                OwnerAction::Refuse { grant, .. } => {
                    self.arrivals.remove(&grant);
                    self.outcome.refused += 1;
                }
                OwnerAction::Probe { endpoint } => {
                    self.handle(OwnerEvent::ProbeResult { endpoint, alive: true });
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, grant: GrantId, endpoint: EndpointId) {
        self.arrivals.remove(&grant);
        let number = endpoint[1..].parse().unwrap();
        let manner = (self.behaviour)(number, self.now.as_secs_f64()).unwrap_or(SOUND);
        // Log-normal with a long tail, as the answers of applications have.
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let tail = if self.random.random_bool(0.01) { 5.0 } else { 1.0 };
        let time = WORK_TIME.mul_f64((normal * 0.5).exp() * tail * manner.factor);
        let fails = self.random.random_bool(manner.failing);
        let result = if fails { ReleaseResult::Failed } else { ReleaseResult::Completed };
        self.running.insert(grant, (endpoint, self.now + time, time, result));
    }

    fn finish_due(&mut self) {
        let due = self.running.iter().filter(|(_, (_, ends, ..))| *ends <= self.now);
        let due: Vec<GrantId> = due.map(|(grant, _)| *grant).collect();
        for grant in due {
            let Some((endpoint, _, time, result)) = self.running.remove(&grant) else { continue };
            match result {
                ReleaseResult::Completed => self.outcome.completed += 1,
                _ => self.outcome.failed += 1,
            }
            if &*endpoint == "e0" {
                let (answers, slow) = self.outcome.of_first.entry(self.now.as_secs()).or_default();
                *answers += 1;
                *slow += u32::from(time > WORK_TIME * 4);
            }
            self.handle(OwnerEvent::Release(ReleaseReport {
                requester: "127.0.0.1:9001".into(),
                grant,
                endpoint,
                tokens: 0,
                first_token: Some(time),
                between_tokens: None,
                result,
            }));
        }
    }
}

/// A tail, errors of the application and moments of noise are no reason to leave replicas idle while requests wait.
#[rstest]
#[case::two_sound(2, all_sound)]
#[case::three_sound(3, all_sound)]
#[case::ten_sound(10, all_sound)]
#[case::two_noisy(2, noisy)]
#[case::three_noisy(3, noisy)]
fn sound_replicas_are_used_while_requests_wait(#[case] size: u32, #[case] behaviour: Behaviour) {
    for seed in 0..2 {
        let outcome = Pool::new(size, behaviour, seed).run(1.1);
        assert!(outcome.used_share() > 0.97, "seed {seed}: {:.3}", outcome.used_share());
    }
}

/// A replica that is five times slower gets few requests while others have room.
#[rstest]
#[case::of_three(3)]
#[case::of_ten(10)]
fn a_slow_replica_gets_few_requests(#[case] size: u32) {
    for seed in 0..3 {
        let outcome = Pool::new(size, one_slow, seed).run(0.5);
        let at_slow: u32 = outcome.of_first.values().map(|(answers, _)| answers).sum();
        let share = f64::from(at_slow) / f64::from(outcome.completed + outcome.failed);
        assert!(share < 0.05, "seed {seed}: {share:.3} of the requests");
    }
}

/// A replica that answers at once and fails most of its requests does not draw them.
#[rstest]
#[case::of_three(3)]
#[case::of_ten(10)]
fn a_failing_replica_gets_few_requests(#[case] size: u32) {
    for seed in 0..3 {
        let outcome = Pool::new(size, one_grey, seed).run(0.6);
        let at_failing: u32 = outcome.of_first.values().map(|(answers, _)| answers).sum();
        let share = f64::from(at_failing) / f64::from(outcome.completed + outcome.failed);
        assert!(share < 0.1, "seed {seed}: {share:.3} of the requests");
    }
}

/// A replica that starts beside others is not flooded while its caches are cold: it gets a tenth of its share at most.
#[test]
fn a_cold_replica_is_opened_by_its_answers() {
    let fair_share = (f64::from(SLOTS) / WORK_TIME.as_secs_f64() / 1.14 * 0.6) as u32;
    for seed in 0..3 {
        let outcome = Pool::new(4, late_start, seed).run(0.6);
        let (_, slow) = outcome.of_first.get(&5).copied().unwrap_or_default();
        assert!(slow * 10 <= fair_share, "seed {seed}: {slow} requests met the cold replica");
        let (answers, _) = outcome.of_first.get(&9).copied().unwrap_or_default();
        assert!(answers > 60, "seed {seed}: {answers} answers in a second, after it has warmed");
    }
}

/// One that answers well from its first request has its share within a fraction of a second, also if requests wait.
#[rstest]
#[case::room_elsewhere(0.6, 50)]
#[case::requests_wait(1.2, 120)]
fn a_warm_replica_has_its_share_at_once(#[case] load: f64, #[case] answers_min: u32) {
    for seed in 0..3 {
        let outcome = Pool::new(3, late_start_warm, seed).run(load);
        let (answers, _) = outcome.of_first.get(&5).copied().unwrap_or_default();
        assert!(answers >= answers_min, "seed {seed}: {answers} answers in its first second");
    }
}
