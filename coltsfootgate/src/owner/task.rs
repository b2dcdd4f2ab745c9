//! Runs the [`PoolOwner`] of each pool and answers grant requests.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use log::info;
use monoio::time::timeout;

use coltsfootgate_core::owner::{
    GrantAnswer, GrantHolders, GrantRequest, OwnerAction, OwnerEvent, OwnerSettings, PoolOwner,
};
use coltsfootgate_core::prelude::{
    EndpointId, EndpointSettings, ErrorKind, GrantId, InstanceId, PoolId, PoolSettings,
};
use coltsfootgate_core::routing::{OwnerSet, fallback_share};

use super::{
    HolderSurvey, OwnerHandle, OwnerMessage, OwnerReporter, OwnerScope, UnconfirmedGrants,
};
use crate::endpoint::{EndpointAccess, EndpointReach};
use crate::endpoints::ActivePools;

/// Longest wait for a message before a tick, so that floors and probes proceed without events.
const IDLE_WAIT_MAX: Duration = Duration::from_secs(1);
/// Time for which the owner of a pool that is not configured any more serves entries that do not know that yet.
const RETIREMENT_TIME: Duration = Duration::from_secs(2);

/// Shortest gap between two turns of the task that shows that this process was paused. Without a pause a turn begins
/// within `IDLE_WAIT_MAX`, and nobody takes its endpoints over in a shorter one.
const PAUSE_MIN: Duration = Duration::from_secs(2);

type PoolKey = (PoolId, OwnerScope);
/// Senders for the answers to grant requests that are not answered yet.
type PendingAnswers = HashMap<(InstanceId, GrantId), oneshot::Sender<GrantAnswer>>;

/// A pool that is not configured any more.
struct RetiredPool {
    /// When its owners give up its endpoints.
    ends_at: Instant,
    /// Whether they have.
    is_ended: bool,
}

/// Keeps a [`PoolOwner`] for each pool and scope, and assigns endpoints to them.
pub struct OwnerTask {
    own: InstanceId,
    handle: OwnerHandle,
    owners: OwnerSet,
    holders: GrantHolders,
    active_pools: Option<Rc<ActivePools>>,
    pools: HashMap<PoolKey, PoolOwner>,
    /// The pools that are not configured any more and whose owners remain.
    retired: HashMap<PoolId, RetiredPool>,
    addresses: HashMap<EndpointId, Arc<str>>,
    draining: HashSet<Arc<str>>,
    pending: PendingAnswers,
    access: EndpointAccess,
    reporter: OwnerReporter,
    survey: HolderSurvey,
}

impl OwnerTask {
    /// Creates the task; the instance owns no endpoints until it receives settings and owners.
    pub fn new(
        own: InstanceId,
        handle: OwnerHandle,
        access: EndpointAccess,
        reporter: OwnerReporter,
        survey: HolderSurvey,
    ) -> Self {
        Self {
            own,
            handle,
            owners: OwnerSet::default(),
            holders: GrantHolders::default(),
            active_pools: None,
            pools: HashMap::new(),
            retired: HashMap::new(),
            addresses: HashMap::new(),
            draining: HashSet::new(),
            pending: HashMap::new(),
            access,
            reporter,
            survey,
        }
    }

