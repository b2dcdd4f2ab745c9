//! Measures the whole system with real processes; see `scripts/measure`.

use std::env;
use std::io;
use std::path::PathBuf;

use coltsfootgate_standins::measure::{self, LoadProfile, MeasureFault, MeasureSettings};
use gumdrop::Options;

#[derive(Debug, Options)]
struct MeasureOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "terenuri or samahang", no_short, required, meta = "NAME")]
    profile: String,
    #[options(
        help = "cooperative, round-robin or local-least-loaded",
        no_short,
        default = "cooperative",
        meta = "NAME"
    )]
    strategy: String,
    #[options(
        help = "seconds for which requests arrive",
        no_short,
        default = "30",
        meta = "NUMBER"
    )]
    seconds: f64,
    #[options(
        help = "none, straggler, crash, store-outage, instance-loss or zone-loss",
        no_short,
        default = "none",
        meta = "NAME"
    )]
    fault: String,
    #[options(
        help = "seed of arrival times and answer lengths",
        no_short,
        default = "1",
        meta = "NUMBER"
    )]
    seed: u64,
    #[options(help = "directory of the sample trees", no_short, default = "samples")]
    samples: PathBuf,
}

fn main() -> io::Result<()> {
    let options = MeasureOptions::parse_args_default_or_exit();
    let invalid = |error: &str| io::Error::other(error.to_owned());
    let binary = env::current_exe()?;
    let binaries =
        binary.parent().ok_or_else(|| invalid("the executable has no directory"))?.to_owned();
    let run =
        format!("{}-{}-{}-{}", options.profile, options.strategy, options.fault, options.seed);
    let settings = MeasureSettings {
        profile: LoadProfile::from_name(&options.profile)
            .ok_or_else(|| invalid(&format!("unknown profile: {:?}", options.profile)))?,
        strategy: options.strategy,
        seconds: options.seconds,
        fault: MeasureFault::from_name(&options.fault)
            .ok_or_else(|| invalid(&format!("unknown fault: {:?}", options.fault)))?,
        seed: options.seed,
        work: binaries.join("measure").join(run),
        binaries,
        samples: options.samples,
    };
    measure::measure(&settings)
}
