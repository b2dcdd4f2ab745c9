//! Wire types of requests and replies.
//!
//! The encoding identifies variants and fields by their position, so their order and number are
//! part of the protocol in all wire types. A request that is added at the end is refused by earlier builds, which
//! answer it with an error and nothing else; its sender must do without an answer.
//!
//! Some names differ from those in `PeerRequest` and its fields: `Ask` is `RequestGrant`,
//! `LimitAsk` is `RequestSlice`, `asker` is `requester`, and `memory` is `kv_cache_tokens`.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::owner::GrantAnswer;

use crate::claim::{WireChange, WireVerdict};
use crate::endpoint_limit::WireLimitStatement;
use crate::error::WireError;
use crate::grant::{
    WireGrantRequest, WireHeldGrant, WirePoolPressure, WirePressure, WireRelease, check_kind,
};
use crate::limit::{WireLimitSlice, WireSliceRequest};
use crate::member::WireHeartbeat;
use crate::message::{PeerReply, PeerRequest};
use crate::names::{
    TimedMessage, check_digest, check_instance, check_name, from_micros, micros_until, to_micros,
};
use crate::quarantine::{WireCauseKey, WireCrashReport, WireNotice, WireServedCauses};
use crate::replica::{WireReplicaNotice, WireReplicaSnapshot};
use crate::stream::{WireStreamKey, WireStreamOrigin};
use crate::tree::WireHead;
use crate::usage::WireUsage;

#[derive(Deserialize, Serialize)]
pub(crate) enum WireRequest {
    Heartbeat { heartbeat: WireHeartbeat, pressures: Vec<WirePoolPressure> },
    AskAbout(Arc<str>),
    Ask { pool: Arc<str>, request: WireGrantRequest },
    Release(Vec<(Arc<str>, WireRelease)>),
    FirstToken { pool: Arc<str>, asker: Arc<str>, grant: u64 },
    Cancel { pool: Arc<str>, asker: Arc<str>, grant: u64 },
    Announce { pool: Arc<str>, asker: Arc<str>, held: Vec<WireHeldGrant> },
    CheckGrants(Vec<u64>),
    StateLimit { pool: Arc<str>, statement: WireLimitStatement },
    RecordStream { key: WireStreamKey, origin: WireStreamOrigin, micros_left: u64 },
    FindStream(WireStreamKey),
    ReportCrash(WireCrashReport),
    ReportServed(WireServedCauses),
    ShareQuarantine(WireNotice),
    CompareQuarantine(u64),
    TakeTrial(WireCauseKey),
    ReportLeaving(Arc<str>),
    CheckEndpoint(Arc<str>),
    FetchHead,
    FetchObject(Arc<str>),
    FetchReplicas,
    LimitAsk(WireSliceRequest),
    Claim { change: WireChange, micros_left: u64 },
    FetchUsage(Option<(u64, u64)>),
    FollowHead(u64),
    FollowReplicas { era: u64, after: u64 },
}

#[derive(Deserialize, Serialize)]
pub(crate) enum WireReply {
    Heartbeat { heartbeat: WireHeartbeat, pressures: Vec<WirePoolPressure> },
    Heard(bool),
    Granted { endpoint: Arc<str>, by_floor: bool, is_paced: bool, pressure: WirePressure },
    Busy(WirePressure),
    Refused { kind: String, pressure: WirePressure },
    HeldGrants(Vec<u64>),
    Accepted,
    Head(Option<WireHead>),
    Object(Option<Vec<u8>>),
    Replicas(WireReplicaSnapshot),
    Stream(Option<WireStreamOrigin>),
    Trial(bool),
    Reachable(Option<bool>),
    LimitSlice(WireLimitSlice),
    Claim(WireVerdict),
    Usage(WireUsage),
    HeadProof { version: u64, age_micros: u64 },
    ReplicaChanges { notices: Vec<WireReplicaNotice>, end: u64 },
}

