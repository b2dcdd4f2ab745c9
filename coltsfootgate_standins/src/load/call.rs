//! Performs one call of the load generator and verifies its answer.

use std::cell::RefCell;
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};

use super::arrivals::PlannedCall;
use super::client::ConnectionPool;
use super::report::LoadReport;
use super::stream::StreamChecker;
use super::{LoadPlan, LoadTarget};
use crate::answer_text::PromptDigest;

const OUTCOME_HEADER: &str = "coltsfootgate-outcome";
const REASON_HEADER: &str = "coltsfootgate-reason";

/// Result of a call from the view of its caller.
pub(super) struct CallResult<'a> {
    run_started: Instant,
    report: &'a RefCell<LoadReport>,
    pub(super) started: Instant,
    /// Time of the first token, or of the complete answer if it is not streamed.
    pub(super) first: Option<Instant>,
    /// Time of the last token.
    last: Instant,
    pub(super) ended: Instant,
    pub(super) tokens: u32,
    /// Number of received tokens for each second since the start of the run in which any came.
    pub(super) seconds: Vec<(usize, u32)>,
    /// Whether the complete expected answer to this request was received.
    pub(super) is_complete: bool,
    /// Whether the answer was marked as complete.
    pub(super) claims_complete: bool,
    /// Whether the answer had content that does not belong to this request.
    pub(super) foreign: bool,
    pub(super) outcome: String,
    pub(super) reason: String,
    /// Path of a call to a service, which identifies its executions there.
    pub(super) path: Option<String>,
}

impl<'a> CallResult<'a> {
    pub(super) fn new(run_started: Instant, report: &'a RefCell<LoadReport>) -> Self {
        let now = Instant::now();
        Self {
            run_started,
            report,
            started: now,
            first: None,
            last: now,
            ended: now,
            tokens: 0,
            seconds: Vec::new(),
            is_complete: false,
            claims_complete: false,
            foreign: false,
            outcome: "unknown".to_owned(),
            reason: "no-answer".to_owned(),
            path: None,
        }
    }

    /// Mean time between tokens in milliseconds, if there are at least two.
    pub(super) fn between_tokens_ms(&self) -> Option<f64> {
        let span = (self.last - self.first?).as_secs_f64() * 1e3;
        (self.tokens > 1).then(|| span / f64::from(self.tokens - 1))
    }

    fn record_tokens(&mut self, class: &str, count: u32) {
        let now = Instant::now();
        let gap = self.first.is_some().then(|| now - self.last);
        self.first.get_or_insert(now);
        self.last = now;
        self.tokens += count;
        let second = (now - self.run_started).as_secs() as usize;
        match self.seconds.last_mut().filter(|(last, _)| *last == second) {
            Some((_, tokens)) => *tokens += count,
            None => self.seconds.push((second, count)),
        }
        self.report.borrow_mut().record_tokens(class, count, gap);
    }

    fn record_headers(&mut self, headers: &HeaderMap) {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        self.outcome = text(OUTCOME_HEADER).unwrap_or("unknown").to_owned();
        self.reason = text(REASON_HEADER).unwrap_or("no-reason").to_owned();
    }
}

/// Performs a call and records its result; a call that no instance accepts is `not-run`.
pub(super) async fn perform(
    connections: &ConnectionPool,
    plan: &LoadPlan,
    call: &PlannedCall,
    result: &mut CallResult<'_>,
) {
    let class = &plan.classes[call.class];
    let Some(mut connection) = connections.acquire().await else {
        result.reason = "no-entry".to_owned();
        result.outcome = "not-run".to_owned();
        return;
    };
    let request = build_request(plan, call, result);
    if let Ok(response) = connection.send(request).await {
        result.record_headers(response.headers());
        let is_body_complete = match &class.target {
            LoadTarget::Model { max_tokens, stream, .. } => {
                let digest = PromptDigest::of(&call.prompt);
                let length = digest.answer_length(plan.engine_seed, *max_tokens);
                if *stream && response.status().is_success() {
                    read_stream(response, &class.name, digest, length, result).await
                } else {
                    let expected = digest.text(0, length);
                    read_unstreamed(response, &class.name, result, |body| {
                        let is_expected = body["choices"][0]["message"]["content"] == expected;
                        is_expected.then_some(length)
                    })
                    .await
                }
            }
            LoadTarget::Service { .. } => {
                let path = result.path.clone();
                let is_expected = |body: &Value| body["target"].as_str() == path.as_deref();
                read_unstreamed(response, &class.name, result, |body| {
                    is_expected(body).then_some(0)
                })
                .await
            }
        };
        if is_body_complete {
            connections.release(connection);
        }
    }
    result.ended = Instant::now();
}

