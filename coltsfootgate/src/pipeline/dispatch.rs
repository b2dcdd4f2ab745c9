//! Sends one attempt of a request to the endpoint that a grant names.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::prelude::RequestId;
use http::{HeaderMap, HeaderName, HeaderValue, header};

use super::admit::GrantLease;
use super::classify::{AnswerForm, ClassifiedRequest};
use super::context::GateContext;
use crate::endpoint::{
    EndpointAnswer, EndpointClient, EndpointFailure, EndpointRequest, PRIORITY_HEADER,
    RESUME_HEADER,
};
use crate::entry::request::{DEADLINE, IDEMPOTENCY_KEY, NOT_REPEATABLE};

/// Headers of callers that are not passed on, beside those that belong to one connection.
const WITHHELD_HEADERS: &[&str] = &[
    "authorization",
    "content-length",
    "expect",
    "host",
    "x-request-id",
    PRIORITY_HEADER,
    RESUME_HEADER,
    "x-not-started",
    DEADLINE,
    NOT_REPEATABLE,
];
/// Headers that belong to one connection.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Sends a request and waits for the head of its answer.
///
/// `resume_offset` is the number of tokens that the caller already has.
pub async fn dispatch_request(
    context: &GateContext,
    request: &ClassifiedRequest,
    lease: &GrantLease,
    attempt: Arc<str>,
    resume_offset: u64,
) -> Result<EndpointAnswer, EndpointFailure> {
    let endpoint_request = EndpointRequest {
        address: lease.endpoint.address.clone(),
        method: request.accepted.method.clone(),
        path: request.accepted.target.clone(),
        headers: attempt_headers(request, resume_offset),
        body: request.accepted.body.clone(),
        attempt,
        head_timeout: head_timeout(request),
    };
    context.endpoints.send(endpoint_request).await
}

/// The id of an attempt; the first one has the id of the request.
pub fn attempt_id(request: RequestId, attempt: u32) -> Arc<str> {
    match attempt {
        0 | 1 => request.to_string().into(),
        later => format!("{request}-{later}").into(),
    }
}

/// Copies the headers of an endpoint's answer that are passed on to the caller.
pub fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = passed_headers(headers, |name| name.starts_with("coltsfootgate-"));
    passed.remove(header::CONTENT_LENGTH);
    passed
}

fn head_timeout(request: &ClassifiedRequest) -> Duration {
    let silence = request.pool.silence;
    match request.form {
        AnswerForm::ModelStream | AnswerForm::Service => silence,
        // The head of an unstreamed answer comes only with its last token.
        AnswerForm::ModelWhole => {
            silence.max(request.deadline.saturating_duration_since(Instant::now()))
        }
    }
}

fn attempt_headers(request: &ClassifiedRequest, resume_offset: u64) -> HeaderMap {
    let keeps_key = request.form == AnswerForm::Service;
    let mut headers = passed_headers(&request.accepted.headers, |name| {
        WITHHELD_HEADERS.contains(&name) || (name == IDEMPOTENCY_KEY && !keeps_key)
    });
    if request.form != AnswerForm::Service {
        let tier = HeaderValue::from(u16::from(request.class.tier.number()));
        headers.insert(HeaderName::from_static(PRIORITY_HEADER), tier);
    }
    if resume_offset > 0 {
        headers.insert(HeaderName::from_static(RESUME_HEADER), HeaderValue::from(resume_offset));
    }
    headers
}

/// Copies headers but those of the connection, those it names and those that are withheld.
fn passed_headers(headers: &HeaderMap, is_withheld: impl Fn(&str) -> bool) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_dropped = CONNECTION_HEADERS.contains(&text)
            || named.iter().any(|named| named == text)
            || is_withheld(text);
        if !is_dropped {
            passed.append(name, value.clone());
        }
    }
    passed
}
