//! Keeps owners, routes and limits in step with the live instances.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use monoio::time::timeout;
use serde_json::{Value, json};

use coltsfootgate_core::owner::{OwnerPressure, OwnerSnapshot};
use coltsfootgate_core::prelude::{InstanceId, PoolId};
use coltsfootgate_wire::PoolPressure;

use super::{OwnerLink, OwnerSet, RouteBoard};
use crate::limits::{LimitHandle, LimitMessage};
use crate::members::{MemberChange, MemberView, MembersHandle};
use crate::owner::{OwnerHandle, OwnerMessage};

/// Period at which this instance's pressure is told to the next heartbeats.
const PRESSURE_PERIOD: Duration = Duration::from_millis(100);

/// The owned endpoints and their queues, for status pages; clones share the same view.
#[derive(Clone, Debug, Default)]
pub struct PoolStatus(Rc<RefCell<(Value, Value)>>);

impl PoolStatus {
    /// One entry for each owned endpoint.
    pub fn endpoints(&self) -> Value {
        self.0.borrow().0.clone()
    }

    /// One entry for each pool.
    pub fn queues(&self) -> Value {
        self.0.borrow().1.clone()
    }

    fn show(&self, snapshots: &[OwnerSnapshot]) {
        let endpoints = snapshots.iter().flat_map(|snapshot| &snapshot.endpoints).map(|endpoint| {
            json!({
                "endpoint": endpoint.endpoint,
                "state": endpoint.state.name(),
                "leaving": endpoint.is_draining,
                "slots": endpoint.slots,
                "in_flight": endpoint.in_flight,
            })
        });
        let queues = snapshots.iter().map(|snapshot| {
            json!({
                "pool": snapshot.pool,
                "grants": snapshot.grants,
                "free_slots": snapshot.pressure.free_slots,
                "waiting_by_tier": snapshot.pressure.waiting_by_tier,
            })
        });
        *self.0.borrow_mut() = (endpoints.collect(), queues.collect());
    }
}

/// Passes news about instances on.
pub struct MemberFollower {
    own: InstanceId,
    members: MembersHandle,
    owner: OwnerHandle,
    routes: RouteBoard,
    link: OwnerLink,
    limits: LimitHandle,
    owners: OwnerSet,
    pressures: HashMap<PoolId, BTreeMap<InstanceId, OwnerPressure>>,
    status: PoolStatus,
}

impl MemberFollower {
    /// Makes the follower of an instance.
    pub fn new(
        own: InstanceId,
        members: MembersHandle,
        owner: OwnerHandle,
        routes: RouteBoard,
        link: OwnerLink,
        limits: LimitHandle,
        status: PoolStatus,
    ) -> Self {
        let (owners, pressures) = (OwnerSet::default(), HashMap::new());
        Self { own, members, owner, routes, link, limits, owners, pressures, status }
    }

    /// Follows until the process ends.
    pub async fn run(mut self) {
        let mut changes: UnboundedReceiver<MemberChange> = self.members.subscribe();
        let mut told = Instant::now();
        loop {
            let rest = PRESSURE_PERIOD.saturating_sub(told.elapsed());
            match timeout(rest, changes.next()).await {
                Ok(Some(change)) => self.take(change),
                Ok(None) => return,
                Err(_) => {
                    told = Instant::now();
                    self.tell_pressures().await;
                }
            }
        }
    }

    fn take(&mut self, change: MemberChange) {
        match change {
            MemberChange::View(view) => self.take_view(&view),
            MemberChange::Lost(instance) | MemberChange::Reborn(instance) => {
                for owners in self.pressures.values_mut() {
                    owners.remove(&instance);
                }
                self.owner.tell(OwnerMessage::AskerLost { asker: instance });
            }
            MemberChange::Pressure(instance, pressures) => {
                self.take_pressures(&instance, pressures);
            }
        }
    }

    fn take_view(&mut self, view: &Rc<MemberView>) {
        let leaving = view.leaving_endpoints.iter().cloned().collect();
        self.routes.set_leaving(&leaving);
        self.owner.tell(OwnerMessage::Leaving(leaving));
        let zones = view.places.iter().map(|place| (place.owner.clone(), place.zone.clone()));
        let owners = OwnerSet { table: view.owners.clone(), zones: zones.collect() };
        if owners == self.owners {
            return;
        }
        self.owners = owners.clone();
        self.owner.tell(OwnerMessage::Owners(owners.clone()));
        self.limits.send(LimitMessage::Owners(owners.clone()));
        self.routes.set_owners(owners);
        // A new owner learns what is in flight at its endpoints.
        for ((owner, pool), held) in self.routes.held_by_owner() {
            self.link.announce(&owner, pool, held);
        }
    }

    fn take_pressures(&mut self, instance: &InstanceId, pressures: Vec<PoolPressure>) {
        for PoolPressure { pool, pressure } in pressures {
            self.routes.learn(&pool, instance, pressure);
            let owners = self.pressures.entry(pool.clone()).or_default();
            owners.insert(instance.clone(), pressure);
            let token_times = owners.values().filter_map(|pressure| pressure.token_time).collect();
            self.owner.tell(OwnerMessage::PoolSpeed { pool, token_times });
        }
    }

    async fn tell_pressures(&self) {
        let snapshots = self.owner.snapshot().await;
        self.status.show(&snapshots);
        let pressures: Vec<PoolPressure> = snapshots
            .into_iter()
            .map(|snapshot| PoolPressure { pool: snapshot.pool, pressure: snapshot.pressure })
            .collect();
        for pressure in &pressures {
            self.routes.learn(&pressure.pool, &self.own, pressure.pressure);
        }
        self.members.set_pressures(pressures);
    }
}
