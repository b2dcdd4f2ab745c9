//! The routes of whichever strategy the tree of settings names.

use std::time::{Duration, Instant};

use super::{
    CooperativePolicy, LeastLoadedPolicy, OwnerLocation, RequestRoute, RoundRobinPolicy,
    RoutePolicy, RouteReply, RouteStep,
};
use crate::ids::{EndpointId, InstanceId, PoolId, ZoneName};
use crate::owner::OwnerPressure;
use crate::settings::RoutingStrategy;

/// One of the strategies, chosen at run time without a virtual call.
#[derive(Clone, Debug)]
pub enum SelectedPolicy {
    /// Owners keep exact ledgers and queues by tier.
    Cooperative(CooperativePolicy),
    /// The endpoints in turn.
    RoundRobin(RoundRobinPolicy),
    /// The endpoint with the fewest of this instance's own requests.
    LeastLoaded(LeastLoadedPolicy),
}

impl SelectedPolicy {
    /// Makes the routes of an entry instance in a zone.
    pub fn new(strategy: RoutingStrategy, zone: ZoneName) -> Self {
        match strategy {
            RoutingStrategy::Cooperative => Self::Cooperative(CooperativePolicy::new(zone)),
            RoutingStrategy::RoundRobin => Self::RoundRobin(RoundRobinPolicy::default()),
            RoutingStrategy::LocalLeastLoaded => Self::LeastLoaded(LeastLoadedPolicy::default()),
        }
    }
}

macro_rules! forward {
    ($self:ident, $routes:ident => $call:expr) => {
        match $self {
            Self::Cooperative($routes) => $call,
            Self::RoundRobin($routes) => $call,
            Self::LeastLoaded($routes) => $call,
        }
    };
}

impl RoutePolicy for SelectedPolicy {
    fn set_pool(&mut self, pool: &PoolId, owners: Vec<OwnerLocation>, endpoints: Vec<EndpointId>) {
        forward!(self, routes => routes.set_pool(pool, owners, endpoints))
    }

    fn update_pressure(
        &mut self,
        pool: &PoolId,
        owner: &InstanceId,
        pressure: OwnerPressure,
        age: Duration,
        now: Instant,
    ) {
        forward!(self, routes => routes.update_pressure(pool, owner, pressure, age, now))
    }

    fn first_step(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        forward!(self, routes => routes.first_step(route, now))
    }

    fn next_step(
        &mut self,
        route: &mut RequestRoute,
        owner: &InstanceId,
        reply: RouteReply,
        now: Instant,
    ) -> RouteStep {
        forward!(self, routes => routes.next_step(route, owner, reply, now))
    }

    fn reconsider(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        forward!(self, routes => routes.reconsider(route, now))
    }

    fn granted(&mut self, route: &RequestRoute, owner: Option<&InstanceId>, endpoint: &EndpointId) {
        forward!(self, routes => routes.granted(route, owner, endpoint))
    }

    fn ended(&mut self, pool: &PoolId, endpoint: &EndpointId) {
        forward!(self, routes => routes.ended(pool, endpoint))
    }
}
