//! Tracks which replicas may serve requests, from the announcements that they store.
//!
//! While the source of the announcements is unreachable, announcements expire there although their
//! replicas still run; such replicas stay in service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{EndpointId, PoolId, SoftwareVersion, ZoneName};
use crate::settings::EndpointSettings;
use crate::stream::StreamOrigin;

/// Time that a replica has to announce itself again after an outage of the source, if its
/// announcement expired during the outage.
pub const REANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an endpoint is kept as left, so that a late announcement does not return it to
/// service.
pub const LEFT_RETENTION: Duration = Duration::from_secs(120);

/// The description of itself that a replica stores with the source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaAnnouncement {
    /// The name of the replica, which may stay the same across restarts.
    pub replica: Arc<str>,
    /// When its process started, in milliseconds since the Unix epoch; distinguishes its restarts.
    pub born: u64,
    /// Increases with each announcement of one process.
    pub sequence: u64,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Its IP address and port.
    pub address: Arc<str>,
    /// The version of its software, if it states one.
    pub version: Option<SoftwareVersion>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and gets no new requests.
    pub is_leaving: bool,
    /// Whether the platform may reclaim it; not told to other instances.
    pub is_spot: bool,
}

impl ReplicaAnnouncement {
    /// The id of the endpoint; each process of a replica is an endpoint of its own.
    pub fn endpoint_id(&self) -> EndpointId {
        format!("{}@{}", self.replica, self.born).into()
    }
}

/// A change in the list of announcements.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaNotice {
    /// A replica stored a new announcement.
    Announced(ReplicaAnnouncement),
    /// The announcement of a replica was removed, or no longer describes a replica.
    Withdrawn(Arc<str>),
}

impl From<ReplicaNotice> for RosterEvent {
    fn from(notice: ReplicaNotice) -> Self {
        match notice {
            ReplicaNotice::Announced(announcement) => Self::Announced(announcement),
            ReplicaNotice::Withdrawn(replica) => Self::Withdrawn(replica),
        }
    }
}

/// The replicas that an instance knows, for instances that cannot reach the source.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaSnapshot {
    /// The last announcement of each replica that may serve.
    pub announcements: Vec<ReplicaAnnouncement>,
    /// The endpoints that are still kept as left.
    pub left: Vec<EndpointId>,
    /// The origins of streams that are listed, so that their endpoints may be used.
    pub origins: Vec<StreamOrigin>,
}

/// Input of a roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RosterEvent {
    /// The source listed all announcements.
    Listed(Vec<ReplicaAnnouncement>),
    /// A replica stored a new announcement.
    Announced(ReplicaAnnouncement),
    /// The announcement of a replica was removed, or no longer describes a replica.
    Withdrawn(Arc<str>),
    /// The source does not answer.
    SourceLost,
    /// An endpoint said in an answer that it is leaving.
    SaidLeaving(EndpointId),
    /// Another instance sent its snapshot.
    PeerSnapshot(ReplicaSnapshot),
    /// Time passed.
    Tick,
}

/// A change of an endpoint in the roster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaChange {
    /// It may serve from now on.
    Joined,
    /// It is shutting down and gets no new requests.
    Leaving,
    /// Its announcement was removed, or a newer process of the replica announced itself.
    Gone,
    /// It announced another version of its software.
    VersionChanged,
}

impl ReplicaChange {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Joined => "joined",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
            Self::VersionChanged => "states another version",
        }
    }
}

#[derive(Clone, Debug)]
struct RosterEntry {
    announcement: ReplicaAnnouncement,
    /// When a replica whose announcement expired must have announced itself again.
    grace_until: Option<Instant>,
}

/// Keeps the announced replicas, also through outages of the source.
///
/// An announcement that expired during an outage doesn't mean that its replica is gone, so the
/// replica stays in service until it had time to announce itself again. A replica that announced
/// that it is leaving gets no more requests until it restarts.
#[derive(Clone, Debug, Default)]
pub struct ReplicaRoster {
    entries: BTreeMap<Arc<str>, RosterEntry>,
    left: HashMap<EndpointId, Instant>,
    is_source_lost: bool,
    /// When the source last became reachable after an outage.
    source_returned: Option<Instant>,
    is_populated: bool,
}

impl ReplicaRoster {
    /// Whether a list from the source or any announcement from a peer has arrived.
    pub fn is_populated(&self) -> bool {
        self.is_populated
    }

