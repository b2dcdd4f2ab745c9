//! Retry decisions for each failure, and that "not run" is reported only with proof.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use coltsfootgate_core::attempt::{
    AttemptFailure, AttemptHistory, FailureCause, FailureStage, RetryConditions,
    UNSENT_ATTEMPTS_MAX,
};
use coltsfootgate_core::prelude::{ErrorKind, RequestOutcome};
use coltsfootgate_core::retry::{
    BACKOFF_MAX, FIRST_BACKOFF, RetryBudget, RetryDecision, RetryReason, backoff,
};
use coltsfootgate_core::stream::StreamPosition;
use proptest::prelude::*;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

const REPEATABLE: (bool, bool) = (true, false);
const CLAIMED: (bool, bool) = (false, true);
const UNKEYED: (bool, bool) = (false, false);

fn conditions((repeatable, claimed): (bool, bool), resumable: bool) -> RetryConditions {
    let deadline = *START + Duration::from_secs(10);
    RetryConditions { repeatable, claimed, resumable, attempts_max: 3, deadline }
}

fn failure(stage: FailureStage, cause: FailureCause) -> AttemptFailure {
    AttemptFailure { stage, cause }
}

fn retry(reason: RetryReason) -> RetryDecision {
    RetryDecision::Retry { delay: Duration::ZERO, reason }
}

fn resume(offset: u64, reason: RetryReason) -> RetryDecision {
    RetryDecision::Resume { offset, delay: Duration::ZERO, reason }
}

/// Columns: name, kind of request, resumable, tokens sent to the caller, failure, decision.
macro_rules! first_failure_cases {
    ($($name:ident: $kind:expr, $resumable:literal, $tokens:literal, $stage:ident $cause:ident => $decision:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut history = AttemptHistory::new(conditions($kind, $resumable));
            assert!(history.begin_attempt().is_ok());
            if $tokens > 0 {
                history.record_relayed($tokens);
            }
            let failed = failure(FailureStage::$stage, FailureCause::$cause);
            let decision = history.handle_failure(failed, *START, &mut RetryBudget::new(0.1), 0.0);
            assert_eq!(decision, $decision);
        })*
    };
}

/// Guards against a stream that is sent from its first event again within one answer.
macro_rules! position_cases {
    ($($name:ident: $position:expr => $decision:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut history = AttemptHistory::new(conditions(REPEATABLE, true));
            assert!(history.begin_attempt().is_ok());
            history.record_relayed(2);
            history.record_position(&$position);
            let failed = failure(FailureStage::PartialAnswer, FailureCause::ConnectionLost);
            let decision = history.handle_failure(failed, *START, &mut RetryBudget::new(0.1), 0.0);
            assert_eq!(decision, $decision);
        })*
    };
}

position_cases! {
    after_a_known_event_a_stream_is_resumed: StreamPosition::After("7".into()) => resume(2, RetryReason::ResumedAfterLoss);
    from_an_unknown_position_no_attempt_goes_on: StreamPosition::Unknown => RetryDecision::End(ErrorKind::AnswerCutShort);
}

