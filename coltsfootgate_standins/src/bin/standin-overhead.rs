//! Measures the latency and processor time that the daemon adds to calls; see `scripts/overhead`.

use std::env;
use std::io;
use std::time::Duration;

use coltsfootgate_standins::measure::{OverheadSettings, measure_overhead};
use gumdrop::Options;

#[derive(Debug, Options)]
struct OverheadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "calls measured on each route", no_short, default = "200", meta = "NUMBER")]
    calls: u32,
    #[options(
        help = "seconds that each level of load is measured for",
        no_short,
        default = "4",
        meta = "NUMBER"
    )]
    seconds: u64,
    #[options(
        help = "concurrent streams of a level of load; repeat for several levels",
        no_short,
        meta = "NUMBER"
    )]
    streams: Vec<usize>,
}

fn main() -> io::Result<()> {
    let mut options = OverheadOptions::parse_args_default_or_exit();
    if options.streams.is_empty() {
        options.streams = vec![32, 64, 128];
    }
    let binary = env::current_exe()?;
    let binaries = binary.parent().unwrap_or(&binary).to_owned();
    measure_overhead(&OverheadSettings {
        calls: options.calls,
        window: Duration::from_secs(options.seconds),
        levels: options.streams,
        work: binaries.join("overhead"),
        binaries,
    })
}
