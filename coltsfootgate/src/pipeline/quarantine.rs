//! Refuses requests that crash endpoints, by a part of their prompt or as a whole, and reports what attempts
//! show about them.

use std::time::{Duration, Instant};

use coltsfootgate_core::prelude::{EndpointSettings, ErrorKind};
use coltsfootgate_core::prompt::shared_parts;
use coltsfootgate_core::quarantine::{
    AttemptEnd, AttemptEvidence, CauseKey, CrashCause, SendVerdict,
};
use rand::Rng;

use super::admit::refusal;
use super::classify::ClassifiedRequest;
use super::context::PipelineContext;
use super::journal::RequestJournal;
use super::relay::RelayEnd;
use crate::endpoint::EndpointFailure;
use crate::entry::Refusal;
use crate::quarantine::LostAttempt;

/// Shortest delay after which callers are told to ask again.
const RETRY_DELAY_MIN: Duration = Duration::from_secs(1);
/// Share of the delay that is added at random, so that callers do not return at the same moment.
const RETRY_DELAY_SPREAD: f64 = 0.2;

/// Checks before a request waits that nothing in it is blocked, or that it may try what is.
///
/// # Errors
///
/// Refuses a request in which something is blocked.
pub fn check_quarantine(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    journal: &mut RequestJournal,
) -> Result<(), Refusal> {
    match send_verdict(context, request) {
        SendVerdict::Free | SendVerdict::Trial(_) => Ok(()),
        SendVerdict::Blocked { key, crashes, retry_delay } => {
            journal.record_digest(request);
            Err(block_refusal(request, &key, crashes, retry_delay))
        }
    }
}

/// Checks right before a request is sent that nothing in it is blocked. A request that may try a blocked
/// cause asks for permission first.
///
/// # Errors
///
/// Refuses a request in which something is blocked, unless it got the permission.
pub async fn confirm_quarantine(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    journal: &mut RequestJournal,
) -> Result<(), Refusal> {
    if let SendVerdict::Trial(key) = send_verdict(context, request) {
        journal.record_digest(request);
        return match context.quarantine.take_trial(key.clone()).await {
            true => Ok(()),
            false => Err(block_refusal(request, &key, 0, RETRY_DELAY_MIN)),
        };
    }
    check_quarantine(context, request, journal)
}

/// Reports what the end of an attempt shows about the possible causes of crashes in a request.
pub fn observe_attempt(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    endpoint: &EndpointSettings,
    sent_at: Instant,
    first_token: Option<Duration>,
    end: &RelayEnd,
) {
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
        AttemptEvidence::Served => context.quarantine.record_served(pool, &crash_causes(request)),
        AttemptEvidence::Lost => context.quarantine.record_lost(LostAttempt {
            pool: pool.clone(),
            endpoint: endpoint.id.clone(),
            address: endpoint.address.clone(),
            causes: crash_causes(request),
            sent_at,
        }),
        AttemptEvidence::Unclear => {}
    }
}

fn send_verdict(context: &PipelineContext, request: &ClassifiedRequest) -> SendVerdict {
    if !context.quarantine.is_alert() {
        return SendVerdict::Free;
    }
    context.quarantine.verdict(&request.pool.id, &crash_causes(request))
}

/// What in a request may crash endpoints: the parts of its prompt that other requests may have as well, and
/// the request itself; without what the tree allows.
fn crash_causes(request: &ClassifiedRequest) -> Vec<CrashCause> {
    let (pool, digest) = (&request.pool, request.digest());
    let parts = shared_parts(&request.accepted.metadata.prompt.parts).iter();
    let parts = parts.map(|part| part.id).filter(|part| !pool.allowed_parts.contains(part));
    let whole = Some(digest).filter(|digest| !pool.allowed_requests.contains(digest));
    parts.map(CrashCause::Part).chain(whole.map(CrashCause::Request)).collect()
}

fn block_refusal(
    request: &ClassifiedRequest,
    key: &CauseKey,
    crashes: u32,
    retry_delay: Duration,
) -> Refusal {
    let (reason, cause) = match key.cause {
        CrashCause::Part(part) => {
            (ErrorKind::PromptBlocked, format!("part {part:x} of the prompt"))
        }
        CrashCause::Request(digest) => {
            (ErrorKind::RequestBlocked, format!("request {digest:016x}"))
        }
    };
    let message = match crashes {
        0 => format!("{cause} has crashed endpoints"),
        _ => format!("{cause} has crashed {crashes} endpoints"),
    };
    let spread = 1.0 + RETRY_DELAY_SPREAD * rand::rng().random::<f64>();
    let delay = retry_delay.max(RETRY_DELAY_MIN).mul_f64(spread);
    refusal(request, reason, &message).with_retry_after(delay)
}
