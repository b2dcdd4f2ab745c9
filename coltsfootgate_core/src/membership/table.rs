//! The table of peers, which decides who is live.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{
    CONFIRMING_PEERS, DEAD_AFTER, FIRST_HEARTBEAT, FORGET_AFTER, FULL_MESH_PEERS, HEARTBEAT_REST,
    NEIGHBOUR_COUNT, NEWS_PER_HEARTBEAT, PAUSE_GAP, PeerAction, PeerEntry, PeerEvent,
    PeerHeartbeat, PeerProfile, PeerRumor, PeerState, REFRESH_PER_HEARTBEAT, SUSPECT_AFTER,
};
use crate::gossip::{SpreadQueue, spread_count};
use crate::ids::{ConfigVersion, InstanceId, ZoneName};
use crate::rendezvous::{OwnerTable, stable_hash};

/// Decides which instances are live.
#[derive(Debug)]
pub struct PeerTable {
    pub(super) own: PeerRumor,
    config_version: ConfigVersion,
    pub(super) peers: BTreeMap<InstanceId, PeerEntry>,
    pub(super) neighbours: BTreeSet<InstanceId>,
    pub(super) news: SpreadQueue<InstanceId>,
    refresh_cursor: usize,
    revival_cursor: usize,
    last_tick: Option<Instant>,
}

impl PeerTable {
    /// Makes the table of an instance that knows nobody yet.
    pub fn new(own: PeerProfile) -> Self {
        Self {
            own: PeerRumor { profile: own, state: PeerState::Alive, refutation: 0 },
            config_version: 0,
            peers: BTreeMap::new(),
            neighbours: BTreeSet::new(),
            news: SpreadQueue::default(),
            refresh_cursor: 0,
            revival_cursor: 0,
            last_tick: None,
        }
    }

    /// This instance's profile; its incarnation rises if an earlier life had a later clock.
    pub fn own_profile(&self) -> &PeerProfile {
        &self.own.profile
    }

    /// All other instances, by id.
    pub fn peers(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values()
    }

    /// What is known of an instance.
    pub fn state(&self, id: &InstanceId) -> Option<PeerState> {
        if *id == self.own.profile.id {
            return Some(self.own.state);
        }
        self.peers.get(id).map(|peer| peer.state)
    }

