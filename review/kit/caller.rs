//! Stand-in of a caller.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_chunk, read_head};

/// What a caller sends.
#[derive(Clone, Default)]
pub struct Call {
    pub method: &'static str,
    pub target: String,
    pub attempt: String,
    pub key: String,
    pub deadline_ms: u64,
    /// More header lines, each with its line end.
    pub headers: String,
}

impl Call {
    fn text(&self) -> String {
        let Call { method, target, attempt, key, deadline_ms, headers } = self;
        let length = if *method == "POST" { "Content-Length: 2\r\n" } else { "" };
        let body = if *method == "POST" { "{}" } else { "" };
        format!(
            "{method} {target} HTTP/1.1\r\nHost: a.example\r\n\
             X-Coltsfootgate-Attempt-Id: {attempt}\r\n\
             X-Coltsfootgate-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n\
             {headers}{length}\r\n{body}"
        )
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The whole answer arrived.
    Answered,
    /// The connection ended before the first byte of an answer.
    NoAnswer,
    /// The connection ended in the middle of an answer.
    Cut,
    /// The deadline passed.
    Deadline,
    /// No connection could be opened.
    NoConnection,
}

/// The answer of a call.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub end: End,
    /// Whether the connection can be used again.
    pub is_kept: bool,
    /// The signature of the replica that answered.
    pub stamp: Option<String>,
    /// The time after which the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Default for Reply {
    fn default() -> Self {
        let (body, end) = (String::new(), End::NoAnswer);
        Self { status: 0, body, end, is_kept: false, stamp: None, retry_after: None }
    }
}

impl Reply {
    /// The data of the events of a stream.
    pub fn events(&self) -> Vec<&str> {
        self.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
    }

    /// The id of the last event of a stream.
    pub fn last_event(&self) -> Option<&str> {
        let whole = &self.body[..self.body.rfind("\n\n").map_or(0, |end| end + 1)];
        whole.lines().filter_map(|line| line.strip_prefix("id: ")).next_back()
    }
}

/// A connection of a caller.
pub struct Caller {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Caller {
    /// Opens a connection.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a call and reads its answer until the deadline.
    pub fn call(&mut self, call: &Call) -> Reply {
        let mut reply = Reply::default();
        let time = Duration::from_millis(call.deadline_ms + 1000);
        let _ = self.stream.set_read_timeout(Some(time));
        if self.stream.write_all(call.text().as_bytes()).is_err() {
            return reply;
        }
        if let Err(error) = self.read(&mut reply) {
            let is_late =
                matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
            reply.end = match reply.status {
                _ if is_late => End::Deadline,
                0 => End::NoAnswer,
                _ => End::Cut,
            };
        }
        reply
    }

    fn read(&mut self, reply: &mut Reply) -> io::Result<()> {
        let head = read_head(&mut self.reader)?;
        let head = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        reply.status = head.status();
        reply.stamp = head.header("x-coltsfootgate-replica-stamp").map(str::to_owned);
        let retry_after = head.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        reply.retry_after = retry_after.map(Duration::from_secs_f64);
        let is_closed = head.header("connection").is_some_and(|value| value == "close");
        if head.header("transfer-encoding").is_some() {
            while let Some(chunk) = read_chunk(&mut self.reader)? {
                reply.body.push_str(&String::from_utf8_lossy(&chunk));
            }
        } else if let Some(length) = head.header("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            let mut body = vec![0; length];
            io::Read::read_exact(&mut self.reader, &mut body)?;
            reply.body = String::from_utf8_lossy(&body).into_owned();
        } else {
            io::Read::read_to_string(&mut self.reader, &mut reply.body)?;
        }
        reply.end = End::Answered;
        reply.is_kept = !is_closed;
        Ok(())
    }
}

/// Sends a call on a new connection.
pub fn call_once(address: SocketAddr, call: &Call) -> Reply {
    match Caller::connect(address) {
        Ok(mut caller) => caller.call(call),
        Err(_) => Reply { end: End::NoConnection, ..Reply::default() },
    }
}
