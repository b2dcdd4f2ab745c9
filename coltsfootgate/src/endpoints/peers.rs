//! Other instances as a source of replicas while the platform's list does not answer.

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

/// Period at which a peer is asked.
const POLL_PERIOD: Duration = Duration::from_millis(400);
/// Time for a peer to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Asks peers what they know of replicas.
pub struct SnapshotPoller {
    own: InstanceId,
    members: MembersHandle,
    peers: PeerHandle,
}

impl SnapshotPoller {
    /// Makes the source of an instance.
    pub fn new(own: InstanceId, members: MembersHandle, peers: PeerHandle) -> Self {
        Self { own, members, peers }
    }

    /// Asks one peer after the other while the list does not answer, until nobody listens.
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
        let others: Vec<&InstanceId> = view
            .locations
            .iter()
            .map(|location| &location.owner)
            .filter(|id| **id != self.own)
            .collect();
        others.choose(&mut rand::rng()).map(|id| (*id).clone())
    }

    async fn poll(&self, peer: &InstanceId, events: &UnboundedSender<RosterEvent>) {
        let deadline = Instant::now() + CALL_TIMEOUT;
        match self.peers.call(peer, PeerRequest::FetchReplicas, deadline).await {
            Ok(PeerReply::Replicas(snapshot)) => {
                // Fails only while the process is ending.
                let _ = events.unbounded_send(RosterEvent::PeerSnapshot(snapshot));
            }
            Ok(_) => log::warn!("{peer} answered another question than the one about replicas"),
            Err(error) => log::debug!("{peer} did not tell of replicas: {}", error.name()),
        }
    }
}
