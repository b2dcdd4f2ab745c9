//! Chooses owners for the requests of this entry instance and records the grants it holds.

mod book;
mod follow;
mod link;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::endpoint_limit::{LimitBook, LimitStatement};
use coltsfootgate_core::owner::{HeldGrant, OwnerPressure};
use coltsfootgate_core::prelude::{
    EndpointId, EndpointSettings, ErrorKind, GrantId, InstanceId, PoolId, RoutingStrategy, ZoneName,
};
use coltsfootgate_core::rest::RestBook;
use coltsfootgate_core::routing::{
    OwnerSet, RequestRoute, RoutePolicy, RouteReply, RouteStep, SelectedPolicy,
};
use rand::seq::IteratorRandom;

use crate::endpoints::ActivePools;

pub use book::{LeaseEntry, LeaseTable};
pub use follow::{MemberWatcher, PoolStatus};
pub use link::{GrantSource, OwnerClient, PendingRequest};

/// Finds owners for the requests of this entry instance; clones share the same state.
#[derive(Clone, Debug)]
pub struct RouteTable(Rc<RefCell<TableState>>);

#[derive(Debug)]
struct TableState {
    zone: ZoneName,
    strategy: RoutingStrategy,
    policy: SelectedPolicy,
    owners: OwnerSet,
    endpoint_owners: BTreeMap<EndpointId, InstanceId>,
    pools: Option<Rc<ActivePools>>,
    draining: HashSet<Arc<str>>,
    leases: LeaseTable,
    limits: LimitBook,
    rests: RestBook,
}

impl RouteTable {
    /// Creates the table of an entry instance in a zone, without pools and owners.
    pub fn new(zone: ZoneName) -> Self {
        let strategy = RoutingStrategy::default();
        Self(Rc::new(RefCell::new(TableState {
            policy: SelectedPolicy::new(strategy, zone.clone()),
            zone,
            strategy,
            owners: OwnerSet::default(),
            endpoint_owners: BTreeMap::new(),
            pools: None,
            draining: HashSet::new(),
            leases: LeaseTable::default(),
            limits: LimitBook::default(),
            rests: RestBook::default(),
        })))
    }

    /// Replaces the pools and their endpoints.
    pub fn set_pools(&self, pools: Rc<ActivePools>) {
        let mut state = self.0.borrow_mut();
        let strategy = pools.active.tree.deployment().strategy;
        if strategy != state.strategy {
            state.strategy = strategy;
            state.policy = SelectedPolicy::new(strategy, state.zone.clone());
        }
        state.pools = Some(pools);
        state.refresh();
    }

    /// Replaces the set of owners.
    pub fn set_owners(&self, owners: OwnerSet) {
        let mut state = self.0.borrow_mut();
        state.limits.set_instances(owners.locations.len());
        state.owners = owners;
        state.refresh();
    }

    /// Replaces the addresses of all draining endpoints, which the platform lists as leaving.
    pub fn set_draining(&self, draining: &HashSet<Arc<str>>) {
        let mut state = self.0.borrow_mut();
        if state.draining != *draining {
            state.draining = draining.clone();
            state.refresh();
        }
    }

    /// Returns an endpoint of a pool; `None` if the pool does not contain it now.
    pub fn endpoint(&self, pool: &str, endpoint: &EndpointId) -> Option<EndpointSettings> {
        let state = self.0.borrow();
        let pool = state.pools.as_ref()?.pool(pool)?;
        pool.endpoints.iter().find(|candidate| candidate.id == *endpoint).cloned()
    }

    /// Returns an endpoint and its pool; `None` if no pool contains it now.
    pub fn find_endpoint(&self, endpoint: &EndpointId) -> Option<(PoolId, EndpointSettings)> {
        let state = self.0.borrow();
        let mut pools = state.pools.as_ref()?.pools();
        pools.find_map(|pool| {
            let found = pool.endpoints.iter().find(|candidate| candidate.id == *endpoint)?;
            Some((pool.id.clone(), found.clone()))
        })
    }

    /// Returns up to `count` endpoints of a pool, chosen at random.
    pub fn sample_endpoints(&self, pool: &str, count: usize) -> Vec<EndpointSettings> {
        if count == 0 {
            return Vec::new();
        }
        let state = self.0.borrow();
        let pool = state.pools.as_ref().and_then(|pools| pools.pool(pool));
        let endpoints = pool.iter().flat_map(|pool| pool.endpoints.iter().cloned());
        endpoints.choose_multiple(&mut rand::rng(), count)
    }

    /// Whether any endpoint of a pool states the version of its software.
    pub fn has_versions(&self, pool: &str) -> bool {
        let state = self.0.borrow();
        let pool = state.pools.as_ref().and_then(|pools| pools.pool(pool));
        pool.is_some_and(|pool| pool.endpoints.iter().any(|endpoint| endpoint.version.is_some()))
    }

