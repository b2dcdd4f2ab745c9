//! Requests the grant that a request needs before it is sent to an endpoint.

use std::sync::Arc;
use std::time::Instant;

use coltsfootgate_core::comeback::{rest_end_delay, retry_after_delay};
use coltsfootgate_core::owner::{EngineReservation, GrantRequest, HeldGrant};
use coltsfootgate_core::prelude::{EndpointId, EndpointSettings, ErrorKind, SoftwareVersion};
use coltsfootgate_core::prompt::PromptLoad;
use coltsfootgate_wire::EXCLUDED_MAX;
use futures_util::future::{Either, select};

use super::classify::ClassifiedRequest;
use super::context::PipelineContext;
use super::guard::{ExchangeGuard, GRACE_RULE};
use super::journal::RequestJournal;
use super::lease::{GrantLease, return_grant, start_lease};
use super::route::{GrantResult, GrantSearch};
use crate::entry::{CallerLink, Refusal};
use crate::routes::{GrantSource, LeaseEntry};

/// Estimated length of an answer, in tokens, before any answer was measured.
const INITIAL_ANSWER_TOKENS: u32 = 64;

/// Number of grants that this instance cannot use after which a request is refused.
const UNUSABLE_GRANTS_MAX: usize = 4;

/// Which endpoints may get a request.
#[derive(Clone, Debug, Default)]
pub struct EndpointNeeds {
    /// The software version that began the stream that the request continues.
    pub version: Option<SoftwareVersion>,
    /// Endpoints that already failed the request.
    pub excluded: Vec<EndpointId>,
}

/// Waits until a grant arrives, the deadline passes or the caller disconnects.
///
/// An owner may add an endpoint shortly before this instance does, or not know its limit yet. A grant
/// for an endpoint that is unknown here, has another version here, rests, or for which the limit known here
/// leaves no request, is released, and a grant for another endpoint is requested.
///
/// # Errors
///
/// Returns the refusal of the owners, or a refusal if no grant could be used.
pub async fn admit_request(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    needs: &EndpointNeeds,
    caller: &mut CallerLink,
    journal: &mut RequestJournal,
) -> Result<GrantLease, Refusal> {
    let mut needs = needs.clone();
    for _ in 0..UNUSABLE_GRANTS_MAX {
        match try_admit(context, request, &needs, caller, journal).await? {
            Ok(lease) => return Ok(lease),
            Err(UnusableGrant(endpoint)) => needs.excluded.push(endpoint),
        }
    }
    let message = "the granted endpoints are not known here, rest, or their limits are used up";
    Err(refusal(request, ErrorKind::NoEndpoint, message))
}

/// The endpoint of a grant that cannot be used: it is not known here with the needed version, it rests, or
/// its limit is used up.
struct UnusableGrant(EndpointId);

async fn try_admit(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    needs: &EndpointNeeds,
    caller: &mut CallerLink,
    journal: &mut RequestJournal,
) -> Result<Result<GrantLease, UnusableGrant>, Refusal> {
    let search_started = Instant::now();
    let template = grant_request(context, request, needs);
    let guard = ExchangeGuard::new(context, request);
    let mut search = GrantSearch::new(context, &request.pool.id, &template, guard);
    let end =
        match select(std::pin::pin!(search.run()), std::pin::pin!(caller.disconnected())).await {
            Either::Left((end, _)) => Some(end),
            Either::Right(_) => None,
        };
    journal.record_search(&search);
    let Some(end) = end else {
        journal.record_wait(search_started.elapsed());
        let message = "the caller left while its request was waiting";
        return Err(refusal(request, ErrorKind::CallerLeftWaiting, message));
    };
    match end {
        GrantResult::Granted { grant, endpoint, source, by_floor, is_paced } => {
            journal.record_grant(
                &endpoint,
                &source_name(&source),
                search_started.elapsed(),
                by_floor,
            );
            let held = HeldGrant {
                grant,
                endpoint,
                class: request.class.id.clone(),
                rank: template.rank(),
                reservation: EngineReservation::from(&template.prompt),
            };
            let entry =
                LeaseEntry { pool: request.pool.id.clone(), held, source, is_announced: false };
            let Some(endpoint) = usable_endpoint(context, needs, &entry, is_paced) else {
                return_grant(context, &entry);
                return Ok(Err(UnusableGrant(entry.held.endpoint)));
            };
            Ok(Ok(start_lease(context, &search, entry, is_paced, endpoint)))
        }
        GrantResult::Refused { kind, pressure } => {
            journal.record_wait(search_started.elapsed());
            let queue_time = pressure.expected_wait(template.rank());
            let rest = context.routes.rest_of_pool(&request.pool.id).unwrap_or_default();
            let delay = retry_after_delay(kind, queue_time, rand::random())
                .max(rest_end_delay(rest, rand::random()));
            Err(refusal(request, kind, &capacity_message(kind, request)).with_retry_after(delay))
        }
    }
}

