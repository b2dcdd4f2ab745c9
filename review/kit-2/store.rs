//! The platform's store: items with revisions, watches, leases and transactions.
//!
//! Each instance reaches it at an address of its own, so that it can be refused or cut off alone.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{Request, read_request, write_answer};
use crate::json::{Json, quote};

/// Most items of a page.
const PAGE_ITEMS: usize = 500;
/// How often a waiting watch looks whether its caller is cut off, or a lease has ended.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// How the store treats the callers of one of its addresses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gate {
    /// It answers.
    Open,
    /// It gives no answer.
    Silent,
}

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The keys that changed, with the items as they were written.
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    lease_count: u64,
}

/// A running store; clones share the same state.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

/// An address of the store.
#[derive(Clone)]
pub struct StorePort {
    pub address: SocketAddr,
    gate: Arc<AtomicU8>,
    /// What its callers read in place of a text, such as the address of a proxy for that of a replica.
    replaced: Arc<Mutex<Vec<(String, String)>>>,
}

impl StorePort {
    pub fn set(&self, gate: Gate) {
        self.gate.store(gate as u8, Ordering::SeqCst);
    }

    /// Lets the callers read another text in place of one.
    pub fn replace(&self, text: &str, other: &str) {
        self.replaced.lock().unwrap().push((text.to_owned(), other.to_owned()));
    }

    /// A value as the callers of this address read it.
    fn value(&self, value: &[u8]) -> Vec<u8> {
        let replaced = self.replaced.lock().unwrap();
        if replaced.is_empty() {
            return value.to_vec();
        }
        let text = String::from_utf8_lossy(value).into_owned();
        replaced.iter().fold(text, |text, (from, to)| text.replace(from, to)).into_bytes()
    }

    fn is_open(&self) -> bool {
        self.gate.load(Ordering::SeqCst) == Gate::Open as u8
    }
}

impl Store {
    pub fn start() -> Self {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 100;
        store
    }

    /// Opens another address.
    pub fn open_port(&self) -> StorePort {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (gate, replaced) = (Arc::new(AtomicU8::new(0)), Arc::default());
        let port = StorePort { address, gate, replaced };
        let (store, shared) = (self.clone(), port.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, port) = (store.clone(), shared.clone());
                thread::spawn(move || store.serve(stream, &port));
            }
        });
        port
    }

    /// Writes an item as the operator or a replica does; returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.0.0.lock().unwrap();
        let revision = state.begin_change();
        state.write(key, Some((value.as_bytes().to_vec(), 0)), revision);
        self.0.1.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream, port: &StorePort) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            let answer = if port.is_open() { self.execute(&request, port) } else { None };
            let Some((status, body)) = answer.filter(|_| port.is_open()) else {
                // A connection on which an answer is lost returns nothing further.
                while !port.is_open() {
                    thread::sleep(LOOK_PERIOD);
                }
                return;
            };
            let headers = "Content-Type: application/json\r\n";
            if write_answer(&mut writer, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Executes a call; `None` if it is not answered.
    fn execute(&self, request: &Request, port: &StorePort) -> Option<(u16, String)> {
        let path = request.path().to_owned();
        if path == "/coltsfootgate/kv-watch" {
            return self.watch(request, port);
        }
        let mut state = self.0.0.lock().unwrap();
        state.end_leases();
        let answer = match (request.method.as_str(), path.as_str()) {
            ("GET", "/coltsfootgate/kv-key") => state.read(request, port),
            ("GET", "/coltsfootgate/kv-range") => state.list(request, port),
            ("POST", "/coltsfootgate/kv-txn") => state.change(request, port),
            ("POST", "/coltsfootgate/kv-lease") => state.grant(request),
            ("POST", path) => match path.strip_prefix("/coltsfootgate/kv-keep/") {
                Some(lease) => state.renew(lease),
                None => (404, "{}".into()),
            },
            ("DELETE", path) => match path.strip_prefix("/coltsfootgate/kv-lease-end/") {
                Some(lease) => state.end_lease(lease),
                None => (404, "{}".into()),
            },
            _ => (404, "{}".into()),
        };
        self.0.1.notify_all();
        Some(answer)
    }

    fn watch(&self, request: &Request, port: &StorePort) -> Option<(u16, String)> {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = request.parameter("path_prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.0.0.lock().unwrap();
        loop {
            if !port.is_open() {
                return None;
            }
            state.end_leases();
            if after > state.revision {
                return Some((410, "{}".into()));
            }
            let changed = state.events.iter();
            let changed: Vec<String> = changed
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item.json(key, port),
                    None => {
                        format!(
                            "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                            quote(key)
                        )
                    }
                })
                .collect();
            if !changed.is_empty() || Instant::now() >= until {
                let (events, revision) = (changed.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return Some((200, body));
            }
            state = self.0.1.wait_timeout(state, LOOK_PERIOD).unwrap().0;
        }
    }
}

