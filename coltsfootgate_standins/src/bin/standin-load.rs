//! Runs the load generator as a process: reads a plan, prints `started` and, at the end, the report
//! in JSON.

use std::fs;
use std::io;
use std::path::PathBuf;

use coltsfootgate_standins::load;
use gumdrop::Options;

#[derive(Debug, Options)]
struct LoadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "JSON file with the plan", no_short, required, meta = "FILE")]
    plan: PathBuf,
}

fn main() -> io::Result<()> {
    let options = LoadOptions::parse_args_default_or_exit();
    let plan = serde_json::from_slice(&fs::read(options.plan)?).map_err(io::Error::other)?;
    let report = load::run_plan(plan)?;
    println!("{}", serde_json::to_string(&report).map_err(io::Error::other)?);
    Ok(())
}
