//! Starts the tasks of one instance and ends them in order.

use std::collections::HashMap;
use std::ffi::c_int;
use std::fmt::{self, Display, Formatter};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use gumdrop::Options;
use log::{info, warn};
use monoio::io::AsyncReadRent;
use monoio::net::{ListenerOpts, TcpListener, UnixStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::dialect::Dialect;
use crate::entry::request::{ENTRY_RULE, RequestBounds};
use crate::entry::{EntryBounds, EntryListener};
use crate::instance::{InstanceParts, start_instance};
use crate::logging::{print_fault, start_logging};
use crate::metrics::ConnectionSide;
use crate::operators::{OperatorsContext, OperatorsServer, UnreadyCause};
use crate::options::{DaemonFlags, DaemonSettings};
use crate::peer::PeerIdentity;
use crate::pipeline::RequestGate;
use crate::shutdown::{ShutdownTrigger, shutdown_pair};

/// Period at which the end of requests in flight is looked for.
const DRAIN_PERIOD: Duration = Duration::from_millis(20);
/// Part of the time to shut down after which the process ends; whoever set it may kill it then.
const GRACE_SHARE: f64 = 0.95;
/// How long a process that is ending waits until the ends of claimed requests are recorded.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// How long a process that ends waits until its last log lines were written.
const LOG_TIME: Duration = Duration::from_millis(200);
/// Exit code for settings that are missing or not allowed.
const EXIT_SETTINGS: u8 = 2;

/// Why the daemon could not start or had to stop.
#[derive(Debug)]
pub enum DaemonFault {
    /// The log could not be set up.
    Logging,
    /// The runtime could not be built.
    Runtime,
    /// An address could not be taken.
    Address(&'static str, SocketAddr),
    /// Signals could not be received.
    Signals,
    /// The adapter for the platform could not be made.
    Platform,
}

impl Display for DaemonFault {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Logging => formatter.write_str("the log cannot be set up"),
            Self::Runtime => formatter.write_str("the runtime cannot be built"),
            Self::Address(side, address) => {
                write!(formatter, "the address {address} for {side} cannot be taken")
            }
            Self::Platform => formatter.write_str("the adapter for the platform cannot be made"),
            Self::Signals => formatter.write_str("signals cannot be received"),
        }
    }
}

impl std::error::Error for DaemonFault {}

