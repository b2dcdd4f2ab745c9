//! Runs the fault-injecting proxy as a process.

use std::net::SocketAddr;

use coltsfootgate_standins::proxy;
use coltsfootgate_standins::runner;
use gumdrop::Options;

#[derive(Debug, Options)]
struct ProxyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", no_short, meta = "IP:PORT")]
    listen: Option<SocketAddr>,
    #[options(help = "upstream address of the connections", no_short, required, meta = "IP:PORT")]
    target: Option<SocketAddr>,
}

fn main() -> std::io::Result<()> {
    let options = ProxyOptions::parse_args_default_or_exit();
    let target = options.target.ok_or(std::io::ErrorKind::InvalidInput)?;
    proxy::start_proxy(options.listen.unwrap_or(runner::ANY_PORT), target)?.run_as_process();
    Ok(())
}
