//! Stand-in for the platform: a key-value store with compare-and-swap, leases and the instance list.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::body::{ConnectionCut, StandinBody};
use crate::http_server::{
    ControlTarget, StandinService, empty_response, json_response, query_value, read_body,
};
use crate::runner::{self, StandinHandle};
use crate::signal::{ChangeSignal, ServerGate};

/// Largest value that the store accepts, in bytes.
const VALUE_BYTES_MAX: usize = 1 << 20;

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ListedInstance {
    /// `router` or `endpoint`.
    pub role: String,
    /// The address of a router for its peers, or the address of an endpoint in the tree.
    pub address: String,
    /// The address of a router for operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators_address: Option<String>,
    /// The availability zone.
    pub availability_zone: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Outage of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOutage {
    /// The store is available.
    #[default]
    None,
    /// All connections are closed and new ones are refused.
    Refuse,
    /// Requests are accepted but answered only after the outage; the instance list stays available.
    Hang,
}

/// Control command of the platform; members that are left out stay unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PlatformCommand {
    outage: Option<StoreOutage>,
    /// Delay before each answer, in milliseconds.
    delay_ms: Option<u64>,
    /// Number of coming writes that are applied but whose connection is closed without an answer.
    lose_answers: Option<u32>,
    /// Keys whose reads return the current value from now on, whatever is written; replaces the
    /// earlier keys.
    stale_keys: Option<Vec<String>>,
    /// Whether watches stay unanswered.
    silent_watches: Option<bool>,
    /// Time until a change of the instance list becomes visible, in milliseconds.
    list_lag_ms: Option<u64>,
    /// Replaces the instance list.
    instances: Option<Vec<ListedInstance>>,
    /// Adds these entries; an entry with the same role and address is replaced.
    set_instances: Option<Vec<ListedInstance>>,
    /// Removes the entries with these addresses.
    remove_instances: Option<Vec<String>>,
}

#[derive(Clone, Debug)]
struct StoredValue {
    revision: u64,
    bytes: Bytes,
}

#[derive(Debug)]
struct HeldLease {
    holder: String,
    expires_at: Instant,
}