    /// Returns the endpoints of a pool whose software has another version than this one.
    pub fn endpoints_of_other_versions(&self, pool: &str, version: &str) -> Vec<EndpointId> {
        let state = self.0.borrow();
        let Some(pool) = state.pools.as_ref().and_then(|pools| pools.pool(pool)) else {
            return Vec::new();
        };
        let others = pool.endpoints.iter();
        let others = others.filter(|endpoint| endpoint.version.as_deref() != Some(version));
        others.map(|endpoint| endpoint.id.clone()).collect()
    }

    /// Returns the instance that owns an endpoint.
    pub fn owner_of(&self, endpoint: &EndpointId) -> Option<InstanceId> {
        self.0.borrow().endpoint_owners.get(endpoint).cloned()
    }

    /// Reports what an answer stated about the limit of an endpoint to the owner of the endpoint.
    pub fn state_limit(&self, client: &OwnerClient, pool: &PoolId, statement: &LimitStatement) {
        let owner = self.owner_of(&statement.endpoint);
        client.state_limit(owner.as_ref(), pool, statement);
    }

    /// Updates the load of an owner.
    pub fn update_pressure(&self, pool: &PoolId, owner: &InstanceId, pressure: OwnerPressure) {
        let now = Instant::now();
        self.0.borrow_mut().policy.update_pressure(pool, owner, pressure, Duration::ZERO, now);
    }

    /// Notes that an owner does not answer, or that it was heard again.
    pub fn set_silent(&self, owner: &InstanceId, is_silent: bool) {
        self.0.borrow_mut().policy.set_silent(owner, is_silent);
    }

    /// Whether an instance owns endpoints.
    pub fn is_owner(&self, instance: &InstanceId) -> bool {
        self.0.borrow().endpoint_owners.values().any(|owner| owner == instance)
    }

    /// Returns the shortest time for which a new request is expected to wait for a slot.
    pub fn expected_wait(&self, route: &RequestRoute) -> Duration {
        self.0.borrow().policy.expected_wait(route, Instant::now())
    }

    /// Returns the first step for a request.
    pub fn first_step(&self, route: &mut RequestRoute) -> RouteStep {
        self.step(&route.request.pool.clone(), |policy| policy.first_step(route, Instant::now()))
    }

    /// Returns the step after an owner's answer that was not a grant.
    pub fn next_step(
        &self,
        route: &mut RequestRoute,
        owner: &InstanceId,
        reply: RouteReply,
    ) -> RouteStep {
        let pool = route.request.pool.clone();
        self.step(&pool, |policy| policy.next_step(route, owner, reply, Instant::now()))
    }

    /// Returns the step for a request that waits: `Ask` another owner as well, or `Wait`.
    pub fn reconsider(&self, route: &mut RequestRoute) -> RouteStep {
        self.step(&route.request.pool.clone(), |policy| policy.reconsider(route, Instant::now()))
    }

    /// The next step of a request, which is refused if its pool is not configured any more.
    fn step(
        &self,
        pool: &PoolId,
        choose: impl FnOnce(&mut SelectedPolicy) -> RouteStep,
    ) -> RouteStep {
        let mut state = self.0.borrow_mut();
        if !state.is_configured(pool) {
            return RouteStep::Refuse(ErrorKind::NoEndpoint);
        }
        choose(&mut state.policy)
    }

    /// Whether a request that no owner serves should wait, since the endpoints are changing their owner.
    pub fn awaits_owner(&self, route: &RequestRoute) -> bool {
        let state = self.0.borrow();
        state.is_configured(&route.request.pool) && state.policy.awaits_owner(route, Instant::now())
    }

    /// Records a grant, or a request that is sent without an owner's grant.
    pub fn record_grant(
        &self,
        route: &RequestRoute,
        owner: Option<&InstanceId>,
        lease: LeaseEntry,
    ) {
        let mut state = self.0.borrow_mut();
        state.policy.granted(route, owner, &lease.held.endpoint);
        state.leases.insert(lease);
    }

    /// Records that a request at an endpoint ended; returns whether its grant was announced to an owner.
    pub fn record_end(&self, lease: &LeaseEntry) -> bool {
        let mut state = self.0.borrow_mut();
        state.policy.ended(&lease.pool, &lease.held.endpoint);
        state.leases.remove(lease.held.grant).is_some_and(|lease| lease.is_announced)
    }

    /// Applies what an answer stated; returns whether the endpoint had or has a limit.
    pub fn observe_limit(&self, statement: &LimitStatement) -> bool {
        self.0.borrow_mut().limits.observe(statement, Instant::now())
    }

    /// Whether a request that no owner paced may be sent to an endpoint; counts it if so.
    pub fn admit_unpaced(&self, endpoint: &EndpointId) -> bool {
        self.0.borrow_mut().limits.admit(endpoint, Instant::now())
    }

    /// Records that an endpoint wants no requests from this instance for a time.
    pub fn record_rest(&self, endpoint: &EndpointId, time: Duration) {
        self.0.borrow_mut().rests.record(endpoint.clone(), time, Instant::now());
    }

    /// Whether an endpoint wants no requests from this instance now.
    pub fn is_resting(&self, endpoint: &EndpointId) -> bool {
        self.0.borrow().rests.remaining(endpoint, Instant::now()).is_some()
    }

