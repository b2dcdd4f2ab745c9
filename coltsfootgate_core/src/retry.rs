//! When a failed attempt is followed by another one.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use crate::attempt::{AttemptFailure, FailureCause, FailureStage};
use crate::reason::ErrorKind;

/// Longest delay before the first retry.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(8);
/// Longest delay before any retry.
pub const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Retries that a class may make before its requests have earned any.
pub const BUDGET_RESERVE: f64 = 5.0;
/// Retries that a class may save up.
pub const BUDGET_CAP: f64 = 50.0;

macro_rules! retry_reasons {
    ($($(#[$doc:meta])* $reason:ident => $name:literal;)*) => {
        /// Why an attempt was followed by another one.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum RetryReason {
            $($(#[$doc])* $reason,)*
        }

        impl RetryReason {
            /// Every reason, in the order of the table.
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
    /// No connection to the endpoint could be made.
    Unreachable => "unreachable";
    /// The endpoint proved that it did not start.
    Refused => "refused";
    /// The connection broke after the request was sent.
    ConnectionLost => "connection-lost";
    /// The endpoint went silent.
    Stalled => "stalled";
    /// The endpoint answered with an error.
    ErrorAnswer => "error-answer";
    /// The endpoint answered with the id of another request.
    WrongId => "wrong-id";
    /// A stream whose connection broke is continued elsewhere.
    ResumedAfterLoss => "resumed-after-loss";
    /// A stream that went silent is continued elsewhere.
    ResumedAfterStall => "resumed-after-stall";
    /// A stream that the endpoint ended with an error is continued elsewhere.
    ResumedAfterError => "resumed-after-error";
}

impl RetryReason {
    /// The reason for sending a request from its start again.
    pub fn of_repeat(failure: AttemptFailure) -> Self {
        match (failure.stage, failure.cause) {
            (FailureStage::NeverSent, _) => Self::Unreachable,
            (FailureStage::RefusedBeforeStart, _) => Self::Refused,
            (_, FailureCause::Unreachable | FailureCause::Refused) => Self::ConnectionLost,
            (_, FailureCause::ConnectionLost) => Self::ConnectionLost,
            (_, FailureCause::Stalled) => Self::Stalled,
            (_, FailureCause::ErrorAnswer) => Self::ErrorAnswer,
            (_, FailureCause::WrongId) => Self::WrongId,
        }
    }

    /// The reason for continuing a stream.
    pub fn of_resumption(cause: FailureCause) -> Self {
        match cause {
            FailureCause::Stalled => Self::ResumedAfterStall,
            FailureCause::ErrorAnswer | FailureCause::WrongId => Self::ResumedAfterError,
            FailureCause::Unreachable | FailureCause::Refused | FailureCause::ConnectionLost => {
                Self::ResumedAfterLoss
            }
        }
    }
}

impl Display for RetryReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the request from its start to another endpoint.
    Retry {
        /// How long to wait first.
        after: Duration,
        /// What to count.
        reason: RetryReason,
    },
    /// Continue the stream at another endpoint.
    Resume {
        /// Tokens that the caller already has.
        offset: u64,
        /// How long to wait first.
        after: Duration,
        /// What to count.
        reason: RetryReason,
    },
    /// Tell the caller.
    End(ErrorKind),
}

/// The delay before the attempt after the given one; `random` lies between 0 and 1.
pub fn backoff(attempts: u32, random: f64) -> Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    let longest = FIRST_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
    longest.mul_f64(random.clamp(0.0, 1.0))
}

/// Keeps the retries of a class to a share of its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// Makes a budget that earns `share` retries for each request; none at all for a share of 0.
    pub fn new(share: f64) -> Self {
        let share = share.clamp(0.0, 1.0);
        let balance = if share > 0.0 { BUDGET_RESERVE } else { 0.0 };
        Self { share, balance }
    }

    /// Takes over a changed setting and keeps what was earned.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
        if self.share == 0.0 {
            self.balance = 0.0;
        }
    }

    /// Notes a new request.
    pub fn note_request(&mut self) {
        self.balance = (self.balance + self.share).min(BUDGET_CAP);
    }

    /// Whether the budget holds a retry.
    pub fn holds_one(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes one retry out of the budget, if it holds one.
    pub fn try_spend(&mut self) -> bool {
        let holds_one = self.holds_one();
        if holds_one {
            self.balance -= 1.0;
        }
        holds_one
    }
}
