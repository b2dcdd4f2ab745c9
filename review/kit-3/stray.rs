//! Replicas of a plain service send an extra answer late, where the next answer on the connection is expected.

use std::collections::{HashMap, HashSet};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::clients::{HOST, KEY, limits, turn};
use crate::http::{Exchange, answer, call, read_request};
use crate::instances::{Instance, start_fleet};
use crate::record::Record;
use crate::store::Store;

const SERVICE: &str = "rezervari-api";
const REPLICAS: usize = 4;
const SLOTS: usize = 6;
/// Of the replicas, half are faulty, and send an extra answer after one in so many of theirs: `garble` with its usual
/// share of 0.5 and x of 0.02.
const EXTRA_PERIOD: usize = 50;
const WORK_TIME: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_millis(2500);
const HEARTBEAT: Duration = Duration::from_millis(1200);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const REQUESTS: usize = 2000;
const REQUEST_PERIOD: Duration = Duration::from_millis(20);
/// A refusal as `fleetbench wire` shows it under "a server sheds"; it names no request.
const EXTRA_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Coltsfootgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// What the replicas ran, and how often they sent an extra answer.
#[derive(Default)]
struct Seen {
    /// By the id of the attempt.
    runs: Mutex<HashMap<String, usize>>,
    /// By the path, which names what is to be cancelled.
    paths: Mutex<HashMap<String, usize>>,
    answers: AtomicUsize,
    extras: AtomicUsize,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let (store, seen) = (Store::start(), Arc::new(Seen::default()));
    store.put("op/config", &settings());
    for number in 0..REPLICAS {
        let is_faulty = has_trouble && number % 2 == 0;
        start_replica(number, is_faulty, &store, &seen, record);
    }
    let mut fleet = start_fleet(&["cluj-a", "cluj-b", "turda-c"], store.address, record);
    if !fleet.iter_mut().all(Instance::wait_ready) {
        return Verdict::NotRun("an instance does not become ready");
    }
    thread::sleep(STABLE_WINDOW);
    let fronts: Vec<SocketAddr> = fleet.iter().map(|one| one.front).collect();
    let ends: Arc<Mutex<HashMap<String, Exchange>>> = Arc::default();
    let mut senders = Vec::new();
    let mut due = Instant::now();
    for number in 0..REQUESTS {
        let (address, ends) = (turn(&fronts, number), ends.clone());
        let other = turn(&fronts, number + 1);
        senders.push(thread::spawn(move || {
            let id = format!("a{number:07x}");
            let end = call(address, &request(number, &id), DEADLINE);
            let pause = retry_pause(&end);
            ends.lock().expect("ends").insert(id, end);
            // After the promise that it has not run, a client may ask again, at another machine.
            if let Some(pause) = pause {
                thread::sleep(pause);
                let id = format!("b{number:07x}");
                let end = call(other, &request(number, &id), DEADLINE);
                ends.lock().expect("ends").insert(id, end);
            }
        }));
        due += REQUEST_PERIOD;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    senders.into_iter().for_each(|sender| drop(sender.join()));
    thread::sleep(Duration::from_millis(500));
    judge(&ends.lock().expect("ends"), &seen, record)
}

/// How long a client waits until it asks again; `None` if it doesn't.
fn retry_pause(end: &Exchange) -> Option<Duration> {
    let Exchange::Whole(answer) = end else { return None };
    let seconds: f64 = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.1);
    [429, 503].contains(&answer.status()).then(|| Duration::from_secs_f64(seconds.min(0.8)))
}

