//! Wire types of grant requests, grants, releases and the load of owners.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use coltsfootgate_core::ids::RequestTier;
use coltsfootgate_core::owner::{
    EngineReservation, GrantRequest, HeldGrant, OwnerPressure, ReleaseReport, ReleaseResult,
    WaitingCounts,
};
use coltsfootgate_core::prompt::{PromptLoad, PromptPart};
use coltsfootgate_core::reason::ErrorKind;

use crate::error::WireError;
use crate::message::PoolPressure;
use crate::names::{
    TimedMessage, check_instance, check_name, check_non_negative, from_micros, micros_until,
    to_micros,
};

/// Maximum number of endpoints that one grant request may exclude.
pub const EXCLUDED_MAX: usize = 64;
/// Maximum number of prompt parts in one grant request.
pub const PARTS_MAX: usize = 64;

#[derive(Deserialize, Serialize)]
pub(crate) struct WireGrantRequest {
    request: u128,
    asker: Arc<str>,
    grant: u64,
    class: Arc<str>,
    tier: u8,
    stated_tier: u8,
    customer: Arc<str>,
    weight: f64,
    floor: f64,
    queue_requests: u32,
    queue_tokens: u64,
    tokens: u32,
    prompt: WirePrompt,
    zone: Arc<str>,
    micros_since: u64,
    micros_left: u64,
    prefix: Option<u64>,
    version: Option<Arc<str>>,
    excluded: Vec<Arc<str>>,
    wait: bool,
}

/// The load of a prompt; each part is a pair of its id and its length in tokens.
#[derive(Deserialize, Serialize)]
pub(crate) struct WirePrompt {
    parts: Vec<(u64, u32)>,
    tokens: u32,
    answer_tokens: u32,
    first_token_micros: u64,
    between_tokens_micros: u64,
}

impl From<PromptLoad> for WirePrompt {
    fn from(prompt: PromptLoad) -> Self {
        Self {
            parts: prompt.parts.iter().map(|part| (part.id, part.tokens)).collect(),
            tokens: prompt.tokens,
            answer_tokens: prompt.answer_tokens,
            first_token_micros: to_micros(prompt.first_token_target),
            between_tokens_micros: to_micros(prompt.between_tokens_target),
        }
    }
}

impl TryFrom<WirePrompt> for PromptLoad {
    type Error = WireError;

