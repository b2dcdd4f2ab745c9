//! State and handles shared by all requests of this instance.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use coltsfootgate_core::drain::AnswerTimes;
use coltsfootgate_core::prelude::{GrantId, InstanceId, ZoneName};

use super::budget::BudgetTable;
use crate::claims::ClaimsHandle;
use crate::duties::UsageBoard;
use crate::endpoint::EndpointAccess;
use crate::endpoints::SharedRoster;
use crate::limits::LimitHandle;
use crate::metrics::DaemonMetrics;
use crate::operators::RequestRecords;
use crate::quarantine::QuarantineHandle;
use crate::routes::{OwnerClient, RouteTable};
use crate::shutdown::ShutdownSignal;
use crate::streams::StreamRegister;
use crate::transfer::{MemoryAccount, MemoryPart, MemoryUse};
use crate::tree::TreeHandle;

/// Handles to the tasks and shared state of this instance.
pub struct PipelineContext {
    /// The name of this instance.
    pub own: InstanceId,
    /// The availability zone of this instance.
    pub zone: ZoneName,
    /// The settings tree in force.
    pub tree: TreeHandle,
    /// The known owners of endpoints and their load.
    pub routes: RouteTable,
    /// Sends grant requests and releases to the owners of endpoints.
    pub owner_client: OwnerClient,
    /// The rate and concurrency limits of customers.
    pub limits: LimitHandle,
    /// The claims on idempotency keys.
    pub claims: ClaimsHandle,
    /// Where recent streams began.
    pub streams: StreamRegister,
    /// The replicas that announced themselves.
    pub roster: SharedRoster,
    /// What crashes endpoints.
    pub quarantine: QuarantineHandle,
    /// The memory that is held for callers and for other instances.
    pub memory: MemoryAccount,
    /// What this instance served and has to serve.
    pub usage: UsageBoard,
    /// The connections to endpoints.
    pub endpoints: EndpointAccess,
    /// The records of recent requests.
    pub records: RequestRecords,
    /// The metrics.
    pub metrics: DaemonMetrics,
    /// The retry budgets of all classes.
    pub budgets: BudgetTable,
    /// Maximum age of the settings at which API keys are still accepted.
    pub config_age_max: Duration,
    /// Issues the ids of grants.
    pub grants: GrantCounter,
    /// How long recent answers took.
    pub answer_times: RefCell<AnswerTimes>,
    /// The shutdown of this process.
    pub shutdown: ShutdownSignal,
}

impl PipelineContext {
    /// The memory for answers that cannot be passed on yet.
    pub fn answer_memory(&self) -> &MemoryPart {
        self.memory.part(MemoryUse::Answers)
    }
}

/// Issues the ids of the grants that this process requests.
///
/// The ids start at a random number: owners remember the grants of an earlier process at this
/// address, and would treat a request with the id of one of them as a late duplicate.
#[derive(Debug)]
pub struct GrantCounter(Cell<GrantId>);

impl Default for GrantCounter {
    fn default() -> Self {
        Self(Cell::new(rand::random::<GrantId>() >> 1))
    }
}

impl GrantCounter {
    /// Returns the id of a new grant, which this process has not used before.
    pub fn next(&self) -> GrantId {
        let grant = self.0.get() + 1;
        self.0.set(grant);
        grant
    }
}
