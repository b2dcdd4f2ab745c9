//! Measures the whole system under a load of twice what its engines can give.

mod bench;
pub mod decisions;
mod outcome;
mod overhead;
pub mod process;
mod profile;

use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use self::bench::MeasureBench;
use self::outcome::EngineTotals;
pub use self::overhead::{OverheadSettings, measure_overhead};
pub use self::profile::LoadProfile;
use crate::load::{LoadPhase, LoadReport};

/// The parts of a run: before the burst, in it, and after it.
const PHASE_SHARES: [(f64, bool); 3] = [(0.2, false), (0.5, true), (0.3, false)];
/// The engines are sampled this long after the burst has begun, when their batches are full.
const BURST_LEAD: Duration = Duration::from_secs(1);
/// Parts of the burst at which a fault begins and ends.
const FAULT_SPAN: (f64, f64) = (0.2, 0.7);
const STRAGGLER_FACTOR: f64 = 6.0;

/// What goes wrong during the burst.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MeasureFault {
    /// Nothing.
    #[default]
    None,
    /// One engine becomes slow.
    Straggler,
    /// One engine crashes and comes back.
    Crash,
    /// The platform's store hangs and comes back.
    StoreOutage,
    /// One instance is killed.
    InstanceLoss,
    /// The instances, engines and services of one availability zone are gone.
    ZoneLoss,
}

impl MeasureFault {
    /// Finds a fault by its name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "none" => Some(Self::None),
            "straggler" => Some(Self::Straggler),
            "crash" => Some(Self::Crash),
            "store-outage" => Some(Self::StoreOutage),
            "instance-loss" => Some(Self::InstanceLoss),
            "zone-loss" => Some(Self::ZoneLoss),
            _ => None,
        }
    }
}

/// What to measure.
#[derive(Clone, Debug)]
pub struct MeasureSettings {
    /// The deployment.
    pub profile: LoadProfile,
    /// The strategy that is set in the tree.
    pub strategy: String,
    /// How long requests arrive.
    pub seconds: f64,
    /// What goes wrong.
    pub fault: MeasureFault,
    /// Seed of arrivals and lengths.
    pub seed: u64,
    /// Directory of the binaries.
    pub binaries: PathBuf,
    /// Directory of the sample trees.
    pub samples: PathBuf,
    /// Directory for logs.
    pub work: PathBuf,
}

impl MeasureSettings {
    fn phases(&self) -> Vec<LoadPhase> {
        let phase = |(share, burst)| LoadPhase { seconds: share * self.seconds, burst };
        PHASE_SHARES.into_iter().map(phase).collect()
    }
}

/// Runs one measurement and prints its table and its result.
pub fn measure(settings: &MeasureSettings) -> io::Result<()> {
    let mut bench = MeasureBench::start(settings)?;
    let mut load = bench.start_load(settings)?;
    let begun = Instant::now();
    let used_before = bench.daemon_usage();
    let window = follow_burst(&mut bench, settings, begun)?;
    sleep_until(begun + Duration::from_secs_f64(settings.seconds));
    let used = bench.daemon_usage().since(&used_before);
    let report: LoadReport = serde_json::from_str(&load.read_line()?).map_err(io::Error::other)?;
    let totals = bench.engine_totals();
    let executions = bench.executions();
    let decisions = bench.stop_daemons();
    outcome::print(
        settings,
        &outcome::MeasureOutcome { report, window, totals, executions, used, decisions },
    );
    Ok(())
}

/// What the engines gave and could have given in the burst.
#[derive(Clone, Copy, Debug)]
struct BurstWindow {
    seconds: (usize, usize),
    totals: EngineTotals,
}

fn follow_burst(
    bench: &mut MeasureBench,
    settings: &MeasureSettings,
    begun: Instant,
) -> io::Result<BurstWindow> {
    let burst_begin = PHASE_SHARES[0].0 * settings.seconds;
    let burst = PHASE_SHARES[1].0 * settings.seconds;
    let moment = |part: f64| begun + Duration::from_secs_f64(burst_begin + part * burst);
    // The load generator counts useful tokens by whole seconds, so the window is of whole seconds.
    let first = (burst_begin + BURST_LEAD.as_secs_f64()).ceil();
    let last = (burst_begin + burst).floor();
    sleep_until(begun + Duration::from_secs_f64(first));
    let before = bench.engine_totals();
    sleep_until(moment(FAULT_SPAN.0));
    bench.begin_fault(settings.fault)?;
    sleep_until(moment(FAULT_SPAN.1));
    bench.end_fault(settings.fault)?;
    sleep_until(begun + Duration::from_secs_f64(last));
    let totals = bench.engine_totals().since(&before);
    Ok(BurstWindow { seconds: (first as usize, last as usize), totals })
}

fn sleep_until(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// The order that begins or ends a fault of one engine.
fn engine_order(fault: MeasureFault, begins: bool) -> serde_json::Value {
    match fault {
        MeasureFault::Straggler if begins => json!({"slow": STRAGGLER_FACTOR}),
        MeasureFault::Straggler => json!({"slow": 1.0}),
        _ => json!({"crash": begins}),
    }
}