fn judge(ends: &HashMap<String, Exchange>, seen: &Seen, record: &Record) -> Verdict {
    let runs = seen.runs.lock().expect("runs");
    let promises: HashSet<u16> = [408, 421, 429, 503].into();
    let mut ids: Vec<&String> = ends.keys().collect();
    ids.sort();
    let (mut whole, mut broken, mut others) = (0, 0, 0);
    for id in ids {
        let (end, count) = (&ends[id], runs.get(id).copied().unwrap_or(0));
        if end.is_success() && count == 1 {
            whole += 1;
            continue;
        }
        record.line(format!("request {id}: {}, ran {count} times", end.summary()));
        let is_promise = matches!(end, Exchange::Whole(one) if promises.contains(&one.status()));
        if is_promise && count > 0 {
            broken += 1;
        } else {
            others += 1;
        }
    }
    let paths = seen.paths.lock().expect("paths");
    let doubled = paths.values().filter(|count| **count > 1).count();
    record.say(format!(
        "{} attempts of requests that may not be repeated: {whole} run once and answered, {broken} answered \
         408, 421, 429 or 503 although they ran, {others} others; {doubled} cancellations ran twice, \
         since their clients trusted that promise; the replicas gave {} answers and {} extra ones",
        ends.len(),
        seen.answers.load(Ordering::Relaxed),
        seen.extras.load(Ordering::Relaxed),
    ));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

fn settings() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"cancel\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/cancel/\",\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\
         \"target_latency_ms\":300,\"priority\":2,\"attempts\":1,\"service\":\"{SERVICE}\"}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\"}}],\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}],\"limits\":{}}}",
        limits(16_384)
    )
}

fn request(number: usize, id: &str) -> String {
    format!(
        "POST /cancel/{number} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
         X-Coltsfootgate-Attempt-Id: {id}\r\nX-Coltsfootgate-Deadline-Ms: {}\r\n\
         Content-Length: 2\r\n\r\n{{}}",
        DEADLINE.as_millis()
    )
}

fn start_replica(number: usize, is_faulty: bool, store: &Store, seen: &Arc<Seen>, record: &Record) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a replica");
    let address = listener.local_addr().expect("the address of a replica");
    let name = format!("i-{number:04}");
    record.line(format!("replica {name} starts at {address}{}", if is_faulty { ", faulty" } else { "" }));
    let (store, key) = (store.clone(), format!("servers/{name}"));
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"cluj-a\",\
                 \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\
                 \"cold_remaining_ms\":0,\"seq\":{sequence},\"born\":{born}}}"
            );
            store.put(&key, &entry);
            thread::sleep(HEARTBEAT);
        }
    });
    let (seen, record, given) = (seen.clone(), record.clone(), Arc::new(AtomicUsize::new(0)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (seen, record) = (seen.clone(), record.clone());
            let (name, given) = (name.clone(), given.clone());
            thread::spawn(move || drop(serve(stream, &name, is_faulty, &given, &seen, &record)));
        }
    });
}

fn serve(
    stream: TcpStream,
    name: &str,
    is_faulty: bool,
    given: &AtomicUsize,
    seen: &Seen,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut owes_extra = false;
    while let Some(request) = read_request(&mut reader)? {
        let id = request.header("x-coltsfootgate-attempt-id").unwrap_or_default().to_owned();
        if request.header("x-coltsfootgate-expect-replica").is_some_and(|expected| expected != name) {
            let head = format!("X-Coltsfootgate-Replica-Id: {name}\r\n");
            writer.write_all(&answer("421 Misdirected Request", &head, ""))?;
            continue;
        }
        *seen.runs.lock().expect("runs").entry(id.clone()).or_default() += 1;
        let path = request.target().to_owned();
        *seen.paths.lock().expect("paths").entry(path).or_default() += 1;
        if std::mem::take(&mut owes_extra) {
            seen.extras.fetch_add(1, Ordering::Relaxed);
            record.line(format!("{name} begins to run {id}; an extra answer arrives late"));
            writer.write_all(EXTRA_ANSWER)?;
        }
        thread::sleep(WORK_TIME);
        let head = format!(
            "X-Coltsfootgate-Attempt-Id: {id}\r\nX-Coltsfootgate-Replica-Stamp: {name}.{id}\r\n"
        );
        writer.write_all(&answer("200 OK", &head, &format!("done {id}")))?;
        seen.answers.fetch_add(1, Ordering::Relaxed);
        let number = given.fetch_add(1, Ordering::Relaxed) + 1;
        owes_extra = is_faulty && number % EXTRA_PERIOD == 0;
    }
    Ok(())
}
