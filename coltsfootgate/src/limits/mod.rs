//! Limits of customers, held over the whole deployment by slices.

mod task;

use std::sync::Arc;

use futures_channel::{mpsc, oneshot};

use coltsfootgate_core::limit::{LimitDecision, LimitSlice, SliceRequest};
use coltsfootgate_core::prelude::{CustomerId, CustomerSettings, RequestTier};

use crate::routes::OwnerSet;

pub use task::LimitTask;

/// What the task of the limits is told.
#[derive(Debug)]
pub enum LimitMessage {
    /// A request of a customer wants to start.
    Acquire {
        /// The customer.
        customer: Arc<CustomerSettings>,
        /// The tier of the request.
        tier: RequestTier,
        /// Where the decision goes; never [`LimitDecision::RequestSlice`].
        answer: oneshot::Sender<LimitDecision>,
    },
    /// A request that was let through has ended.
    Finish(CustomerId),
    /// An entry asks for a slice of a customer whose limits this instance owns.
    Lend {
        /// The ask.
        ask: SliceRequest,
        /// Where the slice goes; dropped if the customer is not known here.
        answer: oneshot::Sender<LimitSlice>,
    },
    /// What came of asking another instance; `None` if it did not answer.
    Lent(CustomerId, Option<LimitSlice>),
    /// The set of live instances changed.
    Owners(OwnerSet),
}

/// Talks to the task of the limits.
#[derive(Clone, Debug)]
pub struct LimitHandle {
    sender: mpsc::UnboundedSender<LimitMessage>,
}

/// The leave to have one request in flight; given back when dropped.
#[derive(Debug)]
pub struct LimitPermit {
    customer: CustomerId,
    handle: LimitHandle,
}

impl LimitHandle {
    /// Makes a handle and the receiver for its task.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<LimitMessage>) {
        let (sender, receiver) = mpsc::unbounded();
        (Self { sender }, receiver)
    }

    /// Tells the task something; lost only when the process is ending.
    pub fn tell(&self, message: LimitMessage) {
        let _ = self.sender.unbounded_send(message);
    }

    /// Asks for leave to start a request.
    ///
    /// # Errors
    ///
    /// Gives the decision back if it is not to admit the request.
    pub async fn acquire(
        &self,
        customer: Arc<CustomerSettings>,
        tier: RequestTier,
    ) -> Result<LimitPermit, LimitDecision> {
        let (answer, receiver) = oneshot::channel();
        let id = customer.id.clone();
        self.tell(LimitMessage::Acquire { customer, tier, answer });
        match receiver.await {
            Ok(LimitDecision::Admit) => Ok(LimitPermit { customer: id, handle: self.clone() }),
            Ok(decision) => Err(decision),
            Err(_) => Err(LimitDecision::RequestSlice),
        }
    }

    /// Asks for a slice on behalf of another instance.
    pub async fn lend(&self, ask: SliceRequest) -> Option<LimitSlice> {
        let (answer, receiver) = oneshot::channel();
        self.tell(LimitMessage::Lend { ask, answer });
        receiver.await.ok()
    }
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        self.handle.tell(LimitMessage::Finish(self.customer.clone()));
    }
}
