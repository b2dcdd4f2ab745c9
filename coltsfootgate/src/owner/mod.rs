//! Queues requests for the endpoints that this instance owns and grants their slots.

mod check;
mod desk;
mod report;
mod survey;
mod task;

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_channel::{mpsc, oneshot};

use coltsfootgate_core::endpoint_limit::LimitStatement;
use coltsfootgate_core::owner::{
    GrantAnswer, GrantHolders, GrantRequest, HeldGrant, OwnerSnapshot, ReleaseReport,
};
use coltsfootgate_core::prelude::{EndpointId, GrantId, InstanceId, PoolId};
use coltsfootgate_core::routing::OwnerSet;

use crate::endpoints::ActivePools;

pub use check::GrantCheck;
pub use desk::OwnerService;
pub use report::OwnerReporter;
pub use survey::HolderSurvey;
pub use task::OwnerTask;

/// Selects one of the two queues that an instance keeps for each pool.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OwnerScope {
    /// The queue for the endpoints that this instance owns.
    Owned,
    /// The queue for this instance's share of all endpoints, used while owners are unreachable.
    FallbackShare,
}

/// A message to the [`OwnerTask`].
#[derive(Debug)]
pub enum OwnerMessage {
    /// An entry instance requests a grant; dropping the answer's receiver does not cancel it.
    RequestGrant {
        /// The pool.
        pool: PoolId,
        /// Which of its queues.
        scope: OwnerScope,
        /// The grant request.
        request: Box<GrantRequest>,
        /// Receives the answer.
        answer: oneshot::Sender<GrantAnswer>,
    },
    /// An entry instance returns a grant.
    Release {
        /// The pool.
        pool: PoolId,
        /// Which of its queues.
        scope: OwnerScope,
        /// What the entry instance observed of the endpoint.
        report: ReleaseReport,
    },
    /// An entry instance received the first token of a granted request.
    FirstToken {
        /// The pool.
        pool: PoolId,
        /// Which of its queues.
        scope: OwnerScope,
        /// The entry instance that requested the grant.
        requester: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// An entry instance no longer needs a grant, whether it was already issued or not.
    Cancel {
        /// The pool.
        pool: PoolId,
        /// Which of its queues.
        scope: OwnerScope,
        /// The entry instance that requested the grant.
        requester: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// An entry instance failed or restarted, so its requests and grants are void.
    RequesterLost {
        /// The entry instance.
        requester: InstanceId,
    },
    /// An entry instance lists all grants that it holds from this owner.
    Announce {
        /// The pool.
        pool: PoolId,
        /// The entry instance.
        requester: InstanceId,
        /// The grants.
        held: Vec<HeldGrant>,
    },
    /// An entry instance holds no grant of any owner.
    HoldsNothing {
        /// The entry instance.
        requester: InstanceId,
    },
    /// An entry instance was asked which of some grants it holds.
    Confirm {
        /// The grants that it was asked for.
        asked: UnconfirmedGrants,
        /// Those of them that it holds.
        held: Vec<GrantId>,
    },
    /// The instances that may hold grants changed.
    Holders(GrantHolders),
    /// A request of this instance begins or ends to use an endpoint under an owner's grant.
    HeldElsewhere {
        /// The pool.
        pool: PoolId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the request begins.
        is_held: bool,
    },
    /// The pools or their endpoints changed.
    Settings(Rc<ActivePools>),
    /// The set of live instances changed.
    Owners(OwnerSet),
    /// The addresses of all draining endpoints, which the platform lists as leaving.
    Draining(HashSet<Arc<str>>),
    /// Times between tokens that the other owners of a pool measured.
    PeerTokenTimes {
        /// The pool.
        pool: PoolId,
        /// The median time of each other owner that has measurements.
        token_times: Vec<Duration>,
    },
    /// An answer of an endpoint stated whether it limits the requests of all callers.
    LimitStated {
        /// The pool.
        pool: PoolId,
        /// Which of its queues.
        scope: OwnerScope,
        /// What the answer stated.
        statement: LimitStatement,
    },
    /// A probe of an endpoint ended.
    ProbeResult {
        /// The pool.
        pool: PoolId,
        /// Which of its queues.
        scope: OwnerScope,
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the endpoint accepted a connection.
        alive: bool,
    },
    /// Requests a snapshot of the queue for owned endpoints of each pool.
    Snapshot(oneshot::Sender<Vec<OwnerSnapshot>>),
    /// Requests the grants of owned endpoints that their requesters should confirm.
    TakeUnconfirmed(oneshot::Sender<Vec<UnconfirmedGrants>>),
}

/// Grants of one pool that an entry instance should confirm to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnconfirmedGrants {
    /// The pool.
    pub pool: PoolId,
    /// The entry instance.
    pub requester: InstanceId,
    /// The grants.
    pub grants: Vec<GrantId>,
}

/// Sends messages to the [`OwnerTask`].
#[derive(Clone, Debug)]
pub struct OwnerHandle {
    sender: mpsc::UnboundedSender<OwnerMessage>,
}

impl OwnerHandle {
    /// Creates a handle and the receiver for the task.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<OwnerMessage>) {
        let (sender, receiver) = mpsc::unbounded();
        (Self { sender }, receiver)
    }

    /// Sends a message to the task; it is lost only if the process is shutting down.
    pub fn send(&self, message: OwnerMessage) {
        let _ = self.sender.unbounded_send(message);
    }

    /// Requests a grant and waits for the answer; `None` if the request is dropped unanswered.
    pub async fn request_grant(
        &self,
        pool: PoolId,
        scope: OwnerScope,
        request: GrantRequest,
    ) -> Option<GrantAnswer> {
        let (answer, receiver) = oneshot::channel();
        let request = Box::new(request);
        self.send(OwnerMessage::RequestGrant { pool, scope, request, answer });
        receiver.await.ok()
    }

    /// Returns a snapshot of the queue for owned endpoints of each pool; empty if the task ended.
    pub async fn snapshot(&self) -> Vec<OwnerSnapshot> {
        let (answer, receiver) = oneshot::channel();
        self.send(OwnerMessage::Snapshot(answer));
        receiver.await.unwrap_or_default()
    }

    /// Returns the grants of owned endpoints that their requesters should confirm; `None` if the task ended.
    pub async fn take_unconfirmed(&self) -> Option<Vec<UnconfirmedGrants>> {
        let (answer, receiver) = oneshot::channel();
        self.send(OwnerMessage::TakeUnconfirmed(answer));
        receiver.await.ok()
    }
}
