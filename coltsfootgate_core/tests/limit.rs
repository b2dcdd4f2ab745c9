//! Slices of limits: cases, and random orders of asks, replies, losses and lapses.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootgate_core::limit::{LimitDecision, LimitOwner, LimitShare, LimitSlice};
use coltsfootgate_core::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

const ENTRIES: usize = 4;
const CONCURRENCY: u32 = 6;
const BURST: u32 = 20;
const RATE: f64 = 10.0;

fn customer(rate: f64, burst: u32, concurrency: u32) -> CustomerSettings {
    let id = CustomerId::from("customers.one");
    CustomerSettings { id, weight: 1.0, rate, burst, concurrency, tier: None }
}

/// Entries that see requests of different tiers.
fn tier(number: usize) -> RequestTier {
    RequestTier::all().nth(2 * number).expect("there are seven tiers")
}

fn entry(number: usize) -> InstanceId {
    format!("127.0.0.1:900{number}").into()
}

/// Lets one entry ask until its request is decided.
fn request(
    share: &mut LimitShare,
    owner: &mut LimitOwner,
    settings: &CustomerSettings,
    now: Instant,
) -> LimitDecision {
    request_of(RequestTier::HIGHEST, share, owner, settings, now)
}

fn request_of(
    tier: RequestTier,
    share: &mut LimitShare,
    owner: &mut LimitOwner,
    settings: &CustomerSettings,
    now: Instant,
) -> LimitDecision {
    let mut decision = share.decide(tier, now);
    while decision == LimitDecision::Ask {
        renew(share, owner, settings, now);
        decision = share.decide_again(tier, now);
    }
    decision
}

fn renew(
    share: &mut LimitShare,
    owner: &mut LimitOwner,
    settings: &CustomerSettings,
    now: Instant,
) {
    let slice = owner.lend(&share.ask(now), settings, 1, now);
    share.accept(&slice, now);
}

#[rstest]
#[case::rate_runs_out(customer(1.0, 2, 100), 2, ErrorKind::RateLimited)]
#[case::concurrency_runs_out(customer(100.0, 100, 3), 3, ErrorKind::ConcurrencyLimited)]
fn limit_refuses_past_its_bound(
    #[case] settings: CustomerSettings,
    #[case] admitted: usize,
    #[case] kind: ErrorKind,
) {
    let now = Instant::now();
    let mut owner = LimitOwner::new(now);
    let mut share = LimitShare::new(settings.id.clone(), entry(0));
    for _ in 0..admitted {
        assert_eq!(request(&mut share, &mut owner, &settings, now), LimitDecision::Admit);
    }
    let decision = request(&mut share, &mut owner, &settings, now);
    assert!(matches!(decision, LimitDecision::Refuse { kind: refused, .. } if refused == kind));
}

#[test]
fn idle_slice_goes_back_for_another_entry() {
    let now = Instant::now();
    let settings = customer(100.0, 100, 1);
    let mut owner = LimitOwner::new(now);
    let mut shares = [0, 1].map(|number| LimitShare::new(settings.id.clone(), entry(number)));
    assert_eq!(request(&mut shares[0], &mut owner, &settings, now), LimitDecision::Admit);
    shares[0].finish();
    let later = now + Duration::from_millis(1100);
    assert!(shares[0].wants_renewal(later));
    renew(&mut shares[0], &mut owner, &settings, later);
    assert_eq!(request(&mut shares[1], &mut owner, &settings, later), LimitDecision::Admit);
}

#[rstest]
#[case::one_in_flight(1)]
#[case::few_in_flight(8)]
#[case::many_in_flight(400)]
fn lower_tiers_leave_room_for_higher_ones(#[case] concurrency: u32) {
    let now = Instant::now();
    let settings = customer(10_000.0, 10_000, concurrency);
    let mut owner = LimitOwner::new(now);
    let mut shares = [0, 1].map(|number| LimitShare::new(settings.id.clone(), entry(number)));
    let mut admitted = 0;
    while request_of(RequestTier::LOWEST, &mut shares[0], &mut owner, &settings, now)
        == LimitDecision::Admit
    {
        admitted += 1;
        assert!(admitted <= concurrency);
    }
    assert!(admitted >= concurrency * 3 / 4, "{admitted} admitted");
    let mut higher = 0;
    while request(&mut shares[1], &mut owner, &settings, now) == LimitDecision::Admit {
        higher += 1;
    }
    assert_eq!(admitted + higher, concurrency);
}

