//! Fetches replica snapshots from other instances while the platform's list is unreachable.

use std::time::{Duration, Instant};

use futures_channel::mpsc::UnboundedSender;
use monoio::time::sleep;
use rand::seq::IndexedRandom;

use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_core::roster::RosterEvent;
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::SharedRoster;
use crate::members::MembersHandle;
use crate::peer::PeerHandle;
use crate::streams::OriginsHandle;

/// Interval between polls; each goes to one peer.
const POLL_PERIOD: Duration = Duration::from_millis(400);
/// Timeout of a poll.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Polls peers for their snapshot of the replica roster.
pub struct SnapshotPoller {
    own: InstanceId,
    members: MembersHandle,
    peers: PeerHandle,
    origins: OriginsHandle,
}

impl SnapshotPoller {
    /// Creates the poller of an instance.
    pub fn new(
        own: InstanceId,
        members: MembersHandle,
        peers: PeerHandle,
        origins: OriginsHandle,
    ) -> Self {
        Self { own, members, peers, origins }
    }

    /// Polls a random peer at each interval while the platform's list is unreachable, until the
    /// receiver of the events is dropped.
    pub(super) async fn run(self, roster: SharedRoster, events: UnboundedSender<RosterEvent>) {
        loop {
            sleep(POLL_PERIOD).await;
            if events.is_closed() {
                return;
            }
            if roster.is_source_lost()
                && let Some(peer) = self.random_peer()
            {
                self.poll(&peer, &events).await;
            }
        }
    }

    fn random_peer(&self) -> Option<InstanceId> {
        let view = self.members.view();
        view.answering(&self.own).choose(&mut rand::rng()).map(|id| (*id).clone())
    }

    async fn poll(&self, peer: &InstanceId, events: &UnboundedSender<RosterEvent>) {
        let deadline = Instant::now() + CALL_TIMEOUT;
        match self.peers.call(peer, PeerRequest::FetchReplicas, deadline).await {
            Ok(PeerReply::Replicas(mut snapshot)) => {
                self.origins.learn(std::mem::take(&mut snapshot.origins));
                // Fails only while the process is ending.
                let _ = events.unbounded_send(RosterEvent::PeerSnapshot(snapshot));
            }
            Ok(_) => log::warn!("unexpected reply from {peer} to a request for its replicas"),
            Err(error) => log::debug!("could not fetch the replicas from {peer}: {}", error.name()),
        }
    }
}
