//! Remembers which places saw the start of a prompt, as a hint at a warm cache.

use std::collections::{BTreeMap, HashMap};

/// How many prefixes are remembered.
const PREFIXES_MAX: usize = 4096;
/// Uses of a prefix elsewhere in a row after which its place changes.
const MISSES_MAX: u32 = 4;

/// A bounded map from the digest of a prompt's start to a place that saw it.
#[derive(Clone, Debug)]
pub struct PrefixAffinity<P> {
    prefixes: HashMap<u64, PrefixPlace<P>>,
    order: BTreeMap<u64, u64>,
    uses: u64,
}

#[derive(Clone, Debug)]
struct PrefixPlace<P> {
    place: P,
    last_use: u64,
    misses: u32,
}

impl<P> Default for PrefixAffinity<P> {
    fn default() -> Self {
        Self { prefixes: HashMap::new(), order: BTreeMap::new(), uses: 0 }
    }
}

impl<P: PartialEq> PrefixAffinity<P> {
    /// The place that has probably cached the prefix.
    pub fn hint(&self, prefix: Option<u64>) -> Option<&P> {
        self.prefixes.get(&prefix?).map(|known| &known.place)
    }

    /// Notes that a place saw the prefix; the prefix unused for longest is forgotten.
    ///
    /// A place that was only passed over for a moment keeps its prefix.
    pub fn note(&mut self, prefix: Option<u64>, place: P) {
        let Some(prefix) = prefix else { return };
        self.uses += 1;
        let last_use = self.uses;
        match self.prefixes.get_mut(&prefix) {
            Some(known) => {
                self.order.remove(&known.last_use);
                known.note(place, last_use);
            }
            None => {
                self.prefixes.insert(prefix, PrefixPlace { place, last_use, misses: 0 });
            }
        }
        self.order.insert(last_use, prefix);
        if self.order.len() > PREFIXES_MAX
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.prefixes.remove(&oldest);
        }
    }
}

impl<P: PartialEq> PrefixPlace<P> {
    fn note(&mut self, place: P, last_use: u64) {
        self.last_use = last_use;
        self.misses = if self.place == place { 0 } else { self.misses + 1 };
        if self.misses >= MISSES_MAX {
            self.place = place;
            self.misses = 0;
        }
    }
}
