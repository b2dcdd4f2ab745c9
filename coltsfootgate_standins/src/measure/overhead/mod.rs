//! Measures the latency and processor time that the daemon adds to calls; see `scripts/overhead`.

mod bench;
mod caller;
mod latency;
mod relaying;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::json;

use self::bench::OverheadBench;

/// The settings of an overhead measurement.
#[derive(Clone, Debug)]
pub struct OverheadSettings {
    /// Number of calls measured on each route.
    pub calls: u32,
    /// Time for which tokens are counted at each level of load.
    pub window: Duration,
    /// Number of concurrent streams at each level of load.
    pub levels: Vec<usize>,
    /// Directory of the compiled binaries.
    pub binaries: PathBuf,
    /// Directory for the logs and the tree of the run.
    pub work: PathBuf,
}

/// Runs the measurement and prints its tables and its result.
///
/// Fails if a process can't be started or controlled, or if a call of the latency comparison fails.
pub fn measure_overhead(settings: &OverheadSettings) -> io::Result<()> {
    let bench = OverheadBench::start(settings)?;
    let latency = latency::compare_routes(&bench, settings.calls)?;
    latency::print(&latency);
    let levels: io::Result<Vec<_>> = settings
        .levels
        .iter()
        .map(|streams| relaying::measure_level(&bench, *streams, settings.window))
        .collect();
    let levels = levels?;
    relaying::print(&levels);
    println!("result {}", json!({"latency": latency, "relaying": levels}));
    Ok(())
}
