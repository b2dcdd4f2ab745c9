//! Tests the counts of requests over a fleet while instances lose power, calls are lost and clocks are wrong.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootgate_core::duty::report::{ReportBook, ReportStep, ReportTerms, UsageRecord};
use coltsfootgate_core::duty::usage::{
    UsageCounts, UsageExtract, UsageLog, UsageMeter, UsageSlot, WindowCoverage,
};
use coltsfootgate_core::ids::{CustomerId, InstanceId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(5);
const DUE: Duration = Duration::from_secs(10);
const TOLERANCE: f64 = 0.05;
const STEP: Duration = Duration::from_millis(10);
const POLL_PERIOD: Duration = Duration::from_millis(250);
/// Time since 1970 at which the fleet starts, with a whole number of windows.
const EPOCH: Duration = Duration::from_secs(1_770_000_000);
const RUN_TIME: Duration = Duration::from_secs(40);
/// Requests a second of the whole fleet.
const RATE: f64 = 800.0;
const CUSTOMERS: u32 = 24;

fn customer(number: u32) -> CustomerId {
    format!("customers.c{number}").into()
}

fn instance(number: usize) -> InstanceId {
    format!("10.0.0.{number}:1").into()
}

struct Member {
    log: UsageLog,
    /// How far its clock of day is off, in milliseconds.
    clock_error: i64,
    /// Its time since boot is off by this.
    boot_offset: Duration,
    is_down: bool,
    next_poll: Duration,
}

/// What goes wrong in a fleet.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// Share of the calls that are lost, half of them with their replies only.
    loss: f64,
    /// When this share of the instances loses power, for three seconds.
    power: Option<(Duration, f64)>,
    /// When another instance begins to add up, and fetches what the logs still hold.
    successor: Option<Duration>,
    /// When the clocks of this share of the instances jump by four seconds.
    clocks: Option<(Duration, f64)>,
}

struct Fleet {
    random: StdRng,
    members: Vec<Member>,
    meter: UsageMeter,
    truth: BTreeMap<u64, UsageCounts>,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let member = |number: usize| {
            let boot_offset = Duration::from_millis(random.random_range(0..100_000));
            Member {
                log: UsageLog::new(number as u64, boot_offset),
                clock_error: random.random_range(-300..300),
                boot_offset,
                is_down: false,
                next_poll: Duration::ZERO,
            }
        };
        let members = (0..size).map(member).collect();
        Self { random, members, meter: UsageMeter::new(WINDOW), truth: BTreeMap::new() }
    }

    fn run(mut self, trouble: Trouble) -> Self {
        let mut now = Duration::ZERO;
        while now < RUN_TIME {
            now += STEP;
            self.apply(trouble, now);
            self.serve(now);
            for number in 0..self.members.len() {
                self.poll(number, trouble.loss, now);
            }
        }
        self
    }

    fn apply(&mut self, trouble: Trouble, now: Duration) {
        let size = self.members.len();
        let affected = |share: f64| (size as f64 * share) as usize;
        if let Some((at, share)) = trouble.power {
            for number in 0..affected(share) {
                let member = &mut self.members[number];
                if now == at {
                    member.is_down = true;
                }
                if now == at + Duration::from_secs(3) {
                    let boot = member.boot_offset + now;
                    member.log = UsageLog::new(1000 + number as u64, boot);
                    member.is_down = false;
                }
            }
        }
        if trouble.clocks.is_some_and(|(at, _)| now == at) {
            let (_, share) = trouble.clocks.unwrap_or_default();
            self.members[..affected(share)].iter_mut().for_each(|one| one.clock_error += 4000);
        }
        if trouble.successor == Some(now) {
            self.meter = UsageMeter::new(WINDOW);
        }
    }

    fn serve(&mut self, now: Duration) {
        for _ in 0..(RATE * STEP.as_secs_f64()) as usize {
            let number = self.random.random_range(0..self.members.len());
            // A few customers have most of the traffic.
            let customer = customer(
                self.random.random_range(0..CUSTOMERS).min(self.random.random_range(0..CUSTOMERS)),
            );
            let member = &mut self.members[number];
            if member.is_down {
                continue;
            }
            member.log.record(&customer, member.boot_offset + now);
            let window = ((EPOCH + now).as_nanos() / WINDOW.as_nanos()) as u64;
            *self.truth.entry(window).or_default().entry(customer).or_default() += 1;
        }
    }

    fn poll(&mut self, number: usize, loss: f64, now: Duration) {
        let id = instance(number);
        let member = &mut self.members[number];
        if member.is_down || now < member.next_poll {
            return;
        }
        member.next_poll = now + POLL_PERIOD;
        if self.random.random_bool(loss / 2.0) {
            return;
        }
        let wall = EPOCH + now;
        let error = Duration::from_millis(member.clock_error.unsigned_abs());
        let wall = if member.clock_error < 0 { wall - error } else { wall + error };
        let known = self.meter.position(&id);
        let extract = member.log.extract(known, member.boot_offset + now, wall);
        if self.random.random_bool(loss / 2.0) {
            return;
        }
        // A reply that comes twice counts once.
        for _ in 0..2 {
            self.meter.add(&id, extract.clone(), now, now);
        }
    }

    /// The windows whose counts are off, of those that the traffic filled.
    fn wrong_windows(&self) -> Vec<u64> {
        let first = (EPOCH.as_nanos() / WINDOW.as_nanos()) as u64;
        let last = first + RUN_TIME.as_secs() / WINDOW.as_secs() - 2;
        let is_off = |window: &u64| {
            let (truth, counts) = (&self.truth[window], self.meter.counts(*window));
            let total: u64 = truth.values().sum();
            let error: u64 = truth
                .iter()
                .map(|(one, count)| counts.get(one).copied().unwrap_or(0).abs_diff(*count))
                .sum();
            error as f64 > total as f64 * TOLERANCE
        };
        (first + 1..=last).filter(is_off).collect()
    }
}

