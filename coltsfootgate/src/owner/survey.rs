//! Asks entry instances which grants they hold, for an owner that took endpoints over, and answers such questions.

use std::time::{Duration, Instant};

use coltsfootgate_core::prelude::InstanceId;
use coltsfootgate_wire::PeerRequest;

use crate::peer::PeerHandle;
use crate::routes::{OwnerClient, RouteTable};

/// Time limit for an instance to acknowledge the question.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Both sides of the question which grants an instance holds.
///
/// It is a check of no grants at all: an instance that knows the question announces what it holds to the one that asks,
/// an earlier build answers with an empty list and nothing else.
#[derive(Clone)]
pub struct HolderSurvey {
    own: InstanceId,
    peers: PeerHandle,
    routes: RouteTable,
    client: OwnerClient,
}

impl HolderSurvey {
    /// Creates the survey of the instance `own`.
    pub fn new(
        own: InstanceId,
        peers: PeerHandle,
        routes: RouteTable,
        client: OwnerClient,
    ) -> Self {
        Self { own, peers, routes, client }
    }

    /// Asks an instance, this one included, to announce to this one which grants it holds.
    pub fn ask(&self, holder: InstanceId) {
        if holder == self.own {
            return self.answer(&holder);
        }
        let peers = self.peers.clone();
        monoio::spawn(async move {
            let question = PeerRequest::CheckGrants(Vec::new());
            let asked = peers.call(&holder, question, Instant::now() + ASK_TIMEOUT).await;
            if let Err(error) = asked {
                log::debug!("could not ask {holder} which grants it holds: {}", error.name());
            }
        });
    }

    /// Announces to an owner all grants that this instance holds for its endpoints, also if there are none, and the
    /// limits of these endpoints.
    ///
    /// An instance that does not see it as an owner yet announces nothing; it is asked again.
    pub fn answer(&self, owner: &InstanceId) {
        for (pool, held) in self.routes.held_for(owner) {
            self.client.announce(owner, pool, held);
        }
        for (pool, limit) in self.routes.known_limits() {
            if self.routes.owner_of(&limit.endpoint).as_ref() == Some(owner) {
                self.routes.state_limit(&self.client, &pool, &limit);
            }
        }
    }
}
