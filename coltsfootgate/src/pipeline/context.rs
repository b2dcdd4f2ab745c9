//! What every request of this instance shares.

use std::cell::Cell;

use coltsfootgate_core::prelude::{GrantId, InstanceId};

use super::budget::BudgetTable;
use crate::endpoint::ConnectionPool;
use crate::limits::LimitHandle;
use crate::metrics::DaemonMetrics;
use crate::operators::RequestRecords;
use crate::routes::{OwnerLink, RouteBoard};
use crate::tree::TreeHandle;

/// Handles to the tasks of this instance.
pub struct GateContext {
    /// The name of this instance.
    pub own: InstanceId,
    /// The tree in force.
    pub tree: TreeHandle,
    /// What is known of the owners of endpoints.
    pub routes: RouteBoard,
    /// The way to the owners of endpoints.
    pub link: OwnerLink,
    /// The limits of customers.
    pub limits: LimitHandle,
    /// Connections to endpoints.
    pub endpoints: ConnectionPool,
    /// Decisions made lately.
    pub records: RequestRecords,
    /// The counters.
    pub metrics: DaemonMetrics,
    /// The retry budgets of all classes.
    pub budgets: BudgetTable,
    next_grant: Cell<GrantId>,
}

impl GateContext {
    /// Gathers the handles of an instance.
    pub fn new(
        own: InstanceId,
        tree: TreeHandle,
        routes: RouteBoard,
        link: OwnerLink,
        limits: LimitHandle,
        metrics: DaemonMetrics,
        records: RequestRecords,
    ) -> Self {
        Self {
            own,
            tree,
            routes,
            link,
            limits,
            endpoints: ConnectionPool::new(),
            records,
            metrics,
            budgets: BudgetTable::default(),
            next_grant: Cell::new(1),
        }
    }

    /// An id for a new grant, never used before by this process.
    pub fn next_grant(&self) -> GrantId {
        let grant = self.next_grant.get();
        self.next_grant.set(grant + 1);
        grant
    }
}
