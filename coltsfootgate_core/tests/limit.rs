//! Slices of limits: single cases, and random orders of requests, replies, losses and expiries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootgate_core::limit::{LimitDecision, LimitOwner, LimitSlice, LocalLimiter};
use coltsfootgate_core::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

const ENTRY_COUNT: usize = 4;
const CONCURRENCY: u32 = 6;
const BURST: u32 = 20;
const RATE: f64 = 10.0;

fn customer(rate: f64, burst: u32, concurrency: u32) -> CustomerSettings {
    let id = CustomerId::from("customers.one");
    CustomerSettings { id, weight: 1.0, rate, burst, concurrency, tier: None }
}

/// Returns the tier of the requests that arrive at an entry instance, a different one for each.
fn tier(number: usize) -> RequestTier {
    RequestTier::all().nth(2 * number).expect("there are seven tiers")
}

fn entry(number: usize) -> InstanceId {
    format!("127.0.0.1:900{number}").into()
}

/// Decides on a request of the highest tier, requesting slices as needed.
fn request(
    limiter: &mut LocalLimiter,
    owner: &mut LimitOwner,
    settings: &CustomerSettings,
    now: Instant,
) -> LimitDecision {
    request_of_tier(RequestTier::HIGHEST, limiter, owner, settings, now)
}

fn request_of_tier(
    tier: RequestTier,
    limiter: &mut LocalLimiter,
    owner: &mut LimitOwner,
    settings: &CustomerSettings,
    now: Instant,
) -> LimitDecision {
    let mut decision = limiter.decide(tier, now);
    while decision == LimitDecision::RequestSlice {
        renew(limiter, owner, settings, now);
        decision = limiter.decide_again(tier, now);
    }
    decision
}

fn renew(
    limiter: &mut LocalLimiter,
    owner: &mut LimitOwner,
    settings: &CustomerSettings,
    now: Instant,
) {
    let slice = owner.grant(&limiter.request_slice(now), settings, 1, now);
    limiter.accept(&slice, now);
}

#[rstest]
#[case::rate_runs_out(customer(1.0, 2, 100), 2, ErrorKind::RateLimited)]
#[case::concurrency_runs_out(customer(100.0, 100, 3), 3, ErrorKind::ConcurrencyLimited)]
fn requests_beyond_a_limit_are_refused(
    #[case] settings: CustomerSettings,
    #[case] admitted: usize,
    #[case] kind: ErrorKind,
) {
    let now = Instant::now();
    let mut owner = LimitOwner::new(now);
    let mut limiter = LocalLimiter::new(settings.id.clone(), entry(0));
    for _ in 0..admitted {
        assert_eq!(request(&mut limiter, &mut owner, &settings, now), LimitDecision::Admit);
    }
    let decision = request(&mut limiter, &mut owner, &settings, now);
    assert!(matches!(decision, LimitDecision::Refuse { kind: refused, .. } if refused == kind));
}

#[test]
fn unused_slice_is_returned_and_granted_to_another_entry() {
    let now = Instant::now();
    let settings = customer(100.0, 100, 1);
    let mut owner = LimitOwner::new(now);
    let mut limiters = [0, 1].map(|number| LocalLimiter::new(settings.id.clone(), entry(number)));
    assert_eq!(request(&mut limiters[0], &mut owner, &settings, now), LimitDecision::Admit);
    limiters[0].finish();
    let later = now + Duration::from_millis(1100);
    assert!(limiters[0].needs_renewal(later));
    renew(&mut limiters[0], &mut owner, &settings, later);
    assert_eq!(request(&mut limiters[1], &mut owner, &settings, later), LimitDecision::Admit);
}

#[rstest]
#[case::one_in_flight(1)]
#[case::few_in_flight(8)]
#[case::many_in_flight(400)]
fn part_of_the_concurrency_is_reserved_for_higher_tiers(#[case] concurrency: u32) {
    let now = Instant::now();
    let settings = customer(10_000.0, 10_000, concurrency);
    let mut owner = LimitOwner::new(now);
    let mut limiters = [0, 1].map(|number| LocalLimiter::new(settings.id.clone(), entry(number)));
    let mut admitted = 0;
    while request_of_tier(RequestTier::LOWEST, &mut limiters[0], &mut owner, &settings, now)
        == LimitDecision::Admit
    {
        admitted += 1;
        assert!(admitted <= concurrency);
    }
    assert!(admitted >= concurrency * 3 / 4, "{admitted} admitted");
    let mut higher = 0;
    while request(&mut limiters[1], &mut owner, &settings, now) == LimitDecision::Admit {
        higher += 1;
    }
    assert_eq!(admitted + higher, concurrency);
}

#[test]
fn permits_are_prefetched_at_a_steady_request_rate() {
    let settings = customer(1000.0, 1000, 1000);
    let mut now = Instant::now();
    let mut owner = LimitOwner::new(now);
    let mut limiter = LocalLimiter::new(settings.id.clone(), entry(0));
    let mut slice_requests = 0;
    for _ in 0..200 {
        now += Duration::from_millis(10);
        if limiter.decide(RequestTier::LOWEST, now) == LimitDecision::RequestSlice {
            slice_requests += 1;
            renew(&mut limiter, &mut owner, &settings, now);
            let decision = limiter.decide_again(RequestTier::LOWEST, now);
            assert_eq!(decision, LimitDecision::Admit);
        }
        limiter.finish();
    }
    assert!(slice_requests <= 20, "{slice_requests} slice requests for 200 requests");
}

