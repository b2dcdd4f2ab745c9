//! The queues and ledgers of the endpoints that this instance owns.

mod desk;
mod task;

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_channel::{mpsc, oneshot};

use coltsfootgate_core::owner::{
    GrantRequest, HeldGrant, OwnerPressure, OwnerSnapshot, ReleaseReport,
};
use coltsfootgate_core::prelude::{EndpointId, ErrorKind, GrantId, InstanceId, PoolId};

use crate::endpoints::ActivePools;
use crate::routes::OwnerSet;

pub use desk::OwnerDesk;
pub use task::OwnerTask;

/// Which slots of a pool are meant.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OwnerScope {
    /// All slots of the endpoints that this instance owns.
    Owned,
    /// This instance's share of all endpoints, used while owners are out of reach.
    Share,
}

/// What an owner answers to an ask.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantAnswer {
    /// The request may be sent to this endpoint.
    Granted {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether a floor put the request before a waiting one of a higher tier.
        by_floor: bool,
        /// What is waiting there.
        pressure: OwnerPressure,
    },
    /// No slot is free, and the ask did not want to wait.
    Busy(OwnerPressure),
    /// The owner will not serve the request.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// What is waiting there.
        pressure: OwnerPressure,
    },
}

/// What the task of the owned endpoints is told.
#[derive(Debug)]
pub enum OwnerMessage {
    /// An entry asks for a grant; dropping the receiver of the answer does not cancel.
    Ask {
        /// The pool.
        pool: PoolId,
        /// Which of its slots.
        scope: OwnerScope,
        /// The ask.
        request: GrantRequest,
        /// Where the answer goes.
        answer: oneshot::Sender<GrantAnswer>,
    },
    /// An entry gives a grant back.
    Release {
        /// The pool.
        pool: PoolId,
        /// Which of its slots.
        scope: OwnerScope,
        /// What the entry saw.
        report: ReleaseReport,
    },
    /// An entry saw the first token of the answer to a granted request.
    FirstToken {
        /// The pool.
        pool: PoolId,
        /// Which of its slots.
        scope: OwnerScope,
        /// The entry instance.
        asker: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// An entry no longer wants a grant.
    Cancel {
        /// The pool.
        pool: PoolId,
        /// Which of its slots.
        scope: OwnerScope,
        /// The entry instance.
        asker: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// An entry instance is gone.
    AskerLost {
        /// The entry instance.
        asker: InstanceId,
    },
    /// An entry lists the grants it holds.
    Announce {
        /// The pool.
        pool: PoolId,
        /// The entry instance.
        asker: InstanceId,
        /// The grants.
        held: Vec<HeldGrant>,
    },
    /// The pools or their endpoints changed.
    Settings(Rc<ActivePools>),
    /// The set of live instances changed.
    Owners(OwnerSet),
    /// The addresses of all endpoints that are leaving.
    Leaving(HashSet<Arc<str>>),
    /// Times between tokens at the other owners of a pool.
    PoolSpeed {
        /// The pool.
        pool: PoolId,
        /// One time for each of the other owners that has measured any.
        token_times: Vec<Duration>,
    },
    /// A probe of an endpoint ended.
    ProbeResult {
        /// The pool.
        pool: PoolId,
        /// Which of its slots.
        scope: OwnerScope,
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it accepted a connection.
        alive: bool,
    },
    /// Asks for a view of all pools.
    Snapshot(oneshot::Sender<Vec<OwnerSnapshot>>),
}

/// Talks to the task of the owned endpoints.
#[derive(Clone, Debug)]
pub struct OwnerHandle {
    sender: mpsc::UnboundedSender<OwnerMessage>,
}

impl OwnerHandle {
    /// Makes a handle and the receiver for its task.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<OwnerMessage>) {
        let (sender, receiver) = mpsc::unbounded();
        (Self { sender }, receiver)
    }

    /// Tells the task something; lost only when the process is ending.
    pub fn tell(&self, message: OwnerMessage) {
        let _ = self.sender.unbounded_send(message);
    }

    /// Asks for a grant and waits for the answer.
    pub async fn ask(
        &self,
        pool: PoolId,
        scope: OwnerScope,
        request: GrantRequest,
    ) -> Option<GrantAnswer> {
        let (answer, receiver) = oneshot::channel();
        self.tell(OwnerMessage::Ask { pool, scope, request, answer });
        receiver.await.ok()
    }

    /// A view of all pools.
    pub async fn snapshot(&self) -> Vec<OwnerSnapshot> {
        let (answer, receiver) = oneshot::channel();
        self.tell(OwnerMessage::Snapshot(answer));
        receiver.await.unwrap_or_default()
    }
}
