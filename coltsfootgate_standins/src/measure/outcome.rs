//! Computes and prints the results of a measurement.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::bench::counter_value;
use super::decisions::{self, DecisionLine};
use super::{BurstWindow, MeasureSettings};
use crate::load::{ClassReport, LoadReport};

/// A class fits if its demand and that of all higher tiers together is at most this share of
/// capacity.
const FITTING_SHARE: f64 = 0.92;

/// Token counts, summed over all engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineTotals {
    /// Tokens generated.
    tokens: f64,
    /// Tokens generated for calls that were then cancelled.
    cancelled: f64,
    /// Tokens that the engines could have generated.
    capacity: f64,
}

impl EngineTotals {
    pub(super) fn add(&mut self, counters: &Value) {
        self.tokens += counter_value(counters, "tokens");
        self.cancelled += counter_value(counters, "tokens_cancelled");
        self.capacity += counter_value(counters, "capacity_tokens");
    }

    pub(super) fn since(&self, before: &Self) -> Self {
        Self {
            tokens: self.tokens - before.tokens,
            cancelled: self.cancelled - before.cancelled,
            capacity: self.capacity - before.capacity,
        }
    }
}

/// How often requests were executed, by idempotency key and by request target or prompt.
#[derive(Debug, Default)]
pub(super) struct ServiceExecutions {
    by_key: HashMap<String, u64>,
    by_target: HashMap<String, u64>,
}

impl ServiceExecutions {
    pub(super) fn add(&mut self, counters: &Value) {
        add_counts(&mut self.by_key, &counters["by_key"]);
        add_counts(&mut self.by_target, &counters["by_target"]);
        add_counts(&mut self.by_target, &counters["prompt_runs"]);
    }
}

fn add_counts(counts: &mut HashMap<String, u64>, added: &Value) {
    for (name, count) in added.as_object().into_iter().flatten() {
        *counts.entry(name.clone()).or_default() += count.as_u64().unwrap_or(0);
    }
}

/// Resource usage of all daemons at one time.
#[derive(Debug)]
pub(super) struct DaemonUsage {
    pub(super) at: Instant,
    /// Processor time, peak memory in megabytes and bytes exchanged with peers of each running
    /// daemon, by its index.
    pub(super) daemons: HashMap<usize, (Duration, f64, f64)>,
    /// Bytes of messages sent by all daemons, by kind of message.
    pub(super) message_bytes: BTreeMap<String, f64>,
}

/// The highest resource usage of any daemon between two samples.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageMaxima {
    /// Processor time as a share of one core.
    cpu_share: f64,
    memory_mb: f64,
    /// Bytes per second exchanged with peers.
    control_bytes_s: f64,
    /// Bytes per second of messages sent, averaged over the daemons, by kind of message.
    message_bytes_s: BTreeMap<String, f64>,
}

impl DaemonUsage {
    pub(super) fn since(&self, before: &Self) -> UsageMaxima {
        let elapsed = (self.at - before.at).as_secs_f64();
        let mut maxima = UsageMaxima::default();
        for (index, (processor_time, memory_mb, peer_bytes)) in &self.daemons {
            let Some((old_processor_time, _, old_bytes)) = before.daemons.get(index) else {
                continue;
            };
            let processor_s = processor_time.saturating_sub(*old_processor_time).as_secs_f64();
            maxima.cpu_share = maxima.cpu_share.max(processor_s / elapsed);
            maxima.memory_mb = maxima.memory_mb.max(*memory_mb);
            let bytes_s = (peer_bytes - old_bytes) / elapsed;
            maxima.control_bytes_s = maxima.control_bytes_s.max(bytes_s);
        }
        let daemon_seconds = elapsed * self.daemons.len().max(1) as f64;
        for (kind, bytes) in &self.message_bytes {
            let old_bytes = before.message_bytes.get(kind).copied().unwrap_or_default();
            let bytes_s = ((bytes - old_bytes) / daemon_seconds).round();
            maxima.message_bytes_s.insert(kind.clone(), bytes_s);
        }
        maxima
    }
}

/// All data collected in a measurement run.
pub(super) struct MeasureOutcome {
    pub(super) report: LoadReport,
    pub(super) window: BurstWindow,
    pub(super) totals: EngineTotals,
    pub(super) executions: ServiceExecutions,
    pub(super) usage: UsageMaxima,
    pub(super) decisions: Vec<DecisionLine>,
}

impl MeasureOutcome {
    /// Useful tokens in the burst window as a share of the engines' capacity.
    fn goodput(&self) -> f64 {
        let (first, end) = self.window.seconds;
        let useful = self.report.useful_by_second.iter().skip(first).take(end - first);
        useful.sum::<u64>() as f64 / self.window.totals.capacity.max(1.0)
    }

    /// Share of the generated tokens that no caller could use.
    ///
    /// Tokens of calls that the end of the run cut off don't count as wasted.
    fn wasted(&self) -> f64 {
        let useful: u64 = self.report.useful_by_second.iter().sum();
        let unfinished =
            self.report.tokens_received.saturating_sub(useful + self.report.tokens_of_ended);
        let used = (useful + unfinished) as f64;
        (self.totals.tokens - used).max(0.0) / self.totals.tokens.max(1.0)
    }

