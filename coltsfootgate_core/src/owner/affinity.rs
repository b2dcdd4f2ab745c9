//! Remembers which endpoints saw the start of a prompt lately, as a hint at a warm cache.

use std::collections::{BTreeMap, HashMap};

/// How many prefixes are remembered.
const PREFIXES_MAX: usize = 4096;

/// A bounded map from the digest of a prompt's start to the place that saw it last.
#[derive(Clone, Debug)]
pub struct PrefixAffinity<P> {
    places: HashMap<u64, (u64, P)>,
    order: BTreeMap<u64, u64>,
    uses: u64,
}

impl<P> Default for PrefixAffinity<P> {
    fn default() -> Self {
        Self { places: HashMap::new(), order: BTreeMap::new(), uses: 0 }
    }
}

impl<P> PrefixAffinity<P> {
    /// The place that saw the prefix last.
    pub fn hint(&self, prefix: Option<u64>) -> Option<&P> {
        self.places.get(&prefix?).map(|(_, place)| place)
    }

    /// Notes that a place saw the prefix; the prefix unused for longest is forgotten.
    pub fn note(&mut self, prefix: Option<u64>, place: P) {
        let Some(prefix) = prefix else { return };
        self.uses += 1;
        if let Some((used, _)) = self.places.insert(prefix, (self.uses, place)) {
            self.order.remove(&used);
        }
        self.order.insert(self.uses, prefix);
        if self.order.len() > PREFIXES_MAX
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.places.remove(&oldest);
        }
    }
}
