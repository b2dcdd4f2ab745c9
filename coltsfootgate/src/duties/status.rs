//! What operators see of the duties.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use serde::Serialize;
use serde_json::Value;

use coltsfootgate_core::duty::DutyToken;
use coltsfootgate_core::duty::usage::{UsageCounts, WindowNumber};
use coltsfootgate_core::ids::PoolId;

/// Number of reports that the status shows.
const REPORTS_MAX: usize = 4;

/// The part of an instance in the duties; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct DutyStatus(Rc<RefCell<StatusState>>);

#[derive(Debug, Default)]
#[derive(Serialize)]
struct StatusState {
    /// The place of the instance among those that may hold the lease, from 0.
    place: Option<usize>,
    /// The token under which this instance holds the lease.
    token: Option<DutyToken>,
    /// Whether it may act.
    is_acting: bool,
    reports: VecDeque<ReportStatus>,
    replicas: BTreeMap<PoolId, Vec<ReplicaStatus>>,
}

/// A report that was accepted.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct ReportStatus {
    pub(super) window: WindowNumber,
    pub(super) requests: u64,
    pub(super) customers: usize,
}

/// The replicas of one kind in one zone.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub(super) struct ReplicaStatus {
    pub(super) zone: String,
    pub(super) kind: &'static str,
    pub(super) present: u32,
    pub(super) wanted: u32,
}

impl DutyStatus {
    /// The status as JSON.
    pub fn to_json(&self) -> Value {
        serde_json::to_value(&*self.0.borrow()).unwrap_or_default()
    }

    pub(super) fn set_place(&self, place: Option<usize>) {
        self.0.borrow_mut().place = place;
    }

    pub(super) fn set_token(&self, token: Option<DutyToken>, is_acting: bool) {
        let mut state = self.0.borrow_mut();
        (state.token, state.is_acting) = (token, is_acting);
    }

    pub(super) fn add_report(&self, window: WindowNumber, counts: &UsageCounts) {
        let reports = &mut self.0.borrow_mut().reports;
        let (requests, customers) = (counts.values().sum(), counts.len());
        reports.push_back(ReportStatus { window, requests, customers });
        while reports.len() > REPORTS_MAX {
            reports.pop_front();
        }
    }

    pub(super) fn set_replicas(&self, pool: &PoolId, replicas: Vec<ReplicaStatus>) {
        self.0.borrow_mut().replicas.insert(pool.clone(), replicas);
    }
}
