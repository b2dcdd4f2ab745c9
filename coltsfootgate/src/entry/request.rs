//! Reads a caller's request completely, within limits on its size and time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootgate_core::comeback::retry_after_delay;
use coltsfootgate_core::prelude::{ErrorKind, RequestId};
use coltsfootgate_core::settings::ConnectionSettings;
use http::{HeaderMap, Method, Request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use monoio::time::timeout;
use uuid::Uuid;

use super::answer::Refusal;
use super::head::malformed;
use crate::dialect::{CallerDialect, RequestMetadata};
use crate::transfer::{HeldBuffer, MemoryAccount, MemoryFull, MemoryPart, MemoryUse};

/// Header with the caller's deadline.
pub const DEADLINE: &str = "coltsfootgate-deadline";
/// Header by which a caller requires that a request does not run twice.
pub const NOT_REPEATABLE: &str = "coltsfootgate-not-repeatable";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
pub const IDEMPOTENCY_KEY_BYTES_MAX: usize = 255;
/// The rule of refusals by the limits of the process.
pub const ENTRY_RULE: &str = "process.entry";
/// The rule of refusals by the settings tree's limits on connections.
pub const CONNECTIONS_RULE: &str = "connections";

/// A request that was read completely.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// The id that this instance assigned to the request.
    pub id: RequestId,
    /// When its head was read.
    pub arrived: Instant,
    /// Its method.
    pub method: Method,
    /// Its path, without the query.
    pub path: Arc<str>,
    /// Its path and query.
    pub target: Arc<str>,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, with its share of the memory.
    pub body: Bytes,
    /// The metadata in its headers.
    pub metadata: RequestMetadata,
}

/// Limits on the body of a request.
#[derive(Clone, Debug)]
pub struct RequestBounds {
    /// Maximum size of the body, in bytes.
    pub body_bytes_max: usize,
    /// Maximum time to read the complete body, and to write a piece of an answer to a caller.
    pub body_timeout: Duration,
    /// The rule that sets the maximum size of the body.
    pub rule: &'static str,
}

impl RequestBounds {
    /// Returns these limits, overridden by those that the settings tree sets.
    pub fn with_overrides(&self, settings: &ConnectionSettings) -> Self {
        match settings.body_bytes {
            Some(bytes) => Self { body_bytes_max: bytes as usize, rule: CONNECTIONS_RULE, ..*self },
            None => self.clone(),
        }
    }
}

/// Reads a request completely.
///
/// # Errors
///
/// Refuses a request if its head is malformed, its body is too large, too slow or unreadable, or no memory is left.
pub async fn accept_request<D: CallerDialect>(
    id: RequestId,
    request: Request<Incoming>,
    bounds: &RequestBounds,
    memory: &MemoryAccount,
) -> Result<AcceptedRequest, Refusal> {
    let arrived = Instant::now();
    if memory.is_overdrawn() {
        return Err(memory_full());
    }
    let (head, body) = request.into_parts();
    let metadata = D::read_head(&head)?;
    let reading = read_body(body, bounds, memory.part(MemoryUse::Requests));
    let body =
        timeout(bounds.body_timeout, reading).await.unwrap_or_else(|_| Err(too_slow(bounds)))?;
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    Ok(AcceptedRequest {
        id,
        arrived,
        method: head.method,
        path: head.uri.path().into(),
        target: target.into(),
        headers: head.headers,
        body,
        metadata,
    })
}

/// Creates the id of a new request.
pub fn new_request_id() -> RequestId {
    Uuid::new_v4()
}

/// Reads a body, and draws its memory from the part for requests. What cannot be kept is refused as soon as that is
/// known, by its announced size before any of it was read.
async fn read_body(
    mut body: Incoming,
    bounds: &RequestBounds,
    memory: &MemoryPart,
) -> Result<Bytes, Refusal> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > bounds.body_bytes_max) {
        return Err(too_large(bounds));
    }
    if announced.is_some_and(|bytes| !memory.covers(bytes)) {
        return Err(memory_full());
    }
    let mut content = HeldBuffer::new(memory, announced);
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| malformed(format!("the body cannot be read: {error}")))?;
        let Ok(piece) = frame.into_data() else { continue };
        if content.len() + piece.len() > bounds.body_bytes_max {
            return Err(too_large(bounds));
        }
        content.extend(&piece).map_err(|MemoryFull| memory_full())?;
    }
    Ok(content.freeze())
}

fn too_slow(bounds: &RequestBounds) -> Refusal {
    let message = format!("the body did not arrive within {:?}", bounds.body_timeout);
    Refusal::new(ErrorKind::SlowRequest, ENTRY_RULE, message)
}

fn too_large(bounds: &RequestBounds) -> Refusal {
    let message = format!("the body is larger than {} bytes", bounds.body_bytes_max);
    Refusal::new(ErrorKind::BodyTooLarge, bounds.rule, message)
}

fn memory_full() -> Refusal {
    let message = "the instance has no memory left for the request";
    let delay = retry_after_delay(ErrorKind::MemoryFull, Duration::ZERO, rand::random());
    Refusal::new(ErrorKind::MemoryFull, ENTRY_RULE, message).with_retry_after(delay)
}
