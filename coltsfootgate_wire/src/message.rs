//! What instances ask each other.

use std::sync::Arc;
use std::time::Instant;

use coltsfootgate_core::claim::page::{ClaimChange, ClaimVerdict};
use coltsfootgate_core::head::TreeHead;
use coltsfootgate_core::ids::{EndpointId, GrantId, InstanceId, PoolId};
use coltsfootgate_core::limit::{LimitSlice, SliceRequest};
use coltsfootgate_core::membership::PeerHeartbeat;
use coltsfootgate_core::owner::{GrantRequest, HeldGrant, OwnerPressure, ReleaseReport};
use coltsfootgate_core::reason::ErrorKind;
use coltsfootgate_core::roster::ReplicaSnapshot;

/// How busy an owner is with one pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolPressure {
    /// The pool.
    pub pool: PoolId,
    /// What waits there and what is free.
    pub pressure: OwnerPressure,
}

/// A question or statement to another instance.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Tells that the sender lives, and what it knows of others; answered by the same.
    Heartbeat {
        /// The membership part.
        heartbeat: PeerHeartbeat,
        /// How busy the sender's owned endpoints are.
        pressures: Vec<PoolPressure>,
    },
    /// Asks whether the receiver hears from an instance.
    AskAbout(InstanceId),
    /// Asks for a grant. The answer may take until the deadline; a reset stream cancels the ask.
    Ask {
        /// The pool.
        pool: PoolId,
        /// The ask.
        request: GrantRequest,
    },
    /// Tells that the first token of a granted request came.
    FirstToken {
        /// The pool.
        pool: PoolId,
        /// The entry instance.
        asker: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// Gives grants back.
    Release(Vec<(PoolId, ReleaseReport)>),
    /// Tells that a grant is no longer wanted, whether it was given or not.
    Cancel {
        /// The pool.
        pool: PoolId,
        /// The entry instance.
        asker: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// Lists all grants that an entry holds for endpoints of the receiver.
    Announce {
        /// The pool.
        pool: PoolId,
        /// The entry instance.
        asker: InstanceId,
        /// The grants.
        held: Vec<HeldGrant>,
    },
    /// Asks for the head of the tree in force.
    FetchHead,
    /// Asks for a value of the tree in force, by digest.
    FetchObject(Arc<str>),
    /// Asks what is known of replicas that announced themselves.
    FetchReplicas,
    /// Asks for a slice of a customer's limits.
    LimitAsk(SliceRequest),
    /// Asks for a change of a page of claims.
    Claim {
        /// The change.
        change: ClaimChange,
        /// When the sender gives it up.
        deadline: Instant,
    },
}

impl PeerRequest {
    /// The name used in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Heartbeat { .. } => "heartbeat",
            Self::AskAbout(_) => "ask-about",
            Self::Ask { .. } => "ask",
            Self::FirstToken { .. } => "first-token",
            Self::Release(_) => "release",
            Self::Cancel { .. } => "cancel",
            Self::Announce { .. } => "announce",
            Self::FetchHead => "fetch-head",
            Self::FetchObject(_) => "fetch-object",
            Self::FetchReplicas => "fetch-replicas",
            Self::LimitAsk(_) => "limit-ask",
            Self::Claim { .. } => "claim",
        }
    }
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// Answers a heartbeat.
    Heartbeat {
        /// The membership part.
        heartbeat: PeerHeartbeat,
        /// How busy the answering instance's owned endpoints are.
        pressures: Vec<PoolPressure>,
    },
    /// Whether the instance asked about is heard.
    Heard(bool),
    /// The request may be sent to this endpoint.
    Granted {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether a floor put the request before a waiting one of a higher tier.
        by_floor: bool,
        /// What is waiting there.
        pressure: OwnerPressure,
    },
    /// No slot is free, and the ask did not want to wait.
    Busy(OwnerPressure),
    /// The owner will not serve the request.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// What is waiting there.
        pressure: OwnerPressure,
    },
    /// The statement was taken in.
    Accepted,
    /// The head of the tree in force, if there is one.
    Head(Option<TreeHead>),
    /// The value, if it belongs to the tree in force.
    Object(Option<Vec<u8>>),
    /// What is known of replicas.
    Replicas(ReplicaSnapshot),
    /// A slice of a customer's limits.
    LimitSlice(LimitSlice),
    /// What became of a change of a page of claims.
    Claim(ClaimVerdict),
}