    fn try_from(prompt: WirePrompt) -> Result<Self, WireError> {
        if prompt.parts.len() > PARTS_MAX {
            return Err(WireError::WrongValue("prompt"));
        }
        let parts = prompt.parts.into_iter().map(|(id, tokens)| PromptPart { id, tokens });
        Ok(Self {
            parts: parts.collect(),
            tokens: prompt.tokens,
            answer_tokens: prompt.answer_tokens,
            first_token_target: from_micros(prompt.first_token_micros)?,
            between_tokens_target: from_micros(prompt.between_tokens_micros)?,
        })
    }
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireRelease {
    asker: Arc<str>,
    grant: u64,
    endpoint: Arc<str>,
    tokens: u32,
    first_token_micros: Option<u64>,
    between_tokens_micros: Option<u64>,
    result: WireResult,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
enum WireResult {
    Completed,
    Cancelled,
    NotSent,
    Refused,
    ConnectFailed,
    Silent,
    Failed,
    ConnectionLost,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireHeldGrant {
    grant: u64,
    endpoint: Arc<str>,
    class: Arc<str>,
    tier: u8,
    stated_tier: u8,
    memory: u64,
    between_tokens_micros: u64,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WirePressure {
    free_slots: u32,
    slots: u32,
    /// Tier, tier of the class, and number of waiting requests, for each rank that has any.
    waiting: Vec<(u8, u8, u32)>,
    estimate_micros: u64,
    token_micros: Option<u64>,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WirePoolPressure {
    pool: Arc<str>,
    pressure: WirePressure,
}

impl From<TimedMessage<GrantRequest>> for WireGrantRequest {
    fn from(TimedMessage { message: request, now }: TimedMessage<GrantRequest>) -> Self {
        Self {
            request: request.request.as_u128(),
            asker: request.requester,
            grant: request.grant,
            class: request.class,
            tier: request.tier.number(),
            stated_tier: request.stated_tier.number(),
            customer: request.customer,
            weight: request.weight,
            floor: request.floor,
            queue_requests: request.queue_requests,
            queue_tokens: request.queue_tokens,
            tokens: request.tokens,
            prompt: request.prompt.into(),
            zone: request.zone,
            micros_since: to_micros(now.saturating_duration_since(request.arrived)),
            micros_left: micros_until(request.deadline, now),
            prefix: request.prefix,
            version: request.version,
            excluded: request.excluded,
            wait: request.wait,
        }
    }
}

impl TryFrom<TimedMessage<WireGrantRequest>> for GrantRequest {
    type Error = WireError;

    fn try_from(timed: TimedMessage<WireGrantRequest>) -> Result<Self, WireError> {
        let TimedMessage { message: request, now } = timed;
        if request.excluded.len() > EXCLUDED_MAX {
            return Err(WireError::WrongValue("excluded"));
        }
        let excluded = request.excluded.into_iter().map(|id| check_name(id, "excluded"));
        Ok(Self {
            request: Uuid::from_u128(request.request),
            requester: check_instance(request.asker)?,
            grant: request.grant,
            class: check_name(request.class, "class")?,
            tier: check_tier(request.tier)?,
            stated_tier: check_tier(request.stated_tier)?,
            customer: check_name(request.customer, "customer")?,
            weight: check_non_negative(request.weight, "weight")?,
            floor: check_non_negative(request.floor, "floor")?,
            queue_requests: request.queue_requests,
            queue_tokens: request.queue_tokens,
            tokens: request.tokens,
            prompt: request.prompt.try_into()?,
            zone: check_name(request.zone, "zone")?,
            arrived: now.checked_sub(from_micros(request.micros_since)?).unwrap_or(now),
            deadline: now + from_micros(request.micros_left)?,
            prefix: request.prefix,
            version: request.version.map(|one| check_name(one, "version")).transpose()?,
            excluded: excluded.collect::<Result<_, _>>()?,
            wait: request.wait,
        })
    }
}

impl From<ReleaseReport> for WireRelease {
    fn from(report: ReleaseReport) -> Self {
        Self {
            asker: report.requester,
            grant: report.grant,
            endpoint: report.endpoint,
            tokens: report.tokens,
            first_token_micros: report.first_token.map(to_micros),
            between_tokens_micros: report.between_tokens.map(to_micros),
            result: report.result.into(),
        }
    }
}

impl TryFrom<WireRelease> for ReleaseReport {
    type Error = WireError;

    fn try_from(report: WireRelease) -> Result<Self, WireError> {
        Ok(Self {
            requester: check_instance(report.asker)?,
            grant: report.grant,
            endpoint: check_name(report.endpoint, "endpoint")?,
            tokens: report.tokens,
            first_token: report.first_token_micros.map(from_micros).transpose()?,
            between_tokens: report.between_tokens_micros.map(from_micros).transpose()?,
            result: report.result.into(),
        })
    }
}

impl From<ReleaseResult> for WireResult {
    fn from(result: ReleaseResult) -> Self {
        match result {
            ReleaseResult::Completed => Self::Completed,
            ReleaseResult::Cancelled => Self::Cancelled,
            ReleaseResult::NotSent => Self::NotSent,
            ReleaseResult::Refused => Self::Refused,
            ReleaseResult::ConnectFailed => Self::ConnectFailed,
            ReleaseResult::Silent => Self::Silent,
            ReleaseResult::Failed => Self::Failed,
            ReleaseResult::ConnectionLost => Self::ConnectionLost,
        }
    }
}

impl From<WireResult> for ReleaseResult {
    fn from(result: WireResult) -> Self {
        match result {
            WireResult::Completed => Self::Completed,
            WireResult::Cancelled => Self::Cancelled,
            WireResult::NotSent => Self::NotSent,
            WireResult::Refused => Self::Refused,
            WireResult::ConnectFailed => Self::ConnectFailed,
            WireResult::Silent => Self::Silent,
            WireResult::Failed => Self::Failed,
            WireResult::ConnectionLost => Self::ConnectionLost,
        }
    }
}

impl From<HeldGrant> for WireHeldGrant {
    fn from(held: HeldGrant) -> Self {
        let HeldGrant { grant, endpoint, class, rank: (tier, stated_tier), reservation } = held;
        let between_tokens_micros = to_micros(reservation.between_tokens);
        Self {
            grant,
            endpoint,
            class,
            tier: tier.number(),
            stated_tier: stated_tier.number(),
            memory: reservation.kv_cache_tokens,
            between_tokens_micros,
        }
    }
}

impl TryFrom<WireHeldGrant> for HeldGrant {
    type Error = WireError;

    fn try_from(held: WireHeldGrant) -> Result<Self, WireError> {
        Ok(Self {
            grant: held.grant,
            endpoint: check_name(held.endpoint, "endpoint")?,
            class: check_name(held.class, "class")?,
            rank: (check_tier(held.tier)?, check_tier(held.stated_tier)?),
            reservation: EngineReservation {
                kv_cache_tokens: held.memory,
                between_tokens: from_micros(held.between_tokens_micros)?,
            },
        })
    }
}

fn wire_waiting(waiting: &WaitingCounts) -> Vec<(u8, u8, u32)> {
    let ranks = waiting.ranks();
    ranks.map(|((tier, stated), count)| (tier.number(), stated.number(), count)).collect()
}

fn waiting_counts(ranks: Vec<(u8, u8, u32)>) -> Result<WaitingCounts, WireError> {
    let mut waiting = WaitingCounts::default();
    for (tier, stated_tier, count) in ranks {
        waiting.add((check_tier(tier)?, check_tier(stated_tier)?), count);
    }
    Ok(waiting)
}

impl From<OwnerPressure> for WirePressure {
    fn from(pressure: OwnerPressure) -> Self {
        Self {
            free_slots: pressure.free_slots,
            slots: pressure.slots,
            waiting: wire_waiting(&pressure.waiting),
            estimate_micros: to_micros(pressure.grant_interval),
            token_micros: pressure.token_time.map(to_micros),
        }
    }
}

impl TryFrom<WirePressure> for OwnerPressure {
    type Error = WireError;

    fn try_from(pressure: WirePressure) -> Result<Self, WireError> {
        Ok(Self {
            free_slots: pressure.free_slots,
            slots: pressure.slots,
            waiting: waiting_counts(pressure.waiting)?,
            grant_interval: from_micros(pressure.estimate_micros)?,
            token_time: pressure.token_micros.map(from_micros).transpose()?,
        })
    }
}

impl From<PoolPressure> for WirePoolPressure {
    fn from(pressure: PoolPressure) -> Self {
        Self { pool: pressure.pool, pressure: pressure.pressure.into() }
    }
}

impl TryFrom<WirePoolPressure> for PoolPressure {
    type Error = WireError;

    fn try_from(pressure: WirePoolPressure) -> Result<Self, WireError> {
        let pool = check_name(pressure.pool, "pool")?;
        Ok(Self { pool, pressure: pressure.pressure.try_into()? })
    }
}

fn check_tier(number: u8) -> Result<RequestTier, WireError> {
    RequestTier::new(number).ok_or(WireError::WrongValue("tier"))
}

/// Finds an error kind by its code, which unlike its position is stable across releases.
pub(crate) fn check_kind(code: &str) -> Result<ErrorKind, WireError> {
    let kind = ErrorKind::ALL.iter().find(|kind| kind.code() == code);
    kind.copied().ok_or(WireError::WrongValue("kind"))
}
