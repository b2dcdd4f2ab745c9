//! HTTP/1.1 over blocking sockets: what servers read, and what clients send and read.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a request or an answer, with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lowercase.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let value = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        let mut bytes = Vec::new();
        let mut rest = value.as_bytes();
        while let Some((byte, after)) = rest.split_first() {
            rest = after;
            match byte {
                b'%' if rest.len() >= 2 => {
                    let digits = std::str::from_utf8(&rest[..2]).ok()?;
                    bytes.push(u8::from_str_radix(digits, 16).ok()?);
                    rest = &rest[2..];
                }
                b'+' => bytes.push(b' '),
                other => bytes.push(*other),
            }
        }
        String::from_utf8(bytes).ok()
    }
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { line: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head ended early"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("a line is no header"))?;
        message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    if message.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut message.body)?;
    } else {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the chunks ended early"));
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("no chunk size"))?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// How an exchange of a client ended.
#[derive(Clone, Debug)]
pub enum Exchange {
    /// A whole answer.
    Whole(Message),
    /// An answer that broke off after its head.
    Cut(Message),
    /// No answer.
    None(String),
}

impl Exchange {
    /// In a few words, for the record.
    pub fn summary(&self) -> String {
        match self {
            Exchange::Whole(answer) => format!("{} whole", answer.status()),
            Exchange::Cut(answer) => format!("{} cut off", answer.status()),
            Exchange::None(cause) => format!("no answer ({cause})"),
        }
    }

    pub fn is_success(&self) -> bool {
        matches!(self, Exchange::Whole(answer) if answer.status() == 200)
    }
}

/// A connection of a client, which may be kept for several requests.
pub struct ClientConnection {
    reader: BufReader<TcpStream>,
}

impl ClientConnection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads the answer to its end.
    pub fn exchange(&mut self, request: &str, deadline: Duration) -> Exchange {
        let due = Instant::now() + deadline;
        if let Err(error) = self.send(request, due) {
            return Exchange::None(error.to_string());
        }
        let mut answer = match read_head(&mut self.reader) {
            Ok(Some(answer)) => answer,
            Ok(None) => return Exchange::None("the connection was closed".into()),
            Err(error) => return Exchange::None(error.to_string()),
        };
        match self.read_body(&mut answer) {
            Ok(()) => Exchange::Whole(answer),
            Err(_) => Exchange::Cut(answer),
        }
    }

    fn send(&mut self, request: &str, due: Instant) -> io::Result<()> {
        let time_left = due.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.reader.get_ref().set_read_timeout(Some(time_left))?;
        self.reader.get_mut().write_all(request.as_bytes())
    }

    fn read_body(&mut self, answer: &mut Message) -> io::Result<()> {
        if answer.header("transfer-encoding").is_some() {
            return read_chunks(&mut self.reader, &mut answer.body);
        }
        match answer.header("content-length").and_then(|text| text.parse().ok()) {
            Some(length) => {
                answer.body = vec![0; length];
                self.reader.read_exact(&mut answer.body)
            }
            None => self.reader.read_to_end(&mut answer.body).map(|_| ()),
        }
    }
}

/// Sends one request on a new connection.
pub fn call(address: SocketAddr, request: &str, deadline: Duration) -> Exchange {
    match ClientConnection::open(address) {
        Ok(mut connection) => connection.exchange(request, deadline),
        Err(error) => Exchange::None(error.to_string()),
    }
}

/// The bytes of an answer with a body of known length.
pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}
