//! Ends a request: its record, its log line, its metrics and the rest of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde_json::json;

use coltsfootgate_config::RequestBranches;
use coltsfootgate_core::prelude::{ErrorKind, RequestOutcome};

use super::classify::{AnswerForm, ClassifiedRequest};
use super::context::PipelineContext;
use super::journal::{RequestJournal, wall_milliseconds};
use super::record::DecisionRecord;
use super::relay::event_stream_type;
use crate::dialect::CallerDialect;
use crate::entry::{CallerLink, Refusal};
use crate::logging::DECISION_TARGET;
use crate::metrics::{DaemonMetrics, LatencyTarget, NO_CLASS};

/// The reason in the record of a request that was served.
const COMPLETED: &str = "completed";

/// A complete answer of an endpoint, with the part that is still to be sent to the caller.
#[derive(Debug)]
pub enum ServedAnswer {
    /// A model's stream: the caller has its chunks and still needs the end events.
    Stream,
    /// A buffered answer, of which the caller has nothing yet.
    Body {
        /// Its status.
        status: StatusCode,
        /// Its headers, without those that report the outcome.
        headers: HeaderMap,
        /// Its body.
        body: Bytes,
    },
    /// An answer that was forwarded completely, as events or because it was too large to buffer.
    Forwarded,
}

impl ServedAnswer {
    /// The status sent by the endpoint.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Body { status, .. } => *status,
            Self::Stream | Self::Forwarded => StatusCode::OK,
        }
    }
}

/// How a request ended.
#[derive(Debug)]
pub enum RequestEnd {
    /// The request was served.
    Served(ServedAnswer),
    /// The request was refused, failed or was aborted.
    Refused(Refusal),
}

/// Completes the record of a request, counts and logs it, and sends the rest of the answer.
pub async fn settle_request<D: CallerDialect>(
    context: &PipelineContext,
    request: Option<&ClassifiedRequest>,
    mut journal: RequestJournal,
    mut caller: CallerLink,
    end: RequestEnd,
) {
    complete_record(&mut journal.record, request, &end);
    let record = journal.record;
    count_outcome(&context.metrics, request, &record, &end);
    if let Ok(line) = serde_json::to_string(&record) {
        log::info!(target: DECISION_TARGET, "{line}");
        let caller_id = record.caller_id.as_deref().map(Arc::from);
        context.records.insert(journal.id, caller_id, line.into());
    }
    let is_model_stream = request.is_none_or(|request| request.form == AnswerForm::ModelStream);
    send_end::<D>(&record, &mut caller, is_model_stream, end).await;
}

fn complete_record(
    record: &mut DecisionRecord,
    request: Option<&ClassifiedRequest>,
    end: &RequestEnd,
) {
    record.ended_ms = wall_milliseconds();
    match end {
        RequestEnd::Refused(refusal) => {
            // Tokens of an incomplete answer are of no use to the caller.
            record.wasted_tokens = record.tokens;
            record.status = refusal.status().as_u16();
            record.outcome = refusal.kind.outcome().name();
            record.reason = refusal.kind.code();
            record.rule = refusal.rule.to_string();
            record.message = refusal.message.clone();
        }
        RequestEnd::Served(answer) => {
            record.status = answer.status().as_u16();
            record.outcome = RequestOutcome::Completed.name();
            record.reason = COMPLETED;
            record.rule = request.map_or_else(|| "pools".to_owned(), serving_rule);
        }
    }
}

fn count_outcome(
    metrics: &DaemonMetrics,
    request: Option<&ClassifiedRequest>,
    record: &DecisionRecord,
    end: &RequestEnd,
) {
    let class = record.class.as_deref().unwrap_or(NO_CLASS);
    let refused = match end {
        RequestEnd::Refused(refusal) => Some(refusal.kind),
        RequestEnd::Served(_) => None,
    };
    let outcome = refused.map_or(RequestOutcome::Completed, ErrorKind::outcome);
    metrics.request_ended(class, outcome, refused);
    let goodput = if refused.is_none() { record.tokens } else { 0 };
    metrics.tokens_counted(class, goodput, record.wasted_tokens);
    metrics.waited(class, milliseconds(record.wait_ms));
    if let Some(request) = request.filter(|_| refused.is_none()) {
        count_targets(metrics, request, record);
    }
}