    /// The instances that heartbeats go to.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        self.neighbours.iter()
    }

    /// The live instances that pass the filter, this one included unless it is leaving.
    pub fn live(&self, filter: impl Fn(&PeerProfile) -> bool) -> Vec<InstanceId> {
        let peers = self.peers.values().filter(|peer| peer.state.is_live());
        let own = Some(&self.own).filter(|own| own.state.is_live()).map(|own| &own.profile);
        own.into_iter()
            .chain(peers.map(|peer| &peer.profile))
            .filter(|profile| filter(profile))
            .map(|profile| profile.id.clone())
            .collect()
    }

    /// The live instances of a region.
    pub fn live_in_region(&self, region: &str) -> Vec<InstanceId> {
        self.live(|profile| &*profile.region == region)
    }

    /// The live instances of an availability zone.
    pub fn live_in_zone(&self, zone: &str) -> Vec<InstanceId> {
        self.live(|profile| &*profile.zone == zone)
    }

    /// The owners among the live instances of this instance's region.
    pub fn owners(&self) -> OwnerTable {
        OwnerTable::new(self.live_in_region(&self.own.profile.region))
    }

    /// Whether this instance hears from another one, for a third that does not.
    pub fn hears(&self, about: &InstanceId, now: Instant) -> bool {
        if *about == self.own.profile.id {
            return true;
        }
        // Only its own statements count: two instances that took each other's vouching for having
        // heard would keep a dead one alive between them.
        self.peers.get(about).is_some_and(|peer| {
            let is_recent = |stated| now.saturating_duration_since(stated) < SUSPECT_AFTER;
            peer.state.is_live() && peer.stated.is_some_and(is_recent)
        })
    }

    /// The heartbeat for a peer, which also tells that peer what is held of it.
    pub fn heartbeat_for(&mut self, to: &InstanceId) -> PeerHeartbeat {
        let mut told: Vec<InstanceId> = vec![to.clone()];
        told.extend(self.news.take(NEWS_PER_HEARTBEAT));
        for _ in 0..REFRESH_PER_HEARTBEAT.min(self.peers.len()) {
            self.refresh_cursor = (self.refresh_cursor + 1) % self.peers.len();
            told.extend(self.peers.keys().nth(self.refresh_cursor).cloned());
        }
        let mut seen = BTreeSet::new();
        told.retain(|id| seen.insert(id.clone()));
        let rumors = told.iter().filter_map(|id| self.rumor_about(id)).collect();
        PeerHeartbeat {
            sender: self.own.clone(),
            config_version: self.config_version,
            // Known to whoever follows the settings, and filled in there.
            config_age: None,
            rumors,
        }
    }

    fn rumor_about(&self, id: &InstanceId) -> Option<PeerRumor> {
        let peer = self.peers.get(id).filter(|peer| peer.state != PeerState::Listed)?;
        Some(PeerRumor {
            profile: peer.profile.clone(),
            state: peer.state,
            refutation: peer.refutation,
        })
    }

    /// Takes in an event and says what to do about it.
    pub fn handle(&mut self, event: PeerEvent, now: Instant) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        match event {
            PeerEvent::Listed(listed) => self.take_list(listed, now),
            PeerEvent::Heartbeat(heartbeat) => self.take_heartbeat(heartbeat, now, &mut actions),
            PeerEvent::Vouched { about, by, heard } => {
                self.take_voucher(&about, by, heard, now, &mut actions);
            }
            PeerEvent::Leave => self.leave(&mut actions),
            PeerEvent::ConfigChanged(version) => {
                self.config_version = self.config_version.max(version);
            }
            PeerEvent::Tick => self.tick(now, &mut actions),
        }
        self.choose_neighbours(now);
        actions
    }

    fn take_list(&mut self, listed: Vec<(InstanceId, ZoneName)>, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for (id, zone) in listed {
            if id == self.own.profile.id {
                continue;
            }
            let region = self.own.profile.region.clone();
            let profile = PeerProfile { id: id.clone(), incarnation: 0, zone, region };
            let peer = self
                .peers
                .entry(id)
                .or_insert_with(|| PeerEntry::new(profile, PeerState::Listed, now));
            peer.listed = true;
        }
    }

    /// Announces to all neighbours at once that this instance is leaving.
    fn leave(&mut self, actions: &mut Vec<PeerAction>) {
        self.own.state = PeerState::Leaving;
        for id in self.neighbours.clone() {
            let heartbeat = self.heartbeat_for(&id);
            actions.push(PeerAction::Send(id, heartbeat));
        }
    }

    pub(super) fn enter_state(
        &mut self,
        id: &InstanceId,
        state: PeerState,
        now: Instant,
        actions: &mut Vec<PeerAction>,
    ) {
        let sends = spread_count(self.peers.len());
        let Some(peer) = self.peers.get_mut(id) else { return };
        peer.left |= state == PeerState::Leaving;
        let state = if peer.left && state.is_live() { PeerState::Leaving } else { state };
        if peer.state == state {
            return;
        }
        peer.state = state;
        peer.since = now;
        peer.silent_for.clear();
        self.news.push(id.clone(), sends);
        actions.push(PeerAction::Changed(id.clone(), state));
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<PeerAction>) {
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_tick = Some(now);
        if gap >= PAUSE_GAP {
            // This process stood still, so the silence of the others proves nothing.
            for peer in self.peers.values_mut() {
                peer.heard = now;
                peer.since = now;
            }
        }
        for id in self.peers.keys().cloned().collect::<Vec<_>>() {
            self.check_silence(&id, now, actions);
        }
        self.forget_dead(now);
        self.choose_neighbours(now);
        for id in self.heartbeat_targets(now) {
            let heartbeat = self.heartbeat_for(&id);
            actions.push(PeerAction::Send(id, heartbeat));
        }
    }

    fn check_silence(&mut self, id: &InstanceId, now: Instant, actions: &mut Vec<PeerAction>) {
        let is_neighbour = self.neighbours.contains(id);
        let Some(peer) = self.peers.get(id) else { return };
        let silence = now.saturating_duration_since(peer.heard);
        let in_state = now.saturating_duration_since(peer.since);
        match peer.state {
            PeerState::Listed if in_state >= FIRST_HEARTBEAT => {
                self.enter_state(id, PeerState::Dead, now, actions);
            }
            PeerState::Alive if is_neighbour && silence >= SUSPECT_AFTER => {
                self.enter_state(id, PeerState::Suspect, now, actions);
                self.ask_others(id, actions);
            }
            // A rumor of suspicion that nobody settled ends like one's own.
            PeerState::Suspect if in_state >= DEAD_AFTER => {
                self.enter_state(id, PeerState::Dead, now, actions);
            }
            PeerState::Leaving if is_neighbour && silence >= SUSPECT_AFTER + DEAD_AFTER => {
                self.enter_state(id, PeerState::Dead, now, actions);
            }
            _ => {}
        }
    }

    /// Asks those who should hear from a silent instance; in a full mesh that is anyone.
    fn ask_others(&self, about: &InstanceId, actions: &mut Vec<PeerAction>) {
        let live = self.live(|profile| profile.id != self.own.profile.id && profile.id != *about);
        let ring = self.ring();
        let watchers = ring_neighbours(&ring, about);
        let (near, far): (Vec<_>, Vec<_>) = live.into_iter().partition(|id| watchers.contains(id));
        let asked = near.into_iter().chain(far).take(CONFIRMING_PEERS);
        actions.extend(asked.map(|through| PeerAction::AskAbout { about: about.clone(), through }));
    }

    fn forget_dead(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            let is_old = now.saturating_duration_since(peer.since) >= FORGET_AFTER;
            let is_gone = matches!(peer.state, PeerState::Dead | PeerState::Leaving);
            peer.listed || !is_gone || !is_old
        });
    }

    /// The neighbours, and in turn one of the dead, so that a healed network is noticed.
    ///
    /// A heartbeat is answered by one, so a neighbour that sent one just now needs no other.
    fn heartbeat_targets(&mut self, now: Instant) -> Vec<InstanceId> {
        let is_due = |id: &&InstanceId| {
            self.peers.get(*id).is_none_or(|peer| {
                peer.state != PeerState::Alive
                    || now.saturating_duration_since(peer.heard) >= HEARTBEAT_REST
            })
        };
        let mut targets: Vec<_> = self.neighbours.iter().filter(is_due).cloned().collect();
        let dead: Vec<_> =
            self.peers.iter().filter(|(_, peer)| peer.state == PeerState::Dead).collect();
        if !dead.is_empty() {
            self.revival_cursor = (self.revival_cursor + 1) % dead.len();
            targets.push(dead[self.revival_cursor].0.clone());
        }
        targets
    }

    /// All instances that are not dead, in the order of a ring that all agree on.
    fn ring(&self) -> Vec<InstanceId> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.state != PeerState::Dead);
        let mut ring: Vec<_> = peers.map(|(id, _)| id.clone()).collect();
        ring.push(self.own.profile.id.clone());
        ring.sort_by_cached_key(|id| (stable_hash(id.as_bytes()), id.clone()));
        ring
    }

    fn choose_neighbours(&mut self, now: Instant) {
        let chosen = ring_neighbours(&self.ring(), &self.own.profile.id);
        for id in chosen.difference(&self.neighbours) {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.heard = now;
            }
        }
        self.neighbours = chosen;
    }
}

/// Everyone else in a small ring, or those next to the instance in a large one.
fn ring_neighbours(ring: &[InstanceId], id: &InstanceId) -> BTreeSet<InstanceId> {
    if ring.len() <= FULL_MESH_PEERS + 1 {
        return ring.iter().filter(|other| *other != id).cloned().collect();
    }
    let Some(position) = ring.iter().position(|other| other == id) else {
        return BTreeSet::new();
    };
    let length = ring.len();
    (1..=NEIGHBOUR_COUNT / 2)
        .flat_map(|step| [(position + step) % length, (position + length - step) % length])
        .map(|index| ring[index].clone())
        .collect()
}
