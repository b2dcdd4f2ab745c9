//! The peer table, which decides which instances are live.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{
    CONFIRMING_PEERS, DEAD_AFTER, FIRST_HEARTBEAT_TIMEOUT, FORGET_AFTER, FULL_MESH_PEERS,
    HEARTBEAT_MIN_INTERVAL, NEIGHBOUR_COUNT, PAUSE_GAP, PeerAction, PeerEntry, PeerEvent,
    PeerHeartbeat, PeerProfile, PeerRumor, PeerState, REFRESH_PER_HEARTBEAT, SUSPECT_AFTER,
    UPDATES_PER_HEARTBEAT,
};
use crate::freshness::SettingsStatement;
use crate::gossip::{GossipQueue, transmit_count};
use crate::ids::{InstanceId, ZoneName};
use crate::rendezvous::stable_hash;

/// Tracks the state of all known instances and chooses the neighbours of this one.
#[derive(Debug)]
pub struct PeerTable {
    pub(super) own: PeerRumor,
    pub(super) peers: BTreeMap<InstanceId, PeerEntry>,
    pub(super) neighbours: BTreeSet<InstanceId>,
    pub(super) pending_updates: GossipQueue<InstanceId>,
    refresh_cursor: usize,
    dead_probe_cursor: usize,
    last_tick: Option<Instant>,
}

impl PeerTable {
    /// Creates the table of an instance that knows no peers yet.
    pub fn new(own: PeerProfile) -> Self {
        Self {
            own: PeerRumor { profile: own, state: PeerState::Alive, refutation: 0 },
            peers: BTreeMap::new(),
            neighbours: BTreeSet::new(),
            pending_updates: GossipQueue::default(),
            refresh_cursor: 0,
            dead_probe_cursor: 0,
            last_tick: None,
        }
    }

    /// This instance's profile. Its incarnation rises if an earlier process at this address had a
    /// clock that was ahead.
    pub fn own_profile(&self) -> &PeerProfile {
        &self.own.profile
    }

    /// All other instances, by id.
    pub fn peers(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values()
    }

    /// The state of an instance; `None` if it is unknown.
    pub fn state(&self, id: &InstanceId) -> Option<PeerState> {
        if *id == self.own.profile.id {
            return Some(self.own.state);
        }
        self.peers.get(id).map(|peer| peer.state)
    }