#[test]
fn limiter_uses_an_even_share_while_the_owner_is_unreachable() {
    let now = Instant::now();
    let settings = customer(100.0, 100, 9);
    let mut limiter = LocalLimiter::new(settings.id.clone(), entry(0));
    assert_eq!(limiter.decide(RequestTier::HIGHEST, now), LimitDecision::RequestSlice);
    limiter.request_slice(now);
    limiter.owner_unreachable(&settings, 3, now);
    let decisions: Vec<_> =
        (0..4).map(|_| limiter.decide_again(RequestTier::HIGHEST, now)).collect();
    assert_eq!(decisions[..3], [LimitDecision::Admit; 3]);
    assert!(matches!(decisions[3], LimitDecision::Refuse { .. }));
}

/// A step of a simulation; `usize` selects an entry instance, `u64` is in milliseconds.
#[derive(Clone, Debug)]
enum SimulationStep {
    Request(usize),
    Finish(usize),
    RequestSlice(usize),
    Reply(usize),
    LoseReply(usize),
    Wait(u64),
}

fn simulation_step() -> impl Strategy<Value = SimulationStep> {
    let number = 0..ENTRY_COUNT;
    prop_oneof![
        6 => number.clone().prop_map(SimulationStep::Request),
        3 => number.clone().prop_map(SimulationStep::Finish),
        4 => number.clone().prop_map(SimulationStep::RequestSlice),
        4 => number.clone().prop_map(SimulationStep::Reply),
        1 => number.prop_map(SimulationStep::LoseReply),
        3 => (0u64..900).prop_map(SimulationStep::Wait),
    ]
}

/// Simulates entry instances that all reach the owner, with replies that are delayed or lost.
struct LimitSimulation {
    owner: LimitOwner,
    settings: CustomerSettings,
    limiters: Vec<LocalLimiter>,
    replies: BTreeMap<usize, LimitSlice>,
    started: Instant,
    now: Instant,
    admitted: u32,
}

impl LimitSimulation {
    fn new() -> Self {
        let now = Instant::now();
        let settings = customer(RATE, BURST, CONCURRENCY);
        let limiter = |number| LocalLimiter::new(settings.id.clone(), entry(number));
        Self {
            owner: LimitOwner::new(now),
            limiters: (0..ENTRY_COUNT).map(limiter).collect(),
            settings,
            replies: BTreeMap::new(),
            started: now,
            now,
            admitted: 0,
        }
    }

    fn step(&mut self, step: SimulationStep) {
        match step {
            SimulationStep::Request(number) => {
                let decision = self.limiters[number].decide(tier(number), self.now);
                self.admitted += u32::from(decision == LimitDecision::Admit);
            }
            SimulationStep::Finish(number) => self.limiters[number].finish(),
            SimulationStep::RequestSlice(number) => self.request_slice(number),
            SimulationStep::Reply(number) => {
                if let Some(slice) = self.replies.remove(&number) {
                    self.limiters[number].accept(&slice, self.now);
                }
            }
            SimulationStep::LoseReply(number) => {
                if self.replies.remove(&number).is_some() {
                    self.limiters[number].slice_request_failed();
                }
            }
            SimulationStep::Wait(millis) => self.now += Duration::from_millis(millis),
        }
    }

    fn request_slice(&mut self, number: usize) {
        if self.limiters[number].is_slice_requested() {
            return;
        }
        let request = self.limiters[number].request_slice(self.now);
        let slice = self.owner.grant(&request, &self.settings, ENTRY_COUNT as u32, self.now);
        self.replies.insert(number, slice);
    }
}

proptest! {
    #[test]
    fn granted_slices_never_exceed_the_limit(
        steps in proptest::collection::vec(simulation_step(), 1..300),
    ) {
        let mut simulation = LimitSimulation::new();
        for step in steps {
            simulation.step(step);
            let now = simulation.now;
            let limiters = simulation.limiters.iter();
            let usable: u32 = limiters.map(|limiter| limiter.usable_concurrency(now)).sum();
            let granted = simulation.owner.granted(&simulation.settings.id);
            prop_assert!(granted <= CONCURRENCY, "{} granted", granted);
            prop_assert!(usable <= CONCURRENCY, "{} usable", usable);
        }
    }

    #[test]
    fn admitted_requests_stay_within_burst_and_rate(
        steps in proptest::collection::vec(simulation_step(), 1..300),
    ) {
        let mut simulation = LimitSimulation::new();
        for step in steps {
            simulation.step(step);
            let elapsed = simulation.now.duration_since(simulation.started).as_secs_f64();
            prop_assert!(f64::from(simulation.admitted) <= f64::from(BURST) + elapsed * RATE);
        }
    }
}
