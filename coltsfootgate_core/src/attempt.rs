//! The attempts at one request: which may be sent, and what they prove together.

use std::time::Instant;

use crate::outcome::RequestOutcome;
use crate::reason::ErrorKind;
use crate::retry::{RetryBudget, RetryDecision, RetryReason, backoff};

/// Attempts beyond those of the class that one request may make where nothing was sent.
pub const UNSENT_MAX: u32 = 2;

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureStage {
    /// No byte of the request left this instance.
    NeverSent,
    /// The endpoint proved that it did not start.
    RefusedBeforeStart,
    /// The request was sent in whole or in part; no usable answer came.
    SentNoAnswer,
    /// A part of the answer came.
    PartialAnswer,
}

/// What ended an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureCause {
    /// No connection could be made, or none was free in time.
    Unreachable,
    /// The endpoint refused.
    Refused,
    /// The connection broke.
    ConnectionLost,
    /// The endpoint went silent.
    Stalled,
    /// The endpoint answered with an error.
    ErrorAnswer,
    /// The endpoint answered with the id of another request.
    WrongId,
}

/// The failure of one attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AttemptFailure {
    /// How far the attempt had come.
    pub stage: FailureStage,
    /// What ended it.
    pub cause: FailureCause,
}

/// What decides whether a request may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptTraits {
    /// Whether the request may run more than once; the stricter of class and caller.
    pub repeatable: bool,
    /// Whether a claim is held on its idempotency key.
    pub claimed: bool,
    /// Whether an interrupted answer can be continued: streamed, and class and pool allow it.
    pub resumable: bool,
    /// Attempts at most, the first included.
    pub attempts: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Leave to send a request once; given out by [`AttemptHistory::permit_send`] only.
#[derive(Debug, Eq, PartialEq)]
pub struct SendPermit {
    /// Tokens that the caller already has and the endpoint must leave out.
    pub resume_offset: u64,
}

/// Everything that was tried for one request.
#[derive(Debug)]
pub struct AttemptHistory {
    traits: AttemptTraits,
    attempts: u32,
    sends: u32,
    caller_tokens: u64,
    caller_has_bytes: bool,
    may_have_run: Option<ErrorKind>,
    in_attempt: bool,
}

impl AttemptHistory {
    /// Begins the history of a request.
    pub fn new(traits: AttemptTraits) -> Self {
        Self {
            traits,
            attempts: 0,
            sends: 0,
            caller_tokens: 0,
            caller_has_bytes: false,
            may_have_run: None,
            in_attempt: false,
        }
    }

    /// How many attempts were begun.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Tokens that the caller has.
    pub fn caller_tokens(&self) -> u64 {
        self.caller_tokens
    }

    /// Begins an attempt.
    ///
    /// # Errors
    ///
    /// Fails if a request that is not repeatable was sent before without proof that it did not
    /// run, or was sent at all without a claim.
    pub fn permit_send(&mut self) -> Result<SendPermit, ErrorKind> {
        if !self.may_send_again() {
            return Err(self.may_have_run.unwrap_or(ErrorKind::EndpointRefused));
        }
        self.attempts += 1;
        self.sends += 1;
        self.in_attempt = true;
        Ok(SendPermit { resume_offset: self.caller_tokens })
    }

    fn may_send_again(&self) -> bool {
        if self.traits.repeatable {
            return true;
        }
        let may_be_running = self.may_have_run.is_some() || self.in_attempt;
        !may_be_running && (self.traits.claimed || self.sends == 0)
    }

    /// Whether the running attempt may be given up for another one.
    pub fn may_give_up(&self) -> bool {
        self.traits.repeatable && !self.caller_has_bytes && !self.is_spent()
    }

    /// Notes that bytes of an answer went to the caller, with the tokens among them.
    pub fn note_relayed(&mut self, tokens: u64) {
        self.caller_has_bytes = true;
        self.caller_tokens += tokens;
    }

