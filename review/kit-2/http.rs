//! Just enough of HTTP/1.1 for servers and clients with blocking sockets.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request as a server reads it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key == name).then(|| percent_decode(value))
        })
    }
}

fn percent_decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((byte, after)) = rest.split_first() {
        rest = after;
        match byte {
            b'+' => bytes.push(b' '),
            b'%' if after.len() >= 2 => {
                let digits = std::str::from_utf8(&after[..2]).unwrap_or("20");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
                rest = &after[2..];
            }
            byte => bytes.push(*byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads the next request of a connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    if headers.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    }
    Ok(Request { method, target, headers, body })
}

/// Reads a chunk; `None` for the last one.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let digits = line.split(';').next().unwrap_or_default();
    let length = usize::from_str_radix(digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok((length > 0).then_some(chunk))
}

/// Writes an answer with a body.
pub fn write_answer(
    stream: &mut impl Write,
    status: u16,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// The head of an answer, and the connection on which its body arrives.
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    reader: BufReader<TcpStream>,
}

/// A connection that stays open between requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its whole answer; returns the status.
    pub fn call(&mut self, request: &[u8]) -> io::Result<u16> {
        self.reader.get_mut().write_all(request)?;
        let line = read_line(&mut self.reader)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let headers = read_headers(&mut self.reader)?;
        let length = headers.get("content-length").and_then(|length| length.parse().ok());
        self.reader.read_exact(&mut vec![0; length.unwrap_or(0)])?;
        Ok(status)
    }
}

/// Sends a request on a new connection, and waits for the head of its answer.
pub fn send(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let headers = read_headers(&mut reader)?;
    Ok(Answer { status, headers, reader })
}

impl Answer {
    /// Returns the next piece of the body, or `None` at its proper end.
    pub fn next(&mut self) -> io::Result<Option<Vec<u8>>> {
        read_chunk(&mut self.reader)
    }
}
