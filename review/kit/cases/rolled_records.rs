//! All machines are stopped and started in turn while two software versions serve, and streams that were cut
//! are taken up again.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{call_once, Call, End};
use crate::record::Record;
use crate::replica::{Replica, ReplicaSpec};
use crate::router::{choose_machines, Machine, Router, Signal, GRACE_SECONDS};
use crate::store::Store;

const MACHINES: usize = 5;
/// Callers of each machine, each with one stream.
const CALLERS: usize = 14;
const DEADLINE_MS: u64 = 15_000;
/// Time between two SIGTERMs.
const GAP: Duration = Duration::from_secs(2);
/// Delay after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// `stable_window_ms` of the settings.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Tries of a caller to take up its stream again.
const TAKE_UPS: usize = 4;
/// Streams from which on the rule holds.
const TAKEN_UP_MIN: usize = 12;

const SETTINGS: &str = r#"{"version":3,
"routes":[{"name":"chat","host":"a.example","path_prefix":"/chat/","kind":"streaming",
"timeout_ms":15000,"target_latency_ms":400,"gap_target_ms":300,"priority":0,"service":"llm",
"attempts":2,"resumable":true}],
"services":[{"name":"llm","health_path":"/health"}],
"limits":{"header_bytes":16384,"body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":60000},
"tenants":[{"name":"club","api_keys":["key-of-the-club"],"priority":1}]}"#;

/// The machines that accept callers, each with the time of its start.
type Open = Arc<Mutex<Vec<(usize, SocketAddr, Instant)>>>;

/// What became of the streams that callers took up again, and of new streams meanwhile.
#[derive(Default)]
struct Counts {
    /// Whether each stream that was taken up at a machine in touch went on.
    taken_up: Vec<bool>,
    /// Whether each new stream at a machine in touch began.
    new: Vec<bool>,
}

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start(record)?;
    store.put("op/config", SETTINGS);
    for number in 0..4 {
        let spec = ReplicaSpec {
            id: format!("i-{number}"),
            service: "llm".to_owned(),
            version: if number < 2 { "v1" } else { "v2" }.to_owned(),
            slots: 64,
            queue: 134,
            work: Duration::from_millis(250),
            events: 44,
        };
        Replica::start(spec, &store, record)?;
    }
    let machines = choose_machines(MACHINES)?;
    let address = store.address();
    let mut routers = Vec::new();
    for machine in &machines {
        routers.push(Router::start(*machine, address, &machines, record)?);
    }
    let open = Open::default();
    for router in &routers {
        router.wait_ready()?;
        open.lock().unwrap().push((router.machine.number, router.machine.front, Instant::now()));
    }
    thread::sleep(Duration::from_secs(5));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let (mut callers, mut stopping) = (Vec::new(), Vec::new());
    for router in routers {
        let machine = router.machine;
        // The callers' streams begin a second before the machine is stopped.
        for number in 0..CALLERS {
            let (open, record, counts) = (open.clone(), record.clone(), counts.clone());
            let name = format!("m{}c{number}", machine.number);
            callers.push(thread::spawn(move || {
                follow_stream(&name, machine.front, &open, &counts, &record)
            }));
        }
        thread::sleep(Duration::from_secs(1));
        let (open, record, machines) = (open.clone(), record.clone(), machines.clone());
        stopping.push(thread::spawn(move || {
            if has_trouble {
                restart(router, address, &machines, &open, &record)
            } else {
                thread::sleep(Duration::from_secs(20));
                drop(router);
                Ok(())
            }
        }));
        thread::sleep(GAP - Duration::from_secs(1));
    }
    for caller in callers {
        let _ = caller.join();
    }
    for stopped in stopping {
        let _ = stopped.join();
    }
    let counts = counts.lock().unwrap();
    let share =
        |ends: &[bool]| ends.iter().filter(|end| **end).count() as f64 / ends.len().max(1) as f64;
    let (went_on, began) = (share(&counts.taken_up), share(&counts.new));
    let line =
        format!(
        "{} streams were taken up at machines in touch, {:.0} in 100 of them went on; of {} new \
         streams there {:.0} in 100 began",
        counts.taken_up.len(), 100.0 * went_on, counts.new.len(), 100.0 * began
    );
    record.line(&line);
    let is_broken = counts.taken_up.len() >= TAKEN_UP_MIN && went_on < began / 2.0;
    Ok(if is_broken { vec![line] } else { Vec::new() })
}

