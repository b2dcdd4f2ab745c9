//! Tests that one instance at a time acts under the lease of the duties, whatever fails.
//!
//! A seeded state space: three instances, a store with leases and eras, and a platform that checks tokens and records
//! who acted. Calls take time, lose their answers, and may be executed seconds later; instances pause, are killed and
//! are cut off; the store comes back from an older copy. The same test finds a break once a guard is taken out.

use std::time::Duration;

use coltsfootgate_core::duty::lease::{DutyLease, LeaseStep, LeaseTerms};
use coltsfootgate_core::duty::report::{ReportBook, ReportStep, ReportTerms, UsageRecord};
use coltsfootgate_core::duty::usage::{UsageCounts, WindowCoverage};
use coltsfootgate_core::duty::{DutyToken, StoreEra};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(100);
const LEASE_TIME: Duration = Duration::from_secs(3);
const TTL: Duration = Duration::from_secs(2);
const CALL_TIME: Duration = Duration::from_millis(500);
const RUN_TIME: Duration = Duration::from_secs(60);
const SEEDS: u64 = 150;
/// Number of seeds in which a missing guard must show.
const GUARD_SEEDS: u64 = 3000;
const INSTANCES: usize = 3;
const WINDOW: Duration = Duration::from_secs(1);

/// A guard that the test takes out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Guard {
    None,
    /// A holder acts until the very end of its lease, although its call takes time.
    Margin,
    /// A report is sent before its counts are stored.
    StoreFirst,
    /// Every holder acts with the same token.
    Token,
    /// A new holder acts at once, although the store may have lost the lease of another one.
    Wait,
}

#[derive(Clone, Debug, Default)]
struct StoreState {
    revision: u64,
    /// The holder's lease id and the revision of the item.
    item: Option<(u64, u64)>,
    record: Option<(u64, UsageRecord)>,
}

struct Store {
    state: StoreState,
    era: StoreEra,
    /// When each lease ends.
    leases: Vec<(u64, Duration)>,
    copy: StoreState,
}

impl Store {
    fn expire(&mut self, now: Duration) {
        self.leases.retain(|(_, until)| now < *until);
        if self.state.item.is_some_and(|(id, _)| !self.leases.iter().any(|(one, _)| *one == id)) {
            self.state.item = None;
            self.state.revision += 1;
        }
    }

    fn take(&mut self, id: u64, now: Duration) -> Option<u64> {
        self.expire(now);
        let is_live = self.leases.iter().any(|(one, _)| *one == id);
        if self.state.item.is_some() || !is_live {
            return None;
        }
        self.state.revision += 1;
        self.state.item = Some((id, self.state.revision));
        Some(self.state.revision)
    }

    fn renew(&mut self, id: u64, now: Duration) -> bool {
        self.expire(now);
        let lease = self.leases.iter_mut().find(|(one, _)| *one == id);
        lease.map(|(_, until)| *until = now + TTL).is_some()
    }

    fn write_record(
        &mut self,
        lease: u64,
        record: u64,
        value: &UsageRecord,
        now: Duration,
    ) -> Option<u64> {
        self.expire(now);
        let is_held = self.state.item.is_some_and(|(_, revision)| revision == lease);
        if !is_held || self.state.record.as_ref().map_or(0, |(revision, _)| *revision) != record {
            return None;
        }
        self.state.revision += 1;
        self.state.record = Some((self.state.revision, value.clone()));
        Some(self.state.revision)
    }

    /// Comes back from an older copy, without leases.
    fn rewind(&mut self) {
        let revision = self.copy.revision;
        self.state = StoreState { item: None, revision, ..self.copy.clone() };
        self.leases.clear();
        self.era += 1;
    }
}

/// What the platform saw.
#[derive(Default)]
struct Platform {
    /// Whether it refuses calls with a lower token than it has seen.
    is_fenced: bool,
    has_seen_lower: bool,
    /// Until when calls do not arrive.
    away_until: Duration,
    token: DutyToken,
    calls: Vec<(Duration, usize, DutyToken)>,
    reports: Vec<(u64, UsageCounts)>,
    late: Vec<(Duration, usize, DutyToken, u64, UsageCounts)>,
}

