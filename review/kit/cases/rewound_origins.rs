//! The store comes back from a copy while all machines are killed, and streams are taken up again.

use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{call_once, Call, End};
use crate::record::Record;
use crate::replica::{Replica, ReplicaSpec, HEARTBEAT};
use crate::router::{choose_machines, Machine, Router, Signal};
use crate::store::Store;

const MACHINES: usize = 3;
/// Callers, each with one stream.
const CALLERS: usize = 24;
const DEADLINE_MS: u64 = 12_000;
/// Time that the store is away.
const AWAY: Duration = Duration::from_millis(300);
/// Delay after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(250);
/// Tries of a caller to take up its stream again, and the pause between them unless it is told one.
const TAKE_UPS: usize = 5;
const TAKE_UP_PAUSE: Duration = Duration::from_millis(300);
/// Time by which each caller notices later than the one before that its stream broke off.
const NOTICE_TIME: Duration = Duration::from_millis(40);
/// Streams that may hold events of two versions without breaking the rule.
const MIXED_MAX: usize = 2;

const SETTINGS: &str = r#"{"version":3,
"routes":[{"name":"chat","host":"a.example","path_prefix":"/chat/","kind":"streaming",
"timeout_ms":12000,"target_latency_ms":400,"gap_target_ms":300,"priority":0,"service":"llm",
"attempts":2,"resumable":true}],
"services":[{"name":"llm","health_path":"/health"}],
"limits":{"header_bytes":16384,"body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":60000},
"tenants":[{"name":"club","api_keys":["key-of-the-club"],"priority":1}]}"#;

/// Which of the two disruptions happen.
struct Troubles {
    rewinds: bool,
    kills: bool,
}

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let only = std::env::var("ONLY").unwrap_or_default();
    let troubles =
        Troubles { rewinds: has_trouble && only != "kill", kills: has_trouble && only != "rewind" };
    let store = Store::start(record)?;
    store.put("op/config", SETTINGS);
    for number in 0..2 {
        start_replica(number, "v1", &store, record)?;
    }
    let machines = choose_machines(MACHINES)?;
    let start = |machine: &Machine| Router::start(*machine, store.address(), &machines, record);
    let mut routers = machines.iter().map(start).collect::<io::Result<Vec<Router>>>()?;
    for router in &routers {
        router.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(3));
    // The replicas of the second version join, as in a release.
    let joined = Instant::now();
    for number in 2..4 {
        start_replica(number, "v2", &store, record)?;
    }
    wait_listed(&store, "v2")?;
    record.line(&format!("origins: {}", store.value(ORIGINS).unwrap_or_default()));
    thread::sleep(Duration::from_millis(800).saturating_sub(joined.elapsed()));
    let fronts: Vec<_> = machines.iter().map(|machine| machine.front).collect();
    let held = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), record.clone());
            let held = held.clone();
            thread::spawn(move || {
                let versions = follow_stream(number, &fronts, &record);
                held.lock().unwrap().push((number, versions));
            })
        })
        .collect();
    // The store comes back just after a heartbeat of the new replicas, a time that no one chooses.
    let moment = joined + 2 * HEARTBEAT;
    thread::sleep(moment.saturating_duration_since(Instant::now()));
    record.line(&format!("origins: {}", store.value(ORIGINS).unwrap_or_default()));
    let age = joined.elapsed() + Duration::from_millis(300);
    let rewound = store.clone();
    let rewinding = thread::spawn(move || {
        if troubles.rewinds {
            rewound.come_back_from_copy(AWAY, age);
        }
    });
    if troubles.kills {
        for router in &mut routers {
            router.signal(Signal::Kill, "SIGKILL");
        }
        for router in &mut routers {
            router.wait_ended(Duration::from_secs(1));
        }
        thread::sleep(RESTART_DELAY);
        for (router, machine) in routers.iter_mut().zip(&machines) {
            *router = start(machine)?;
        }
    }
    let _ = rewinding.join();
    record.line(&format!("origins: {}", store.value(ORIGINS).unwrap_or_default()));
    for caller in callers {
        let _ = caller.join();
    }
    record.line(&format!("origins: {}", store.value(ORIGINS).unwrap_or_default()));
    let held = held.lock().unwrap();
    let mixed = held.iter().filter(|(_, versions)| versions.len() > 1);
    let mixed: Vec<String> = mixed
        .map(|(number, versions)| format!("the stream of caller {number} holds {versions:?}"))
        .collect();
    record.line(&format!("{} of {CALLERS} streams hold events of two versions", mixed.len()));
    Ok(if mixed.len() > MIXED_MAX { mixed } else { Vec::new() })
}

/// Where the machines keep the versions at which streams may have begun; read for the record only.
const ORIGINS: &str = "coltsfootgate/streams/origins";

fn start_replica(
    number: usize,
    version: &str,
    store: &Store,
    record: &Record,
) -> io::Result<Replica> {
    let spec = ReplicaSpec {
        id: format!("i-{number}"),
        service: "llm".to_owned(),
        version: version.to_owned(),
        slots: 64,
        queue: 64,
        work: Duration::from_millis(250),
        events: 30,
    };
    Replica::start(spec, store, record)
}

/// Waits until streams may begin at a version.
fn wait_listed(store: &Store, version: &str) -> io::Result<()> {
    for _ in 0..100 {
        if store.value(ORIGINS).is_some_and(|list| list.contains(version)) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(io::ErrorKind::TimedOut.into())
}

/// Reads a stream, takes it up again if it breaks off, and returns the versions of its events.
fn follow_stream(
    number: usize,
    fronts: &[std::net::SocketAddr],
    record: &Record,
) -> BTreeSet<String> {
    let (mut versions, begun) = (BTreeSet::new(), Instant::now());
    let first = format!("c{number}t0");
    let mut last = String::new();
    for take_up in 0..=TAKE_UPS {
        let attempt = format!("c{number}t{take_up}");
        let headers = match last.as_str() {
            "" => String::new(),
            last => format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n"),
        };
        let call = Call {
            method: "POST",
            target: format!("/chat/{number}"),
            attempt: attempt.clone(),
            key: "key-of-the-club".to_owned(),
            deadline_ms: DEADLINE_MS,
            headers,
        };
        record.line(&format!("caller: {attempt} sent, last event {last:?}"));
        let reply = call_once(fronts[(number + take_up) % fronts.len()], &call);
        let got: BTreeSet<String> = reply
            .events()
            .iter()
            .filter_map(|data| data.split(' ').next().map(str::to_owned))
            .collect();
        record.line(&format!(
            "caller: {attempt} {} {:?}, events of {got:?}, last {:?}",
            reply.status,
            reply.end,
            reply.last_event()
        ));
        versions.extend(got);
        if let Some(event) = reply.last_event() {
            last = event.to_owned();
        }
        if reply.end == End::Answered && reply.status == 200 {
            break;
        }
        let left = Duration::from_millis(DEADLINE_MS).saturating_sub(begun.elapsed());
        // Callers do not notice at the same moment that their streams broke off.
        let pause = if take_up == 0 { NOTICE_TIME * number as u32 } else { TAKE_UP_PAUSE };
        thread::sleep(reply.retry_after.unwrap_or(pause).min(left / 3));
    }
    versions
}