#[test]
fn steady_requests_are_fetched_for_ahead() {
    let settings = customer(1000.0, 1000, 1000);
    let mut now = Instant::now();
    let mut owner = LimitOwner::new(now);
    let mut share = LimitShare::new(settings.id.clone(), entry(0));
    let mut asks = 0;
    for _ in 0..200 {
        now += Duration::from_millis(10);
        if share.decide(RequestTier::LOWEST, now) == LimitDecision::Ask {
            asks += 1;
            renew(&mut share, &mut owner, &settings, now);
            let decision = share.decide_again(RequestTier::LOWEST, now);
            assert_eq!(decision, LimitDecision::Admit);
        }
        share.finish();
    }
    assert!(asks <= 20, "{asks} asks for 200 requests");
}

#[test]
fn unreachable_owner_leaves_an_even_part() {
    let now = Instant::now();
    let settings = customer(100.0, 100, 9);
    let mut share = LimitShare::new(settings.id.clone(), entry(0));
    assert_eq!(share.decide(RequestTier::HIGHEST, now), LimitDecision::Ask);
    share.ask(now);
    share.owner_unreachable(&settings, 3, now);
    let decisions: Vec<_> = (0..4).map(|_| share.decide_again(RequestTier::HIGHEST, now)).collect();
    assert_eq!(decisions[..3], [LimitDecision::Admit; 3]);
    assert!(matches!(decisions[3], LimitDecision::Refuse { .. }));
}

/// A step of a trial; numbers pick an entry.
#[derive(Clone, Debug)]
enum TrialStep {
    Request(usize),
    Finish(usize),
    Ask(usize),
    Reply(usize),
    LoseReply(usize),
    Wait(u64),
}

fn trial_step() -> impl Strategy<Value = TrialStep> {
    let number = 0..ENTRIES;
    prop_oneof![
        6 => number.clone().prop_map(TrialStep::Request),
        3 => number.clone().prop_map(TrialStep::Finish),
        4 => number.clone().prop_map(TrialStep::Ask),
        4 => number.clone().prop_map(TrialStep::Reply),
        1 => number.prop_map(TrialStep::LoseReply),
        3 => (0u64..900).prop_map(TrialStep::Wait),
    ]
}

/// Entries that all reach the owner, with replies that come late or never.
struct LimitTrial {
    owner: LimitOwner,
    settings: CustomerSettings,
    shares: Vec<LimitShare>,
    replies: BTreeMap<usize, LimitSlice>,
    started: Instant,
    now: Instant,
    admitted: u32,
}

impl LimitTrial {
    fn new() -> Self {
        let now = Instant::now();
        let settings = customer(RATE, BURST, CONCURRENCY);
        let share = |number| LimitShare::new(settings.id.clone(), entry(number));
        Self {
            owner: LimitOwner::new(now),
            shares: (0..ENTRIES).map(share).collect(),
            settings,
            replies: BTreeMap::new(),
            started: now,
            now,
            admitted: 0,
        }
    }

    fn step(&mut self, step: TrialStep) {
        match step {
            TrialStep::Request(number) => {
                let decision = self.shares[number].decide(tier(number), self.now);
                self.admitted += u32::from(decision == LimitDecision::Admit);
            }
            TrialStep::Finish(number) => self.shares[number].finish(),
            TrialStep::Ask(number) => self.ask(number),
            TrialStep::Reply(number) => {
                if let Some(slice) = self.replies.remove(&number) {
                    self.shares[number].accept(&slice, self.now);
                }
            }
            TrialStep::LoseReply(number) => {
                if self.replies.remove(&number).is_some() {
                    self.shares[number].ask_lost();
                }
            }
            TrialStep::Wait(millis) => self.now += Duration::from_millis(millis),
        }
    }

    fn ask(&mut self, number: usize) {
        if self.shares[number].is_asking() {
            return;
        }
        let ask = self.shares[number].ask(self.now);
        let slice = self.owner.lend(&ask, &self.settings, ENTRIES as u32, self.now);
        self.replies.insert(number, slice);
    }
}

proptest! {
    #[test]
    fn slices_sum_to_no_more_than_the_limit(
        steps in proptest::collection::vec(trial_step(), 1..300),
    ) {
        let mut trial = LimitTrial::new();
        for step in steps {
            trial.step(step);
            let usable: u32 = trial.shares.iter().map(|share| share.usable(trial.now)).sum();
            let lent = trial.owner.lent(&trial.settings.id);
            prop_assert!(lent <= CONCURRENCY, "{} lent", lent);
            prop_assert!(usable <= CONCURRENCY, "{} usable", usable);
        }
    }

    #[test]
    fn starts_stay_within_burst_and_rate(
        steps in proptest::collection::vec(trial_step(), 1..300),
    ) {
        let mut trial = LimitTrial::new();
        for step in steps {
            trial.step(step);
            let passed = trial.now.duration_since(trial.started).as_secs_f64();
            prop_assert!(f64::from(trial.admitted) <= f64::from(BURST) + passed * RATE);
        }
    }
}
