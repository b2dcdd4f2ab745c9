//! Detects endpoints that are slower than their pool or unreachable, and restores them by their answers.
//!
//! Load pattern: two or three sound replicas of a plain service, whose answers have a long tail and come slower for
//! moments, while a hundred requests wait. What the tail explains is no fault; and what is restricted is used while no
//! other endpoint has a free slot.

use std::time::{Duration, Instant};

use super::event::ReleaseResult;
use super::pace::OpeningPace;

/// Ratio to the pool's time between tokens above which an endpoint counts as slow.
const SLOW_RATIO: f64 = 2.0;
/// Ratio to the pool's time between tokens below which an answer counts as good.
const RECOVERED_RATIO: f64 = 1.5;
/// Consecutive slow answers without which an endpoint does not count as slow.
const SLOW_ANSWERS_MIN: u32 = 4;
/// Consecutive good answers after which an endpoint's state improves.
const GOOD_ANSWER_THRESHOLD: u32 = 3;
/// Consecutive lost connections after which an endpoint is ejected.
const LOST_ANSWER_THRESHOLD: u32 = 3;
/// Time to the first probe; it doubles with each failed or slow one.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two probes.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(4);

/// The health state of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// All slots may be used.
    Healthy,
    /// The endpoint is slower than its pool; half of its slots may be used.
    Reduced,
    /// One request at a time is sent as a probe, whenever the next probe is due.
    Probing,
    /// The endpoint fails or is unreachable; no requests are sent until a probe succeeds.
    Ejected,
}

impl EndpointState {
    /// The name of the state in logs and on status pages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::Reduced => "reduced",
            Self::Probing => "probing",
            Self::Ejected => "ejected",
        }
    }
}

/// The health of one endpoint, driven by the results and speeds of its answers.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    state: EndpointState,
    slowness: Slowness,
    /// How far the endpoint is open since it started or recovered.
    pace: OpeningPace,
    good_answers: u32,
    lost_answers: u32,
    /// Whether the endpoint was ejected before its present state.
    was_ejected: bool,
    probe_interval: Duration,
    next_probe: Option<Instant>,
    has_changed: bool,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            state: EndpointState::Healthy,
            slowness: Slowness::default(),
            pace: OpeningPace::default(),
            good_answers: 0,
            lost_answers: 0,
            was_ejected: false,
            probe_interval: PROBE_INTERVAL,
            next_probe: None,
            has_changed: false,
        }
    }
}

/// Moving mean of the ratio of an endpoint's answers to those of its pool, with their spread.
#[derive(Clone, Copy, Debug)]
struct Slowness {
    mean: f64,
    variance: f64,
    answers: u32,
    /// Consecutive answers above [`SLOW_RATIO`], up to now.
    slow_run: u32,
    updated: Option<Instant>,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { mean: 1.0, variance: 0.0, answers: 0, slow_run: 0, updated: None }
    }
}

impl Slowness {
    /// Least weight of one answer; the first ones weigh more.
    const WEIGHT_MIN: f64 = 1.0 / 8.0;
    /// Largest ratio that an answer counts with: one answer alone shows little.
    const RATIO_MAX: f64 = 8.0;
    /// Standard errors by which the mean must exceed [`SLOW_RATIO`].
    const CONFIDENCE: f64 = 1.5;

    /// Smallest excess that counts, so that a slow endpoint is tried again.
    const EXCESS_MIN: f64 = 0.5;
    /// Time constant with which a slow endpoint is forgotten while it gets no request.
    const DECAY_TIME: Duration = Duration::from_secs(1);

