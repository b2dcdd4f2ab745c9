//! Starts the daemon and shuts it down gracefully.

use std::collections::HashMap;
use std::ffi::c_int;
use std::fmt::{self, Display, Formatter};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coltsfootgate_core::drain::DrainSchedule;
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
use crate::instance::{InstanceHandles, start_instance};
use crate::logging::{print_fault, start_logging};
use crate::metrics::ConnectionSide;
use crate::operators::{OperatorsContext, OperatorsServer, UnreadyCause};
use crate::options::{DaemonFlags, DaemonSettings};
use crate::peer::PeerIdentity;
use crate::pipeline::PipelineHandler;
use crate::shutdown::{ShutdownTrigger, shutdown_pair};

/// Interval at which a shutdown checks whether all requests in flight have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Longest time that a shutdown waits until other instances have the outcomes of claimed requests and the records of
/// streams.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a shutdown waits until the last log lines are written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Exit code for missing or invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Why the daemon could not start or had to exit.
#[derive(Debug)]
pub enum DaemonError {
    /// The log could not be set up.
    Logging,
    /// The runtime could not be built, or the address of a listener could not be read.
    Runtime,
    /// The daemon could not listen on an address, given with its purpose.
    Listen(&'static str, SocketAddr),
    /// The signal handlers could not be installed.
    Signals,
    /// The adapter for the platform could not be created.
    Platform,
}

impl Display for DaemonError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Logging => formatter.write_str("could not set up the log"),
            Self::Runtime => formatter.write_str("could not build the runtime"),
            Self::Listen(purpose, address) => {
                write!(formatter, "could not listen on {address} for {purpose}")
            }
            Self::Platform => formatter.write_str("could not create the adapter for the platform"),
            Self::Signals => formatter.write_str("could not install the signal handlers"),
        }
    }
}

impl std::error::Error for DaemonError {}

/// Runs the daemon with the flags and environment of the process.
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
            return ExitCode::from(EXIT_INVALID_SETTINGS);
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

fn start<D: Dialect>(settings: DaemonSettings) -> Result<(), Report<DaemonError>> {
    let (level, format, output) = (settings.log_level, settings.log_format, settings.log_output);
    let log = start_logging(level, format, output).change_context(DaemonError::Logging)?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(DaemonError::Runtime)?;
    let served = runtime.block_on(serve::<D>(settings));
    log.wait(LOG_FLUSH_TIMEOUT);
    served
}

async fn serve<D: Dialect>(mut settings: DaemonSettings) -> Result<(), Report<DaemonError>> {
    let peer_listener = bind("peers", settings.peer_listen)?;
    let peers = peer_listener.local_addr().change_context(DaemonError::Runtime)?;
    settings.set_peer_address(peers);
    let operators_listener = bind("operators", settings.operators_listen)?;
    let operators = operators_listener.local_addr().change_context(DaemonError::Runtime)?;
    settings.set_operators_address(operators);
    info!("listening on {operators} for operators");
    let signals = signal_stream()?;
    let (trigger, shutdown) = shutdown_pair();
    let identity = PeerIdentity::new(settings.instance.clone(), settings.peer_secret.clone())
        .ok_or_else(|| Report::new(DaemonError::Listen("peers", settings.peer_listen)))?;
    let platform =
        D::platform(&settings).map_err(|fault| Report::new(DaemonError::Platform).attach(fault))?;
    let handles =
        start_instance::<D>(&settings, platform, identity, peer_listener, shutdown.clone());
    start_operators(&settings, &handles, operators_listener);
    let listener = bind("callers", settings.listen)?;
    let callers = listener.local_addr().change_context(DaemonError::Runtime)?;
    let bounds = entry_bounds(&settings);
    let handler =
        Rc::new(PipelineHandler::<D>::new(handles.context.clone(), bounds.request.clone()));
    let (metrics, tree) = (handles.context.metrics.clone(), handles.context.tree.clone());
    let entry = EntryListener::new(listener, handler, bounds, metrics, tree, shutdown);
    monoio::spawn(entry.run());
    print_addresses(callers, peers, operators);
    monoio::spawn(follow_reloads(reload_stream()?));
    wait_for_signal(signals).await;
    drain(&settings, &handles, trigger).await;
    Ok(())
}

