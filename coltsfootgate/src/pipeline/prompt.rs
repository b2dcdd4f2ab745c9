//! Refuses requests with parts of prompts that crash endpoints, and reports what attempts show about
//! parts.

use std::time::{Duration, Instant};

use coltsfootgate_core::prelude::{EndpointSettings, ErrorKind};
use coltsfootgate_core::prompt::shared_parts;
use coltsfootgate_core::quarantine::{AttemptEnd, AttemptEvidence, PartId, PartKey, PromptVerdict};
use rand::Rng;

use super::admit::refusal;
use super::classify::ClassifiedRequest;
use super::context::PipelineContext;
use super::relay::RelayEnd;
use crate::endpoint::EndpointFailure;
use crate::entry::Refusal;
use crate::quarantine::LostAttempt;

/// Shortest delay after which callers are told to ask again.
const RETRY_DELAY_MIN: Duration = Duration::from_secs(1);
/// Share of the delay that is added at random, so that callers do not return at the same moment.
const RETRY_DELAY_SPREAD: f64 = 0.2;

/// Checks before a request waits that no part of its prompt is blocked, or that it may try the part.
///
/// # Errors
///
/// Refuses a request with a blocked part.
pub fn check_prompt(context: &PipelineContext, request: &ClassifiedRequest) -> Result<(), Refusal> {
    match prompt_verdict(context, request) {
        PromptVerdict::Free | PromptVerdict::Trial(_) => Ok(()),
        PromptVerdict::Blocked { key, crashes, retry_delay } => {
            Err(block_refusal(request, &key, crashes, retry_delay))
        }
    }
}

/// Checks right before a request is sent that no part of its prompt is blocked. A request that may try
/// the part asks for permission first.
///
/// # Errors
///
/// Refuses a request with a blocked part, unless it got the permission.
pub async fn confirm_prompt(
    context: &PipelineContext,
    request: &ClassifiedRequest,
) -> Result<(), Refusal> {
    if let PromptVerdict::Trial(key) = prompt_verdict(context, request) {
        return match context.quarantine.take_trial(key.clone()).await {
            true => Ok(()),
            false => Err(block_refusal(request, &key, 0, RETRY_DELAY_MIN)),
        };
    }
    check_prompt(context, request)
}

/// Reports what the end of an attempt shows about the parts of the prompt.
pub fn observe_attempt(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    endpoint: &EndpointSettings,
    sent_at: Instant,
    first_token: Option<Duration>,
    end: &RelayEnd,
) {
    let parts = prompt_parts(request);
    if parts.is_empty() {
        return;
    }
    let attempt_end = match end {
        RelayEnd::Served(answer) if answer.status().is_success() => AttemptEnd::Complete,
        RelayEnd::Failed(EndpointFailure::ConnectionLost) => AttemptEnd::ConnectionLost,
        RelayEnd::Served(_)
        | RelayEnd::Failed(_)
        | RelayEnd::ErrorAnswer(_)
        | RelayEnd::CallerDisconnected => AttemptEnd::Other,
    };
    let answered_since = first_token.map(|delay| sent_at + delay);
    let pool = &request.pool.id;
    match AttemptEvidence::new(attempt_end, answered_since, Instant::now()) {
        AttemptEvidence::Served => context.quarantine.record_served(pool, &parts),
        AttemptEvidence::Lost => context.quarantine.record_lost(LostAttempt {
            pool: pool.clone(),
            endpoint: endpoint.id.clone(),
            address: endpoint.address.clone(),
            parts,
            sent_at,
        }),
        AttemptEvidence::Unclear => {}
    }
}

fn prompt_verdict(context: &PipelineContext, request: &ClassifiedRequest) -> PromptVerdict {
    context.quarantine.verdict(&request.pool.id, &prompt_parts(request))
}

/// The parts of a request's prompt that other requests may have as well and that may be blocked.
fn prompt_parts(request: &ClassifiedRequest) -> Vec<PartId> {
    let allowed = &request.pool.allowed_parts;
    let parts = shared_parts(&request.accepted.metadata.prompt.parts).iter();
    parts.map(|part| part.id).filter(|part| !allowed.contains(part)).collect()
}

fn block_refusal(
    request: &ClassifiedRequest,
    key: &PartKey,
    crashes: u32,
    retry_delay: Duration,
) -> Refusal {
    let part = key.part;
    let message = match crashes {
        0 => format!("part {part:x} of the prompt has crashed endpoints"),
        _ => format!("part {part:x} of the prompt has crashed {crashes} endpoints"),
    };
    let spread = 1.0 + RETRY_DELAY_SPREAD * rand::rng().random::<f64>();
    let delay = retry_delay.max(RETRY_DELAY_MIN).mul_f64(spread);
    refusal(request, ErrorKind::PromptBlocked, &message).with_retry_after(delay)
}
