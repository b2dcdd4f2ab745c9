//! Asks the owners of a pool for grants, so that tiers hold across all of them.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::view::OwnerView;
use super::{OwnerPlace, RequestRoute, RoutePolicy, RouteReply, RouteStep};
use crate::ids::{EndpointId, InstanceId, PoolId, ZoneName};
use crate::owner::{OwnerPressure, PrefixAffinity};
use crate::reason::ErrorKind;
use crate::rendezvous::stable_hash;

/// Owners that are asked without waiting before a request waits at one.
const PROBES_MAX: usize = 2;
/// Wait that an ask in another zone is worth.
const ZONE_COST: Duration = Duration::from_millis(3);
/// Wait that a warm cache is worth.
const AFFINITY_WORTH: Duration = Duration::from_millis(20);
/// Wait that asking a fully taken owner instead of an idle one is worth.
const LOAD_COST: Duration = Duration::from_millis(10);
/// Wait that an owner which did not answer lately is worth.
const SILENCE_COST: Duration = Duration::from_secs(10);
/// Largest random addition to the cost of an owner.
const JITTER: Duration = Duration::from_millis(2);
/// Owners at which a request waits at once.
const QUEUES_MAX: usize = 3;
/// Expected wait above which a further queue gains nothing.
const FURTHER_WAIT_MAX: Duration = Duration::from_millis(500);
/// Time between two attempts to find a better owner for a waiting request.
const RECONSIDER_PERIOD: Duration = Duration::from_millis(50);

/// The owners of one pool.
#[derive(Clone, Debug, Default)]
struct PoolView {
    owners: BTreeMap<InstanceId, OwnerView>,
    affinity: PrefixAffinity<InstanceId>,
    has_endpoints: bool,
}

/// Chooses owners by free slots, expected wait, zone and prefix.
#[derive(Clone, Debug)]
pub struct CooperativeRoutes {
    zone: ZoneName,
    pools: HashMap<PoolId, PoolView>,
}

impl CooperativeRoutes {
    /// Makes the routes of an entry instance in a zone.
    pub fn new(zone: ZoneName) -> Self {
        Self { zone, pools: HashMap::new() }
    }

    /// The open owner of least cost among those that pass.
    fn best_owner(
        &self,
        route: &RequestRoute,
        now: Instant,
        passes: impl Fn(&InstanceId, &OwnerView) -> bool,
    ) -> Option<InstanceId> {
        let pool = self.pools.get(&route.request.pool)?;
        let hint = pool.affinity.hint(route.request.prefix);
        let open = pool
            .owners
            .iter()
            .filter(|(owner, view)| !route.is_closed(owner) && passes(owner, view));
        let cost = |owner: &InstanceId, view: &OwnerView| {
            let affinity = if hint == Some(owner) { AFFINITY_WORTH } else { Duration::ZERO };
            self.cost(route, view, now) + jitter(route.request.random, owner)
                - affinity.as_secs_f64()
        };
        let costs = open.map(|(owner, view)| (cost(owner, view), owner));
        costs.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, owner)| owner.clone())
    }

    /// What asking an owner is expected to cost, in seconds of waiting.
    fn cost(&self, route: &RequestRoute, view: &OwnerView, now: Instant) -> f64 {
        let mut cost = view.expected_wait(route.request.tier, now);
        if view.place.zone != self.zone {
            cost += ZONE_COST;
        }
        if view.is_silent(now) {
            cost += SILENCE_COST;
        }
        cost.as_secs_f64() + LOAD_COST.as_secs_f64() * view.load(now)
    }

    /// Waits at the best of the owners that did not refuse.
    fn wait_step(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        let Some(owner) = self.best_owner(route, now, |_, _| true) else {
            return self.last_step(route);
        };
        self.wait_at(route, owner)
    }

    fn wait_at(&mut self, route: &mut RequestRoute, owner: InstanceId) -> RouteStep {
        if let Some(view) = self.view(&route.request.pool, &owner) {
            view.add_waiting(route.request.tier);
        }
        route.waits_at.push(owner.clone());
        RouteStep::Ask { owner, wait: true }
    }

    /// Another owner after a refusal for capacity, or the refusal itself.
    fn after_refusal(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        let tier = route.request.tier;
        let owner = self.best_owner(route, now, |_, view| view.may_yield(tier, now));
        match owner {
            Some(owner) => self.wait_at(route, owner),
            None => self.last_step(route),
        }
    }

    /// What is left when no owner is.
    ///
    /// Owners that know of no endpoint may hold another list of members than this entry, which
    /// then uses its own share.
    fn last_step(&self, route: &RequestRoute) -> RouteStep {
        let has_endpoints =
            self.pools.get(&route.request.pool).is_some_and(|pool| pool.has_endpoints);
        match route.refusal {
            None | Some(ErrorKind::NoEndpoint) if has_endpoints => RouteStep::AskShare,
            Some(kind) => RouteStep::Refuse(kind),
            None => RouteStep::Refuse(ErrorKind::NoEndpoint),
        }
    }

    fn view(&mut self, pool: &PoolId, owner: &InstanceId) -> Option<&mut OwnerView> {
        self.pools.get_mut(pool)?.owners.get_mut(owner)
    }
}

impl RoutePolicy for CooperativeRoutes {
    fn set_pool(&mut self, pool: &PoolId, owners: Vec<OwnerPlace>, endpoints: Vec<EndpointId>) {
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.has_endpoints = !endpoints.is_empty();
        let mut known = std::mem::take(&mut pool.owners);
        for place in owners {
            let view = known.remove(&place.owner);
            let view = view.unwrap_or_else(|| OwnerView::new(place.clone()));
            pool.owners.insert(place.owner, view);
        }
    }

