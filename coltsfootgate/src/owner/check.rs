//! Checks that entry instances still hold the grants that the owners of this instance count as in use.

use std::time::{Duration, Instant};

use monoio::time::sleep;

use coltsfootgate_core::prelude::{GrantId, InstanceId};
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::{OwnerHandle, OwnerMessage, UnconfirmedGrants};
use crate::peer::PeerHandle;
use crate::routes::RouteTable;

/// Interval at which grants that are due are checked.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Time limit for an instance's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks entry instances for the grants that they have held for some time.
#[derive(Clone)]
pub struct GrantCheck {
    own: InstanceId,
    owner: OwnerHandle,
    routes: RouteTable,
    peers: PeerHandle,
}

impl GrantCheck {
    /// Creates the check of the owners of the instance `own`; [`Self::run`] starts it.
    pub fn new(own: InstanceId, owner: OwnerHandle, routes: RouteTable, peers: PeerHandle) -> Self {
        Self { own, owner, routes, peers }
    }

    /// Checks until the owner task has ended.
    pub async fn run(self) {
        while let Some(unconfirmed) = self.owner.take_unconfirmed().await {
            for grants in unconfirmed {
                let check = self.clone();
                monoio::spawn(async move { check.check(grants).await });
            }
            sleep(CHECK_PERIOD).await;
        }
    }

    /// Checks the grants of one instance; if it does not answer, they are due again later.
    async fn check(&self, asked: UnconfirmedGrants) {
        if let Some(held) = self.held(&asked.requester, &asked.grants).await {
            self.owner.send(OwnerMessage::Confirm { asked, held });
        }
    }

    async fn held(&self, requester: &InstanceId, grants: &[GrantId]) -> Option<Vec<GrantId>> {
        if *requester == self.own {
            return Some(self.routes.held_of(grants));
        }
        let request = PeerRequest::CheckGrants(grants.to_vec());
        match self.peers.call(requester, request, Instant::now() + ANSWER_TIMEOUT).await {
            Ok(PeerReply::HeldGrants(held)) => Some(held),
            Ok(_) => {
                log::debug!("{requester} answered a check of grants with another reply");
                None
            }
            Err(error) => {
                log::debug!("could not check grants of {requester}: {}", error.name());
                None
            }
        }
    }
}
