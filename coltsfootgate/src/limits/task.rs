//! The task that uses the slices of this entry instance and grants slices of the limits it owns.

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
use coltsfootgate_core::routing::OwnerSet;
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::{LimitHandle, LimitMessage};
use crate::peer::PeerHandle;
use crate::tree::TreeHandle;

/// Timeout of a slice request; after that this instance falls back to an even share.
const SLICE_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Period at which slices are checked for renewal and idle customers are removed.
const RENEWAL_PERIOD: Duration = Duration::from_millis(250);

/// Manages all limits at this instance, as an entry instance and as an owner.
pub struct LimitTask {
    own_id: InstanceId,
    handle: LimitHandle,
    tree: TreeHandle,
    peers: PeerHandle,
    owners: OwnerSet,
    owner: LimitOwner,
    customers: HashMap<CustomerId, CustomerLimiter>,
    renewed_at: Instant,
}

/// A request that waits for a slice.
struct WaitingRequest {
    tier: RequestTier,
    reply: oneshot::Sender<LimitDecision>,
}

/// The local limiter of one customer and the requests that wait for a slice.
struct CustomerLimiter {
    settings: Arc<CustomerSettings>,
    limiter: LocalLimiter,
    waiting: Vec<WaitingRequest>,
}

impl LimitTask {
    /// Creates the task; it owns no limits until it receives [`LimitMessage::Owners`].
    pub fn new(
        own_id: InstanceId,
        handle: LimitHandle,
        tree: TreeHandle,
        peers: PeerHandle,
    ) -> Self {
        let now = Instant::now();
        Self {
            own_id,
            handle,
            tree,
            peers,
            owners: OwnerSet::default(),
            owner: LimitOwner::new(now),
            customers: HashMap::new(),
            renewed_at: now,
        }
    }

    /// Processes messages until all handles are dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<LimitMessage>) {
        loop {
            match timeout(RENEWAL_PERIOD, messages.next()).await {
                Ok(Some(message)) => self.handle_message(message, Instant::now()),
                Ok(None) => return,
                Err(_) => {}
            }
            let now = Instant::now();
            if now.duration_since(self.renewed_at) >= RENEWAL_PERIOD {
                self.renewed_at = now;
                self.renew(now);
            }
        }
    }

    fn handle_message(&mut self, message: LimitMessage, now: Instant) {
        match message {
            LimitMessage::Acquire { customer, tier, reply } => {
                self.acquire(customer, WaitingRequest { tier, reply }, now);
            }
            LimitMessage::Finish(customer) => {
                if let Some(customer) = self.customers.get_mut(&customer) {
                    customer.limiter.finish();
                }
            }
            LimitMessage::RequestSlice { request, reply } => {
                if let Some(slice) = self.grant_slice(&request, now) {
                    let _ = reply.send(slice);
                }
            }
            LimitMessage::SliceReceived(customer, slice) => self.apply_slice(&customer, slice, now),
            LimitMessage::Owners(owners) => self.owners = owners,
        }
    }

    fn acquire(&mut self, settings: Arc<CustomerSettings>, request: WaitingRequest, now: Instant) {
        let id = settings.id.clone();
        let own_id = &self.own_id;
        let customer = self.customers.entry(id.clone()).or_insert_with(|| CustomerLimiter {
            settings: settings.clone(),
            limiter: LocalLimiter::new(id.clone(), own_id.clone()),
            waiting: Vec::new(),
        });
        customer.settings = settings;
        let decision = customer.limiter.decide(request.tier, now);
        customer.apply_decision(decision, request);
        self.request_slice_if_needed(&id, now);
    }

    /// Requests a slice if a request waits for one and no slice request is pending.
    fn request_slice_if_needed(&mut self, id: &CustomerId, now: Instant) {
        let Some(customer) = self.customers.get_mut(id) else { return };
        if customer.waiting.is_empty() || customer.limiter.is_slice_requested() {
            return;
        }
        let request = customer.limiter.request_slice(now);
        self.send_slice_request(request, now);
    }

    fn send_slice_request(&mut self, request: SliceRequest, now: Instant) {
        let customer = request.customer.clone();
        let handle = self.handle.clone();
        match self.owners.table.owner(&customer).cloned() {
            Some(owner) if owner != self.own_id => {
                let peers = self.peers.clone();
                monoio::spawn(async move {
                    let slice = request_from_peer(&peers, &owner, request).await;
                    handle.send(LimitMessage::SliceReceived(customer, slice));
                });
            }
            // A local slice is sent as a message too, so both cases are handled alike.
            _ => {
                handle.send(LimitMessage::SliceReceived(customer, self.grant_slice(&request, now)))
            }
        }
    }

    fn grant_slice(&mut self, request: &SliceRequest, now: Instant) -> Option<LimitSlice> {
        let settings = self.tree.current()?.tree.customer(&request.customer)?;
        Some(self.owner.grant(request, &settings, self.live_instance_count(), now))
    }

    fn apply_slice(&mut self, id: &CustomerId, slice: Option<LimitSlice>, now: Instant) {
        let live_instance_count = self.live_instance_count();
        let Some(customer) = self.customers.get_mut(id) else { return };
        match slice {
            Some(slice) => customer.limiter.accept(&slice, now),
            None => {
                customer.limiter.owner_unreachable(&customer.settings, live_instance_count, now)
            }
        }
        let mut waiting = std::mem::take(&mut customer.waiting);
        waiting.sort_by_key(|request| request.tier);
        for request in waiting {
            let decision = customer.limiter.decide_again(request.tier, now);
            customer.apply_decision(decision, request);
        }
        self.request_slice_if_needed(id, now);
    }

    fn renew(&mut self, now: Instant) {
        self.owner.forget_idle(now);
        self.customers
            .retain(|_, customer| !customer.limiter.is_idle(now) || !customer.waiting.is_empty());
        let due: Vec<SliceRequest> = self
            .customers
            .values_mut()
            .filter(|customer| customer.limiter.needs_renewal(now))
            .map(|customer| customer.limiter.request_slice(now))
            .collect();
        for request in due {
            self.send_slice_request(request, now);
        }
    }

    fn live_instance_count(&self) -> u32 {
        u32::try_from(self.owners.locations.len()).unwrap_or(u32::MAX).max(1)
    }
}

/// Requests a slice from the owner of a limit; returns `None` if that fails.
async fn request_from_peer(
    peers: &PeerHandle,
    owner: &InstanceId,
    request: SliceRequest,
) -> Option<LimitSlice> {
    let deadline = Instant::now() + SLICE_REQUEST_TIMEOUT;
    match peers.call(owner, PeerRequest::RequestSlice(request), deadline).await {
        Ok(PeerReply::LimitSlice(slice)) => Some(slice),
        Ok(_) | Err(_) => None,
    }
}

impl CustomerLimiter {
    /// Sends the decision to a request, or queues the request until a slice is received.
    fn apply_decision(&mut self, decision: LimitDecision, request: WaitingRequest) {
        match decision {
            LimitDecision::RequestSlice => self.waiting.push(request),
            LimitDecision::Admit => {
                // The request is not in flight if its caller left in the meantime.
                if request.reply.send(decision).is_err() {
                    self.limiter.finish();
                }
            }
            LimitDecision::Refuse { .. } => {
                let _ = request.reply.send(decision);
            }
        }
    }
}
