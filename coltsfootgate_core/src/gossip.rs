//! A queue of updates that instances gossip, each a bounded number of times.

use std::collections::VecDeque;

/// Keys of updates that remain to be sent, each with the number of sends left.
///
/// New updates go to the front and sent ones to the back, so that old updates don't delay new
/// ones.
#[derive(Clone, Debug)]
pub struct GossipQueue<K> {
    entries: VecDeque<(K, u32)>,
}

impl<K> Default for GossipQueue<K> {
    fn default() -> Self {
        Self { entries: VecDeque::new() }
    }
}

impl<K: Clone + PartialEq> GossipQueue<K> {
    /// Puts a key at the front, to be sent `sends` times from now on.
    pub fn push(&mut self, key: K, sends: u32) {
        self.entries.retain(|(known, _)| *known != key);
        self.entries.push_front((key, sends));
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &K) {
        self.entries.retain(|(known, _)| known != key);
    }

    /// Returns up to `limit` keys for one message and counts one send for each.
    pub fn take(&mut self, limit: usize) -> Vec<K> {
        let count = limit.min(self.entries.len());
        let taken: Vec<_> = self.entries.drain(..count).collect();
        let keys = taken.iter().map(|(key, _)| key.clone()).collect();
        let unfinished = taken.into_iter().filter(|(_, sends)| *sends > 1);
        self.entries.extend(unfinished.map(|(key, sends)| (key, sends - 1)));
        keys
    }
}

/// How often each instance sends an update so that it reaches a fleet of this size with high
/// probability.
pub fn transmit_count(instances: usize) -> u32 {
    const SENDS_PER_DOUBLING: u32 = 3;
    SENDS_PER_DOUBLING * (usize::BITS - instances.leading_zeros()).max(1)
}
