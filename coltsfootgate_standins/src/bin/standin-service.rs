//! Runs a stand-in for a plain HTTP service as a process.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootgate_standins::runner;
use coltsfootgate_standins::service;
use gumdrop::Options;

#[derive(Debug, Options)]
struct ServiceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", no_short, meta = "IP:PORT")]
    listen: Option<SocketAddr>,
    #[options(help = "delay of each answer, in milliseconds", no_short)]
    work_ms: u64,
}

fn main() -> std::io::Result<()> {
    let options = ServiceOptions::parse_args_default_or_exit();
    let work = Duration::from_millis(options.work_ms);
    service::start_plain_service(options.listen.unwrap_or(runner::ANY_PORT), work)?
        .run_as_process();
    Ok(())
}
