//! How an entry gets a change made: by the owner of its page, asked again until it answers.

use std::time::{Duration, Instant};

use futures_channel::oneshot;

use coltsfootgate_core::claim::page::{ClaimChange, ClaimVerdict};
use coltsfootgate_core::prelude::ErrorKind;

use super::ClaimsHandle;
use super::peers::ClaimPeers;

/// How long one ask of a peer may take before it is asked again, or another owner is.
const ASK_TIME: Duration = Duration::from_millis(1500);
/// Delay before an owner that did not answer is asked again.
const ASK_DELAY: Duration = Duration::from_millis(25);
/// Asks of peers after which an entry makes the change itself.
const PEER_ASKS_MAX: u32 = 2;

/// Gets changes made by this instance or its peers.
#[derive(Clone, Debug)]
pub struct ClaimRouter<P> {
    pub(super) claims: ClaimsHandle,
    peers: P,
}

impl<P: ClaimPeers> ClaimRouter<P> {
    /// Makes a router over the pages of this instance and those of its peers.
    pub fn new(claims: ClaimsHandle, peers: P) -> Self {
        Self { claims, peers }
    }

    /// Gets a change made in a task of its own.
    pub fn start_change(
        &self,
        change: ClaimChange,
        deadline: Instant,
        answer: oneshot::Sender<ClaimVerdict>,
    ) {
        let router = self.clone();
        monoio::spawn(async move {
            let verdict = router.change(change, deadline).await;
            let _ = answer.send(verdict);
        });
    }

    /// Gets a change made before the deadline.
    ///
    /// A lost reply is asked for again. That is safe since the change carries its nonce, and
    /// after a few vain asks this instance writes the page itself, which the page's revision
    /// allows at any time.
    pub async fn change(&self, change: ClaimChange, deadline: Instant) -> ClaimVerdict {
        let mut peer_asks = 0;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Some(owner) = self.claims.owner_of(&change, deadline).await else {
                return ClaimVerdict::Refused(ErrorKind::ClaimUnavailable);
            };
            if left.is_zero() || self.claims.is_own(&owner) || peer_asks >= PEER_ASKS_MAX {
                return self.claims.change_here(change, left).await;
            }
            peer_asks += 1;
            let ask = self.peers.change(&owner, change.clone(), left.min(ASK_TIME));
            match ask.await {
                Some(ClaimVerdict::Refused(ErrorKind::ClaimUnavailable)) | None => {
                    monoio::time::sleep(ASK_DELAY.min(left)).await;
                }
                Some(verdict) => return verdict,
            }
        }
    }
}
