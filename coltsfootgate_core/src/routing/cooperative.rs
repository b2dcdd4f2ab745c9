//! The policy that asks a pool's owners for grants, so that tier priority holds across all owners.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::view::OwnerView;
use super::{OwnerLocation, RequestRoute, RoutePolicy, RouteReply, RouteStep};
use crate::ids::{EndpointId, InstanceId, PoolId, ZoneName};
use crate::owner::OwnerPressure;
use crate::reason::ErrorKind;
use crate::rendezvous::stable_hash;

/// Maximum number of owners that are asked for a free slot before the request joins a queue.
const PROBES_MAX: usize = 2;
/// Cost, as waiting time, of an owner in another zone.
const ZONE_COST: Duration = Duration::from_millis(3);
/// Time that an engine saves for each token of a shared part that it has cached.
const CACHED_TOKEN_TIME: Duration = Duration::from_micros(25);
/// Share of that time which owners are credited with, by their order for the part: one that is too busy passes
/// requests on to the next in order, not to any.
const ORDER_SHARES: [f64; 4] = [1.0, 0.7, 0.4, 0.2];
/// Cost, as waiting time, of an owner with all slots in use compared to an idle one.
const LOAD_COST: Duration = Duration::from_millis(10);
/// Largest random addition to the cost of an owner.
const JITTER_MAX: Duration = Duration::from_millis(2);
/// Maximum number of queues in which a request waits at the same time.
const QUEUES_MAX: usize = 3;
/// Longest expected wait at which a waiting request joins a further queue; a longer one is no gain.
const EXTRA_QUEUE_WAIT_MAX: Duration = Duration::from_millis(500);
/// Time without any answer after which a request also asks for the fallback share. An owner that stands still
/// is noticed by each entry on its own, so that the first request of each must not wait until that is certain.
const HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Time within which an entry learns of the new owner after the old one has given up its endpoints.
const OWNER_CHANGE_TIME: Duration = Duration::from_secs(1);
/// Interval at which a request that waits for the fallback share alone asks an owner that answers.
const RETURN_PERIOD: Duration = Duration::from_millis(150);
/// Interval at which a better owner is looked for while a request waits.
const RECONSIDER_PERIOD: Duration = Duration::from_millis(50);

/// The owners of one pool.
#[derive(Clone, Debug, Default)]
struct PoolOwners {
    owners: BTreeMap<InstanceId, OwnerView>,
    has_endpoints: bool,
}

/// Chooses owners by free slots, expected wait, load, zone and prompt prefix.
#[derive(Clone, Debug)]
pub struct CooperativePolicy {
    zone: ZoneName,
    pools: HashMap<PoolId, PoolOwners>,
}

impl CooperativePolicy {
    /// Creates the policy of an entry instance in a zone.
    pub fn new(zone: ZoneName) -> Self {
        Self { zone, pools: HashMap::new() }
    }