    /// The instances to which heartbeats are sent.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        self.neighbours.iter()
    }

    /// The live instances that pass the filter, this one included unless it is leaving.
    pub fn live(&self, filter: impl Fn(&PeerProfile) -> bool) -> Vec<InstanceId> {
        self.instances(|state, profile| state.is_live() && filter(profile))
    }

    /// The instances that pass the filter, by their state and profile, this one included.
    fn instances(&self, filter: impl Fn(PeerState, &PeerProfile) -> bool) -> Vec<InstanceId> {
        let peers = self.peers.values().map(|peer| (peer.state, &peer.profile));
        std::iter::once((self.own.state, &self.own.profile))
            .chain(peers)
            .filter(|(state, profile)| filter(*state, profile))
            .map(|(_, profile)| profile.id.clone())
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

    /// The instances of this instance's region that may own anything: the live ones or, while there is none,
    /// those that are leaving, which still have requests to serve.
    pub fn owners(&self) -> Vec<InstanceId> {
        let region = &self.own.profile.region;
        let live = self.live_in_region(region);
        if !live.is_empty() {
            return live;
        }
        self.leaving_in_region(region)
    }

    /// The instances of a region that are leaving, this one included.
    pub fn leaving_in_region(&self, region: &str) -> Vec<InstanceId> {
        self.instances(|state, profile| state == PeerState::Leaving && &*profile.region == region)
    }

    /// Whether the platform lists an instance that was not heard yet and may run.
    pub fn has_unheard(&self) -> bool {
        self.unheard_count() > 0
    }

    /// Number of instances that are listed and were neither heard nor given up.
    pub fn unheard_count(&self) -> usize {
        self.peers.values().filter(|peer| peer.state == PeerState::Listed).count()
    }

    /// Whether this instance hears from another one, which a third instance suspects.
    pub fn hears_from(&self, about: &InstanceId, now: Instant) -> bool {
        if *about == self.own.profile.id {
            return true;
        }
        // Only heartbeats from the instance itself count. If reports of others counted too, two
        // instances could keep a dead one alive by confirming each other's reports.
        self.peers.get(about).is_some_and(|peer| {
            let is_recent = |stated| now.saturating_duration_since(stated) < SUSPECT_AFTER;
            peer.state.is_live() && peer.last_statement.is_some_and(is_recent)
        })
    }

    /// Builds the heartbeat for a peer, without a statement about the settings. It includes what this table holds
    /// about that peer, so that the peer can refute it.
    pub fn heartbeat_for(&mut self, to: &InstanceId) -> PeerHeartbeat {
        let mut subjects: Vec<InstanceId> = vec![to.clone()];
        subjects.extend(self.pending_updates.take(UPDATES_PER_HEARTBEAT));
        for _ in 0..REFRESH_PER_HEARTBEAT.min(self.peers.len()) {
            self.refresh_cursor = (self.refresh_cursor + 1) % self.peers.len();
            subjects.extend(self.peers.keys().nth(self.refresh_cursor).cloned());
        }
        let mut seen = BTreeSet::new();
        subjects.retain(|id| seen.insert(id.clone()));
        let rumors = subjects.iter().filter_map(|id| self.rumor_about(id)).collect();
        PeerHeartbeat {
            sender: self.own.clone(),
            // The caller fills this in at the moment of sending, since the table doesn't follow the settings.
            settings: SettingsStatement::default(),
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

    /// Applies an event and returns the actions for the caller to carry out.
    pub fn handle(&mut self, event: PeerEvent, now: Instant) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        match event {
            PeerEvent::Listed(listed) => self.handle_list(listed, now),
            PeerEvent::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat, now, &mut actions),
            PeerEvent::ReachabilityReport { about, by, heard } => {
                self.handle_reachability_report(&about, by, heard, now, &mut actions);
            }
            PeerEvent::Leave => self.leave(&mut actions),
            PeerEvent::Tick => self.tick(now, &mut actions),
        }
        self.choose_neighbours(now);
        actions
    }

    fn handle_list(&mut self, listed: Vec<(InstanceId, ZoneName)>, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.is_listed = false;
        }
        for (id, zone) in listed {
            if id == self.own.profile.id {
                continue;
            }
            let region = self.own.profile.region.clone();
            let profile =
                PeerProfile { id: id.clone(), incarnation: 0, zone, region, processor_milli: 0 };
            let peer = self
                .peers
                .entry(id)
                .or_insert_with(|| PeerEntry::new(profile, PeerState::Listed, now));
            peer.is_listed = true;
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

    /// Moves an instance to a state and queues the change for gossip.
    ///
    /// An instance that announced that it is leaving doesn't become live again.
    pub(super) fn enter_state(
        &mut self,
        id: &InstanceId,
        state: PeerState,
        now: Instant,
        actions: &mut Vec<PeerAction>,
    ) {
        let sends = transmit_count(self.peers.len());
        let Some(peer) = self.peers.get_mut(id) else { return };
        peer.announced_leaving |= state == PeerState::Leaving;
        let state =
            if peer.announced_leaving && state.is_live() { PeerState::Leaving } else { state };
        if peer.state == state {
            return;
        }
        peer.state = state;
        peer.state_since = now;
        peer.reported_silent_by.clear();
        self.pending_updates.push(id.clone(), sends);
        actions.push(PeerAction::Changed(id.clone(), state));
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<PeerAction>) {
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_tick = Some(now);
        if gap >= PAUSE_GAP {
            // This process was paused, so the silence of its peers is no sign of failure.
            for peer in self.peers.values_mut() {
                peer.last_heard = now;
                peer.state_since = now;
            }
        }
        for id in self.peers.keys().cloned().collect::<Vec<_>>() {
            self.check_silence(&id, now, actions);
        }
        self.remove_departed(now);
        self.choose_neighbours(now);
        for id in self.heartbeat_targets(now) {
            let heartbeat = self.heartbeat_for(&id);
            actions.push(PeerAction::Send(id, heartbeat));
        }
    }

    /// Moves an instance to `Suspect` or `Dead` once the timeout of its state has passed.
    fn check_silence(&mut self, id: &InstanceId, now: Instant, actions: &mut Vec<PeerAction>) {
        let is_neighbour = self.neighbours.contains(id);
        let Some(peer) = self.peers.get(id) else { return };
        let silence = now.saturating_duration_since(peer.last_heard);
        let in_state = now.saturating_duration_since(peer.state_since);
        match peer.state {
            PeerState::Listed if in_state >= FIRST_HEARTBEAT_TIMEOUT => {
                self.enter_state(id, PeerState::Dead, now, actions);
            }
            PeerState::Alive if is_neighbour && silence >= SUSPECT_AFTER => {
                self.enter_state(id, PeerState::Suspect, now, actions);
                self.ask_confirming_peers(id, actions);
            }
            // Holds for suspicions from rumors too, in case no instance resolves them.
            PeerState::Suspect if in_state >= DEAD_AFTER => {
                self.enter_state(id, PeerState::Dead, now, actions);
            }
            PeerState::Leaving if is_neighbour && silence >= SUSPECT_AFTER + DEAD_AFTER => {
                self.enter_state(id, PeerState::Dead, now, actions);
            }
            _ => {}
        }
    }

    /// Asks neighbours of a silent instance, then others, whether they hear from it.
    ///
    /// In a full mesh every instance is a neighbour.
    fn ask_confirming_peers(&self, about: &InstanceId, actions: &mut Vec<PeerAction>) {
        let live = self.live(|profile| profile.id != self.own.profile.id && profile.id != *about);
        let ring = self.ring();
        let watchers = ring_neighbours(&ring, about);
        let (neighbours, others): (Vec<_>, Vec<_>) =
            live.into_iter().partition(|id| watchers.contains(id));
        let asked = neighbours.into_iter().chain(others).take(CONFIRMING_PEERS);
        actions.extend(asked.map(|through| PeerAction::AskAbout { about: about.clone(), through }));
    }

    fn remove_departed(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            let is_old = now.saturating_duration_since(peer.state_since) >= FORGET_AFTER;
            let is_gone = matches!(peer.state, PeerState::Dead | PeerState::Leaving);
            peer.is_listed || !is_gone || !is_old
        });
    }

    /// The neighbours that are due a heartbeat and one dead instance, a different one each time.
    ///
    /// The heartbeat to a dead instance detects that a network partition has healed. A neighbour
    /// whose heartbeat just arrived has already been answered with one.
    fn heartbeat_targets(&mut self, now: Instant) -> Vec<InstanceId> {
        let is_due = |id: &&InstanceId| {
            self.peers.get(*id).is_none_or(|peer| {
                peer.state != PeerState::Alive
                    || now.saturating_duration_since(peer.last_heard) >= HEARTBEAT_MIN_INTERVAL
            })
        };
        let mut targets: Vec<_> = self.neighbours.iter().filter(is_due).cloned().collect();
        let dead: Vec<_> =
            self.peers.iter().filter(|(_, peer)| peer.state == PeerState::Dead).collect();
        if !dead.is_empty() {
            self.dead_probe_cursor = (self.dead_probe_cursor + 1) % dead.len();
            targets.push(dead[self.dead_probe_cursor].0.clone());
        }
        targets
    }

    /// All instances that are not dead, in the order of a hash ring that is the same everywhere.
    fn ring(&self) -> Vec<InstanceId> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.state != PeerState::Dead);
        let mut ring: Vec<_> = peers.map(|(id, _)| id.clone()).collect();
        ring.push(self.own.profile.id.clone());
        ring.sort_by_cached_key(|id| (stable_hash(id.as_bytes()), id.clone()));
        ring
    }

    /// Updates the neighbours; the silence of a new one counts from now.
    fn choose_neighbours(&mut self, now: Instant) {
        let chosen = ring_neighbours(&self.ring(), &self.own.profile.id);
        for id in chosen.difference(&self.neighbours) {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.last_heard = now;
            }
        }
        self.neighbours = chosen;
    }
}

/// All other instances of a small ring, or the nearest ones on both sides in a large ring.
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
