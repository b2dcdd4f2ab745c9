//! Detects endpoints that are slower than their pool or unreachable, and restores them by probes.

use std::time::{Duration, Instant};

use super::event::ReleaseResult;

/// Ratio to the pool's time between tokens above which an answer counts as slow.
const SLOW_RATIO: f64 = 2.0;
/// Ratio to the pool's time between tokens below which an answer counts as good.
const RECOVERED_RATIO: f64 = 1.5;
/// Consecutive slow answers after which an endpoint's state worsens.
const SLOW_ANSWER_THRESHOLD: u32 = 4;
/// Consecutive good answers after which an endpoint's state improves.
const GOOD_ANSWER_THRESHOLD: u32 = 3;
/// Consecutive failed answers after which an endpoint is ejected.
const FAILED_ANSWER_THRESHOLD: u32 = 3;
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
    slow_answers: u32,
    good_answers: u32,
    failed_answers: u32,
    probe_interval: Duration,
    next_probe: Option<Instant>,
    has_changed: bool,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            state: EndpointState::Healthy,
            slow_answers: 0,
            good_answers: 0,
            failed_answers: 0,
            probe_interval: PROBE_INTERVAL,
            next_probe: None,
            has_changed: false,
        }
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

    /// The number of `slots` that may be used in the current state.
    pub fn allowed_slots(&self, slots: u32, now: Instant) -> u32 {
        match self.state {
            EndpointState::Healthy => slots,
            EndpointState::Reduced => (slots / 2).max(1),
            EndpointState::Probing => u32::from(self.is_probe_due(now)),
            EndpointState::Ejected => 0,
        }
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
            ReleaseResult::Completed => self.failed_answers = 0,
            ReleaseResult::Cancelled | ReleaseResult::NotSent | ReleaseResult::Refused => {}
            ReleaseResult::ConnectFailed | ReleaseResult::Silent => self.eject(now),
            ReleaseResult::ConnectionLost | ReleaseResult::Failed => {
                self.failed_answers += 1;
                if self.failed_answers >= FAILED_ANSWER_THRESHOLD {
                    self.eject(now);
                }
            }
        }
    }

    /// Records the time between tokens of an answer, compared with the pool's.
    pub fn record_token_time(&mut self, token_time: Duration, pool: Duration, now: Instant) {
        let ratio = token_time.as_secs_f64() / pool.as_secs_f64().max(f64::EPSILON);
        if ratio > SLOW_RATIO {
            self.slow_answers += 1;
            self.good_answers = 0;
        } else if ratio < RECOVERED_RATIO {
            self.good_answers += 1;
            self.slow_answers = 0;
        }
        self.update_state(now);
    }

    /// Records a complete answer whose time between tokens cannot be compared with the pool's.
    pub fn record_completion(&mut self, now: Instant) {
        self.good_answers += 1;
        self.slow_answers = 0;
        self.update_state(now);
    }

    fn update_state(&mut self, now: Instant) {
        match self.state {
            EndpointState::Healthy if self.slow_answers >= SLOW_ANSWER_THRESHOLD => {
                self.enter(EndpointState::Reduced);
            }
            EndpointState::Reduced if self.slow_answers >= SLOW_ANSWER_THRESHOLD => {
                self.enter(EndpointState::Probing);
                self.next_probe = Some(now + self.probe_interval);
            }
            EndpointState::Probing if self.slow_answers > 0 => self.back_off(now),
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
        self.state = state;
        self.slow_answers = 0;
        self.good_answers = 0;
        self.failed_answers = 0;
        self.next_probe = None;
    }

    fn back_off(&mut self, now: Instant) {
        self.slow_answers = 0;
        self.probe_interval = (self.probe_interval * 2).min(PROBE_INTERVAL_MAX);
        self.next_probe = Some(now + self.probe_interval);
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        self.next_probe.is_none_or(|due| due <= now)
    }
}
