//! Reports what the owners of this instance decided, as metrics and log lines.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use log::info;

use coltsfootgate_core::ids::TIER_COUNT;
use coltsfootgate_core::owner::{DeferralCause, OwnerActivity, OwnerSnapshot};
use coltsfootgate_core::prelude::PoolId;

use crate::metrics::DaemonMetrics;

/// Shortest time between two log lines about one pool.
const LINE_PERIOD: Duration = Duration::from_secs(1);

/// The activity of one owner that was reported last.
#[derive(Debug)]
struct ReportedActivity {
    /// The counts that the metrics include.
    counted: OwnerActivity,
    /// The counts at the last log line.
    logged: OwnerActivity,
    logged_at: Instant,
}

/// Counts the decisions of owners, and logs one line a second for each pool with waiting requests or with
/// requests that were refused since their answers would be late.
#[derive(Debug)]
pub struct OwnerReporter {
    metrics: DaemonMetrics,
    reported: HashMap<PoolId, ReportedActivity>,
}

impl OwnerReporter {
    /// Creates a reporter that has reported nothing yet.
    pub fn new(metrics: DaemonMetrics) -> Self {
        Self { metrics, reported: HashMap::new() }
    }

    /// Reports what changed since the last call.
    pub fn report(&mut self, snapshots: &[OwnerSnapshot], now: Instant) {
        self.count_waiting(snapshots);
        self.reported.retain(|pool, _| snapshots.iter().any(|snapshot| snapshot.pool == *pool));
        for snapshot in snapshots {
            self.report_pool(snapshot, now);
        }
    }

    fn count_waiting(&self, snapshots: &[OwnerSnapshot]) {
        let mut sums: [u32; TIER_COUNT] = Default::default();
        for snapshot in snapshots {
            for (sum, waiting) in sums.iter_mut().zip(snapshot.pressure.waiting.by_tier()) {
                *sum += waiting;
            }
        }
        for (tier, waiting) in (1..).zip(sums) {
            self.metrics.requests_waiting(tier, waiting as usize);
        }
    }

    fn report_pool(&mut self, snapshot: &OwnerSnapshot, now: Instant) {
        let reported = self.reported.entry(snapshot.pool.clone()).or_insert_with(|| {
            let (counted, logged) = Default::default();
            ReportedActivity { counted, logged, logged_at: now }
        });
        let change = snapshot.activity.since(&reported.counted);
        reported.counted = snapshot.activity;
        self.metrics.owner_decided(&snapshot.pool, &change);
        if change.path_faults > 0 {
            info!(
                "pool {}: {} attempts failed on the paths of their instances",
                snapshot.pool, change.path_faults
            );
        }
        if change.lost_grants > 0 {
            info!("pool {}: {} grants were held by nobody", snapshot.pool, change.lost_grants);
        }
        let change = snapshot.activity.since(&reported.logged);
        let is_quiet = snapshot.first_waiting.is_none() && change.late_refusals == 0;
        if is_quiet || now < reported.logged_at + LINE_PERIOD {
            return;
        }
        reported.logged = snapshot.activity;
        reported.logged_at = now;
        info!("{}", waiting_line(snapshot, &change));
    }
}

/// Describes an owner whose requests wait or are refused.
fn waiting_line(snapshot: &OwnerSnapshot, change: &OwnerActivity) -> String {
    let waiting: u32 = snapshot.pressure.waiting.by_tier().iter().sum();
    let first = snapshot.first_waiting.map_or_else(String::new, |((tier, class_tier), waited)| {
        format!(", first of tier {tier}, class tier {class_tier}, for {} ms", waited.as_millis())
    });
    let answer_time = snapshot
        .answer_time
        .map_or_else(|| "unknown".to_owned(), |time| format!("{} ms", time.as_millis()));
    let causes = DeferralCause::ALL.map(DeferralCause::name);
    let deferrals: Vec<String> = causes
        .iter()
        .zip(change.deferrals)
        .map(|(cause, count)| format!("{cause} {count}"))
        .collect();
    let (grants, overtaking) = (change.grants, change.overtaking_grants);
    let pressure = &snapshot.pressure;
    format!(
        "pool {}: {waiting} requests wait{first}; granted {grants}, of these {overtaking} before \
         one of a higher rank; refused as too late {}, time of answers or tokens {answer_time}; \
         deferred: {}; slots free {} of {}; {}",
        snapshot.pool,
        change.late_refusals,
        deferrals.join(", "),
        pressure.free_slots,
        pressure.slots,
        engines_text(snapshot),
    )
}

/// The lowest, median and highest estimates over the endpoints of an owner.
fn engines_text(snapshot: &OwnerSnapshot) -> String {
    let endpoints = || snapshot.endpoints.iter();
    let backlogs = endpoints().map(|endpoint| endpoint.backlog.as_millis() as u32);
    let rates = endpoints().map(|endpoint| endpoint.prefill_rate);
    format!("backlog ms {}; prefill tokens/s {}", spread(backlogs), spread(rates))
}

/// The lowest, median and highest number.
fn spread(numbers: impl Iterator<Item = u32>) -> String {
    let mut sorted: Vec<u32> = numbers.collect();
    sorted.sort_unstable();
    let (Some(lowest), Some(highest)) = (sorted.first(), sorted.last()) else {
        return "unknown".to_owned();
    };
    format!("{lowest}/{}/{highest}", sorted[sorted.len() / 2])
}
