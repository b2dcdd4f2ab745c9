//! Compares who decides about placement in a pool, in simulations; see docs/design/owners-and-grants.md.

use std::io;
use std::path::PathBuf;

use coltsfootgate_standins::pool_model::report::{ReportSettings, write_report};
use gumdrop::Options;

#[derive(Debug, Options)]
struct PoolOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "simulated seconds of each run", no_short, default = "20")]
    seconds: u64,
    #[options(help = "seed of the load", no_short, default = "7")]
    seed: u64,
    #[options(help = "directory for the plots; none are drawn without it", no_short)]
    plots: Option<PathBuf>,
}

fn main() -> io::Result<()> {
    let PoolOptions { seconds, seed, plots, .. } = PoolOptions::parse_args_default_or_exit();
    write_report(&ReportSettings { seconds, seed, plots }, &mut io::stdout())
}
