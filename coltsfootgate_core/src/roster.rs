//! Which replicas may serve, by what they announce of themselves.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{EndpointId, PoolId, ZoneName};
use crate::settings::EndpointSettings;

/// How long a replica that lapsed while the source was away may take to announce itself again.
pub const RETURN_TIME: Duration = Duration::from_secs(2);
/// How long it is remembered that an incarnation left, so that an old announcement does not undo it.
pub const LEFT_MEMORY: Duration = Duration::from_secs(120);

/// What a replica says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaAnnouncement {
    /// The name of the replica, which it may bear again after a restart.
    pub replica: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch; tells its lives apart.
    pub born: u64,
    /// Rises with each announcement of one life.
    pub sequence: u64,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Its IP address and port.
    pub address: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it is about to go and gets no new work.
    pub is_leaving: bool,
}

impl ReplicaAnnouncement {
    /// The endpoint that one life of the replica is.
    pub fn endpoint_id(&self) -> EndpointId {
        format!("{}@{}", self.replica, self.born).into()
    }
}

/// What an instance knows of replicas, for those that cannot reach the source.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaKnowledge {
    /// The last announcement of each replica that may serve.
    pub announcements: Vec<ReplicaAnnouncement>,
    /// The endpoints that left.
    pub left: Vec<EndpointId>,
}

/// What a roster learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RosterEvent {
    /// The source listed all announcements.
    Listed(Vec<ReplicaAnnouncement>),
    /// A replica announced itself anew.
    Announced(ReplicaAnnouncement),
    /// The announcement of a replica is gone, or names nobody any more.
    Withdrawn(Arc<str>),
    /// The source does not answer.
    SourceLost,
    /// Another instance says what it knows, and which endpoints left.
    HeardOf(ReplicaKnowledge),
    /// Time passed.
    Tick,
}

/// How a replica's place in the roster changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaChange {
    /// It may serve from now on.
    Joined,
    /// It is about to go and gets no new work.
    Leaving,
    /// Its announcement is gone.
    Gone,
}

impl ReplicaChange {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Joined => "joined",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

#[derive(Clone, Debug)]
struct RosterEntry {
    announcement: ReplicaAnnouncement,
    /// Until when the replica may serve without an announcement.
    missing_until: Option<Instant>,
}

/// Keeps what is announced, through outages of the source.
///
/// Announcements that lapse while the source is away say nothing of the replica, so they hold until
/// the replica had time to return. A replica that said that it leaves stays left for that life.
#[derive(Clone, Debug, Default)]
pub struct ReplicaRoster {
    entries: BTreeMap<Arc<str>, RosterEntry>,
    left: HashMap<EndpointId, Instant>,
    is_source_lost: bool,
    returned: Option<Instant>,
    is_known: bool,
}

impl ReplicaRoster {
    /// Whether the source was read once.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Takes an event in; gives the replicas whose place changed.
    pub fn handle(&mut self, event: RosterEvent, now: Instant) -> Vec<(EndpointId, ReplicaChange)> {
        let mut changes = Vec::new();
        match event {
            RosterEvent::Listed(announcements) => self.list(announcements, now, &mut changes),
            RosterEvent::Announced(announcement) => {
                self.note_answer(now);
                self.announce(announcement, now, &mut changes);
            }
            RosterEvent::Withdrawn(replica) => {
                let is_lapse = self.is_source_lost;
                self.note_answer(now);
                self.withdraw(&replica, is_lapse, now, &mut changes);
            }
            RosterEvent::SourceLost => self.is_source_lost = true,
            RosterEvent::HeardOf(knowledge) => self.hear_of(knowledge, now, &mut changes),
            RosterEvent::Tick => {}
        }
        self.expire(now, &mut changes);
        changes
    }

    /// The endpoints that may serve, by pool, each pool's sorted by id.
    pub fn endpoints(&self) -> BTreeMap<PoolId, Vec<EndpointSettings>> {
        let mut pools: BTreeMap<PoolId, Vec<EndpointSettings>> = BTreeMap::new();
        for RosterEntry { announcement, .. } in self.entries.values() {
            let id = announcement.endpoint_id();
            if self.left.contains_key(&id) {
                continue;
            }
            pools.entry(announcement.pool.clone()).or_default().push(EndpointSettings {
                id,
                replica: Some(announcement.replica.clone()),
                address: announcement.address.clone(),
                zone: announcement.zone.clone(),
                slots: announcement.slots,
                slots_max: announcement.slots,
            });
        }
        pools
    }

    /// Whether the source did not answer lately.
    pub fn is_source_lost(&self) -> bool {
        self.is_source_lost
    }

