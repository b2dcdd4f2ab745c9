//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, answer, Connections, Message};
use crate::json::Json;
use crate::record::Record;

/// Interval between two copies of the state.
const COPY_PERIOD: Duration = Duration::from_millis(100);
/// Age up to which copies are kept.
const COPY_AGE_MAX: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

impl Content {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let (key, revision) = (key.to_owned(), self.revision);
            self.events.push(Event { key, revision, item: None });
        }
    }
}

#[derive(Default)]
struct State {
    content: Content,
    copies: Vec<(Instant, Content)>,
    is_away: bool,
    era: u64,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    connections: Connections,
    address: SocketAddr,
    record: Record,
}

impl Store {
    /// Starts an empty store.
    pub fn start(record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new((Mutex::new(State::default()), Condvar::new()));
        state.0.lock().unwrap().content.revision = 1;
        let shared = state.clone();
        let handle = move |request: &Message, stream: &mut TcpStream| {
            let (status, body, era) = respond(&shared, request)?;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            answer(stream, status, &headers, body.as_bytes())
        };
        let connections = http::serve(listener, handle);
        let store = Self { state, connections, address, record: record.clone() };
        let kept = store.clone();
        thread::spawn(move || kept.keep());
        Ok(store)
    }

    /// The address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an item as the operator or a replica does; false while the store is away.
    pub fn put(&self, key: &str, value: &str) -> bool {
        self.change(|content| content.put(key, value.as_bytes().to_vec(), 0))
    }

    /// The value of an item as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let item = state.content.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    /// Stops serving for `away`, and comes back from a copy that is `age` old.
    pub fn come_back_from_copy(&self, away: Duration, age: Duration) {
        let wanted = Instant::now() - age;
        self.set_away(true);
        self.connections.cut();
        self.record.line("store: away");
        thread::sleep(away);
        let mut state = self.state.0.lock().unwrap();
        let copy = state.copies.iter().rev().find(|(at, _)| *at <= wanted).cloned();
        if let Some((_, content)) = copy {
            let (from, to) = (state.content.revision, content.revision);
            state.content = content;
            state.era += 1;
            self.record.line(&format!("store: back from a copy, revision {from} -> {to}"));
        }
        state.copies.clear();
        drop(state);
        self.set_away(false);
    }

    fn set_away(&self, is_away: bool) {
        self.state.0.lock().unwrap().is_away = is_away;
        self.state.1.notify_all();
    }

    fn change(&self, change: impl FnOnce(&mut Content)) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.content.revision += 1;
        change(&mut state.content);
        drop(state);
        self.state.1.notify_all();
        true
    }

    /// Makes copies and ends leases.
    fn keep(&self) {
        loop {
            thread::sleep(COPY_PERIOD);
            let now = Instant::now();
            let mut state = self.state.0.lock().unwrap();
            if state.is_away {
                continue;
            }
            let content = state.content.clone();
            state.copies.push((now, content));
            state.copies.retain(|(at, _)| now - *at < COPY_AGE_MAX);
            let ended: Vec<u64> = state
                .content
                .leases
                .iter()
                .filter(|(_, (renewed, ttl))| now - *renewed > *ttl)
                .map(|(lease, _)| *lease)
                .collect();
            for lease in ended {
                end_lease(&mut state.content, lease);
            }
            drop(state);
            self.state.1.notify_all();
        }
    }
}

