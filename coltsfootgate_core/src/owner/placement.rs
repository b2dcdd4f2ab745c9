//! The cost of placing a request at an engine, and when to defer the request instead.
//!
//! Load pattern: prompts of very different lengths arrive together. The prefill of a long one
//! delays the first tokens of all later requests and stalls the running ones. Long prompts are
//! therefore concentrated on some engines, and requests with tight targets on the others.

use std::time::{Duration, Instant};

use super::activity::DeferralCause;
use super::engine::{EngineLoad, delay_fraction};
use super::event::GrantRequest;

/// Cost of each running request that is delayed, relative to the request's own lateness.
const DELAY_COST: f64 = 1.0;
/// Cost of an engine with a prefill share of 1, for a short prompt that long prefills would stall.
const STALL_EXPOSURE_COST: f64 = 1.5;
/// Cost per uncached token of a shared part, which another engine may have cached or could cache
/// for later requests.
const UNCACHED_TOKEN_COST: f64 = 5e-4;
/// Share of an engine's time that prefill may take before running requests fall behind.
const PREFILL_SHARE_START: f64 = 0.4;
/// Cost per unit of prefill share above `PREFILL_SHARE_START`.
const PREFILL_SHARE_COST: f64 = 3.0;
/// Fraction of the first-token target from which a request risks missing it.
const LATE_RISK_START: f64 = 0.6;
/// Cost of the risk of a first token that is expected exactly at its target.
const LATE_COST: f64 = 2.0;
/// Cost of an engine with all slots taken, relative to an idle one.
const SLOT_USAGE_COST: f64 = 0.6;
/// Cost of an engine at the wrong end of the pool's order. Long prompts prefer the start of the
/// order and short ones its end, so that both use few engines while the load is low.
const POSITION_COST: f64 = 0.6;
/// Cost of an engine with an excess error rate of 1.
const ERROR_RATE_COST: f64 = 4.0;
/// Cost of an engine in another availability zone.
const ZONE_COST: f64 = 0.03;
/// Fraction of its first-token target for which a long prompt may wait at an engine; beyond it, the
/// prompt waits at its owner.
const ENGINE_WAIT_MAX: f64 = 0.25;
/// Weighted number of delayed running requests above which a long prompt is deferred.
const DEFERRAL_DELAY_MIN: f64 = 1.5;
/// Multiple of its first-token target after which a prompt is sent even if it delays others.
const DEFERRAL_TIME_MAX: f64 = 3.0;
/// Maximum prefill time of a short prompt; short prompts are never deferred.
const SHORT_PREFILL_MAX: Duration = Duration::from_millis(60);

/// Assumed stall of running requests by a long prefill. Requests whose target for the time between
/// tokens is at least twice as long are not exposed.
const LONG_PREFILL_STALL: Duration = Duration::from_millis(400);

/// An engine that a request may be placed at.
#[derive(Clone, Copy, Debug)]
pub struct EngineCandidate<'a> {
    /// The estimated load of the engine.
    pub load: &'a EngineLoad,
    /// The engine's position in the order of the pool's engines, 0 to 1.
    pub position: f64,
    /// Fraction of the engine's slots that are taken.
    pub slot_usage: f64,
    /// Whether the engine is in the requester's availability zone.
    pub is_same_zone: bool,
    /// The engine's error rate minus the pool's lowest, 0 to 1.
    pub excess_error_rate: f64,
}

/// The cost of placing a request at an engine.
///
/// # Errors
///
/// Returns the reason if the request must not be placed there now.
pub fn placement_cost(
    request: &GrantRequest,
    engine: EngineCandidate<'_>,
    now: Instant,
) -> Result<f64, DeferralCause> {
    let prompt = &request.prompt;
    let load = engine.load;
    if !load.has_capacity(prompt) {
        return Err(DeferralCause::KvCacheFull);
    }
    let prefill = load.prefill_time(load.uncached_tokens(prompt));
    let backlog = load.backlog(now);
    let target = prompt.first_token_target.as_secs_f64().max(1e-3);
    let backlog_wait = backlog.as_secs_f64() / target;
    let expected = (backlog + prefill).as_secs_f64() / target;
    let delayed = load.delayed_by(backlog + prefill) - load.delayed_by(backlog);
    let exposed =
        load.prefill_share(now) * delay_fraction(LONG_PREFILL_STALL, prompt.between_tokens_target);
    let is_long = prefill > SHORT_PREFILL_MAX;
    let position = if is_long { engine.position } else { 1.0 - engine.position };
    let cost = late_cost(expected)
        + DELAY_COST * delayed
        + if is_long {
            prefill_share_cost(load.prefill_share(now))
        } else {
            STALL_EXPOSURE_COST * exposed
        }
        + UNCACHED_TOKEN_COST * f64::from(load.uncached_shared_tokens(prompt))
        + SLOT_USAGE_COST * engine.slot_usage
        + ERROR_RATE_COST * engine.excess_error_rate
        + POSITION_COST * position
        + if engine.is_same_zone { 0.0 } else { ZONE_COST };
    let waited = now.saturating_duration_since(request.arrived).as_secs_f64() / target;
    let deferral = if is_long { deferral_cause(waited, backlog_wait, delayed) } else { None };
    deferral.map_or(Ok(cost), Err)
}

/// The reason to defer a long prompt, if any.
///
/// `waited` and `backlog_wait` are multiples of its first-token target. A prompt that has waited
/// for long is sent even if it delays others. The limit on the backlog always holds, since many
/// prompts sent at once would make all later requests miss their targets.
fn deferral_cause(waited: f64, backlog_wait: f64, delayed: f64) -> Option<DeferralCause> {
    if backlog_wait > ENGINE_WAIT_MAX {
        return Some(DeferralCause::PrefillBacklog);
    }
    let delays_others = waited < DEFERRAL_TIME_MAX && delayed > DEFERRAL_DELAY_MIN;
    delays_others.then_some(DeferralCause::DelaysOthers)
}

/// The cost for a long prompt of running where further prefills stall its tokens.
fn prefill_share_cost(prefill_share: f64) -> f64 {
    (prefill_share - PREFILL_SHARE_START).max(0.0) * PREFILL_SHARE_COST
}

/// The cost of a first token that is expected at this multiple of its target.
fn late_cost(expected: f64) -> f64 {
    let risk = (expected - LATE_RISK_START).max(0.0) / (1.0 - LATE_RISK_START);
    expected * 0.5 + (risk * risk).min(4.0) * LATE_COST
}
