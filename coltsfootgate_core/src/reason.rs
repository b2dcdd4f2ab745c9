//! The closed list of reasons why a request fails, with the error answer for each.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::outcome::RequestOutcome;

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $error_type:literal, $outcome:ident, $retry:literal;)*) => {
        /// Why a request was refused, was interrupted or has no known outcome.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$kind),*];

            /// The error answer that the caller receives for this kind.
            pub fn answer(self) -> ErrorAnswer {
                match self {
                    $(Self::$kind => ErrorAnswer {
                        code: $name,
                        status: $status,
                        error_type: $error_type,
                        outcome: RequestOutcome::$outcome,
                        may_retry: $retry,
                    },)*
                }
            }
        }
    };
}

/// The parts of an error answer that depend only on the kind of error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorAnswer {
    /// The name of the kind in `error.code`, in headers, logs and metrics.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// The `error.type` that OpenAI clients parse.
    pub error_type: &'static str,
    /// Whether the request ran, as far as this error proves it.
    pub outcome: RequestOutcome,
    /// Whether the same request may succeed later, so that `Retry-After` is sent.
    pub may_retry: bool,
}

error_kinds! {
    /// The request is not valid HTTP or JSON, or lacks a field.
    MalformedRequest => "malformed-request", 400, "invalid_request_error", NotRun, false;
    /// The head of the request exceeds the size limit.
    HeadTooLarge => "head-too-large", 431, "invalid_request_error", NotRun, false;
    /// The body of the request exceeds the size limit.
    BodyTooLarge => "body-too-large", 413, "invalid_request_error", NotRun, false;
    /// The request was not received completely within the time limit.
    SlowRequest => "slow-request", 408, "invalid_request_error", NotRun, true;
    /// The bearer key is missing or belongs to no customer.
    Unauthorized => "unauthorized", 401, "authentication_error", NotRun, false;
    /// No pool serves this path.
    UnknownRoute => "unknown-route", 404, "invalid_request_error", NotRun, false;
    /// No pool serves this model.
    UnknownModel => "unknown-model", 404, "invalid_request_error", NotRun, false;
    /// The path is served, but not with this method.
    MethodNotAllowed => "method-not-allowed", 405, "invalid_request_error", NotRun, false;
    /// The instance has reached its limit of open connections.
    TooManyConnections => "too-many-connections", 503, "server_error", NotRun, true;
    /// The instance has no memory left for the body of the request.
    MemoryFull => "memory-full", 503, "server_error", NotRun, true;
    /// The customer exceeds its request rate limit.
    RateLimited => "rate-limited", 429, "rate_limit_error", NotRun, true;
    /// The customer has reached its limit of requests in flight.
    ConcurrencyLimited => "concurrency-limited", 429, "rate_limit_error", NotRun, true;
    /// The queue is full and holds no request of a lower tier.
    QueueFull => "queue-full", 503, "server_error", NotRun, true;
    /// The waiting request was removed from the full queue in favour of one of a higher tier.
    Displaced => "displaced", 503, "server_error", NotRun, true;
    /// The request cannot be completed before the caller's deadline.
    DeadlineUnmeetable => "deadline-unmeetable", 503, "server_error", NotRun, true;
    /// The caller's deadline passed while the request was waiting.
    DeadlinePassed => "deadline-passed", 504, "server_error", NotRun, true;
    /// No endpoint of the pool is in service.
    NoEndpoint => "no-endpoint", 503, "server_error", NotRun, true;
    /// It is not known which software version began the stream that the caller takes up.
    StreamUnknown => "stream-unknown", 503, "server_error", NotRun, true;
    /// A part of the prompt has crashed endpoints, and requests with it are not sent.
    PromptBlocked => "prompt-blocked", 503, "server_error", NotRun, true;
    /// The request has crashed endpoints when it was sent before, and its repeats are not sent.
    RequestBlocked => "request-blocked", 503, "server_error", NotRun, true;
    /// The attempts or the retry budget of the class are exhausted, and no attempt ran.
    RetriesSpent => "retries-spent", 503, "server_error", NotRun, true;
    /// The endpoint refused the request before starting it.
    EndpointRefused => "endpoint-refused", 503, "server_error", NotRun, true;
    /// The endpoint started the request and answered with an error.
    EndpointFailed => "endpoint-failed", 502, "server_error", PartiallyRun, false;
    /// The connection to the endpoint was lost after the request was sent.
    EndpointLost => "endpoint-lost", 502, "server_error", Unknown, false;
    /// The endpoint stopped sending data after the request was sent.
    EndpointStalled => "endpoint-stalled", 504, "server_error", Unknown, false;
    /// The endpoint's answer was interrupted after a part of it reached the caller.
    AnswerCutShort => "answer-cut-short", 502, "server_error", PartiallyRun, false;
    /// The endpoint's answer carried the id of another request and was not forwarded.
    AnswerMismatched => "answer-mismatched", 502, "server_error", Unknown, false;
    /// The caller disconnected before it had the complete answer.
    CallerLeft => "caller-left", 499, "server_error", PartiallyRun, false;
    /// The caller disconnected while its request was waiting.
    CallerLeftWaiting => "caller-left-waiting", 499, "server_error", NotRun, false;
    /// The idempotency key is older than the window for which claims are kept.
    KeyTooOld => "key-too-old", 409, "invalid_request_error", NotRun, false;
    /// The idempotency key is too long or contains characters that are not allowed.
    KeyInvalid => "key-invalid", 400, "invalid_request_error", NotRun, false;
    /// The idempotency key was already used for a different request; this one was not run.
    KeyReused => "key-reused", 422, "invalid_request_error", NotRun, false;
    /// A request with this key is in flight or has an unknown outcome; this one was not sent.
    KeyInFlight => "key-in-flight", 409, "invalid_request_error", Unknown, true;
    /// A request with this key completed, but its answer was too large to store.
    KeyCompleted => "key-completed", 409, "invalid_request_error", Completed, false;
    /// The claim page of this key has no space left for claims within the retention window.
    ClaimsFull => "claims-full", 503, "server_error", NotRun, true;
    /// The claim could not be stored before the deadline.
    ClaimUnavailable => "claim-unavailable", 503, "server_error", NotRun, true;
    /// The claim was not confirmed in time, so the request was not sent.
    ClaimExpired => "claim-expired", 503, "server_error", NotRun, true;
    /// The settings were not confirmed as the newest for too long, so bearer keys are not trusted.
    SettingsStale => "settings-stale", 503, "server_error", NotRun, true;
    /// The instance shuts down, and the answer to the request would not end in time.
    InstanceLeaving => "instance-leaving", 503, "server_error", NotRun, true;
    /// The instance shut down while an endpoint worked on the request.
    InstanceStopped => "instance-stopped", 502, "server_error", Unknown, false;
    /// The instance has no settings tree in force yet.
    NotReady => "not-ready", 503, "server_error", NotRun, true;
}

impl ErrorKind {
    /// The name used in headers, logs and metrics.
    pub fn code(self) -> &'static str {
        self.answer().code
    }

    /// The request outcome that this kind implies.
    pub fn outcome(self) -> RequestOutcome {
        self.answer().outcome
    }
}

impl Display for ErrorKind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.code())
    }
}
