//! Retry reasons, backoff and the retry budget of a class.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use crate::attempt::{AttemptFailure, FailureCause, FailureStage};
use crate::reason::ErrorKind;

/// Maximum delay before the first retry.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(8);
/// Maximum delay before any retry.
pub const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Balance, in retries, with which the budget of a class starts, so that a class may make a few
/// retries before its requests have earned any.
pub const INITIAL_BUDGET: f64 = 5.0;
/// Maximum balance, in retries, of the budget of a class.
pub const BUDGET_MAX: f64 = 50.0;

macro_rules! retry_reasons {
    ($($(#[$doc:meta])* $reason:ident => $name:literal;)*) => {
        /// Why another attempt was made after a failed one.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum RetryReason {
            $($(#[$doc])* $reason,)*
        }

        impl RetryReason {
            /// All reasons, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$reason),*];

            /// The name used in logs and metrics.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$reason => $name,)*
                }
            }
        }
    };
}

retry_reasons! {
    /// No connection to the endpoint could be opened.
    Unreachable => "unreachable";
    /// The endpoint proved that it had not started the request.
    Refused => "refused";
    /// The connection was lost after the request was sent.
    ConnectionLost => "connection-lost";
    /// The endpoint stopped sending data.
    Stalled => "stalled";
    /// The endpoint answered with an error.
    ErrorAnswer => "error-answer";
    /// The answer carried the id of another request.
    WrongId => "wrong-id";
    /// A stream whose connection was lost is resumed at another endpoint.
    ResumedAfterLoss => "resumed-after-loss";
    /// A stream that stalled is resumed at another endpoint.
    ResumedAfterStall => "resumed-after-stall";
    /// A stream that the endpoint ended with an error is resumed at another endpoint.
    ResumedAfterError => "resumed-after-error";
}

impl RetryReason {
    /// The reason for repeating a request from the start.
    pub fn for_retry(failure: AttemptFailure) -> Self {
        match (failure.stage, failure.cause) {
            (FailureStage::NeverSent, FailureCause::Refused) => Self::Refused,
            (FailureStage::NeverSent, _) => Self::Unreachable,
            (FailureStage::RefusedBeforeStart, _) => Self::Refused,
            (_, FailureCause::Unreachable | FailureCause::Refused) => Self::ConnectionLost,
            // A request whose process ends is not repeated.
            (_, FailureCause::ConnectionLost | FailureCause::ProcessEnding) => Self::ConnectionLost,
            (_, FailureCause::Stalled) => Self::Stalled,
            (_, FailureCause::ErrorAnswer) => Self::ErrorAnswer,
            (_, FailureCause::WrongId) => Self::WrongId,
        }
    }

    /// The reason for resuming a stream.
    pub fn for_resumption(cause: FailureCause) -> Self {
        match cause {
            FailureCause::Stalled => Self::ResumedAfterStall,
            FailureCause::ErrorAnswer | FailureCause::WrongId => Self::ResumedAfterError,
            FailureCause::Unreachable
            | FailureCause::Refused
            | FailureCause::ConnectionLost
            | FailureCause::ProcessEnding => Self::ResumedAfterLoss,
        }
    }
}

impl Display for RetryReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Repeat the request from the start at another endpoint.
    Retry {
        /// Delay before the next attempt.
        delay: Duration,
        /// The reason to log and count.
        reason: RetryReason,
    },
    /// Resume the stream at another endpoint.
    Resume {
        /// Tokens that the caller already has.
        offset: u64,
        /// Delay before the next attempt.
        delay: Duration,
        /// The reason to log and count.
        reason: RetryReason,
    },
    /// Make no further attempt and end the request with this error.
    End(ErrorKind),
}

/// The delay after this many attempts: exponential backoff scaled by `random` between 0 and 1.
pub fn backoff(attempts: u32, random: f64) -> Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    let longest = FIRST_BACKOFF.saturating_mul(1 << doublings).min(BACKOFF_MAX);
    longest.mul_f64(random.clamp(0.0, 1.0))
}

/// A token bucket that limits the retries of a class to a share of its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget that gains `share` retries per request; a share of 0 allows no retries.
    pub fn new(share: f64) -> Self {
        let share = share.clamp(0.0, 1.0);
        let balance = if share > 0.0 { INITIAL_BUDGET } else { 0.0 };
        Self { share, balance }
    }

    /// Changes the share and keeps the balance, unless the new share is 0.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
        if self.share == 0.0 {
            self.balance = 0.0;
        }
    }

    /// Adds the share of one new request to the balance.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + self.share).min(BUDGET_MAX);
    }

    /// Whether the balance covers a retry.
    pub fn has_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Deducts one retry from the balance; returns false if the balance does not cover it.
    pub fn try_spend(&mut self) -> bool {
        let has_retry = self.has_retry();
        if has_retry {
            self.balance -= 1.0;
        }
        has_retry
    }
}
