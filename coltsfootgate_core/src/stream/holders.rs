//! Chooses the instances that keep the record of a stream.
//!
//! Load pattern: instances come and go while streams last, also all of them one after the other, so that none of
//! those that held a record at first is left at its end.

use crate::ids::InstanceId;
use crate::rendezvous::{OwnerTable, stable_hash};

use super::StreamKey;

/// Number of groups of streams; those of one group are recorded at the same instances, so that an
/// instance of a large fleet needs connections to a part of the others only.
pub const STREAM_GROUPS: u64 = 32;
/// Number of instances that keep the records of a group.
pub const KEEPERS: usize = 2;
/// Number of live instances, and as many leaving ones, that are asked for a record; more than keep one, since
/// some may have joined or failed since it was made.
const ASKED_INSTANCES: usize = 4;

/// A group of streams whose records the same instances keep.
pub type StreamGroup = u64;

/// The group of a stream.
pub fn stream_group(key: &StreamKey) -> StreamGroup {
    stable_hash(key.stream.as_bytes()) % STREAM_GROUPS
}

/// The instances that may hold records, as one instance sees them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordHolders {
    /// The live instances.
    pub live: OwnerTable,
    /// The instances that are leaving, and answer until they have left.
    pub leaving: OwnerTable,
    /// Whether every instance that may run is one of these.
    pub is_complete: bool,
}

impl RecordHolders {
    /// The other instances that hold, or should hold, the records of a group: those that are asked for one, and in
    /// this order those at which a new one is recorded. Leaving ones come last.
    pub fn candidates(&self, group: StreamGroup, own: &InstanceId) -> Vec<InstanceId> {
        let others = |table| ranked(table, group).into_iter().filter(|id| *id != own);
        let live = others(&self.live).take(ASKED_INSTANCES);
        live.chain(others(&self.leaving).take(ASKED_INSTANCES)).cloned().collect()
    }

    /// Whether an instance is one at which others record the streams of a group.
    pub fn is_target(&self, group: StreamGroup, instance: &InstanceId) -> bool {
        // The instance that records a stream may be one of those that keep it, and counts for nothing then.
        ranked(&self.live, group).into_iter().take(KEEPERS + 1).any(|id| id == instance)
    }

    /// The instances that keep the records of a group.
    pub fn keepers(&self, group: StreamGroup) -> Vec<InstanceId> {
        ranked(&self.live, group).into_iter().take(KEEPERS).cloned().collect()
    }

    /// Whether an instance is the first of those that keep the records of a group, and writes its page.
    pub fn is_first(&self, group: StreamGroup, instance: &InstanceId) -> bool {
        self.keepers(group).first() == Some(instance)
    }

    /// Whether an instance keeps the records of a group.
    pub fn keeps(&self, group: StreamGroup, instance: &InstanceId) -> bool {
        self.keepers(group).contains(instance)
    }

    /// The instances to which `own` passes its records of a group on: those that keep them now, and did not
    /// according to `earlier`.
    pub fn successors(
        &self,
        earlier: &Self,
        group: StreamGroup,
        own: &InstanceId,
    ) -> Vec<InstanceId> {
        let before = earlier.keepers(group);
        let mut gained = self.keepers(group);
        gained.retain(|id| id != own && !before.contains(id));
        if gained.is_empty() || !self.passes_on(&before, own) {
            return Vec::new();
        }
        gained
    }

    /// Whether `own` passes its records of a group on to an instance that has lost them in a restart.
    pub fn replaces_records(
        &self,
        group: StreamGroup,
        restarted: &InstanceId,
        own: &InstanceId,
    ) -> bool {
        let mut others = self.keepers(group);
        let keepers = others.len();
        others.retain(|id| id != restarted);
        others.len() < keepers && self.passes_on(&others, own)
    }

    /// Whether `own` passes on records that some instances kept: it is one of these, is leaving, or none of them
    /// is there any more. The others leave it to them, so that a change moves each record a few times only.
    fn passes_on(&self, keepers: &[InstanceId], own: &InstanceId) -> bool {
        let is_there = |id: &InstanceId| self.live.contains(id) || self.leaving.contains(id);
        self.leaving.contains(own) || keepers.contains(own) || !keepers.iter().any(is_there)
    }
}

fn ranked(instances: &OwnerTable, group: StreamGroup) -> Vec<&InstanceId> {
    instances.ranked(&format!("streams.{group}"))
}
