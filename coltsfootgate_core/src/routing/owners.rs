//! Chooses which instances own the endpoints of a pool.
//!
//! Load pattern: prompts of thousands of tokens share their first parts with a few others a second each, over a
//! hundred engines. Only an owner that sees all engines of a pool knows where each part is cached, and can keep
//! long prompts away from the engines of short ones.

use std::collections::{BTreeMap, BTreeSet};

use super::OwnerLocation;
use crate::ids::{EndpointId, InstanceId};
use crate::rendezvous::OwnerTable;
use crate::settings::PoolSettings;

/// Thousandths of a core.
const CORE_MILLI: u64 = 1000;

/// The instances that may own endpoints.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OwnerSet {
    /// Assigns keys to instances.
    pub table: OwnerTable,
    /// The location of each instance.
    pub locations: BTreeMap<InstanceId, OwnerLocation>,
    /// The instances that may use the most processor time.
    strongest: OwnerTable,
    /// The processor time of each of these, in thousandths of a core.
    processor_milli: u32,
}

impl OwnerSet {
    /// Creates the set of the given instances.
    pub fn new(locations: impl IntoIterator<Item = OwnerLocation>) -> Self {
        let locations = locations.into_iter().map(|location| (location.owner.clone(), location));
        let locations: BTreeMap<InstanceId, OwnerLocation> = locations.collect();
        let table = OwnerTable::new(locations.keys().cloned());
        let processors = locations.values().map(|location| location.processor_milli);
        let processor_milli = processors.max().unwrap_or(0);
        let strongest = locations.values().filter(|one| one.processor_milli == processor_milli);
        let strongest = OwnerTable::new(strongest.map(|location| location.owner.clone()));
        Self { table, locations, strongest, processor_milli }
    }

    /// The owner of each endpoint of a pool.
    ///
    /// Owners are the instances that may use the most processor time. One that has a whole core owns
    /// `owner_endpoints`, others in proportion; a pool has as few owners as that allows.
    pub fn endpoint_owners(
        &self,
        pool: &PoolSettings,
        owner_endpoints: u32,
    ) -> BTreeMap<EndpointId, InstanceId> {
        let for_each = u64::from(owner_endpoints) * u64::from(self.processor_milli) / CORE_MILLI;
        let owners = pool.endpoints.len() / for_each.max(1) as usize;
        let table = self.strongest.top_ranked(&pool.id, owners.max(1));
        table.balanced(pool.endpoints.iter().map(|endpoint| &endpoint.id))
    }

    /// The instances that may use the most processor time, ordered for a name.
    pub fn ranked_strongest(&self, name: &str) -> Vec<&InstanceId> {
        self.strongest.ranked(name)
    }

    /// The locations of the owners in `endpoint_owners`.
    pub fn owner_locations(
        &self,
        endpoint_owners: &BTreeMap<EndpointId, InstanceId>,
    ) -> Vec<OwnerLocation> {
        let owners: BTreeSet<&InstanceId> = endpoint_owners.values().collect();
        owners.into_iter().filter_map(|owner| self.locations.get(owner)).cloned().collect()
    }
}