#[rstest]
#[case::calm(Trouble::default(), 0)]
#[case::lost_calls(Trouble { loss: 0.3, ..Trouble::default() }, 0)]
#[case::half_lose_power(Trouble { power: Some((Duration::from_millis(12_430), 0.5)), ..Trouble::default() }, 0)]
#[case::a_successor(Trouble { successor: Some(Duration::from_millis(17_200)), ..Trouble::default() }, 0)]
#[case::clocks_jump(Trouble { clocks: Some((Duration::from_millis(12_000), 0.4)), ..Trouble::default() }, 0)]
#[case::all_but_the_successor(
    Trouble {
        loss: 0.2,
        power: Some((Duration::from_millis(12_430), 0.5)),
        clocks: Some((Duration::from_millis(9_000), 0.4)),
        successor: None,
    },
    0
)]
fn windows_are_counted_within_the_tolerance(
    #[case] trouble: Trouble,
    #[case] wrong_max: usize,
    #[values(9, 83)] size: usize,
) {
    for seed in 0..4 {
        let wrong = Fleet::new(size, seed).run(trouble).wrong_windows();
        assert!(wrong.len() <= wrong_max, "seed {seed}: windows {wrong:?}");
    }
}

/// What a fleet of the planned size takes.
#[test]
fn the_counts_of_a_large_fleet_stay_small() {
    let mut meter = UsageMeter::new(WINDOW);
    for second in 0..100 {
        let now = Duration::from_secs(second);
        for number in 0..350 {
            let slot = UsageSlot {
                number: second * 10,
                counts: vec![(customer(second as u32 % 1100), 3)],
            };
            let extract = UsageExtract {
                incarnation: 1,
                next: second * 10 + 1,
                next_age: Duration::ZERO,
                log_age: Duration::from_secs(1),
                wall_time: EPOCH + now,
                slots: vec![slot],
            };
            meter.add(&instance(number), extract, now, now);
        }
    }
    let first = (EPOCH.as_nanos() / WINDOW.as_nanos()) as u64;
    assert!(meter.counts(first).is_empty(), "windows are kept forever");
    let total: u64 = meter.counts(first + 18).values().sum();
    assert_eq!(total, 350 * 5 * 3);
}

fn terms() -> ReportTerms {
    ReportTerms { window: WINDOW, due: DUE, tolerance: TOLERANCE }
}

fn counts(count: u64) -> UsageCounts {
    UsageCounts::from([(customer(1), count)])
}

const COMPLETE: WindowCoverage = WindowCoverage { is_complete: true, missing_share: 0.0 };

#[rstest]
#[case::all_heard(COMPLETE, 400, true)]
#[case::all_heard_just_now(COMPLETE, 100, false)]
#[case::a_few_missing(WindowCoverage { is_complete: false, missing_share: 0.02 }, 3900, false)]
#[case::a_few_missing_for_long(WindowCoverage { is_complete: false, missing_share: 0.02 }, 4100, true)]
#[case::many_missing(WindowCoverage { is_complete: false, missing_share: 0.4 }, 4100, false)]
#[case::many_missing_until_it_is_nearly_due(WindowCoverage { is_complete: false, missing_share: 0.4 }, 7100, true)]
fn a_window_is_reported_once_it_is_known_or_nearly_due(
    #[case] coverage: WindowCoverage,
    #[case] ended_ms: u64,
    #[case] is_stored: bool,
) {
    let mut book = ReportBook::take_over(terms(), None, 0, 7);
    let step = book.step(Some(Duration::from_millis(ended_ms)), coverage, || counts(3));
    assert_eq!(matches!(step, ReportStep::Store(_)), is_stored, "{step:?}");
}

/// Once the counts may be stored they stay as they are, also if more requests become known.
#[test]
fn the_counts_of_a_window_never_change() {
    let mut book = ReportBook::take_over(terms(), None, 0, 7);
    let ended = Some(Duration::from_secs(1));
    let ReportStep::Store(first) = book.step(ended, COMPLETE, || counts(3)) else { panic!() };
    let again = book.step(ended, COMPLETE, || counts(4));
    assert_eq!(again, ReportStep::Store(first.clone()));
    book.stored();
    assert_eq!(book.step(None, COMPLETE, || counts(5)), ReportStep::Send(7, counts(3)));
    let mut successor = ReportBook::take_over(terms(), Some(first), 0, 9);
    assert_eq!(successor.step(None, COMPLETE, || counts(5)), ReportStep::Send(7, counts(3)));
    successor.finished(7);
    assert_eq!(successor.next_window(), 8);
    assert_eq!(successor.step(None, COMPLETE, || counts(5)), ReportStep::Wait);
}

/// What the store forgot may have been reported.
#[rstest]
#[case::same_era(0, 8)]
#[case::from_an_older_copy(1, 11)]
fn windows_that_may_have_been_reported_are_left_out(#[case] era: u64, #[case] next: u64) {
    let record = UsageRecord { era: 0, next: 8, windows: BTreeMap::from([(7, counts(3))]) };
    let book = ReportBook::take_over(terms(), Some(record), era, 11);
    assert_eq!(book.next_window(), next);
}
