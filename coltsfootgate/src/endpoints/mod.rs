//! The endpoints that may serve now: those of the tree and those that announced themselves.

mod board;
mod directory;
mod peers;
mod task;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use coltsfootgate_core::prelude::{EndpointSettings, PoolId, PoolSettings};

pub use self::board::SharedRoster;
pub use self::directory::{EndpointDirectory, EndpointList, EndpointNotice};
pub use self::peers::SnapshotPoller;
pub use self::task::EndpointsTask;
use crate::tree::ActiveTree;

/// The pools of a tree with the endpoints of now.
#[derive(Debug)]
pub struct ActivePools {
    /// The tree.
    pub active: Rc<ActiveTree>,
    pools: BTreeMap<PoolId, Arc<PoolSettings>>,
}

impl ActivePools {
    /// Joins the pools of a tree with the endpoints that announced themselves.
    pub fn new(
        active: Rc<ActiveTree>,
        announced: &BTreeMap<PoolId, Vec<EndpointSettings>>,
    ) -> Self {
        let join = |pool: &Arc<PoolSettings>| match announced.get(&pool.id) {
            Some(more) => Arc::new(with_endpoints(pool, more)),
            None => pool.clone(),
        };
        let pools = active.tree.pools().map(|pool| (pool.id.clone(), join(pool))).collect();
        Self { active, pools }
    }

    /// All pools, sorted by branch.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<PoolSettings>> {
        self.pools.values()
    }

    /// Endpoints that one owner should have to choose among.
    pub fn owner_endpoints(&self) -> u32 {
        self.active.tree.deployment().owner_endpoints
    }

    /// The pool with this branch.
    pub fn pool(&self, id: &str) -> Option<&Arc<PoolSettings>> {
        self.pools.get(id)
    }
}

fn with_endpoints(pool: &PoolSettings, more: &[EndpointSettings]) -> PoolSettings {
    let mut joined = pool.clone();
    joined.endpoints.extend_from_slice(more);
    joined.endpoints.sort_by(|left, right| left.id.cmp(&right.id));
    joined
}
