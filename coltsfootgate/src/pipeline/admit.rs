//! Asks for the grant without which nothing is sent to an endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::comeback::retry_after_delay;
use coltsfootgate_core::owner::{
    EngineReservation, GrantRequest, HeldGrant, ReleaseReport, ReleaseResult,
};
use coltsfootgate_core::prelude::{EndpointId, EndpointSettings, ErrorKind};
use coltsfootgate_core::prompt::PromptLoad;
use futures_util::future::{Either, select};

use super::classify::ClassifiedRequest;
use super::context::GateContext;
use super::journal::RequestJournal;
use super::route::{RouteEnd, RouteWalk};
use crate::entry::{CallerLink, Refusal};
use crate::routes::{AskPlace, LeaseEntry, OwnerLink, RouteBoard};

/// Estimated tokens of an answer before any was seen.
const FIRST_ESTIMATE_TOKENS: u32 = 64;

/// Grants of endpoints that are not known here, after which a request is given up.
const UNKNOWN_ENDPOINTS_MAX: usize = 4;

/// The right to send one request to one endpoint; given back when dropped.
pub struct GrantLease {
    /// The endpoint.
    pub endpoint: EndpointSettings,
    entry: LeaseEntry,
    routes: RouteBoard,
    link: OwnerLink,
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

impl GrantLease {
    /// Tells whoever counts the grant that the first token came.
    pub fn first_token(&self) {
        self.link.first_token(&self.place(), &self.entry.pool, self.report.grant);
    }

