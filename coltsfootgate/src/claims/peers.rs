//! Other instances as owners of pages.

use std::time::{Duration, Instant};

use coltsfootgate_core::claim::page::{ClaimChange, ClaimVerdict};
use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_wire::{PeerReply, PeerRequest};

use crate::peer::PeerHandle;

/// Asks other instances to change the pages that they own.
// Futures stay on the thread that made them.
#[allow(async_fn_in_trait)]
pub trait ClaimPeers: Clone + 'static {
    /// Asks for a change that the peer gives up after `wait`; `None` if no answer came.
    async fn change(
        &self,
        owner: &InstanceId,
        change: ClaimChange,
        wait: Duration,
    ) -> Option<ClaimVerdict>;
}

impl ClaimPeers for PeerHandle {
    async fn change(
        &self,
        owner: &InstanceId,
        change: ClaimChange,
        wait: Duration,
    ) -> Option<ClaimVerdict> {
        let deadline = Instant::now() + wait;
        match self.call(owner, PeerRequest::Claim { change, deadline }, deadline).await {
            Ok(PeerReply::Claim(verdict)) => Some(verdict),
            Ok(_) | Err(_) => None,
        }
    }
}
