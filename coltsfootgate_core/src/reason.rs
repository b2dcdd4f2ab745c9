//! The closed list of reasons for which a request is not served, and the answer to each.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::outcome::RequestOutcome;

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $group:literal, $outcome:ident, $retry:literal;)*) => {
        /// Why a request was refused, cut short or left without a known outcome.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind),*];

            /// The answer that a caller gets for this kind.
            pub fn answer(self) -> ErrorAnswer {
                match self {
                    $(Self::$kind => ErrorAnswer {
                        code: $name,
                        status: $status,
                        group: $group,
                        outcome: RequestOutcome::$outcome,
                        may_retry: $retry,
                    },)*
                }
            }
        }
    };
}

/// What a caller is told about an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorAnswer {
    /// The name of the kind in `error.code`, headers, logs and metrics.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// The `error.type` that OpenAI clients parse.
    pub group: &'static str,
    /// What is known of the request.
    pub outcome: RequestOutcome,
    /// Whether the same request may succeed later, so that `Retry-After` is sent.
    pub may_retry: bool,
}

error_kinds! {
    /// The request is not valid HTTP or JSON, or lacks a field.
    MalformedRequest => "malformed-request", 400, "invalid_request_error", NotRun, false;
    /// The head of the request is larger than allowed.
    HeadTooLarge => "head-too-large", 431, "invalid_request_error", NotRun, false;
    /// The body of the request is larger than allowed.
    BodyTooLarge => "body-too-large", 413, "invalid_request_error", NotRun, false;
    /// The request did not arrive whole within its time.
    SlowRequest => "slow-request", 408, "invalid_request_error", NotRun, true;
    /// No key was given, or no customer has it.
    Unauthorized => "unauthorized", 401, "authentication_error", NotRun, false;
    /// No pool serves this path.
    UnknownRoute => "unknown-route", 404, "invalid_request_error", NotRun, false;
    /// No pool serves this model.
    UnknownModel => "unknown-model", 404, "invalid_request_error", NotRun, false;
    /// The path is served, but not with this method.
    MethodNotAllowed => "method-not-allowed", 405, "invalid_request_error", NotRun, false;
    /// The instance holds as many connections as it may.
    TooManyConnections => "too-many-connections", 503, "server_error", NotRun, true;
    /// The customer sends requests faster than its limit.
    RateLimited => "rate-limited", 429, "rate_limit_error", NotRun, true;
    /// The customer has as many requests in flight as it may.
    ConcurrencyLimited => "concurrency-limited", 429, "rate_limit_error", NotRun, true;
    /// The queue is at its bound and holds nothing of a lower tier.
    QueueFull => "queue-full", 503, "server_error", NotRun, true;
    /// The request was waiting and gave its place to one of a higher tier.
    Displaced => "displaced", 503, "server_error", NotRun, true;
    /// The caller's deadline is too near for the work to be done in time.
    DeadlineUnmeetable => "deadline-unmeetable", 503, "server_error", NotRun, true;
    /// The caller's deadline passed while the request was waiting.
    DeadlinePassed => "deadline-passed", 504, "server_error", NotRun, true;
    /// No endpoint of the pool is in service.
    NoEndpoint => "no-endpoint", 503, "server_error", NotRun, true;
    /// The retries of the class are used up; the last attempt was not run.
    RetriesSpent => "retries-spent", 503, "server_error", NotRun, true;
    /// The endpoint refused the request before starting it.
    EndpointRefused => "endpoint-refused", 503, "server_error", NotRun, true;
    /// The endpoint answered with an error of its own after starting the request.
    EndpointFailed => "endpoint-failed", 502, "server_error", PartiallyRun, false;
    /// The connection to the endpoint broke after the request was sent.
    EndpointLost => "endpoint-lost", 502, "server_error", Unknown, false;
    /// The endpoint went silent after the request was sent.
    EndpointStalled => "endpoint-stalled", 504, "server_error", Unknown, false;
    /// The endpoint's answer broke off after a part of it reached the caller.
    AnswerCutShort => "answer-cut-short", 502, "server_error", PartiallyRun, false;
    /// The endpoint answered with the id of another request; nothing was passed on.
    AnswerMismatched => "answer-mismatched", 502, "server_error", Unknown, false;
    /// The caller left before its answer was whole.
    CallerLeft => "caller-left", 499, "server_error", PartiallyRun, false;
    /// The caller left while its request was waiting.
    CallerLeftWaiting => "caller-left-waiting", 499, "server_error", NotRun, false;
    /// The idempotency key is older than the window for which claims are kept.
    KeyTooOld => "key-too-old", 409, "invalid_request_error", NotRun, false;
    /// The idempotency key is too long or holds characters that are not allowed.
    KeyInvalid => "key-invalid", 400, "invalid_request_error", NotRun, false;
    /// The idempotency key was used before for another request; this one was not run.
    KeyReused => "key-reused", 422, "invalid_request_error", NotRun, false;
    /// A request with this key is in flight or ended unknown; this one was not sent again.
    KeyInFlight => "key-in-flight", 409, "invalid_request_error", Unknown, true;
    /// A request with this key completed; its answer was too large to keep.
    KeyCompleted => "key-completed", 409, "invalid_request_error", Completed, false;
    /// The page of claims for this key has no room within its window.
    ClaimsFull => "claims-full", 503, "server_error", NotRun, true;
    /// The claim could not be stored before the deadline.
    ClaimUnavailable => "claim-unavailable", 503, "server_error", NotRun, true;
    /// The claim took too long to confirm, so the request was not sent.
    ClaimExpired => "claim-expired", 503, "server_error", NotRun, true;
    /// Nobody confirmed lately that the settings here are the newest, so keys are not trusted.
    SettingsStale => "settings-stale", 503, "server_error", NotRun, true;
    /// The instance has no tree of settings in force yet.
    NotReady => "not-ready", 503, "server_error", NotRun, true;
}

impl ErrorKind {
    /// The name used in headers, logs and metrics.
    pub fn code(self) -> &'static str {
        self.answer().code
    }

    /// The outcome that this kind proves.
    pub fn outcome(self) -> RequestOutcome {
        self.answer().outcome
    }
}

impl Display for ErrorKind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.code())
    }
}
