//! Measures what daemons add to a call; see `scripts/overhead`.

mod bench;
mod caller;
mod latency;
mod relaying;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::json;

use self::bench::OverheadBench;

/// What to measure.
#[derive(Clone, Debug)]
pub struct OverheadSettings {
    /// Calls made on each route to compare their latencies.
    pub calls: u32,
    /// How long tokens are counted at each level of load.
    pub window: Duration,
    /// Streams at once, one number for each level of load.
    pub levels: Vec<usize>,
    /// Directory of the binaries.
    pub binaries: PathBuf,
    /// Directory for logs.
    pub work: PathBuf,
}

/// Runs the measurement and prints its tables and its result.
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
