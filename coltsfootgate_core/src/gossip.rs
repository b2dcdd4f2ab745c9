//! Bounded spreading of news among instances.

use std::collections::VecDeque;

/// Keys whose news is still to be passed on, each a bounded number of times.
///
/// The news told least often goes first, so that fresh news is never held up by old.
#[derive(Clone, Debug)]
pub struct SpreadQueue<K> {
    entries: VecDeque<(K, u32)>,
}

impl<K> Default for SpreadQueue<K> {
    fn default() -> Self {
        Self { entries: VecDeque::new() }
    }
}

impl<K: Clone + PartialEq> SpreadQueue<K> {
    /// Puts a key first in line, to be told `sends` times from now on.
    pub fn push(&mut self, key: K, sends: u32) {
        self.entries.retain(|(known, _)| *known != key);
        self.entries.push_front((key, sends));
    }

    /// Forgets a key.
    pub fn remove(&mut self, key: &K) {
        self.entries.retain(|(known, _)| known != key);
    }

    /// Takes up to `limit` keys for one message.
    pub fn take(&mut self, limit: usize) -> Vec<K> {
        let count = limit.min(self.entries.len());
        let taken: Vec<_> = self.entries.drain(..count).collect();
        let keys = taken.iter().map(|(key, _)| key.clone()).collect();
        let again = taken.into_iter().filter(|(_, sends)| *sends > 1);
        self.entries.extend(again.map(|(key, sends)| (key, sends - 1)));
        keys
    }
}

/// How often news is told in a fleet of this size so that, with odds, it reaches all.
pub fn spread_count(instances: usize) -> u32 {
    const TELLINGS_PER_DOUBLING: u32 = 3;
    TELLINGS_PER_DOUBLING * (usize::BITS - instances.leading_zeros()).max(1)
}