first_failure_cases! {
    repeatable_unreachable: REPEATABLE, false, 0, NeverSent Unreachable => retry(RetryReason::Unreachable);
    repeatable_refused: REPEATABLE, false, 0, RefusedBeforeStart Refused => retry(RetryReason::Refused);
    repeatable_lost: REPEATABLE, false, 0, SentNoAnswer ConnectionLost => retry(RetryReason::ConnectionLost);
    repeatable_stalled: REPEATABLE, false, 0, SentNoAnswer Stalled => retry(RetryReason::Stalled);
    repeatable_failed: REPEATABLE, false, 0, SentNoAnswer ErrorAnswer => retry(RetryReason::ErrorAnswer);
    repeatable_wrong_id: REPEATABLE, false, 0, SentNoAnswer WrongId => retry(RetryReason::WrongId);
    repeatable_partial_unrelayed: REPEATABLE, false, 0, PartialAnswer ConnectionLost => retry(RetryReason::ConnectionLost);
    partial_relayed_without_resumption: REPEATABLE, false, 5, PartialAnswer ConnectionLost => RetryDecision::End(ErrorKind::AnswerCutShort);
    partial_relayed_resumed_after_loss: REPEATABLE, true, 5, PartialAnswer ConnectionLost => resume(5, RetryReason::ResumedAfterLoss);
    partial_relayed_resumed_after_stall: REPEATABLE, true, 5, PartialAnswer Stalled => resume(5, RetryReason::ResumedAfterStall);
    partial_relayed_resumed_after_error: REPEATABLE, true, 5, PartialAnswer ErrorAnswer => resume(5, RetryReason::ResumedAfterError);
    claimed_unreachable: CLAIMED, false, 0, NeverSent Unreachable => retry(RetryReason::Unreachable);
    claimed_refused: CLAIMED, false, 0, RefusedBeforeStart Refused => retry(RetryReason::Refused);
    claimed_lost: CLAIMED, false, 0, SentNoAnswer ConnectionLost => RetryDecision::End(ErrorKind::EndpointLost);
    claimed_stalled: CLAIMED, false, 0, SentNoAnswer Stalled => RetryDecision::End(ErrorKind::EndpointStalled);
    claimed_failed: CLAIMED, false, 0, SentNoAnswer ErrorAnswer => RetryDecision::End(ErrorKind::EndpointFailed);
    claimed_partial: CLAIMED, true, 5, PartialAnswer ConnectionLost => RetryDecision::End(ErrorKind::AnswerCutShort);
    unkeyed_unreachable: UNKEYED, false, 0, NeverSent Unreachable => retry(RetryReason::Unreachable);
    unkeyed_refused: UNKEYED, false, 0, RefusedBeforeStart Refused => RetryDecision::End(ErrorKind::EndpointRefused);
    unkeyed_lost: UNKEYED, false, 0, SentNoAnswer ConnectionLost => RetryDecision::End(ErrorKind::EndpointLost);
    unkeyed_wrong_id: UNKEYED, true, 0, SentNoAnswer WrongId => RetryDecision::End(ErrorKind::AnswerMismatched);
}

#[test]
fn a_refusal_after_a_sent_attempt_reports_that_it_may_have_run() {
    let mut history = AttemptHistory::new(conditions(REPEATABLE, false));
    let mut budget = RetryBudget::new(0.1);
    let lost = failure(FailureStage::SentNoAnswer, FailureCause::ConnectionLost);
    let unreachable = failure(FailureStage::NeverSent, FailureCause::Unreachable);
    history.begin_attempt().unwrap();
    history.handle_failure(lost, *START, &mut budget, 0.0);
    history.begin_attempt().unwrap();
    history.handle_failure(unreachable, *START, &mut budget, 0.0);
    assert_eq!(history.refusal_error(ErrorKind::QueueFull), ErrorKind::EndpointLost);
    let mut decision = retry(RetryReason::Unreachable);
    for _ in 0..=UNSENT_ATTEMPTS_MAX {
        assert_eq!(decision, retry(RetryReason::Unreachable));
        history.begin_attempt().unwrap();
        decision = history.handle_failure(unreachable, *START, &mut budget, 0.0);
    }
    assert_eq!(decision, RetryDecision::End(ErrorKind::EndpointLost));
}

/// After an endpoint crash its connections are refused, so nothing is sent. A class that allows one
/// attempt must still reach another endpoint.
#[test]
fn an_unsent_attempt_does_not_count_against_the_limit_of_the_class() {
    let unreachable = failure(FailureStage::NeverSent, FailureCause::Unreachable);
    let once = RetryConditions { attempts_max: 1, ..conditions(UNKEYED, false) };
    let mut history = AttemptHistory::new(once);
    let mut budget = RetryBudget::new(0.1);
    for _ in 0..UNSENT_ATTEMPTS_MAX {
        history.begin_attempt().unwrap();
        let decision = history.handle_failure(unreachable, *START, &mut budget, 0.0);
        assert_eq!(decision, retry(RetryReason::Unreachable));
    }
    history.begin_attempt().unwrap();
    let decision = history.handle_failure(unreachable, *START, &mut budget, 0.0);
    assert_eq!(decision, RetryDecision::End(ErrorKind::RetriesSpent));
}