    /// Handles messages until all handles are dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<OwnerMessage>) {
        let mut turn_at = Instant::now();
        loop {
            let wait = self.idle_wait(Instant::now());
            let paused = turn_at.elapsed();
            turn_at = Instant::now();
            if paused >= PAUSE_MIN {
                self.resume(turn_at);
            }
            match timeout(wait, messages.next()).await {
                Ok(Some(message)) => self.handle_message(message, Instant::now()),
                Ok(None) => return,
                Err(_) => self.tick(Instant::now()),
            }
            if !self.retired.is_empty() {
                self.end_retired_pools(Instant::now());
            }
        }
    }

    fn idle_wait(&self, now: Instant) -> Duration {
        let deadline = self.pools.values().filter_map(PoolOwner::next_deadline).min();
        deadline
            .map_or(IDLE_WAIT_MAX, |deadline| deadline.saturating_duration_since(now))
            .min(IDLE_WAIT_MAX)
    }

    /// Asks again which grants are in use, since others may have owned the endpoints in the meantime.
    fn resume(&mut self, now: Instant) {
        for key in self.keys().into_iter().filter(|(_, scope)| *scope == OwnerScope::Owned) {
            self.handle_event(&key, OwnerEvent::Resumed, now);
        }
    }

    fn set_holders(&mut self, holders: GrantHolders, now: Instant) {
        self.holders = holders;
        for key in self.keys().into_iter().filter(|(_, scope)| *scope == OwnerScope::Owned) {
            self.handle_event(&key, OwnerEvent::Holders(self.holders.clone()), now);
        }
    }

    /// Counts a request in this instance's share of a pool that runs under an owner's grant.
    fn record_elsewhere(&mut self, pool: PoolId, endpoint: &EndpointId, is_held: bool) {
        let key = (pool, OwnerScope::FallbackShare);
        let share = self.pools.get_mut(&key);
        let has_waiting = share.is_some_and(|share| share.record_elsewhere(endpoint, is_held));
        if has_waiting {
            self.handle_event(&key, OwnerEvent::Tick, Instant::now());
        }
    }

    fn tick(&mut self, now: Instant) {
        for key in self.keys() {
            self.handle_event(&key, OwnerEvent::Tick, now);
        }
    }

    fn keys(&self) -> Vec<PoolKey> {
        self.pools.keys().cloned().collect()
    }

    fn handle_message(&mut self, message: OwnerMessage, now: Instant) {
        match message {
            OwnerMessage::RequestGrant { pool, scope, request, answer } => {
                self.request_grant(&(pool, scope), *request, answer, now);
            }
            OwnerMessage::Release { pool, scope, report } => {
                self.handle_event(&(pool, scope), OwnerEvent::Release(report), now);
            }
            OwnerMessage::FirstToken { pool, scope, requester, grant } => {
                let event = OwnerEvent::FirstToken { requester, grant };
                self.handle_event(&(pool, scope), event, now);
            }
            OwnerMessage::Cancel { pool, scope, requester, grant } => {
                self.pending.remove(&(requester.clone(), grant));
                self.handle_event(&(pool, scope), OwnerEvent::Cancel { requester, grant }, now);
            }
            OwnerMessage::RequesterLost { requester } => self.void_requester(&requester, now),
            OwnerMessage::Announce { pool, requester, held } => {
                let key = (pool, OwnerScope::Owned);
                self.handle_event(&key, OwnerEvent::Announce { requester, held }, now);
            }
            OwnerMessage::HoldsNothing { requester } => {
                for key in self.keys().into_iter().filter(|(_, scope)| *scope == OwnerScope::Owned)
                {
                    let (requester, held) = (requester.clone(), Vec::new());
                    self.handle_event(&key, OwnerEvent::Announce { requester, held }, now);
                }
            }
            OwnerMessage::Confirm { asked, held } => {
                let UnconfirmedGrants { pool, requester, grants } = asked;
                let event = OwnerEvent::Confirm { requester, asked: grants, held };
                self.handle_event(&(pool, OwnerScope::Owned), event, now);
            }
            OwnerMessage::TakeUnconfirmed(answer) => {
                let _ = answer.send(self.take_unconfirmed(now));
            }
            OwnerMessage::Settings(pools) => {
                self.active_pools = Some(pools);
                self.assign_endpoints(now);
            }
            OwnerMessage::Holders(holders) => self.set_holders(holders, now),
            OwnerMessage::HeldElsewhere { pool, endpoint, is_held } => {
                self.record_elsewhere(pool, &endpoint, is_held);
            }
            OwnerMessage::Owners(owners) => {
                self.owners = owners;
                self.assign_endpoints(now);
            }
            OwnerMessage::Draining(addresses) => {
                if self.draining != addresses {
                    self.draining = addresses;
                    self.assign_endpoints(now);
                }
            }
            OwnerMessage::PeerTokenTimes { pool, token_times } => {
                let key = (pool, OwnerScope::Owned);
                self.handle_event(&key, OwnerEvent::PeerTokenTimes { token_times }, now);
            }
            OwnerMessage::LimitStated { pool, scope, statement } => {
                self.handle_event(&(pool, scope), OwnerEvent::LimitStated(statement), now);
            }
            OwnerMessage::ProbeResult { pool, scope, endpoint, alive } => {
                let event = OwnerEvent::ProbeResult { endpoint, alive };
                self.handle_event(&(pool, scope), event, now);
            }
            OwnerMessage::Snapshot(answer) => {
                let owned = self.pools.iter().filter(|((_, scope), _)| *scope == OwnerScope::Owned);
                let snapshots: Vec<_> = owned.map(|(_, owner)| owner.snapshot(now)).collect();
                self.reporter.report(&snapshots, now);
                let _ = answer.send(snapshots);
            }
        }
    }

    fn take_unconfirmed(&mut self, now: Instant) -> Vec<UnconfirmedGrants> {
        let owned = self.pools.iter_mut().filter(|((_, scope), _)| *scope == OwnerScope::Owned);
        let unconfirmed = owned.flat_map(|((pool, _), owner)| {
            let by_requester = owner.take_unconfirmed(now).into_iter();
            by_requester.map(|(requester, grants)| UnconfirmedGrants {
                pool: pool.clone(),
                requester,
                grants,
            })
        });
        unconfirmed.collect()
    }

    fn request_grant(
        &mut self,
        key: &PoolKey,
        request: GrantRequest,
        answer: oneshot::Sender<GrantAnswer>,
        now: Instant,
    ) {
        if !self.pools.contains_key(key) {
            let pressure = Default::default();
            let _ = answer.send(GrantAnswer::Refused { kind: ErrorKind::NoEndpoint, pressure });
            return;
        }
        self.pending.insert((request.requester.clone(), request.grant), answer);
        self.handle_event(key, OwnerEvent::RequestGrant(request), now);
    }

    fn void_requester(&mut self, requester: &InstanceId, now: Instant) {
        self.pending.retain(|(pending, _), _| pending != requester);
        for key in self.keys() {
            self.handle_event(
                &key,
                OwnerEvent::RequesterLost { requester: requester.clone() },
                now,
            );
        }
    }

    /// Assigns the endpoints that this instance has under the settings in force and the live instances.
    fn assign_endpoints(&mut self, now: Instant) {
        let Some(pools) = self.active_pools.clone() else { return };
        self.retire_pools(&pools, now);
        let between_tokens = pools.active.tree.classes().map(|class| class.between_tokens).min();
        let live: Vec<InstanceId> = self.owners.locations.keys().cloned().collect();
        for pool in pools.pools() {
            let between_tokens = between_tokens.filter(|_| pool.is_engine());
            let owned = self.owned_endpoints(pool, pools.owner_endpoints());
            let settings = OwnerSettings {
                pool: pool.id.clone(),
                between_tokens,
                kv_cache_tokens: pool.memory,
                limit_sharers: 1,
            };
            let size = pool.endpoints.len();
            self.assign_pool(OwnerScope::Owned, settings.clone(), owned, size, now);
            let share = fallback_share(&pool.endpoints, &self.own, &live);
            let share_settings = OwnerSettings {
                kv_cache_tokens: fallback_kv_cache(pool.memory, live.len()),
                limit_sharers: live.len() as u32,
                ..settings
            };
            self.assign_pool(OwnerScope::FallbackShare, share_settings, share, size, now);
        }
    }

    /// Notes which pools are not configured any more. Their owners go on for entries whose settings are older.
    fn retire_pools(&mut self, pools: &ActivePools, now: Instant) {
        self.retired.retain(|pool, _| pools.pool(pool).is_none());
        for (pool, _) in self.keys().into_iter().filter(|(pool, _)| pools.pool(pool).is_none()) {
            let retired = RetiredPool { ends_at: now + RETIREMENT_TIME, is_ended: false };
            self.retired.entry(pool).or_insert(retired);
        }
    }

    /// Takes the endpoints from the owners of retired pools whose time has passed, so that they refuse what still waits
    /// there. Such an owner stays until no slot is in use, as the pool may come back before.
    fn end_retired_pools(&mut self, now: Instant) {
        let is_due =
            |(_, retired): &(&PoolId, &RetiredPool)| !retired.is_ended && retired.ends_at <= now;
        let due: Vec<PoolId> =
            self.retired.iter().filter(is_due).map(|(pool, _)| pool.clone()).collect();
        for pool in due {
            for scope in [OwnerScope::Owned, OwnerScope::FallbackShare] {
                self.handle_event(&(pool.clone(), scope), OwnerEvent::Endpoints(Vec::new()), now);
            }
            self.retired.entry(pool).and_modify(|retired| retired.is_ended = true);
        }
        let retired = &mut self.retired;
        let is_ended = |pool: &PoolId| retired.get(pool).is_some_and(|retired| retired.is_ended);
        self.pools.retain(|(pool, _), owner| !is_ended(pool) || !owner.is_idle());
        retired.retain(|pool, _| self.pools.keys().any(|(kept, _)| kept == pool));
    }

    fn owned_endpoints(&self, pool: &PoolSettings, owner_endpoints: u32) -> Vec<EndpointSettings> {
        let owners = self.owners.endpoint_owners(pool, owner_endpoints);
        let is_owned = |endpoint: &&EndpointSettings| owners.get(&endpoint.id) == Some(&self.own);
        pool.endpoints.iter().filter(is_owned).cloned().collect()
    }

    fn assign_pool(
        &mut self,
        scope: OwnerScope,
        settings: OwnerSettings,
        endpoints: Vec<EndpointSettings>,
        pool_size: usize,
        now: Instant,
    ) {
        let key = (settings.pool.clone(), scope);
        let is_new = !self.pools.contains_key(&key);
        let owner = self.pools.entry(key.clone());
        owner.or_insert_with(|| PoolOwner::new(settings.clone())).set_settings(settings);
        if is_new && scope == OwnerScope::Owned {
            self.handle_event(&key, OwnerEvent::Holders(self.holders.clone()), now);
        }
        // A pool without endpoints has no owner.
        if scope == OwnerScope::Owned && pool_size > 0 {
            let is_alone = endpoints.len() == pool_size;
            self.handle_event(&key, OwnerEvent::Alone(is_alone), now);
        }
        for endpoint in &endpoints {
            self.addresses.insert(endpoint.id.clone(), endpoint.address.clone());
        }
        let is_draining = |endpoint: &&EndpointSettings| self.draining.contains(&endpoint.address);
        let draining: Vec<EndpointId> =
            endpoints.iter().filter(is_draining).map(|endpoint| endpoint.id.clone()).collect();
        self.handle_event(&key, OwnerEvent::Endpoints(endpoints), now);
        for endpoint in draining {
            self.handle_event(&key, OwnerEvent::EndpointDraining { endpoint }, now);
        }
    }

    fn handle_event(&mut self, key: &PoolKey, event: OwnerEvent, now: Instant) {
        let Some(owner) = self.pools.get_mut(key) else { return };
        for action in owner.handle(event, now) {
            self.perform(key, action);
        }
    }

    fn perform(&mut self, key: &PoolKey, action: OwnerAction) {
        match action {
            OwnerAction::Grant { requester, grant, endpoint, by_floor, is_paced, pressure } => {
                let answer = GrantAnswer::Granted { endpoint, by_floor, is_paced, pressure };
                self.deliver_grant(key, requester, grant, answer);
            }
            OwnerAction::Refuse { requester, grant, kind, pressure } => {
                self.answer(requester, grant, GrantAnswer::Refused { kind, pressure });
            }
            OwnerAction::Busy { requester, grant, pressure } => {
                self.answer(requester, grant, GrantAnswer::Busy(pressure));
            }
            OwnerAction::LimitChanged { endpoint, rate: Some(rate) } => {
                info!("endpoint {endpoint} limits all callers to {rate} requests a second");
            }
            OwnerAction::LimitChanged { endpoint, rate: None } => {
                info!("endpoint {endpoint} states no limit any more");
            }
            OwnerAction::AskHolders { silent } => {
                silent.into_iter().for_each(|holder| self.survey.ask(holder));
            }
            OwnerAction::TakenOver { endpoints, heard, silent, waited } => info!(
                "took over {endpoints} endpoints of {} after {waited:?}: {heard} instances said what they hold, \
                 silent: {silent:?}",
                key.0
            ),
            OwnerAction::Probe { endpoint } => self.probe(key, endpoint),
            OwnerAction::StateChanged { endpoint, state } => {
                info!("endpoint {endpoint} changed to state {}", state.name());
            }
        }
    }

    fn answer(&mut self, requester: InstanceId, grant: GrantId, answer: GrantAnswer) {
        if let Some(sender) = self.pending.remove(&(requester, grant)) {
            let _ = sender.send(answer);
        }
    }

    /// Delivers a grant, or cancels it at once if its requester no longer waits for it.
    fn deliver_grant(
        &mut self,
        (pool, scope): &PoolKey,
        requester: InstanceId,
        grant: GrantId,
        answer: GrantAnswer,
    ) {
        let sender = self.pending.remove(&(requester.clone(), grant));
        let is_delivered = sender.is_some_and(|sender| sender.send(answer).is_ok());
        if !is_delivered {
            let (pool, scope) = (pool.clone(), *scope);
            self.handle.send(OwnerMessage::Cancel { pool, scope, requester, grant });
        }
    }

    fn probe(&self, (pool, scope): &PoolKey, endpoint: EndpointId) {
        let Some(address) = self.addresses.get(&endpoint).cloned() else { return };
        let (pool, scope) = (pool.clone(), *scope);
        let (handle, access) = (self.handle.clone(), self.access.clone());
        monoio::spawn(async move {
            let reach = access.find_reach(&pool, &endpoint, &address).await;
            let alive = reach == EndpointReach::Reached;
            handle.send(OwnerMessage::ProbeResult { pool, scope, endpoint, alive });
        });
    }
}

/// The part of an engine's KV cache, in tokens, that each live instance may use in its share.
fn fallback_kv_cache(memory: Option<u64>, live: usize) -> Option<u64> {
    memory.map(|memory| memory / live.max(1) as u64)
}