fn end_lease(content: &mut Content, lease: u64) {
    content.leases.remove(&lease);
    let keys: Vec<String> = content
        .items
        .iter()
        .filter(|(_, item)| item.lease == lease)
        .map(|(key, _)| key.clone())
        .collect();
    for key in keys {
        content.revision += 1;
        content.remove(&key);
    }
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// Answers a call; fails if the store is away, which closes the connection.
fn respond(shared: &Shared, request: &Message) -> io::Result<(u16, String, u64)> {
    let path = request.path().to_owned();
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let mut state = shared.0.lock().unwrap();
    if state.is_away {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let (status, text) = match path.as_str() {
        "/coltsfootgate/kv-watch" => {
            drop(state);
            return watch(shared, request);
        }
        "/coltsfootgate/kv-key" => read_key(&state.content, request),
        "/coltsfootgate/kv-range" => read_range(&state.content, request),
        "/coltsfootgate/kv-txn" => commit(&mut state.content, &body),
        "/coltsfootgate/kv-lease" => create_lease(&mut state.content, &body),
        _ => match lease_of(&path) {
            Some(lease) => keep_lease(&mut state.content, request, lease),
            None => (404, "{}".to_owned()),
        },
    };
    let era = state.era;
    drop(state);
    shared.1.notify_all();
    Ok((status, text, era))
}

fn lease_of(path: &str) -> Option<u64> {
    let kept = path.strip_prefix("/coltsfootgate/kv-keep/");
    kept.or_else(|| path.strip_prefix("/coltsfootgate/kv-lease-end/"))?.parse().ok()
}

fn read_key(content: &Content, request: &Message) -> (u16, String) {
    let key = request.query("key").unwrap_or_default();
    match content.items.get(&key) {
        Some(item) => {
            let fields = item_fields(&key, item);
            (200, format!("{{{fields},\"store_revision\":{}}}", content.revision))
        }
        None => (404, format!("{{\"store_revision\":{}}}", content.revision)),
    }
}

fn read_range(content: &Content, request: &Message) -> (u16, String) {
    let prefix = request.query("path_prefix").unwrap_or_default();
    let after = request.query("after").unwrap_or_default();
    let items = content.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let items: Vec<String> =
        items.map(|(key, item)| format!("{{{}}}", item_fields(key, item))).collect();
    let items = items.join(",");
    let revision = content.revision;
    (200, format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"))
}

fn watch(shared: &Shared, request: &Message) -> io::Result<(u16, String, u64)> {
    let prefix = request.query("path_prefix").unwrap_or_default();
    let after: u64 = request.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let wait: u64 = request.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait);
    let mut state = shared.0.lock().unwrap();
    loop {
        if state.is_away {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let content = &state.content;
        if after > content.revision {
            return Ok((410, "{}".to_owned(), state.era));
        }
        let events = content.events.iter();
        let events =
            events.filter(|event| event.revision > after && event.key.starts_with(&prefix));
        let events: Vec<String> = events.map(event_text).collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let (events, revision) = (events.join(","), content.revision);
            let text = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
            return Ok((200, text, state.era));
        }
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
}

fn event_text(event: &Event) -> String {
    match &event.item {
        Some(item) => format!("{{{}}}", item_fields(&event.key, item)),
        None => {
            format!(
                "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                event.key, event.revision
            )
        }
    }
}

fn commit(content: &mut Content, body: &str) -> (u16, String) {
    let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
    let entries = |name: &str| call.get(name).map(|list| list.list().to_vec()).unwrap_or_default();
    let key_of = |entry: &Json| entry.get("key").and_then(Json::text).unwrap_or("").to_owned();
    let whole = |entry: &Json, name: &str| entry.get(name).and_then(Json::whole).unwrap_or(0);
    let conditions = entries("expect");
    let holds = |entry: &Json| {
        let revision = content.items.get(&key_of(entry)).map_or(0, |item| item.revision);
        revision == whole(entry, "revision")
    };
    if !conditions.iter().all(holds) {
        let items = conditions.iter().filter_map(|entry| {
            let key = key_of(entry);
            let item = content.items.get(&key)?;
            Some(format!("{{{}}}", item_fields(&key, item)))
        });
        return (412, format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")));
    }
    let puts = entries("puts");
    let has_lease = |entry: &Json| {
        let lease = whole(entry, "lease");
        lease == 0 || content.leases.contains_key(&lease)
    };
    if !puts.iter().all(has_lease) {
        return (404, "{}".to_owned());
    }
    content.revision += 1;
    for entry in &puts {
        let value = entry.get("value").and_then(Json::text).unwrap_or("");
        content.put(&key_of(entry), from_base64(value), whole(entry, "lease"));
    }
    for key in entries("remove") {
        content.remove(key.text().unwrap_or(""));
    }
    (200, format!("{{\"revision\":{}}}", content.revision))
}

fn create_lease(content: &mut Content, body: &str) -> (u16, String) {
    let call = Json::parse(body);
    let time = call.and_then(|call| call.get("ttl_ms")?.whole()).unwrap_or(1000).max(1000);
    content.last_lease += 1;
    let lease = content.last_lease;
    content.leases.insert(lease, (Instant::now(), Duration::from_millis(time)));
    (200, format!("{{\"lease\":{lease},\"ttl_ms\":{time}}}"))
}

fn keep_lease(content: &mut Content, request: &Message, lease: u64) -> (u16, String) {
    if !content.leases.contains_key(&lease) {
        return (404, "{}".to_owned());
    }
    if request.method() == "DELETE" {
        end_lease(content, lease);
    } else if let Some((renewed, _)) = content.leases.get_mut(&lease) {
        *renewed = Instant::now();
    }
    (200, "{}".to_owned())
}

fn item_fields(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    let value = to_base64(value);
    format!(
        "\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\
         \"lease\":{lease}"
    )
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
        .map(|digit| digit as u32)
        .collect();
    let mut bytes = Vec::new();
    for group in digits.chunks(4) {
        let digit = |index: usize| group.get(index).copied().unwrap_or(0);
        let bits = digit(0) << 18 | digit(1) << 12 | digit(2) << 6 | digit(3);
        let whole = [(bits >> 16) as u8, (bits >> 8) as u8, bits as u8];
        bytes.extend_from_slice(&whole[..group.len().saturating_sub(1)]);
    }
    bytes
}
