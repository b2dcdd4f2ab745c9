//! What differs between the systems that a deployment stands among.

mod native;

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderValue, StatusCode};

use coltsfootgate_core::prelude::EndpointSettings;
use coltsfootgate_core::prompt::PromptPart;

pub use self::native::{NativeCallers, NativeDialect, NativeEndpoints};
use crate::endpoint::EndpointFailure;
use crate::endpoints::EndpointDirectory;
use crate::entry::Refusal;
use crate::options::DaemonSettings;
use crate::pipeline::DecisionRecord;
use crate::pipeline::classify::ClassifiedRequest;
use crate::platform::{InstanceDirectory, PlatformStore};

/// All that a daemon needs to speak with one kind of deployment.
pub trait Dialect: 'static {
    /// How callers state requests and are answered.
    type Callers: CallerDialect;
    /// How endpoints take attempts and answer.
    type Endpoints: EndpointDialect;
    /// The platform's store and its lists of instances and endpoints.
    type Platform: PlatformStore + InstanceDirectory + EndpointDirectory + Clone + 'static;

    /// Connects to the platform.
    ///
    /// # Errors
    ///
    /// Tells which setting of the process cannot be used, and why.
    fn platform(settings: &DaemonSettings) -> Result<Self::Platform, String>;
}

/// What the head of a request states beside method, path and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StatedRequest {
    /// The id that the caller gave to the request.
    pub caller_id: Option<Arc<str>>,
    /// The bearer key.
    pub bearer: Option<Arc<str>>,
    /// The idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Whether the caller says that the request must not run twice.
    pub not_repeatable: bool,
    /// The time that the caller gives the request, counted from its arrival.
    pub deadline: Option<Duration>,
    /// What the caller says of the prompt.
    pub prompt: PromptFacts,
}

/// What a caller says of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptFacts {
    /// Its parts in order; requests with the same first parts share their cache at an engine.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
}

/// How callers state requests and are answered.
pub trait CallerDialect: 'static {
    /// Reads what the head of a request states.
    ///
    /// # Errors
    ///
    /// Gives the refusal of a head that cannot be understood.
    fn read_head(head: &Parts) -> Result<StatedRequest, Refusal>;

    /// The headers by which an answer tells what became of the request.
    fn record_headers(record: &DecisionRecord) -> HeaderMap;

    /// When a refused request may come back.
    fn retry_after(delay: Duration) -> HeaderValue;
}

/// One attempt of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts<'a> {
    /// The request.
    pub request: &'a ClassifiedRequest,
    /// The endpoint.
    pub endpoint: &'a EndpointSettings,
    /// The id that the answer must echo.
    pub id: &'a str,
    /// Tokens that the caller already has.
    pub resume_offset: u64,
    /// The id of the last event that the caller already has.
    pub last_event: Option<&'a str>,
    /// The time that is left for the request.
    pub time_left: Duration,
}

/// How endpoints take attempts and answer.
pub trait EndpointDialect: 'static {
    /// The id of an attempt; attempts are counted from 1.
    fn attempt_id(request: &ClassifiedRequest, attempt: u32) -> Arc<str>;

    /// The headers of an attempt, without those of the connection.
    fn attempt_headers(attempt: &AttemptFacts<'_>) -> HeaderMap;

    /// Checks that the head of an answer belongs to an attempt and is no proof that it did not run.
    ///
    /// # Errors
    ///
    /// Tells what a head that is no answer to the attempt proves.
    fn check_head(
        status: StatusCode,
        headers: &HeaderMap,
        attempt: &str,
    ) -> Result<(), EndpointFailure>;
}

/// Checks the id that an answer echoes against the one of the attempt.
///
/// # Errors
///
/// An answer with another id, or a success without one, belongs to another request.
pub fn check_echo(
    status: StatusCode,
    echoed: Option<&HeaderValue>,
    attempt: &str,
) -> Result<(), EndpointFailure> {
    match echoed {
        Some(echoed) if echoed.as_bytes() == attempt.as_bytes() => Ok(()),
        Some(_) => Err(EndpointFailure::Mismatched),
        None if status.is_success() => Err(EndpointFailure::Mismatched),
        None => Err(EndpointFailure::FailedAnswer(status)),
    }
}