fn convert_all<T, U: From<T>>(items: Vec<T>) -> Vec<U> {
    items.into_iter().map(U::from).collect()
}

fn check_all<T, U: TryFrom<T, Error = WireError>>(items: Vec<T>) -> Result<Vec<U>, WireError> {
    items.into_iter().map(U::try_from).collect()
}

fn check_pool(pool: Arc<str>) -> Result<Arc<str>, WireError> {
    check_name(pool, "pool")
}

impl From<TimedMessage<PeerRequest>> for WireRequest {
    fn from(TimedMessage { message: request, now }: TimedMessage<PeerRequest>) -> Self {
        match request {
            PeerRequest::Heartbeat { heartbeat, pressures } => {
                Self::Heartbeat { heartbeat: heartbeat.into(), pressures: convert_all(pressures) }
            }
            PeerRequest::AskAbout(instance) => Self::AskAbout(instance),
            PeerRequest::RequestGrant { pool, request } => {
                Self::Ask { pool, request: TimedMessage { message: request, now }.into() }
            }
            PeerRequest::Release(reports) => {
                let reports = reports.into_iter().map(|(pool, report)| (pool, report.into()));
                Self::Release(reports.collect())
            }
            PeerRequest::FirstToken { pool, requester, grant } => {
                Self::FirstToken { pool, asker: requester, grant }
            }
            PeerRequest::Cancel { pool, requester, grant } => {
                Self::Cancel { pool, asker: requester, grant }
            }
            PeerRequest::Announce { pool, requester, held } => {
                Self::Announce { pool, asker: requester, held: convert_all(held) }
            }
            PeerRequest::CheckGrants(grants) => Self::CheckGrants(grants),
            PeerRequest::StateLimit { pool, statement } => Self::StateLimit {
                pool,
                statement: TimedMessage { message: statement, now }.into(),
            },
            PeerRequest::RecordStream { key, origin, expires } => Self::RecordStream {
                key: key.into(),
                origin: origin.into(),
                micros_left: micros_until(expires, now),
            },
            PeerRequest::FindStream(key) => Self::FindStream(key.into()),
            PeerRequest::ReportCrash(report) => {
                Self::ReportCrash(TimedMessage { message: report, now }.into())
            }
            PeerRequest::ReportServed(served) => {
                Self::ReportServed(TimedMessage { message: served, now }.into())
            }
            PeerRequest::ShareQuarantine(notice) => {
                Self::ShareQuarantine(TimedMessage { message: notice, now }.into())
            }
            PeerRequest::CompareQuarantine(digest) => Self::CompareQuarantine(digest),
            PeerRequest::ReportLeaving(endpoint) => Self::ReportLeaving(endpoint),
            PeerRequest::CheckEndpoint(endpoint) => Self::CheckEndpoint(endpoint),
            PeerRequest::TakeTrial(key) => Self::TakeTrial(key.into()),
            PeerRequest::FetchHead => Self::FetchHead,
            PeerRequest::FetchReplicas => Self::FetchReplicas,
            PeerRequest::FetchObject(digest) => Self::FetchObject(digest),
            PeerRequest::RequestSlice(request) => Self::LimitAsk(request.into()),
            PeerRequest::Claim { change, deadline } => {
                Self::Claim { change: change.into(), micros_left: micros_until(deadline, now) }
            }
            PeerRequest::FetchUsage(known) => Self::FetchUsage(known),
            PeerRequest::FollowHead(known) => Self::FollowHead(known),
            PeerRequest::FollowReplicas { era, after } => Self::FollowReplicas { era, after },
        }
    }
}

impl TryFrom<TimedMessage<WireRequest>> for PeerRequest {
    type Error = WireError;

