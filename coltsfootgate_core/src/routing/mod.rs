//! Decides which owner an entry instance asks for a grant, and when it gives up.

mod cooperative;
mod local;
mod share;
mod strategy;
mod view;

use std::time::{Duration, Instant};

pub use cooperative::CooperativePolicy;
pub use local::{LeastLoadedPolicy, RoundRobinPolicy};
pub use share::fallback_share;
pub use strategy::SelectedPolicy;
pub use view::OwnerView;

use crate::ids::{EndpointId, InstanceId, PoolId, RequestTier, ZoneName};
use crate::owner::OwnerPressure;
use crate::reason::ErrorKind;

/// An owner of endpoints of a pool and where it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerLocation {
    /// The instance.
    pub owner: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// What a routing decision needs to know of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRequest {
    /// The pool that serves it.
    pub pool: PoolId,
    /// The tier of its class.
    pub tier: RequestTier,
    /// Digest of the start of the prompt.
    pub prefix: Option<u64>,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Endpoints that already failed this request.
    pub excluded: Vec<EndpointId>,
    /// A random number, so that entries with the same view spread out.
    pub random: u64,
}

/// One request on its way to a grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRoute {
    /// The request.
    pub request: RouteRequest,
    /// Owners that said they were busy.
    pub busy: Vec<InstanceId>,
    /// Owners that refused it.
    pub refused: Vec<InstanceId>,
    /// Owners that did not answer.
    pub unresponsive: Vec<InstanceId>,
    /// The refusal that the caller gets if no owner serves the request.
    pub refusal: Option<ErrorKind>,
    /// The owners at which it waits; the first grant counts.
    pub joined_queues: Vec<InstanceId>,
    /// When another owner was last asked beside those at which it waits.
    pub reconsidered_at: Option<Instant>,
}

impl RequestRoute {
    /// Starts a route.
    pub fn new(request: RouteRequest) -> Self {
        Self {
            request,
            busy: Vec::new(),
            refused: Vec::new(),
            unresponsive: Vec::new(),
            refusal: None,
            joined_queues: Vec::new(),
            reconsidered_at: None,
        }
    }

    /// Whether an owner refused the request or did not answer.
    pub fn is_ruled_out(&self, owner: &InstanceId) -> bool {
        self.refused.contains(owner) || self.unresponsive.contains(owner)
    }
}

/// What to do next for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteStep {
    /// Ask an owner for a grant.
    Ask {
        /// The owner.
        owner: InstanceId,
        /// Whether to wait in its queue.
        wait: bool,
    },
    /// Ask the queue that holds this instance's own share of the pool.
    AskFallbackShare,
    /// Send to this endpoint without asking anyone.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Wait for the owners that were asked before.
    Wait,
    /// Refuse the request.
    Refuse(ErrorKind),
}

/// What an owner answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteReply {
    /// It has no free slot.
    Busy(OwnerPressure),
    /// It will not serve the request.
    Refused(ErrorKind, OwnerPressure),
    /// It did not answer in time or its connection broke.
    Unresponsive,
}

/// Finds a way to an endpoint for each request.
pub trait RoutePolicy {
    /// Learns which owners and endpoints a pool has.
    fn set_pool(&mut self, pool: &PoolId, owners: Vec<OwnerLocation>, endpoints: Vec<EndpointId>);

    /// Learns how busy an owner is, and how long ago it was so.
    fn update_pressure(
        &mut self,
        pool: &PoolId,
        owner: &InstanceId,
        pressure: OwnerPressure,
        age: Duration,
        now: Instant,
    );

    /// The first step for a request.
    fn first_step(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep;

    /// The step after an owner's answer that was not a grant.
    fn next_step(
        &mut self,
        route: &mut RequestRoute,
        owner: &InstanceId,
        reply: RouteReply,
        now: Instant,
    ) -> RouteStep;

    /// What to do beside waiting: `Ask` another owner as well, or `Wait`.
    fn reconsider(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep;

    /// Learns that a request was granted by an owner, or sent without one.
    fn granted(&mut self, route: &RequestRoute, owner: Option<&InstanceId>, endpoint: &EndpointId);

    /// Learns that a request at an endpoint ended.
    fn ended(&mut self, pool: &PoolId, endpoint: &EndpointId);
}
