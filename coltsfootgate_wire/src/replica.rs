//! Wire types of what is known of replicas.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::roster::{ReplicaAnnouncement, ReplicaSnapshot};

use crate::error::WireError;
use crate::names::{check_instance, check_name};

/// Most replicas, and most endpoints that left, in one message.
const REPLICAS_MAX: usize = 4096;

#[derive(Deserialize, Serialize)]
pub(crate) struct WireKnowledge {
    announcements: Vec<WireAnnouncement>,
    left: Vec<Arc<str>>,
}

#[derive(Deserialize, Serialize)]
struct WireAnnouncement {
    replica: Arc<str>,
    born: u64,
    sequence: u64,
    pool: Arc<str>,
    address: Arc<str>,
    zone: Arc<str>,
    slots: u32,
}

impl From<ReplicaSnapshot> for WireKnowledge {
    fn from(knowledge: ReplicaSnapshot) -> Self {
        let announcements = knowledge.announcements.into_iter().map(WireAnnouncement::from);
        Self { announcements: announcements.collect(), left: knowledge.left }
    }
}

impl TryFrom<WireKnowledge> for ReplicaSnapshot {
    type Error = WireError;

    fn try_from(knowledge: WireKnowledge) -> Result<Self, WireError> {
        let WireKnowledge { announcements, left } = knowledge;
        if announcements.len() > REPLICAS_MAX || left.len() > REPLICAS_MAX {
            return Err(WireError::WrongValue("replicas"));
        }
        let announcements = announcements.into_iter().map(ReplicaAnnouncement::try_from);
        let left = left.into_iter().map(|id| check_name(id, "left"));
        Ok(Self {
            announcements: announcements.collect::<Result<_, _>>()?,
            left: left.collect::<Result<_, _>>()?,
        })
    }
}

impl From<ReplicaAnnouncement> for WireAnnouncement {
    fn from(announcement: ReplicaAnnouncement) -> Self {
        let ReplicaAnnouncement { replica, born, sequence, pool, address, zone, slots, .. } =
            announcement;
        Self { replica, born, sequence, pool, address, zone, slots }
    }
}

impl TryFrom<WireAnnouncement> for ReplicaAnnouncement {
    type Error = WireError;

    /// Only replicas that may serve are sent, so none of them is leaving.
    fn try_from(announcement: WireAnnouncement) -> Result<Self, WireError> {
        Ok(Self {
            replica: check_name(announcement.replica, "replica")?,
            born: announcement.born,
            sequence: announcement.sequence,
            pool: check_name(announcement.pool, "pool")?,
            address: check_instance(announcement.address)?,
            zone: check_name(announcement.zone, "zone")?,
            slots: announcement.slots,
            is_leaving: false,
        })
    }
}
