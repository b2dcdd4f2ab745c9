//! Runs a stand-in for a model engine as a process.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootgate_standins::engine::{self, EngineSettings};
use coltsfootgate_standins::runner;
use gumdrop::Options;

#[derive(Debug, Options)]
struct EngineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", no_short, meta = "IP:PORT")]
    listen: Option<SocketAddr>,
    #[options(help = "seed of the answer lengths", no_short)]
    seed: Option<u64>,
    #[options(help = "largest number of sequences that run at once", no_short)]
    batch: Option<usize>,
    #[options(help = "duration of a step without sequences, in microseconds", no_short)]
    step_base_us: Option<u64>,
    #[options(help = "time that each sequence adds to a step, in microseconds", no_short)]
    step_sequence_us: Option<u64>,
    #[options(help = "time to prefill an uncached prompt token, in microseconds", no_short)]
    prefill_us: Option<u64>,
}

fn main() -> std::io::Result<()> {
    let options = EngineOptions::parse_args_default_or_exit();
    let defaults = EngineSettings::default();
    let micros = |value: Option<u64>, default| value.map_or(default, Duration::from_micros);
    let settings = EngineSettings {
        seed: options.seed.unwrap_or(defaults.seed),
        batch: options.batch.unwrap_or(defaults.batch),
        step_base: micros(options.step_base_us, defaults.step_base),
        step_sequence: micros(options.step_sequence_us, defaults.step_sequence),
        prefill: micros(options.prefill_us, defaults.prefill),
        ..defaults
    };
    engine::start_engine(options.listen.unwrap_or(runner::ANY_PORT), settings)?.run_as_process();
    Ok(())
}
