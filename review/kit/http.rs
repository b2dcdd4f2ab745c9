//! HTTP/1.1 as the stand-ins need it: a server with a thread for each connection, and a client.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request or an answer that was read completely.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The headers, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// The path of a request, without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("/")
    }

    /// A decoded parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decoded(value))
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn decoded(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(Some(message));
        };
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads one chunk; `None` at the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(())
}

/// Sends an answer with a length.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head =
        format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// The open connections of a server.
#[derive(Clone, Default)]
pub struct Connections(Arc<Mutex<Vec<TcpStream>>>);

impl Connections {
    /// Closes all of them.
    pub fn cut(&self) {
        for stream in self.0.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests on a listener; `handle` returns an error to close the connection.
pub fn serve<H>(listener: TcpListener, handle: H) -> Connections
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let connections = Connections::default();
    let (open, handle) = (connections.clone(), Arc::new(handle));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                open.0.lock().unwrap().push(copy);
            }
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    connections
}

fn serve_connection<H>(mut stream: TcpStream, handle: &H)
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<()>,
{
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(mut message)) = read_head(&mut reader) {
        let is_read = read_body(&mut reader, &mut message).is_ok();
        if !is_read || handle(&message, &mut stream).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Sends a request on a new connection and reads its whole answer.
pub fn call(address: SocketAddr, request: &str, time: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(time))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut message = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    read_body(&mut reader, &mut message)?;
    Ok(message)
}
