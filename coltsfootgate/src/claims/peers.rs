//! Calls to other instances that own pages.

use std::time::{Duration, Instant};

use coltsfootgate_core::claim::page::{ClaimChange, ClaimVerdict};
use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_wire::{PeerReply, PeerRequest};

use crate::peer::PeerHandle;

/// Sends changes to the instances that own their pages.
// The futures run on the thread that created them and need not be `Send`.
#[allow(async_fn_in_trait)]
pub trait ClaimPeers: Clone + 'static {
    /// Requests a change with a timeout of `wait`; returns `None` without a valid reply.
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
