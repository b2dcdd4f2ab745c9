//! All instances are killed while streams of two versions run; their clients take them up again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::{Instance, ReplicaSlot, Stage, configuration, request, route, wait_for};
use crate::http;
use crate::replica::EVENTS;
use crate::store::Store;

/// The versions of the software that serve side by side, two replicas of each.
const VERSIONS: [&str; 4] = ["1.0", "1.0", "1.1", "1.1"];
const KEY: &str = "key-of-the-club";
/// Streams that run when the instances are killed.
const STREAMS: usize = 24;
/// Time that a client waits for a whole stream.
const DEADLINE: Duration = Duration::from_secs(15);
/// Tries of a client, each on a new connection.
const TRIES: usize = 8;
/// Time between two tries of a client that was told no other.
const TRY_GAP: Duration = Duration::from_millis(1500);
/// When the instances are killed, after the streams began.
const KILL_AT: Duration = Duration::from_secs(2);
/// How long the instances are down.
const DOWN: Duration = Duration::from_millis(500);
/// `stable_window_ms` after the instances are ready again they are in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

/// What a client saw of its stream.
#[derive(Default)]
struct Outcome {
    events: u64,
    /// Tries that were sent to an instance in touch after the stream had been cut.
    taken_up: usize,
    goes_on: bool,
}

struct Scene {
    stage: Stage,
    fronts: Vec<SocketAddr>,
    /// When the instances are in touch again, in milliseconds since the start; 0 before.
    in_touch: AtomicU64,
}

/// Reads one answer; returns the pause before the next try, or `None` if the stream is complete.
fn read(
    scene: &Scene,
    front: SocketAddr,
    bytes: &[u8],
    id: &str,
    outcome: &mut Outcome,
) -> Option<Duration> {
    let stage = &scene.stage;
    let Ok(mut answer) = http::send(front, bytes, DEADLINE) else { return Some(TRY_GAP) };
    if answer.status != 200 {
        let delay = answer.headers.get("retry-after").and_then(|delay| delay.parse::<f64>().ok());
        let reason = answer.headers.get("coltsfootgate-reason").cloned().unwrap_or_default();
        stage.note(&format!("client {id} gets {} {reason}, {delay:?}", answer.status));
        return Some(delay.map_or(TRY_GAP, Duration::from_secs_f64));
    }
    let before = outcome.events;
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
                return Some(TRY_GAP);
            }
        };
        text.push_str(&String::from_utf8_lossy(&piece));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let number = event.lines().find_map(|line| line.strip_prefix("id: "));
            outcome.events = number.and_then(|number| number.parse().ok()).unwrap_or(0);
            outcome.goes_on |= before > 0;
            text = rest.to_owned();
        }
    }
}

/// A client: takes its stream up again until it is complete or its time has passed.
fn follow(scene: &Scene, name: &str, number: usize) -> Outcome {
    let started = scene.stage.now();
    let mut outcome = Outcome::default();
    for attempt in 0..TRIES {
        let now = scene.stage.now();
        let Some(left) = DEADLINE.checked_sub(now - started) else { break };
        let id = format!("{name}{number:02}a{attempt}");
        let resume = match outcome.events {
            0 => String::new(),
            last => format!("Last-Event-Id: {last}\r\nResumes: {name}{number:02}a0\r\n"),
        };
        let in_touch = Duration::from_millis(scene.in_touch.load(Ordering::SeqCst));
        if !resume.is_empty() && !in_touch.is_zero() && now > in_touch {
            outcome.taken_up += 1;
        }
        let bytes = request(&format!("/s/{number}"), &id, KEY, left.as_millis(), &resume);
        let front = scene.fronts[(number + attempt) % scene.fronts.len()];
        scene.stage.note(&format!("client {id} sends {}", resume.replace("\r\n", " ")));
        let Some(pause) = read(scene, front, &bytes, &id, &mut outcome) else { break };
        thread::sleep(pause);
    }
    outcome
}

fn start_clients(scene: &Arc<Scene>, name: &'static str) -> Vec<thread::JoinHandle<Outcome>> {
    let start = |number| {
        let scene = scene.clone();
        thread::spawn(move || follow(&scene, name, number))
    };
    (0..STREAMS).map(start).collect()
}

pub fn run(folder: &str, logs: &str, has_trouble: bool) {
    let stage = Stage::open(folder);
    let store = Store::start();
    let more = "\"resumable\":true,\"gap_target_ms\":250,";
    let routes = [route("notes", "/s/", "streaming", 15_000, 2, more)];
    store.put("op/config", &configuration(1, &routes, &[KEY]));
    let mut replicas: Vec<ReplicaSlot> = (1..=VERSIONS.len())
        .map(|number| ReplicaSlot::new(&stage, &store, "app", number))
        .collect();
    for (replica, version) in replicas.iter_mut().zip(VERSIONS) {
        replica.slots = STREAMS;
        replica.start(version);
    }
    let mut fleet = Instance::fleet(&stage, &store, 3);
    fleet.iter_mut().for_each(|instance| instance.start(logs));
    wait_for("the instances", || fleet.iter().all(Instance::is_ready));
    // Traffic starts some seconds after the machines do.
    thread::sleep(Duration::from_secs(5));
    let fronts = fleet.iter().map(|instance| instance.front).collect();
    let scene = Arc::new(Scene { stage: stage.clone(), fronts, in_touch: AtomicU64::new(0) });
    let clients = start_clients(&scene, "s");
    thread::sleep(KILL_AT);
    if has_trouble {
        fleet.iter_mut().for_each(Instance::kill);
        thread::sleep(DOWN);
        fleet.iter_mut().for_each(|instance| instance.start(logs));
        wait_for("the instances again", || fleet.iter().all(Instance::is_ready));
    }
    thread::sleep(STABLE_WINDOW);
    scene.in_touch.store(stage.now().as_millis() as u64, Ordering::SeqCst);
    stage.note("all instances are in touch again");
    let newer = start_clients(&scene, "n");
    let outcomes: Vec<Outcome> = clients.into_iter().map(|one| one.join().unwrap()).collect();
    let newer: Vec<Outcome> = newer.into_iter().map(|one| one.join().unwrap()).collect();
    let complete = outcomes.iter().filter(|one| one.events == EVENTS).count();
    let taken_up = outcomes.iter().filter(|one| one.taken_up > 0).count();
    let go_on = outcomes.iter().filter(|one| one.taken_up > 0 && one.goes_on).count();
    let begun = newer.iter().filter(|one| one.events > 0).count();
    stage.note(&format!("{complete} of {STREAMS} streams are complete"));
    stage.note(&format!(
        "of {taken_up} streams that were taken up again in touch, {go_on} went on; of {STREAMS} new ones {begun} began"
    ));
    if !has_trouble && complete < STREAMS {
        stage.note("the case could not run: streams break off without trouble");
        stage.exit(2);
    }
    // The share that goes on is under half of the share of new streams that begin.
    let is_broken = taken_up >= 12 && go_on * 2 * STREAMS < begun * taken_up;
    stage.note(if is_broken { "LOST is broken" } else { "LOST holds" });
    stage.exit(i32::from(is_broken));
}
