//! Tracks the attempts of one request and decides whether another one may be sent.
//!
//! A request that is not repeatable must not run twice, and an error must not claim that a request
//! did not run unless every attempt proves it.

use std::time::Instant;

use crate::outcome::RequestOutcome;
use crate::reason::ErrorKind;
use crate::retry::{RetryBudget, RetryDecision, RetryReason, backoff};
use crate::stream::StreamPosition;

/// Additional attempts that a request may make beyond the limit of its class if nothing was sent.
pub const UNSENT_ATTEMPTS_MAX: u32 = 2;

/// How far an attempt had progressed when it failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureStage {
    /// No byte of the request left this instance.
    NeverSent,
    /// The endpoint refused the request and proved that it had not started it.
    RefusedBeforeStart,
    /// The request was sent in whole or in part, and no usable answer was received.
    SentNoAnswer,
    /// A part of the answer was received.
    PartialAnswer,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureCause {
    /// No connection could be opened, or none became available in time.
    Unreachable,
    /// The endpoint refused the request.
    Refused,
    /// The connection was lost.
    ConnectionLost,
    /// The endpoint stopped sending data.
    Stalled,
    /// The endpoint answered with an error.
    ErrorAnswer,
    /// The answer carried the id of another request.
    WrongId,
    /// This process ends before the attempt did.
    ProcessEnding,
}

/// The failure of one attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AttemptFailure {
    /// How far the attempt had progressed.
    pub stage: FailureStage,
    /// Why it failed.
    pub cause: FailureCause,
}

/// The conditions under which a request may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryConditions {
    /// Whether the request may run more than once; false if either class or caller forbids it.
    pub repeatable: bool,
    /// Whether a claim is held on its idempotency key.
    pub claimed: bool,
    /// Whether an interrupted answer can be resumed: it is streamed, and class and pool allow it.
    pub resumable: bool,
    /// Maximum number of attempts, including the first.
    pub attempts_max: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Permission to send a request once, issued only by [`AttemptHistory::begin_attempt`].
#[derive(Debug, Eq, PartialEq)]
pub struct SendPermit {
    /// Tokens that the caller already has and the endpoint must skip.
    pub resume_offset: u64,
}

/// The state of one request across all of its attempts.
#[derive(Debug)]
pub struct AttemptHistory {
    conditions: RetryConditions,
    /// Attempts started.
    attempts: u32,
    /// Attempts started, without those that failed before any byte was sent.
    sends: u32,
    caller_tokens: u64,
    caller_has_bytes: bool,
    /// Whether bytes were forwarded after which no endpoint could go on.
    is_position_unknown: bool,
    /// Set once an attempt may have run: the error that reports it.
    may_have_run: Option<ErrorKind>,
    attempt_running: bool,
}

impl AttemptHistory {
    /// Creates the history of a request without attempts.
    pub fn new(conditions: RetryConditions) -> Self {
        Self {
            conditions,
            attempts: 0,
            sends: 0,
            caller_tokens: 0,
            caller_has_bytes: false,
            is_position_unknown: false,
            may_have_run: None,
            attempt_running: false,
        }
    }

