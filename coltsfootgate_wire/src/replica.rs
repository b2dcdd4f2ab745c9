//! Wire types of snapshots of the announced replicas.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::roster::{ReplicaAnnouncement, ReplicaNotice, ReplicaSnapshot};
use coltsfootgate_core::stream::StreamOrigin;

use crate::error::WireError;
use crate::names::{check_instance, check_name};
use crate::stream::WireStreamOrigin;

/// Maximum number of replicas, of endpoints that left, and of origins in one message.
const REPLICAS_MAX: usize = 4096;

#[derive(Deserialize, Serialize)]
pub(crate) struct WireReplicaSnapshot {
    announcements: Vec<WireAnnouncement>,
    left: Vec<Arc<str>>,
    origins: Vec<WireStreamOrigin>,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireAnnouncement {
    replica: Arc<str>,
    born: u64,
    sequence: u64,
    pool: Arc<str>,
    address: Arc<str>,
    version: Option<Arc<str>>,
    zone: Arc<str>,
    slots: u32,
}

/// A change of a replica, with all that its announcement states.
#[derive(Deserialize, Serialize)]
pub(crate) enum WireReplicaNotice {
    Announced { revision: u64, announcement: WireAnnouncement, is_leaving: bool, is_spot: bool },
    Withdrawn { revision: u64, replica: Arc<str> },
}

impl From<(u64, ReplicaNotice)> for WireReplicaNotice {
    fn from((revision, notice): (u64, ReplicaNotice)) -> Self {
        match notice {
            ReplicaNotice::Announced(announcement) => {
                let ReplicaAnnouncement { is_leaving, is_spot, .. } = announcement;
                let announcement = announcement.into();
                Self::Announced { revision, announcement, is_leaving, is_spot }
            }
            ReplicaNotice::Withdrawn(replica) => Self::Withdrawn { revision, replica },
        }
    }
}

impl TryFrom<WireReplicaNotice> for (u64, ReplicaNotice) {
    type Error = WireError;

    fn try_from(notice: WireReplicaNotice) -> Result<Self, WireError> {
        Ok(match notice {
            WireReplicaNotice::Announced { revision, announcement, is_leaving, is_spot } => {
                let announcement = ReplicaAnnouncement::try_from(announcement)?;
                let announcement = ReplicaAnnouncement { is_leaving, is_spot, ..announcement };
                (revision, ReplicaNotice::Announced(announcement))
            }
            WireReplicaNotice::Withdrawn { revision, replica } => {
                (revision, ReplicaNotice::Withdrawn(check_name(replica, "replica")?))
            }
        })
    }
}

impl From<ReplicaSnapshot> for WireReplicaSnapshot {
    fn from(snapshot: ReplicaSnapshot) -> Self {
        let announcements = snapshot.announcements.into_iter().map(WireAnnouncement::from);
        let origins = snapshot.origins.into_iter().map(WireStreamOrigin::from);
        Self {
            announcements: announcements.collect(),
            left: snapshot.left,
            origins: origins.collect(),
        }
    }
}

impl TryFrom<WireReplicaSnapshot> for ReplicaSnapshot {
    type Error = WireError;

    fn try_from(snapshot: WireReplicaSnapshot) -> Result<Self, WireError> {
        let WireReplicaSnapshot { announcements, left, origins } = snapshot;
        let lengths = [announcements.len(), left.len(), origins.len()];
        if lengths.iter().any(|length| *length > REPLICAS_MAX) {
            return Err(WireError::WrongValue("replicas"));
        }
        let announcements = announcements.into_iter().map(ReplicaAnnouncement::try_from);
        let left = left.into_iter().map(|id| check_name(id, "left"));
        Ok(Self {
            announcements: announcements.collect::<Result<_, _>>()?,
            left: left.collect::<Result<_, _>>()?,
            origins: origins.into_iter().map(StreamOrigin::try_from).collect::<Result<_, _>>()?,
        })
    }
}

impl From<ReplicaAnnouncement> for WireAnnouncement {
    fn from(announcement: ReplicaAnnouncement) -> Self {
        let ReplicaAnnouncement { replica, born, sequence, pool, .. } = announcement;
        let ReplicaAnnouncement { address, version, zone, slots, .. } = announcement;
        Self { replica, born, sequence, pool, address, version, zone, slots }
    }
}

impl TryFrom<WireAnnouncement> for ReplicaAnnouncement {
    type Error = WireError;

    /// Replicas that are leaving are never sent, and whether a replica may be reclaimed is not told to others.
    fn try_from(announcement: WireAnnouncement) -> Result<Self, WireError> {
        Ok(Self {
            replica: check_name(announcement.replica, "replica")?,
            born: announcement.born,
            sequence: announcement.sequence,
            pool: check_name(announcement.pool, "pool")?,
            address: check_instance(announcement.address)?,
            version: announcement.version.map(|one| check_name(one, "version")).transpose()?,
            zone: check_name(announcement.zone, "zone")?,
            slots: announcement.slots,
            is_leaving: false,
            is_spot: false,
        })
    }
}