#[test]
fn an_exhausted_budget_ends_the_request_as_not_run() {
    let mut history = AttemptHistory::new(conditions(REPEATABLE, false));
    history.begin_attempt().unwrap();
    let unreachable = failure(FailureStage::NeverSent, FailureCause::Unreachable);
    let decision = history.handle_failure(unreachable, *START, &mut RetryBudget::new(0.0), 0.0);
    assert_eq!(decision, RetryDecision::End(ErrorKind::RetriesSpent));
}

#[test]
fn no_retry_starts_after_the_deadline() {
    let mut history = AttemptHistory::new(conditions(REPEATABLE, false));
    history.begin_attempt().unwrap();
    let unreachable = failure(FailureStage::NeverSent, FailureCause::Unreachable);
    let late = *START + Duration::from_secs(10);
    let decision = history.handle_failure(unreachable, late, &mut RetryBudget::new(0.1), 0.5);
    assert_eq!(decision, RetryDecision::End(ErrorKind::DeadlinePassed));
}

#[test]
fn the_disconnect_error_depends_on_whether_the_request_was_sent() {
    let mut history = AttemptHistory::new(conditions(REPEATABLE, false));
    assert_eq!(history.disconnect_error(), ErrorKind::CallerLeftWaiting);
    history.begin_attempt().unwrap();
    assert_eq!(history.disconnect_error(), ErrorKind::CallerLeft);
}

#[test]
fn the_backoff_doubles_up_to_its_maximum() {
    assert_eq!(backoff(1, 1.0), FIRST_BACKOFF);
    assert_eq!(backoff(2, 1.0), FIRST_BACKOFF * 2);
    assert_eq!(backoff(2, 0.5), FIRST_BACKOFF);
    assert_eq!(backoff(40, 1.0), BACKOFF_MAX);
}

#[test]
fn the_budget_limits_retries_to_a_share_of_the_requests() {
    let mut budget = RetryBudget::new(0.1);
    while budget.try_spend() {}
    for _ in 0..100 {
        budget.record_request();
    }
    let spent = (0..100).filter(|_| budget.try_spend()).count();
    assert!((9..=10).contains(&spent), "{spent} retries for 100 requests");
}

fn any_failure() -> impl Strategy<Value = AttemptFailure> {
    let causes = prop_oneof![
        Just(FailureCause::ConnectionLost),
        Just(FailureCause::Stalled),
        Just(FailureCause::ErrorAnswer),
        Just(FailureCause::WrongId),
    ];
    prop_oneof![
        Just(failure(FailureStage::NeverSent, FailureCause::Unreachable)),
        Just(failure(FailureStage::RefusedBeforeStart, FailureCause::Refused)),
        causes.clone().prop_map(|cause| failure(FailureStage::SentNoAnswer, cause)),
        causes.prop_map(|cause| failure(FailureStage::PartialAnswer, cause)),
    ]
}

proptest! {
    #[test]
    fn outcomes_match_what_was_sent(
        repeatable: bool,
        claimed: bool,
        resumable: bool,
        failures in prop::collection::vec((any_failure(), 0..3u64), 1..8),
    ) {
        let mut history = AttemptHistory::new(conditions((repeatable, claimed), resumable));
        let mut budget = RetryBudget::new(1.0);
        let (mut sent, mut may_have_run) = (0, false);
        for (failed, relayed) in failures {
            let Ok(permit) = history.begin_attempt() else { break };
            prop_assert_eq!(permit.resume_offset, history.caller_tokens());
            let was_sent = failed.stage != FailureStage::NeverSent;
            let may_run = was_sent && failed.stage != FailureStage::RefusedBeforeStart;
            if failed.stage == FailureStage::PartialAnswer && relayed > 0 {
                history.record_relayed(relayed);
            }
            sent += u32::from(was_sent);
            may_have_run |= may_run;
            match history.handle_failure(failed, *START, &mut budget, 0.0) {
                RetryDecision::End(kind) => {
                    let reports_not_run = kind.outcome() == RequestOutcome::NotRun;
                    prop_assert_eq!(reports_not_run, !may_have_run);
                    break;
                }
                RetryDecision::Resume { offset, .. } => {
                    prop_assert!(repeatable && resumable && offset > 0);
                }
                RetryDecision::Retry { .. } => {
                    prop_assert!(repeatable || !may_have_run);
                    prop_assert_eq!(history.caller_tokens(), 0);
                }
            }
        }
        if !repeatable && !claimed {
            prop_assert!(sent <= 1);
        }
    }
}
