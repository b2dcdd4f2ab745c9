//! Measures how the cost of an instance grows with the deployment; see `scripts/slopes`.

use std::env;
use std::io;

use coltsfootgate_standins::slopes::{self, SlopeSettings};
use gumdrop::Options;

#[derive(Debug, Options)]
struct SlopeOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seconds that each point is measured for", no_short, default = "6")]
    seconds: f64,
    #[options(
        help = "measure only the series whose names contain this text",
        no_short,
        default = ""
    )]
    only: String,
}

fn main() -> io::Result<()> {
    let options = SlopeOptions::parse_args_default_or_exit();
    let binary = env::current_exe()?;
    let binaries = binary
        .parent()
        .ok_or_else(|| io::Error::other("the executable has no directory"))?
        .to_owned();
    let work = binaries.join("slopes");
    slopes::run(&SlopeSettings { seconds: options.seconds, only: options.only, binaries, work })
}
