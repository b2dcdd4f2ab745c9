//! The task that holds a [`PoolOwner`] for each pool and answers asks.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use log::info;
use monoio::net::TcpStream;
use monoio::time::timeout;

use coltsfootgate_core::owner::{GrantRequest, OwnerAction, OwnerEvent, OwnerSettings, PoolOwner};
use coltsfootgate_core::prelude::{
    EndpointId, EndpointSettings, ErrorKind, GrantId, InstanceId, PoolId, PoolSettings,
};
use coltsfootgate_core::routing::fallback_share;

use super::{GrantAnswer, OwnerHandle, OwnerMessage, OwnerScope};
use crate::endpoints::ActivePools;
use crate::routes::OwnerSet;

/// Longest rest of the task, so that floors and probes go on without events.
const REST_MAX: Duration = Duration::from_secs(1);
/// Longest wait for a probed endpoint to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

type PoolKey = (PoolId, OwnerScope);
type PendingAnswers = HashMap<(InstanceId, GrantId), oneshot::Sender<GrantAnswer>>;

/// Owns the state of all pools at this instance.
pub struct OwnerTask {
    own: InstanceId,
    handle: OwnerHandle,
    owners: OwnerSet,
    pools_of_now: Option<Rc<ActivePools>>,
    pools: HashMap<PoolKey, PoolOwner>,
    addresses: HashMap<EndpointId, Arc<str>>,
    leaving: HashSet<Arc<str>>,
    pending: PendingAnswers,
}

impl OwnerTask {
    /// Makes the task of an instance that owns nothing until told otherwise.
    pub fn new(own: InstanceId, handle: OwnerHandle) -> Self {
        Self {
            own,
            handle,
            owners: OwnerSet::default(),
            pools_of_now: None,
            pools: HashMap::new(),
            addresses: HashMap::new(),
            leaving: HashSet::new(),
            pending: HashMap::new(),
        }
    }

