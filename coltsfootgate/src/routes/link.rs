//! Asks owners for grants, whether they are this instance or another one.

use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{GrantRequest, HeldGrant, ReleaseReport};
use coltsfootgate_core::prelude::{GrantId, InstanceId, PoolId};
use coltsfootgate_wire::{PeerReply, PeerRequest};
use monoio::time::sleep;

use crate::owner::{GrantAnswer, OwnerHandle, OwnerMessage, OwnerScope};
use crate::peer::PeerHandle;

/// Where a grant is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AskPlace {
    /// The owner of endpoints of the pool.
    Owner(InstanceId),
    /// This instance's own share of the pool.
    Share,
    /// Nowhere; the request is sent without asking.
    Nobody,
}

/// Longest wait for the answer of another instance that was asked not to queue.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time beyond a request's deadline for the answer of an owner at which it waits.
const QUEUE_MARGIN: Duration = Duration::from_millis(500);

/// Longest wait for another instance to take a statement in.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a statement is made at most.
const STATEMENT_ATTEMPTS: u32 = 5;
/// Time after the first loss of a statement; it doubles with each one.
const STATEMENT_BACKOFF: Duration = Duration::from_millis(200);

/// Reaches the owners of endpoints.
#[derive(Clone)]
pub struct OwnerLink {
    own: InstanceId,
    local: OwnerHandle,
    peers: PeerHandle,
}

/// An ask that is cancelled when dropped before its answer.
pub struct PendingAsk<'a> {
    link: &'a OwnerLink,
    place: AskPlace,
    pool: PoolId,
    grant: GrantId,
    answered: bool,
}

impl OwnerLink {
    /// Makes the link of an instance.
    pub fn new(own: InstanceId, local: OwnerHandle, peers: PeerHandle) -> Self {
        Self { own, local, peers }
    }

    /// Asks for a grant; `None` if no answer came.
    pub async fn ask(
        &self,
        place: &AskPlace,
        pool: &PoolId,
        request: GrantRequest,
    ) -> Option<GrantAnswer> {
        let mut pending = PendingAsk {
            link: self,
            place: place.clone(),
            pool: pool.clone(),
            grant: request.grant,
            answered: false,
        };
        let answer = match self.local_scope(place) {
            Some(scope) => self.local.ask(pool.clone(), scope, request).await,
            None => self.ask_remote(place, pool, request).await,
        };
        pending.answered = answer.is_some();
        answer
    }

    async fn ask_remote(
        &self,
        place: &AskPlace,
        pool: &PoolId,
        request: GrantRequest,
    ) -> Option<GrantAnswer> {
        let AskPlace::Owner(owner) = place else { return None };
        let deadline = Instant::now() + answer_time(&request);
        let request = PeerRequest::RequestGrant { pool: pool.clone(), request };
        match self.peers.call(owner, request, deadline).await {
            Ok(PeerReply::Granted { endpoint, by_floor, pressure }) => {
                Some(GrantAnswer::Granted { endpoint, by_floor, pressure })
            }
            Ok(PeerReply::Busy(pressure)) => Some(GrantAnswer::Busy(pressure)),
            Ok(PeerReply::Refused { kind, pressure }) => {
                Some(GrantAnswer::Refused { kind, pressure })
            }
            Ok(_) | Err(_) => None,
        }
    }

    /// Tells whoever counts a grant that the first token came; made once, since it only informs.
    pub fn first_token(&self, place: &AskPlace, pool: &PoolId, grant: GrantId) {
        let (pool, asker) = (pool.clone(), self.own.clone());
        if let Some(scope) = self.local_scope(place) {
            self.local.tell(OwnerMessage::FirstToken { pool, scope, asker, grant });
        } else if let AskPlace::Owner(owner) = place {
            self.state_to(owner, PeerRequest::FirstToken { pool, requester: asker, grant });
        }
    }

    /// Gives a grant back to whoever counts it now.
    pub fn release(&self, place: &AskPlace, pool: &PoolId, report: ReleaseReport) {
        if let Some(scope) = self.local_scope(place) {
            self.local.tell(OwnerMessage::Release { pool: pool.clone(), scope, report });
        } else if let AskPlace::Owner(owner) = place {
            self.state_to(owner, PeerRequest::Release(vec![(pool.clone(), report)]));
        }
    }

    /// Tells an owner of all grants that are held for its endpoints.
    pub fn announce(&self, owner: &InstanceId, pool: PoolId, held: Vec<HeldGrant>) {
        let asker = self.own.clone();
        if *owner == self.own {
            self.local.tell(OwnerMessage::Announce { pool, asker, held });
        } else {
            self.state_to(owner, PeerRequest::Announce { pool, requester: asker, held });
        }
    }

    fn cancel(&self, place: &AskPlace, pool: &PoolId, grant: GrantId) {
        let (pool, asker) = (pool.clone(), self.own.clone());
        if let Some(scope) = self.local_scope(place) {
            self.local.tell(OwnerMessage::Cancel { pool, scope, asker, grant });
        } else if let AskPlace::Owner(owner) = place {
            self.state_to(owner, PeerRequest::Cancel { pool, requester: asker, grant });
        }
    }

    /// Makes a statement and repeats it while it is lost; the owner takes it in once.
    ///
    /// Without a release or a cancel the owner would count the slot as taken for as long as both
    /// instances live. An announcement is made once, since it is out of date soon.
    fn state_to(&self, owner: &InstanceId, statement: PeerRequest) {
        let attempts = match statement {
            PeerRequest::Announce { .. } | PeerRequest::FirstToken { .. } => 1,
            _ => STATEMENT_ATTEMPTS,
        };
        let (peers, owner) = (self.peers.clone(), owner.clone());
        monoio::spawn(async move {
            for attempt in 0..attempts {
                let deadline = Instant::now() + STATEMENT_TIMEOUT;
                match peers.call(&owner, statement.clone(), deadline).await {
                    Ok(_) => return,
                    Err(error) => {
                        log::debug!("a statement to {owner} was lost: {}", error.name());
                    }
                }
                sleep(STATEMENT_BACKOFF * 2_u32.pow(attempt)).await;
            }
        });
    }

    fn local_scope(&self, place: &AskPlace) -> Option<OwnerScope> {
        match place {
            AskPlace::Owner(owner) if *owner == self.own => Some(OwnerScope::Owned),
            AskPlace::Share => Some(OwnerScope::Share),
            AskPlace::Owner(_) | AskPlace::Nobody => None,
        }
    }
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.link.cancel(&self.place, &self.pool, self.grant);
        }
    }
}

/// How long the answer to an ask may take.
fn answer_time(request: &GrantRequest) -> Duration {
    match request.wait {
        true => request.deadline.saturating_duration_since(Instant::now()) + QUEUE_MARGIN,
        false => ANSWER_TIMEOUT,
    }
}
