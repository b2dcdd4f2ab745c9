//! Stand-ins of model replicas: they announce themselves, stream events, queue a few requests and turn others away.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, answer, read_request};
use crate::record::Record;
use crate::store::Store;

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Heartbeats after which the entry of a silent replica is removed.
const SILENT_HEARTBEATS: u32 = 3;
const ACCEPT_POLL: Duration = Duration::from_millis(2);
const WAIT_POLL: Duration = Duration::from_millis(5);

/// What the replicas of a pool do.
pub struct PoolPlan {
    pub service: &'static str,
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: AtomicUsize,
    /// Time until the first event of a stream.
    pub first: Duration,
    pub events: usize,
    /// Time between two events.
    pub gap: Duration,
    /// How the lines of events end: a line feed, a carriage return or both.
    pub line_end: &'static str,
    /// Begin of the ids of parts that crash a replica as it begins to write an answer.
    pub crash_parts: &'static str,
    /// Requests that a replica may turn away in a second before it falls over; 0 if it is not brittle.
    pub brittle: AtomicUsize,
    /// Time until a replica that ended is back, as a new one.
    pub back_after: Duration,
}

/// A request with a crashing part that reached a replica.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub part: String,
}

/// What the replicas of a pool saw.
#[derive(Default)]
pub struct PoolCounts {
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Ends of replicas, with the part or the cause.
    pub ends: Mutex<Vec<(Instant, String)>>,
    /// Requests that ran.
    pub runs: AtomicUsize,
    /// Streams that an end cut off, apart from the requests that caused it.
    pub cut: AtomicUsize,
    pub rejections: AtomicUsize,
}

/// The replicas of one service; clones share the same pool.
#[derive(Clone)]
pub struct Pool {
    pub plan: Arc<PoolPlan>,
    pub counts: Arc<PoolCounts>,
    store: Store,
    record: Record,
    started: Arc<AtomicUsize>,
    is_stopped: Arc<AtomicBool>,
    replicas: Arc<Mutex<Vec<Arc<Replica>>>>,
}

struct Replica {
    pool: Pool,
    name: String,
    is_alive: AtomicBool,
    /// Whether it is partitioned from the store.
    is_cut: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Requests that run and that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    /// When requests were turned away in the last second.
    rejected: Mutex<Vec<Instant>>,
}

impl Pool {
    pub fn start(count: usize, plan: PoolPlan, store: &Store, record: &Record) -> Self {
        let pool = Self {
            plan: Arc::new(plan),
            counts: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            started: Arc::default(),
            is_stopped: Arc::default(),
            replicas: Arc::default(),
        };
        (0..count).for_each(|_| pool.add());
        pool
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Ends the replica that runs most requests.
    pub fn crash_busiest(&self) {
        let replicas = self.replicas.lock().expect("replicas").clone();
        let running = |one: &&Arc<Replica>| one.load.lock().expect("the load").0;
        if let Some(busiest) = replicas.iter().filter(|one| one.is_alive()).max_by_key(running) {
            busiest.end("it crashes");
        }
    }

    /// Partitions a replica from the store, or ends that.
    pub fn set_cut(&self, number: usize, is_cut: bool) {
        let replica = self.replicas.lock().expect("replicas")[number].clone();
        let text = if is_cut { "is cut off from the store" } else { "reaches the store again" };
        self.record.line(format!("{} {text}", replica.name));
        replica.is_cut.store(is_cut, Ordering::Relaxed);
    }

    /// Starts a new replica, with a name and an address of its own.
    fn add(&self) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a replica");
        let address = listener.local_addr().expect("the address of a replica");
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let name = format!("i-{}-{number:04}", self.plan.service);
        let replica = Arc::new(Replica {
            pool: self.clone(),
            name: name.clone(),
            is_alive: AtomicBool::new(true),
            is_cut: AtomicBool::new(false),
            connections: Mutex::default(),
            load: Mutex::default(),
            freed: Condvar::new(),
            rejected: Mutex::default(),
        });
        self.record.line(format!("replica {name} starts at {address}"));
        self.replicas.lock().expect("replicas").push(replica.clone());
        let accepting = replica.clone();
        thread::spawn(move || accepting.accept(listener));
        thread::spawn(move || replica.announce(address));
    }
}

