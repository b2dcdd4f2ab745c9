//! Sends one attempt of a request to the granted endpoint.

use std::time::{Duration, Instant};

use http::{HeaderMap, header};
use monoio::time::timeout;

use super::classify::{AnswerForm, ClassifiedRequest};
use super::context::PipelineContext;
use super::lease::GrantLease;
use crate::dialect::{AttemptContext, CallerDialect, EndpointDialect};
use crate::endpoint::{EndpointAnswer, EndpointClient, EndpointFailure, EndpointRequest};

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: &[&str] = &[
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

/// The id of an attempt and the point of the answer at which it starts.
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
///
/// # Errors
///
/// Fails if no head arrives in time, or if it does not belong to the attempt or reports that the
/// attempt was not started.
pub async fn dispatch_request<D: EndpointDialect>(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    lease: &GrantLease,
    start: AttemptStart<'_>,
) -> Result<EndpointAnswer, EndpointFailure> {
    let attempt = AttemptContext {
        request,
        endpoint: &lease.endpoint,
        id: start.id,
        resume_offset: start.offset,
        last_event: start.last_event,
        time_left: request.deadline.saturating_duration_since(Instant::now()),
    };
    let endpoint_request = EndpointRequest {
        pool: request.pool.id.clone(),
        endpoint: lease.endpoint.id.clone(),
        attempt: start.id.into(),
        address: lease.endpoint.address.clone(),
        method: request.accepted.method.clone(),
        path: request.accepted.target.clone(),
        headers: D::attempt_headers(&attempt),
        body: request.accepted.body.clone(),
        head_timeout: head_timeout(request),
        silence: request.pool.silence,
        progress: lease.progress.clone(),
    };
    let time_left = request.timeout_at.saturating_duration_since(Instant::now());
    let sent_at = Instant::now();
    let sending = context.endpoints.send(endpoint_request);
    let answer =
        timeout(time_left, sending).await.unwrap_or(Err(EndpointFailure::RequestTimeout))?;
    let checked = D::check_head(answer.status, &answer.headers, start.id);
    let is_own = checked != Err(EndpointFailure::Mismatched);
    let notice = D::answer_notice(answer.status, &answer.headers).filter(|_| is_own);
    if let Some(notice) = notice {
        lease.observe_notice(notice, sent_at);
    }
    checked.map(|()| answer)
}

/// Copies the headers of an endpoint's answer that are forwarded to the caller.
pub fn answer_headers<D: CallerDialect>(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = forwarded_headers(headers, D::is_record_header);
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded
}

fn head_timeout(request: &ClassifiedRequest) -> Duration {
    let silence = request.pool.silence;
    match request.form {
        AnswerForm::ModelStream | AnswerForm::Service | AnswerForm::EventStream => silence,
        // The head of an answer that is not streamed arrives only after its last token.
        AnswerForm::ModelBody => {
            silence.max(request.deadline.saturating_duration_since(Instant::now()))
        }
    }
}

/// Copies all headers except hop-by-hop headers, those that `Connection` names, and those for which
/// `is_excluded` returns true.
pub fn forwarded_headers(headers: &HeaderMap, is_excluded: impl Fn(&str) -> bool) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_dropped = HOP_BY_HOP_HEADERS.contains(&text)
            || named.iter().any(|named| named == text)
            || is_excluded(text);
        if !is_dropped {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}