    /// Who counts the grant now.
    fn place(&self) -> AskPlace {
        match &self.entry.place {
            // Another instance may own the endpoint by now and was told of the grant.
            AskPlace::Owner(owner) => {
                let present = self.routes.owner_of(&self.endpoint.id);
                AskPlace::Owner(present.unwrap_or_else(|| owner.clone()))
            }
            place => place.clone(),
        }
    }
}

impl Drop for GrantLease {
    fn drop(&mut self) {
        self.routes.ended(&self.entry);
        self.link.release(&self.place(), &self.entry.pool, self.report.clone());
    }
}

/// Waits for a grant, for the deadline or for the caller to leave.
///
/// The owner may know of an endpoint a moment before this instance does; another one is asked for
/// then.
pub async fn admit_request(
    context: &GateContext,
    request: &ClassifiedRequest,
    excluded: &[EndpointId],
    caller: &mut CallerLink,
    journal: &mut RequestJournal,
) -> Result<GrantLease, Refusal> {
    let mut excluded = excluded.to_vec();
    for _ in 0..UNKNOWN_ENDPOINTS_MAX {
        match admit_once(context, request, &excluded, caller, journal).await? {
            Ok(lease) => return Ok(lease),
            Err(UnknownEndpoint(endpoint)) => excluded.push(endpoint),
        }
    }
    let message = "the granted endpoints are not known here";
    Err(refusal(request, ErrorKind::NoEndpoint, message))
}

/// A grant named an endpoint that is not, or no longer, known here.
struct UnknownEndpoint(EndpointId);

async fn admit_once(
    context: &GateContext,
    request: &ClassifiedRequest,
    excluded: &[EndpointId],
    caller: &mut CallerLink,
    journal: &mut RequestJournal,
) -> Result<Result<GrantLease, UnknownEndpoint>, Refusal> {
    let asked = Instant::now();
    let ask = grant_request(context, request, excluded);
    let mut walk = RouteWalk::new(context, &request.pool.id, &ask);
    let end = match select(std::pin::pin!(walk.run()), std::pin::pin!(caller.gone())).await {
        Either::Left((end, _)) => end,
        Either::Right(_) => {
            journal.waited(asked.elapsed());
            let message = "the caller left while its request was waiting";
            return Err(refusal(request, ErrorKind::CallerLeftWaiting, message));
        }
    };
    match end {
        RouteEnd::Granted { grant, endpoint, place, by_floor } => {
            journal.granted(&endpoint, &place_name(&place), asked.elapsed(), by_floor);
            let held = HeldGrant {
                grant,
                endpoint,
                class: request.class.id.clone(),
                tier: request.class.tier,
                reservation: EngineReservation::from(&ask.prompt),
            };
            let entry = LeaseEntry { pool: request.pool.id.clone(), held, place };
            Ok(lease(context, request, &walk, entry))
        }
        RouteEnd::Refused { kind, pressure } => {
            journal.waited(asked.elapsed());
            let drain = pressure.expected_wait(request.class.tier);
            let wait = retry_after_delay(kind, drain, rand::random());
            Err(refusal(request, kind, &capacity_message(kind, request)).after(wait))
        }
    }
}

fn place_name(place: &AskPlace) -> Arc<str> {
    match place {
        AskPlace::Owner(owner) => owner.clone(),
        AskPlace::Share => "share".into(),
        AskPlace::Nobody => "nobody".into(),
    }
}

fn grant_request(
    context: &GateContext,
    request: &ClassifiedRequest,
    excluded: &[EndpointId],
) -> GrantRequest {
    let is_model = request.pool.is_engine();
    GrantRequest {
        request: request.accepted.id,
        requester: context.own.clone(),
        grant: 0,
        class: request.class.id.clone(),
        tier: request.class.tier,
        stated_tier: request.stated_tier,
        customer: request.customer.id.clone(),
        weight: request.customer.weight,
        floor: request.class.floor,
        queue_requests: request.class.queue_requests,
        queue_tokens: request.class.queue_tokens,
        tokens: if is_model { FIRST_ESTIMATE_TOKENS } else { 1 },
        prompt: prompt_load(request),
        zone: context.zone.clone(),
        arrived: request.accepted.arrived,
        deadline: request.deadline,
        prefix: request.prefix,
        excluded: excluded.to_vec(),
        wait: true,
    }
}

/// What a request asks of an engine; nothing where the pool has none.
fn prompt_load(request: &ClassifiedRequest) -> PromptLoad {
    if !request.pool.is_engine() {
        return PromptLoad::default();
    }
    let facts = &request.accepted.stated.prompt;
    PromptLoad {
        parts: facts.parts.clone(),
        tokens: facts.prompt_tokens,
        answer_tokens: facts.answer_tokens,
        first_token_target: request.class.first_token,
        between_tokens_target: request.class.between_tokens,
    }
}

fn lease(
    context: &GateContext,
    request: &ClassifiedRequest,
    walk: &RouteWalk<'_>,
    entry: LeaseEntry,
) -> Result<GrantLease, UnknownEndpoint> {
    let mut report = ReleaseReport {
        requester: context.own.clone(),
        grant: entry.held.grant,
        endpoint: entry.held.endpoint.clone(),
        tokens: 0,
        first_token: None,
        between_tokens: None,
        result: ReleaseResult::Cancelled,
    };
    let Some(endpoint) = context.routes.endpoint(&request.pool.id, &entry.held.endpoint) else {
        report.result = ReleaseResult::NotSent;
        context.link.release(&entry.place, &entry.pool, report);
        return Err(UnknownEndpoint(entry.held.endpoint));
    };
    let owner = match &entry.place {
        AskPlace::Owner(owner) => Some(owner),
        AskPlace::Share | AskPlace::Nobody => None,
    };
    context.routes.granted(walk.route(), owner, entry.clone());
    let (routes, link) = (context.routes.clone(), context.link.clone());
    Ok(GrantLease { endpoint, entry, routes, link, report })
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
    let subjects = coltsfootgate_config::RequestBranches {
        class: Some(&request.class.id),
        customer: Some(&request.customer.id),
        pool: Some(&request.pool.id),
    };
    let rule = request.active.tree.rule(Some(kind), subjects);
    Refusal::new(kind, rule.branch, message)
}
