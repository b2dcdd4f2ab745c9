//! Maps prompt prefixes to the location that probably has them cached.

use std::collections::{BTreeMap, HashMap};

/// Maximum number of prefixes in the map.
const PREFIXES_MAX: usize = 4096;
/// Consecutive uses of a prefix at other locations after which its entry moves.
const MISSES_MAX: u32 = 4;

/// A bounded least-recently-used map from the digest of a prompt prefix to a location.
#[derive(Clone, Debug)]
pub struct PrefixAffinity<L> {
    prefixes: HashMap<u64, PrefixLocation<L>>,
    /// Prefixes by their last use, oldest first.
    recency: BTreeMap<u64, u64>,
    uses: u64,
}

#[derive(Clone, Debug)]
struct PrefixLocation<L> {
    location: L,
    last_use: u64,
    misses: u32,
}

impl<L> Default for PrefixAffinity<L> {
    fn default() -> Self {
        Self { prefixes: HashMap::new(), recency: BTreeMap::new(), uses: 0 }
    }
}

impl<L: PartialEq> PrefixAffinity<L> {
    /// The location that probably has the prefix cached.
    pub fn hint(&self, prefix: Option<u64>) -> Option<&L> {
        self.prefixes.get(&prefix?).map(|entry| &entry.location)
    }

    /// Records a use of the prefix at a location; a full map evicts the least recently used prefix.
    ///
    /// The entry moves only after several consecutive uses elsewhere, so that a location that is
    /// briefly overloaded keeps its prefix.
    pub fn record(&mut self, prefix: Option<u64>, location: L) {
        let Some(prefix) = prefix else { return };
        self.uses += 1;
        let last_use = self.uses;
        match self.prefixes.get_mut(&prefix) {
            Some(entry) => {
                self.recency.remove(&entry.last_use);
                entry.record(location, last_use);
            }
            None => {
                self.prefixes.insert(prefix, PrefixLocation { location, last_use, misses: 0 });
            }
        }
        self.recency.insert(last_use, prefix);
        if self.recency.len() > PREFIXES_MAX
            && let Some((_, oldest)) = self.recency.pop_first()
        {
            self.prefixes.remove(&oldest);
        }
    }
}

impl<L: PartialEq> PrefixLocation<L> {
    fn record(&mut self, location: L, last_use: u64) {
        self.last_use = last_use;
        self.misses = if self.location == location { 0 } else { self.misses + 1 };
        if self.misses >= MISSES_MAX {
            self.location = location;
            self.misses = 0;
        }
    }
}
