//! The endpoints that may serve requests: those in the settings tree and those that announced
//! themselves.

mod board;
mod directory;
mod peers;
mod task;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use coltsfootgate_core::prelude::{EndpointSettings, PoolId, PoolSettings};

pub use self::board::SharedRoster;
pub use self::directory::{EndpointDirectory, EndpointList};
pub use self::peers::SnapshotPoller;
pub use self::task::EndpointsTask;
use crate::tree::ActiveTree;

/// The pools of the settings tree in force, with their current endpoints.
#[derive(Debug)]
pub struct ActivePools {
    /// The settings tree.
    pub active: Rc<ActiveTree>,
    pools: BTreeMap<PoolId, Arc<PoolSettings>>,
}

impl ActivePools {
    /// Adds the announced endpoints to the pools of a tree. Announced endpoints of other pools are
    /// ignored.
    pub fn new(
        active: Rc<ActiveTree>,
        announced: &BTreeMap<PoolId, Vec<EndpointSettings>>,
    ) -> Self {
        let merge = |pool: &Arc<PoolSettings>| match announced.get(&pool.id) {
            Some(endpoints) => Arc::new(with_endpoints(pool, endpoints)),
            None => pool.clone(),
        };
        let pools = active.tree.pools().map(|pool| (pool.id.clone(), merge(pool))).collect();
        Self { active, pools }
    }

    /// All pools, sorted by id.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<PoolSettings>> {
        self.pools.values()
    }

    /// The number of endpoints that each owner of a pool should own, if there are enough.
    pub fn owner_endpoints(&self) -> u32 {
        self.active.tree.deployment().owner_endpoints
    }

    /// The pool with an id.
    pub fn pool(&self, id: &str) -> Option<&Arc<PoolSettings>> {
        self.pools.get(id)
    }
}

fn with_endpoints(pool: &PoolSettings, endpoints: &[EndpointSettings]) -> PoolSettings {
    let mut merged = pool.clone();
    merged.endpoints.extend_from_slice(endpoints);
    merged.endpoints.sort_by(|left, right| left.id.cmp(&right.id));
    merged
}