/// Counts which targets of its class a completed request met.
fn count_targets(metrics: &DaemonMetrics, request: &ClassifiedRequest, record: &DecisionRecord) {
    let class = &request.class;
    let total = milliseconds((record.ended_ms - record.arrived_ms) as f64);
    metrics.whole_answer(&class.id, total);
    if matches!(request.form, AnswerForm::ModelStream | AnswerForm::EventStream) {
        let first = milliseconds(record.first_token_ms.unwrap_or_default());
        metrics.first_token(&class.id, first);
        metrics.target_counted(&class.id, LatencyTarget::FirstToken, first <= class.first_token);
        let between = milliseconds(record.between_tokens_ms.unwrap_or_default());
        let met = between <= class.between_tokens;
        metrics.target_counted(&class.id, LatencyTarget::BetweenTokens, met);
    } else {
        metrics.target_counted(&class.id, LatencyTarget::WholeAnswer, total <= class.whole_answer);
    }
}

fn milliseconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1000.0)
}

async fn send_end<D: CallerDialect>(
    record: &DecisionRecord,
    caller: &mut CallerLink,
    is_model_stream: bool,
    end: RequestEnd,
) {
    match end {
        RequestEnd::Served(ServedAnswer::Stream) => {
            let _ = caller.send(end_event(record)).await;
            let _ = caller.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
            caller.finish();
        }
        RequestEnd::Served(ServedAnswer::Body { status, mut headers, body }) => {
            headers.extend(D::record_headers(record));
            caller.send_full(status, headers, body);
        }
        RequestEnd::Served(ServedAnswer::Forwarded) => caller.finish(),
        RequestEnd::Refused(refusal) if caller.has_started() => {
            if is_model_stream {
                send_error_event(record, caller, &refusal).await;
            }
            caller.abort().await;
        }
        RequestEnd::Refused(refusal) => {
            let mut headers = refusal.headers::<D>();
            headers.extend(D::record_headers(record));
            caller.send_full(refusal.status(), headers, refusal.body());
        }
    }
}

/// Sends the error and the end event in a model's stream before the transfer is aborted.
async fn send_error_event(record: &DecisionRecord, caller: &mut CallerLink, refusal: &Refusal) {
    let error = [b"data: ".as_slice(), &refusal.body(), b"\n\n"].concat();
    let _ = caller.send(Bytes::from(error)).await;
    let _ = caller.send(end_event(record)).await;
}

fn end_event(record: &DecisionRecord) -> Bytes {
    let data = json!({
        "request_id": record.request_id,
        "outcome": record.outcome,
        "reason": record.reason,
        "rule": record.rule,
        "config_version": record.config_version,
    });
    Bytes::from(format!("event: coltsfootgate.end\ndata: {data}\n\n"))
}

/// The branch of the settings tree that sets the tier of a served request.
fn serving_rule(request: &ClassifiedRequest) -> String {
    let subjects = RequestBranches {
        class: Some(&request.class.id),
        customer: Some(&request.customer.id),
        pool: Some(&request.pool.id),
    };
    request.active.tree.rule(None, subjects).branch.to_string()
}

/// The head of a streamed answer.
pub fn stream_head<D: CallerDialect>(request: &ClassifiedRequest) -> (StatusCode, HeaderMap) {
    let mut headers =
        outcome_headers::<D>(request, "streaming", "streaming", &serving_rule(request));
    let (name, value) = event_stream_type();
    headers.insert(name, value);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    (StatusCode::OK, headers)
}

/// The headers that report the outcome and its reason, for an answer that has not ended yet.
pub fn outcome_headers<D: CallerDialect>(
    request: &ClassifiedRequest,
    outcome: &'static str,
    reason: &'static str,
    rule: &str,
) -> HeaderMap {
    D::record_headers(&DecisionRecord {
        request_id: request.accepted.id.to_string(),
        outcome,
        reason,
        rule: rule.to_owned(),
        config_version: request.active.version,
        ..DecisionRecord::default()
    })
}
