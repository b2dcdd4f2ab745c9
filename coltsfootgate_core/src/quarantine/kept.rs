//! Keeps the crashes that this instance reported, so that it can state them again to an instance that begins to count.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use super::{CauseKey, CrashReport, LostRequest};
use crate::ids::PoolId;

/// Maximum number of reports; beyond it, the oldest are dropped.
const REPORTS_MAX: usize = 256;
/// How long a report is kept. Crashes that are further apart are no case for a block.
const KEPT_FOR: Duration = Duration::from_secs(600);

/// The crashes that this instance reported lately, oldest first.
#[derive(Clone, Debug, Default)]
pub struct KeptReports(VecDeque<CrashReport>);

impl KeptReports {
    /// Adds a crash that was found out at `now`.
    pub fn record(&mut self, report: &CrashReport, now: Instant) {
        let is_old = |kept: &CrashReport| kept.crashed_at.is_none_or(|at| at + KEPT_FOR < now);
        self.0.retain(|kept| !is_old(kept));
        if self.0.len() >= REPORTS_MAX {
            self.0.pop_front();
        }
        self.0.push_back(CrashReport { crashed_at: Some(now), ..report.clone() });
    }

    /// The pools of the crashes.
    pub fn pools(&self) -> BTreeSet<PoolId> {
        self.0.iter().map(|report| report.pool.clone()).collect()
    }

    /// The crashes of a pool, without the causes that were served here since.
    pub fn restated(
        &self,
        pool: &PoolId,
        last_served: impl Fn(&CauseKey) -> Option<Instant>,
    ) -> Vec<CrashReport> {
        let reports = self.0.iter().filter(|report| report.pool == *pool);
        let unserved = reports.map(|report| {
            let mut report = report.clone();
            let crashed_at = report.crashed_at;
            for LostRequest { causes, .. } in &mut report.lost {
                causes.retain(|cause| {
                    let key = CauseKey { pool: pool.clone(), cause: *cause };
                    last_served(&key).is_none_or(|served_at| Some(served_at) <= crashed_at)
                });
            }
            report.lost.retain(|lost| !lost.causes.is_empty());
            report
        });
        unserved.filter(|report| !report.lost.is_empty()).collect()
    }
}
