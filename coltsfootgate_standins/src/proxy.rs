//! A TCP proxy that injects faults between two processes.

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

/// What the proxy does with the bytes of a connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxyMode {
    /// Bytes pass both ways.
    #[default]
    Pass,
    /// New connections are refused.
    Refuse,
    /// Bytes from the side that connected are dropped.
    SwallowUp,
    /// Bytes toward the side that connected are dropped.
    SwallowDown,
    /// Bytes are dropped both ways.
    Swallow,
}

/// Orders to a proxy; what is left out stays as it was.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ProxyCommand {
    mode: Option<ProxyMode>,
    /// Every piece is held back this long, each way.
    delay_ms: Option<u64>,
    /// Cuts each later connection after this many bytes toward the side that connected; 0 ends it.
    cut_after_bytes: Option<u64>,
    /// Cuts all present connections.
    cut: Option<bool>,
    /// Makes all present connections silent for good, while new ones work.
    silence_existing: Option<bool>,
    /// Later connections go to this address.
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
    opened: Cell<u64>,
    open: Cell<u64>,
    /// Connections with a lower number are cut.
    cut_below: Cell<u64>,
    /// Connections with a lower number are silent.
    silent_below: Cell<u64>,
    bytes_up: Cell<u64>,
    bytes_down: Cell<u64>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowDirection {
    Up,
    Down,
}

/// Starts a proxy toward an address on a thread of its own.
pub fn start_proxy(listen: SocketAddr, target: SocketAddr) -> io::Result<StandinHandle> {
    runner::start(listen, move |listener, control_listener| {
        let state = Rc::new(ProxyState::new(target));
        monoio::spawn(http_server::serve_control(state.clone(), control_listener));
        monoio::spawn(async move {
            let accepted = |stream| drop(monoio::spawn(relay_connection(state.clone(), stream)));
            http_server::accept_while_open(&state.gate, listener, accepted).await;
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

    fn swallows(&self, number: u64, direction: FlowDirection) -> bool {
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

async fn relay_connection(state: Rc<ProxyState>, near: TcpStream) {
    state.opened.set(state.opened.get() + 1);
    state.open.set(state.open.get() + 1);
    let number = state.opened.get();
    if let Ok(far) = TcpStream::connect(state.target.get()).await {
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (near_reader, near_writer) = near.into_split();
        let (far_reader, far_writer) = far.into_split();
        let up = copy(&state, number, FlowDirection::Up, near_reader, far_writer);
        let down = copy(&state, number, FlowDirection::Down, far_reader, near_writer);
        let cut = state.changed.until(|| number < state.cut_below.get());
        select(pin!(try_join(up, down)), pin!(cut)).await;
    }
    state.open.set(state.open.get() - 1);
}

async fn copy(
    state: &ProxyState,
    number: u64,
    direction: FlowDirection,
    mut reader: impl AsyncReadRent,
    mut writer: impl AsyncWriteRent,
) -> io::Result<()> {
    let cut_after = state.cut_after.get().filter(|_| direction == FlowDirection::Down);
    let mut left = cut_after.unwrap_or(u64::MAX);
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let (read, mut piece) = reader.read(buffer).await;
        let bytes = read?;
        if !state.delay.get().is_zero() {
            monoio::time::sleep(state.delay.get()).await;
        }
        if state.swallows(number, direction) {
            if bytes == 0 {
                future::pending::<()>().await;
            }
            piece.clear();
            buffer = piece;
            continue;
        }
        if bytes == 0 {
            return writer.shutdown().await;
        }
        piece.truncate(left.min(bytes as u64) as usize);
        left -= piece.len() as u64;
        let counter = state.counter(direction);
        counter.set(counter.get() + piece.len() as u64);
        let (written, mut piece) = writer.write_all(piece).await;
        written?;
        if left == 0 {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        piece.clear();
        buffer = piece;
    }
}
