//! A quarter of the replicas of a service crash and start again under their ids, with the next version of their
//! software, while the others are full.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Instance, ReplicaSlot, Stage, configuration, request, route, wait_for};
use crate::http;
use crate::replica::{EVENTS, SLOTS};
use crate::store::Store;

/// The versions of the software before and after the crash.
const VERSIONS: [&str; 2] = ["1.0", "1.1"];
const KEY: &str = "key-of-the-club";
/// Replicas of the service.
const REPLICAS: usize = 20;
/// Replicas that crash.
const CRASHED: usize = 5;
/// Streams, a third of them at each instance; as many as the replicas have slots.
const STREAMS: usize = REPLICAS * SLOTS;
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;
/// Time that a client waits for a whole stream.
const DEADLINE: Duration = Duration::from_secs(12);
/// Tries of a client, each on a new connection.
const TRIES: usize = 6;
/// When the replicas crash, after the streams began.
const CRASH_AT: Duration = Duration::from_secs(2);
/// How long a replica is down.
const DOWN: Duration = Duration::from_millis(300);

/// What a client got.
struct Outcome {
    stream: String,
    versions: BTreeSet<String>,
    events: u64,
}

/// A client: takes its stream up again until it is complete or its time has passed.
fn follow(stage: &Stage, fronts: &[std::net::SocketAddr], number: usize) -> Outcome {
    let started = Instant::now();
    let stream = format!("s{number:02}a0");
    let mut outcome = Outcome { stream: stream.clone(), versions: BTreeSet::new(), events: 0 };
    for attempt in 0..TRIES {
        let Some(left) = DEADLINE.checked_sub(started.elapsed()) else { break };
        let id = format!("s{number:02}a{attempt}");
        let resume = match outcome.events {
            0 => String::new(),
            last => format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", first_id(&outcome)),
        };
        let bytes = request(&format!("/s/{number}"), &id, KEY, left.as_millis(), &resume);
        let front = fronts[(number + attempt) % fronts.len()];
        stage.note(&format!("client {id} sends {}", resume.replace("\r\n", " ")));
        let pause = match read(stage, front, &bytes, left, &id, &mut outcome) {
            Some(pause) => pause,
            None => break,
        };
        thread::sleep(pause);
    }
    outcome
}

/// The id of the try that brought the first event; the first one here, since all streams begin before the crash.
fn first_id(outcome: &Outcome) -> &str {
    &outcome.stream
}

/// Reads one answer; returns the pause before the next try, or `None` if the stream is complete.
fn read(
    stage: &Stage,
    front: std::net::SocketAddr,
    bytes: &[u8],
    left: Duration,
    id: &str,
    outcome: &mut Outcome,
) -> Option<Duration> {
    let Ok(mut answer) = http::send(front, bytes, left) else { return Some(Duration::ZERO) };
    if answer.status != 200 {
        let delay = answer.headers.get("retry-after").and_then(|delay| delay.parse::<f64>().ok());
        stage.note(&format!("client {id} gets {}, {delay:?}", answer.status));
        // Clients honour it up to a third of the time that they have left.
        let delay = delay.map(Duration::from_secs_f64).filter(|delay| *delay <= left / 3);
        return Some(delay.unwrap_or(Duration::from_millis(50)));
    }
    let mut text = String::new();
    loop {
        let piece = match answer.next() {
            Ok(Some(piece)) => piece,
            Ok(None) => {
                stage.note(&format!("client {id}: complete with event {}", outcome.events));
                return None;
            }
            Err(error) => {
                stage.note(&format!("client {id}: broken after event {}: {error}", outcome.events));
                return Some(Duration::ZERO);
            }
        };
        text.push_str(&String::from_utf8_lossy(&piece));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let field = |name| event.lines().find_map(|line| line.strip_prefix(name));
            let (number, version) = (field("id: "), field("data: "));
            let (number, version) = (number.unwrap_or("0"), version.unwrap_or("?").to_owned());
            if outcome.versions.insert(version.clone()) {
                stage.note(&format!("client {id}: event {number} is of version {version}"));
            }
            outcome.events = number.parse().unwrap_or(0);
            text = rest.to_owned();
        }
    }
}

pub fn run(folder: &str, logs: &str, has_trouble: bool) {
    let stage = Stage::open(folder);
    let store = Store::start();
    let routes = [route(
        "notes",
        "/s/",
        "streaming",
        12_000,
        2,
        "\"resumable\":true,\"gap_target_ms\":250,",
    )];
    store.put("op/config", &configuration(1, &routes, &[KEY]));
    let mut replicas: Vec<ReplicaSlot> =
        (1..=REPLICAS).map(|number| ReplicaSlot::new(&stage, &store, "app", number)).collect();
    replicas.iter_mut().for_each(|replica| replica.start(VERSIONS[0]));
    let mut fleet = Instance::fleet(&stage, &store, 3);
    fleet.iter_mut().for_each(|instance| instance.start(logs));
    wait_for("the instances", || fleet.iter().all(Instance::is_ready));
    // Traffic starts some seconds after the machines do.
    thread::sleep(Duration::from_secs(4));
    let fronts: Arc<Vec<_>> = Arc::new(fleet.iter().map(|instance| instance.front).collect());
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (stage, fronts) = (stage.clone(), fronts.clone());
            thread::spawn(move || follow(&stage, &fronts, number))
        })
        .collect();
    thread::sleep(CRASH_AT);
    if has_trouble {
        let crashed = &mut replicas[..CRASHED];
        crashed.iter_mut().for_each(ReplicaSlot::kill);
        thread::sleep(DOWN);
        crashed.iter_mut().for_each(|replica| replica.start(VERSIONS[1]));
    }
    let outcomes: Vec<Outcome> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let complete = outcomes.iter().filter(|outcome| outcome.events == EVENTS).count();
    let joined: Vec<&str> = outcomes
        .iter()
        .filter(|outcome| outcome.versions.len() > 1)
        .map(|outcome| outcome.stream.as_str())
        .collect();
    stage.note(&format!("{complete} of {STREAMS} streams are complete"));
    stage.note(&format!(
        "{} streams hold events of two versions: {}",
        joined.len(),
        joined.join(" ")
    ));
    if !has_trouble && complete < STREAMS {
        stage.note("the case could not run: streams break off without trouble");
        stage.exit(2);
    }
    let is_broken = joined.len() > ALLOWED;
    stage.note(if is_broken { "ORDER is broken" } else { "ORDER holds" });
    stage.exit(i32::from(is_broken));
}
