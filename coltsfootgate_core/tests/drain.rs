//! Tests which requests an instance that shuts down still sends, by the time that is left and the time that
//! answers take.

use std::time::{Duration, Instant};

use coltsfootgate_core::attempt::{
    AttemptFailure, AttemptHistory, FailureCause, FailureStage, RetryConditions,
};
use coltsfootgate_core::comeback::retry_after_delay;
use coltsfootgate_core::drain::{AnswerTimes, CutCost, DrainSchedule};
use coltsfootgate_core::prelude::*;
use coltsfootgate_core::retry::{RetryBudget, RetryDecision};
use rstest::rstest;

const GRACE_TIME: Duration = Duration::from_secs(8);
const FALLBACK: Duration = Duration::from_secs(2);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[rstest]
#[case::short_answer_at_once(0.0, 1.5, true)]
#[case::short_answer_late(6.5, 1.5, false)]
#[case::long_answer_at_once(0.0, 11.0, false)]
#[case::answer_that_just_ends(6.0, 1.1, true)]
fn only_answers_that_end_in_time_are_started(
    #[case] after: f64,
    #[case] needed_time: f64,
    #[case] is_allowed: bool,
) {
    let now = Instant::now();
    let schedule = DrainSchedule::new(now, GRACE_TIME);
    let (start, needed_time) = (now + seconds(after), seconds(needed_time));
    assert_eq!(schedule.allows_start(start, needed_time), is_allowed);
    let latest = schedule.latest_start(needed_time, start);
    assert_eq!(latest > start, is_allowed);
    assert!(latest <= schedule.answers_by.max(start));
}

/// Callers must be able to read the last answers before the process exits, and the supervisor must not need
/// to kill it.
#[test]
fn the_last_answers_precede_the_exit_and_the_exit_the_end_of_the_grace_time() {
    let now = Instant::now();
    let schedule = DrainSchedule::new(now, GRACE_TIME);
    assert!(schedule.answers_by < schedule.exits_by);
    assert!(schedule.exits_by < now + GRACE_TIME);
}

#[test]
fn the_needed_time_follows_recent_answers_and_what_a_cut_costs() {
    let class = ClassId::from("classes.chat");
    let mut times = AnswerTimes::default();
    assert_eq!(times.needed(&class, CutCost::Wait, FALLBACK), FALLBACK);
    for round in 0..200 {
        times.record(&class, seconds(1.0 + 0.1 * f64::from(round * 7 % 10)));
    }
    let few = times.needed(&class, CutCost::Wait, FALLBACK);
    assert!((seconds(0.8)..seconds(1.1)).contains(&few), "{few:?}");
    let almost_all = times.needed(&class, CutCost::UnknownOutcome, FALLBACK);
    assert!((seconds(1.8)..seconds(2.2)).contains(&almost_all), "{almost_all:?}");
    for _ in 0..30 {
        times.record(&class, seconds(0.2));
    }
    assert!(times.needed(&class, CutCost::UnknownOutcome, FALLBACK) < seconds(0.5));
}

fn history(repeatable: bool) -> AttemptHistory {
    AttemptHistory::new(RetryConditions {
        repeatable,
        claimed: false,
        resumable: false,
        attempts_max: 3,
        deadline: Instant::now() + seconds(60.0),
    })
}

/// "Not run" only with proof, and no repeat in a process that ends.
#[rstest]
#[case::not_sent(FailureStage::NeverSent, ErrorKind::InstanceLeaving)]
#[case::sent(FailureStage::SentNoAnswer, ErrorKind::InstanceStopped)]
#[case::answer_begun(FailureStage::PartialAnswer, ErrorKind::InstanceStopped)]
fn an_attempt_that_the_process_ends_is_not_repeated(
    #[case] stage: FailureStage,
    #[case] kind: ErrorKind,
    #[values(false, true)] repeatable: bool,
) {
    let mut history = history(repeatable);
    history.begin_attempt().unwrap();
    let failure = AttemptFailure { stage, cause: FailureCause::ProcessEnding };
    let mut budget = RetryBudget::new(1.0);
    let decision = history.handle_failure(failure, Instant::now(), &mut budget, 0.5);
    assert_eq!(decision, RetryDecision::End(kind));
    let is_proven = stage == FailureStage::NeverSent;
    assert_eq!(kind.outcome() == RequestOutcome::NotRun, is_proven);
}

/// The queue of a leaving instance says nothing about the others, which serve its callers.
#[test]
fn callers_of_a_leaving_instance_may_come_back_at_once() {
    let delay = retry_after_delay(ErrorKind::InstanceLeaving, seconds(9.0), 1.0);
    assert!(delay < seconds(0.1), "{delay:?}");
}
