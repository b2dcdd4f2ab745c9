//! What every request of this instance shares.

use std::cell::Cell;
use std::time::Duration;

use coltsfootgate_core::prelude::{GrantId, InstanceId, ZoneName};

use super::budget::BudgetTable;
use crate::claims::ClaimsHandle;
use crate::endpoint::ConnectionPool;
use crate::limits::LimitHandle;
use crate::metrics::DaemonMetrics;
use crate::operators::RequestRecords;
use crate::routes::{OwnerLink, RouteBoard};
use crate::tree::TreeHandle;

/// Handles to the tasks of this instance.
pub struct PipelineContext {
    /// The name of this instance.
    pub own: InstanceId,
    /// The availability zone of this instance.
    pub zone: ZoneName,
    /// The tree in force.
    pub tree: TreeHandle,
    /// What is known of the owners of endpoints.
    pub routes: RouteBoard,
    /// The way to the owners of endpoints.
    pub link: OwnerLink,
    /// The limits of customers.
    pub limits: LimitHandle,
    /// The claims on idempotency keys.
    pub claims: ClaimsHandle,
    /// Connections to endpoints.
    pub endpoints: ConnectionPool,
    /// Decisions made lately.
    pub records: RequestRecords,
    /// The counters.
    pub metrics: DaemonMetrics,
    /// The retry budgets of all classes.
    pub budgets: BudgetTable,
    /// Age of the settings beyond which keys are not trusted.
    pub config_age_max: Duration,
    /// The ids of grants.
    pub grants: GrantCounter,
}

/// Counts the grants that this process asked for.
///
/// It begins at a random number: owners remember the grants of an earlier life at this address, and
/// take an ask that bears the id of one of them for a late copy.
#[derive(Debug)]
pub struct GrantCounter(Cell<GrantId>);

impl Default for GrantCounter {
    fn default() -> Self {
        Self(Cell::new(rand::random::<GrantId>() >> 1))
    }
}

impl GrantCounter {
    /// An id for a new grant, never used before by this process.
    pub fn next(&self) -> GrantId {
        let grant = self.0.get() + 1;
        self.0.set(grant);
        grant
    }
}