fn start_operators(settings: &DaemonSettings, handles: &InstanceHandles, listener: TcpListener) {
    let context = OperatorsContext {
        metrics: handles.context.metrics.clone(),
        status: handles.status.clone(),
        records: handles.context.records.clone(),
        readiness: handles.readiness.clone(),
        tree: handles.context.tree.clone(),
        memory: handles.context.memory.clone(),
        connections_max: settings.operators_connections,
        readiness_path: settings.readiness_path.clone(),
    };
    monoio::spawn(OperatorsServer::new(listener, context).serve());
}

fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, Report<DaemonError>> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
        .change_context_lazy(|| DaemonError::Listen(purpose, address))
}

fn entry_bounds(settings: &DaemonSettings) -> EntryBounds {
    let (body_bytes_max, body_timeout) = (settings.body_bytes, settings.body_time);
    EntryBounds {
        connections_max: settings.connections,
        head_bytes_max: settings.head_bytes,
        head_timeout: settings.head_time,
        idle_timeout: settings.idle_time,
        request: RequestBounds { body_bytes_max, body_timeout, rule: ENTRY_RULE },
    }
}

/// Prints the listening addresses on stdout, for the program that started the process.
fn print_addresses(callers: SocketAddr, peers: SocketAddr, operators: SocketAddr) {
    let mut output = io::stdout();
    let _ = writeln!(output, "listening callers={callers} peers={peers} operators={operators}");
    let _ = output.flush();
}

fn signal_stream() -> Result<UnixStream, Report<DaemonError>> {
    signals_as_stream(&[SIGTERM, SIGINT])
}

fn reload_stream() -> Result<UnixStream, Report<DaemonError>> {
    signals_as_stream(&[SIGHUP])
}

/// Logs that SIGHUP has no effect, since the flags and environment of a process do not change while
/// it runs.
async fn follow_reloads(mut stream: UnixStream) {
    let mut buffer = vec![0; 1];
    loop {
        let (read, returned) = stream.read(buffer).await;
        buffer = returned;
        if !matches!(read, Ok(1..)) {
            return;
        }
        info!("reload: ignored, flags and environment are read only when the process starts");
    }
}

fn signals_as_stream(signals: &[c_int]) -> Result<UnixStream, Report<DaemonError>> {
    let (receiver, sender) =
        std::os::unix::net::UnixStream::pair().change_context(DaemonError::Signals)?;
    // A blocking read would block all tasks of the process.
    receiver.set_nonblocking(true).change_context(DaemonError::Signals)?;
    for signal in signals {
        let sender = sender.try_clone().change_context(DaemonError::Signals)?;
        signal_hook::low_level::pipe::register(*signal, sender)
            .change_context(DaemonError::Signals)?;
    }
    UnixStream::from_std(receiver).change_context(DaemonError::Signals)
}

async fn wait_for_signal(stream: UnixStream) {
    let _ = stream.readable(false).await;
}

/// Fails readiness checks until load balancers have noticed, then closes the listener and waits
/// until the requests in flight have ended, by the schedule at the latest.
async fn drain(settings: &DaemonSettings, handles: &InstanceHandles, mut trigger: ShutdownTrigger) {
    let schedule = DrainSchedule::new(Instant::now(), settings.grace_time);
    trigger.start(schedule);
    info!(
        "shutting down: not ready, accepting new connections for another {:?}",
        settings.drain_time
    );
    handles.readiness.set_unready(UnreadyCause::Leaving);
    handles.forwards.close();
    handles.members.leave().await;
    let time_left = schedule.time_left(Instant::now());
    monoio::time::sleep(settings.drain_time.min(time_left)).await;
    trigger.close();
    let open = || handles.context.metrics.open_connections(ConnectionSide::Callers);
    while (open() > 0 || handles.forwards.open() > 0) && Instant::now() < schedule.exits_by {
        monoio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
    match open() {
        0 => info!("shut down: all connections of callers are closed"),
        open => warn!("shut down: the grace time passed with {open} connections of callers open"),
    }
    let settle_until = (Instant::now() + SETTLE_TIMEOUT).min(schedule.exits_by);
    let is_open = || {
        let context = &handles.context;
        context.claims.open_settlements() > 0 || context.streams.has_open_deliveries()
    };
    while is_open() && Instant::now() < settle_until {
        monoio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
}