/// The source of a grant as the owner in the decision record.
fn source_name(source: &GrantSource) -> Arc<str> {
    match source {
        GrantSource::Owner(owner) => owner.clone(),
        GrantSource::FallbackShare => "share".into(),
        GrantSource::Ungranted => "nobody".into(),
    }
}

fn grant_request(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    needs: &EndpointNeeds,
) -> GrantRequest {
    let is_model = request.pool.is_engine();
    GrantRequest {
        request: request.accepted.id,
        requester: context.own.clone(),
        grant: 0,
        class: request.class.id.clone(),
        tier: request.class.tier,
        stated_tier: request.class_tier,
        customer: request.customer.id.clone(),
        weight: request.customer.weight,
        floor: request.class.floor,
        queue_requests: request.class.queue_requests,
        queue_tokens: request.class.queue_tokens,
        tokens: if is_model { INITIAL_ANSWER_TOKENS } else { 1 },
        prompt: prompt_load(request),
        zone: context.zone.clone(),
        arrived: request.accepted.arrived,
        deadline: request.deadline,
        prefix: request.prefix,
        version: needs.version.clone(),
        excluded: excluded_endpoints(context, request, needs),
        wait: true,
    }
}

/// The endpoints that must not be granted: those that failed the request, and those that rest.
fn excluded_endpoints(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    needs: &EndpointNeeds,
) -> Vec<EndpointId> {
    let resting = context.routes.resting(&request.pool.id).into_iter().map(|(id, _)| id);
    let resting = resting.filter(|id| !needs.excluded.contains(id));
    needs.excluded.iter().cloned().chain(resting).take(EXCLUDED_MAX).collect()
}

/// The load that a request puts on an engine; zero if its pool has no engines.
fn prompt_load(request: &ClassifiedRequest) -> PromptLoad {
    if !request.pool.is_engine() {
        return PromptLoad::default();
    }
    let metadata = &request.accepted.metadata.prompt;
    PromptLoad {
        parts: metadata.parts.clone(),
        tokens: metadata.prompt_tokens,
        answer_tokens: metadata.answer_tokens,
        first_token_target: request.class.first_token,
        between_tokens_target: request.class.between_tokens,
    }
}

/// The endpoint of a grant, if the grant may be used.
fn usable_endpoint(
    context: &PipelineContext,
    needs: &EndpointNeeds,
    entry: &LeaseEntry,
    is_paced: bool,
) -> Option<EndpointSettings> {
    let endpoint = context.routes.endpoint(&entry.pool, &entry.held.endpoint)?;
    // The owner may know another process at the endpoint's address than this instance.
    let has_version = needs.version.is_none() || endpoint.version == needs.version;
    let is_wanted = has_version && !context.routes.is_resting(&endpoint.id);
    let is_allowed = is_wanted && (is_paced || context.routes.admit_unpaced(&endpoint.id));
    is_allowed.then_some(endpoint)
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
        ErrorKind::InstanceLeaving => {
            "the instance shuts down before the request is expected to end".to_owned()
        }
        _ => "no endpoint of the pool is in service".to_owned(),
    }
}

/// Creates a refusal that names the branch of the settings tree, or the flag, with the rule for it.
pub fn refusal(request: &ClassifiedRequest, kind: ErrorKind, message: &str) -> Refusal {
    if matches!(kind, ErrorKind::InstanceLeaving | ErrorKind::InstanceStopped) {
        return Refusal::new(kind, GRACE_RULE, message);
    }
    let subjects = coltsfootgate_config::RequestBranches {
        class: Some(&request.class.id),
        customer: Some(&request.customer.id),
        pool: Some(&request.pool.id),
    };
    let rule = request.active.tree.rule(Some(kind), subjects);
    Refusal::new(kind, rule.branch, message)
}
