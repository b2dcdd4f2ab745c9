//! Blocking HTTP client for the control ports of the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Timeout to connect, and of each read and write.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A blocking client of a control port.
#[derive(Clone, Copy, Debug)]
pub struct ControlClient {
    address: SocketAddr,
}

impl ControlClient {
    /// Creates a client of the control port at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// The address of the control port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a command, such as `json!({"outage": "refuse"})`, and waits until it is applied. The
    /// error of a rejected command has the cause.
    pub fn send(&self, command: &Value) -> io::Result<()> {
        blocking_call(self.address, "POST", "/control", command.to_string().as_bytes())?
            .success()
            .map(drop)
    }

    /// Fetches the counters of the stand-in.
    pub fn counters(&self) -> io::Result<Value> {
        let body = blocking_call(self.address, "GET", "/control", b"")?.success()?;
        serde_json::from_slice(&body).map_err(io::Error::other)
    }
}

/// A complete HTTP response.
#[derive(Debug)]
pub struct BlockingResponse {
    /// The HTTP status.
    pub status: u16,
    /// The status line and the headers.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl BlockingResponse {
    /// Returns the body of a response with a 2xx status, and an error with status and body otherwise.
    pub fn success(self) -> io::Result<Vec<u8>> {
        if (200..300).contains(&self.status) {
            return Ok(self.body);
        }
        let text = String::from_utf8_lossy(&self.body);
        Err(io::Error::other(format!("status {}: {text}", self.status)))
    }
}

/// Makes one HTTP/1.1 call on a new connection and blocks until it is answered.
pub fn blocking_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> io::Result<BlockingResponse> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.set_write_timeout(Some(CALL_TIMEOUT))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    parse_response(&answer).ok_or_else(|| io::Error::other("the answer is not an HTTP response"))
}

fn parse_response(answer: &[u8]) -> Option<BlockingResponse> {
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&answer[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(BlockingResponse { status, head, body: answer[end + 4..].to_vec() })
}