    /// The owner of least cost among those that are not ruled out and pass the filter.
    fn best_owner(
        &self,
        route: &RequestRoute,
        now: Instant,
        passes: impl Fn(&InstanceId, &OwnerView) -> bool,
    ) -> Option<InstanceId> {
        let pool = self.pools.get(&route.request.pool)?;
        let order = part_order(pool, route.request.prefix);
        let candidates = pool
            .owners
            .iter()
            .filter(|(owner, view)| !route.is_ruled_out(owner) && passes(owner, view));
        let cost = |owner: &InstanceId, view: &OwnerView| {
            self.cost(route, view, now) + jitter(route.request.random, owner)
                - cached_time(&order, owner, route.request.shared_tokens)
        };
        let costs = candidates.map(|(owner, view)| (cost(owner, view), owner));
        costs.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, owner)| owner.clone())
    }

    /// Cost of asking an owner, in seconds of waiting.
    fn cost(&self, route: &RequestRoute, view: &OwnerView, now: Instant) -> f64 {
        let mut cost = view.expected_wait(route.request.rank, now);
        if view.location.zone != self.zone {
            cost += ZONE_COST;
        }
        cost.as_secs_f64() + LOAD_COST.as_secs_f64() * view.load(now)
    }

    /// Joins the queue of the best owner that answers and is not ruled out, or falls back if there is none.
    fn wait_step(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        let Some(owner) = self.best_owner(route, now, |_, view| !view.is_silent()) else {
            return self.fallback_step(route);
        };
        self.join_queue(route, owner)
    }

    /// Asks an owner for a free slot.
    fn ask_for_slot(
        &mut self,
        route: &mut RequestRoute,
        owner: InstanceId,
        now: Instant,
    ) -> RouteStep {
        if let Some(view) = self.view(&route.request.pool, &owner) {
            view.reserve_slot();
        }
        route.asked_since = Some(now);
        RouteStep::Ask { owner, wait: false }
    }

    /// Asks an owner to queue the request if it has no free slot.
    fn join_queue(&mut self, route: &mut RequestRoute, owner: InstanceId) -> RouteStep {
        if let Some(view) = self.view(&route.request.pool, &owner) {
            view.add_waiting(route.request.rank);
        }
        route.joined_queues.push(owner.clone());
        RouteStep::Ask { owner, wait: true }
    }

    /// Joins the queue of another owner that may accept the request after a refusal for lack of
    /// capacity, or falls back if there is none.
    fn after_refusal(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        let rank = route.request.rank;
        let owner = self.best_owner(route, now, |_, view| view.may_accept(rank, now));
        match owner {
            Some(owner) => self.join_queue(route, owner),
            None => self.fallback_step(route),
        }
    }

    /// The step when no owner remains: the fallback share or a refusal.
    ///
    /// Owners that know no endpoint of the pool may see other live instances than this one, which
    /// then uses its fallback share.
    fn fallback_step(&self, route: &mut RequestRoute) -> RouteStep {
        if route.asked_fallback && route.refusal.is_none() {
            return RouteStep::Wait;
        }
        let has_endpoints =
            self.pools.get(&route.request.pool).is_some_and(|pool| pool.has_endpoints);
        match route.refusal {
            Some(ErrorKind::NoEndpoint) if has_endpoints && route.asked_fallback => RouteStep::Wait,
            None | Some(ErrorKind::NoEndpoint) if has_endpoints => {
                route.asked_fallback = true;
                RouteStep::AskFallbackShare
            }
            Some(kind) => RouteStep::Refuse(kind),
            None => RouteStep::Refuse(ErrorKind::NoEndpoint),
        }
    }

    /// The owner that replaces one which has given up its endpoints, if this entry knows it already.
    fn replacing_owner(&self, route: &RequestRoute, now: Instant) -> Option<InstanceId> {
        route.disowned_at?;
        self.best_owner(route, now, |_, view| !view.is_silent())
    }

    /// An owner that a request which waits for the fallback share alone can ask again: it answers now, or may have
    /// taken the endpoints over since it refused the request.
    ///
    /// The share may be in use for long by requests that an owner granted, while the owner has free slots.
    fn returned_owner(&self, route: &mut RequestRoute, now: Instant) -> Option<InstanceId> {
        let is_alone = route.asked_fallback && route.asked_since.is_none();
        let is_wanted = route.refusal.is_none_or(|kind| kind == ErrorKind::NoEndpoint);
        let asked_at = route.returned_at.unwrap_or(now);
        route.returned_at.get_or_insert(now);
        let is_due = now.saturating_duration_since(asked_at) >= RETURN_PERIOD;
        if !is_alone || !is_wanted || !is_due {
            return None;
        }
        route.returned_at = Some(now);
        let refused = std::mem::take(&mut route.refused);
        let unresponsive = std::mem::take(&mut route.unresponsive);
        let owner = self.best_owner(route, now, |_, view| !view.is_silent());
        if owner.is_none() {
            (route.refused, route.unresponsive) = (refused, unresponsive);
        }
        owner
    }

    /// The step of a request that waits for the answer of an owner which must not queue it.
    fn hedge_step(&self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        let is_slow = route
            .asked_since
            .is_some_and(|since| now.saturating_duration_since(since) >= HEDGE_DELAY);
        if is_slow && !route.asked_fallback { self.fallback_step(route) } else { RouteStep::Wait }
    }

    fn are_all_silent(&self, pool: &PoolId, owners: &[InstanceId]) -> bool {
        let Some(pool) = self.pools.get(pool) else { return false };
        owners.iter().all(|owner| pool.owners.get(owner).is_none_or(OwnerView::is_silent))
    }

    fn view(&mut self, pool: &PoolId, owner: &InstanceId) -> Option<&mut OwnerView> {
        self.pools.get_mut(pool)?.owners.get_mut(owner)
    }
}

