//! A server that sends scripted bytes, for answers that no HTTP library would send.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use crate::runner::ANY_PORT;

/// How long a read or write may block before the server checks whether it was stopped.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Maximum size of the head of a request, in bytes.
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// One step of an answer. After the last one the connection is closed, unless that keeps it open.
#[derive(Clone, Debug)]
pub enum RawStep {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Sends these bytes again and again, until the other side closes the connection.
    Repeat(Vec<u8>),
    /// Sends nothing for this time.
    Pause(Duration),
    /// Keeps the connection open for the next request.
    KeepOpen,
    /// Resets the connection.
    Reset,
    /// Ends the server: all its connections are closed, and new ones are refused.
    Crash,
}

impl RawStep {
    /// Sends a text.
    pub fn text(text: impl Into<String>) -> Self {
        Self::Send(text.into().into_bytes())
    }
}

/// Returns the value of a header in the head of a request.
pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Chooses the steps of the answer to a request with this head.
type AnswerScript = dyn Fn(&str) -> Vec<RawStep> + Send + Sync;

struct ServerState {
    script: Box<AnswerScript>,
    is_stopped: AtomicBool,
    bytes_sent: AtomicU64,
    heads: Mutex<Vec<String>>,
    address: SocketAddr,
    /// The open connections, by their number.
    connections: Mutex<HashMap<usize, TcpStream>>,
}

/// A running server, which is stopped when dropped. Each connection serves one request, unless it is kept open.
pub struct RawServer {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Arc<ServerState>,
    thread: Option<JoinHandle<()>>,
}

impl RawServer {
    /// Starts a server that answers each request as `script` says for its head.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(
        script: impl Fn(&str) -> Vec<RawStep> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT)?;
        let address = listener.local_addr()?;
        let state = Arc::new(ServerState {
            script: Box::new(script),
            is_stopped: AtomicBool::new(false),
            bytes_sent: AtomicU64::new(0),
            heads: Mutex::default(),
            address,
            connections: Mutex::default(),
        });
        let accepting = state.clone();
        let thread = thread::spawn(move || accept_connections(listener, &accepting));
        Ok(Self { address, state, thread: Some(thread) })
    }

    /// The heads of all requests so far.
    pub fn heads(&self) -> Vec<String> {
        self.state.heads.lock().expect("no writer panics").clone()
    }

    /// Whether a step of an answer has ended the server.
    pub fn has_crashed(&self) -> bool {
        self.state.is_stopped.load(Ordering::Relaxed)
    }

    /// Ends the server as [`RawStep::Crash`] does.
    pub fn crash(&self) {
        self.state.stop();
    }

    /// The number of bytes sent so far on all connections.
    pub fn bytes_sent(&self) -> u64 {
        self.state.bytes_sent.load(Ordering::Relaxed)
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.state.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept_connections(listener: TcpListener, state: &Arc<ServerState>) {
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        if state.is_stopped.load(Ordering::Relaxed) {
            break;
        }
        let (state, number) = (state.clone(), connections.len());
        if let Ok(stream) = stream.try_clone() {
            state.connections.lock().expect("no holder panics").insert(number, stream);
        }
        connections.push(thread::spawn(move || {
            let _ = state.serve(stream);
            // Only the last handle closes the connection.
            state.connections.lock().expect("no holder panics").remove(&number);
        }));
    }
    drop(listener);
    for connection in connections {
        let _ = connection.join();
    }
}

impl ServerState {
    /// Closes all connections and accepts no new ones.
    fn stop(&self) {
        if self.is_stopped.swap(true, Ordering::Relaxed) {
            return;
        }
        // Wakes the thread that waits for the next connection.
        let _ = TcpStream::connect(self.address);
        for (_, connection) in self.connections.lock().expect("no holder panics").drain() {
            // Fails if the other side has already closed it.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(STOP_CHECK_PERIOD))?;
        stream.set_write_timeout(Some(STOP_CHECK_PERIOD))?;
        while self.serve_request(&mut stream)? {}
        Ok(())
    }

    /// Serves one request; returns whether the connection is kept open.
    fn serve_request(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let head = self.read_head(stream)?;
        self.heads.lock().expect("no reader panics").push(head.clone());
        for step in (self.script)(&head) {
            match step {
                RawStep::KeepOpen => return Ok(true),
                RawStep::Send(bytes) => self.send(stream, &bytes)?,
                RawStep::Repeat(bytes) => loop {
                    self.send(stream, &bytes)?;
                },
                RawStep::Pause(time) => thread::sleep(time),
                RawStep::Crash => {
                    self.stop();
                    return Ok(false);
                }
                RawStep::Reset => {
                    // The connection is reset instead of closed in the normal way.
                    set_socket_linger(&*stream, Some(Duration::ZERO))?;
                    return Ok(false);
                }
            }
        }
        Ok(false)
    }

    fn read_head(&self, stream: &mut TcpStream) -> io::Result<String> {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") && head.len() < HEAD_BYTES_MAX {
            match stream.read(&mut byte) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => head.push(byte[0]),
                Err(error) => self.check_blocked(error)?,
            }
        }
        Ok(String::from_utf8_lossy(&head).into_owned())
    }

    fn send(&self, stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match stream.write(bytes) {
                Ok(sent) => {
                    self.bytes_sent.fetch_add(sent as u64, Ordering::Relaxed);
                    bytes = &bytes[sent..];
                }
                Err(error) => self.check_blocked(error)?,
            }
        }
        Ok(())
    }

    /// Returns an error unless a call was only blocked and the server still runs.
    fn check_blocked(&self, error: io::Error) -> io::Result<()> {
        let is_blocked =
            matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
        if is_blocked && !self.is_stopped.load(Ordering::Relaxed) { Ok(()) } else { Err(error) }
    }
}
