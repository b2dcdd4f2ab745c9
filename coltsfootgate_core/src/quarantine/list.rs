//! The list of blocked causes of crashes, which all instances keep and merge.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{CauseKey, CrashCause};
use crate::ids::PoolId;
use crate::rendezvous::stable_hash;

/// Time from the block of a cause, or from the last trial, until a single request may try it again. Three trials
/// follow soon; a cause that crashed endpoints in all of them rests.
const TRIAL_DELAYS: &[Duration] = &[
    Duration::from_millis(200),
    Duration::from_secs(5),
    Duration::from_secs(20),
    Duration::from_secs(3600),
];
/// Maximum time after which callers may ask again; a cause may be released before its next trial.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(60);
/// Maximum number of entries; beyond it, those that changed least recently are dropped.
const ENTRIES_MAX: usize = 512;

/// Whether requests with a cause are refused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BlockState {
    /// A request with it was served after it had been blocked.
    Released,
    /// Requests with it are refused.
    Blocked,
}

/// What is known of a cause that was blocked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockEntry {
    /// Increases with each change.
    pub revision: u32,
    /// Whether it is still blocked.
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

    /// Whether a request with it may be sent as a trial, if the owner of the list agrees.
    fn is_trial_due(&self, now: Instant) -> bool {
        self.trial_due().is_some_and(|due| now >= due)
    }

    /// The delay after which a request with it may be served.
    fn retry_delay(&self, now: Instant) -> Duration {
        let due = self.trial_due().map(|due| due.saturating_duration_since(now));
        due.map_or(RETRY_DELAY_MAX, |delay| delay.min(RETRY_DELAY_MAX))
    }

    /// The order in which entries of the same cause replace each other.
    fn rank(&self) -> (u32, BlockState, u32) {
        (self.revision, self.state, self.trials)
    }
}

/// Whether a request may be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendVerdict {
    /// Nothing in it is blocked.
    Free,
    /// A cause is blocked, and this request may try it if the owner of the list agrees.
    Trial(CauseKey),
    /// A cause is blocked.
    Blocked {
        /// The cause.
        key: CauseKey,
        /// The number of endpoints that had crashed under it when it was blocked.
        crashes: u32,
        /// The delay after which a request with it may be served.
        retry_delay: Duration,
    },
}

/// What instances tell each other about causes of crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineNotice {
    /// The entries of the sender's list.
    pub entries: Vec<(CauseKey, BlockEntry)>,
    /// The causes of which the sender wants to know whether they are served.
    pub watched: Vec<CauseKey>,
}

/// The causes that were blocked, and those that were released again.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BlockList {
    entries: BTreeMap<CauseKey, BlockEntry>,
}

impl BlockList {
    /// The first of some possible causes that is blocked in a pool.
    pub fn find(&self, pool: &PoolId, causes: &[CrashCause]) -> Option<(&CauseKey, &BlockEntry)> {
        if self.entries.is_empty() {
            return None;
        }
        causes.iter().find_map(|cause| {
            let key = CauseKey { pool: pool.clone(), cause: *cause };
            let found = self.entries.get_key_value(&key);
            found.filter(|(_, entry)| entry.state == BlockState::Blocked)
        })
    }

    /// Whether a request with some possible causes may be sent to a pool.
    ///
    /// A request tries a blocked cause only if nothing else in it is blocked or `watched`, since its end
    /// would not show which of them is the cause.
    pub fn verdict(
        &self,
        watched: &BTreeSet<CauseKey>,
        pool: &PoolId,
        causes: &[CrashCause],
        now: Instant,
    ) -> SendVerdict {
        let Some((key, entry)) = self.find(pool, causes) else { return SendVerdict::Free };
        let mut others = causes.iter().filter(|cause| **cause != key.cause);
        let is_free = |cause: &CrashCause| {
            let other = CauseKey { pool: pool.clone(), cause: *cause };
            !watched.contains(&other) && self.find(pool, &[*cause]).is_none()
        };
        if entry.is_trial_due(now) && others.all(is_free) {
            return SendVerdict::Trial(key.clone());
        }
        SendVerdict::Blocked {
            key: key.clone(),
            crashes: entry.crashes,
            retry_delay: entry.retry_delay(now),
        }
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = (&CauseKey, &BlockEntry)> {
        self.entries.iter()
    }

    /// The number of blocked causes.
    pub fn blocked_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.state == BlockState::Blocked).count()
    }

    /// Blocks a cause under which endpoints crashed.
    pub fn block(&mut self, key: CauseKey, crashes: usize, now: Instant) {
        let known = self.entries.get(&key);
        let revision = known.map_or(0, |entry| entry.revision) + 1;
        // A cause that crashes endpoints again after it was released gets no more trials than before.
        let trials = known.map_or(0, |entry| entry.trials);
        let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
        let state = BlockState::Blocked;
        self.entries.insert(key, BlockEntry { revision, state, crashes, trials, since: now });
        self.drop_excess();
    }

    /// Whether a single request with a blocked cause may try it.
    pub fn is_trial_due(&self, key: &CauseKey, now: Instant) -> bool {
        let entry = self.entries.get(key).filter(|entry| entry.state == BlockState::Blocked);
        entry.is_some_and(|entry| entry.is_trial_due(now))
    }

    /// Allows a single request with a blocked cause, if a trial is due; returns whether it is.
    pub fn take_trial(&mut self, key: &CauseKey, now: Instant) -> bool {
        if !self.is_trial_due(key, now) {
            return false;
        }
        let Some(entry) = self.entries.get_mut(key) else { return false };
        entry.revision += 1;
        entry.trials += 1;
        entry.since = now;
        true
    }

    /// Releases a blocked cause after a request with it was served since; returns whether it was blocked.
    pub fn release(&mut self, key: &CauseKey, served_at: Instant, now: Instant) -> bool {
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
    pub fn merge(&mut self, entries: Vec<(CauseKey, BlockEntry)>) -> Vec<CauseKey> {
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
            let text = format!("{} {} {revision} {state:?} {trials}", key.pool, key.cause);
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