    /// The number of attempts started.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The number of tokens sent to the caller.
    pub fn caller_tokens(&self) -> u64 {
        self.caller_tokens
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Fails if the request is not repeatable and an earlier attempt may have run, or was sent
    /// without a claim on the idempotency key.
    pub fn begin_attempt(&mut self) -> Result<SendPermit, ErrorKind> {
        if !self.may_send() {
            return Err(self.may_have_run.unwrap_or(ErrorKind::EndpointRefused));
        }
        self.attempts += 1;
        self.sends += 1;
        self.attempt_running = true;
        Ok(SendPermit { resume_offset: self.caller_tokens })
    }

    fn may_send(&self) -> bool {
        if self.conditions.repeatable {
            return true;
        }
        let may_be_running = self.may_have_run.is_some() || self.attempt_running;
        !may_be_running && (self.conditions.claimed || self.sends == 0)
    }

    /// Whether the running attempt may be abandoned in favour of another one.
    pub fn may_abandon(&self) -> bool {
        self.conditions.repeatable && !self.caller_has_bytes && !self.attempts_exhausted()
    }

    /// Records that bytes of an answer, containing this many tokens, were sent to the caller.
    pub fn record_relayed(&mut self, tokens: u64) {
        self.caller_has_bytes = true;
        self.caller_tokens += tokens;
    }

    /// Records where in the answer the caller is; from an unknown position no attempt goes on.
    pub fn record_position(&mut self, position: &StreamPosition) {
        self.is_position_unknown = *position == StreamPosition::Unknown;
    }

    /// Ends the running attempt with a failure and decides whether to retry, resume or end.
    ///
    /// `random` lies between 0 and 1 and sets the jitter of the delay.
    pub fn handle_failure(
        &mut self,
        failure: AttemptFailure,
        now: Instant,
        budget: &mut RetryBudget,
        random: f64,
    ) -> RetryDecision {
        let kind = self.record_failure(failure);
        if !self.may_send() || failure.cause == FailureCause::ProcessEnding {
            return RetryDecision::End(kind);
        }
        let resuming = self.caller_has_bytes;
        if resuming && !self.can_resume() {
            return RetryDecision::End(kind);
        }
        if self.attempts_exhausted() || !budget.try_spend() {
            return RetryDecision::End(self.exhausted_error(failure.stage));
        }
        let delay = backoff(self.attempts, random);
        if now + delay >= self.conditions.deadline {
            return RetryDecision::End(self.deadline_error(failure.stage));
        }
        if resuming {
            let reason = RetryReason::for_resumption(failure.cause);
            return RetryDecision::Resume { offset: self.caller_tokens, delay, reason };
        }
        RetryDecision::Retry { delay, reason: RetryReason::for_retry(failure) }
    }

    /// Whether an answer of which the caller has a part can be continued by another attempt.
    fn can_resume(&self) -> bool {
        self.conditions.resumable && self.caller_tokens > 0 && !self.is_position_unknown
    }

    /// Whether no attempt is left; attempts of which nothing was sent count only towards the
    /// extended limit.
    fn attempts_exhausted(&self) -> bool {
        self.sends >= self.conditions.attempts_max
            || self.attempts >= self.conditions.attempts_max + UNSENT_ATTEMPTS_MAX
    }

    /// Records whether the request may have run and returns the error to report for it.
    fn record_failure(&mut self, failure: AttemptFailure) -> ErrorKind {
        self.attempt_running = false;
        match failure.stage {
            FailureStage::NeverSent => self.sends = self.sends.saturating_sub(1),
            FailureStage::RefusedBeforeStart => {}
            FailureStage::SentNoAnswer | FailureStage::PartialAnswer => {
                self.may_have_run = Some(started_error(failure));
            }
        }
        // Once the caller has a part of the answer, the request ran partially, regardless of how
        // later attempts end.
        if self.caller_has_bytes {
            self.may_have_run = Some(ErrorKind::AnswerCutShort);
        }
        self.may_have_run.unwrap_or(match (failure.stage, failure.cause) {
            (_, FailureCause::ProcessEnding) => ErrorKind::InstanceLeaving,
            (FailureStage::NeverSent, _) => ErrorKind::NoEndpoint,
            _ => ErrorKind::EndpointRefused,
        })
    }

    /// The error when no attempt is left; its outcome is "not run" only if no attempt can have run.
    fn exhausted_error(&self, stage: FailureStage) -> ErrorKind {
        let not_run = match stage {
            FailureStage::RefusedBeforeStart if self.attempts == 1 => ErrorKind::EndpointRefused,
            _ => ErrorKind::RetriesSpent,
        };
        self.may_have_run.unwrap_or(not_run)
    }

    /// The error when the next attempt would start after the deadline.
    fn deadline_error(&self, stage: FailureStage) -> ErrorKind {
        match stage {
            FailureStage::NeverSent | FailureStage::RefusedBeforeStart => {
                self.may_have_run.unwrap_or(ErrorKind::DeadlinePassed)
            }
            FailureStage::SentNoAnswer | FailureStage::PartialAnswer => {
                self.may_have_run.unwrap_or(ErrorKind::EndpointLost)
            }
        }
    }

    /// The error when the caller disconnects before it has the complete answer.
    pub fn disconnect_error(&self) -> ErrorKind {
        if self.attempt_running || self.may_have_run.is_some() {
            ErrorKind::CallerLeft
        } else {
            ErrorKind::CallerLeftWaiting
        }
    }

    /// The error for a request that is refused with `kind` between attempts.
    ///
    /// A kind whose outcome is "not run" is replaced if an earlier attempt may have run.
    pub fn refusal_error(&self, kind: ErrorKind) -> ErrorKind {
        match kind.outcome() {
            RequestOutcome::NotRun if self.attempt_running => ErrorKind::EndpointLost,
            RequestOutcome::NotRun => self.may_have_run.unwrap_or(kind),
            _ => kind,
        }
    }
}

/// The error for a failure after which the endpoint may have started the request.
fn started_error(failure: AttemptFailure) -> ErrorKind {
    match (failure.stage, failure.cause) {
        (_, FailureCause::Stalled) => ErrorKind::EndpointStalled,
        (_, FailureCause::ErrorAnswer) => ErrorKind::EndpointFailed,
        (_, FailureCause::WrongId) => ErrorKind::AnswerMismatched,
        (_, FailureCause::ProcessEnding) => ErrorKind::InstanceStopped,
        (_, FailureCause::Unreachable | FailureCause::Refused | FailureCause::ConnectionLost) => {
            ErrorKind::EndpointLost
        }
    }
}
