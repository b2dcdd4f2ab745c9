//! Baseline policies that choose an endpoint without asking an owner.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{OwnerLocation, RequestRoute, RoutePolicy, RouteReply, RouteStep};
use crate::ids::{EndpointId, InstanceId, PoolId};
use crate::owner::OwnerPressure;
use crate::reason::ErrorKind;

/// Uses the endpoints of a pool in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobinPolicy {
    /// The endpoints of each pool with the index of the one last used.
    pools: HashMap<PoolId, (Vec<EndpointId>, usize)>,
}

impl RoutePolicy for RoundRobinPolicy {
    fn set_pool(&mut self, pool: &PoolId, _: Vec<OwnerLocation>, endpoints: Vec<EndpointId>) {
        self.pools.entry(pool.clone()).or_default().0 = endpoints;
    }

    fn update_pressure(
        &mut self,
        _: &PoolId,
        _: &InstanceId,
        _: OwnerPressure,
        _: Duration,
        _: Instant,
    ) {
    }

    fn expected_wait(&self, _: &RequestRoute, _: Instant) -> Duration {
        Duration::ZERO
    }

    fn first_step(&mut self, route: &mut RequestRoute, _: Instant) -> RouteStep {
        let request = &route.request;
        let Some((endpoints, last_used)) = self.pools.get_mut(&request.pool) else {
            return RouteStep::Refuse(ErrorKind::NoEndpoint);
        };
        for _ in 0..endpoints.len() {
            *last_used = (*last_used + 1) % endpoints.len();
            let endpoint = &endpoints[*last_used];
            if !request.excluded.contains(endpoint) {
                return RouteStep::Send { endpoint: endpoint.clone() };
            }
        }
        RouteStep::Refuse(ErrorKind::NoEndpoint)
    }

    fn next_step(
        &mut self,
        route: &mut RequestRoute,
        _: &InstanceId,
        _: RouteReply,
        now: Instant,
    ) -> RouteStep {
        self.first_step(route, now)
    }

    fn reconsider(&mut self, _: &mut RequestRoute, _: Instant) -> RouteStep {
        RouteStep::Wait
    }

    fn awaits_owner(&self, _: &RequestRoute, _: Instant) -> bool {
        false
    }

    fn set_silent(&mut self, _: &InstanceId, _: bool) {}

    fn granted(&mut self, _: &RequestRoute, _: Option<&InstanceId>, _: &EndpointId) {}

    fn ended(&mut self, _: &PoolId, _: &EndpointId) {}
}

/// Uses the endpoint with the fewest of this instance's own running requests.
#[derive(Clone, Debug, Default)]
pub struct LeastLoadedPolicy {
    /// The endpoints of each pool with the number of requests that this instance runs there.
    pools: HashMap<PoolId, Vec<(EndpointId, u32)>>,
}

impl LeastLoadedPolicy {
    fn count(&mut self, pool: &PoolId, endpoint: &EndpointId) -> Option<&mut u32> {
        let endpoints = self.pools.get_mut(pool)?;
        endpoints.iter_mut().find(|(id, _)| id == endpoint).map(|(_, count)| count)
    }
}

impl RoutePolicy for LeastLoadedPolicy {
    fn set_pool(&mut self, pool: &PoolId, _: Vec<OwnerLocation>, endpoints: Vec<EndpointId>) {
        let known: HashMap<_, _> =
            self.pools.remove(pool).unwrap_or_default().into_iter().collect();
        let counted = endpoints.into_iter().map(|endpoint| {
            let count = known.get(&endpoint).copied().unwrap_or(0);
            (endpoint, count)
        });
        self.pools.insert(pool.clone(), counted.collect());
    }

    fn update_pressure(
        &mut self,
        _: &PoolId,
        _: &InstanceId,
        _: OwnerPressure,
        _: Duration,
        _: Instant,
    ) {
    }

    fn expected_wait(&self, _: &RequestRoute, _: Instant) -> Duration {
        Duration::ZERO
    }

    fn first_step(&mut self, route: &mut RequestRoute, _: Instant) -> RouteStep {
        let request = &route.request;
        let endpoints = self.pools.get(&request.pool).map(Vec::as_slice).unwrap_or_default();
        let allowed = endpoints.iter().filter(|(id, _)| !request.excluded.contains(id));
        // Ties are broken at random; otherwise all instances would start with the same endpoint.
        let start = request.random as usize % endpoints.len().max(1);
        let distance = |id: &EndpointId| {
            let position = endpoints.iter().position(|(other, _)| other == id).unwrap_or(0);
            (position + endpoints.len() - start) % endpoints.len().max(1)
        };
        match allowed.min_by_key(|(id, count)| (*count, distance(id))) {
            Some((endpoint, _)) => RouteStep::Send { endpoint: endpoint.clone() },
            None => RouteStep::Refuse(ErrorKind::NoEndpoint),
        }
    }

    fn next_step(
        &mut self,
        route: &mut RequestRoute,
        _: &InstanceId,
        _: RouteReply,
        now: Instant,
    ) -> RouteStep {
        self.first_step(route, now)
    }

    fn reconsider(&mut self, _: &mut RequestRoute, _: Instant) -> RouteStep {
        RouteStep::Wait
    }

    fn awaits_owner(&self, _: &RequestRoute, _: Instant) -> bool {
        false
    }

    fn set_silent(&mut self, _: &InstanceId, _: bool) {}

    fn granted(&mut self, route: &RequestRoute, _: Option<&InstanceId>, endpoint: &EndpointId) {
        if let Some(count) = self.count(&route.request.pool, endpoint) {
            *count += 1;
        }
    }

    fn ended(&mut self, pool: &PoolId, endpoint: &EndpointId) {
        if let Some(count) = self.count(pool, endpoint) {
            *count = count.saturating_sub(1);
        }
    }
}
