//! Reading a caller's request whole, within bounds of bytes and time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootgate_core::prelude::{ErrorKind, RequestId};
use http::{HeaderMap, Method, Request, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use monoio::time::timeout;
use uuid::Uuid;

use super::answer::Refusal;

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
    /// The bearer key it carries.
    pub bearer: Option<Arc<str>>,
    /// The idempotency key it carries.
    pub idempotency_key: Option<Arc<str>>,
    /// Whether the caller says that it must not run twice.
    pub not_repeatable: bool,
    /// The time that the caller gives it, counted from its arrival.
    pub deadline: Option<Duration>,
}

/// What the head of a request tells, read before its body.
#[derive(Clone, Debug)]
pub struct RequestBounds {
    /// Largest body, in bytes.
    pub body_max: usize,
    /// Longest time for the whole body, and for a caller to take a piece of its answer.
    pub body_timeout: Duration,
}

/// Reads a request whole.
pub async fn accept_request(
    id: RequestId,
    request: Request<Incoming>,
    bounds: &RequestBounds,
) -> Result<AcceptedRequest, Refusal> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let bearer = bearer_key(&head.headers)?;
    let idempotency_key = idempotency_key(&head.headers)?;
    let not_repeatable = not_repeatable(&head.headers)?;
    let deadline = deadline(&head.headers)?;
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
        bearer,
        idempotency_key,
        not_repeatable,
        deadline,
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
            Err(Refusal::new(ErrorKind::BodyTooLarge, ENTRY_RULE, message))
        }
        Err(error) => Err(malformed(format!("the body cannot be read: {error}"))),
    }
}

fn malformed(message: impl Into<String>) -> Refusal {
    Refusal::new(ErrorKind::MalformedRequest, ENTRY_RULE, message)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(malformed(format!("the header {name} is given more than once")));
    }
    let text = value.to_str().map_err(|_| malformed(format!("the header {name} is not text")))?;
    Ok(Some(text.trim()))
}

fn bearer_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let Some(text) = header_text(headers, header::AUTHORIZATION.as_str())? else { return Ok(None) };
    let Some((scheme, key)) = text.split_once(' ') else { return Ok(None) };
    let is_bearer = scheme.eq_ignore_ascii_case("bearer");
    Ok(is_bearer.then(|| key.trim().into()))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let Some(text) = header_text(headers, IDEMPOTENCY_KEY)? else { return Ok(None) };
    let is_valid = (1..=IDEMPOTENCY_KEY_MAX).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_valid {
        let message =
            format!("an idempotency key has 1 to {IDEMPOTENCY_KEY_MAX} visible ASCII characters");
        return Err(Refusal::new(ErrorKind::KeyInvalid, ENTRY_RULE, message));
    }
    Ok(Some(text.into()))
}

fn not_repeatable(headers: &HeaderMap) -> Result<bool, Refusal> {
    match header_text(headers, NOT_REPEATABLE)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(found) => {
            Err(malformed(format!("{NOT_REPEATABLE} is \"{found}\", not \"true\" or \"false\"")))
        }
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(text) = header_text(headers, DEADLINE)? else { return Ok(None) };
    let milliseconds = if let Some(number) = text.strip_suffix("ms") {
        number.trim().parse::<f64>().ok()
    } else if let Some(number) = text.strip_suffix('s') {
        number.trim().parse::<f64>().ok().map(|seconds| seconds * 1000.0)
    } else {
        text.parse::<f64>().ok()
    };
    milliseconds
        .filter(|milliseconds| milliseconds.is_finite() && *milliseconds > 0.0)
        .and_then(|milliseconds| Duration::try_from_secs_f64(milliseconds / 1000.0).ok())
        .map(Some)
        .ok_or_else(|| {
            malformed(format!("{DEADLINE} is \"{text}\", not a time such as \"1500 ms\""))
        })
}