    fn record(&mut self, ratio: f64, now: Instant) {
        self.updated = Some(now);
        self.slow_run = if ratio > SLOW_RATIO { self.slow_run.saturating_add(1) } else { 0 };
        let (weight, deviation) = (self.weight(), ratio.min(Self::RATIO_MAX) - self.mean);
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation.powi(2));
        self.answers = self.answers.saturating_add(1);
    }

    /// By how much the mean exceeds what counts as good; less the longer ago the last answer was.
    fn excess(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = (-age.as_secs_f64() / Self::DECAY_TIME.as_secs_f64()).exp();
        let excess = (self.mean - RECOVERED_RATIO) * decay;
        if excess < Self::EXCESS_MIN { 0.0 } else { excess }
    }

    /// The weight of the next answer; the state before any answer counts as one.
    fn weight(&self) -> f64 {
        Self::WEIGHT_MIN.max(1.0 / f64::from(self.answers.saturating_add(2)))
    }

    /// Whether the last answers were slow, and all together slower than their own spread explains.
    fn is_slow(&self) -> bool {
        let weight = self.weight();
        let error = (self.variance * weight / (2.0 - weight)).sqrt();
        self.slow_run >= SLOW_ANSWERS_MIN && self.mean - Self::CONFIDENCE * error > SLOW_RATIO
    }
}

impl EndpointHealth {
    /// The current state.
    pub fn state(&self) -> EndpointState {
        self.state
    }

    /// When the next probe is due, if the endpoint is probing or ejected.
    pub fn next_probe(&self) -> Option<Instant> {
        self.next_probe
    }

    /// The number of `slots` that may be used in the current state. While no other endpoint has a free slot
    /// (`is_pressed`), one that is only slow is used more: the others can't carry what is taken away from it.
    pub fn allowed_slots(&self, slots: u32, is_pressed: bool, now: Instant) -> u32 {
        match self.state {
            EndpointState::Healthy => self.pace.allowed(slots, is_pressed),
            EndpointState::Reduced if is_pressed => slots,
            EndpointState::Reduced => (slots / 2).max(1),
            EndpointState::Probing if is_pressed && !self.was_ejected => (slots / 2).max(1),
            EndpointState::Probing => u32::from(self.is_probe_due(now)),
            EndpointState::Ejected => 0,
        }
    }

    /// By how much the endpoint's ratio to the pool exceeds that of a good one.
    pub fn excess_slowness(&self, now: Instant) -> f64 {
        self.slowness.excess(now)
    }

    /// Whether no slot is withheld.
    pub fn is_fully_open(&self) -> bool {
        self.state == EndpointState::Healthy && self.pace.is_open()
    }

    /// Whether one request at a time may be sent.
    pub fn is_single(&self, is_pressed: bool) -> bool {
        self.state == EndpointState::Probing && (!is_pressed || self.was_ejected)
    }

    /// Opens the endpoint by its answers, since it has just started beside others that serve.
    pub fn start_opening(&mut self) {
        self.pace = OpeningPace::first();
    }

    /// Records that a request began to run at an endpoint with so many slots.
    pub fn record_first_token(&mut self, slots: u32) {
        self.pace.record_good(slots);
    }

