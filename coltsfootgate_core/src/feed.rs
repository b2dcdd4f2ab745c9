//! Decides which instances read the platform's state themselves, and whom the others follow.
//!
//! Load pattern: hundreds of instances that each watch the platform's store cost more calls the larger the fleet is,
//! although a few in each availability zone hear all that the others need.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::{InstanceId, ZoneName};
use crate::rendezvous::{OwnerTable, stable_hash};
use crate::routing::{OwnerLocation, OwnerSet};

/// Instances of a zone that read.
const READERS_PER_ZONE: usize = 2;
/// Largest number of instances of a zone that all read themselves.
const SMALL_ZONE: usize = 3;
/// The name by which the instances of a zone are ordered.
const RANKING_NAME: &str = "feed";
/// Time for which a reader that did not answer is not asked.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Number of changes that a log keeps.
const CHANGES_MAX: usize = 2048;

/// Revision of the platform's state.
pub type FeedRevision = u64;

/// Whom an instance follows.
#[derive(Clone, Debug, Default)]
pub struct FeedChoice {
    /// The readers of the zone, those that this instance asks first before the others; empty if it reads itself.
    readers: Vec<InstanceId>,
    /// Whether this instance reads for others.
    is_followed: bool,
    avoided: HashMap<InstanceId, Instant>,
}

impl FeedChoice {
    /// Finds the readers of a zone among the live instances, alike at all instances with the same view.
    pub fn update(
        &mut self,
        own: &InstanceId,
        zone: &ZoneName,
        locations: impl IntoIterator<Item = OwnerLocation>,
    ) {
        let of_zone = locations.into_iter().filter(|location| location.zone == *zone);
        let of_zone: Vec<OwnerLocation> = of_zone.collect();
        self.readers.clear();
        self.is_followed = false;
        if of_zone.len() <= SMALL_ZONE {
            return;
        }
        let set = OwnerSet::new(of_zone);
        let strongest = set.ranked_strongest(RANKING_NAME).into_iter().cloned();
        // Where few are strong, others read beside them.
        let others = set.table.ranked(RANKING_NAME).into_iter().cloned();
        let mut readers: Vec<InstanceId> = strongest.chain(others).collect();
        let mut seen = OwnerTable::default();
        readers.retain(|reader| {
            let is_new = !seen.contains(reader);
            seen = OwnerTable::new(seen.instances().cloned().chain([reader.clone()]));
            is_new
        });
        readers.truncate(READERS_PER_ZONE);
        self.is_followed = readers.contains(own);
        if !self.is_followed {
            let first = stable_hash(own.as_bytes()) as usize % readers.len().max(1);
            readers.rotate_left(first);
            self.readers = readers;
        }
    }

    /// The reader to ask now; `None` if this instance reads itself, or none of them answers.
    pub fn reader(&self, now: Instant) -> Option<&InstanceId> {
        let is_avoided =
            |reader: &InstanceId| self.avoided.get(reader).is_some_and(|until| now < *until);
        self.readers.iter().find(|reader| !is_avoided(reader))
    }

    /// Whether this instance follows others.
    pub fn is_follower(&self) -> bool {
        !self.readers.is_empty()
    }

    /// Whether others follow this instance.
    pub fn is_followed(&self) -> bool {
        self.is_followed
    }

    /// Records that a reader did not answer, or knows too little.
    pub fn record_failure(&mut self, reader: &InstanceId, now: Instant) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(reader.clone(), now + AVOID_TIME);
    }
}

/// The latest changes that a reader saw, for those that follow it.
///
/// Positions of different eras of the platform's store are never compared.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    era: u64,
    /// All changes after this revision, up to `end`, are in the log.
    start: FeedRevision,
    end: FeedRevision,
    changes: VecDeque<(FeedRevision, T)>,
    is_complete: bool,
}

impl<T> Default for ChangeLog<T> {
    fn default() -> Self {
        Self { era: 0, start: 0, end: 0, changes: VecDeque::new(), is_complete: false }
    }
}

impl<T: Clone> ChangeLog<T> {
    /// Records all changes after `after`, up to `end`.
    pub fn record(
        &mut self,
        era: u64,
        after: FeedRevision,
        changes: impl IntoIterator<Item = (FeedRevision, T)>,
        end: FeedRevision,
    ) {
        if !self.is_complete || era != self.era || after != self.end {
            *self = Self { era, start: after, end: after, is_complete: true, ..Self::default() };
        }
        self.changes.extend(changes);
        self.end = end.max(after);
        while self.changes.len() > CHANGES_MAX {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.start = revision;
            }
        }
    }

    /// Forgets all, since changes may have been missed.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// The changes after a revision of an era, with the revision up to which they are complete; `None` if some may be
    /// missing here.
    pub fn since(
        &self,
        era: u64,
        after: FeedRevision,
    ) -> Option<(Vec<(FeedRevision, T)>, FeedRevision)> {
        if !self.is_complete || era != self.era || after < self.start {
            return None;
        }
        let newer = self.changes.iter().filter(|(revision, _)| *revision > after);
        Some((newer.cloned().collect(), self.end.max(after)))
    }
}
