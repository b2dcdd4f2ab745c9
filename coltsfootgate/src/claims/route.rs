//! Routing of changes: calls the owner of a page, retries, and falls back to a local change.

use std::time::{Duration, Instant};

use futures_channel::oneshot;

use coltsfootgate_core::claim::page::{ClaimChange, ClaimVerdict};
use coltsfootgate_core::prelude::ErrorKind;

use super::ClaimsHandle;
use super::peers::ClaimPeers;

/// Timeout of one call to a peer; the next attempt goes to the owner at that time.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay between two attempts to reach the owner of a page.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Number of calls to peers after which the entry instance makes the change itself.
const PEER_CALLS_MAX: u32 = 2;

/// Makes changes at this instance or at its peers, whichever owns the page.
#[derive(Clone, Debug)]
pub struct ClaimRouter<P> {
    pub(super) claims: ClaimsHandle,
    peers: P,
}

impl<P: ClaimPeers> ClaimRouter<P> {
    /// Creates a router for the pages of this instance and those of its peers.
    pub fn new(claims: ClaimsHandle, peers: P) -> Self {
        Self { claims, peers }
    }

    /// Makes a change in a task of its own and sends the verdict to `reply`.
    pub fn start_change(
        &self,
        change: ClaimChange,
        deadline: Instant,
        reply: oneshot::Sender<ClaimVerdict>,
    ) {
        let router = self.clone();
        monoio::spawn(async move {
            let verdict = router.change(change, deadline).await;
            let _ = reply.send(verdict);
        });
    }

    /// Makes a change before the deadline.
    ///
    /// A call without a reply is repeated, which is safe because the nonce identifies the change.
    /// After [`PEER_CALLS_MAX`] failed calls this instance writes the page itself, which is safe at
    /// any time because writes compare the page's revision.
    pub async fn change(&self, change: ClaimChange, deadline: Instant) -> ClaimVerdict {
        let mut peer_calls = 0;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let Some(owner) = self.claims.owner_of(&change, deadline).await else {
                return ClaimVerdict::Refused(ErrorKind::ClaimUnavailable);
            };
            if time_left.is_zero() || self.claims.is_local(&owner) || peer_calls >= PEER_CALLS_MAX {
                return self.claims.change_locally(change, time_left).await;
            }
            peer_calls += 1;
            let call = self.peers.change(&owner, change.clone(), time_left.min(PEER_CALL_TIMEOUT));
            match call.await {
                Some(ClaimVerdict::Refused(ErrorKind::ClaimUnavailable)) | None => {
                    monoio::time::sleep(PEER_RETRY_DELAY.min(time_left)).await;
                }
                Some(verdict) => return verdict,
            }
        }
    }
}
