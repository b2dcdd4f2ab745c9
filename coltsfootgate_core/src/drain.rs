//! Decides what an instance that shuts down still sends to endpoints.
//!
//! Load pattern: requests wait for a slot, arrive or run while the grace time of the process passes, and
//! the answers of some classes take longer than what is left of it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::ClassId;

/// Share of the grace time after which every request has its final answer, so that callers can read it
/// before the process exits.
const ANSWER_SHARE: f64 = 0.92;
/// Share of the grace time after which the process exits, since a supervisor may kill it once all of that
/// time has passed.
const EXIT_SHARE: f64 = 0.95;
/// Number of mean deviations from the average between which almost all answers of a class end.
const CERTAIN_DEVIATIONS: f64 = 2.0;
/// Weight of a new answer in the averages of its class.
const ANSWER_WEIGHT: f64 = 0.2;

/// The times at which a shutdown ends what is still in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSchedule {
    /// When the last requests get their final answers.
    pub answers_by: Instant,
    /// When the process exits, whatever is still open.
    pub exits_by: Instant,
}

impl DrainSchedule {
    /// Creates the schedule of a shutdown that starts at `now` and may take `grace_time`.
    pub fn new(now: Instant, grace_time: Duration) -> Self {
        Self {
            answers_by: now + grace_time.mul_f64(ANSWER_SHARE),
            exits_by: now + grace_time.mul_f64(EXIT_SHARE),
        }
    }

    /// The time until the last requests get their final answers.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.answers_by.saturating_duration_since(now)
    }

    /// Whether a request that needs `needed_time` may be sent at `start`.
    pub fn allows_start(&self, start: Instant, needed_time: Duration) -> bool {
        start + needed_time <= self.answers_by
    }

    /// The latest time at which a request that needs `needed_time` may be sent; `now` if that has passed.
    pub fn latest_start(&self, needed_time: Duration, now: Instant) -> Instant {
        self.answers_by.checked_sub(needed_time).map_or(now, |latest| latest.max(now))
    }
}

/// What it costs a caller if the answer to its request is cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutCost {
    /// Time: the caller has a part of the answer, or may send the request again. Such a request is sent unless its
    /// answer almost certainly does not end, since elsewhere it may have to wait for a slot once more.
    Wait,
    /// The caller does not learn whether its request, which must not run twice, has run. Such a request is sent only
    /// if its answer almost certainly ends.
    UnknownOutcome,
}

/// How long the recent answers of each class took, from the sending of the request to the end of the answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    classes: HashMap<ClassId, ClassTimes>,
}

/// Moving averages over the answers of one class, in seconds.
#[derive(Clone, Copy, Debug)]
struct ClassTimes {
    mean: f64,
    deviation: f64,
}

impl AnswerTimes {
    /// Records the time of a complete answer.
    pub fn record(&mut self, class: &ClassId, time: Duration) {
        let sample = time.as_secs_f64();
        match self.classes.get_mut(class) {
            Some(times) => times.record(sample),
            None => {
                let times = ClassTimes { mean: sample, deviation: sample / 2.0 };
                self.classes.insert(class.clone(), times);
            }
        }
    }

    /// The time that must be left for a request of a class to be sent; `fallback` if no answer was recorded.
    pub fn needed(&self, class: &ClassId, cut: CutCost, fallback: Duration) -> Duration {
        let Some(times) = self.classes.get(class) else { return fallback };
        let seconds = match cut {
            CutCost::Wait => times.mean - CERTAIN_DEVIATIONS * times.deviation,
            CutCost::UnknownOutcome => times.mean + CERTAIN_DEVIATIONS * times.deviation,
        };
        Duration::from_secs_f64(seconds.max(0.0))
    }
}

impl ClassTimes {
    fn record(&mut self, sample: f64) {
        let error = sample - self.mean;
        self.mean += error * ANSWER_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * ANSWER_WEIGHT;
    }
}
