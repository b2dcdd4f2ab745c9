//! Limits of customers, enforced across the deployment by granting slices to entry instances.

mod task;

use std::sync::Arc;

use futures_channel::{mpsc, oneshot};

use coltsfootgate_core::limit::{LimitDecision, LimitSlice, SliceRequest};
use coltsfootgate_core::prelude::{CustomerId, CustomerSettings, RequestTier};
use coltsfootgate_core::routing::OwnerSet;

pub use task::LimitTask;

/// A message to the limit task.
#[derive(Debug)]
pub enum LimitMessage {
    /// Acquire a permit to start a request of a customer.
    Acquire {
        /// The customer.
        customer: Arc<CustomerSettings>,
        /// The tier of the request.
        tier: RequestTier,
        /// Receives the decision, which is never [`LimitDecision::RequestSlice`].
        reply: oneshot::Sender<LimitDecision>,
    },
    /// An admitted request has ended.
    Finish(CustomerId),
    /// A peer requests a slice of limits that this instance owns.
    RequestSlice {
        /// The request for the slice.
        request: SliceRequest,
        /// Receives the slice; dropped if this instance does not know the customer.
        reply: oneshot::Sender<LimitSlice>,
    },
    /// Result of a slice request of this instance; `None` if no slice was received.
    SliceReceived(CustomerId, Option<LimitSlice>),
    /// The set of live instances, which own the limits, changed.
    Owners(OwnerSet),
}

/// Sends messages to the limit task.
#[derive(Clone, Debug)]
pub struct LimitHandle {
    sender: mpsc::UnboundedSender<LimitMessage>,
}

/// Permits one request to be in flight; released on drop.
#[derive(Debug)]
pub struct LimitPermit {
    customer: CustomerId,
    handle: LimitHandle,
}

impl LimitHandle {
    /// Creates a handle and the receiver of its messages.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<LimitMessage>) {
        let (sender, receiver) = mpsc::unbounded();
        (Self { sender }, receiver)
    }

    /// Sends a message to the task; it is lost only while the process exits.
    pub fn send(&self, message: LimitMessage) {
        let _ = self.sender.unbounded_send(message);
    }

    /// Waits for a permit to start a request.
    ///
    /// # Errors
    ///
    /// Returns the decision if it is not to admit the request.
    pub async fn acquire(
        &self,
        customer: Arc<CustomerSettings>,
        tier: RequestTier,
    ) -> Result<LimitPermit, LimitDecision> {
        let (reply, receiver) = oneshot::channel();
        let id = customer.id.clone();
        self.send(LimitMessage::Acquire { customer, tier, reply });
        match receiver.await {
            Ok(LimitDecision::Admit) => Ok(LimitPermit { customer: id, handle: self.clone() }),
            Ok(decision) => Err(decision),
            Err(_) => Err(LimitDecision::RequestSlice),
        }
    }

    /// Requests a slice for a peer; returns `None` if this instance does not know the customer.
    pub async fn grant_slice(&self, request: SliceRequest) -> Option<LimitSlice> {
        let (reply, receiver) = oneshot::channel();
        self.send(LimitMessage::RequestSlice { request, reply });
        receiver.await.ok()
    }
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        self.handle.send(LimitMessage::Finish(self.customer.clone()));
    }
}
