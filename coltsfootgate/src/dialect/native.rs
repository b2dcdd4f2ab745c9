//! The native protocol dialect of coltsfootgate.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

use coltsfootgate_core::endpoint_limit::LimitNotice;
use coltsfootgate_core::prelude::ErrorKind;

use super::{
    AnswerNotice, AttemptContext, CallerDialect, Dialect, EndpointDialect, ModelPath,
    PromptMetadata, RequestMetadata, check_echoed_id,
};
use crate::duties::{DutyPlan, NoDuties};
use crate::endpoint::{
    EndpointFailure, NOT_STARTED_HEADER, PRIORITY_HEADER, RATE_LIMIT_HEADER, REQUEST_ID_HEADER,
    RESUME_HEADER,
};
use crate::entry::Refusal;
use crate::entry::answer::{CONFIG_VERSION, OUTCOME, REASON, REPLAYED, REQUEST_ID, RULE};
use crate::entry::head::{bearer_key, header_text, malformed, positive_duration};
use crate::entry::request::{
    DEADLINE, ENTRY_RULE, IDEMPOTENCY_KEY, IDEMPOTENCY_KEY_BYTES_MAX, NOT_REPEATABLE,
};
use crate::options::DaemonSettings;
use crate::pipeline::DecisionRecord;
use crate::pipeline::classify::{AnswerForm, ClassifiedRequest};
use crate::pipeline::dispatch::forwarded_headers;
use crate::platform::HttpPlatform;

/// The prefix of the headers that only the daemon sets in answers.
const RECORD_PREFIX: &str = "coltsfootgate-";
/// The path of the list of models.
const MODELS_PATH: &str = "/v1/models";
/// The paths of requests that name their model in the body.
const COMPLETION_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];
/// The paths that have a meaning of their own in the native dialect.
pub const MODEL_PATHS: [&str; 3] = [MODELS_PATH, COMPLETION_PATHS[0], COMPLETION_PATHS[1]];
/// The headers that the daemon adds to answers in the native dialect.
pub const RECORD_HEADERS: [&str; 6] = [REQUEST_ID, OUTCOME, REASON, RULE, CONFIG_VERSION, REPLAYED];
/// The other headers that have a meaning of their own in the native dialect, in requests and answers.
pub const OWN_HEADERS: [&str; 8] = [
    DEADLINE,
    NOT_REPEATABLE,
    IDEMPOTENCY_KEY,
    REQUEST_ID_HEADER,
    PRIORITY_HEADER,
    RESUME_HEADER,
    NOT_STARTED_HEADER,
    RATE_LIMIT_HEADER,
];

/// Headers of callers that are not forwarded to endpoints, besides hop-by-hop headers.
const WITHHELD_HEADERS: &[&str] = &[
    "authorization",
    "content-length",
    "expect",
    "host",
    "x-request-id",
    PRIORITY_HEADER,
    RESUME_HEADER,
    NOT_STARTED_HEADER,
    DEADLINE,
    NOT_REPEATABLE,
];

/// The native dialect.
#[derive(Debug)]
pub struct NativeDialect;

/// The native dialect of callers.
#[derive(Debug)]
pub struct NativeCallers;

/// The native dialect of endpoints.
#[derive(Debug)]
pub struct NativeEndpoints;

impl Dialect for NativeDialect {
    type Callers = NativeCallers;
    type Endpoints = NativeEndpoints;
    type Platform = HttpPlatform;
    type Duties = NoDuties;

    fn platform(settings: &DaemonSettings) -> Result<HttpPlatform, String> {
        Ok(HttpPlatform::new(settings.platform, settings.platform_timeout))
    }

    fn duties(_settings: &DaemonSettings) -> Option<(DutyPlan, NoDuties)> {
        None
    }
}

impl CallerDialect for NativeCallers {
    fn read_head(head: &Parts) -> Result<RequestMetadata, Refusal> {
        Ok(RequestMetadata {
            caller_id: None,
            bearer: bearer_key(&head.headers)?,
            idempotency_key: idempotency_key(&head.headers)?,
            not_repeatable: not_repeatable(&head.headers)?,
            deadline: deadline(&head.headers)?,
            prompt: PromptMetadata::default(),
            resumption: None,
        })
    }