    /// Applies an event and returns the endpoints that changed.
    pub fn handle(&mut self, event: RosterEvent, now: Instant) -> Vec<(EndpointId, ReplicaChange)> {
        let mut changes = Vec::new();
        match event {
            RosterEvent::Listed(announcements) => self.list(announcements, now, &mut changes),
            RosterEvent::Announced(announcement) => {
                self.mark_source_reachable(now);
                self.announce(announcement, now, &mut changes);
            }
            RosterEvent::Withdrawn(replica) => {
                let may_have_expired = self.is_source_lost;
                self.mark_source_reachable(now);
                self.withdraw(&replica, may_have_expired, now, &mut changes);
            }
            RosterEvent::SourceLost => self.is_source_lost = true,
            RosterEvent::SaidLeaving(endpoint) => self.leave(endpoint, now, &mut changes),
            RosterEvent::PeerSnapshot(snapshot) => self.merge_snapshot(snapshot, now, &mut changes),
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
                version: announcement.version.clone(),
                zone: announcement.zone.clone(),
                slots: announcement.slots,
                slots_max: announcement.slots,
            });
        }
        pools
    }

    /// The replicas of a pool that serve and are not leaving.
    pub fn serving<'a>(
        &'a self,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = &'a ReplicaAnnouncement> {
        let announcements = self.entries.values().map(|entry| &entry.announcement);
        announcements.filter(|one| one.pool == *pool && !self.left.contains_key(&one.endpoint_id()))
    }

    /// Whether an endpoint is known to be leaving, or has left.
    pub fn has_left(&self, endpoint: &EndpointId) -> bool {
        self.left.contains_key(endpoint)
    }

    /// Whether the source is unreachable.
    pub fn is_source_lost(&self) -> bool {
        self.is_source_lost
    }

    /// Where streams may begin in some pools; replicas that are leaving are included.
    pub fn origins(&self, pools: &BTreeSet<PoolId>) -> BTreeSet<StreamOrigin> {
        let announcements = self.entries.values().map(|entry| &entry.announcement);
        let of_pools = announcements.filter(|one| pools.contains(&one.pool));
        let origin = |one: &ReplicaAnnouncement| StreamOrigin {
            pool: one.pool.clone(),
            version: one.version.clone(),
        };
        of_pools.map(origin).collect()
    }

    /// The replicas known here, for other instances, with the listed `origins` of streams.
    pub fn snapshot(&self, origins: Vec<StreamOrigin>) -> ReplicaSnapshot {
        let announcements = self.entries.values().map(|entry| entry.announcement.clone());
        let announcements = announcements.filter(|one| !self.left.contains_key(&one.endpoint_id()));
        ReplicaSnapshot {
            announcements: announcements.collect(),
            left: self.left.keys().cloned().collect(),
            origins,
        }
    }

    /// Applies a full list of announcements; replicas that it lacks are withdrawn.
    fn list(
        &mut self,
        announcements: Vec<ReplicaAnnouncement>,
        now: Instant,
        changes: &mut Vec<(EndpointId, ReplicaChange)>,
    ) {
        self.is_populated = true;
        self.mark_source_reachable(now);
        let may_have_expired =
            self.source_returned.is_some_and(|returned| now < returned + REANNOUNCE_TIMEOUT);
        let listed: Vec<Arc<str>> = announcements.iter().map(|one| one.replica.clone()).collect();
        for announcement in announcements {
            self.announce(announcement, now, changes);
        }
        let missing = self.entries.keys().filter(|replica| !listed.contains(replica)).cloned();
        for replica in missing.collect::<Vec<_>>() {
            self.withdraw(&replica, may_have_expired, now, changes);
        }
    }

    /// Merges the snapshot of another instance; replicas that it lacks are kept.
    fn merge_snapshot(
        &mut self,
        snapshot: ReplicaSnapshot,
        now: Instant,
        changes: &mut Vec<(EndpointId, ReplicaChange)>,
    ) {
        self.is_populated |= !snapshot.announcements.is_empty();
        for endpoint in snapshot.left {
            self.leave(endpoint, now, changes);
        }
        for announcement in snapshot.announcements {
            self.announce(announcement, now, changes);
        }
    }

    fn mark_source_reachable(&mut self, now: Instant) {
        if self.is_source_lost {
            self.is_source_lost = false;
            self.source_returned = Some(now);
        }
    }

    /// Adds or updates a replica, unless a later announcement is known.
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
            } else if known.version != announcement.version {
                changes.push((id.clone(), ReplicaChange::VersionChanged));
            }
        }
        let replica = announcement.replica.clone();
        let entry = RosterEntry { announcement, grace_until: None };
        let replaced = self.entries.insert(replica, entry);
        let is_new = replaced.is_none_or(|replaced| replaced.announcement.endpoint_id() != id);
        if is_leaving {
            self.leave(id, now, changes);
        } else if is_new && !self.left.contains_key(&id) {
            changes.push((id, ReplicaChange::Joined));
        }
    }

    /// Removes a replica without an announcement. If the announcement may have expired during an
    /// outage, the replica first gets time to announce itself again.
    fn withdraw(
        &mut self,
        replica: &Arc<str>,
        may_have_expired: bool,
        now: Instant,
        changes: &mut Vec<(EndpointId, ReplicaChange)>,
    ) {
        let Some(entry) = self.entries.get_mut(replica) else { return };
        if may_have_expired && !self.left.contains_key(&entry.announcement.endpoint_id()) {
            let until = self.source_returned.map_or(now, |returned| returned + REANNOUNCE_TIMEOUT);
            entry.grace_until.get_or_insert(until);
            return;
        }
        if entry.grace_until.is_some_and(|until| now < until) {
            return;
        }
        let id = entry.announcement.endpoint_id();
        self.entries.remove(replica);
        self.left.insert(id.clone(), now);
        changes.push((id, ReplicaChange::Gone));
    }

    /// Takes an endpoint out of service.
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

    /// Removes replicas that did not announce themselves again in time, and old left endpoints.
    fn expire(&mut self, now: Instant, changes: &mut Vec<(EndpointId, ReplicaChange)>) {
        if self.is_source_lost {
            return;
        }
        let is_overdue = |entry: &RosterEntry| entry.grace_until.is_some_and(|until| now >= until);
        let overdue: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_overdue(entry))
            .map(|(replica, _)| replica.clone())
            .collect();
        for replica in overdue {
            self.withdraw(&replica, false, now, changes);
        }
        self.left.retain(|_, since| now < *since + LEFT_RETENTION);
    }
}
