//! Reads a caller's request completely, within limits on its size and time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootgate_core::prelude::{ErrorKind, RequestId};
use coltsfootgate_core::settings::ConnectionSettings;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use monoio::time::timeout;
use uuid::Uuid;

use super::answer::Refusal;
use super::head::malformed;
use crate::dialect::{CallerDialect, RequestMetadata};

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
    /// Its body.
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
/// Refuses a request if its head is malformed, or its body is too large, too slow or unreadable.
pub async fn accept_request<D: CallerDialect>(
    id: RequestId,
    request: Request<Incoming>,
    bounds: &RequestBounds,
) -> Result<AcceptedRequest, Refusal> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = D::read_head(&head)?;
    let body = read_body(body, bounds).await?;
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

async fn read_body(body: Incoming, bounds: &RequestBounds) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, bounds.body_bytes_max);
    let Ok(collected) = timeout(bounds.body_timeout, limited.collect()).await else {
        let allowed = bounds.body_timeout;
        let message = format!("the body did not arrive within {allowed:?}");
        return Err(Refusal::new(ErrorKind::SlowRequest, ENTRY_RULE, message));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("the body is larger than {} bytes", bounds.body_bytes_max);
            Err(Refusal::new(ErrorKind::BodyTooLarge, bounds.rule, message))
        }
        Err(error) => Err(malformed(format!("the body cannot be read: {error}"))),
    }
}