    fn model_path(path: &str) -> Option<ModelPath> {
        match path {
            MODELS_PATH => Some(ModelPath::List),
            _ if COMPLETION_PATHS.contains(&path) => Some(ModelPath::Completion),
            _ => None,
        }
    }

    fn is_record_header(name: &str) -> bool {
        name.starts_with(RECORD_PREFIX)
    }

    fn record_headers(record: &DecisionRecord) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let version = record.config_version.to_string();
        let values = [
            (REQUEST_ID, record.request_id.as_str()),
            (OUTCOME, record.outcome),
            (REASON, record.reason),
            (RULE, record.rule.as_str()),
            (CONFIG_VERSION, version.as_str()),
        ];
        for (name, value) in values {
            // Branch names are validated when the tree is parsed, so every value is a valid header.
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        }
        headers
    }

    fn retry_after(delay: Duration) -> HeaderValue {
        HeaderValue::from(delay.as_secs_f64().ceil().max(1.0) as u64)
    }
}

impl EndpointDialect for NativeEndpoints {
    /// The first attempt uses the request id; later ones append the attempt number.
    fn attempt_id(request: &ClassifiedRequest, attempt: u32) -> Arc<str> {
        let request = request.accepted.id;
        match attempt {
            0 | 1 => request.to_string().into(),
            later => format!("{request}-{later}").into(),
        }
    }

    fn attempt_headers(attempt: &AttemptContext<'_>) -> HeaderMap {
        let AttemptContext { request, endpoint, id, resume_offset, .. } = *attempt;
        let forwards_key = request.form == AnswerForm::Service;
        let mut headers = forwarded_headers(&request.accepted.headers, |name| {
            WITHHELD_HEADERS.contains(&name) || (name == IDEMPOTENCY_KEY && !forwards_key)
        });
        // An address and a request id are visible ASCII, so both are valid values.
        if let Ok(host) = HeaderValue::from_str(&endpoint.address) {
            headers.insert(header::HOST, host);
        }
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        if request.form != AnswerForm::Service {
            let tier = HeaderValue::from(u16::from(request.class.tier.number()));
            headers.insert(HeaderName::from_static(PRIORITY_HEADER), tier);
        }
        if resume_offset > 0 {
            headers
                .insert(HeaderName::from_static(RESUME_HEADER), HeaderValue::from(resume_offset));
        }
        headers
    }

    fn check_head(
        status: StatusCode,
        headers: &HeaderMap,
        attempt: &str,
    ) -> Result<(), EndpointFailure> {
        let echoed = headers.get(REQUEST_ID_HEADER);
        let is_refusal = headers.get(NOT_STARTED_HEADER).is_some_and(|value| value == "true");
        // A component in front of the endpoint may refuse the request without knowing its id, and an
        // endpoint may send the refusal of an earlier request once more.
        if is_refusal && echoed.is_none_or(|echoed| echoed.as_bytes() == attempt.as_bytes()) {
            return Err(EndpointFailure::RefusedBeforeStart);
        }
        check_echoed_id(status, echoed, attempt)
    }

    fn answer_notice(_status: StatusCode, headers: &HeaderMap) -> Option<AnswerNotice> {
        let limit = LimitNotice::parse(headers.get(RATE_LIMIT_HEADER).map(HeaderValue::as_bytes));
        Some(AnswerNotice { limit, ..AnswerNotice::default() })
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let Some(text) = header_text(headers, IDEMPOTENCY_KEY)? else { return Ok(None) };
    let is_valid = (1..=IDEMPOTENCY_KEY_BYTES_MAX).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_valid {
        let message = format!(
            "an idempotency key has 1 to {IDEMPOTENCY_KEY_BYTES_MAX} visible ASCII characters"
        );
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
    milliseconds.and_then(positive_duration).map(Some).ok_or_else(|| {
        malformed(format!("{DEADLINE} is \"{text}\", not a time such as \"1500 ms\""))
    })
}
