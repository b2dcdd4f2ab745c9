//! The prefix cache of the stand-in engine and the events that it publishes late.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Prompt tokens that are cached together.
const BLOCK_TOKENS: usize = 16;
/// How late an event is published.
const EVENT_LAG: Duration = Duration::from_secs(1);
/// One event in this many is never published.
const EVENT_GAP: u64 = 10;
const EVENTS_KEPT: usize = 4096;

#[derive(Debug)]
struct CacheEvent {
    sequence: u64,
    at: Instant,
    kind: &'static str,
    block: u64,
}

/// Blocks of prompt prefixes, of which the least recently used are evicted.
#[derive(Debug)]
pub(super) struct PrefixCache {
    blocks_max: usize,
    last_uses: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
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
        if self.last_sequence.is_multiple_of(EVENT_GAP) {
            return;
        }
        self.events.push_back(CacheEvent { sequence: self.last_sequence, at, kind, block });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// The events after a sequence number that are old enough to be seen.
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
