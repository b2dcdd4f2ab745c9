//! Asks entry instances which grants they hold, for an owner that took endpoints over, and answers such questions.

use std::time::{Duration, Instant};

use coltsfootgate_core::prelude::{GrantId, InstanceId};
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::{OwnerHandle, OwnerMessage};
use crate::peer::PeerHandle;
use crate::routes::{OwnerClient, RouteTable};

/// Time limit for an instance to acknowledge the question.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// An id that no grant has.
const NO_GRANT: GrantId = 0;

/// Both sides of the question which grants an instance holds.
///
/// It is a check of no grants at all: an instance that knows the question announces what it holds to the one that asks.
/// One that holds none, for no owner, answers with [`NO_GRANT`], since it may not know yet for which pools it is asked.
/// An earlier build answers with an empty list and nothing else.
#[derive(Clone)]
pub struct HolderSurvey {
    own: InstanceId,
    owner: OwnerHandle,
    peers: PeerHandle,
    routes: RouteTable,
    client: OwnerClient,
}

impl HolderSurvey {
    /// Creates the survey of the instance `own`.
    pub fn new(
        own: InstanceId,
        owner: OwnerHandle,
        peers: PeerHandle,
        routes: RouteTable,
        client: OwnerClient,
    ) -> Self {
        Self { own, owner, peers, routes, client }
    }

    /// Asks an instance, this one included, to announce to this one which grants it holds.
    pub fn ask(&self, holder: InstanceId) {
        if holder == self.own {
            if self.answer(&holder) == [NO_GRANT] {
                self.owner.send(OwnerMessage::HoldsNothing { requester: holder });
            }
            return;
        }
        let (owner, peers) = (self.owner.clone(), self.peers.clone());
        monoio::spawn(async move {
            let question = PeerRequest::CheckGrants(Vec::new());
            match peers.call(&holder, question, Instant::now() + ASK_TIMEOUT).await {
                Ok(PeerReply::HeldGrants(held)) if held == [NO_GRANT] => {
                    owner.send(OwnerMessage::HoldsNothing { requester: holder });
                }
                Ok(_) => {}
                Err(error) => {
                    log::debug!("could not ask {holder} which grants it holds: {}", error.name());
                }
            }
        });
    }

    /// Announces to an owner all grants that this instance holds for its endpoints, also if there are none, and the
    /// limits of these endpoints. Returns the answer to the question.
    ///
    /// An instance that does not see it as an owner yet announces nothing; it is asked again.
    pub fn answer(&self, owner: &InstanceId) -> Vec<GrantId> {
        for (pool, held) in self.routes.held_for(owner) {
            self.client.announce(owner, pool, held);
        }
        for (pool, limit) in self.routes.known_limits() {
            if self.routes.owner_of(&limit.endpoint).as_ref() == Some(owner) {
                self.routes.state_limit(&self.client, &pool, &limit);
            }
        }
        if self.routes.holds_any() { Vec::new() } else { vec![NO_GRANT] }
    }
}