/// Number of calls by kind.
#[derive(Debug, Default)]
struct CallCounters {
    writes: Cell<u64>,
    reads: Cell<u64>,
    watches: Cell<u64>,
    /// Watches that are waiting now.
    waiting_watches: Cell<u64>,
    lists: Cell<u64>,
    leases: Cell<u64>,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

#[derive(Debug, Default)]
struct PlatformService {
    gate: ServerGate,
    changed: ChangeSignal,
    outage: Cell<StoreOutage>,
    delay: Cell<Duration>,
    lose_answers: Cell<u32>,
    silent_watches: Cell<bool>,
    list_lag: Cell<Duration>,
    values: RefCell<BTreeMap<String, StoredValue>>,
    /// The values that reads of stale keys return.
    stale_values: RefCell<HashMap<String, Option<StoredValue>>>,
    last_revision: Cell<u64>,
    leases: RefCell<HashMap<String, HeldLease>>,
    /// Every version of the instance list with the time of its change.
    lists: RefCell<Vec<(Instant, Vec<ListedInstance>)>>,
    counters: CallCounters,
}

/// Starts the platform on its own thread.
pub fn start_platform(listen: SocketAddr) -> io::Result<StandinHandle> {
    runner::start_service(listen, PlatformService::default)
}

impl StandinService for PlatformService {
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<StandinBody>, ConnectionCut> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let body = read_body(request).await?;
        self.count_call(&method, &path, &query);
        if path != "/instances" {
            self.changed.until(|| self.outage.get() != StoreOutage::Hang).await;
        }
        if !self.delay.get().is_zero() {
            monoio::time::sleep(self.delay.get()).await;
        }
        if path == "/instances" {
            return Ok(json_response(StatusCode::OK, &json!({"instances": self.visible_list()})));
        }
        if path == "/kv" {
            return Ok(self.list_keys(query_value(&query, "prefix").unwrap_or_default()));
        }
        if let Some(name) = path.strip_prefix("/lease/") {
            return Ok(self.acquire_lease(name, &query));
        }
        let Some(key) = path.strip_prefix("/kv/") else {
            return Ok(empty_response(StatusCode::NOT_FOUND));
        };
        match method {
            Method::GET => Ok(self.read(key, &query).await),
            Method::PUT => self.write(key, &query, Some(body)),
            Method::DELETE => self.write(key, &query, None),
            _ => Ok(empty_response(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }
}

impl ControlTarget for PlatformService {
    fn gate(&self) -> &ServerGate {
        &self.gate
    }

    fn apply_command(&self, command: &[u8]) -> Result<(), String> {
        let command: PlatformCommand =
            serde_json::from_slice(command).map_err(|error| error.to_string())?;
        self.apply_faults(&command);
        self.change_list(command);
        self.changed.notify();
        Ok(())
    }

    fn counters(&self) -> Value {
        let counters = &self.counters;
        json!({
            "writes": counters.writes.get(),
            "reads": counters.reads.get(),
            "watches": counters.watches.get(),
            "waiting_watches": counters.waiting_watches.get(),
            "lists": counters.lists.get(),
            "leases": counters.leases.get(),
            "revision": self.last_revision.get(),
        })
    }
}

impl PlatformService {
    fn count_call(&self, method: &Method, path: &str, query: &str) {
        let counters = &self.counters;
        increment(match path {
            "/instances" => &counters.lists,
            _ if path.starts_with("/lease/") => &counters.leases,
            _ if method != Method::GET => &counters.writes,
            _ if query.contains("after=") => &counters.watches,
            _ => &counters.reads,
        });
    }

    fn apply_faults(&self, command: &PlatformCommand) {
        if let Some(outage) = command.outage {
            self.outage.set(outage);
            self.gate.set_open(outage != StoreOutage::Refuse);
        }
        if let Some(delay_ms) = command.delay_ms {
            self.delay.set(Duration::from_millis(delay_ms));
        }
        if let Some(count) = command.lose_answers {
            self.lose_answers.set(count);
        }
        if let Some(keys) = &command.stale_keys {
            let values = self.values.borrow();
            let snapshot = keys.iter().map(|key| (key.clone(), values.get(key).cloned())).collect();
            *self.stale_values.borrow_mut() = snapshot;
        }
        if let Some(silent) = command.silent_watches {
            self.silent_watches.set(silent);
        }
        if let Some(lag_ms) = command.list_lag_ms {
            self.list_lag.set(Duration::from_millis(lag_ms));
        }
    }

    fn change_list(&self, command: PlatformCommand) {
        let mut lists = self.lists.borrow_mut();
        let mut list = lists.last().map(|(_, list)| list.clone()).unwrap_or_default();
        if let Some(instances) = command.instances {
            list = instances;
        }
        for instance in command.set_instances.unwrap_or_default() {
            list.retain(|old| (&old.role, &old.address) != (&instance.role, &instance.address));
            list.push(instance);
        }
        let removed = command.remove_instances.unwrap_or_default();
        list.retain(|instance| !removed.contains(&instance.address));
        if lists.last().is_none_or(|(_, old)| *old != list) {
            lists.push((Instant::now(), list));
        }
    }

    /// The newest version of the list that is older than the list's lag.
    fn visible_list(&self) -> Vec<ListedInstance> {
        let lists = self.lists.borrow();
        let mut visible =
            lists.iter().rev().filter(|(since, _)| since.elapsed() >= self.list_lag.get());
        visible.next().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn list_keys(&self, prefix: &str) -> Response<StandinBody> {
        let values = self.values.borrow();
        let keys: Vec<_> = values.keys().filter(|key| key.starts_with(prefix)).collect();
        json_response(StatusCode::OK, &json!({"keys": keys}))
    }

    /// The value that a read returns, which is the old one for a stale key.
    fn visible_value(&self, key: &str) -> Option<StoredValue> {
        if let Some(stale) = self.stale_values.borrow().get(key) {
            return stale.clone();
        }
        self.values.borrow().get(key).cloned()
    }

    /// Answers a read, or a watch if the query has `after`.
    async fn read(&self, key: &str, query: &str) -> Response<StandinBody> {
        let number = |name| query_value(query, name).and_then(|value| value.parse::<u64>().ok());
        let Some(after) = number("after") else {
            return value_response(self.visible_value(key));
        };
        let wait = Duration::from_millis(number("wait").unwrap_or(0));
        let _guard = WatchGuard::new(&self.counters.waiting_watches);
        let is_newer = || self.visible_value(key).is_some_and(|value| value.revision > after);
        let changed = self.changed.until(|| !self.silent_watches.get() && is_newer());
        let is_changed = monoio::time::timeout(wait, changed).await.is_ok();
        self.changed.until(|| !self.silent_watches.get()).await;
        if is_changed {
            return value_response(self.visible_value(key));
        }
        empty_response(StatusCode::NOT_MODIFIED)
    }

    /// Writes or deletes a value if its revision is the expected one; 0 stands for a missing key.
    fn write(
        &self,
        key: &str,
        query: &str,
        bytes: Option<Bytes>,
    ) -> Result<Response<StandinBody>, ConnectionCut> {
        let expected = query_value(query, "revision").and_then(|value| value.parse::<u64>().ok());
        let Some(expected) = expected else {
            return Ok(empty_response(StatusCode::BAD_REQUEST));
        };
        if bytes.as_ref().is_some_and(|bytes| bytes.len() > VALUE_BYTES_MAX) {
            return Ok(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let current = self.values.borrow().get(key).map_or(0, |value| value.revision);
        if current != expected {
            return Ok(with_revision(empty_response(StatusCode::CONFLICT), current));
        }
        let revision = self.last_revision.get() + 1;
        self.last_revision.set(revision);
        match bytes {
            Some(bytes) => {
                self.values.borrow_mut().insert(key.to_owned(), StoredValue { revision, bytes })
            }
            None => self.values.borrow_mut().remove(key),
        };
        self.changed.notify();
        if let Some(remaining) = self.lose_answers.get().checked_sub(1) {
            self.lose_answers.set(remaining);
            return Err(ConnectionCut);
        }
        Ok(with_revision(empty_response(StatusCode::OK), revision))
    }

    /// Acquires or renews a lease; conflicts while another holder has it.
    fn acquire_lease(&self, name: &str, query: &str) -> Response<StandinBody> {
        let holder = query_value(query, "holder").unwrap_or_default().to_owned();
        let ttl = query_value(query, "ttl").and_then(|ttl| ttl.parse().ok()).unwrap_or(0);
        let now = Instant::now();
        let mut leases = self.leases.borrow_mut();
        if leases.get(name).is_some_and(|held| held.holder != holder && held.expires_at > now) {
            return empty_response(StatusCode::CONFLICT);
        }
        let expires_at = now + Duration::from_millis(ttl);
        leases.insert(name.to_owned(), HeldLease { holder, expires_at });
        empty_response(StatusCode::OK)
    }
}

/// Counts a watch while it waits.
struct WatchGuard<'a>(&'a Cell<u64>);

impl<'a> WatchGuard<'a> {
    fn new(counter: &'a Cell<u64>) -> Self {
        increment(counter);
        Self(counter)
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn value_response(value: Option<StoredValue>) -> Response<StandinBody> {
    let Some(value) = value else { return empty_response(StatusCode::NOT_FOUND) };
    with_revision(Response::new(StandinBody::from(value.bytes)), value.revision)
}

fn with_revision(mut response: Response<StandinBody>, revision: u64) -> Response<StandinBody> {
    response.headers_mut().insert("x-revision", HeaderValue::from(revision));
    response
}
