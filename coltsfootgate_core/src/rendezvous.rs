//! Assigns keys to instances by rendezvous hashing (highest random weight).

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::ids::InstanceId;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes bytes to the same number on every machine and in every release: FNV-1a, then the
/// finalizer of SplitMix64.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let folded = bytes
        .iter()
        .fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    mix_bits(folded)
}

/// The finalizer of SplitMix64, which distributes similar inputs over the whole range.
fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Maps keys to owners among a set of instances.
///
/// Tables of the same set give the same owners on every instance. When an instance joins or leaves,
/// only the keys that it owns change their owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OwnerTable {
    instances: Vec<(u64, InstanceId)>,
}

impl OwnerTable {
    /// Creates a table of the given instances; order and duplicates do not matter.
    pub fn new(instances: impl IntoIterator<Item = InstanceId>) -> Self {
        let mut instances: Vec<_> =
            instances.into_iter().map(|id| (stable_hash(id.as_bytes()), id)).collect();
        instances.sort();
        instances.dedup();
        Self { instances }
    }

    /// The instance that owns the key, or `None` if the table is empty.
    pub fn owner(&self, key: &str) -> Option<&InstanceId> {
        let key_hash = stable_hash(key.as_bytes());
        self.instances
            .iter()
            .max_by_key(|(hash, _)| mix_bits(key_hash ^ hash.rotate_left(32)))
            .map(|(_, id)| id)
    }

    /// All instances, ordered so that each would own the key if those before it left.
    pub fn ranked(&self, key: &str) -> Vec<&InstanceId> {
        let key_hash = stable_hash(key.as_bytes());
        let mut ranked: Vec<_> = self
            .instances
            .iter()
            .map(|(hash, id)| (mix_bits(key_hash ^ hash.rotate_left(32)), id))
            .collect();
        ranked.sort_by_key(|(weight, _)| Reverse(*weight));
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    /// Assigns an owner to each key; no instance owns more than an even share, rounded up.
    ///
    /// The same instances and keys give the same owners everywhere. A key goes to the first
    /// instance in its ranking that is below the limit, so more keys change their owner than with
    /// [`OwnerTable::owner`] when an instance joins or leaves.
    pub fn balanced<'a>(
        &self,
        keys: impl IntoIterator<Item = &'a Arc<str>>,
    ) -> BTreeMap<Arc<str>, InstanceId> {
        let mut keys: Vec<&Arc<str>> = keys.into_iter().collect();
        keys.sort();
        keys.dedup();
        let per_owner_max = keys.len().div_ceil(self.len().max(1));
        let mut counts: HashMap<&InstanceId, usize> = HashMap::new();
        let mut owners = BTreeMap::new();
        for key in keys {
            let ranked = self.ranked(key);
            let Some(owner) = ranked.into_iter().find(|id| counts.get(id) < Some(&per_owner_max))
            else {
                continue;
            };
            *counts.entry(owner).or_default() += 1;
            owners.insert(key.clone(), owner.clone());
        }
        owners
    }

    /// A table of the first `count` instances in the ranking of a name.
    pub fn top_ranked(&self, name: &str, count: usize) -> Self {
        Self::new(self.ranked(name).into_iter().take(count).cloned())
    }

    /// The instances in the table.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.instances.iter().map(|(_, id)| id)
    }

    /// Whether the table holds an instance.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        let hash = stable_hash(instance.as_bytes());
        self.instances.binary_search_by(|(known, id)| (*known, id).cmp(&(hash, instance))).is_ok()
    }

    /// How many instances the table holds.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether the table holds no instance.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }
}