    fn try_from(timed: TimedMessage<WireRequest>) -> Result<Self, WireError> {
        let TimedMessage { message: request, now } = timed;
        Ok(match request {
            WireRequest::Heartbeat { heartbeat, pressures } => Self::Heartbeat {
                heartbeat: heartbeat.try_into()?,
                pressures: check_all(pressures)?,
            },
            WireRequest::AskAbout(instance) => Self::AskAbout(check_instance(instance)?),
            WireRequest::Ask { pool, request } => Self::RequestGrant {
                pool: check_pool(pool)?,
                request: TimedMessage { message: request, now }.try_into()?,
            },
            WireRequest::Release(reports) => {
                let reports = reports
                    .into_iter()
                    .map(|(pool, report)| Ok((check_pool(pool)?, report.try_into()?)));
                Self::Release(reports.collect::<Result<_, WireError>>()?)
            }
            WireRequest::FirstToken { pool, asker, grant } => Self::FirstToken {
                pool: check_pool(pool)?,
                requester: check_instance(asker)?,
                grant,
            },
            WireRequest::Cancel { pool, asker, grant } => {
                Self::Cancel { pool: check_pool(pool)?, requester: check_instance(asker)?, grant }
            }
            WireRequest::Announce { pool, asker, held } => Self::Announce {
                pool: check_pool(pool)?,
                requester: check_instance(asker)?,
                held: check_all(held)?,
            },
            WireRequest::CheckGrants(grants) => Self::CheckGrants(grants),
            WireRequest::StateLimit { pool, statement } => Self::StateLimit {
                pool: check_pool(pool)?,
                statement: TimedMessage { message: statement, now }.try_into()?,
            },
            WireRequest::RecordStream { key, origin, micros_left } => Self::RecordStream {
                key: key.try_into()?,
                origin: origin.try_into()?,
                expires: now + from_micros(micros_left)?,
            },
            WireRequest::FindStream(key) => Self::FindStream(key.try_into()?),
            WireRequest::ReportCrash(report) => {
                Self::ReportCrash(TimedMessage { message: report, now }.try_into()?)
            }
            WireRequest::ReportServed(served) => {
                Self::ReportServed(TimedMessage { message: served, now }.try_into()?)
            }
            WireRequest::ShareQuarantine(notice) => {
                Self::ShareQuarantine(TimedMessage { message: notice, now }.try_into()?)
            }
            WireRequest::CompareQuarantine(digest) => Self::CompareQuarantine(digest),
            WireRequest::ReportLeaving(endpoint) => {
                Self::ReportLeaving(check_name(endpoint, "endpoint")?)
            }
            WireRequest::CheckEndpoint(endpoint) => {
                Self::CheckEndpoint(check_name(endpoint, "endpoint")?)
            }
            WireRequest::TakeTrial(key) => Self::TakeTrial(key.try_into()?),
            WireRequest::FetchHead => Self::FetchHead,
            WireRequest::FetchReplicas => Self::FetchReplicas,
            WireRequest::FetchObject(digest) => Self::FetchObject(check_digest(digest)?),
            WireRequest::LimitAsk(request) => Self::RequestSlice(request.try_into()?),
            WireRequest::Claim { change, micros_left } => Self::Claim {
                change: change.try_into()?,
                deadline: now + from_micros(micros_left)?,
            },
            WireRequest::FetchUsage(known) => Self::FetchUsage(known),
            WireRequest::FollowHead(known) => Self::FollowHead(known),
            WireRequest::FollowReplicas { era, after } => Self::FollowReplicas { era, after },
        })
    }
}

impl From<GrantAnswer> for WireReply {
    fn from(answer: GrantAnswer) -> Self {
        match answer {
            GrantAnswer::Granted { endpoint, by_floor, is_paced, pressure } => {
                Self::Granted { endpoint, by_floor, is_paced, pressure: pressure.into() }
            }
            GrantAnswer::Busy(pressure) => Self::Busy(pressure.into()),
            GrantAnswer::Refused { kind, pressure } => {
                Self::Refused { kind: kind.code().to_owned(), pressure: pressure.into() }
            }
        }
    }
}

