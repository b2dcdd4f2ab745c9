//! Measures the whole system under a load of twice the capacity of its engines.
//!
//! The platform, engines, services, instances and the load generator run as processes on loopback.

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

/// The phases of a run as fractions of its length, each with whether it is the burst.
const PHASE_SHARES: [(f64, bool); 3] = [(0.2, false), (0.5, true), (0.3, false)];
/// The engines are sampled this long after the burst starts, when their batches are full.
const BURST_RAMP_UP: Duration = Duration::from_secs(1);
/// Start and end of the injected fault, as fractions of the burst.
const FAULT_SPAN: (f64, f64) = (0.2, 0.7);
/// How many times slower than normal a straggling engine runs.
const STRAGGLER_SLOWDOWN: f64 = 6.0;

/// The fault that is injected during the burst.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MeasureFault {
    /// No fault.
    #[default]
    None,
    /// One engine runs slower than the others.
    Straggler,
    /// One engine crashes and is restored.
    Crash,
    /// The platform's store hangs and is restored.
    StoreOutage,
    /// One instance is killed.
    InstanceLoss,
    /// All instances, engines and services of one availability zone fail.
    ZoneLoss,
}

impl MeasureFault {
    /// Parses the name of a fault as given on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
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

/// The settings of a measurement run.
#[derive(Clone, Debug)]
pub struct MeasureSettings {
    /// The deployment whose load is generated.
    pub profile: LoadProfile,
    /// The routing strategy that is set in the configuration tree.
    pub strategy: String,
    /// Seconds for which requests arrive.
    pub seconds: f64,
    /// The fault that is injected during the burst.
    pub fault: MeasureFault,
    /// Seed of the random arrival times and answer lengths.
    pub seed: u64,
    /// Directory of the compiled binaries.
    pub binaries: PathBuf,
    /// Directory of the sample trees.
    pub samples: PathBuf,
    /// Directory for the logs, the tree and the load plan of the run; its old contents are deleted.
    pub work: PathBuf,
}

impl MeasureSettings {
    fn phases(&self) -> Vec<LoadPhase> {
        let phase = |(share, burst)| LoadPhase { seconds: share * self.seconds, burst };
        PHASE_SHARES.into_iter().map(phase).collect()
    }
}

/// Runs one measurement and prints its table and its result.
///
/// Fails if a process can't be started or controlled, or if the load generator writes no valid
/// report.
pub fn measure(settings: &MeasureSettings) -> io::Result<()> {
    let mut bench = MeasureBench::start(settings)?;
    let mut load = bench.start_load(settings)?;
    let load_start = Instant::now();
    let usage_before = bench.daemon_usage();
    let window = sample_burst(&mut bench, settings, load_start)?;
    sleep_until(load_start + Duration::from_secs_f64(settings.seconds));
    let usage = bench.daemon_usage().since(&usage_before);
    let report: LoadReport = serde_json::from_str(&load.read_line()?).map_err(io::Error::other)?;
    let totals = bench.engine_totals();
    let executions = bench.executions();
    let decisions = bench.stop_daemons();
    outcome::print(
        settings,
        &outcome::MeasureOutcome { report, window, totals, executions, usage, decisions },
    );
    Ok(())
}

/// The engines' output and capacity in a window of the burst.
#[derive(Clone, Copy, Debug)]
struct BurstWindow {
    /// First second of the window, and the second after its last, since the start of the load.
    seconds: (usize, usize),
    totals: EngineTotals,
}

/// Samples the engines at the start and end of the burst window and injects the fault in between.
fn sample_burst(
    bench: &mut MeasureBench,
    settings: &MeasureSettings,
    load_start: Instant,
) -> io::Result<BurstWindow> {
    let burst_start = PHASE_SHARES[0].0 * settings.seconds;
    let burst_length = PHASE_SHARES[1].0 * settings.seconds;
    let burst_instant =
        |fraction: f64| load_start + Duration::from_secs_f64(burst_start + fraction * burst_length);
    // The load generator counts useful tokens per second, so the window consists of whole seconds.
    let first = (burst_start + BURST_RAMP_UP.as_secs_f64()).ceil();
    let end = (burst_start + burst_length).floor();
    sleep_until(load_start + Duration::from_secs_f64(first));
    let before = bench.engine_totals();
    sleep_until(burst_instant(FAULT_SPAN.0));
    bench.inject_fault(settings.fault)?;
    sleep_until(burst_instant(FAULT_SPAN.1));
    bench.clear_fault(settings.fault)?;
    sleep_until(load_start + Duration::from_secs_f64(end));
    let totals = bench.engine_totals().since(&before);
    Ok(BurstWindow { seconds: (first as usize, end as usize), totals })
}

fn sleep_until(deadline: Instant) {
    thread::sleep(deadline.saturating_duration_since(Instant::now()));
}

/// The body of the control request that injects or clears the fault of one engine.
fn engine_fault_request(fault: MeasureFault, inject: bool) -> serde_json::Value {
    match fault {
        MeasureFault::Straggler if inject => json!({"slow": STRAGGLER_SLOWDOWN}),
        MeasureFault::Straggler => json!({"slow": 1.0}),
        _ => json!({"crash": inject}),
    }
}