    /// Executions beyond the first of each idempotency key.
    fn double_runs(&self) -> u64 {
        self.executions.by_key.values().map(|count| count.saturating_sub(1)).sum()
    }

    /// Requests reported to the caller as not run although an endpoint executed them.
    fn not_run_but_run(&self) -> usize {
        let reported = &self.report.told_not_run;
        reported.iter().filter(|target| self.executions.by_target.contains_key(*target)).count()
    }
}

/// The ratio of two counts, rounded to four decimals; 1 if `total` is zero.
fn share(part: u64, total: u64) -> f64 {
    if total == 0 { 1.0 } else { (part as f64 / total as f64 * 1e4).round() / 1e4 }
}

/// The classes whose demand the engines can serve in the burst after that of all higher tiers.
///
/// Classes without model requests always fit.
fn fitting_classes<'a>(
    settings: &MeasureSettings,
    classes: &'a BTreeMap<String, ClassReport>,
) -> Vec<&'a str> {
    let shares: HashMap<_, _> = settings.profile.burst_shares().collect();
    let cumulative_demand = |tier: u8| -> f64 {
        let included = classes.iter().filter(|(_, report)| report.tier <= tier);
        included.filter_map(|(name, _)| shares.get(name.as_str())).sum()
    };
    let fits = |(name, report): &(&String, &ClassReport)| {
        !shares.contains_key(name.as_str()) || cumulative_demand(report.tier) <= FITTING_SHARE
    };
    classes.iter().filter(fits).map(|(name, _)| name.as_str()).collect()
}

/// Prints the table and, as the last line, the result as JSON.
pub(super) fn print(settings: &MeasureSettings, outcome: &MeasureOutcome) {
    let report = &outcome.report;
    let fitting = fitting_classes(settings, &report.classes);
    print_classes(&report.classes, &fitting);
    println!("refusals: {:?}", report.refusals);
    println!("outcomes: {:?}", report.outcomes);
    let mut retries: BTreeMap<&str, u64> = BTreeMap::new();
    for reason in outcome.decisions.iter().flat_map(|decision| &decision.retries) {
        *retries.entry(reason).or_default() += 1;
    }
    println!("retries: {retries:?}");
    println!("control by kind, bytes/s a daemon: {:?}", outcome.usage.message_bytes_s);
    let inversions = decisions::find_inversions(&outcome.decisions);
    println!("inversions by refusal: {:?}", inversions.by_refusal);
    for example in &inversions.examples {
        println!("inversion: {example}");
    }
    let attainment: BTreeMap<_, _> = report
        .classes
        .iter()
        .map(|(name, class)| (name, share(class.attained, class.sent)))
        .collect();
    let result = json!({
        "profile": settings.profile.name(),
        "strategy": settings.strategy,
        "fault": format!("{:?}", settings.fault),
        "seed": settings.seed,
        "attainment": attainment,
        "fitting": fitting,
        "refusals": report.refusals,
        "goodput": outcome.goodput(),
        "wasted": outcome.wasted(),
        "engine_use": outcome.window.totals.tokens / outcome.window.totals.capacity.max(1.0),
        "tokens_cancelled": outcome.totals.cancelled,
        "tier_inversions": inversions.count,
        "tier_inversions_by_floor": inversions.by_floor,
        "lowest_tier_longest_wait_ms": report.lowest_tier_longest_wait_ms,
        "control_bytes_s_max": outcome.usage.control_bytes_s,
        "cpu_share_max": outcome.usage.cpu_share,
        "rss_mb_max": outcome.usage.memory_mb,
        "completed": report.completed,
        "unfinished": report.unfinished,
        "foreign": report.foreign,
        "truncated_as_whole": report.truncated_as_whole,
        "double_runs": outcome.double_runs(),
        "not_run_but_run": outcome.not_run_but_run(),
        "decisions": outcome.decisions.len(),
    });
    println!("result {result}");
}

fn print_classes(classes: &BTreeMap<String, ClassReport>, fitting: &[&str]) {
    println!(
        "{:<36} {:>4} {:>6} {:>9} {:>8} {:>5} {:>5} {:>26} {:>18}  fits",
        "class",
        "tier",
        "sent",
        "completed",
        "attained",
        "late",
        "slow",
        "first ms 50/95/99/max",
        "between ms 50/95"
    );
    let mut classes: Vec<_> = classes.iter().collect();
    classes.sort_by_key(|(_, class)| class.tier);
    for (name, class) in classes {
        let (first, between) = (class.first_token, class.between_tokens);
        println!(
            "{name:<36} {:>4} {:>6} {:>9} {:>8.4} {:>5} {:>5} {:>26} {:>18}  {}",
            class.tier,
            class.sent,
            class.completed,
            share(class.attained, class.sent),
            class.late,
            class.slow,
            format!("{:.0}/{:.0}/{:.0}/{:.0}", first.p50, first.p95, first.p99, first.max),
            format!("{:.1}/{:.1}", between.p50, between.p95),
            if fitting.contains(&name.as_str()) { "yes" } else { "no" },
        );
    }
}