    /// Decides what follows the failure of the running attempt.
    ///
    /// `random` lies between 0 and 1.
    pub fn fail(
        &mut self,
        failure: AttemptFailure,
        now: Instant,
        budget: &mut RetryBudget,
        random: f64,
    ) -> RetryDecision {
        let kind = self.note_failure(failure);
        if !self.may_send_again() {
            return RetryDecision::End(kind);
        }
        let resumes = self.caller_has_bytes;
        if resumes && !(self.traits.resumable && self.caller_tokens > 0) {
            return RetryDecision::End(kind);
        }
        if self.is_spent() || !budget.try_spend() {
            return RetryDecision::End(self.spent_kind(failure.stage));
        }
        let after = backoff(self.attempts, random);
        if now + after >= self.traits.deadline {
            return RetryDecision::End(self.late_kind(failure.stage));
        }
        if resumes {
            let reason = RetryReason::of_resumption(failure.cause);
            return RetryDecision::Resume { offset: self.caller_tokens, after, reason };
        }
        RetryDecision::Retry { after, reason: RetryReason::of_repeat(failure) }
    }

    /// Whether no attempt is left. Attempts of which nothing was sent count for themselves.
    fn is_spent(&self) -> bool {
        self.sends >= self.traits.attempts || self.attempts >= self.traits.attempts + UNSENT_MAX
    }

    /// Records what the failure leaves possible and names the error that tells it.
    fn note_failure(&mut self, failure: AttemptFailure) -> ErrorKind {
        self.in_attempt = false;
        match failure.stage {
            FailureStage::NeverSent => self.sends = self.sends.saturating_sub(1),
            FailureStage::RefusedBeforeStart => {}
            FailureStage::SentNoAnswer | FailureStage::PartialAnswer => {
                self.may_have_run = Some(started_kind(failure));
            }
        }
        // What the caller holds a part of ran in part, whatever became of later attempts.
        if self.caller_has_bytes {
            self.may_have_run = Some(ErrorKind::AnswerCutShort);
        }
        self.may_have_run.unwrap_or(match failure.stage {
            FailureStage::NeverSent => ErrorKind::NoEndpoint,
            _ => ErrorKind::EndpointRefused,
        })
    }

    /// The error when no attempt is left; "not run" only if no attempt can have run.
    fn spent_kind(&self, stage: FailureStage) -> ErrorKind {
        let not_run = match stage {
            FailureStage::RefusedBeforeStart if self.attempts == 1 => ErrorKind::EndpointRefused,
            _ => ErrorKind::RetriesSpent,
        };
        self.may_have_run.unwrap_or(not_run)
    }

    /// The error when the next attempt would begin after the deadline.
    fn late_kind(&self, stage: FailureStage) -> ErrorKind {
        match stage {
            FailureStage::NeverSent | FailureStage::RefusedBeforeStart => {
                self.may_have_run.unwrap_or(ErrorKind::DeadlinePassed)
            }
            FailureStage::SentNoAnswer | FailureStage::PartialAnswer => {
                self.may_have_run.unwrap_or(ErrorKind::EndpointLost)
            }
        }
    }

    /// The error when the caller leaves before its answer is whole.
    pub fn caller_left(&self) -> ErrorKind {
        if self.in_attempt || self.may_have_run.is_some() {
            ErrorKind::CallerLeft
        } else {
            ErrorKind::CallerLeftWaiting
        }
    }

    /// Ends a request that is refused between attempts with the given error.
    ///
    /// An error that says "not run" gives way to what an earlier attempt left possible.
    pub fn refuse(&self, kind: ErrorKind) -> ErrorKind {
        match kind.outcome() {
            RequestOutcome::NotRun if self.in_attempt => ErrorKind::EndpointLost,
            RequestOutcome::NotRun => self.may_have_run.unwrap_or(kind),
            _ => kind,
        }
    }
}

/// The error for a failure after the endpoint may have started.
fn started_kind(failure: AttemptFailure) -> ErrorKind {
    match (failure.stage, failure.cause) {
        (_, FailureCause::Stalled) => ErrorKind::EndpointStalled,
        (_, FailureCause::ErrorAnswer) => ErrorKind::EndpointFailed,
        (_, FailureCause::WrongId) => ErrorKind::AnswerMismatched,
        (_, FailureCause::Unreachable | FailureCause::Refused | FailureCause::ConnectionLost) => {
            ErrorKind::EndpointLost
        }
    }
}
