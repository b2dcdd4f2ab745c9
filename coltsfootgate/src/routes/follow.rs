//! Updates owners, routes and limits when the set of live instances or their load changes.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use monoio::time::timeout;
use serde_json::{Value, json};

use coltsfootgate_core::owner::{GrantHolders, OwnerPressure, OwnerSnapshot};
use coltsfootgate_core::prelude::{InstanceId, PoolId};
use coltsfootgate_core::routing::OwnerSet;
use coltsfootgate_wire::PoolPressure;

use super::{OwnerClient, RouteTable};
use crate::limits::{LimitHandle, LimitMessage};
use crate::members::{MemberChange, MemberView, MembersHandle};
use crate::owner::{OwnerHandle, OwnerMessage};

/// Interval at which the load of this instance's pools is put into the next heartbeats.
const PRESSURE_PERIOD: Duration = Duration::from_millis(100);

/// The owned endpoints and their queues for `/status`; clones share the same data.
#[derive(Clone, Debug, Default)]
pub struct PoolStatus(Rc<RefCell<(Value, Value)>>);

impl PoolStatus {
    /// Returns one JSON object for each owned endpoint.
    pub fn endpoints(&self) -> Value {
        self.0.borrow().0.clone()
    }

    /// Returns one JSON object for each pool.
    pub fn queues(&self) -> Value {
        self.0.borrow().1.clone()
    }

    fn update(&self, snapshots: &[OwnerSnapshot]) {
        let endpoints = snapshots.iter().flat_map(|snapshot| &snapshot.endpoints).map(|endpoint| {
            json!({
                "endpoint": endpoint.endpoint,
                "state": endpoint.state.name(),
                "leaving": endpoint.is_draining,
                "slots": endpoint.slots,
                "limit": endpoint.limit,
                "in_flight": endpoint.in_flight,
            })
        });
        let queues = snapshots.iter().map(|snapshot| {
            json!({
                "pool": snapshot.pool,
                "grants": snapshot.grants,
                "free_slots": snapshot.pressure.free_slots,
                "waiting_by_tier": snapshot.pressure.waiting.by_tier(),
            })
        });
        *self.0.borrow_mut() = (endpoints.collect(), queues.collect());
    }
}

/// Forwards membership changes and peers' loads to the owner task, the routes and the limits.
pub struct MemberWatcher {
    own: InstanceId,
    members: MembersHandle,
    owner: OwnerHandle,
    routes: RouteTable,
    client: OwnerClient,
    limits: LimitHandle,
    owners: OwnerSet,
    holders: GrantHolders,
    pressures: HashMap<PoolId, BTreeMap<InstanceId, OwnerPressure>>,
    status: PoolStatus,
}

impl MemberWatcher {
    /// Creates the watcher; [`Self::run`] starts it.
    pub fn new(
        own: InstanceId,
        members: MembersHandle,
        owner: OwnerHandle,
        routes: RouteTable,
        client: OwnerClient,
        limits: LimitHandle,
        status: PoolStatus,
    ) -> Self {
        let (owners, pressures) = (OwnerSet::default(), HashMap::new());
        let holders = GrantHolders::default();
        Self { own, members, owner, routes, client, limits, owners, holders, pressures, status }
    }

    /// Forwards changes until the membership task has ended.
    pub async fn run(mut self) {
        let mut changes: UnboundedReceiver<MemberChange> = self.members.subscribe();
        let mut published = Instant::now();
        loop {
            let wait = PRESSURE_PERIOD.saturating_sub(published.elapsed());
            match timeout(wait, changes.next()).await {
                Ok(Some(change)) => self.handle_change(change),
                Ok(None) => return,
                Err(_) => {
                    published = Instant::now();
                    self.publish_pressures().await;
                }
            }
        }
    }

    fn handle_change(&mut self, change: MemberChange) {
        match change {
            MemberChange::View(view) => self.update_members(&view),
            MemberChange::Lost(instance) | MemberChange::Restarted(instance) => {
                for owners in self.pressures.values_mut() {
                    owners.remove(&instance);
                }
                self.owner.send(OwnerMessage::RequesterLost { requester: instance });
                self.inform_owners();
            }
            MemberChange::Pressure(instance, pressures) => {
                self.update_pressures(&instance, pressures);
            }
        }
    }

    fn update_members(&mut self, view: &Rc<MemberView>) {
        let draining = view.leaving_endpoints.iter().cloned().collect();
        self.routes.set_draining(&draining);
        self.owner.send(OwnerMessage::Draining(draining));
        let holders = view.live.instances().chain(view.leaving.instances()).cloned();
        let instances = holders.chain([self.own.clone()]).collect();
        let holders = GrantHolders { instances, unheard: view.unheard.map(|count| count as u32) };
        if holders != self.holders {
            self.holders = holders.clone();
            self.owner.send(OwnerMessage::Holders(holders));
        }
        let owners = OwnerSet::new(view.locations.iter().cloned());
        if owners == self.owners {
            return;
        }
        self.owners = owners.clone();
        self.owner.send(OwnerMessage::Owners(owners.clone()));
        self.limits.send(LimitMessage::Owners(owners.clone()));
        self.routes.set_owners(owners);
        self.inform_owners();
    }

    /// Tells the owners what this instance knows of their endpoints. A new owner, or a new process of one, must know
    /// which requests are in flight there.
    fn inform_owners(&self) {
        for ((owner, pool), held) in self.routes.held_by_owner() {
            self.client.announce(&owner, pool, held);
        }
        for (pool, limit) in self.routes.known_limits() {
            self.routes.state_limit(&self.client, &pool, &limit);
        }
    }

    fn update_pressures(&mut self, instance: &InstanceId, pressures: Vec<PoolPressure>) {
        for PoolPressure { pool, pressure } in pressures {
            self.routes.update_pressure(&pool, instance, pressure);
            let owners = self.pressures.entry(pool.clone()).or_default();
            owners.insert(instance.clone(), pressure);
            let token_times = owners.values().filter_map(|pressure| pressure.token_time).collect();
            self.owner.send(OwnerMessage::PeerTokenTimes { pool, token_times });
        }
    }

    async fn publish_pressures(&self) {
        let snapshots = self.owner.snapshot().await;
        self.status.update(&snapshots);
        let pressures: Vec<PoolPressure> = snapshots
            .into_iter()
            .map(|snapshot| PoolPressure { pool: snapshot.pool, pressure: snapshot.pressure })
            .collect();
        for pressure in &pressures {
            self.routes.update_pressure(&pressure.pool, &self.own, pressure.pressure);
        }
        self.members.set_pressures(pressures);
    }
}
