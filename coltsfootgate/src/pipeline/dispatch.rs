//! Sends one attempt of a request to the endpoint that a grant names.

use std::time::{Duration, Instant};

use http::{HeaderMap, header};
use monoio::time::timeout;

use super::admit::GrantLease;
use super::classify::{AnswerForm, ClassifiedRequest};
use super::context::GateContext;
use crate::dialect::{AttemptContext, EndpointDialect};
use crate::endpoint::{EndpointAnswer, EndpointClient, EndpointFailure, EndpointRequest};

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

/// Where an attempt begins.
#[derive(Clone, Copy, Debug)]
pub struct AttemptStart<'a> {
    /// The id that the answer must echo.
    pub id: &'a str,
    /// Tokens that the caller already has.
    pub offset: u64,
    /// The id of the last event that the caller already has.
    pub last_event: Option<&'a str>,
}

/// Sends a request and waits for the head of its answer.
pub async fn dispatch_request<D: EndpointDialect>(
    context: &GateContext,
    request: &ClassifiedRequest,
    lease: &GrantLease,
    start: AttemptStart<'_>,
) -> Result<EndpointAnswer, EndpointFailure> {
    let facts = AttemptContext {
        request,
        endpoint: &lease.endpoint,
        id: start.id,
        resume_offset: start.offset,
        last_event: start.last_event,
        time_left: request.deadline.saturating_duration_since(Instant::now()),
    };
    let endpoint_request = EndpointRequest {
        address: lease.endpoint.address.clone(),
        method: request.accepted.method.clone(),
        path: request.accepted.target.clone(),
        headers: D::attempt_headers(&facts),
        body: request.accepted.body.clone(),
        head_timeout: head_timeout(request),
    };
    let rest = request.cut_off.saturating_duration_since(Instant::now());
    let sending = context.endpoints.send(endpoint_request);
    let answer = timeout(rest, sending).await.unwrap_or(Err(EndpointFailure::TimeUp))?;
    D::check_head(answer.status, &answer.headers, start.id)?;
    Ok(answer)
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
        AnswerForm::ModelStream | AnswerForm::Service | AnswerForm::EventStream => silence,
        // The head of an unstreamed answer comes only with its last token.
        AnswerForm::ModelWhole => {
            silence.max(request.deadline.saturating_duration_since(Instant::now()))
        }
    }
}

/// Copies headers but those of the connection, those it names and those that are withheld.
pub fn passed_headers(headers: &HeaderMap, is_withheld: impl Fn(&str) -> bool) -> HeaderMap {
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
