//! What this entry knows of the owners of all pools, and the grants it holds from them.

mod book;
mod follow;
mod link;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{HeldGrant, OwnerPressure};
use coltsfootgate_core::prelude::{
    EndpointId, EndpointSettings, InstanceId, PoolId, PoolSettings, RoutingStrategy, ZoneName,
};
use coltsfootgate_core::rendezvous::OwnerTable;
use coltsfootgate_core::routing::{
    OwnerLocation, RequestRoute, RoutePolicy, RouteReply, RouteStep, SelectedPolicy,
};

use crate::endpoints::ActivePools;

pub use book::{LeaseBook, LeaseEntry};
pub use follow::{MemberFollower, PoolStatus};
pub use link::{AskPlace, OwnerLink, PendingAsk};

/// The instances that may own endpoints.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OwnerSet {
    /// Which instance owns what.
    pub table: OwnerTable,
    /// Where each instance runs.
    pub zones: BTreeMap<InstanceId, ZoneName>,
}

impl OwnerSet {
    /// Makes the set of the given instances.
    pub fn new(zones: BTreeMap<InstanceId, ZoneName>) -> Self {
        let table = OwnerTable::new(zones.keys().cloned());
        Self { table, zones }
    }

    /// The owner of each endpoint of a pool.
    ///
    /// A pool has as many owners as leave each of them `owner_endpoints` to choose among.
    pub fn endpoint_owners(
        &self,
        pool: &PoolSettings,
        owner_endpoints: u32,
    ) -> BTreeMap<EndpointId, InstanceId> {
        let owners = (pool.endpoints.len() / owner_endpoints.max(1) as usize).max(1);
        let table = self.table.top_ranked(&pool.id, owners);
        table.balanced(pool.endpoints.iter().map(|endpoint| &endpoint.id))
    }

    /// Where the owners of some endpoints run.
    fn places(&self, endpoint_owners: &BTreeMap<EndpointId, InstanceId>) -> Vec<OwnerLocation> {
        let owners: BTreeSet<&InstanceId> = endpoint_owners.values().collect();
        owners
            .into_iter()
            .filter_map(|owner| {
                let zone = self.zones.get(owner)?.clone();
                Some(OwnerLocation { owner: owner.clone(), zone })
            })
            .collect()
    }
}

/// Finds owners for the requests of this entry; clones share the same state.
#[derive(Clone, Debug)]
pub struct RouteBoard(Rc<RefCell<BoardState>>);

#[derive(Debug)]
struct BoardState {
    zone: ZoneName,
    strategy: RoutingStrategy,
    routes: SelectedPolicy,
    owners: OwnerSet,
    endpoint_owners: BTreeMap<EndpointId, InstanceId>,
    pools: Option<Rc<ActivePools>>,
    leaving: HashSet<Arc<str>>,
    book: LeaseBook,
}

impl RouteBoard {
    /// Makes the board of an entry in a zone, which knows no owner yet.
    pub fn new(zone: ZoneName) -> Self {
        let strategy = RoutingStrategy::default();
        Self(Rc::new(RefCell::new(BoardState {
            routes: SelectedPolicy::new(strategy, zone.clone()),
            zone,
            strategy,
            owners: OwnerSet::default(),
            endpoint_owners: BTreeMap::new(),
            pools: None,
            leaving: HashSet::new(),
            book: LeaseBook::default(),
        })))
    }

    /// Takes over the pools and endpoints of now.
    pub fn set_pools(&self, pools: Rc<ActivePools>) {
        let mut state = self.0.borrow_mut();
        let strategy = pools.active.tree.deployment().strategy;
        if strategy != state.strategy {
            state.strategy = strategy;
            state.routes = SelectedPolicy::new(strategy, state.zone.clone());
        }
        state.pools = Some(pools);
        state.refresh();
    }