    /// What is known here, for other instances.
    pub fn knowledge(&self) -> ReplicaKnowledge {
        let announcements = self.entries.values().map(|entry| entry.announcement.clone());
        let announcements = announcements.filter(|one| !self.left.contains_key(&one.endpoint_id()));
        ReplicaKnowledge {
            announcements: announcements.collect(),
            left: self.left.keys().cloned().collect(),
        }
    }

    fn list(
        &mut self,
        announcements: Vec<ReplicaAnnouncement>,
        now: Instant,
        changes: &mut Vec<(EndpointId, ReplicaChange)>,
    ) {
        self.is_known = true;
        self.note_answer(now);
        let is_lapse = self.returned.is_some_and(|returned| now < returned + RETURN_TIME);
        let listed: Vec<Arc<str>> = announcements.iter().map(|one| one.replica.clone()).collect();
        for announcement in announcements {
            self.announce(announcement, now, changes);
        }
        let missing = self.entries.keys().filter(|replica| !listed.contains(replica)).cloned();
        for replica in missing.collect::<Vec<_>>() {
            self.withdraw(&replica, is_lapse, now, changes);
        }
    }

    /// Takes in what another instance knows; whoever it does not name stays.
    fn hear_of(
        &mut self,
        knowledge: ReplicaKnowledge,
        now: Instant,
        changes: &mut Vec<(EndpointId, ReplicaChange)>,
    ) {
        self.is_known |= !knowledge.announcements.is_empty();
        for endpoint in knowledge.left {
            self.leave(endpoint, now, changes);
        }
        for announcement in knowledge.announcements {
            self.announce(announcement, now, changes);
        }
    }

    fn note_answer(&mut self, now: Instant) {
        if self.is_source_lost {
            self.is_source_lost = false;
            self.returned = Some(now);
        }
    }

    fn announce(
        &mut self,
        announcement: ReplicaAnnouncement,
        now: Instant,
        changes: &mut Vec<(EndpointId, ReplicaChange)>,
    ) {
        let id = announcement.endpoint_id();
        let is_leaving = announcement.is_leaving;
        let order = (announcement.born, announcement.sequence);
        if let Some(entry) = self.entries.get(&announcement.replica) {
            let known = &entry.announcement;
            if order < (known.born, known.sequence) {
                return;
            }
            if known.born < announcement.born {
                changes.push((known.endpoint_id(), ReplicaChange::Gone));
            }
        }
        let replica = announcement.replica.clone();
        let entry = RosterEntry { announcement, missing_until: None };
        let before = self.entries.insert(replica, entry);
        let is_new = before.is_none_or(|before| before.announcement.endpoint_id() != id);
        if is_leaving {
            self.leave(id, now, changes);
        } else if is_new && !self.left.contains_key(&id) {
            changes.push((id, ReplicaChange::Joined));
        }
    }

    /// Takes a replica out whose announcement is gone; one that lapsed may still return.
    fn withdraw(
        &mut self,
        replica: &Arc<str>,
        is_lapse: bool,
        now: Instant,
        changes: &mut Vec<(EndpointId, ReplicaChange)>,
    ) {
        let Some(entry) = self.entries.get_mut(replica) else { return };
        if is_lapse && !self.left.contains_key(&entry.announcement.endpoint_id()) {
            let until = self.returned.map_or(now, |returned| returned + RETURN_TIME);
            entry.missing_until.get_or_insert(until);
            return;
        }
        if entry.missing_until.is_some_and(|until| now < until) {
            return;
        }
        let id = entry.announcement.endpoint_id();
        self.entries.remove(replica);
        self.left.insert(id.clone(), now);
        changes.push((id, ReplicaChange::Gone));
    }

    fn leave(
        &mut self,
        endpoint: EndpointId,
        now: Instant,
        changes: &mut Vec<(EndpointId, ReplicaChange)>,
    ) {
        if self.left.insert(endpoint.clone(), now).is_none() {
            changes.push((endpoint, ReplicaChange::Leaving));
        }
    }

    fn expire(&mut self, now: Instant, changes: &mut Vec<(EndpointId, ReplicaChange)>) {
        if self.is_source_lost {
            return;
        }
        let is_over = |entry: &RosterEntry| entry.missing_until.is_some_and(|until| now >= until);
        let over: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_over(entry))
            .map(|(replica, _)| replica.clone())
            .collect();
        for replica in over {
            self.withdraw(&replica, false, now, changes);
        }
        self.left.retain(|_, since| now < *since + LEFT_MEMORY);
    }
}
