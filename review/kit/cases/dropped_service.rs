//! A configuration moves a route to a new service and drops the old one while requests wait for it.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::caller::{Call, Caller, End};
use crate::record::Record;
use crate::replica::{Replica, ReplicaSpec};
use crate::router::{choose_machines, Router};
use crate::store::Store;

const MACHINES: usize = 2;
/// Callers, each of which has one request under way at any time.
const CALLERS: usize = 36;
/// `timeout_ms` of the route.
const TIMEOUT_MS: u64 = 8_000;
/// How long the callers wait.
const DEADLINE_MS: u64 = 15_000;
/// Time with a steady load before the configuration changes.
const STEADY_TIME: Duration = Duration::from_secs(15);
/// Time after the change in which callers begin requests.
const REST_TIME: Duration = Duration::from_secs(3);
/// Requests without an answer from which on the rule is broken.
const LATE_MIN: usize = 8;

fn settings(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},
"routes":[{{"name":"digest","host":"a.example","path_prefix":"/digest/","kind":"idempotent",
"timeout_ms":{TIMEOUT_MS},"target_latency_ms":2500,"priority":2,"service":"{service}","attempts":2}}],
"services":[{{"name":"{service}","health_path":"/health"}}],
"limits":{{"header_bytes":16384,"body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":60000}},
"tenants":[{{"name":"club","api_keys":["key-of-the-club"],"priority":2}}]}}"#
    )
}

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start(record)?;
    store.put("op/config", &settings(3, "old"));
    for (number, service) in ["old", "old", "new", "new"].into_iter().enumerate() {
        let spec = ReplicaSpec {
            id: format!("i-{number}"),
            service: service.to_owned(),
            version: "v1".to_owned(),
            slots: 4,
            queue: 8,
            work: Duration::from_millis(1500),
            events: 0,
        };
        Replica::start(spec, &store, record)?;
    }
    let machines = choose_machines(MACHINES)?;
    let mut routers = Vec::new();
    for machine in &machines {
        routers.push(Router::start(*machine, store.address(), &machines, record)?);
    }
    for router in &routers {
        router.wait_ready()?;
    }
    let results = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (record, results, is_over) = (record.clone(), results.clone(), is_over.clone());
            let address = machines[number % MACHINES].front;
            thread::spawn(move || keep_calling(number, address, &record, &results, &is_over))
        })
        .collect();
    thread::sleep(STEADY_TIME);
    if has_trouble {
        store.put("op/config", &settings(7, "new"));
        record.line("operator: version 7, the route moves to the service new");
    }
    thread::sleep(REST_TIME);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let results = results.lock().unwrap();
    let timeout = TIMEOUT_MS as f64 / 1000.0;
    let is_over_by = |time: Option<f64>, by: f64| time.is_none_or(|time| time > timeout + by);
    let count = |by: f64| results.iter().filter(|(_, time)| is_over_by(*time, by)).count();
    let (reached, late) = (count(0.0), count(0.5));
    record.line(&format!(
        "{} requests, {reached} without an answer at the timeout, {late} of them 0.5 s later",
        results.len()
    ));
    // Counted here are only those that are a whole second late.
    let hung: Vec<String> = results
        .iter()
        .filter(|(_, time)| is_over_by(*time, 1.0))
        .map(|(attempt, _)| format!("{attempt} has no answer a second after its route's timeout"))
        .collect();
    let is_broken = hung.len() >= LATE_MIN && 2 * late > reached && 4 * hung.len() > reached;
    Ok(if is_broken { hung } else { Vec::new() })
}

/// Sends one request after the other on one connection; records the time of each answer.
fn keep_calling(
    number: usize,
    address: SocketAddr,
    record: &Record,
    results: &Mutex<Vec<(String, Option<f64>)>>,
    is_over: &AtomicBool,
) {
    let mut caller = Caller::connect(address).ok();
    for request in 0.. {
        let Some(open) = caller.as_mut().filter(|_| !is_over.load(Ordering::Relaxed)) else {
            return;
        };
        let call = Call {
            method: "GET",
            target: format!("/digest/{number}"),
            attempt: format!("c{number}r{request}"),
            key: "key-of-the-club".to_owned(),
            deadline_ms: DEADLINE_MS,
            headers: String::new(),
        };
        let sent = record.elapsed();
        record.line(&format!("caller: {} sent", call.attempt));
        let reply = open.call(&call);
        let time = record.elapsed() - sent;
        record.line(&format!(
            "caller: {} {} {:?} after {time:.1} s",
            call.attempt, reply.status, reply.end
        ));
        let time = (reply.end == End::Answered).then_some(time);
        results.lock().unwrap().push((call.attempt, time));
        if !reply.is_kept {
            caller = Caller::connect(address).ok();
        }
    }
}
