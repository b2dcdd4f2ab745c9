//! Finds out which software version began a stream that is to be continued.

use std::time::Duration;

use coltsfootgate_core::comeback::retry_after_delay;
use coltsfootgate_core::prelude::{EndpointSettings, ErrorKind, SoftwareVersion};
use coltsfootgate_core::stream::{
    RecordCopy, RecordedOrigin, StreamKey, StreamOrigin, record_lifetime,
};

use super::admit::refusal;
use super::classify::{AnswerForm, ClassifiedRequest};
use super::context::PipelineContext;
use super::journal::RequestJournal;
use crate::dialect::StreamResumption;
use crate::entry::Refusal;
use crate::streams::{FoundOrigin, PageAnswer};

/// Finds where a stream began that the caller takes up again, and returns the request to that pool;
/// `None` for any other request.
///
/// # Errors
///
/// Refuses the request if the origin is not known, or its class no longer uses that pool.
pub async fn find_origin(
    context: &PipelineContext,
    request: &mut ClassifiedRequest,
    journal: &mut RequestJournal,
) -> Result<Option<StreamOrigin>, Refusal> {
    let accepted = request.accepted.clone();
    let resumption = accepted.metadata.resumption.as_ref().filter(|_| is_resumable(request));
    let Some(resumption) = resumption else { return Ok(None) };
    let LookedUp { origin, source, page_age } = look_up(context, request, resumption).await;
    journal.record.origin = Some(source);
    journal.record.page_age_ms = page_age.map(|age| age.as_millis() as u64);
    context.metrics.stream_taken_up(source);
    let Some(origin) = origin else {
        let kind = ErrorKind::StreamUnknown;
        let message = "it is not known which software version began the stream";
        let delay = retry_after_delay(kind, Duration::ZERO, rand::random());
        return Err(refusal(request, kind, message).with_retry_after(delay));
    };
    return_to_pool(request, &origin)?;
    Ok(Some(origin))
}

/// Where a stream began, and how that was determined, or why it is not known.
struct LookedUp {
    origin: Option<StreamOrigin>,
    source: &'static str,
    /// Time since the stored page that names the stream was read.
    page_age: Option<Duration>,
}

impl LookedUp {
    fn new(origin: Option<StreamOrigin>, source: &'static str) -> Self {
        Self { origin, source, page_age: None }
    }

    /// What follows from the records of a stream; `None` if there is none.
    fn from_records(recorded: RecordedOrigin, source: &'static str) -> Option<Self> {
        match recorded {
            RecordedOrigin::Known(origin) => Some(Self::new(Some(origin), source)),
            RecordedOrigin::Conflicting => Some(Self::new(None, "conflicting-records")),
            RecordedOrigin::Unknown => None,
        }
    }
}

/// Looks up where a stream began.
///
/// A stream without a record, or one that its caller does not name, is continued if a single origin is listed, or
/// if a stored page names it. The list is read after the request arrived, so it names the origin of the stream,
/// whatever this instance missed before.
async fn look_up(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    resumption: &StreamResumption,
) -> LookedUp {
    let key = resumption.stream.as_ref().and_then(|stream| stream_key(request, stream));
    let found = match &key {
        Some(key) => context.streams.find(key).await,
        None => FoundOrigin { origin: RecordedOrigin::Unknown, is_final: true },
    };
    if let Some(result) = LookedUp::from_records(found.origin, "record") {
        return result;
    }
    let unknown = match context.streams.sole_origin(request.class.timeout).await {
        Ok(origin) => return LookedUp::new(Some(origin), "sole-origin"),
        Err(unknown) => unknown,
    };
    let Some(key) = key else { return LookedUp::new(None, unknown.name()) };
    if let Some(PageAnswer { origin, age }) = context.streams.pages().find(&key).await
        && let Some(result) = LookedUp::from_records(origin, "page")
    {
        return LookedUp { page_age: Some(age), ..result };
    }
    let later = match found.is_final {
        false => context.streams.find_later(&key, request.deadline).await,
        true => RecordedOrigin::Unknown,
    };
    LookedUp::from_records(later, "record").unwrap_or(LookedUp::new(None, unknown.name()))
}

/// Sets the pool of a request to the one at which its stream began.
fn return_to_pool(request: &mut ClassifiedRequest, origin: &StreamOrigin) -> Result<(), Refusal> {
    if origin.pool == request.pool.id {
        return Ok(());
    }
    let is_used = request.class.pools.iter().any(|share| share.pool == origin.pool);
    let pool = request.active.tree.pool(&origin.pool).filter(|_| is_used);
    let Some(pool) = pool else {
        let message = "the pool that began the stream no longer serves its class";
        return Err(refusal(request, ErrorKind::NoEndpoint, message));
    };
    request.pool = pool;
    Ok(())
}

/// The software version that a request's endpoint must have to continue its stream; `None` if no
/// version is required.
///
/// # Errors
///
/// Refuses the request if the stream began at an endpoint that states no version, among others that
/// do.
pub fn required_version(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    origin: Option<&StreamOrigin>,
) -> Result<Option<SoftwareVersion>, Refusal> {
    let Some(origin) = origin else { return Ok(None) };
    if origin.version.is_none() && context.routes.has_versions(&request.pool.id) {
        let message = "the stream began at an endpoint that states no software version";
        return Err(refusal(request, ErrorKind::NoEndpoint, message));
    }
    Ok(origin.version.clone())
}

/// Records where the first event of a stream comes from, before the caller gets it.
pub async fn record_origin(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    endpoint: &EndpointSettings,
) {
    let Some(id) = request.accepted.metadata.caller_id.as_ref().filter(|_| is_resumable(request))
    else {
        return;
    };
    let Some(key) = stream_key(request, id) else { return };
    let caller_deadline = request.accepted.metadata.deadline.unwrap_or(request.class.deadline);
    let kept_for = record_lifetime(caller_deadline, request.class.timeout);
    let expires = request.accepted.arrived + kept_for;
    let origin = endpoint_origin(request, endpoint);
    context.streams.record(RecordCopy { key, origin, expires }).await;
}

/// The origin of a stream whose first event came from an endpoint.
pub fn endpoint_origin(request: &ClassifiedRequest, endpoint: &EndpointSettings) -> StreamOrigin {
    StreamOrigin { pool: request.pool.id.clone(), version: endpoint.version.clone() }
}

fn is_resumable(request: &ClassifiedRequest) -> bool {
    request.form == AnswerForm::EventStream && request.class.resume
}

fn stream_key(request: &ClassifiedRequest, stream: &str) -> Option<StreamKey> {
    StreamKey::new(request.customer.id.clone(), stream)
}