/// Stops a machine with SIGTERM and starts it again once it has ended.
fn restart(
    mut router: Router,
    store: SocketAddr,
    machines: &[Machine],
    open: &Open,
    record: &Record,
) -> io::Result<()> {
    let machine = router.machine;
    // The platform takes the machine out of rotation.
    open.lock().unwrap().retain(|(number, ..)| *number != machine.number);
    router.signal(Signal::Terminate, "SIGTERM");
    if !router.wait_ended(Duration::from_secs(GRACE_SECONDS)) {
        router.signal(Signal::Kill, "SIGKILL");
        router.wait_ended(Duration::from_secs(1));
    }
    thread::sleep(RESTART_DELAY);
    let started = Instant::now();
    let router = Router::start(machine, store, machines, record)?;
    router.wait_ready()?;
    open.lock().unwrap().push((machine.number, machine.front, started));
    thread::sleep(Duration::from_secs(25));
    drop(router);
    Ok(())
}

/// Follows a stream from its begin at a machine; takes it up again if it breaks off.
fn follow_stream(
    name: &str,
    front: SocketAddr,
    open: &Open,
    counts: &Mutex<Counts>,
    record: &Record,
) {
    let begun = Instant::now();
    let first = format!("{name}t0");
    let reply = call(front, name, &first, String::new(), begun, record);
    let Some(last) = reply.0 else { return };
    if reply.1 == End::Answered {
        return;
    }
    let (mut went_on, mut is_in_touch) = (false, false);
    for take_up in 1..=TAKE_UPS {
        // The platform chooses the machine that has been ready longest, as others may not be probed yet.
        let chosen = open.lock().unwrap().iter().min_by_key(|(.., started)| *started).copied();
        let Some((_, address, started)) = chosen else {
            thread::sleep(Duration::from_millis(500));
            continue;
        };
        is_in_touch |= started.elapsed() > STABLE_WINDOW;
        let headers = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        let attempt = format!("{name}t{take_up}");
        let (more, _, wait) = call(address, name, &attempt, headers, begun, record);
        if more.is_some() {
            went_on = true;
            break;
        }
        thread::sleep(wait);
    }
    if !is_in_touch {
        return;
    }
    counts.lock().unwrap().taken_up.push(went_on);
    let chosen = open.lock().unwrap().iter().min_by_key(|(.., started)| *started).copied();
    if let Some((_, address, _)) = chosen {
        let (new, ..) =
            call(address, name, &format!("{name}new"), String::new(), Instant::now(), record);
        counts.lock().unwrap().new.push(new.is_some());
    }
}

/// Sends one call; returns the last event, how it ended, and the time to wait before the next.
fn call(
    address: SocketAddr,
    name: &str,
    attempt: &str,
    headers: String,
    begun: Instant,
    record: &Record,
) -> (Option<String>, End, Duration) {
    let left = DEADLINE_MS.saturating_sub(begun.elapsed().as_millis() as u64).max(1);
    let call = Call {
        method: "POST",
        target: format!("/chat/{name}"),
        attempt: attempt.to_owned(),
        key: "key-of-the-club".to_owned(),
        deadline_ms: left,
        headers,
    };
    record.line(&format!("caller: {attempt} sent to {address}"));
    let reply = call_once(address, &call);
    record.line(&format!(
        "caller: {attempt} {} {:?}, last event {:?}, retry after {:?}",
        reply.status,
        reply.end,
        reply.last_event(),
        reply.retry_after
    ));
    let wait = reply.retry_after.unwrap_or(Duration::from_millis(300));
    (reply.last_event().map(str::to_owned), reply.end, wait.min(Duration::from_millis(left / 3)))
}
