//! Runs a stand-in for the platform as a process.

use std::net::SocketAddr;

use coltsfootgate_standins::platform;
use coltsfootgate_standins::runner;
use gumdrop::Options;

#[derive(Debug, Options)]
struct PlatformOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", no_short, meta = "IP:PORT")]
    listen: Option<SocketAddr>,
}

fn main() -> std::io::Result<()> {
    let options = PlatformOptions::parse_args_default_or_exit();
    platform::start_platform(options.listen.unwrap_or(runner::ANY_PORT))?.run_as_process();
    Ok(())
}