/// Runs the daemon with the process's flags and environment.
pub fn run<D: Dialect>() -> ExitCode {
    let flags = DaemonFlags::parse_args_default_or_exit();
    if flags.version {
        let _ = writeln!(io::stdout(), "coltsfootgate {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let environment: HashMap<String, String> = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .collect();
    let settings = match DaemonSettings::new(flags, &environment) {
        Ok(settings) => settings,
        Err(faults) => {
            print_fault(&faults.to_string());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match start::<D>(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            print_fault(&format!("{report:?}"));
            ExitCode::FAILURE
        }
    }
}

fn start<D: Dialect>(settings: DaemonSettings) -> Result<(), Report<DaemonFault>> {
    let (level, format, output) = (settings.log_level, settings.log_format, settings.log_output);
    let log = start_logging(level, format, output).change_context(DaemonFault::Logging)?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(DaemonFault::Runtime)?;
    let served = runtime.block_on(serve::<D>(settings));
    log.wait(LOG_TIME);
    served
}

async fn serve<D: Dialect>(mut settings: DaemonSettings) -> Result<(), Report<DaemonFault>> {
    let peer_listener = bind("peers", settings.peer_listen)?;
    let peers = peer_listener.local_addr().change_context(DaemonFault::Runtime)?;
    settings.set_peer_address(peers);
    let operators_listener = bind("operators", settings.operators_listen)?;
    let operators = operators_listener.local_addr().change_context(DaemonFault::Runtime)?;
    settings.set_operators_address(operators);
    info!("listening on {operators} for operators");
    let signals = signal_stream()?;
    let (trigger, shutdown) = shutdown_pair();
    let identity = PeerIdentity::new(settings.instance.clone(), settings.peer_secret.clone())
        .ok_or_else(|| Report::new(DaemonFault::Address("peers", settings.peer_listen)))?;
    let platform =
        D::platform(&settings).map_err(|fault| Report::new(DaemonFault::Platform).attach(fault))?;
    let parts = start_instance::<D>(&settings, platform, identity, peer_listener);
    start_operators(&settings, &parts, operators_listener);
    let listener = bind("callers", settings.listen)?;
    let callers = listener.local_addr().change_context(DaemonFault::Runtime)?;
    let bounds = entry_bounds(&settings);
    let gate = Rc::new(RequestGate::<D>::new(parts.context.clone(), bounds.request.clone()));
    let (metrics, tree) = (parts.context.metrics.clone(), parts.context.tree.clone());
    let entry = EntryListener::new(listener, gate, bounds, metrics, tree, shutdown);
    monoio::spawn(entry.run());
    announce(callers, peers, operators);
    monoio::spawn(follow_reloads(reload_stream()?));
    wait_for_signal(signals).await;
    drain(&settings, &parts, trigger).await;
    Ok(())
}

fn start_operators(settings: &DaemonSettings, parts: &InstanceParts, listener: TcpListener) {
    let context = OperatorsContext {
        metrics: parts.context.metrics.clone(),
        board: parts.board.clone(),
        records: parts.context.records.clone(),
        readiness: parts.readiness.clone(),
        tree: parts.context.tree.clone(),
        connections_max: settings.operators_connections,
        readiness_path: settings.readiness_path.clone(),
    };
    monoio::spawn(OperatorsServer::new(listener, context).serve());
}

fn bind(side: &'static str, address: SocketAddr) -> Result<TcpListener, Report<DaemonFault>> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
        .change_context_lazy(|| DaemonFault::Address(side, address))
}

fn entry_bounds(settings: &DaemonSettings) -> EntryBounds {
    let (body_max, body_timeout) = (settings.body_bytes, settings.body_time);
    EntryBounds {
        connections_max: settings.connections,
        head_max: settings.head_bytes,
        head_timeout: settings.head_time,
        idle_timeout: settings.idle_time,
        request: RequestBounds { body_max, body_timeout, rule: ENTRY_RULE },
    }
}

/// Tells whoever started the process where it listens.
fn announce(callers: SocketAddr, peers: SocketAddr, operators: SocketAddr) {
    let mut output = io::stdout();
    let _ = writeln!(output, "listening callers={callers} peers={peers} operators={operators}");
    let _ = output.flush();
}

fn signal_stream() -> Result<UnixStream, Report<DaemonFault>> {
    signals_as_stream(&[SIGTERM, SIGINT])
}

fn reload_stream() -> Result<UnixStream, Report<DaemonFault>> {
    signals_as_stream(&[SIGHUP])
}

/// Tells of each SIGHUP. Flags and environment of a process do not change while it runs.
async fn follow_reloads(mut stream: UnixStream) {
    let mut buffer = vec![0; 1];
    loop {
        let (read, taken) = stream.read(buffer).await;
        buffer = taken;
        if !matches!(read, Ok(1..)) {
            return;
        }
        info!("reload: the settings of this process are those of its start");
    }
}

fn signals_as_stream(signals: &[c_int]) -> Result<UnixStream, Report<DaemonFault>> {
    let (receiver, sender) =
        std::os::unix::net::UnixStream::pair().change_context(DaemonFault::Signals)?;
    // A read that waits in the kernel would stop all tasks of the process.
    receiver.set_nonblocking(true).change_context(DaemonFault::Signals)?;
    for signal in signals {
        let sender = sender.try_clone().change_context(DaemonFault::Signals)?;
        signal_hook::low_level::pipe::register(*signal, sender)
            .change_context(DaemonFault::Signals)?;
    }
    UnixStream::from_std(receiver).change_context(DaemonFault::Signals)
}

async fn wait_for_signal(stream: UnixStream) {
    let _ = stream.readable(false).await;
}

/// Lets the balancer notice, then ends the listener and every request in flight.
async fn drain(settings: &DaemonSettings, parts: &InstanceParts, trigger: ShutdownTrigger) {
    let end = Instant::now() + settings.grace_time.mul_f64(GRACE_SHARE);
    info!("shutting down: unready, new connections for {:?} more", settings.drain_time);
    parts.readiness.close(UnreadyCause::Leaving);
    parts.members.leave().await;
    monoio::time::sleep(settings.drain_time).await;
    trigger.trigger();
    let open = || parts.context.metrics.open_connections(ConnectionSide::Callers);
    while open() > 0 && Instant::now() < end {
        monoio::time::sleep(DRAIN_PERIOD).await;
    }
    match open() {
        0 => info!("shut down: no request in flight"),
        open => warn!("shut down: the time is up with {open} connections of callers open"),
    }
    let settle_until = (Instant::now() + SETTLE_TIME).min(end);
    while parts.context.claims.open_settlements() > 0 && Instant::now() < settle_until {
        monoio::time::sleep(DRAIN_PERIOD).await;
    }
}
