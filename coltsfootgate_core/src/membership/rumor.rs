//! Handling of heartbeats, rumors and reachability reports in the peer table.

use std::time::Instant;

use super::{
    PeerAction, PeerEntry, PeerHeartbeat, PeerRumor, PeerState, PeerTable, SILENT_CONFIRMATIONS,
    SUSPECT_AFTER,
};
use crate::gossip::transmit_count;
use crate::ids::InstanceId;

impl PeerTable {
    /// Updates the sender's entry, then applies the rumors.
    pub(super) fn handle_heartbeat(
        &mut self,
        heartbeat: PeerHeartbeat,
        now: Instant,
        actions: &mut Vec<PeerAction>,
    ) {
        let PeerHeartbeat { sender, settings, rumors } = heartbeat;
        let id = sender.profile.id.clone();
        if id == self.own.profile.id {
            return;
        }
        self.handle_statement(sender, now, actions);
        if let Some(peer) = self.peers.get_mut(&id)
            && settings.version > peer.config_version
        {
            peer.config_version = settings.version;
            actions.push(PeerAction::VersionAdvanced(id, settings.version));
        }
        for rumor in rumors {
            self.handle_rumor(rumor, now, actions);
        }
    }

    /// Updates the sender of a heartbeat from its own profile and state.
    fn handle_statement(
        &mut self,
        statement: PeerRumor,
        now: Instant,
        actions: &mut Vec<PeerAction>,
    ) {
        let id = statement.profile.id.clone();
        let state =
            if statement.state == PeerState::Leaving { statement.state } else { PeerState::Alive };
        let Some(peer) = self.peers.get_mut(&id) else {
            self.peers
                .insert(id.clone(), PeerEntry::new(statement.profile, PeerState::Listed, now));
            self.enter_state(&id, state, now, actions);
            return;
        };
        if statement.profile.incarnation < peer.profile.incarnation {
            // An earlier process, or a new one whose clock is behind. In the latter case the answer
            // carries the higher incarnation, and `refute` moves that instance above it.
            return;
        }
        peer.last_heard = now;
        peer.last_statement = Some(now);
        peer.reported_silent_by.clear();
        let has_restarted = statement.profile.incarnation > peer.profile.incarnation;
        let was_known = peer.profile.incarnation != 0;
        if has_restarted {
            peer.begin_incarnation(statement.profile, statement.refutation);
        } else if statement.refutation > peer.refutation {
            peer.refutation = statement.refutation;
            self.pending_updates.push(id.clone(), transmit_count(self.peers.len()));
        }
        if has_restarted && was_known {
            actions.extend(
                self.peers.get(&id).map(|peer| PeerAction::Restarted(peer.profile.clone())),
            );
        }
        self.enter_state(&id, state, now, actions);
    }

    /// Applies a rumor about another instance if it is newer than what the table holds.
    fn handle_rumor(&mut self, rumor: PeerRumor, now: Instant, actions: &mut Vec<PeerAction>) {
        let id = rumor.profile.id.clone();
        if id == self.own.profile.id {
            self.refute(&rumor);
            return;
        }
        if rumor.state == PeerState::Listed {
            return;
        }
        let Some(peer) = self.peers.get_mut(&id) else {
            if rumor.state == PeerState::Dead {
                return;
            }
            let mut peer = PeerEntry::new(rumor.profile, PeerState::Listed, now);
            peer.refutation = rumor.refutation;
            self.peers.insert(id.clone(), peer);
            self.enter_state(&id, rumor.state, now, actions);
            return;
        };
        let known = (peer.profile.incarnation, peer.refutation, peer.state);
        let asserted = (rumor.profile.incarnation, rumor.refutation, rumor.state);
        let is_newer = match (known.0 == asserted.0, known.2, asserted.2) {
            (true, _, PeerState::Leaving) => !peer.announced_leaving,
            (true, PeerState::Leaving, state) => state == PeerState::Dead,
            _ => asserted > known,
        };
        // Direct contact with a neighbour outweighs a rumor that others don't hear it.
        let asserts_failure = matches!(rumor.state, PeerState::Suspect | PeerState::Dead);
        let is_recent = now.saturating_duration_since(peer.last_heard) < SUSPECT_AFTER;
        let is_neighbour = self.neighbours.contains(&id);
        let is_contradicted =
            asserts_failure && is_neighbour && is_recent && peer.state == PeerState::Alive;
        if !is_newer || (known.0 == asserted.0 && is_contradicted) {
            return;
        }
        if asserted.0 > known.0 && known.0 != 0 {
            actions.push(PeerAction::Restarted(rumor.profile.clone()));
        }
        if asserted.0 > known.0 {
            peer.begin_incarnation(rumor.profile, rumor.refutation);
        } else {
            peer.refutation = rumor.refutation;
        }
        self.enter_state(&id, rumor.state, now, actions);
    }

    /// Raises this instance's incarnation or refutation above those of a wrong rumor about it.
    fn refute(&mut self, rumor: &PeerRumor) {
        if rumor.profile.incarnation > self.own.profile.incarnation {
            // The clock of an earlier process at this address was ahead of this one's.
            self.own.profile.incarnation = rumor.profile.incarnation + 1;
            self.own.refutation = 0;
            return;
        }
        let asserts_failure = matches!(rumor.state, PeerState::Suspect | PeerState::Dead);
        let is_current = rumor.profile.incarnation == self.own.profile.incarnation;
        if asserts_failure && is_current && rumor.refutation >= self.own.refutation {
            self.own.refutation = rumor.refutation + 1;
        }
    }

    /// Clears a suspicion if another instance hears the suspect; otherwise counts the report of
    /// silence and declares the suspect dead at [`SILENT_CONFIRMATIONS`] reports.
    pub(super) fn handle_reachability_report(
        &mut self,
        about: &InstanceId,
        by: InstanceId,
        heard: bool,
        now: Instant,
        actions: &mut Vec<PeerAction>,
    ) {
        let Some(peer) = self.peers.get_mut(about) else { return };
        if peer.state != PeerState::Suspect {
            return;
        }
        if heard {
            peer.last_heard = now;
            peer.reported_silent_by.clear();
            self.enter_state(about, PeerState::Alive, now, actions);
            return;
        }
        peer.reported_silent_by.insert(by);
        if peer.reported_silent_by.len() >= SILENT_CONFIRMATIONS {
            self.enter_state(about, PeerState::Dead, now, actions);
        }
    }
}
