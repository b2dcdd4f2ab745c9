//! A replica: a process of its own that answers with streams or plain answers, and prints what it runs.

use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::{Request, read_request, write_answer};

/// Paths below this one are answered with streams.
pub const STREAM_PREFIX: &str = "/s/";
/// Paths below this one are answered with a long body.
pub const LONG_PREFIX: &str = "/l/";
/// Paths below this one are answered after a long time.
pub const WORK_PREFIX: &str = "/w/";
/// Time that such an answer takes.
const LONG_WORK_TIME: Duration = Duration::from_secs(6);
/// Bytes of a long body.
pub const LONG_BYTES: usize = 1_000_000;
/// Time that a plain answer takes.
const WORK_TIME: Duration = Duration::from_millis(250);
/// Requests that a replica runs at once; its callers see to it that there are no more.
pub const SLOTS: usize = 4;
/// Events of a complete stream.
pub const EVENTS: u64 = 60;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(100);

struct Replica {
    id: String,
    version: String,
}

/// Serves until the process is killed.
pub fn run(address: &str, id: &str, version: &str) {
    let listener = TcpListener::bind(address).unwrap();
    println!("listening");
    let replica = Arc::new(Replica { id: id.to_owned(), version: version.to_owned() });
    for stream in listener.incoming().flatten() {
        let replica = replica.clone();
        thread::spawn(move || replica.serve(stream));
    }
}

impl Replica {
    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let own_id = format!("X-Coltsfootgate-Replica-Id: {}\r\n", self.id);
        if request.path() == "/health" {
            return write_answer(writer, 200, &own_id, b"");
        }
        let expected = request.header("x-coltsfootgate-expect-replica");
        if expected.is_some_and(|expected| expected != self.id) {
            return write_answer(writer, 421, &own_id, b"");
        }
        let attempt = request.header("x-coltsfootgate-attempt-id").unwrap_or_default().to_owned();
        let customer = request.header("x-coltsfootgate-tenant").unwrap_or("-");
        let last = request.header("last-event-id").unwrap_or("0");
        println!("ran {attempt} {} {customer} after {last}", request.path());
        let headers = format!(
            "X-Coltsfootgate-Attempt-Id: {attempt}\r\nX-Coltsfootgate-Replica-Stamp: {}.{}\r\n",
            self.id, self.version
        );
        if request.path().starts_with(LONG_PREFIX) {
            return write_answer(writer, 200, &headers, &vec![b'x'; LONG_BYTES]);
        }
        if !request.path().starts_with(STREAM_PREFIX) {
            let is_long = request.path().starts_with(WORK_PREFIX);
            thread::sleep(if is_long { LONG_WORK_TIME } else { WORK_TIME });
            return write_answer(writer, 200, &headers, b"done");
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in last.parse().unwrap_or(0) + 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let event = format!("id: {number}\ndata: {}\n\n", self.version);
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
