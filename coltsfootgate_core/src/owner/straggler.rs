//! Finds endpoints that are slow against their pool or gone, and lets them come back by probes.

use std::time::{Duration, Instant};

use super::event::ReleaseResult;

/// Ratio to the pool's time between tokens above which an endpoint is a straggler.
const SLOW_RATIO: f64 = 2.0;
/// Ratio to the pool's time between tokens below which it has recovered.
const RECOVERED_RATIO: f64 = 1.5;
/// Slow answers in a row after which an endpoint is judged anew.
const SLOW_ANSWERS: u32 = 4;
/// Good answers in a row after which an endpoint is trusted more.
const GOOD_ANSWERS: u32 = 3;
/// Failed answers in a row after which an endpoint gets only probes.
const FAILED_ANSWERS: u32 = 3;
/// Time to the first probe; it doubles with each failed one.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two probes.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(4);

/// How far an endpoint is trusted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// It gets all the work its slots allow.
    Healthy,
    /// It is slower than its pool and gets half of that.
    Reduced,
    /// It gets one request at a time, and only now and then.
    Probing,
    /// It does not answer and gets no work until a probe succeeds.
    Ejected,
}

impl EndpointState {
    /// The name used on status pages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::Reduced => "reduced",
            Self::Probing => "probing",
            Self::Ejected => "ejected",
        }
    }
}

/// The state of one endpoint, driven by what answers showed.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    state: EndpointState,
    slow: u32,
    good: u32,
    failed: u32,
    interval: Duration,
    next_probe: Option<Instant>,
    has_changed: bool,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            state: EndpointState::Healthy,
            slow: 0,
            good: 0,
            failed: 0,
            interval: PROBE_INTERVAL,
            next_probe: None,
            has_changed: false,
        }
    }
}

impl EndpointHealth {
    /// The present state.
    pub fn state(&self) -> EndpointState {
        self.state
    }

    /// When the next probe is due, if the endpoint gets only probes.
    pub fn next_probe(&self) -> Option<Instant> {
        self.next_probe
    }

    /// How many requests the endpoint may run at once now, out of its slots.
    pub fn allowance(&self, slots: u32, now: Instant) -> u32 {
        match self.state {
            EndpointState::Healthy => slots,
            EndpointState::Reduced => (slots / 2).max(1),
            EndpointState::Probing => u32::from(self.is_probe_due(now)),
            EndpointState::Ejected => 0,
        }
    }

    /// Whether an ejected endpoint should be probed now; puts the next probe off.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        if !self.is_probe_due(now) {
            return false;
        }
        let is_ejected = self.state == EndpointState::Ejected;
        self.next_probe = is_ejected.then(|| now + self.interval);
        is_ejected
    }

    /// Notes that a probing endpoint was given a request.
    pub fn granted(&mut self, now: Instant) {
        if self.state == EndpointState::Probing {
            self.next_probe = Some(now + self.interval);
        }
    }

    /// Notes whether an ejected endpoint answered a probe.
    pub fn probed(&mut self, alive: bool, now: Instant) {
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

    /// Notes how an answer ended.
    pub fn ended(&mut self, result: ReleaseResult, now: Instant) {
        match result {
            ReleaseResult::Completed => self.failed = 0,
            ReleaseResult::Cancelled | ReleaseResult::NotSent | ReleaseResult::Refused => {}
            ReleaseResult::ConnectFailed | ReleaseResult::Silent => self.eject(now),
            ReleaseResult::Failed => {
                self.failed += 1;
                if self.failed >= FAILED_ANSWERS {
                    self.eject(now);
                }
            }
        }
    }

    /// Notes the speed of an answer against the pool's.
    pub fn measured(&mut self, token_time: Duration, pool: Duration, now: Instant) {
        let ratio = token_time.as_secs_f64() / pool.as_secs_f64().max(f64::EPSILON);
        if ratio > SLOW_RATIO {
            self.slow += 1;
            self.good = 0;
        } else if ratio < RECOVERED_RATIO {
            self.good += 1;
            self.slow = 0;
        }
        self.judge(now);
    }

    /// Notes a whole answer whose speed cannot be compared.
    pub fn completed(&mut self, now: Instant) {
        self.good += 1;
        self.slow = 0;
        self.judge(now);
    }

    fn judge(&mut self, now: Instant) {
        match self.state {
            EndpointState::Healthy if self.slow >= SLOW_ANSWERS => {
                self.enter(EndpointState::Reduced);
            }
            EndpointState::Reduced if self.slow >= SLOW_ANSWERS => {
                self.enter(EndpointState::Probing);
                self.next_probe = Some(now + self.interval);
            }
            EndpointState::Probing if self.slow > 0 => self.back_off(now),
            EndpointState::Probing if self.good >= GOOD_ANSWERS => {
                self.enter(EndpointState::Reduced);
            }
            EndpointState::Probing if self.good > 0 => self.next_probe = Some(now),
            EndpointState::Reduced if self.good >= GOOD_ANSWERS => {
                self.enter(EndpointState::Healthy);
                self.interval = PROBE_INTERVAL;
            }
            _ => {}
        }
    }

    fn eject(&mut self, now: Instant) {
        if self.state == EndpointState::Ejected {
            return;
        }
        self.enter(EndpointState::Ejected);
        self.next_probe = Some(now + self.interval);
    }

    /// The state, if it is another one than at the last call.
    pub fn take_change(&mut self) -> Option<EndpointState> {
        std::mem::take(&mut self.has_changed).then_some(self.state)
    }

    fn enter(&mut self, state: EndpointState) {
        self.has_changed = true;
        self.state = state;
        self.slow = 0;
        self.good = 0;
        self.failed = 0;
        self.next_probe = None;
    }

    fn back_off(&mut self, now: Instant) {
        self.slow = 0;
        self.interval = (self.interval * 2).min(PROBE_INTERVAL_MAX);
        self.next_probe = Some(now + self.interval);
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        self.next_probe.is_none_or(|due| due <= now)
    }
}