    /// Whether an ejected endpoint is due for a probe; if so, schedules the next one. In any other
    /// state, a time that has passed is cleared.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        if !self.is_probe_due(now) {
            return false;
        }
        let is_ejected = self.state == EndpointState::Ejected;
        self.next_probe = is_ejected.then(|| now + self.probe_interval);
        is_ejected
    }

    /// Records a grant; in the probing state, the request serves as a probe.
    pub fn record_grant(&mut self, now: Instant) {
        if self.state == EndpointState::Probing {
            self.next_probe = Some(now + self.probe_interval);
        }
    }

    /// Records whether an ejected endpoint responded to a probe.
    pub fn record_probe(&mut self, alive: bool, now: Instant) {
        if self.state != EndpointState::Ejected {
            return;
        }
        if alive {
            self.enter(EndpointState::Probing);
            self.next_probe = Some(now);
        } else {
            self.back_off(now);
        }
    }

    /// Records how an answer ended.
    pub fn record_result(&mut self, result: ReleaseResult, now: Instant) {
        match result {
            ReleaseResult::Completed => self.lost_answers = 0,
            ReleaseResult::Cancelled | ReleaseResult::NotSent | ReleaseResult::Refused => {}
            ReleaseResult::ConnectFailed | ReleaseResult::Silent => self.eject(now),
            ReleaseResult::Failed => self.pace.record_bad(),
            ReleaseResult::ConnectionLost => {
                self.pace.record_bad();
                self.lost_answers += 1;
                if self.lost_answers >= LOST_ANSWER_THRESHOLD {
                    self.eject(now);
                }
            }
        }
    }

    /// Records that the endpoint fails far more often than the others of its pool.
    pub fn record_excess_failures(&mut self, now: Instant) {
        self.eject(now);
    }

    /// Records the time between tokens of an answer of an endpoint with so many slots, compared with the pool's.
    pub fn record_token_time(
        &mut self,
        token_time: Duration,
        pool: Duration,
        slots: u32,
        now: Instant,
    ) {
        let ratio = token_time.as_secs_f64() / pool.as_secs_f64().max(f64::EPSILON);
        self.slowness.record(ratio, now);
        let is_slow = ratio > SLOW_RATIO;
        if is_slow {
            self.good_answers = 0;
            self.pace.record_bad();
        } else if ratio < RECOVERED_RATIO {
            self.good_answers += 1;
            self.pace.record_good(slots);
        }
        self.update_state(is_slow, now);
    }

    /// Records a complete answer of an endpoint with so many slots whose time between tokens cannot be compared with
    /// the pool's.
    pub fn record_completion(&mut self, slots: u32, now: Instant) {
        self.good_answers += 1;
        self.pace.record_good(slots);
        self.update_state(false, now);
    }

    fn update_state(&mut self, is_slow: bool, now: Instant) {
        match self.state {
            EndpointState::Healthy if self.slowness.is_slow() => {
                self.enter(EndpointState::Reduced);
            }
            EndpointState::Reduced if self.slowness.is_slow() => {
                self.enter(EndpointState::Probing);
                self.next_probe = Some(now + self.probe_interval);
            }
            EndpointState::Probing if is_slow => self.back_off(now),
            EndpointState::Probing if self.was_ejected && self.good_answers > 0 => {
                self.enter(EndpointState::Healthy);
                self.pace = OpeningPace::first();
                self.pace.record_good(u32::MAX);
                self.probe_interval = PROBE_INTERVAL;
            }
            EndpointState::Probing if self.good_answers >= GOOD_ANSWER_THRESHOLD => {
                self.enter(EndpointState::Reduced);
            }
            EndpointState::Probing if self.good_answers > 0 => self.next_probe = Some(now),
            EndpointState::Reduced if self.good_answers >= GOOD_ANSWER_THRESHOLD => {
                self.enter(EndpointState::Healthy);
                self.probe_interval = PROBE_INTERVAL;
            }
            _ => {}
        }
    }

    fn eject(&mut self, now: Instant) {
        if self.state == EndpointState::Ejected {
            return;
        }
        self.enter(EndpointState::Ejected);
        self.next_probe = Some(now + self.probe_interval);
    }

    /// The state, if it changed since the last call.
    pub fn take_change(&mut self) -> Option<EndpointState> {
        std::mem::take(&mut self.has_changed).then_some(self.state)
    }

    fn enter(&mut self, state: EndpointState) {
        self.has_changed = true;
        self.was_ejected = self.state == EndpointState::Ejected;
        self.state = state;
        self.slowness = Slowness::default();
        self.good_answers = 0;
        self.lost_answers = 0;
        self.next_probe = None;
    }

    fn back_off(&mut self, now: Instant) {
        self.probe_interval = (self.probe_interval * 2).min(PROBE_INTERVAL_MAX);
        self.next_probe = Some(now + self.probe_interval);
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        self.next_probe.is_none_or(|due| due <= now)
    }
}