impl Platform {
    /// Executes a report; `false` if its token is too low.
    fn report(
        &mut self,
        at: Duration,
        by: usize,
        token: DutyToken,
        window: u64,
        counts: &UsageCounts,
    ) -> bool {
        if token < self.token {
            self.has_seen_lower = true;
            return false;
        }
        self.token = token;
        self.calls.push((at, by, token));
        self.reports.push((window, counts.clone()));
        true
    }

    /// What breaks the rule that one instance holds a duty.
    fn breaks(&self) -> Option<String> {
        if !self.is_fenced && self.has_seen_lower {
            return Some("a lower token came after a higher one".to_owned());
        }
        for (position, (window, counts)) in self.reports.iter().enumerate() {
            let other = self.reports[..position].iter().find(|(one, _)| one == window);
            if other.is_some_and(|(_, other)| other != counts) {
                return Some(format!("two reports of window {window} differ"));
            }
        }
        for (position, (at, by, token)) in self.calls.iter().enumerate() {
            let before = &self.calls[..position];
            if before.iter().any(|(_, other, one)| other != by && one == token) {
                return Some(format!("two holders acted with token {token}"));
            }
            let last_own = before.iter().rposition(|(_, other, _)| other == by);
            let between = last_own.map(|own| &before[own + 1..]);
            let is_recent = last_own.is_some_and(|own| *at < before[own].0 + LEASE_TIME);
            if is_recent && between.is_some_and(|between| !between.is_empty()) {
                return Some(format!("instance {by} acted again within the lease time, at {at:?}"));
            }
        }
        None
    }
}

struct Instance {
    lease: DutyLease,
    store_lease: u64,
    lease_revision: u64,
    record_revision: u64,
    book: Option<ReportBook>,
    paused_until: Duration,
    cut_until: Duration,
    /// The window whose report was sent although its counts were not stored.
    sent_early: Option<u64>,
    /// A report that it decided to send, and arrives later.
    sending: Option<(Duration, DutyToken, u64, UsageCounts)>,
}

fn terms(guard: Guard) -> LeaseTerms {
    let call_time = if guard == Guard::Margin { Duration::ZERO } else { CALL_TIME };
    LeaseTerms { ttl: TTL, call_time, rest: LEASE_TIME }
}

fn report_terms() -> ReportTerms {
    ReportTerms { window: WINDOW, due: Duration::from_secs(10), tolerance: 0.05 }
}

impl Instance {
    fn new(guard: Guard, now: Duration) -> Self {
        Self {
            lease: DutyLease::new(terms(guard), now),
            store_lease: 0,
            lease_revision: 0,
            record_revision: 0,
            book: None,
            paused_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            sent_early: None,
            sending: None,
        }
    }
}

struct Run {
    guard: Guard,
    random: StdRng,
    now: Duration,
    store: Store,
    platform: Platform,
    instances: Vec<Instance>,
    next_lease: u64,
}

impl Run {
    fn new(guard: Guard, is_fenced: bool, seed: u64) -> Self {
        let state = StoreState { revision: 1, ..StoreState::default() };
        let store = Store { copy: state.clone(), state, era: 0, leases: Vec::new() };
        let instances = (0..INSTANCES).map(|_| Instance::new(guard, Duration::ZERO)).collect();
        Self {
            guard,
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            store,
            platform: Platform { is_fenced, ..Platform::default() },
            instances,
            next_lease: 0,
        }
    }

    fn chance(&mut self, per_second: f64) -> bool {
        self.random.random_bool(per_second * STEP.as_secs_f64())
    }

