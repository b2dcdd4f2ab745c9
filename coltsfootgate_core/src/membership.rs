//! Which instances answer, as far as this one can tell.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::gossip::{SpreadQueue, spread_count};
use crate::ids::{ConfigVersion, Incarnation, InstanceId, ZoneName};
use crate::rendezvous::{OwnerTable, stable_hash};

/// Name of a region, a group of availability zones.
pub type RegionName = Arc<str>;

/// How often a heartbeat goes to each neighbour.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Time after a heartbeat in which no other is sent to the same peer.
pub const HEARTBEAT_REST: Duration = Duration::from_millis(300);
/// Silence after which a neighbour is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// Time under suspicion after which a neighbour counts as dead, if nobody heard from it.
pub const DEAD_AFTER: Duration = Duration::from_millis(1500);
/// Time that a listed instance has for its first heartbeat.
pub const FIRST_HEARTBEAT: Duration = Duration::from_secs(5);
/// Time after which a dead instance that is no longer listed is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);
/// A gap between two ticks that means this process was paused, not its peers silent.
pub const PAUSE_GAP: Duration = Duration::from_millis(1200);
/// Up to this many other instances, each is everyone's neighbour.
pub const FULL_MESH_PEERS: usize = 16;
/// How many neighbours an instance has in a larger fleet, half on each side of a ring.
pub const NEIGHBOUR_COUNT: usize = 8;
/// How many instances are asked about a silent one.
pub const CONFIRMING_PEERS: usize = 3;
/// How many of them must find it silent before it counts as dead early.
pub const SILENT_CONFIRMATIONS: usize = 2;
/// How many rumors of news a heartbeat carries.
pub const NEWS_PER_HEARTBEAT: usize = 12;
/// How many rumors a heartbeat carries in turn, whether or not they are news.
pub const REFRESH_PER_HEARTBEAT: usize = 2;

/// What an instance says of itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerProfile {
    /// Where it listens for peers.
    pub id: InstanceId,
    /// Which life at that address this is.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// What is known of an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum PeerState {
    /// The platform lists it and it has not answered yet.
    Listed,
    /// It answers.
    Alive,
    /// It has gone silent; it keeps what it owns until that is confirmed.
    Suspect,
    /// It is taken for gone until it answers again.
    Dead,
    /// It said that it is leaving; this holds for the rest of its incarnation.
    Leaving,
}

impl PeerState {
    /// Whether an instance in this state may own anything.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// The name used in logs and status.
    pub fn name(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Leaving => "leaving",
        }
    }
}

/// A statement about an instance, which the instance itself may refute.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerRumor {
    /// Whom it is about.
    pub profile: PeerProfile,
    /// What is said.
    pub state: PeerState,
    /// How often the instance had refuted its suspicion; a higher number overrules a lower one.
    pub refutation: u32,
}

/// What instances tell each other all the time.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerHeartbeat {
    /// The sender's statement about itself.
    pub sender: PeerRumor,
    /// The version of the tree that the sender has in force.
    pub config_version: ConfigVersion,
    /// What the sender passes on.
    pub rumors: Vec<PeerRumor>,
}

/// What a peer table learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerEvent {
    /// The platform's list of instances, this one included or not.
    Listed(Vec<(InstanceId, ZoneName)>),
    /// A heartbeat came, as a request or as the answer to one.
    Heartbeat(PeerHeartbeat),
    /// An instance answered whether it hears from the one asked about.
    Vouched {
        /// Whom it was about.
        about: InstanceId,
        /// Who answered.
        by: InstanceId,
        /// Whether that instance hears from it.
        heard: bool,
    },
    /// This instance begins to leave.
    Leave,
    /// This instance has a new version of the tree in force.
    ConfigChanged(ConfigVersion),
    /// Time passed; wanted every heartbeat period.
    Tick,
}

/// What a peer table wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerAction {
    /// Send this heartbeat; the answer is a heartbeat as well.
    Send(InstanceId, PeerHeartbeat),
    /// Ask an instance whether it hears from another one.
    AskAbout {
        /// Whom it is about.
        about: InstanceId,
        /// Whom to ask.
        through: InstanceId,
    },
    /// An instance changed its state, so the set of owners may have changed.
    Changed(InstanceId, PeerState),
    /// A new life began at this address; nothing of the earlier one is left there.
    Reborn(PeerProfile),
    /// A peer named a version of the tree above the highest that it named before.
    SawVersion(InstanceId, ConfigVersion),
}

/// An instance as the table holds it.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// What it said of itself; the incarnation is 0 until it did.
    pub profile: PeerProfile,
    /// What is known of it.
    pub state: PeerState,
    /// The version of the tree that it last named.
    pub config_version: ConfigVersion,
    refutation: u32,
    listed: bool,
    /// Whether it announced its leaving in this incarnation.
    left: bool,
    /// When it was last heard or vouched for, or since when it should have been heard.
    heard: Instant,
    /// When its last statement arrived here.
    stated: Option<Instant>,
    /// When it entered its state.
    since: Instant,
    silent_for: BTreeSet<InstanceId>,
}

/// Decides which instances are live.
#[derive(Debug)]
pub struct PeerTable {
    own: PeerRumor,
    config_version: ConfigVersion,
    peers: BTreeMap<InstanceId, PeerEntry>,
    neighbours: BTreeSet<InstanceId>,
    news: SpreadQueue<InstanceId>,
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
        PeerHeartbeat { sender: self.own.clone(), config_version: self.config_version, rumors }
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

    fn take_heartbeat(
        &mut self,
        heartbeat: PeerHeartbeat,
        now: Instant,
        actions: &mut Vec<PeerAction>,
    ) {
        let PeerHeartbeat { sender, config_version, rumors } = heartbeat;
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

    fn take_voucher(
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

    /// Announces to all neighbours at once that this instance is leaving.
    fn leave(&mut self, actions: &mut Vec<PeerAction>) {
        self.own.state = PeerState::Leaving;
        for id in self.neighbours.clone() {
            let heartbeat = self.heartbeat_for(&id);
            actions.push(PeerAction::Send(id, heartbeat));
        }
    }

    fn enter_state(
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

impl PeerEntry {
    fn new(profile: PeerProfile, state: PeerState, now: Instant) -> Self {
        Self {
            profile,
            state,
            config_version: 0,
            refutation: 0,
            listed: false,
            left: false,
            heard: now,
            stated: None,
            since: now,
            silent_for: BTreeSet::new(),
        }
    }

    /// Forgets what was known of the earlier life at this address.
    fn begin_incarnation(&mut self, profile: PeerProfile, refutation: u32) {
        self.profile = profile;
        self.refutation = refutation;
        self.config_version = 0;
        self.left = false;
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
