//! TCP proxy that injects faults between two processes.

use std::cell::Cell;
use std::future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{select, try_join};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::TcpStream;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::http_server::{self, ControlTarget};
use crate::runner::{self, StandinHandle};
use crate::signal::{ChangeSignal, ServerGate};

const BUFFER_BYTES: usize = 16 * 1024;

/// How the proxy treats connections and their bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxyMode {
    /// Bytes are relayed in both directions.
    #[default]
    Pass,
    /// New connections are refused; open ones are still relayed.
    Refuse,
    /// Bytes from the client are dropped.
    SwallowUp,
    /// Bytes to the client are dropped.
    SwallowDown,
    /// Bytes are dropped in both directions.
    Swallow,
}

/// Control command of a proxy; members that are left out stay unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ProxyCommand {
    mode: Option<ProxyMode>,
    /// Delay of every chunk in each direction, in milliseconds.
    delay_ms: Option<u64>,
    /// Closes each later connection after this many bytes to the client; 0 disables it.
    cut_after_bytes: Option<u64>,
    /// Closes all open connections.
    cut: Option<bool>,
    /// Drops all bytes of the open connections from now on; later ones work.
    silence_existing: Option<bool>,
    /// Upstream address of later connections.
    target: Option<SocketAddr>,
}

#[derive(Debug)]
struct ProxyState {
    target: Cell<SocketAddr>,
    gate: ServerGate,
    changed: ChangeSignal,
    mode: Cell<ProxyMode>,
    delay: Cell<Duration>,
    cut_after: Cell<Option<u64>>,
    /// Number of connections so far, which is the number of the last one.
    opened: Cell<u64>,
    /// Number of open connections.
    open: Cell<u64>,
    /// Connections with a lower number are closed.
    cut_below: Cell<u64>,
    /// The bytes of connections with a lower number are dropped.
    silent_below: Cell<u64>,
    /// Bytes relayed to the upstream.
    bytes_up: Cell<u64>,
    /// Bytes relayed to the client.
    bytes_down: Cell<u64>,
}

/// Direction of relayed bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowDirection {
    /// From the client to the upstream.
    Up,
    /// From the upstream to the client.
    Down,
}

/// Starts a proxy on its own thread that relays connections to `target`.
pub fn start_proxy(listen: SocketAddr, target: SocketAddr) -> io::Result<StandinHandle> {
    runner::start(listen, move |listener, control_listener| {
        let state = Rc::new(ProxyState::new(target));
        monoio::spawn(http_server::serve_control(state.clone(), control_listener));
        monoio::spawn(async move {
            let on_accept = |stream| drop(monoio::spawn(relay_connection(state.clone(), stream)));
            http_server::accept_while_open(&state.gate, listener, on_accept).await;
        });
    })
}

impl ControlTarget for ProxyState {
    fn gate(&self) -> &ServerGate {
        &self.gate
    }

    fn apply_command(&self, command: &[u8]) -> Result<(), String> {
        let command: ProxyCommand =
            serde_json::from_slice(command).map_err(|error| error.to_string())?;
        if let Some(mode) = command.mode {
            self.mode.set(mode);
            self.gate.set_open(mode != ProxyMode::Refuse);
        }
        self.delay.set(command.delay_ms.map_or(self.delay.get(), Duration::from_millis));
        self.target.set(command.target.unwrap_or(self.target.get()));
        if let Some(bytes) = command.cut_after_bytes {
            self.cut_after.set((bytes > 0).then_some(bytes));
        }
        if command.cut == Some(true) {
            self.cut_below.set(self.opened.get() + 1);
        }
        if command.silence_existing == Some(true) {
            self.silent_below.set(self.opened.get() + 1);
        }
        self.changed.notify();
        Ok(())
    }

    fn counters(&self) -> Value {
        json!({
            "opened": self.opened.get(),
            "open": self.open.get(),
            "bytes_up": self.bytes_up.get(),
            "bytes_down": self.bytes_down.get(),
        })
    }
}

impl ProxyState {
    fn new(target: SocketAddr) -> Self {
        Self {
            target: Cell::new(target),
            gate: ServerGate::default(),
            changed: ChangeSignal::default(),
            mode: Cell::default(),
            delay: Cell::default(),
            cut_after: Cell::default(),
            opened: Cell::default(),
            open: Cell::default(),
            cut_below: Cell::default(),
            silent_below: Cell::default(),
            bytes_up: Cell::default(),
            bytes_down: Cell::default(),
        }
    }

    /// Whether the bytes of a connection are dropped in this direction.
    fn drops_bytes(&self, number: u64, direction: FlowDirection) -> bool {
        let by_mode = match self.mode.get() {
            ProxyMode::Pass | ProxyMode::Refuse => false,
            ProxyMode::SwallowUp => direction == FlowDirection::Up,
            ProxyMode::SwallowDown => direction == FlowDirection::Down,
            ProxyMode::Swallow => true,
        };
        by_mode || number < self.silent_below.get()
    }

    fn counter(&self, direction: FlowDirection) -> &Cell<u64> {
        match direction {
            FlowDirection::Up => &self.bytes_up,
            FlowDirection::Down => &self.bytes_down,
        }
    }
}

async fn relay_connection(state: Rc<ProxyState>, client: TcpStream) {
    state.opened.set(state.opened.get() + 1);
    state.open.set(state.open.get() + 1);
    let number = state.opened.get();
    if let Ok(upstream) = TcpStream::connect(state.target.get()).await {
        let _ = client.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let (client_reader, client_writer) = client.into_split();
        let (upstream_reader, upstream_writer) = upstream.into_split();
        let up = copy_bytes(&state, number, FlowDirection::Up, client_reader, upstream_writer);
        let down = copy_bytes(&state, number, FlowDirection::Down, upstream_reader, client_writer);
        let cut = state.changed.until(|| number < state.cut_below.get());
        select(pin!(try_join(up, down)), pin!(cut)).await;
    }
    state.open.set(state.open.get() - 1);
}

/// Relays one direction of a connection until its end or an injected fault.
async fn copy_bytes(
    state: &ProxyState,
    number: u64,
    direction: FlowDirection,
    mut reader: impl AsyncReadRent,
    mut writer: impl AsyncWriteRent,
) -> io::Result<()> {
    let cut_after = state.cut_after.get().filter(|_| direction == FlowDirection::Down);
    let mut remaining = cut_after.unwrap_or(u64::MAX);
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let (read, mut chunk) = reader.read(buffer).await;
        let bytes = read?;
        if !state.delay.get().is_zero() {
            monoio::time::sleep(state.delay.get()).await;
        }
        if state.drops_bytes(number, direction) {
            // The end of the stream is dropped as well, so the connection stays open.
            if bytes == 0 {
                future::pending::<()>().await;
            }
            chunk.clear();
            buffer = chunk;
            continue;
        }
        if bytes == 0 {
            return writer.shutdown().await;
        }
        chunk.truncate(remaining.min(bytes as u64) as usize);
        remaining -= chunk.len() as u64;
        let counter = state.counter(direction);
        counter.set(counter.get() + chunk.len() as u64);
        let (written, mut chunk) = writer.write_all(chunk).await;
        written?;
        if remaining == 0 {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        chunk.clear();
        buffer = chunk;
    }
}
