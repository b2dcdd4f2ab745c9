//! Asks for the grant without which nothing is sent to an endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{GrantRequest, ReleaseReport, ReleaseResult};
use coltsfootgate_core::prelude::{EndpointId, EndpointSettings, ErrorKind, PoolId, PoolSettings};
use futures_util::future::{Either, select};

use super::classify::{AnswerForm, ClassifiedRequest};
use super::context::GateContext;
use super::journal::RequestJournal;
use crate::entry::{CallerLink, Refusal};
use crate::owner::{GrantAnswer, OwnerHandle, OwnerMessage};

/// Estimated tokens of an answer before any was seen.
const FIRST_ESTIMATE_TOKENS: u32 = 64;

/// The right to send one request to one endpoint; given back when dropped.
#[derive(Debug)]
pub struct GrantLease {
    /// The endpoint.
    pub endpoint: EndpointSettings,
    pool: PoolId,
    owner: OwnerHandle,
    report: ReleaseReport,
}

/// What an attempt saw of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptFigures {
    /// Tokens received.
    pub tokens: u32,
    /// Time from sending to the first token or the head of the answer.
    pub first_token: Option<Duration>,
    /// Mean time between two tokens.
    pub between_tokens: Option<Duration>,
}

impl GrantLease {
    /// Gives the grant back with what was seen.
    pub fn release(mut self, result: ReleaseResult, figures: AttemptFigures) {
        self.report.result = result;
        self.report.tokens = figures.tokens;
        self.report.first_token = figures.first_token;
        self.report.between_tokens = figures.between_tokens;
    }
}

impl Drop for GrantLease {
    fn drop(&mut self) {
        let message =
            OwnerMessage::Release { pool: self.pool.clone(), report: self.report.clone() };
        self.owner.tell(message);
    }
}

/// Cancels an ask that is dropped before its answer.
struct PendingAsk<'a> {
    owner: &'a OwnerHandle,
    pool: &'a PoolId,
    request: &'a GrantRequest,
    answered: bool,
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.owner.tell(OwnerMessage::Cancel {
                pool: self.pool.clone(),
                asker: self.request.asker.clone(),
                grant: self.request.grant,
            });
        }
    }
}

/// Waits for a grant, for the deadline or for the caller to leave.
pub async fn admit_request(
    context: &GateContext,
    request: &ClassifiedRequest,
    excluded: &[EndpointId],
    caller: &mut CallerLink,
    journal: &mut RequestJournal,
) -> Result<GrantLease, Refusal> {
    let asked = Instant::now();
    let grant_request = grant_request(context, request, excluded);
    let ask = wait_for_grant(&context.owner, &request.pool.id, &grant_request);
    let answer = match select(std::pin::pin!(ask), std::pin::pin!(caller.gone())).await {
        Either::Left((answer, _)) => answer,
        Either::Right(_) => {
            journal.waited(asked.elapsed());
            let message = "the caller left while its request was waiting";
            return Err(refusal(request, ErrorKind::CallerLeftWaiting, message));
        }
    };
    match answer {
        Some(GrantAnswer::Granted { endpoint, by_floor }) => {
            journal.granted(&endpoint, &context.own, asked.elapsed(), by_floor);
            lease(context, request, &grant_request, endpoint)
        }
        Some(GrantAnswer::Refused { kind, pressure }) => {
            journal.waited(asked.elapsed());
            let wait = pressure.expected_wait(request.class.tier);
            Err(refusal(request, kind, &capacity_message(kind, request)).after(wait))
        }
        Some(GrantAnswer::Busy(_)) | None => {
            journal.waited(asked.elapsed());
            Err(refusal(request, ErrorKind::NoEndpoint, "no owner of an endpoint answered"))
        }
    }
}

async fn wait_for_grant(
    owner: &OwnerHandle,
    pool: &PoolId,
    request: &GrantRequest,
) -> Option<GrantAnswer> {
    let mut pending = PendingAsk { owner, pool, request, answered: false };
    let answer = owner.ask(pool.clone(), request.clone()).await;
    pending.answered = true;
    answer
}

fn grant_request(
    context: &GateContext,
    request: &ClassifiedRequest,
    excluded: &[EndpointId],
) -> GrantRequest {
    let is_model = request.form != AnswerForm::Service;
    GrantRequest {
        request: request.accepted.id,
        asker: context.own.clone(),
        grant: context.next_grant(),
        class: request.class.id.clone(),
        tier: request.class.tier,
        customer: request.customer.id.clone(),
        weight: request.customer.weight,
        floor: request.class.floor,
        queue_requests: request.class.queue_requests,
        queue_tokens: request.class.queue_tokens,
        tokens: if is_model { FIRST_ESTIMATE_TOKENS } else { 1 },
        deadline: request.deadline,
        prefix: request.prefix,
        excluded: excluded.to_vec(),
        wait: true,
    }
}

fn lease(
    context: &GateContext,
    request: &ClassifiedRequest,
    asked: &GrantRequest,
    endpoint: EndpointId,
) -> Result<GrantLease, Refusal> {
    let report = ReleaseReport {
        asker: asked.asker.clone(),
        grant: asked.grant,
        endpoint: endpoint.clone(),
        tokens: 0,
        first_token: None,
        between_tokens: None,
        result: ReleaseResult::Cancelled,
    };
    let pool = request.pool.id.clone();
    let Some(settings) = find_endpoint(&request.pool, &endpoint) else {
        let report = ReleaseReport { result: ReleaseResult::NotSent, ..report };
        context.owner.tell(OwnerMessage::Release { pool, report });
        let message = "the granted endpoint is not in this request's version of the tree";
        return Err(refusal(request, ErrorKind::NoEndpoint, message));
    };
    Ok(GrantLease { endpoint: settings, pool, owner: context.owner.clone(), report })
}

fn find_endpoint(pool: &Arc<PoolSettings>, id: &EndpointId) -> Option<EndpointSettings> {
    pool.endpoints.iter().find(|endpoint| endpoint.id == *id).cloned()
}

fn capacity_message(kind: ErrorKind, request: &ClassifiedRequest) -> String {
    let class = &request.class;
    match kind {
        ErrorKind::QueueFull => format!(
            "the queue of tier {} is at its bound of {} requests or {} tokens",
            class.tier, class.queue_requests, class.queue_tokens,
        ),
        ErrorKind::Displaced => {
            "a request of a higher tier took this one's place in the queue".to_owned()
        }
        ErrorKind::DeadlineUnmeetable => {
            "the expected wait is longer than the request's deadline".to_owned()
        }
        ErrorKind::DeadlinePassed => {
            "the request's deadline passed while it was waiting".to_owned()
        }
        _ => "no endpoint of the pool is in service".to_owned(),
    }
}

/// A refusal whose rule is looked up in the tree.
pub fn refusal(request: &ClassifiedRequest, kind: ErrorKind, message: &str) -> Refusal {
    let subjects = coltsfootgate_config::RuleSubjects {
        class: Some(&request.class.id),
        customer: Some(&request.customer.id),
        pool: Some(&request.pool.id),
    };
    let rule = request.active.tree.rule(Some(kind), subjects);
    Refusal::new(kind, rule.branch, message)
}
