//! Steers a stand-in over HTTP from a thread that may block.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// A blocking client of a control port.
#[derive(Clone, Copy, Debug)]
pub struct ControlClient {
    address: SocketAddr,
}

impl ControlClient {
    /// A client of the control port at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// The address of the control port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives an order, such as `json!({"outage": "refuse"})`; an error says why it was not taken.
    pub fn send(&self, command: &Value) -> io::Result<()> {
        blocking_call(self.address, "POST", "/control", command.to_string().as_bytes())?
            .success()
            .map(drop)
    }

    /// What the stand-in counted so far.
    pub fn counters(&self) -> io::Result<Value> {
        let body = blocking_call(self.address, "GET", "/control", b"")?.success()?;
        serde_json::from_slice(&body).map_err(io::Error::other)
    }
}

/// A whole response.
#[derive(Debug)]
pub struct BlockingResponse {
    /// The HTTP status.
    pub status: u16,
    /// The head as text.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl BlockingResponse {
    /// The body, if the status tells of success.
    pub fn success(self) -> io::Result<Vec<u8>> {
        if (200..300).contains(&self.status) {
            return Ok(self.body);
        }
        let text = String::from_utf8_lossy(&self.body);
        Err(io::Error::other(format!("status {}: {text}", self.status)))
    }
}

/// Makes one HTTP/1.1 call on a connection of its own and blocks until it is answered.
pub fn blocking_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> io::Result<BlockingResponse> {
    let mut stream = TcpStream::connect_timeout(&address, CONTROL_TIMEOUT)?;
    stream.set_read_timeout(Some(CONTROL_TIMEOUT))?;
    stream.set_write_timeout(Some(CONTROL_TIMEOUT))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    parse_response(&answer).ok_or_else(|| io::Error::other("the answer is no HTTP response"))
}

fn parse_response(answer: &[u8]) -> Option<BlockingResponse> {
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&answer[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(BlockingResponse { status, head, body: answer[end + 4..].to_vec() })
}
