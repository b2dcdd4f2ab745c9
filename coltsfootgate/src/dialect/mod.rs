//! The protocols used with callers, endpoints and the platform, which differ by deployment.

mod native;

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderValue, StatusCode};

use coltsfootgate_core::endpoint_limit::LimitNotice;
use coltsfootgate_core::prelude::EndpointSettings;
use coltsfootgate_core::prompt::PromptPart;

pub use self::native::{
    MODEL_PATHS, NativeCallers, NativeDialect, NativeEndpoints, OWN_HEADERS, RECORD_HEADERS,
};
use crate::duties::{DutyPlan, DutyPlatform};
use crate::endpoint::EndpointFailure;
use crate::endpoints::EndpointDirectory;
use crate::entry::Refusal;
use crate::options::DaemonSettings;
use crate::pipeline::DecisionRecord;
use crate::pipeline::classify::ClassifiedRequest;
use crate::platform::{InstanceDirectory, PlatformStore};

/// The protocols that a daemon uses in one kind of deployment.
pub trait Dialect: 'static {
    /// The protocol between callers and the daemon.
    type Callers: CallerDialect;
    /// The protocol between the daemon and endpoints.
    type Endpoints: EndpointDialect;
    /// The client of the platform's store and of its lists of instances and endpoints.
    type Platform: PlatformStore + InstanceDirectory + EndpointDirectory + Clone + 'static;
    /// The client of the platform for the holder of the duties.
    type Duties: DutyPlatform;

    /// Creates the client of the platform.
    ///
    /// # Errors
    ///
    /// Returns a message that names the invalid setting and the reason.
    fn platform(settings: &DaemonSettings) -> Result<Self::Platform, String>;

    /// The duties of the deployment, with the client for them; `None` if there are none.
    fn duties(settings: &DaemonSettings) -> Option<(DutyPlan, Self::Duties)>;
}

/// The metadata in the headers of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
    /// The request id assigned by the caller.
    pub caller_id: Option<Arc<str>>,
    /// The bearer key from the `Authorization: Bearer` header.
    pub bearer: Option<Arc<str>>,
    /// The idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Whether the caller requires that the request does not run twice.
    pub not_repeatable: bool,
    /// The caller's time limit for the request, counted from its arrival.
    pub deadline: Option<Duration>,
    /// The caller's description of the prompt.
    pub prompt: PromptMetadata,
    /// Set if the caller takes up a stream again of which it already has events.
    pub resumption: Option<StreamResumption>,
}

/// A stream that its caller takes up again after an earlier request for it ended early.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamResumption {
    /// The id that the caller assigned to the request that brought the stream's first event, if it
    /// states one.
    pub stream: Option<Arc<str>>,
}

/// A caller's description of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptMetadata {
    /// The parts of the prompt in order; requests with equal leading parts share cached prefixes.
    pub parts: Vec<PromptPart>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub answer_tokens: u32,
}

/// The meaning of a path in the protocol of model engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelPath {
    /// The list of models, which the daemon answers itself.
    List,
    /// Requests that name their model in the body, which chooses the pool.
    Completion,
}

/// The protocol between callers and the daemon.
pub trait CallerDialect: 'static {
    /// Parses the metadata of a request from its head.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send if a header is malformed.
    fn read_head(head: &Parts) -> Result<RequestMetadata, Refusal>;

    /// What the path of a request means by itself; `None` if only the settings tree says what serves it.
    fn model_path(path: &str) -> Option<ModelPath>;

    /// Whether a header of an endpoint's answer is not forwarded, since only the daemon may set it.
    fn is_record_header(name: &str) -> bool;

    /// The headers of an answer that report the request's outcome and the decisions about it.
    fn record_headers(record: &DecisionRecord) -> HeaderMap;

    /// The value of the `Retry-After` header of a refusal.
    fn retry_after(delay: Duration) -> HeaderValue;
}

/// One attempt of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// The request.
    pub request: &'a ClassifiedRequest,
    /// The endpoint.
    pub endpoint: &'a EndpointSettings,
    /// The id of the attempt, which the answer must echo.
    pub id: &'a str,
    /// Tokens that the caller already has.
    pub resume_offset: u64,
    /// The id of the last event that the caller already has.
    pub last_event: Option<&'a str>,
    /// The time left until the request's deadline.
    pub time_left: Duration,
}

/// The protocol between the daemon and endpoints.
pub trait EndpointDialect: 'static {
    /// The id of an attempt; `attempt` counts from 1.
    fn attempt_id(request: &ClassifiedRequest, attempt: u32) -> Arc<str>;

    /// The headers to send with an attempt, without hop-by-hop headers.
    fn attempt_headers(attempt: &AttemptContext<'_>) -> HeaderMap;

    /// Checks that the head of an answer belongs to the attempt and does not report that it was not
    /// started.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt that the head proves.
    fn check_head(
        status: StatusCode,
        headers: &HeaderMap,
        attempt: &str,
    ) -> Result<(), EndpointFailure>;

    /// What the head of an answer states about the endpoint; `None` if another endpoint sent it.
    fn answer_notice(status: StatusCode, headers: &HeaderMap) -> Option<AnswerNotice>;
}

/// What the head of an answer states about the endpoint that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerNotice {
    /// The rate at which the endpoint accepts requests.
    pub limit: LimitNotice,
    /// Whether the endpoint is shutting down and wants no new requests.
    pub is_leaving: bool,
    /// The time for which an endpoint that turned the request away wants none from this instance.
    pub rest: Option<Duration>,
}

/// Checks that an answer echoes the id of the attempt.
///
/// An answer with another id, or a successful one without an id, belongs to another request.
///
/// # Errors
///
/// Returns [`EndpointFailure::Mismatched`] if the id differs or a successful answer has none, or
/// [`EndpointFailure::FailedAnswer`] if an error answer has none.
pub fn check_echoed_id(
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