    fn span(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(100..max_ms))
    }

    fn run(mut self) -> (Option<String>, usize) {
        while self.now < RUN_TIME {
            self.now += STEP;
            self.fail();
            self.execute_late();
            for number in 0..INSTANCES {
                self.step(number);
            }
        }
        (self.platform.breaks(), self.platform.reports.len())
    }

    fn fail(&mut self) {
        if self.chance(0.5) {
            self.store.copy = self.store.state.clone();
        }
        if self.chance(0.04) {
            self.store.rewind();
        }
        if self.chance(0.1) {
            self.platform.away_until = self.now + self.span(5000);
        }
        for number in 0..INSTANCES {
            if self.chance(0.05) {
                self.instances[number].paused_until = self.now + self.span(4000);
            }
            if self.chance(0.05) {
                self.instances[number].cut_until = self.now + self.span(4000);
            }
            if self.chance(0.03) {
                let sending = self.instances[number].sending.take();
                self.instances[number] = Instance::new(self.guard, self.now);
                // What a killed process sent may still arrive.
                self.instances[number].sending = sending;
            }
        }
    }

    fn execute_late(&mut self) {
        let now = self.now;
        let (due, later) = self.platform.late.drain(..).partition(|(at, ..)| *at <= now);
        self.platform.late = later;
        let due: Vec<(Duration, usize, DutyToken, u64, UsageCounts)> = due;
        for (at, by, token, window, counts) in due {
            self.platform.report(at, by, token, window, &counts);
        }
    }

    fn step(&mut self, number: usize) {
        let now = self.now;
        if now < self.instances[number].paused_until {
            if !self.platform.is_fenced {
                // What a paused process sends when it goes on is excused by the platform.
                self.instances[number].sending = None;
            }
            return;
        }
        self.arrive(number);
        // Each may consider itself the first for a while.
        let place = match self.random.random_range(0..20) {
            0 => 0,
            _ => number,
        };
        let is_cut = now < self.instances[number].cut_until;
        match self.instances[number].lease.step(Some(place), now) {
            LeaseStep::Wait | LeaseStep::Release => {}
            LeaseStep::Look => {
                self.store.expire(now);
                let is_free = !is_cut && self.store.state.item.is_none();
                if !is_cut {
                    self.instances[number].lease.observe_era(self.store.era, now);
                }
                self.instances[number].lease.looked(is_free, place, now);
            }
            LeaseStep::Take => self.take(number, place, is_cut),
            LeaseStep::Renew => self.renew(number, is_cut),
        }
        let token = match self.guard {
            Guard::Wait => self.instances[number].lease.held_token(),
            _ => self.instances[number].lease.token(now),
        };
        if let Some(token) = token {
            self.act(number, token, is_cut);
        }
    }

    fn take(&mut self, number: usize, place: usize, is_cut: bool) {
        let (now, is_lost) = (self.now, self.random.random_bool(0.2));
        if is_cut {
            return self.instances[number].lease.not_taken(place, now);
        }
        self.next_lease += 1;
        let id = self.next_lease;
        self.store.leases.push((id, now + TTL));
        let taken = self.store.take(id, now);
        let era = self.store.era;
        let instance = &mut self.instances[number];
        match taken {
            Some(revision) if !is_lost => {
                instance.lease.taken(revision, era, now, now);
                (instance.store_lease, instance.lease_revision) = (id, revision);
                instance.book = None;
            }
            _ => instance.lease.not_taken(place, now),
        }
    }

    fn renew(&mut self, number: usize, is_cut: bool) {
        let (now, is_lost) = (self.now, self.random.random_bool(0.2));
        let instance = &mut self.instances[number];
        if is_cut || is_lost {
            return instance.lease.not_renewed(now);
        }
        match self.store.renew(instance.store_lease, now) {
            true => instance.lease.renewed(now),
            false => instance.lease.lose(now),
        }
        instance.lease.observe_era(self.store.era, now);
    }

    /// Acts; one that is cut off from the store still reaches the platform.
    fn act(&mut self, number: usize, token: DutyToken, is_cut: bool) {
        let now = self.now;
        let instance = &self.instances[number];
        if instance.sending.is_some() || is_cut && instance.book.is_none() {
            return;
        }
        let (era, current) = (self.store.era, now.as_secs() / WINDOW.as_secs());
        self.store.expire(now);
        let stored = self.store.state.record.clone();
        let instance = &mut self.instances[number];
        if instance.book.is_none() {
            instance.record_revision = stored.as_ref().map_or(0, |(revision, _)| *revision);
            let record = stored.as_ref().map(|(_, record)| record.clone());
            let book = ReportBook::take_over(report_terms(), record, era, current);
            instance.book = Some(book);
        }
        let Some(book) = &mut instance.book else { return };
        let next = book.next_window();
        let ended = now.checked_sub(WINDOW * (next as u32 + 1));
        let coverage = WindowCoverage { is_complete: true, missing_share: 0.0 };
        // No two instances count the same.
        let count = 100 + number as u64 * 10 + now.as_millis() as u64 % 7;
        let counts = || UsageCounts::from([("customers.a".into(), count)]);
        match book.step(ended, coverage, counts) {
            ReportStep::Wait => {}
            ReportStep::Store(record)
                if self.guard == Guard::StoreFirst
                    && instance.sent_early != Some(record.next - 1) =>
            {
                let window = record.next - 1;
                let counts = record.windows[&window].clone();
                instance.sent_early = Some(window);
                instance.sending = Some((now + CALL_TIME / 2, token, window, counts));
            }
            ReportStep::Store(record) if !is_cut => self.store_record(number, &record),
            ReportStep::Store(_) => {}
            ReportStep::Send(window, counts) => {
                let delay = Duration::from_millis(
                    self.random.random_range(0..CALL_TIME.as_millis() as u64),
                );
                self.instances[number].sending = Some((now + delay, token, window, counts));
            }
        }
    }

    fn store_record(&mut self, number: usize, record: &UsageRecord) {
        let (now, is_lost) = (self.now, self.random.random_bool(0.2));
        let (lease, revision) =
            (self.instances[number].lease_revision, self.instances[number].record_revision);
        let written = self.store.write_record(lease, revision, record, now);
        let stored = self.store.state.record.clone();
        let instance = &mut self.instances[number];
        if is_lost {
            return;
        }
        let same = stored.filter(|(_, stored)| stored == record).map(|(revision, _)| revision);
        match written.or(same) {
            Some(revision) => {
                instance.record_revision = revision;
                if let Some(book) = &mut instance.book {
                    book.stored();
                }
            }
            None => instance.lease.lose(now),
        }
    }

    /// A report that was sent arrives, is lost, or is executed late.
    fn arrive(&mut self, number: usize) {
        let now = self.now;
        let Some((at, token, window, counts)) = self.instances[number].sending.clone() else {
            return;
        };
        if now < at {
            return;
        }
        self.instances[number].sending = None;
        if now < self.platform.away_until {
            return;
        }
        let token = if self.guard == Guard::Token { 1 } else { token };
        match self.random.random_range(0..10) {
            // Lost, and executed late; the rule for late calls is the token alone.
            0 if self.guard != Guard::Token && self.platform.is_fenced => {
                let delay = self.span(3000);
                self.platform.late.push((now + delay, number, token, window, counts));
            }
            // The answer is lost.
            1 => drop(self.platform.report(at, number, token, window, &counts)),
            _ => {
                let is_accepted = self.platform.report(at, number, token, window, &counts);
                let instance = &mut self.instances[number];
                match (is_accepted, &mut instance.book) {
                    (true, Some(book)) => book.finished(window),
                    (true, None) => {}
                    (false, _) => instance.lease.lose(now),
                }
            }
        }
    }
}

#[rstest]
#[case::with_fences(true)]
#[case::without_fences(false)]
fn one_instance_at_a_time_acts_under_the_lease(#[case] is_fenced: bool) {
    let mut reports = 0;
    for seed in 0..SEEDS {
        let (broken, count) = Run::new(Guard::None, is_fenced, seed).run();
        assert_eq!(broken, None, "seed {seed}");
        reports += count;
    }
    assert!(reports > SEEDS as usize * 3, "{reports} reports");
}

#[rstest]
#[case::the_margin_for_a_call(Guard::Margin, false)]
#[case::the_write_before_the_report(Guard::StoreFirst, true)]
#[case::the_rise_of_the_token(Guard::Token, true)]
#[case::the_wait_after_an_older_copy(Guard::Wait, true)]
fn the_test_finds_what_breaks_without(#[case] guard: Guard, #[case] is_fenced: bool) {
    let mut seeds = 0..GUARD_SEEDS;
    assert!(seeds.any(|seed| Run::new(guard, is_fenced, seed).run().0.is_some()));
}