fn build_request(
    plan: &LoadPlan,
    call: &PlannedCall,
    result: &mut CallResult<'_>,
) -> Request<Full<Bytes>> {
    let class = &plan.classes[call.class];
    let mut builder = Request::builder()
        .header("host", "coltsfootgate")
        .header("authorization", format!("Bearer {}", call.key));
    for (name, value) in &class.headers {
        builder = builder.header(name, value);
    }
    let body = match &class.target {
        LoadTarget::Model { model, stream, max_tokens, .. } => {
            builder = builder.method(Method::POST).uri("/v1/chat/completions");
            builder = builder.header("content-type", "application/json");
            let messages = json!([{"role": "user", "content": call.prompt}]);
            let (stream, max_tokens) = (*stream, *max_tokens);
            json!({
                "model": model, "stream": stream, "max_tokens": max_tokens, "messages": messages,
            })
            .to_string()
        }
        LoadTarget::Service { method, path, keyed, .. } => {
            let number = format!("{}-{}", plan.seed, call.number);
            let path = path.replace("{n}", &number);
            builder = builder.method(method.as_str()).uri(&path);
            if *keyed {
                builder = builder.header("idempotency-key", format!("load-{number}"));
            }
            result.path = Some(path);
            String::new()
        }
    };
    builder.body(Full::from(body)).expect("a planned request is valid")
}

/// Reads and verifies a streamed answer; returns whether the body was read to its end.
async fn read_stream(
    response: Response<Incoming>,
    class: &str,
    digest: PromptDigest,
    length: u32,
    result: &mut CallResult<'_>,
) -> bool {
    let mut checker = StreamChecker::new(digest, length);
    let mut body = response.into_body();
    let is_body_complete = loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let tokens = frame.data_ref().map_or(0, |chunk| checker.feed(chunk));
                if tokens > 0 {
                    result.record_tokens(class, tokens);
                }
            }
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    result.foreign = checker.foreign;
    result.is_complete = checker.is_complete();
    match &checker.end {
        Some(end) => {
            result.outcome.clone_from(&end.outcome);
            result.reason.clone_from(&end.reason);
        }
        None => {
            result.outcome = "unknown".to_owned();
            result.reason = checker.error_code.clone().unwrap_or("no-end-event".to_owned());
        }
    }
    result.claims_complete = checker.is_done || result.outcome == "completed";
    is_body_complete
}

/// Reads and verifies an answer that is not streamed; returns whether the body was read to its end.
/// `expected_tokens` returns the number of tokens of the expected body, and `None` for any other.
async fn read_unstreamed(
    response: Response<Incoming>,
    class: &str,
    result: &mut CallResult<'_>,
    expected_tokens: impl FnOnce(&Value) -> Option<u32>,
) -> bool {
    let is_success = response.status().is_success();
    let Ok(body) = response.into_body().collect().await else {
        result.reason = "broken-body".to_owned();
        return false;
    };
    let now = Instant::now();
    result.first.get_or_insert(now);
    if is_success {
        let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
        let tokens = expected_tokens(&body);
        result.claims_complete = true;
        result.is_complete = tokens.is_some();
        result.foreign = tokens.is_none();
        result.tokens = tokens.unwrap_or(0);
        result.seconds.push(((now - result.run_started).as_secs() as usize, result.tokens));
        result.report.borrow_mut().record_tokens(class, result.tokens, None);
    }
    true
}
