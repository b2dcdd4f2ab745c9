//! How the table takes in what instances say of themselves and of each other.

use std::time::Instant;

use super::{
    PeerAction, PeerEntry, PeerHeartbeat, PeerRumor, PeerState, PeerTable, SILENT_CONFIRMATIONS,
    SUSPECT_AFTER,
};
use crate::gossip::spread_count;
use crate::ids::InstanceId;

impl PeerTable {
    pub(super) fn take_heartbeat(
        &mut self,
        heartbeat: PeerHeartbeat,
        now: Instant,
        actions: &mut Vec<PeerAction>,
    ) {
        let PeerHeartbeat { sender, config_version, rumors, config_age: _ } = heartbeat;
        let id = sender.profile.id.clone();
        if id == self.own.profile.id {
            return;
        }
        self.take_statement(sender, now, actions);
        if let Some(peer) = self.peers.get_mut(&id)
            && config_version > peer.config_version
        {
            peer.config_version = config_version;
            actions.push(PeerAction::SawVersion(id, config_version));
        }
        for rumor in rumors {
            self.take_rumor(rumor, now, actions);
        }
    }

    /// Takes in what an instance says of itself, first hand.
    fn take_statement(&mut self, said: PeerRumor, now: Instant, actions: &mut Vec<PeerAction>) {
        let id = said.profile.id.clone();
        let state = if said.state == PeerState::Leaving { said.state } else { PeerState::Alive };
        let Some(peer) = self.peers.get_mut(&id) else {
            self.peers.insert(id.clone(), PeerEntry::new(said.profile, PeerState::Listed, now));
            self.enter_state(&id, state, now, actions);
            return;
        };
        if said.profile.incarnation < peer.profile.incarnation {
            // A life that ended, or one whose clock is behind: the answer tells it, and it rises.
            return;
        }
        peer.heard = now;
        peer.stated = Some(now);
        peer.silent_for.clear();
        let reborn = said.profile.incarnation > peer.profile.incarnation;
        let was_known = peer.profile.incarnation != 0;
        if reborn {
            peer.begin_incarnation(said.profile, said.refutation);
        } else if said.refutation > peer.refutation {
            peer.refutation = said.refutation;
            self.news.push(id.clone(), spread_count(self.peers.len()));
        }
        if reborn && was_known {
            actions
                .extend(self.peers.get(&id).map(|peer| PeerAction::Reborn(peer.profile.clone())));
        }
        self.enter_state(&id, state, now, actions);
    }

    /// Takes in what an instance says of another one.
    fn take_rumor(&mut self, rumor: PeerRumor, now: Instant, actions: &mut Vec<PeerAction>) {
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
        let held = (peer.profile.incarnation, peer.refutation, peer.state);
        let told = (rumor.profile.incarnation, rumor.refutation, rumor.state);
        let is_newer = match (held.0 == told.0, held.2, told.2) {
            (true, _, PeerState::Leaving) => !peer.left,
            (true, PeerState::Leaving, state) => state == PeerState::Dead,
            _ => told > held,
        };
        // What this instance hears itself is better than what others do not hear.
        let accuses = matches!(rumor.state, PeerState::Suspect | PeerState::Dead);
        let recent = now.saturating_duration_since(peer.heard) < SUSPECT_AFTER;
        let is_own_neighbour = self.neighbours.contains(&id);
        let is_denied = accuses && is_own_neighbour && recent && peer.state == PeerState::Alive;
        if !is_newer || (held.0 == told.0 && is_denied) {
            return;
        }
        if told.0 > held.0 && held.0 != 0 {
            actions.push(PeerAction::Reborn(rumor.profile.clone()));
        }
        if told.0 > held.0 {
            peer.begin_incarnation(rumor.profile, rumor.refutation);
        } else {
            peer.refutation = rumor.refutation;
        }
        self.enter_state(&id, rumor.state, now, actions);
    }

    /// Overrules what is said of this instance, where that is wrong.
    fn refute(&mut self, rumor: &PeerRumor) {
        if rumor.profile.incarnation > self.own.profile.incarnation {
            // An earlier life at this address had a clock ahead of this one's.
            self.own.profile.incarnation = rumor.profile.incarnation + 1;
            self.own.refutation = 0;
            return;
        }
        let accused = matches!(rumor.state, PeerState::Suspect | PeerState::Dead);
        let is_current = rumor.profile.incarnation == self.own.profile.incarnation;
        if accused && is_current && rumor.refutation >= self.own.refutation {
            self.own.refutation = rumor.refutation + 1;
        }
    }

    pub(super) fn take_voucher(
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
            peer.heard = now;
            peer.silent_for.clear();
            self.enter_state(about, PeerState::Alive, now, actions);
            return;
        }
        peer.silent_for.insert(by);
        if peer.silent_for.len() >= SILENT_CONFIRMATIONS {
            self.enter_state(about, PeerState::Dead, now, actions);
        }
    }
}
