//! The prefix cache of the stand-in engine and its delayed, lossy event log.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Prompt tokens per cached block.
const BLOCK_TOKENS: usize = 16;
/// Time from an event until it is visible in the log.
const EVENT_LAG: Duration = Duration::from_secs(1);
/// Every event whose sequence number is a multiple of this is lost.
const LOST_EVENT_INTERVAL: u64 = 10;
/// Number of events that the log keeps.
const EVENTS_MAX: usize = 4096;

#[derive(Debug)]
struct CacheEvent {
    sequence: u64,
    at: Instant,
    kind: &'static str,
    block: u64,
}

/// LRU cache of blocks of prompt prefixes; a block's key is the hash of the prompt up to its end.
#[derive(Debug)]
pub(super) struct PrefixCache {
    blocks_max: usize,
    /// Value of `uses` at the last use, by block.
    last_uses: HashMap<u64, u64>,
    /// Block by the value of `uses` at its last use.
    by_last_use: BTreeMap<u64, u64>,
    /// Number of block lookups, which orders the blocks by use.
    uses: u64,
    events: VecDeque<CacheEvent>,
    last_sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(blocks_max: usize) -> Self {
        Self {
            blocks_max,
            last_uses: HashMap::new(),
            by_last_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            last_sequence: 0,
        }
    }

    /// Stores a prompt and returns how many of its tokens had not been cached.
    pub(super) fn store(&mut self, prompt: &str, now: Instant) -> usize {
        let words: Vec<_> = prompt.split_whitespace().collect();
        let mut hasher = DefaultHasher::new();
        let mut cached = 0;
        for block_words in words.chunks_exact(BLOCK_TOKENS) {
            block_words.hash(&mut hasher);
            if self.touch(hasher.finish(), now) {
                cached += BLOCK_TOKENS;
            }
        }
        words.len() - cached
    }

    /// Marks a block as used and stores it if it is missing; returns whether it was cached.
    fn touch(&mut self, block: u64, now: Instant) -> bool {
        self.uses += 1;
        self.by_last_use.insert(self.uses, block);
        if let Some(last_use) = self.last_uses.insert(block, self.uses) {
            self.by_last_use.remove(&last_use);
            return true;
        }
        self.publish("stored", block, now);
        if self.last_uses.len() > self.blocks_max
            && let Some((_, evicted)) = self.by_last_use.pop_first()
        {
            self.last_uses.remove(&evicted);
            self.publish("evicted", evicted, now);
        }
        false
    }

    fn publish(&mut self, kind: &'static str, block: u64, at: Instant) {
        self.last_sequence += 1;
        if self.last_sequence.is_multiple_of(LOST_EVENT_INTERVAL) {
            return;
        }
        self.events.push_back(CacheEvent { sequence: self.last_sequence, at, kind, block });
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// The visible events after a sequence number, as JSON.
    pub(super) fn events_after(&self, after: u64, now: Instant) -> Value {
        let is_visible =
            |event: &&CacheEvent| event.sequence > after && now - event.at >= EVENT_LAG;
        let visible: Vec<_> = self.events.iter().filter(is_visible).collect();
        let next = visible.last().map_or(after, |event| event.sequence);
        let events: Vec<_> = visible
            .iter()
            .map(|event| {
                let prefix = format!("{:016x}", event.block);
                json!({"sequence": event.sequence, "kind": event.kind, "prefix": prefix})
            })
            .collect();
        json!({"next": next, "events": events})
    }
}
