//! Requests and replies between instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::claim::page::{ClaimChange, ClaimVerdict};
use coltsfootgate_core::duty::InstanceUsage;
use coltsfootgate_core::duty::usage::SlotNumber;
use coltsfootgate_core::endpoint_limit::LimitStatement;
use coltsfootgate_core::feed::FeedRevision;
use coltsfootgate_core::head::TreeHead;
use coltsfootgate_core::ids::{ConfigVersion, EndpointId, GrantId, InstanceId, PoolId};
use coltsfootgate_core::limit::{LimitSlice, SliceRequest};
use coltsfootgate_core::membership::PeerHeartbeat;
use coltsfootgate_core::owner::{
    GrantAnswer, GrantRequest, HeldGrant, OwnerPressure, ReleaseReport,
};
use coltsfootgate_core::quarantine::{CauseKey, CrashReport, QuarantineNotice};
use coltsfootgate_core::roster::{ReplicaNotice, ReplicaSnapshot};
use coltsfootgate_core::stream::{StreamKey, StreamOrigin};

/// The load of the endpoints of one pool that an instance owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolPressure {
    /// The pool.
    pub pool: PoolId,
    /// Its waiting requests and free slots.
    pub pressure: OwnerPressure,
}

/// A request to another instance.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Announces that the sender is alive and spreads rumors of others; the reply does the same.
    Heartbeat {
        /// The sender's heartbeat.
        heartbeat: PeerHeartbeat,
        /// The load of the endpoints that the sender owns.
        pressures: Vec<PoolPressure>,
    },
    /// Asks whether the receiver still receives heartbeats of an instance.
    AskAbout(InstanceId),
    /// Requests a grant. The reply may take until the deadline; a stream reset cancels the request.
    RequestGrant {
        /// The pool.
        pool: PoolId,
        /// The grant request.
        request: GrantRequest,
    },
    /// Reports that the first token of a granted request was received.
    FirstToken {
        /// The pool.
        pool: PoolId,
        /// The entry instance.
        requester: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// Releases grants.
    Release(Vec<(PoolId, ReleaseReport)>),
    /// Withdraws a grant request, whether or not it was already granted.
    Cancel {
        /// The pool.
        pool: PoolId,
        /// The entry instance.
        requester: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// Lists all grants that an entry instance holds for endpoints of the receiver.
    Announce {
        /// The pool.
        pool: PoolId,
        /// The entry instance.
        requester: InstanceId,
        /// The grants it holds.
        held: Vec<HeldGrant>,
    },
    /// Asks an entry instance which of these grants it holds.
    CheckGrants(Vec<GrantId>),
    /// Reports what an answer stated about the limit of an endpoint that the receiver owns.
    StateLimit {
        /// The pool.
        pool: PoolId,
        /// What the answer stated.
        statement: LimitStatement,
    },
    /// Records where a stream began.
    RecordStream {
        /// The stream.
        key: StreamKey,
        /// Where it began.
        origin: StreamOrigin,
        /// When the record expires.
        expires: Instant,
    },
    /// Asks where a stream began. The reply is [`PeerReply::Stream`], or [`PeerReply::Accepted`] if streams with
    /// the key began at several origins, which earlier builds take for a stream that is not recorded.
    FindStream(StreamKey),
    /// Reports the requests of the sender that were lost in the crash of an endpoint.
    ReportCrash(CrashReport),
    /// Reports when the sender served possible causes of crashes that the receiver suspects.
    ReportServed(Vec<(CauseKey, Instant)>),
    /// Tells which causes of crashes are blocked and which are suspected.
    ShareQuarantine(QuarantineNotice),
    /// States the digest of the sender's list of blocked causes; if the receiver's list has another one, it
    /// shares it with the sender.
    CompareQuarantine(u64),
    /// Asks whether a request may be sent to try a blocked cause.
    TakeTrial(CauseKey),
    /// Reports that an endpoint said in an answer that it is leaving.
    ReportLeaving(EndpointId),
    /// Asks whether the receiver can connect to an endpoint.
    CheckEndpoint(EndpointId),
    /// Fetches the head of the tree in force.
    FetchHead,
    /// Fetches a value of the tree in force by its digest.
    FetchObject(Arc<str>),
    /// Fetches a snapshot of the announced replicas.
    FetchReplicas,
    /// Requests a slice of a customer's limits.
    RequestSlice(SliceRequest),
    /// Requests a change to a page of claims.
    Claim {
        /// The change.
        change: ClaimChange,
        /// When the sender stops waiting.
        deadline: Instant,
    },
    /// Fetches what the receiver counted since a slot of the process with a number. Earlier builds do not know this
    /// request and answer it with an error.
    FetchUsage(Option<(u64, SlotNumber)>),
    /// Waits for a version of the settings above one that the sender knows. Earlier builds refuse this and the next
    /// request, as they do any that they do not know.
    FollowHead(ConfigVersion),
    /// Waits for changes of the announced replicas after a revision of an era of the platform's store.
    FollowReplicas {
        /// The era.
        era: u64,
        /// The revision.
        after: FeedRevision,
    },
}

impl PeerRequest {
    /// Returns the name used in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Heartbeat { .. } => "heartbeat",
            Self::AskAbout(_) => "ask-about",
            Self::RequestGrant { .. } => "ask",
            Self::FirstToken { .. } => "first-token",
            Self::Release(_) => "release",
            Self::Cancel { .. } => "cancel",
            Self::Announce { .. } => "announce",
            Self::CheckGrants(_) => "check-grants",
            Self::StateLimit { .. } => "state-limit",
            Self::RecordStream { .. } => "record-stream",
            Self::FindStream(_) => "find-stream",
            Self::ReportCrash(_) => "report-crash",
            Self::ReportServed(_) => "report-served",
            Self::ShareQuarantine(_) => "share-quarantine",
            Self::CompareQuarantine(_) => "compare-quarantine",
            Self::ReportLeaving(_) => "report-leaving",
            Self::TakeTrial(_) => "take-trial",
            Self::CheckEndpoint(_) => "check-endpoint",
            Self::FetchHead => "fetch-head",
            Self::FetchObject(_) => "fetch-object",
            Self::FetchReplicas => "fetch-replicas",
            Self::RequestSlice(_) => "limit-ask",
            Self::Claim { .. } => "claim",
            Self::FetchUsage(_) => "fetch-usage",
            Self::FollowHead(_) => "follow-head",
            Self::FollowReplicas { .. } => "follow-replicas",
        }
    }
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// The reply to a heartbeat.
    Heartbeat {
        /// The sender's heartbeat.
        heartbeat: PeerHeartbeat,
        /// The load of the endpoints that the replying instance owns.
        pressures: Vec<PoolPressure>,
    },
    /// Whether the replying instance still receives heartbeats of the instance in question.
    Heard(bool),
    /// The owner's answer to a grant request.
    Grant(GrantAnswer),
    /// The grants that the replying instance holds, of those that it was asked for.
    HeldGrants(Vec<GrantId>),
    /// The request was accepted; it has no other result.
    Accepted,
    /// The head of the tree in force, if there is one.
    Head(Option<TreeHead>),
    /// The requested value, if it belongs to the tree in force.
    Object(Option<Vec<u8>>),
    /// A snapshot of the announced replicas.
    Replicas(ReplicaSnapshot),
    /// Where a stream began, if that is recorded.
    Stream(Option<StreamOrigin>),
    /// Whether the request may be sent.
    Trial(bool),
    /// Whether the replying instance can connect to the endpoint; `None` if it does not know the
    /// endpoint or reaches none at all.
    Reachable(Option<bool>),
    /// A slice of a customer's limits.
    LimitSlice(LimitSlice),
    /// The verdict on a change to a page of claims.
    Claim(ClaimVerdict),
    /// What the replying instance counted.
    Usage(InstanceUsage),
    /// The newest version of the settings that the replying instance read.
    HeadProof {
        /// The version.
        version: ConfigVersion,
        /// Time since it was proved to be the newest.
        age: Duration,
    },
    /// Changes of the announced replicas.
    ReplicaChanges {
        /// The changes in order, each with its revision.
        notices: Vec<(FeedRevision, ReplicaNotice)>,
        /// The revision up to which they are complete.
        end: FeedRevision,
    },
}
