//! Decides which windows of usage are reported, when, and with which counts.
//!
//! Two reports of one window must never differ. The counts of a window are therefore stored, under the lease, before
//! they are first sent; whoever comes after sends what is stored. What a store that came back from an older copy may
//! have forgotten is not counted again: it is left out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::StoreEra;
use super::usage::{LOG_RETENTION, UsageCounts, WindowCoverage, WindowNumber};

/// Time after the end of a window until it is reported, if all instances were heard after its end.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Share of the time until a report is due for which instances are waited for whose share of all is below the allowed
/// error.
const FEW_PATIENCE: f64 = 0.4;
/// The same, if what is not known may exceed the allowed error.
const MANY_PATIENCE: f64 = 0.7;
/// Number of windows that the record keeps.
const RECORD_WINDOWS: usize = 4;

/// When and how exactly usage is reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportTerms {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub due: Duration,
    /// Error that a report may have, as a share.
    pub tolerance: f64,
}

/// The windows whose counts are fixed, as stored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsageRecord {
    /// The era of the store in which the record was written.
    pub era: StoreEra,
    /// The first window that may be added.
    pub next: WindowNumber,
    /// The last windows, with their counts.
    pub windows: BTreeMap<WindowNumber, UsageCounts>,
}

/// The next step of the holder.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportStep {
    /// Nothing to do now.
    Wait,
    /// Store this record, provided that the stored one is still the one before it.
    Store(UsageRecord),
    /// Send the counts of this window.
    Send(WindowNumber, UsageCounts),
}

/// The reports of one holder.
#[derive(Clone, Debug)]
pub struct ReportBook {
    terms: ReportTerms,
    record: UsageRecord,
    /// A record that may have been stored: it is stored again, unchanged, until that is acknowledged.
    pending: Option<UsageRecord>,
    /// The windows whose reports were accepted.
    accepted: BTreeSet<WindowNumber>,
}

impl ReportBook {
    /// Takes over from the record of an earlier holder. `current` is the window of the present time.
    pub fn take_over(
        terms: ReportTerms,
        stored: Option<UsageRecord>,
        era: StoreEra,
        current: WindowNumber,
    ) -> Self {
        let known = stored.as_ref().is_some_and(|record| record.era == era);
        let mut record = stored.unwrap_or_default();
        // Of older windows nothing is known any more.
        let kept = LOG_RETENTION.as_nanos() / terms.window.as_nanos().max(1);
        record.next = record.next.max(current.saturating_sub(kept as WindowNumber));
        if !known {
            // Windows that have ended may have been reported with counts that the store has forgotten.
            record.next = record.next.max(current);
            record.era = era;
        }
        Self { terms, record, pending: None, accepted: BTreeSet::new() }
    }

    /// The next window whose counts are not fixed yet.
    pub fn next_window(&self) -> WindowNumber {
        self.record.next
    }

    /// The next step; `ended` is how long ago the next window ended, if it did, and what is known of it.
    pub fn step(
        &mut self,
        ended: Option<Duration>,
        coverage: WindowCoverage,
        counts: impl FnOnce() -> UsageCounts,
    ) -> ReportStep {
        if let Some(pending) = &self.pending {
            return ReportStep::Store(pending.clone());
        }
        let unsent = self.record.windows.iter().find(|(window, _)| !self.accepted.contains(window));
        if let Some((window, counts)) = unsent {
            return ReportStep::Send(*window, counts.clone());
        }
        let Some(ended) = ended else { return ReportStep::Wait };
        if ended < self.wait_time(coverage) {
            return ReportStep::Wait;
        }
        let window = self.record.next;
        let mut record = self.record.clone();
        record.windows.insert(window, counts());
        while record.windows.len() > RECORD_WINDOWS {
            record.windows.pop_first();
        }
        record.next = window + 1;
        self.pending = Some(record.clone());
        ReportStep::Store(record)
    }

    /// How long after its end a window is left open. A report that lacks a few requests is better than none.
    fn wait_time(&self, coverage: WindowCoverage) -> Duration {
        if coverage.is_complete {
            SETTLE_TIME
        } else if coverage.missing_share <= self.terms.tolerance {
            self.terms.due.mul_f64(FEW_PATIENCE)
        } else {
            self.terms.due.mul_f64(MANY_PATIENCE)
        }
    }

    /// Records that the pending record is stored.
    pub fn stored(&mut self) {
        if let Some(record) = self.pending.take() {
            self.record = record;
        }
    }

    /// Records that the platform accepted the report of a window, or will never accept it.
    pub fn finished(&mut self, window: WindowNumber) {
        self.accepted.insert(window);
        let windows = &self.record.windows;
        self.accepted.retain(|window| windows.contains_key(window));
    }
}
