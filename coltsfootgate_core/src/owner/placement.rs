//! Which engine a request is sent to, and when it is better held back.
//!
//! Load pattern: prompts of very different lengths arrive together. A long one delays the first
//! tokens of all that come after it and the next tokens of all that run beside it. So long prompts
//! gather at some engines, and requests with tight targets at the others.

use std::time::{Duration, Instant};

use super::engine::{EngineLoad, delay_share};
use super::event::GrantRequest;

/// Cost of one running request that is made late, against one's own lateness.
const DELAYED_COST: f64 = 1.0;
/// Cost of being placed where long prompts were sent lately, for a request that they would delay.
const SHARE_COST: f64 = 1.5;
/// Cost of reading a token of a shared part again that another engine has kept, or may keep for the
/// next one.
const READ_AGAIN_COST: f64 = 5e-4;
/// Share of an engine's time that long prompts may take before running requests lag behind.
const CROWD_START: f64 = 0.4;
/// Cost of that share being whole.
const CROWD_COST: f64 = 3.0;
/// Part of its target at which a request's first token is at risk.
const RISK_START: f64 = 0.6;
/// Cost of a first token at its target.
const LATE_COST: f64 = 2.0;
/// Cost of an engine with all slots taken, against an idle one.
const SLOTS_COST: f64 = 0.6;
/// Cost of the engine at the wrong end of the order: long prompts gather at the start of the order
/// and requests with tight targets at its end, so that both need few engines while load is low.
const ORDER_COST: f64 = 0.6;
/// Cost of an engine that fails all requests.
const ERRORS_COST: f64 = 4.0;
/// Cost of an engine in another availability zone.
const ZONE_COST: f64 = 0.03;
/// Part of its target for which a prompt may wait at an engine instead of at its owner.
const ENGINE_WAIT: f64 = 0.25;
/// Cost above which a request is rather held back, while it has time.
const HOLD_COST: f64 = 1.5;
/// Part of its target after which a held request is sent also where it delays others.
const HOLD_TIME: f64 = 3.0;
/// Prompts that are read faster than this are never held back.
const SHORT_READ: Duration = Duration::from_millis(60);

/// A stop of tokens that long prompts bring about; requests that allow more are not exposed.
const LONG_STOP: Duration = Duration::from_millis(400);

/// One engine as a request sees it.
#[derive(Clone, Copy, Debug)]
pub struct EngineView<'a> {
    /// Its load.
    pub load: &'a EngineLoad,
    /// Its place in the order of the pool's engines, 0 to 1.
    pub order: f64,
    /// Share of its slots that are taken, 0 to 1.
    pub taken: f64,
    /// Whether it is in the availability zone of the instance that asks.
    pub is_near: bool,
    /// Share of its answers that failed, beyond that of the pool, 0 to 1.
    pub errors: f64,
}

/// What sending a request to an engine costs; `None` if the request is rather held back.
pub fn placement_cost(request: &GrantRequest, engine: EngineView<'_>, now: Instant) -> Option<f64> {
    let prompt = &request.prompt;
    let load = engine.load;
    if !load.has_room(prompt) {
        return None;
    }
    let reading = load.read_time(load.unread(prompt));
    let backlog = load.backlog(now);
    let target = prompt.first_token_target.as_secs_f64().max(1e-3);
    let wait = backlog.as_secs_f64() / target;
    let expected = (backlog + reading).as_secs_f64() / target;
    let delayed = load.delayed_by(backlog + reading) - load.delayed_by(backlog);
    let exposed = load.read_share(now) * delay_share(LONG_STOP, prompt.between_tokens_target);
    let is_long = reading > SHORT_READ;
    let order = if is_long { engine.order } else { 1.0 - engine.order };
    let cost = late_cost(expected)
        + DELAYED_COST * delayed
        + if is_long { crowd_cost(load.read_share(now)) } else { SHARE_COST * exposed }
        + READ_AGAIN_COST * f64::from(load.unread_shared(prompt))
        + SLOTS_COST * engine.taken
        + ERRORS_COST * engine.errors
        + ORDER_COST * order
        + if engine.is_near { 0.0 } else { ZONE_COST };
    let held = now.saturating_duration_since(request.arrived).as_secs_f64() / target;
    (!is_long || !is_held(held, wait, delayed)).then_some(cost)
}

/// Whether a long prompt is rather held back; all are counted in its target.
///
/// One that was held back for long is sent also where it delays others, but never behind more prompts
/// than any other: many that are sent at once would make all that follow late.
fn is_held(held: f64, wait: f64, delayed: f64) -> bool {
    wait > ENGINE_WAIT || (held < HOLD_TIME && delayed > HOLD_COST)
}

/// What it costs a long request to run where its tokens have to wait for further prompts.
fn crowd_cost(read_share: f64) -> f64 {
    (read_share - CROWD_START).max(0.0) * CROWD_COST
}

/// What it costs to have the first token after this part of its target.
fn late_cost(expected: f64) -> f64 {
    let risk = (expected - RISK_START).max(0.0) / (1.0 - RISK_START);
    expected * 0.5 + (risk * risk).min(4.0) * LATE_COST
}
