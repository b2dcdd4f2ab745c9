//! The task that holds this entry's slices and lends out those of the limits it owns.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use monoio::time::timeout;

use coltsfootgate_core::limit::{
    LimitDecision, LimitOwner, LimitSlice, LocalLimiter, SliceRequest,
};
use coltsfootgate_core::prelude::{CustomerId, CustomerSettings, InstanceId, RequestTier};
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::{LimitHandle, LimitMessage};
use crate::peer::PeerHandle;
use crate::routes::OwnerSet;
use crate::tree::TreeHandle;

/// Longest wait for a slice; then this entry goes on with a cautious share.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Period at which slices are renewed or given back.
const RENEWAL_PERIOD: Duration = Duration::from_millis(250);

/// Owns the state of all limits at this instance.
pub struct LimitTask {
    own: InstanceId,
    handle: LimitHandle,
    tree: TreeHandle,
    peers: PeerHandle,
    owners: OwnerSet,
    owner: LimitOwner,
    customers: HashMap<CustomerId, CustomerShare>,
    renewed: Instant,
}

/// A request that waits for a slice.
struct WaitingRequest {
    tier: RequestTier,
    answer: oneshot::Sender<LimitDecision>,
}

/// What this entry holds of one customer's limits, and the requests that wait for more.
struct CustomerShare {
    settings: Arc<CustomerSettings>,
    share: LocalLimiter,
    waiting: Vec<WaitingRequest>,
}

impl LimitTask {
    /// Makes the task of an instance that owns no limits until told otherwise.
    pub fn new(own: InstanceId, handle: LimitHandle, tree: TreeHandle, peers: PeerHandle) -> Self {
        let now = Instant::now();
        Self {
            own,
            handle,
            tree,
            peers,
            owners: OwnerSet::default(),
            owner: LimitOwner::new(now),
            customers: HashMap::new(),
            renewed: now,
        }
    }

    /// Answers messages until all handles are gone.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<LimitMessage>) {
        loop {
            match timeout(RENEWAL_PERIOD, messages.next()).await {
                Ok(Some(message)) => self.take(message, Instant::now()),
                Ok(None) => return,
                Err(_) => {}
            }
            let now = Instant::now();
            if now.duration_since(self.renewed) >= RENEWAL_PERIOD {
                self.renewed = now;
                self.renew(now);
            }
        }
    }

    fn take(&mut self, message: LimitMessage, now: Instant) {
        match message {
            LimitMessage::Acquire { customer, tier, answer } => {
                self.acquire(customer, WaitingRequest { tier, answer }, now);
            }
            LimitMessage::Finish(customer) => {
                if let Some(customer) = self.customers.get_mut(&customer) {
                    customer.share.finish();
                }
            }
            LimitMessage::Lend { ask, answer } => {
                if let Some(slice) = self.lend(&ask, now) {
                    let _ = answer.send(slice);
                }
            }
            LimitMessage::Lent(customer, slice) => self.take_slice(&customer, slice, now),
            LimitMessage::Owners(owners) => self.owners = owners,
        }
    }

    fn acquire(&mut self, settings: Arc<CustomerSettings>, request: WaitingRequest, now: Instant) {
        let id = settings.id.clone();
        let own = &self.own;
        let customer = self.customers.entry(id.clone()).or_insert_with(|| CustomerShare {
            settings: settings.clone(),
            share: LocalLimiter::new(id.clone(), own.clone()),
            waiting: Vec::new(),
        });
        customer.settings = settings;
        let decision = customer.share.decide(request.tier, now);
        customer.give(decision, request);
        self.ask_if_wanted(&id, now);
    }

    /// Asks for a slice if a request waits for one and no ask is on its way.
    fn ask_if_wanted(&mut self, id: &CustomerId, now: Instant) {
        let Some(customer) = self.customers.get_mut(id) else { return };
        if customer.waiting.is_empty() || customer.share.is_slice_requested() {
            return;
        }
        let ask = customer.share.request_slice(now);
        self.send_ask(ask, now);
    }

    fn send_ask(&mut self, ask: SliceRequest, now: Instant) {
        let customer = ask.customer.clone();
        let handle = self.handle.clone();
        match self.owners.table.owner(&customer).cloned() {
            Some(owner) if owner != self.own => {
                let peers = self.peers.clone();
                monoio::spawn(async move {
                    let slice = ask_peer(&peers, &owner, ask).await;
                    handle.tell(LimitMessage::Lent(customer, slice));
                });
            }
            // By message, so that an answer from here and one from afar are taken in alike.
            _ => handle.tell(LimitMessage::Lent(customer, self.lend(&ask, now))),
        }
    }

    fn lend(&mut self, ask: &SliceRequest, now: Instant) -> Option<LimitSlice> {
        let settings = self.tree.current()?.tree.customer(&ask.customer)?;
        Some(self.owner.grant(ask, &settings, self.live(), now))
    }

    fn take_slice(&mut self, id: &CustomerId, slice: Option<LimitSlice>, now: Instant) {
        let live = self.live();
        let Some(customer) = self.customers.get_mut(id) else { return };
        match slice {
            Some(slice) => customer.share.accept(&slice, now),
            None => customer.share.owner_unreachable(&customer.settings, live, now),
        }
        let mut waiting = std::mem::take(&mut customer.waiting);
        waiting.sort_by_key(|request| request.tier);
        for request in waiting {
            let decision = customer.share.decide_again(request.tier, now);
            customer.give(decision, request);
        }
        self.ask_if_wanted(id, now);
    }

    fn renew(&mut self, now: Instant) {
        self.owner.forget_idle(now);
        self.customers
            .retain(|_, customer| !customer.share.is_idle(now) || !customer.waiting.is_empty());
        let due: Vec<SliceRequest> = self
            .customers
            .values_mut()
            .filter(|customer| customer.share.needs_renewal(now))
            .map(|customer| customer.share.request_slice(now))
            .collect();
        for ask in due {
            self.send_ask(ask, now);
        }
    }

    fn live(&self) -> u32 {
        u32::try_from(self.owners.zones.len()).unwrap_or(u32::MAX).max(1)
    }
}

async fn ask_peer(peers: &PeerHandle, owner: &InstanceId, ask: SliceRequest) -> Option<LimitSlice> {
    let deadline = Instant::now() + ASK_TIMEOUT;
    match peers.call(owner, PeerRequest::LimitAsk(ask), deadline).await {
        Ok(PeerReply::LimitSlice(slice)) => Some(slice),
        Ok(_) | Err(_) => None,
    }
}

impl CustomerShare {
    /// Answers a request, or lets it wait for the slice that is asked for.
    fn give(&mut self, decision: LimitDecision, request: WaitingRequest) {
        match decision {
            LimitDecision::RequestSlice => self.waiting.push(request),
            LimitDecision::Admit => {
                // A request whose caller left meanwhile is not in flight.
                if request.answer.send(decision).is_err() {
                    self.share.finish();
                }
            }
            LimitDecision::Refuse { .. } => {
                let _ = request.answer.send(decision);
            }
        }
    }
}