impl RoutePolicy for CooperativePolicy {
    fn set_pool(&mut self, pool: &PoolId, owners: Vec<OwnerLocation>, endpoints: Vec<EndpointId>) {
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.has_endpoints = !endpoints.is_empty();
        let mut views = std::mem::take(&mut pool.owners);
        for location in owners {
            let view = views.remove(&location.owner);
            let view = view.unwrap_or_else(|| OwnerView::new(location.clone()));
            pool.owners.insert(location.owner, view);
        }
    }

    fn update_pressure(
        &mut self,
        pool: &PoolId,
        owner: &InstanceId,
        pressure: OwnerPressure,
        age: Duration,
        now: Instant,
    ) {
        let measured_at = now.checked_sub(age).unwrap_or(now);
        if let Some(view) = self.view(pool, owner) {
            view.update_pressure(pressure, measured_at);
        }
    }

    fn expected_wait(&self, route: &RequestRoute, now: Instant) -> Duration {
        let pool = self.pools.get(&route.request.pool);
        let owners = pool.iter().flat_map(|pool| pool.owners.values());
        let waits = owners.map(|view| view.expected_wait(route.request.rank, now));
        waits.min().unwrap_or(Duration::ZERO)
    }

    fn first_step(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        let rank = route.request.rank;
        match self.best_owner(route, now, |_, view| view.may_be_free(rank, now)) {
            Some(owner) => self.ask_for_slot(route, owner, now),
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
        route.joined_queues.retain(|joined| joined != owner);
        route.asked_since = None;
        self.record_reply(route, owner, &reply, now);
        if let RouteReply::Refused(kind, _) = reply
            && !is_retryable_elsewhere(kind)
        {
            return RouteStep::Refuse(kind);
        }
        if !route.joined_queues.is_empty() {
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
            .reconsidered_at
            .is_none_or(|last| now.saturating_duration_since(last) >= RECONSIDER_PERIOD);
        if !is_due {
            return RouteStep::Wait;
        }
        if route.joined_queues.is_empty() {
            let owner =
                self.replacing_owner(route, now).or_else(|| self.returned_owner(route, now));
            return match owner {
                Some(owner) => self.join_queue(route, owner),
                None => self.hedge_step(route, now),
            };
        }
        route.reconsidered_at = Some(now);
        let joined_queues = route.joined_queues.clone();
        if !route.asked_fallback && self.are_all_silent(&route.request.pool, &joined_queues) {
            return self.fallback_step(route);
        }
        let rank = route.request.rank;
        let is_free = |owner: &InstanceId, view: &OwnerView| {
            !joined_queues.contains(owner)
                && view.pressure(now).is_some_and(|pressure| pressure.may_serve(rank))
        };
        if let Some(owner) = self.best_owner(route, now, is_free) {
            return self.ask_for_slot(route, owner, now);
        }
        let is_worth_joining = |owner: &InstanceId, view: &OwnerView| {
            !joined_queues.contains(owner)
                && !view.is_silent()
                && view.expected_wait(rank, now) <= EXTRA_QUEUE_WAIT_MAX
        };
        match self.best_owner(route, now, is_worth_joining) {
            Some(owner) if joined_queues.len() < QUEUES_MAX => self.join_queue(route, owner),
            _ => RouteStep::Wait,
        }
    }

    fn awaits_owner(&self, route: &RequestRoute, now: Instant) -> bool {
        let pool = self.pools.get(&route.request.pool);
        let has_endpoints = pool.is_some_and(|pool| pool.has_endpoints);
        let is_recent = |at| now.saturating_duration_since(at) < OWNER_CHANGE_TIME;
        has_endpoints && route.disowned_at.is_some_and(is_recent)
    }

    fn set_silent(&mut self, owner: &InstanceId, is_silent: bool) {
        let views = self.pools.values_mut().filter_map(|pool| pool.owners.get_mut(owner));
        views.for_each(|view| view.set_silent(is_silent));
    }

    fn granted(&mut self, _: &RequestRoute, _: Option<&InstanceId>, _: &EndpointId) {}

    fn ended(&mut self, _: &PoolId, _: &EndpointId) {}
}

impl CooperativePolicy {
    /// Updates the view of an owner and the state of the request from the owner's answer.
    fn record_reply(
        &mut self,
        route: &mut RequestRoute,
        owner: &InstanceId,
        reply: &RouteReply,
        now: Instant,
    ) {
        let view = self.view(&route.request.pool, owner);
        match reply {
            RouteReply::Busy(pressure) => {
                view.into_iter().for_each(|view| view.update_pressure(*pressure, now));
                route.busy.push(owner.clone());
            }
            RouteReply::Refused(kind, pressure) => {
                view.into_iter().for_each(|view| view.update_pressure(*pressure, now));
                if *kind == ErrorKind::Displaced {
                    // The request waited in this queue since the other owners refused it, so their
                    // refusals are out of date.
                    route.refused.clear();
                }
                route.refused.push(owner.clone());
                if *kind == ErrorKind::NoEndpoint {
                    route.disowned_at.get_or_insert(now);
                }
                // A lack of capacity tells the caller more than a lack of endpoints.
                if *kind != ErrorKind::NoEndpoint || route.refusal.is_none() {
                    route.refusal = Some(*kind);
                }
            }
            RouteReply::Unresponsive => {
                view.into_iter().for_each(|view| view.set_silent(true));
                route.unresponsive.push(owner.clone());
            }
        }
    }

    /// Asks another owner that may have a free slot, or joins a queue.
    fn after_busy(&mut self, route: &mut RequestRoute, now: Instant) -> RouteStep {
        let (busy, rank) = (route.busy.clone(), route.request.rank);
        let is_free = |owner: &InstanceId, view: &OwnerView| {
            !busy.contains(owner) && view.may_be_free(rank, now)
        };
        match self.best_owner(route, now, is_free) {
            Some(owner) if busy.len() < PROBES_MAX => self.ask_for_slot(route, owner, now),
            _ => self.wait_step(route, now),
        }
    }
}

/// The owners of a pool in the order in which they keep a shared part of prompts, which is the same at all
/// entries; empty if the prompt has none.
fn part_order(pool: &PoolOwners, prefix: Option<u64>) -> Vec<&InstanceId> {
    let Some(prefix) = prefix else { return Vec::new() };
    let weight = |owner: &InstanceId| {
        let mixed = stable_hash(owner.as_bytes()) ^ prefix;
        stable_hash(&mixed.to_le_bytes())
    };
    let mut order: Vec<&InstanceId> = pool.owners.keys().collect();
    order.sort_by_cached_key(|owner| Reverse(weight(owner)));
    order.truncate(ORDER_SHARES.len());
    order
}

/// The time, in seconds, that engines of an owner are expected to save because they have shared tokens cached.
fn cached_time(order: &[&InstanceId], owner: &InstanceId, shared_tokens: u32) -> f64 {
    let position = order.iter().position(|one| *one == owner);
    let share = position.and_then(|position| ORDER_SHARES.get(position)).copied().unwrap_or(0.0);
    CACHED_TOKEN_TIME.as_secs_f64() * f64::from(shared_tokens) * share
}

/// Whether another owner may serve a request that one refused for this reason.
fn is_retryable_elsewhere(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::QueueFull
            | ErrorKind::Displaced
            | ErrorKind::DeadlineUnmeetable
            | ErrorKind::NoEndpoint
    )
}

/// Random addition to the cost, in seconds, that differs by request and owner.
fn jitter(random: u64, owner: &InstanceId) -> f64 {
    let mixed = stable_hash(owner.as_bytes()) ^ random;
    let hash = stable_hash(&mixed.to_le_bytes());
    JITTER_MAX.as_secs_f64() * f64::from((hash >> 32) as u32) / f64::from(u32::MAX)
}