    fn learn(
        &mut self,
        pool: &PoolId,
        owner: &InstanceId,
        pressure: OwnerPressure,
        age: Duration,
        now: Instant,
    ) {
        let seen = now.checked_sub(age).unwrap_or(now);
        if let Some(view) = self.view(pool, owner) {
            view.learn(pressure, seen);
        }
    }

    fn first_step(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        match self.best_owner(route, now, |_, view| view.may_be_free(now)) {
            Some(owner) => {
                if let Some(view) = self.view(&route.request.pool, &owner) {
                    view.take_slot();
                }
                RouteStep::Ask { owner, wait: false }
            }
            None => self.wait_step(route, now),
        }
    }

    fn next_step(
        &mut self,
        route: &mut RequestRoute,
        owner: &InstanceId,
        reply: RouteReply,
        now: Instant,
    ) -> RouteStep {
        route.waits_at.retain(|waits_at| waits_at != owner);
        self.note_reply(route, owner, &reply, now);
        if let RouteReply::Refused(kind, _) = reply
            && !is_for_others(kind)
        {
            return RouteStep::Refuse(kind);
        }
        if !route.waits_at.is_empty() {
            return RouteStep::Wait;
        }
        match route.refusal {
            Some(kind) if kind != ErrorKind::NoEndpoint => self.after_refusal(route, now),
            _ if matches!(reply, RouteReply::Busy(_)) => self.after_busy(route, now),
            _ => self.wait_step(route, now),
        }
    }

    fn reconsider(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        let is_due = route
            .reconsidered
            .is_none_or(|last| now.saturating_duration_since(last) >= RECONSIDER_PERIOD);
        if route.waits_at.is_empty() || !is_due {
            return RouteStep::Wait;
        }
        route.reconsidered = Some(now);
        let waits_at = route.waits_at.clone();
        let is_free = |owner: &InstanceId, view: &OwnerView| {
            !waits_at.contains(owner)
                && view.pressure(now).is_some_and(|pressure| pressure.free_slots > 0)
        };
        if let Some(owner) = self.best_owner(route, now, is_free) {
            if let Some(view) = self.view(&route.request.pool, &owner) {
                view.take_slot();
            }
            return RouteStep::Ask { owner, wait: false };
        }
        let tier = route.request.tier;
        let is_other = |owner: &InstanceId, view: &OwnerView| {
            !waits_at.contains(owner)
                && !view.is_silent(now)
                && view.expected_wait(tier, now) <= FURTHER_WAIT_MAX
        };
        match self.best_owner(route, now, is_other) {
            Some(owner) if waits_at.len() < QUEUES_MAX => self.wait_at(route, owner),
            _ => RouteStep::Wait,
        }
    }

    fn granted(&mut self, route: &RequestRoute, owner: Option<&InstanceId>, _: &EndpointId) {
        if let Some(owner) = owner
            && let Some(pool) = self.pools.get_mut(&route.request.pool)
        {
            pool.affinity.record(route.request.prefix, owner.clone());
        }
    }

    fn ended(&mut self, _: &PoolId, _: &EndpointId) {}
}

impl CooperativeRoutes {
    /// Takes in what an owner answered.
    fn note_reply(
        &mut self,
        route: &mut RequestRoute,
        owner: &InstanceId,
        reply: &RouteReply,
        now: Instant,
    ) {
        let view = self.view(&route.request.pool, owner);
        match reply {
            RouteReply::Busy(pressure) => {
                view.into_iter().for_each(|view| view.learn(*pressure, now));
                route.busy.push(owner.clone());
            }
            RouteReply::Refused(kind, pressure) => {
                view.into_iter().for_each(|view| view.learn(*pressure, now));
                if *kind == ErrorKind::Displaced {
                    // It waited since the others refused it, so their answers are out of date.
                    route.refused.clear();
                }
                route.refused.push(owner.clone());
                // A lack of capacity says more than a lack of endpoints.
                if *kind != ErrorKind::NoEndpoint || route.refusal.is_none() {
                    route.refusal = Some(*kind);
                }
            }
            RouteReply::Silent => {
                view.into_iter().for_each(|view| view.set_silent(now));
                route.silent.push(owner.clone());
            }
        }
    }

    /// Another owner that may have a free slot, or a place in a queue.
    fn after_busy(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        let busy = route.busy.clone();
        let is_free =
            |owner: &InstanceId, view: &OwnerView| !busy.contains(owner) && view.may_be_free(now);
        match self.best_owner(route, now, is_free) {
            Some(owner) if busy.len() < PROBES_MAX => RouteStep::Ask { owner, wait: false },
            _ => self.wait_step(route, now),
        }
    }
}

/// Whether another owner may serve what one refused for this reason.
fn is_for_others(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::QueueFull
            | ErrorKind::Displaced
            | ErrorKind::DeadlineUnmeetable
            | ErrorKind::NoEndpoint
    )
}

/// A small addition in seconds that differs by request and owner.
fn jitter(random: u64, owner: &InstanceId) -> f64 {
    let mixed = stable_hash(owner.as_bytes()) ^ random;
    let hash = stable_hash(&mixed.to_le_bytes());
    JITTER.as_secs_f64() * f64::from((hash >> 32) as u32) / f64::from(u32::MAX)
}