    /// Takes over a changed set of owners.
    pub fn set_owners(&self, owners: OwnerSet) {
        let mut state = self.0.borrow_mut();
        state.owners = owners;
        state.refresh();
    }

    /// Takes over the addresses of all endpoints that are leaving.
    pub fn set_leaving(&self, leaving: &HashSet<Arc<str>>) {
        let mut state = self.0.borrow_mut();
        if state.leaving != *leaving {
            state.leaving = leaving.clone();
            state.refresh();
        }
    }

    /// An endpoint of a pool, if it may serve now.
    pub fn endpoint(&self, pool: &str, endpoint: &EndpointId) -> Option<EndpointSettings> {
        let state = self.0.borrow();
        let pool = state.pools.as_ref()?.pool(pool)?;
        pool.endpoints.iter().find(|one| one.id == *endpoint).cloned()
    }

    /// The instance that owns an endpoint.
    pub fn owner_of(&self, endpoint: &EndpointId) -> Option<InstanceId> {
        self.0.borrow().endpoint_owners.get(endpoint).cloned()
    }

    /// Learns how busy an owner is.
    pub fn learn(&self, pool: &PoolId, owner: &InstanceId, pressure: OwnerPressure) {
        let now = Instant::now();
        self.0.borrow_mut().routes.update_pressure(pool, owner, pressure, Duration::ZERO, now);
    }

    /// The first step for a request.
    pub fn first_step(&self, route: &mut RequestRoute) -> RouteStep {
        self.0.borrow_mut().routes.first_step(route, Instant::now())
    }

    /// The step after an answer that was not a grant.
    pub fn next_step(
        &self,
        route: &mut RequestRoute,
        owner: &InstanceId,
        reply: RouteReply,
    ) -> RouteStep {
        self.0.borrow_mut().routes.next_step(route, owner, reply, Instant::now())
    }

    /// What to do beside waiting at the owners that were asked.
    pub fn reconsider(&self, route: &mut RequestRoute) -> RouteStep {
        self.0.borrow_mut().routes.reconsider(route, Instant::now())
    }

    /// Notes a grant, or a request that is sent without one.
    pub fn granted(&self, route: &RequestRoute, owner: Option<&InstanceId>, lease: LeaseEntry) {
        let mut state = self.0.borrow_mut();
        state.routes.granted(route, owner, &lease.held.endpoint);
        state.book.note(lease);
    }

    /// Notes that a request at an endpoint ended, and tells where its grant belongs now.
    pub fn ended(&self, lease: &LeaseEntry) {
        let mut state = self.0.borrow_mut();
        state.routes.ended(&lease.pool, &lease.held.endpoint);
        state.book.remove(lease.held.grant);
    }

    /// The grants held of each owner and pool, by the owners of now.
    pub fn held_by_owner(&self) -> HashMap<(InstanceId, PoolId), Vec<HeldGrant>> {
        let state = self.0.borrow();
        let mut held: HashMap<(InstanceId, PoolId), Vec<HeldGrant>> = HashMap::new();
        for lease in state.book.owned() {
            if let Some(owner) = state.endpoint_owners.get(&lease.held.endpoint) {
                let key = (owner.clone(), lease.pool.clone());
                held.entry(key).or_default().push(lease.held.clone());
            }
        }
        held
    }
}

impl BoardState {
    /// Tells the routes of every pool again.
    fn refresh(&mut self) {
        let Some(pools) = &self.pools else { return };
        self.endpoint_owners.clear();
        for pool in pools.pools() {
            let mut owners = self.owners.endpoint_owners(pool, pools.owner_endpoints());
            let places = self.owners.places(&owners);
            self.endpoint_owners.append(&mut owners);
            let staying =
                pool.endpoints.iter().filter(|endpoint| !self.leaving.contains(&endpoint.address));
            let endpoints = staying.map(|endpoint| endpoint.id.clone()).collect();
            self.routes.set_pool(&pool.id, places, endpoints);
        }
    }
}
