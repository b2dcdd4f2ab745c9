//! Routing policies: which owner an entry instance asks for a grant, and when it refuses a request.

mod cooperative;
mod local;
mod owners;
mod share;
mod strategy;
mod view;

use std::time::{Duration, Instant};

pub use cooperative::CooperativePolicy;
pub use local::{LeastLoadedPolicy, RoundRobinPolicy};
pub use owners::OwnerSet;
pub use share::fallback_share;
pub use strategy::SelectedPolicy;
pub use view::OwnerView;

use crate::ids::{EndpointId, InstanceId, PoolId, ZoneName};
use crate::owner::{OwnerPressure, QueueRank};
use crate::reason::ErrorKind;

/// An instance that owns endpoints of a pool, with its zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerLocation {
    /// The owner.
    pub owner: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The processor time that it may use, in thousandths of a core.
    pub processor_milli: u32,
}

/// The attributes of a request on which routing depends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRequest {
    /// The pool that serves it.
    pub pool: PoolId,
    /// Its rank in the queues of owners.
    pub rank: QueueRank,
    /// Digest of the start of the prompt, for routing to an endpoint that has it cached.
    pub prefix: Option<u64>,
    /// Tokens of the parts that the prompt shares with others.
    pub shared_tokens: u32,
    /// When the caller's deadline passes.
    pub deadline: Instant,
    /// Endpoints at which this request already failed.
    pub excluded: Vec<EndpointId>,
    /// A random number, so that entry instances with the same view choose different owners.
    pub random: u64,
}

/// Routing state of one request until an owner grants it an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRoute {
    /// The request.
    pub request: RouteRequest,
    /// Owners that had no free slot when asked.
    pub busy: Vec<InstanceId>,
    /// Owners that refused the request.
    pub refused: Vec<InstanceId>,
    /// Owners that did not answer in time.
    pub unresponsive: Vec<InstanceId>,
    /// The reason for the caller if no owner grants the request.
    pub refusal: Option<ErrorKind>,
    /// The owners in whose queues it waits; the first grant is used.
    pub joined_queues: Vec<InstanceId>,
    /// Since when it waits for the answer of an owner that must not queue it.
    pub asked_since: Option<Instant>,
    /// Whether it waits for this instance's fallback share of the pool.
    pub asked_fallback: bool,
    /// When a better owner was last looked for while it waited.
    pub reconsidered_at: Option<Instant>,
    /// When an owner first answered that it owns no endpoint of the pool any more.
    pub disowned_at: Option<Instant>,
    /// When it last asked an owner again while it waited for the fallback share alone, or began to wait so.
    pub returned_at: Option<Instant>,
}

impl RequestRoute {
    /// Creates the state of a request that was not routed yet.
    pub fn new(request: RouteRequest) -> Self {
        Self {
            request,
            busy: Vec::new(),
            refused: Vec::new(),
            unresponsive: Vec::new(),
            refusal: None,
            joined_queues: Vec::new(),
            asked_since: None,
            asked_fallback: false,
            reconsidered_at: None,
            disowned_at: None,
            returned_at: None,
        }
    }

    /// Whether an owner refused the request or did not answer.
    pub fn is_ruled_out(&self, owner: &InstanceId) -> bool {
        self.refused.contains(owner) || self.unresponsive.contains(owner)
    }
}

/// The next step for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteStep {
    /// Ask an owner for a grant.
    Ask {
        /// The owner.
        owner: InstanceId,
        /// Whether to join its queue if it has no free slot.
        wait: bool,
    },
    /// Ask this instance's own queue, which serves its fallback share of the pool.
    AskFallbackShare,
    /// Send the request to an endpoint without a grant.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Wait for an answer of the owners already asked.
    Wait,
    /// Refuse the request for this reason.
    Refuse(ErrorKind),
}

/// An owner's answer other than a grant, or the lack of one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteReply {
    /// It has no free slot.
    Busy(OwnerPressure),
    /// It refused the request.
    Refused(ErrorKind, OwnerPressure),
    /// It did not answer in time or its connection broke.
    Unresponsive,
}

/// Chooses an owner or an endpoint for each request.
pub trait RoutePolicy {
    /// Replaces the owners and endpoints of a pool.
    fn set_pool(&mut self, pool: &PoolId, owners: Vec<OwnerLocation>, endpoints: Vec<EndpointId>);

    /// Updates the pressure of an owner, which was measured `age` before `now`.
    fn update_pressure(
        &mut self,
        pool: &PoolId,
        owner: &InstanceId,
        pressure: OwnerPressure,
        age: Duration,
        now: Instant,
    );

    /// Returns the shortest time for which a new request is expected to wait for a slot; zero if it is unknown.
    fn expected_wait(&self, route: &RequestRoute, now: Instant) -> Duration;

    /// Returns the first step for a request.
    fn first_step(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep;

    /// Returns the step after an owner's answer that was not a grant.
    fn next_step(
        &mut self,
        route: &mut RequestRoute,
        owner: &InstanceId,
        reply: RouteReply,
        now: Instant,
    ) -> RouteStep;

    /// Returns the step for a request that waits: `Ask` another owner as well, or `Wait`.
    fn reconsider(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep;

    /// Whether a request that no owner serves should wait, since the endpoints are changing their owner.
    fn awaits_owner(&self, route: &RequestRoute, now: Instant) -> bool;

    /// Records that an owner does not answer, or that it was heard again.
    fn set_silent(&mut self, owner: &InstanceId, is_silent: bool);

    /// Records that an owner granted an endpoint, or that the request was sent without a grant.
    fn granted(&mut self, route: &RequestRoute, owner: Option<&InstanceId>, endpoint: &EndpointId);

    /// Records that a request at an endpoint ended.
    fn ended(&mut self, pool: &PoolId, endpoint: &EndpointId);
}
