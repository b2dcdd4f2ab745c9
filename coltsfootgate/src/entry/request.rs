//! Reading a caller's request whole, within bounds of bytes and time.

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
/// Header by which a caller says that a request must not run twice.
pub const NOT_REPEATABLE: &str = "coltsfootgate-not-repeatable";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
pub const IDEMPOTENCY_KEY_MAX: usize = 255;
/// The rule named when the bounds of the process decide.
pub const ENTRY_RULE: &str = "process.entry";
/// The rule named when the tree's bounds on connections decide.
pub const CONNECTIONS_RULE: &str = "connections";

/// A request that arrived whole.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// The id given to the request.
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
    /// What its head states.
    pub stated: RequestMetadata,
}

/// What the head of a request tells, read before its body.
#[derive(Clone, Debug)]
pub struct RequestBounds {
    /// Largest body, in bytes.
    pub body_max: usize,
    /// Longest time for the whole body, and for a caller to take a piece of its answer.
    pub body_timeout: Duration,
    /// The rule that sets the largest body.
    pub rule: &'static str,
}

impl RequestBounds {
    /// These bounds, and those that the tree states in their place.
    pub fn stated_by(&self, settings: &ConnectionSettings) -> Self {
        match settings.body_bytes {
            Some(bytes) => Self { body_max: bytes as usize, rule: CONNECTIONS_RULE, ..*self },
            None => self.clone(),
        }
    }
}

/// Reads a request whole.
pub async fn accept_request<D: CallerDialect>(
    id: RequestId,
    request: Request<Incoming>,
    bounds: &RequestBounds,
) -> Result<AcceptedRequest, Refusal> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let stated = D::read_head(&head)?;
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
        stated,
    })
}

/// Makes the id of a new request.
pub fn new_request_id() -> RequestId {
    Uuid::new_v4()
}

async fn read_body(body: Incoming, bounds: &RequestBounds) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, bounds.body_max);
    let Ok(collected) = timeout(bounds.body_timeout, limited.collect()).await else {
        let allowed = bounds.body_timeout;
        let message = format!("the body did not arrive within {allowed:?}");
        return Err(Refusal::new(ErrorKind::SlowRequest, ENTRY_RULE, message));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("the body is larger than {} bytes", bounds.body_max);
            Err(Refusal::new(ErrorKind::BodyTooLarge, bounds.rule, message))
        }
        Err(error) => Err(malformed(format!("the body cannot be read: {error}"))),
    }
}
