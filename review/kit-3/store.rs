//! A stand-in of the platform's store, for one test: sound, with the calls that the pages name.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, answer, read_request};
use crate::json::Json;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Interval at which leases are checked.
const LEASE_CHECK: Duration = Duration::from_millis(50);

#[derive(Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// The store; clones share the same state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().expect("the address of the store");
        let store = Self { address, state: Arc::default() };
        store.lock().revision = 1;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                expiring.expire_leases();
            }
        });
        store
    }

    /// Writes what the operator or a replica writes; returns once it is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        let value = encode_base64(value.as_bytes());
        let mut state = self.lock();
        state.write(key, Some((value, 0)));
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        if state.items.contains_key(key) {
            state.write(key, None);
            self.state.1.notify_all();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the state of the store")
    }

    fn expire_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        state.leases.retain(|_, (_, ends)| now < *ends);
        let ended: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease > 0 && !state.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &ended {
            state.write(key, None);
        }
        if !ended.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let reply = answer(status, "Content-Type: application/json\r\n", &body);
            if writer.write_all(&reply).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let path = request.target().split('?').next().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        match (request.method(), path) {
            ("GET", "/coltsfootgate/kv-key") => self.read(request),
            ("GET", "/coltsfootgate/kv-range") => self.range(request),
            ("GET", "/coltsfootgate/kv-watch") => self.watch(request),
            ("POST", "/coltsfootgate/kv-txn") => self.transaction(&body),
            ("POST", "/coltsfootgate/kv-lease") => self.create_lease(body.get("ttl_ms").number()),
            ("POST", path) => self.keep(path),
            ("DELETE", path) => self.end(path),
            _ => ("400 Bad Request", "{}".into()),
        }
    }

    fn read(&self, request: &Message) -> (&'static str, String) {
        let key = request.query("key").unwrap_or_default();
        let state = self.lock();
        match state.items.get(&key) {
            Some(item) => ("200 OK", item_json(&key, item, state.revision)),
            None => ("404 Not Found", "{}".into()),
        }
    }

    fn range(&self, request: &Message) -> (&'static str, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.lock();
        let rows = state.items.iter();
        let rows = rows.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let rows: Vec<_> = rows.map(|(key, item)| item_json(key, item, state.revision)).collect();
        let (rows, revision) = (rows.join(","), state.revision);
        let body = format!("{{\"items\":[{rows}],\"has_more\":false,\"store_revision\":{revision}}}");
        ("200 OK", body)
    }

    fn watch(&self, request: &Message) -> (&'static str, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let events = state.events.iter();
            let events = events.filter(|one| one.revision > after && one.key.starts_with(&prefix));
            let events: Vec<_> = events.map(event_json).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return ("200 OK", body);
            }
            let waited = self.state.1.wait_timeout(state, until - now);
            state = waited.expect("the state of the store").0;
        }
    }

    fn transaction(&self, body: &Json) -> (&'static str, String) {
        let mut state = self.lock();
        let revision = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let expected = body.get("expect").list();
        let holds =
            |row: &Json| revision(row.get("key").text()) == row.get("revision").number();
        if !expected.iter().all(holds) {
            let keys = expected.iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|key| {
                Some(item_json(key, state.items.get(key)?, state.revision))
            });
            let items: Vec<_> = items.collect();
            return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let has_lease = |put: &Json| {
            let lease = put.get("lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return ("404 Not Found", "{}".into());
        }
        for key in body.get("remove").list() {
            state.write(key.text(), None);
        }
        for put in puts {
            let value = put.get("value").text().to_owned();
            state.write(put.get("key").text(), Some((value, put.get("lease").number())));
        }
        self.state.1.notify_all();
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }

    fn create_lease(&self, ttl_ms: u64) -> (&'static str, String) {
        let mut state = self.lock();
        state.last_lease += 1;
        let (lease, ttl) = (state.last_lease, Duration::from_millis(ttl_ms.clamp(1000, 600_000)));
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
    }

    fn keep(&self, path: &str) -> (&'static str, String) {
        let id = path.strip_prefix("/coltsfootgate/kv-keep/").and_then(|id| id.parse().ok());
        let mut state = self.lock();
        match id.and_then(|id: u64| state.leases.get_mut(&id)) {
            Some((ttl, ends)) => {
                *ends = Instant::now() + *ttl;
                ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".into()),
        }
    }

    fn end(&self, path: &str) -> (&'static str, String) {
        let id = path.strip_prefix("/coltsfootgate/kv-lease-end/").and_then(|id| id.parse().ok());
        if let Some(id) = id {
            self.lock().leases.remove(&id);
        }
        self.expire_leases();
        ("200 OK", "{}".into())
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.revision += 1;
        let revision = self.revision;
        let written = value.as_ref().map(|(value, _)| value.clone());
        match value {
            Some((value, lease)) => {
                let created = self.items.get(key).map_or(revision, |item| item.created);
                self.items.insert(key.to_owned(), Item { value, revision, created, lease });
            }
            None => drop(self.items.remove(key)),
        }
        self.events.push(Event { key: key.to_owned(), revision, value: written });
    }
}

fn item_json(key: &str, item: &Item, store_revision: u64) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\
         \"lease\":{lease},\"store_revision\":{store_revision}}}"
    )
}

fn event_json(event: &Event) -> String {
    let Event { key, revision, value } = event;
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"created\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