    /// Answers messages until all handles are gone.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<OwnerMessage>) {
        loop {
            let rest = self.rest(Instant::now());
            match timeout(rest, messages.next()).await {
                Ok(Some(message)) => self.take(message, Instant::now()),
                Ok(None) => return,
                Err(_) => self.tick(Instant::now()),
            }
        }
    }

    fn rest(&self, now: Instant) -> Duration {
        let next = self.pools.values().filter_map(PoolOwner::next_deadline).min();
        next.map_or(REST_MAX, |next| next.saturating_duration_since(now)).min(REST_MAX)
    }

    fn tick(&mut self, now: Instant) {
        for key in self.keys() {
            self.handle_event(&key, OwnerEvent::Tick, now);
        }
    }

    fn keys(&self) -> Vec<PoolKey> {
        self.pools.keys().cloned().collect()
    }

    fn take(&mut self, message: OwnerMessage, now: Instant) {
        match message {
            OwnerMessage::Ask { pool, scope, request, answer } => {
                self.ask(&(pool, scope), request, answer, now);
            }
            OwnerMessage::Release { pool, scope, report } => {
                self.handle_event(&(pool, scope), OwnerEvent::Release(report), now);
            }
            OwnerMessage::FirstToken { pool, scope, asker, grant } => {
                let event = OwnerEvent::FirstToken { requester: asker, grant };
                self.handle_event(&(pool, scope), event, now);
            }
            OwnerMessage::Cancel { pool, scope, asker, grant } => {
                self.pending.remove(&(asker.clone(), grant));
                self.handle_event(
                    &(pool, scope),
                    OwnerEvent::Cancel { requester: asker, grant },
                    now,
                );
            }
            OwnerMessage::AskerLost { asker } => self.asker_lost(&asker, now),
            OwnerMessage::Announce { pool, asker, held } => {
                let key = (pool, OwnerScope::Owned);
                self.handle_event(&key, OwnerEvent::Announce { requester: asker, held }, now);
            }
            OwnerMessage::Settings(pools) => {
                self.pools_of_now = Some(pools);
                self.distribute(now);
            }
            OwnerMessage::Owners(owners) => {
                self.owners = owners;
                self.distribute(now);
            }
            OwnerMessage::Leaving(addresses) => {
                if self.leaving != addresses {
                    self.leaving = addresses;
                    self.distribute(now);
                }
            }
            OwnerMessage::PoolSpeed { pool, token_times } => {
                let key = (pool, OwnerScope::Owned);
                self.handle_event(&key, OwnerEvent::PeerTokenTimes { token_times }, now);
            }
            OwnerMessage::ProbeResult { pool, scope, endpoint, alive } => {
                let event = OwnerEvent::ProbeResult { endpoint, alive };
                self.handle_event(&(pool, scope), event, now);
            }
            OwnerMessage::Snapshot(answer) => {
                let owned = self.pools.iter().filter(|((_, scope), _)| *scope == OwnerScope::Owned);
                let _ = answer.send(owned.map(|(_, owner)| owner.snapshot(now)).collect());
            }
        }
    }

    fn ask(
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

    fn asker_lost(&mut self, asker: &InstanceId, now: Instant) {
        self.pending.retain(|(waiting, _), _| waiting != asker);
        for key in self.keys() {
            self.handle_event(&key, OwnerEvent::RequesterLost { requester: asker.clone() }, now);
        }
    }

    /// Gives each pool the endpoints that this instance has under the present tree and members.
    fn distribute(&mut self, now: Instant) {
        let Some(pools) = self.pools_of_now.clone() else { return };
        self.pools.retain(|(pool, _), _| pools.pool(pool).is_some());
        let between_tokens = pools.active.tree.classes().map(|class| class.between_tokens).min();
        let live: Vec<InstanceId> = self.owners.zones.keys().cloned().collect();
        for pool in pools.pools() {
            let between_tokens = between_tokens.filter(|_| pool.is_engine());
            let owned = self.owned_endpoints(pool, pools.owner_endpoints());
            self.distribute_pool(pool, OwnerScope::Owned, owned, between_tokens, now);
            let share = fallback_share(&pool.endpoints, &self.own, &live);
            let part =
                PoolSettings { memory: memory_part(pool.memory, live.len()), ..(**pool).clone() };
            self.distribute_pool(&part, OwnerScope::Share, share, between_tokens, now);
        }
    }

    fn owned_endpoints(&self, pool: &PoolSettings, owner_endpoints: u32) -> Vec<EndpointSettings> {
        let owners = self.owners.endpoint_owners(pool, owner_endpoints);
        let is_owned = |endpoint: &&EndpointSettings| owners.get(&endpoint.id) == Some(&self.own);
        pool.endpoints.iter().filter(is_owned).cloned().collect()
    }

    fn distribute_pool(
        &mut self,
        pool: &PoolSettings,
        scope: OwnerScope,
        endpoints: Vec<EndpointSettings>,
        between_tokens: Option<Duration>,
        now: Instant,
    ) {
        let (id, memory) = (pool.id.clone(), pool.memory);
        let settings = OwnerSettings { pool: id, between_tokens, kv_cache_tokens: memory };
        let key = (pool.id.clone(), scope);
        let owner = self.pools.entry(key.clone());
        owner.or_insert_with(|| PoolOwner::new(settings.clone())).set_settings(settings);
        for endpoint in &endpoints {
            self.addresses.insert(endpoint.id.clone(), endpoint.address.clone());
        }
        let is_leaving = |endpoint: &&EndpointSettings| self.leaving.contains(&endpoint.address);
        let leaving: Vec<EndpointId> =
            endpoints.iter().filter(is_leaving).map(|endpoint| endpoint.id.clone()).collect();
        self.handle_event(&key, OwnerEvent::Endpoints(endpoints), now);
        for endpoint in leaving {
            self.handle_event(&key, OwnerEvent::EndpointDraining { endpoint }, now);
        }
    }

    fn handle_event(&mut self, key: &PoolKey, event: OwnerEvent, now: Instant) {
        let Some(owner) = self.pools.get_mut(key) else { return };
        for action in owner.handle(event, now) {
            self.act(key, action);
        }
    }

    fn act(&mut self, key: &PoolKey, action: OwnerAction) {
        match action {
            OwnerAction::Grant { requester: asker, grant, endpoint, by_floor, pressure } => {
                let answer = GrantAnswer::Granted { endpoint, by_floor, pressure };
                self.grant(key, asker, grant, answer);
            }
            OwnerAction::Refuse { requester: asker, grant, kind, pressure } => {
                self.answer(asker, grant, GrantAnswer::Refused { kind, pressure });
            }
            OwnerAction::Busy { requester: asker, grant, pressure } => {
                self.answer(asker, grant, GrantAnswer::Busy(pressure));
            }
            OwnerAction::Probe { endpoint } => self.probe(key, endpoint),
            OwnerAction::StateChanged { endpoint, state } => {
                info!("endpoint {endpoint} is {} now", state.name());
            }
        }
    }

    fn answer(&mut self, asker: InstanceId, grant: GrantId, answer: GrantAnswer) {
        if let Some(sender) = self.pending.remove(&(asker, grant)) {
            let _ = sender.send(answer);
        }
    }

    /// Hands a grant over, or takes it back at once when nobody waits for it any more.
    fn grant(
        &mut self,
        (pool, scope): &PoolKey,
        asker: InstanceId,
        grant: GrantId,
        answer: GrantAnswer,
    ) {
        let sender = self.pending.remove(&(asker.clone(), grant));
        let is_taken = sender.is_some_and(|sender| sender.send(answer).is_ok());
        if !is_taken {
            let (pool, scope) = (pool.clone(), *scope);
            self.handle.tell(OwnerMessage::Cancel { pool, scope, asker, grant });
        }
    }

    fn probe(&self, (pool, scope): &PoolKey, endpoint: EndpointId) {
        let Some(address) = self.addresses.get(&endpoint).cloned() else { return };
        let (pool, scope) = (pool.clone(), *scope);
        let handle = self.handle.clone();
        monoio::spawn(async move {
            let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(&*address)).await;
            let alive = matches!(connected, Ok(Ok(_)));
            handle.tell(OwnerMessage::ProbeResult { pool, scope, endpoint, alive });
        });
    }
}

/// The part of an engine's memory that one of the live instances may use on its own.
fn memory_part(memory: Option<u64>, live: usize) -> Option<u64> {
    memory.map(|memory| memory / live.max(1) as u64)
}
