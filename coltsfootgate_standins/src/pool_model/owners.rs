//! The owners of the simulation, which run the decisions of the product.

use std::time::Duration;

use coltsfootgate_core::owner::{GrantAnswer, OwnerAction, OwnerEvent, OwnerSettings, PoolOwner};
use coltsfootgate_core::prelude::{EndpointSettings, PoolKind, PoolSettings, RouteTarget};
use coltsfootgate_core::routing::{OwnerLocation, OwnerSet, RoutePolicy, fallback_share};

use super::ModelTime;
use super::fleet::{Assignment, ControlMessage, ModelEvent, POOL, PoolFleet, zone_name};

/// Shortest time until an owner's next tick.
const TICK_MIN: Duration = Duration::from_millis(1);

/// An owner of some engines.
pub(super) struct ModelOwner {
    /// The index of its instance.
    pub(super) instance: usize,
    owner: PoolOwner,
    /// When its next tick is due.
    next_tick: Option<ModelTime>,
}

impl PoolFleet<'_> {
    /// Creates the owners, gives each its engines and tells the entries.
    pub(super) fn assign_engines(&mut self) {
        let pool = self.pool_settings();
        let ids = pool.endpoints.iter().map(|endpoint| endpoint.id.clone());
        self.engine_ids = ids.zip(0..).collect();
        let Assignment::Owners { owner_endpoints, knows_processors } = self.profile.assignment
        else {
            return;
        };
        let locations = self.names.iter().zip(&self.profile.instances).map(|(name, instance)| {
            let share = if knows_processors { instance.processor_share } else { 1.0 };
            OwnerLocation {
                owner: name.clone(),
                zone: zone_name(instance.zone),
                processor_milli: (share * 1000.0) as u32,
            }
        });
        let set = OwnerSet::new(locations);
        let owners = set.endpoint_owners(&pool, owner_endpoints);
        let locations = set.owner_locations(&owners);
        for location in &locations {
            let own = pool.endpoints.iter();
            let own = own.filter(|one| owners.get(&one.id) == Some(&location.owner));
            let mut owner = PoolOwner::new(self.owner_settings());
            owner.handle(
                OwnerEvent::Endpoints(own.cloned().collect()),
                self.instant(ModelTime::ZERO),
            );
            let instance = self.names.iter().position(|name| *name == location.owner);
            let Some(instance) = instance else { continue };
            self.owners.push(ModelOwner { instance, owner, next_tick: None });
        }
        let endpoints: Vec<_> = pool.endpoints.iter().map(|one| one.id.clone()).collect();
        for policy in &mut self.policies {
            policy.set_pool(&POOL.into(), locations.clone(), endpoints.clone());
        }
    }

    fn pool_settings(&self) -> PoolSettings {
        let zones = self.profile.instances.iter().map(|one| one.zone).max().unwrap_or(0) + 1;
        let slots = self.profile.engine.slots as u32;
        let endpoint = |number: usize| EndpointSettings {
            id: format!("e{number:03}").into(),
            replica: None,
            address: format!("10.1.0.{number}:1").into(),
            version: None,
            zone: zone_name(number % zones),
            slots,
            slots_max: slots,
        };
        PoolSettings {
            id: POOL.into(),
            target: RouteTarget::Classes(PoolKind::Engine),
            resumes: false,
            silence: Duration::from_secs(20),
            memory: Some(self.profile.engine.kv_cache_tokens),
            allowed_parts: Vec::new(),
            allowed_requests: Vec::new(),
            scale: None,
            endpoints: (0..self.profile.engines).map(endpoint).collect(),
        }
    }

    fn owner_settings(&self) -> OwnerSettings {
        OwnerSettings {
            pool: POOL.into(),
            between_tokens: self.profile.classes.iter().map(|class| class.pause).min(),
            kv_cache_tokens: Some(self.profile.engine.kv_cache_tokens),
            limit_sharers: self.names.len() as u32,
        }
    }

    /// The position of an entry's own owner for its fallback share.
    pub(super) fn fallback_owner(&mut self, entry: usize, now: ModelTime) -> usize {
        if let Some(position) = self.fallbacks.get(&entry) {
            return *position;
        }
        let endpoints = self.pool_settings().endpoints;
        let share = fallback_share(&endpoints, &self.names[entry], &self.names);
        let mut owner = PoolOwner::new(self.owner_settings());
        owner.handle(OwnerEvent::Endpoints(share), self.instant(now));
        self.owners.push(ModelOwner { instance: entry, owner, next_tick: None });
        let position = self.owners.len() - 1;
        self.fallbacks.insert(entry, position);
        position
    }

    pub(super) fn tick_owner(&mut self, owner: usize, now: ModelTime) {
        self.owners[owner].next_tick = None;
        self.drive_owner(owner, OwnerEvent::Tick, now);
    }

    /// Passes an event to an owner and sends its answers.
    pub(super) fn drive_owner(&mut self, position: usize, event: OwnerEvent, now: ModelTime) {
        let at = self.instant(now);
        let ModelOwner { instance, owner, .. } = &mut self.owners[position];
        let (from, actions) = (*instance, owner.handle(event, at));
        for action in actions {
            let (requester, grant, answer) = match action {
                OwnerAction::Grant { requester, grant, endpoint, by_floor, is_paced, pressure } => {
                    let answer = GrantAnswer::Granted { endpoint, by_floor, is_paced, pressure };
                    (requester, grant, answer)
                }
                OwnerAction::Busy { requester, grant, pressure } => {
                    (requester, grant, GrantAnswer::Busy(pressure))
                }
                OwnerAction::Refuse { requester, grant, kind, pressure } => {
                    (requester, grant, GrantAnswer::Refused { kind, pressure })
                }
                _ => continue,
            };
            let index = self.grant_requests.get(&grant).copied();
            let entry = self.names.iter().position(|name| *name == requester);
            let (Some(index), Some(entry)) = (index, entry) else { continue };
            let message = ControlMessage::Answer { index, grant, owner: position, answer };
            self.send(from, entry, message, now);
        }
        self.schedule_tick(position, now);
    }

    fn schedule_tick(&mut self, position: usize, now: ModelTime) {
        let Some(deadline) = self.owners[position].owner.next_deadline() else { return };
        let at = self.model_time(deadline).max(now + TICK_MIN);
        let owner = &mut self.owners[position];
        if owner.next_tick.is_none_or(|next| at < next) {
            owner.next_tick = Some(at);
            self.schedule(at, ModelEvent::OwnerTick(position));
        }
    }
}
