//! Stand-in of a replica, which announces itself in the store and runs requests.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, answer, Message};
use crate::record::Record;
use crate::store::Store;

/// `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What a replica is.
#[derive(Clone)]
pub struct ReplicaSpec {
    pub id: String,
    pub service: String,
    pub version: String,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Time to run a request that is not a stream, or between two events of a stream.
    pub work: Duration,
    /// Number of events of a stream; 0 for a replica without streams.
    pub events: u64,
}

/// A running replica; clones share it.
#[derive(Clone)]
pub struct Replica {
    spec: ReplicaSpec,
    address: SocketAddr,
    places: Arc<(Mutex<(usize, usize)>, Condvar)>,
    sequence: Arc<AtomicU64>,
    born: u64,
    record: Record,
}

impl Replica {
    /// Starts a replica, which writes its entry at once and then with each heartbeat.
    pub fn start(spec: ReplicaSpec, store: &Store, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let replica = Self {
            address: listener.local_addr()?,
            spec,
            places: Arc::default(),
            sequence: Arc::default(),
            born: born.as_millis() as u64,
            record: record.clone(),
        };
        let served = replica.clone();
        http::serve(listener, move |request, stream| served.handle(request, stream));
        let (announced, store) = (replica.clone(), store.clone());
        thread::spawn(move || loop {
            announced.announce(&store);
            thread::sleep(HEARTBEAT);
        });
        Ok(replica)
    }

    fn announce(&self, store: &Store) {
        let ReplicaSpec { id, service, version, slots, .. } = &self.spec;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let (address, born) = (self.address, self.born);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"seq\":{sequence},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        if request.path() == "/health" {
            let headers = format!("X-Coltsfootgate-Replica-Id: {}\r\n", self.spec.id);
            return answer(stream, 200, &headers, b"");
        }
        let attempt = request.header("x-coltsfootgate-attempt-id").unwrap_or("").to_owned();
        let echo = format!("X-Coltsfootgate-Attempt-Id: {attempt}\r\n");
        let expected = request.header("x-coltsfootgate-expect-replica");
        if expected.is_some_and(|expected| expected != self.spec.id) {
            return answer(stream, 421, &echo, b"");
        }
        let time = request.header("x-coltsfootgate-deadline-ms").and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(time.unwrap_or(60_000));
        if !self.take_place(deadline) {
            let headers = format!("{echo}X-Coltsfootgate-Not-Executed: 1\r\n");
            return answer(stream, 503, &headers, b"");
        }
        let headers = format!("{echo}X-Coltsfootgate-Replica-Stamp: {}\r\n", self.spec.id);
        let served = self.run(request, &attempt, &headers, stream);
        let outcome = if served.is_ok() { "ended" } else { "broke off" };
        self.record.line(&format!("replica {}: run of {attempt} {outcome}", self.spec.id));
        self.places.0.lock().unwrap().0 -= 1;
        self.places.1.notify_one();
        served
    }

    /// Waits for a slot; false if too many wait or the deadline passes.
    fn take_place(&self, deadline: Instant) -> bool {
        let mut places = self.places.0.lock().unwrap();
        if places.0 >= self.spec.slots && places.1 >= self.spec.queue {
            return false;
        }
        places.1 += 1;
        while places.0 >= self.spec.slots && Instant::now() < deadline {
            let wait = Duration::from_millis(50);
            places = self.places.1.wait_timeout(places, wait).unwrap().0;
        }
        places.1 -= 1;
        let is_free = places.0 < self.spec.slots && Instant::now() < deadline;
        places.0 += usize::from(is_free);
        is_free
    }

    fn run(
        &self,
        request: &Message,
        attempt: &str,
        headers: &str,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        self.record.note_run(attempt);
        let last = request.header("last-event-id").unwrap_or("");
        let target = request.target();
        let id = &self.spec.id;
        self.record.line(&format!("replica {id}: runs {attempt} {target} last-event {last:?}"));
        if self.spec.events == 0 {
            thread::sleep(self.spec.work);
            return answer(stream, 200, headers, format!("{id} {attempt}").as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let first = last.parse::<u64>().map_or(1, |last| last + 1);
        for event in first..=self.spec.events {
            thread::sleep(self.spec.work);
            let text = format!("id: {event}\ndata: {} {id}\n\n", self.spec.version);
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
