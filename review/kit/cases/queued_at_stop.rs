//! A machine gets SIGTERM while requests wait there for a replica.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::caller::{Call, Caller, End};
use crate::record::Record;
use crate::replica::{Replica, ReplicaSpec};
use crate::router::{choose_machines, Router, Signal};
use crate::store::Store;

/// Callers, each of which has one request under way at any time.
const CALLERS: usize = 28;
/// What the callers give each request, as on the sheets (franchise-digest, restoration-notes).
const DEADLINE_MS: u64 = 15_000;
/// Time with a steady load before the machine is stopped.
const STEADY_TIME: Duration = Duration::from_secs(20);
/// Time from the SIGTERM to the end of the case.
const STOP_TIME: Duration = Duration::from_secs(16);

/// `loss_slack_ms` of the settings, in seconds.
const LOSS_SLACK: f64 = 0.2;

const SETTINGS: &str = r#"{"version":3,
"routes":[{"name":"digest","host":"a.example","path_prefix":"/digest/","kind":"streaming",
"timeout_ms":15000,"target_latency_ms":2500,"gap_target_ms":1200,"priority":2,"service":"llm",
"attempts":1,"resumable":false}],
"services":[{"name":"llm","health_path":"/health"}],
"limits":{"header_bytes":16384,"body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":60000},
"tenants":[{"name":"club","api_keys":["key-of-the-club"],"priority":2}]}"#;

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start(record)?;
    store.put("op/config", SETTINGS);
    for number in 0..2 {
        let spec = ReplicaSpec {
            id: format!("i-{number}"),
            service: "llm".to_owned(),
            version: "v1".to_owned(),
            slots: 2,
            queue: 4,
            work: Duration::from_millis(300),
            events: 5,
        };
        Replica::start(spec, &store, record)?;
    }
    let machines = choose_machines(2)?;
    let mut routers = Vec::new();
    for machine in &machines {
        routers.push(Router::start(*machine, store.address(), &machines, record)?);
    }
    for router in &routers {
        router.wait_ready()?;
    }
    let addresses = [machines[0].front, machines[1].front];
    let (lost, is_over) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (record, lost, is_over) = (record.clone(), lost.clone(), is_over.clone());
            thread::spawn(move || keep_calling(number, addresses, &record, &lost, &is_over))
        })
        .collect();
    thread::sleep(STEADY_TIME);
    if has_trouble {
        routers[0].signal(Signal::Terminate, "SIGTERM");
    }
    let ended = routers[0].wait_ended(STOP_TIME);
    if has_trouble && !ended {
        routers[0].signal(Signal::Kill, "SIGKILL");
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let lost = lost.lock().unwrap().clone();
    Ok(lost)
}

/// Sends one request after the other, on the first machine as long as its connection is open.
fn keep_calling(
    number: usize,
    addresses: [SocketAddr; 2],
    record: &Record,
    lost: &Mutex<Vec<String>>,
    is_over: &AtomicBool,
) {
    let mut machine = 0;
    let mut caller = Caller::connect(addresses[machine]).ok();
    for request in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let Some(open) = &mut caller else { return };
        let call = Call {
            method: "POST",
            target: "/digest/1".to_owned(),
            attempt: format!("c{number}r{request}"),
            key: "key-of-the-club".to_owned(),
            deadline_ms: DEADLINE_MS,
            headers: String::new(),
        };
        let sent = record.elapsed();
        record.line(&format!("caller: {} sent to machine {machine}", call.attempt));
        let reply = open.call(&call);
        let (status, end) = (reply.status, &reply.end);
        record.line(&format!("caller: {} {status} {end:?}", call.attempt));
        let waited = record.elapsed() - sent;
        // A request at which a replica was still at work is not counted.
        if *end == End::NoAnswer && waited > LOSS_SLACK && !record.has_run(&call.attempt) {
            lost.lock().unwrap().push(format!(
                "{} got no answer and was not passed on: its connection ended {waited:.1} s after it \
                 was sent",
                call.attempt
            ));
        }
        if !reply.is_kept {
            machine = 1;
            caller = Caller::connect(addresses[machine]).ok();
        }
    }
}
