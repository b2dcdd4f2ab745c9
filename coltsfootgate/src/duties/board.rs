//! What this instance served and has to serve, for those that carry out the duties.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use coltsfootgate_core::duty::usage::{SlotNumber, UsageLog};
use coltsfootgate_core::duty::{InstanceUsage, PoolDemand};
use coltsfootgate_core::ids::{CustomerId, PoolId};

use crate::clock;

/// Counts requests; clones share the same state. One without a log counts nothing.
#[derive(Clone, Debug)]
pub struct UsageBoard(Option<Rc<RefCell<BoardState>>>);

#[derive(Debug)]
struct BoardState {
    log: UsageLog,
    demands: BTreeMap<PoolId, DemandCount>,
}

#[derive(Clone, Copy, Debug, Default)]
struct DemandCount {
    running: u32,
    waiting: u32,
}

/// What a request does at a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DemandStage {
    Waiting,
    Running,
}

impl DemandCount {
    fn of(&mut self, stage: DemandStage) -> &mut u32 {
        match stage {
            DemandStage::Waiting => &mut self.waiting,
            DemandStage::Running => &mut self.running,
        }
    }
}

/// Counts a request as waiting or running until it is dropped.
#[derive(Debug)]
pub struct DemandGuard {
    state: Option<Rc<RefCell<BoardState>>>,
    pool: PoolId,
    stage: DemandStage,
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        let Some(state) = &self.state else { return };
        if let Some(count) = state.borrow_mut().demands.get_mut(&self.pool) {
            let count = count.of(self.stage);
            *count = count.saturating_sub(1);
        }
    }
}

impl UsageBoard {
    /// A board that counts nothing, for deployments without duties.
    pub fn without_duties() -> Self {
        Self(None)
    }

    /// A board of a process that starts now.
    pub fn new() -> Self {
        let log = UsageLog::new(rand::random(), clock::boot_time());
        Self(Some(Rc::new(RefCell::new(BoardState { log, demands: BTreeMap::new() }))))
    }

    /// Counts a request of a customer that an endpoint began to run.
    pub fn record_begun(&self, customer: &CustomerId) {
        if let Some(state) = &self.0 {
            state.borrow_mut().log.record(customer, clock::boot_time());
        }
    }

    /// Counts a request that waits for an endpoint.
    pub fn record_waiting(&self, pool: &PoolId) -> DemandGuard {
        self.enter(pool, DemandStage::Waiting)
    }

    /// Counts a request that was sent to an endpoint.
    pub fn record_running(&self, pool: &PoolId) -> DemandGuard {
        self.enter(pool, DemandStage::Running)
    }

    fn enter(&self, pool: &PoolId, stage: DemandStage) -> DemandGuard {
        if let Some(state) = &self.0 {
            let mut state = state.borrow_mut();
            *state.demands.entry(pool.clone()).or_default().of(stage) += 1;
        }
        DemandGuard { state: self.0.clone(), pool: pool.clone(), stage }
    }

    /// What was counted since a slot of the process with a number; `None` without a log.
    pub fn usage(&self, known: Option<(u64, SlotNumber)>) -> Option<InstanceUsage> {
        let mut state = self.0.as_ref()?.borrow_mut();
        let extract = state.log.extract(known, clock::boot_time(), clock::wall_time());
        let demands = state.demands.iter().map(|(pool, count)| PoolDemand {
            pool: pool.clone(),
            running: count.running,
            waiting: count.waiting,
        });
        let demands = demands.collect();
        Some(InstanceUsage { extract, demands })
    }
}

impl Default for UsageBoard {
    fn default() -> Self {
        Self::without_duties()
    }
}