impl Replica {
    fn is_alive(&self) -> bool {
        self.is_alive.load(Ordering::Relaxed)
    }

    /// Writes the entry of this replica until it ends; the entry lapses some time later.
    fn announce(&self, address: SocketAddr) {
        let key = format!("servers/{}", self.name);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let (service, slots) = (self.pool.plan.service, self.pool.plan.slots);
        let mut missed = 0;
        for sequence in 1.. {
            if self.is_cut.load(Ordering::Relaxed) {
                missed += 1;
                if missed == SILENT_HEARTBEATS {
                    self.pool.record.line(format!("the entry of {} lapses", self.name));
                    self.pool.store.remove(&key);
                }
                thread::sleep(HEARTBEAT);
                continue;
            }
            if std::mem::take(&mut missed) > 0 {
                self.pool.record.line(format!("{} writes its entry again", self.name));
            }
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"cluj-a\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\
                 \"cold_remaining_ms\":0,\"seq\":{sequence},\"born\":{born}}}"
            );
            self.pool.store.put(&key, &entry);
            thread::sleep(HEARTBEAT);
            if !self.is_alive() {
                break;
            }
        }
        thread::sleep(HEARTBEAT * (SILENT_HEARTBEATS - 1));
        self.pool.store.remove(&key);
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener without waiting");
        while self.is_alive() && !self.pool.is_stopped.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let replica = self.clone();
                    thread::spawn(move || {
                        let _ = replica.serve(stream);
                    });
                }
                Err(_) => thread::sleep(ACCEPT_POLL),
            }
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        self.connections.lock().expect("connections").push(stream.try_clone()?);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            if !self.is_alive() {
                break;
            }
            self.handle(&request, &mut writer)?;
        }
        Ok(())
    }

    fn handle(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let plan = &self.pool.plan;
        if request.target().starts_with("/coltsfootgate/report") {
            let body = "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":1,\"waiting\":0,\"running\":0,\"kv_cache_used\":0,\"kv_cache_total\":400000,\"handles\":0}";
            return writer.write_all(&answer("200 OK", "Content-Type: application/json\r\n", body));
        }
        let id = request.header("x-coltsfootgate-attempt-id").unwrap_or_default().to_owned();
        if request.header("x-coltsfootgate-expect-replica").is_some_and(|name| name != self.name) {
            let head = format!("X-Coltsfootgate-Replica-Id: {}\r\n", self.name);
            return writer.write_all(&answer("421 Misdirected Request", &head, ""));
        }
        let part = self.crashing_part(request);
        if let Some(part) = &part {
            let arrival = Arrival { at: Instant::now(), id: id.clone(), part: part.clone() };
            self.pool.counts.arrivals.lock().expect("arrivals").push(arrival);
            self.pool.record.line(format!("request {id} with part {part} reaches {}", self.name));
        }
        let Some(has_room) = self.begin(writer) else {
            return Err(io::ErrorKind::ConnectionAborted.into());
        };
        if !has_room {
            self.pool.counts.rejections.fetch_add(1, Ordering::Relaxed);
            let head = format!(
                "X-Coltsfootgate-Attempt-Id: {id}\r\nX-Coltsfootgate-Not-Executed: 1\r\n{}",
                self.brittle_header()
            );
            let sent = writer.write_all(&answer("503 Service Unavailable", &head, ""));
            self.count_rejection();
            return sent;
        }
        let is_open = self.pause(plan.first, writer);
        if let Some(part) = part.filter(|_| is_open) {
            self.end(&format!("part {part}"));
        }
        let streamed = if self.is_alive() && is_open {
            let last = request.header("last-event-id").and_then(|text| text.parse().ok());
            self.stream(&id, last.unwrap_or(0), writer)
        } else {
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        if !self.is_alive() {
            self.pool.counts.cut.fetch_add(1, Ordering::Relaxed);
        }
        self.load.lock().expect("the load").0 -= 1;
        self.freed.notify_one();
        streamed
    }

    fn crashing_part(&self, request: &Message) -> Option<String> {
        let start = self.pool.plan.crash_parts;
        let parts = request.header("x-coltsfootgate-prompt-prefix")?.split(',');
        let mut ids = parts.filter_map(|part| part.split(':').next());
        ids.find(|id| !start.is_empty() && id.starts_with(start)).map(str::to_owned)
    }

    /// Waits for a slot; `false` if there is no room to wait, `None` if the caller left meanwhile.
    fn begin(&self, stream: &TcpStream) -> Option<bool> {
        let plan = &self.pool.plan;
        let mut load = self.load.lock().expect("the load");
        if load.0 >= plan.slots {
            if load.1 >= plan.queue.load(Ordering::Relaxed) {
                return Some(false);
            }
            load.1 += 1;
            let mut is_open = true;
            while load.0 >= plan.slots && self.is_alive() && is_open {
                load = self.freed.wait_timeout(load, WAIT_POLL).expect("the load").0;
                is_open = !has_left(stream);
            }
            load.1 -= 1;
            if !is_open {
                // The slot may have been freed for this one.
                self.freed.notify_one();
                return None;
            }
        }
        load.0 += 1;
        self.pool.counts.runs.fetch_add(1, Ordering::Relaxed);
        Some(true)
    }

    /// Works for this time; `false` if the caller leaves meanwhile, with which the work ends.
    fn pause(&self, time: Duration, stream: &TcpStream) -> bool {
        let until = Instant::now() + time;
        while self.is_alive() {
            let time_left = until.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                return true;
            }
            thread::sleep(time_left.min(WAIT_POLL));
            if has_left(stream) {
                return false;
            }
        }
        true
    }

    fn brittle_header(&self) -> String {
        match self.pool.plan.brittle.load(Ordering::Relaxed) {
            0 => String::new(),
            most => format!("Server-Brittle: {most}\r\n"),
        }
    }

    fn count_rejection(&self) {
        let most = self.pool.plan.brittle.load(Ordering::Relaxed);
        let now = Instant::now();
        let mut rejected = self.rejected.lock().expect("rejections");
        rejected.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        rejected.push(now);
        let count = rejected.len();
        drop(rejected);
        if most > 0 && count > most {
            self.end(&format!("{count} requests turned away in a second"));
        }
    }

    /// Streams the events after the one that the caller has; 0 if it has none.
    fn stream(&self, id: &str, last: usize, writer: &mut TcpStream) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Coltsfootgate-Attempt-Id: {id}\r\n\
             X-Coltsfootgate-Replica-Stamp: {}.{id}\r\nContent-Type: text/event-stream\r\n\
             X-Coltsfootgate-Weight-Versions: 1\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            self.name,
            self.brittle_header()
        );
        writer.write_all(head.as_bytes())?;
        let end = self.pool.plan.line_end;
        for event in last + 1..=self.pool.plan.events {
            let text = format!("id: {event}{end}data: piece {event} of {id}{end}{end}");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            if event < self.pool.plan.events {
                let is_open = self.pause(self.pool.plan.gap, writer);
                if !is_open {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
            if !self.is_alive() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// Ends this replica, whatever it runs; it is back some time later as a new one.
    fn end(&self, cause: &str) {
        if !self.is_alive.swap(false, Ordering::Relaxed) {
            return;
        }
        let running = self.load.lock().expect("the load").0;
        let text = format!("replica {} ends with {running} requests at work: {cause}", self.name);
        self.pool.record.line(text);
        let mut ends = self.pool.counts.ends.lock().expect("ends");
        ends.push((Instant::now(), cause.to_owned()));
        drop(ends);
        for connection in self.connections.lock().expect("connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let pool = self.pool.clone();
        thread::spawn(move || {
            thread::sleep(pool.plan.back_after);
            if !pool.is_stopped.load(Ordering::Relaxed) {
                pool.add();
            }
        });
    }
}

/// Whether the other side of a connection has closed it.
fn has_left(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let is_blocking = stream.set_nonblocking(false).is_ok();
    match peeked {
        Ok(bytes) => bytes == 0 || !is_blocking,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock || !is_blocking,
    }
}