impl From<PeerReply> for WireReply {
    fn from(reply: PeerReply) -> Self {
        match reply {
            PeerReply::Heartbeat { heartbeat, pressures } => {
                Self::Heartbeat { heartbeat: heartbeat.into(), pressures: convert_all(pressures) }
            }
            PeerReply::Heard(heard) => Self::Heard(heard),
            PeerReply::Grant(answer) => answer.into(),
            PeerReply::HeldGrants(grants) => Self::HeldGrants(grants),
            PeerReply::Accepted => Self::Accepted,
            PeerReply::Head(head) => Self::Head(head.map(WireHead::from)),
            PeerReply::Object(object) => Self::Object(object),
            PeerReply::Replicas(snapshot) => Self::Replicas(snapshot.into()),
            PeerReply::Stream(origin) => Self::Stream(origin.map(WireStreamOrigin::from)),
            PeerReply::Trial(may_send) => Self::Trial(may_send),
            PeerReply::Reachable(is_reachable) => Self::Reachable(is_reachable),
            PeerReply::LimitSlice(slice) => Self::LimitSlice(slice.into()),
            PeerReply::Claim(verdict) => Self::Claim(verdict.into()),
            PeerReply::Usage(usage) => Self::Usage(usage.into()),
            // Rounded up, so that the proof never appears newer than it is.
            PeerReply::HeadProof { version, age } => {
                Self::HeadProof { version, age_micros: to_micros(age) + 1 }
            }
            PeerReply::ReplicaChanges { notices, end } => {
                Self::ReplicaChanges { notices: convert_all(notices), end }
            }
        }
    }
}

impl TryFrom<WireReply> for PeerReply {
    type Error = WireError;

    fn try_from(reply: WireReply) -> Result<Self, WireError> {
        Ok(match reply {
            WireReply::Heartbeat { heartbeat, pressures } => Self::Heartbeat {
                heartbeat: heartbeat.try_into()?,
                pressures: check_all(pressures)?,
            },
            WireReply::Heard(heard) => Self::Heard(heard),
            WireReply::Granted { endpoint, by_floor, is_paced, pressure } => {
                let endpoint = check_name(endpoint, "endpoint")?;
                let pressure = pressure.try_into()?;
                Self::Grant(GrantAnswer::Granted { endpoint, by_floor, is_paced, pressure })
            }
            WireReply::Busy(pressure) => Self::Grant(GrantAnswer::Busy(pressure.try_into()?)),
            WireReply::Refused { kind, pressure } => {
                let (kind, pressure) = (check_kind(&kind)?, pressure.try_into()?);
                Self::Grant(GrantAnswer::Refused { kind, pressure })
            }
            WireReply::HeldGrants(grants) => Self::HeldGrants(grants),
            WireReply::Accepted => Self::Accepted,
            WireReply::Head(head) => Self::Head(head.map(|head| head.try_into()).transpose()?),
            WireReply::Object(object) => Self::Object(object),
            WireReply::Replicas(snapshot) => Self::Replicas(snapshot.try_into()?),
            WireReply::Stream(origin) => {
                Self::Stream(origin.map(|origin| origin.try_into()).transpose()?)
            }
            WireReply::Trial(may_send) => Self::Trial(may_send),
            WireReply::Reachable(is_reachable) => Self::Reachable(is_reachable),
            WireReply::LimitSlice(slice) => Self::LimitSlice(slice.try_into()?),
            WireReply::Claim(verdict) => Self::Claim(verdict.try_into()?),
            WireReply::Usage(usage) => Self::Usage(usage.try_into()?),
            WireReply::HeadProof { version, age_micros } => {
                Self::HeadProof { version, age: Duration::from_micros(age_micros) }
            }
            WireReply::ReplicaChanges { notices, end } => {
                Self::ReplicaChanges { notices: check_all(notices)?, end }
            }
        })
    }
}