    /// Returns the endpoints of a pool that want no requests from this instance now, with the time that
    /// each still rests.
    pub fn resting(&self, pool: &str) -> Vec<(EndpointId, Duration)> {
        let (state, now) = (self.0.borrow(), Instant::now());
        if !state.rests.is_any_resting(now) {
            return Vec::new();
        }
        let Some(pool) = state.pools.as_ref().and_then(|pools| pools.pool(pool)) else {
            return Vec::new();
        };
        let endpoints = pool.endpoints.iter().map(|endpoint| &endpoint.id);
        let resting =
            endpoints.filter_map(|id| Some((id.clone(), state.rests.remaining(id, now)?)));
        resting.collect()
    }

    /// Returns the time until an endpoint of a pool is back if all of them rest.
    pub fn rest_of_pool(&self, pool: &str) -> Option<Duration> {
        let resting = self.resting(pool);
        let state = self.0.borrow();
        let endpoints = state.pools.as_ref()?.pool(pool)?.endpoints.len();
        let first_back = resting.iter().map(|(_, remaining)| *remaining).min();
        first_back.filter(|_| resting.len() == endpoints)
    }

    /// Returns the limit of an endpoint as this instance observed it.
    pub fn known_limit(&self, endpoint: &EndpointId) -> Option<LimitStatement> {
        let limits = self.0.borrow().limits.known(Instant::now());
        limits.into_iter().find(|limit| limit.endpoint == *endpoint)
    }

    /// Returns the limits that this instance observed, with the pools of their endpoints.
    pub fn known_limits(&self) -> Vec<(PoolId, LimitStatement)> {
        let state = self.0.borrow();
        let Some(pools) = &state.pools else { return Vec::new() };
        let pool_of = |endpoint: &EndpointId| {
            let mut pools = pools.pools();
            let pool = pools.find(|pool| pool.endpoints.iter().any(|one| one.id == *endpoint));
            pool.map(|pool| pool.id.clone())
        };
        let limits = state.limits.known(Instant::now()).into_iter();
        limits.filter_map(|limit| Some((pool_of(&limit.endpoint)?, limit))).collect()
    }

    /// Returns those of some grants that this instance holds from owners.
    pub fn held_of(&self, grants: &[GrantId]) -> Vec<GrantId> {
        let state = self.0.borrow();
        grants.iter().copied().filter(|grant| state.leases.is_counted(*grant)).collect()
    }

    /// Whether this instance holds a grant that an owner counts, or will.
    pub fn holds_any(&self) -> bool {
        self.0.borrow_mut().leases.counted_mut().next().is_some()
    }

    /// Returns the grants held for an owner in each pool of which it owns endpoints.
    pub fn held_for(&self, owner: &InstanceId) -> Vec<(PoolId, Vec<HeldGrant>)> {
        let mut held = self.held_by_owner();
        let state = self.0.borrow();
        let Some(pools) = &state.pools else { return Vec::new() };
        let is_owned =
            |endpoint: &EndpointSettings| state.endpoint_owners.get(&endpoint.id) == Some(owner);
        let owned = pools.pools().filter(|pool| pool.endpoints.iter().any(is_owned));
        let owned = owned.map(|pool| {
            let held = held.remove(&(owner.clone(), pool.id.clone())).unwrap_or_default();
            (pool.id.clone(), held)
        });
        owned.collect()
    }

    /// Returns the grants held for each owner and pool, by the current owners of the endpoints. Those of the fallback
    /// share are among them; their owners hear of their ends from now on.
    pub fn held_by_owner(&self) -> HashMap<(InstanceId, PoolId), Vec<HeldGrant>> {
        let TableState { leases, endpoint_owners, .. } = &mut *self.0.borrow_mut();
        let mut held: HashMap<(InstanceId, PoolId), Vec<HeldGrant>> = HashMap::new();
        for lease in leases.counted_mut() {
            if let Some(owner) = endpoint_owners.get(&lease.held.endpoint) {
                lease.is_announced = true;
                let key = (owner.clone(), lease.pool.clone());
                held.entry(key).or_default().push(lease.held.clone());
            }
        }
        held
    }
}

impl TableState {
    /// Whether the settings in force name a pool; also true before there are any.
    fn is_configured(&self, pool: &PoolId) -> bool {
        self.pools.as_ref().is_none_or(|pools| pools.pool(pool).is_some())
    }

    /// Recomputes the owners and endpoints of every pool.
    fn refresh(&mut self) {
        let Some(pools) = &self.pools else { return };
        self.endpoint_owners.clear();
        for pool in pools.pools() {
            let mut owners = self.owners.endpoint_owners(pool, pools.owner_endpoints());
            let locations = self.owners.owner_locations(&owners);
            self.endpoint_owners.append(&mut owners);
            let remaining =
                pool.endpoints.iter().filter(|endpoint| !self.draining.contains(&endpoint.address));
            let endpoints = remaining.map(|endpoint| endpoint.id.clone()).collect();
            self.policy.set_pool(&pool.id, locations, endpoints);
        }
    }
}
