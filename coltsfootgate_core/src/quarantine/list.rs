//! The list of blocked parts, which all instances keep and merge.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{PartId, PartKey};
use crate::ids::PoolId;
use crate::rendezvous::stable_hash;

/// Time from the block of a part, or from the last trial, until a single request may try it again.
const TRIAL_DELAYS: &[Duration] = &[
    Duration::from_millis(200),
    Duration::from_secs(5),
    Duration::from_secs(20),
    Duration::from_secs(120),
];
/// Time after which callers may ask again for a part of which no trial is left.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(60);
/// Maximum number of entries; beyond it, those that changed least recently are dropped.
const ENTRIES_MAX: usize = 512;

/// Whether requests with a part are refused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BlockState {
    /// The part was served after it had been blocked.
    Released,
    /// Requests with the part are refused.
    Blocked,
}

/// What is known of a part that was blocked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockEntry {
    /// Increases with each change.
    pub revision: u32,
    /// Whether the part is still blocked.
    pub state: BlockState,
    /// The number of endpoints that had crashed under it when it was blocked.
    pub crashes: u32,
    /// The number of requests that were sent as trials since.
    pub trials: u32,
    /// When it was blocked, released or last tried.
    pub since: Instant,
}

impl BlockEntry {
    /// When the next trial may be sent; `None` if none is left.
    fn trial_due(&self) -> Option<Instant> {
        let delay = TRIAL_DELAYS.get(self.trials as usize)?;
        Some(self.since + *delay)
    }

    /// Whether a request with the part may be sent as a trial, if the owner of the list agrees.
    fn is_trial_due(&self, now: Instant) -> bool {
        self.trial_due().is_some_and(|due| now >= due)
    }

    /// The delay after which a request with the part may be served.
    fn retry_delay(&self, now: Instant) -> Duration {
        self.trial_due().map_or(RETRY_DELAY_MAX, |due| due.saturating_duration_since(now))
    }

    /// The order in which entries of the same part replace each other.
    fn rank(&self) -> (u32, BlockState, u32) {
        (self.revision, self.state, self.trials)
    }
}

/// Whether a request with some parts may be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PromptVerdict {
    /// No part is blocked.
    Free,
    /// A part is blocked, and this request may try it if the owner of the list agrees.
    Trial(PartKey),
    /// A part is blocked.
    Blocked {
        /// The part.
        key: PartKey,
        /// The number of endpoints that had crashed under it when it was blocked.
        crashes: u32,
        /// The delay after which a request with the part may be served.
        retry_delay: Duration,
    },
}

/// What instances tell each other about parts of prompts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineNotice {
    /// The entries of the sender's list.
    pub entries: Vec<(PartKey, BlockEntry)>,
    /// The parts of which the sender wants to know whether they are served.
    pub watched: Vec<PartKey>,
}

/// The parts that were blocked, and those that were released again.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BlockList {
    entries: BTreeMap<PartKey, BlockEntry>,
}

impl BlockList {
    /// The first of some parts that is blocked in a pool.
    pub fn find(&self, pool: &PoolId, parts: &[PartId]) -> Option<(&PartKey, &BlockEntry)> {
        if self.entries.is_empty() {
            return None;
        }
        parts.iter().find_map(|part| {
            let key = PartKey { pool: pool.clone(), part: *part };
            let found = self.entries.get_key_value(&key);
            found.filter(|(_, entry)| entry.state == BlockState::Blocked)
        })
    }

    /// Whether a request with some parts may be sent to a pool.
    ///
    /// A request tries a blocked part only if no other part of it is blocked or `watched`, since its end
    /// would not show which of them is the cause.
    pub fn verdict(
        &self,
        watched: &BTreeSet<PartKey>,
        pool: &PoolId,
        parts: &[PartId],
        now: Instant,
    ) -> PromptVerdict {
        let Some((key, entry)) = self.find(pool, parts) else { return PromptVerdict::Free };
        let mut others = parts.iter().filter(|part| **part != key.part);
        let is_free = |part: &PartId| {
            let other = PartKey { pool: pool.clone(), part: *part };
            !watched.contains(&other) && self.find(pool, &[*part]).is_none()
        };
        if entry.is_trial_due(now) && others.all(is_free) {
            return PromptVerdict::Trial(key.clone());
        }
        PromptVerdict::Blocked {
            key: key.clone(),
            crashes: entry.crashes,
            retry_delay: entry.retry_delay(now),
        }
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = (&PartKey, &BlockEntry)> {
        self.entries.iter()
    }

    /// The number of blocked parts.
    pub fn blocked_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.state == BlockState::Blocked).count()
    }

    /// Blocks a part under which endpoints crashed.
    pub fn block(&mut self, key: PartKey, crashes: usize, now: Instant) {
        let known = self.entries.get(&key);
        let revision = known.map_or(0, |entry| entry.revision) + 1;
        // A part that crashes endpoints again after it was released gets no more trials than before.
        let trials = known.map_or(0, |entry| entry.trials);
        let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
        let state = BlockState::Blocked;
        self.entries.insert(key, BlockEntry { revision, state, crashes, trials, since: now });
        self.drop_excess();
    }

    /// Allows a single request with a blocked part, if a trial is due; returns whether it is.
    pub fn take_trial(&mut self, key: &PartKey, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return false };
        if entry.state != BlockState::Blocked || !entry.is_trial_due(now) {
            return false;
        }
        entry.revision += 1;
        entry.trials += 1;
        entry.since = now;
        true
    }

    /// Releases a blocked part after a request with it was served since; returns whether it was blocked.
    pub fn release(&mut self, key: &PartKey, served_at: Instant, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return false };
        if entry.state != BlockState::Blocked || served_at <= entry.since {
            return false;
        }
        entry.revision += 1;
        entry.state = BlockState::Released;
        entry.since = now;
        true
    }

    /// Merges the entries of another instance; returns the keys of those that changed.
    pub fn merge(&mut self, entries: Vec<(PartKey, BlockEntry)>) -> Vec<PartKey> {
        let mut changed = Vec::new();
        for (key, entry) in entries {
            let is_newer = self.entries.get(&key).is_none_or(|known| known.rank() < entry.rank());
            if is_newer {
                changed.push(key.clone());
                self.entries.insert(key, entry);
            }
        }
        self.drop_excess();
        changed
    }

    /// A digest that differs between lists with different entries.
    pub fn digest(&self) -> u64 {
        let digests = self.entries.iter().map(|(key, entry)| {
            let (revision, state, trials) = entry.rank();
            let text = format!("{} {} {revision} {state:?} {trials}", key.pool, key.part);
            stable_hash(text.as_bytes())
        });
        digests.fold(0, |sum, digest| sum ^ digest)
    }

    fn drop_excess(&mut self) {
        while self.entries.len() > ENTRIES_MAX {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| (entry.state, entry.since));
            let Some((key, _)) = oldest else { return };
            let key = key.clone();
            self.entries.remove(&key);
        }
    }
}
