//! The task that holds a [`PoolOwner`] for each pool and answers asks.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use monoio::net::TcpStream;
use monoio::time::timeout;

use coltsfootgate_core::owner::{GrantRequest, OwnerAction, OwnerEvent, OwnerSettings, PoolOwner};
use coltsfootgate_core::prelude::{
    EndpointId, ErrorKind, GrantId, InstanceId, PoolId, PoolSettings, RouteTarget,
};
use coltsfootgate_core::rendezvous::OwnerTable;

use super::{GrantAnswer, OwnerHandle, OwnerMessage};
use crate::tree::ActiveTree;

/// Longest rest of the task, so that floors and probes go on without events.
const REST_MAX: Duration = Duration::from_secs(1);
/// Longest wait for a probed endpoint to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

type PendingAnswers = HashMap<(InstanceId, GrantId), oneshot::Sender<GrantAnswer>>;

/// Owns the state of all pools at this instance.
pub struct OwnerTask {
    own: InstanceId,
    handle: OwnerHandle,
    owners: OwnerTable,
    active: Option<Rc<ActiveTree>>,
    pools: HashMap<PoolId, PoolOwner>,
    addresses: HashMap<EndpointId, Arc<str>>,
    leaving: HashSet<EndpointId>,
    pending: PendingAnswers,
}

impl OwnerTask {
    /// Makes the task of an instance that is alone until told otherwise.
    pub fn new(own: InstanceId, handle: OwnerHandle) -> Self {
        let owners = OwnerTable::new([own.clone()]);
        Self {
            own,
            handle,
            owners,
            active: None,
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
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.handle_event(&pool, OwnerEvent::Tick, now);
        }
    }

    fn take(&mut self, message: OwnerMessage, now: Instant) {
        match message {
            OwnerMessage::Ask { pool, request, answer } => self.ask(&pool, request, answer, now),
            OwnerMessage::Release { pool, report } => {
                self.handle_event(&pool, OwnerEvent::Release(report), now);
            }
            OwnerMessage::Cancel { pool, asker, grant } => {
                self.pending.remove(&(asker.clone(), grant));
                self.handle_event(&pool, OwnerEvent::Cancel { asker, grant }, now);
            }
            OwnerMessage::AskerLost { asker } => self.asker_lost(&asker, now),
            OwnerMessage::Announce { pool, asker, held } => {
                self.handle_event(&pool, OwnerEvent::Announce { asker, held }, now);
            }
            OwnerMessage::Settings(active) => {
                self.active = Some(active);
                self.distribute(now);
            }
            OwnerMessage::Owners(owners) => {
                self.owners = owners;
                self.distribute(now);
            }
            OwnerMessage::EndpointLeaving { endpoint } => {
                self.leaving.insert(endpoint);
                self.distribute(now);
            }
            OwnerMessage::ProbeResult { pool, endpoint, alive } => {
                self.handle_event(&pool, OwnerEvent::ProbeResult { endpoint, alive }, now);
            }
            OwnerMessage::Snapshot(answer) => {
                let snapshots = self.pools.values().map(|owner| owner.snapshot(now)).collect();
                let _ = answer.send(snapshots);
            }
        }
    }

    fn ask(
        &mut self,
        pool: &PoolId,
        request: GrantRequest,
        answer: oneshot::Sender<GrantAnswer>,
        now: Instant,
    ) {
        if !self.pools.contains_key(pool) {
            let pressure = Default::default();
            let _ = answer.send(GrantAnswer::Refused { kind: ErrorKind::NoEndpoint, pressure });
            return;
        }
        self.pending.insert((request.asker.clone(), request.grant), answer);
        self.handle_event(pool, OwnerEvent::Ask(request), now);
    }

    fn asker_lost(&mut self, asker: &InstanceId, now: Instant) {
        self.pending.retain(|(waiting, _), _| waiting != asker);
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.handle_event(&pool, OwnerEvent::AskerLost { asker: asker.clone() }, now);
        }
    }

    /// Gives each pool the endpoints that this instance owns under the present tree and members.
    fn distribute(&mut self, now: Instant) {
        let Some(active) = self.active.clone() else { return };
        let between_tokens = active.tree.classes().map(|class| class.between_tokens).min();
        self.pools.retain(|pool, _| active.tree.pool(pool).is_some());
        for pool in active.tree.pools() {
            let settings = OwnerSettings {
                pool: pool.id.clone(),
                between_tokens: between_tokens.filter(|_| is_model_pool(pool)),
            };
            let owner = self.pools.entry(pool.id.clone());
            let owner = owner.or_insert_with(|| PoolOwner::new(settings.clone()));
            owner.set_settings(settings);
            self.distribute_pool(pool, now);
        }
    }

    fn distribute_pool(&mut self, pool: &PoolSettings, now: Instant) {
        let owned: Vec<_> = pool
            .endpoints
            .iter()
            .filter(|endpoint| self.owners.owner(&endpoint.id) == Some(&self.own))
            .cloned()
            .collect();
        for endpoint in &owned {
            self.addresses.insert(endpoint.id.clone(), endpoint.address.clone());
        }
        let leaving: Vec<EndpointId> = owned
            .iter()
            .map(|endpoint| endpoint.id.clone())
            .filter(|endpoint| self.leaving.contains(endpoint))
            .collect();
        self.handle_event(&pool.id, OwnerEvent::Endpoints(owned), now);
        for endpoint in leaving {
            self.handle_event(&pool.id, OwnerEvent::EndpointLeaving { endpoint }, now);
        }
    }

    fn handle_event(&mut self, pool: &PoolId, event: OwnerEvent, now: Instant) {
        let Some(owner) = self.pools.get_mut(pool) else { return };
        for action in owner.handle(event, now) {
            self.act(pool, action);
        }
    }

    fn act(&mut self, pool: &PoolId, action: OwnerAction) {
        match action {
            OwnerAction::Grant { asker, grant, endpoint, by_floor } => {
                self.grant(pool, asker, grant, endpoint, by_floor);
            }
            OwnerAction::Refuse { asker, grant, kind, pressure } => {
                self.answer(asker, grant, GrantAnswer::Refused { kind, pressure });
            }
            OwnerAction::Busy { asker, grant, pressure } => {
                self.answer(asker, grant, GrantAnswer::Busy(pressure));
            }
            OwnerAction::Probe { endpoint } => self.probe(pool, endpoint),
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
        pool: &PoolId,
        asker: InstanceId,
        grant: GrantId,
        endpoint: EndpointId,
        by_floor: bool,
    ) {
        let sender = self.pending.remove(&(asker.clone(), grant));
        let answer = GrantAnswer::Granted { endpoint, by_floor };
        let is_taken = sender.is_some_and(|sender| sender.send(answer).is_ok());
        if !is_taken {
            let pool = pool.clone();
            self.handle.tell(OwnerMessage::Cancel { pool, asker, grant });
        }
    }

    fn probe(&self, pool: &PoolId, endpoint: EndpointId) {
        let Some(address) = self.addresses.get(&endpoint).cloned() else { return };
        let pool = pool.clone();
        let handle = self.handle.clone();
        monoio::spawn(async move {
            let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(&*address)).await;
            let alive = matches!(connected, Ok(Ok(_)));
            handle.tell(OwnerMessage::ProbeResult { pool, endpoint, alive });
        });
    }
}

fn is_model_pool(pool: &PoolSettings) -> bool {
    matches!(pool.target, RouteTarget::Model(_))
}