impl Item {
    fn json(&self, key: &str, port: &StorePort) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            base64::encode(&port.value(&self.value)),
            self.revision,
            self.created,
            self.lease
        )
    }
}

impl State {
    fn begin_change(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    fn write(&mut self, key: &str, value: Option<(Vec<u8>, u64)>, revision: u64) {
        let item = value.map(|(value, lease)| {
            let created = self.items.get(key).map_or(revision, |item| item.created);
            Item { value, revision, created, lease }
        });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None => drop(self.items.remove(key)),
        }
        self.events.push((revision, key.to_owned(), item));
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, ends))| *ends <= now);
        for lease in ended.map(|(lease, _)| *lease).collect::<Vec<_>>() {
            self.remove_lease(lease);
        }
    }

    fn remove_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        for key in keys.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            let revision = self.begin_change();
            self.write(&key, None, revision);
        }
    }

    fn read(&self, request: &Request, port: &StorePort) -> (u16, String) {
        let key = request.parameter("key").unwrap_or_default();
        let Some(item) = self.items.get(&key) else { return (404, "{}".into()) };
        let mut json = item.json(&key, port);
        json.truncate(json.len() - 1);
        (200, format!("{json},\"store_revision\":{}}}", self.revision))
    }

    fn list(&self, request: &Request, port: &StorePort) -> (u16, String) {
        let prefix = request.parameter("path_prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let listed = self.items.iter();
        let mut listed = listed
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
        let items: Vec<String> =
            listed.by_ref().take(PAGE_ITEMS).map(|(key, item)| item.json(key, port)).collect();
        let has_more = listed.next().is_some();
        let (items, revision) = (items.join(","), self.revision);
        let body = format!(
            "{{\"items\":[{items}],\"has_more\":{has_more},\"store_revision\":{revision}}}"
        );
        (200, body)
    }

    fn change(&mut self, request: &Request, port: &StorePort) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".into());
        };
        let rows = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
        let text = |row: &Json, name: &str| {
            row.get(name).and_then(Json::text).unwrap_or_default().to_owned()
        };
        let (expect, puts) = (rows("expect"), rows("puts"));
        let holds = expect.iter().all(|row| {
            let present = self.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            row.get("revision").and_then(Json::number) == Some(present)
        });
        if !holds {
            let keys = expect.iter().map(|row| text(row, "key"));
            let items = keys.filter_map(|key| Some(self.items.get(&key)?.json(&key, port)));
            return (412, format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")));
        }
        let lease = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or(0);
        if puts.iter().any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row))) {
            return (404, "{}".into());
        }
        let revision = self.begin_change();
        for row in &puts {
            let value = base64::decode(&text(row, "value"));
            self.write(&text(row, "key"), Some((value, lease(row))), revision);
        }
        for key in rows("remove") {
            self.write(key.text().unwrap_or_default(), None, revision);
        }
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&mut self, request: &Request) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let ttl_ms = body.as_ref().and_then(|body| body.get("ttl_ms")?.number()).unwrap_or(1000);
        self.lease_count += 1;
        let (lease, ttl) = (70_000 + self.lease_count, Duration::from_millis(ttl_ms));
        self.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn renew(&mut self, lease: &str) -> (u16, String) {
        let lease = lease.parse().ok().and_then(|lease: u64| self.leases.get_mut(&lease));
        let Some((ttl, ends)) = lease else { return (404, "{}".into()) };
        *ends = Instant::now() + *ttl;
        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
    }

    fn end_lease(&mut self, lease: &str) -> (u16, String) {
        if let Ok(lease) = lease.parse() {
            self.remove_lease(lease);
        }
        (200, "{}".into())
    }
}
