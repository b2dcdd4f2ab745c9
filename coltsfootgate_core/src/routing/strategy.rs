//! The routing policy that the settings tree selects.

use std::time::{Duration, Instant};

use super::{
    CooperativePolicy, LeastLoadedPolicy, OwnerLocation, RequestRoute, RoundRobinPolicy,
    RoutePolicy, RouteReply, RouteStep,
};
use crate::ids::{EndpointId, InstanceId, PoolId, ZoneName};
use crate::owner::OwnerPressure;
use crate::settings::RoutingStrategy;

/// One of the policies, selected at run time and dispatched without a virtual call.
#[derive(Clone, Debug)]
pub enum SelectedPolicy {
    /// Owners grant endpoints from exact ledgers and queues by tier.
    Cooperative(CooperativePolicy),
    /// Each instance uses the endpoints in turn.
    RoundRobin(RoundRobinPolicy),
    /// Each instance uses the endpoint with the fewest of its own requests.
    LeastLoaded(LeastLoadedPolicy),
}

impl SelectedPolicy {
    /// Creates the policy of an entry instance in a zone.
    pub fn new(strategy: RoutingStrategy, zone: ZoneName) -> Self {
        match strategy {
            RoutingStrategy::Cooperative => Self::Cooperative(CooperativePolicy::new(zone)),
            RoutingStrategy::RoundRobin => Self::RoundRobin(RoundRobinPolicy::default()),
            RoutingStrategy::LocalLeastLoaded => Self::LeastLoaded(LeastLoadedPolicy::default()),
        }
    }
}

macro_rules! forward {
    ($self:ident, $policy:ident => $call:expr) => {
        match $self {
            Self::Cooperative($policy) => $call,
            Self::RoundRobin($policy) => $call,
            Self::LeastLoaded($policy) => $call,
        }
    };
}

impl RoutePolicy for SelectedPolicy {
    fn set_pool(&mut self, pool: &PoolId, owners: Vec<OwnerLocation>, endpoints: Vec<EndpointId>) {
        forward!(self, policy => policy.set_pool(pool, owners, endpoints))
    }

    fn update_pressure(
        &mut self,
        pool: &PoolId,
        owner: &InstanceId,
        pressure: OwnerPressure,
        age: Duration,
        now: Instant,
    ) {
        forward!(self, policy => policy.update_pressure(pool, owner, pressure, age, now))
    }

    fn expected_wait(&self, route: &RequestRoute, now: Instant) -> Duration {
        forward!(self, policy => policy.expected_wait(route, now))
    }

    fn first_step(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        forward!(self, policy => policy.first_step(route, now))
    }

    fn next_step(
        &mut self,
        route: &mut RequestRoute,
        owner: &InstanceId,
        reply: RouteReply,
        now: Instant,
    ) -> RouteStep {
        forward!(self, policy => policy.next_step(route, owner, reply, now))
    }

    fn reconsider(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        forward!(self, policy => policy.reconsider(route, now))
    }

    fn awaits_owner(&self, route: &RequestRoute, now: Instant) -> bool {
        forward!(self, policy => policy.awaits_owner(route, now))
    }

    fn set_silent(&mut self, owner: &InstanceId, is_silent: bool) {
        forward!(self, policy => policy.set_silent(owner, is_silent))
    }

    fn granted(&mut self, route: &RequestRoute, owner: Option<&InstanceId>, endpoint: &EndpointId) {
        forward!(self, policy => policy.granted(route, owner, endpoint))
    }

    fn ended(&mut self, pool: &PoolId, endpoint: &EndpointId) {
        forward!(self, policy => policy.ended(pool, endpoint))
    }
}
