//! Two of three instances are cut off from all replicas; what the third holds for them exceeds its memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Instance, ReplicaSlot, Stage, configuration, post, request, route, wait_for};
use crate::http::Connection;
use crate::link::Link;
use crate::store::Store;

const KEY: &str = "key-of-the-club";
/// `memory_mb` of the smallest machines.
const MEMORY_MB: u64 = 160;
/// Clients of each instance that is cut off, which send long requests.
const LONG_CLIENTS: usize = 60;
/// Bytes of a long request, below `limits.body_bytes`.
const LONG_BYTES: usize = 760_000;
const LONG_DEADLINE: Duration = Duration::from_millis(14_000);
/// Time between the cut and the long requests.
const CUT_LEAD: Duration = Duration::from_millis(1500);
/// Clients of the third instance, which keep their connections.
const OTHER_CLIENTS: usize = 16;
const DEADLINE: Duration = Duration::from_millis(2500);
/// Requests that are passed on and whose connection closes without an answer, as many as the rule allows.
const ALLOWED: usize = 3;
/// How long the clients send after the cut.
const WATCHED: Duration = Duration::from_secs(20);

/// Sends one request after the other on a kept connection; returns the ids of those that got no answer.
fn keep_sending(
    stage: &Stage,
    front: SocketAddr,
    number: usize,
    is_over: &AtomicBool,
) -> Vec<String> {
    let mut lost = Vec::new();
    for round in 0.. {
        let Ok(mut connection) = Connection::open(front, DEADLINE) else { break };
        for request_number in 0.. {
            if is_over.load(Ordering::SeqCst) {
                return lost;
            }
            let id = format!("o{number:02}r{round}n{request_number:03}");
            let bytes = request("/o/1", &id, KEY, DEADLINE.as_millis(), "");
            if let Err(error) = connection.call(&bytes) {
                stage.note(&format!("client {id} gets no answer: {error}"));
                // Only a connection that carried a request before is a kept one.
                if request_number > 0 {
                    lost.push(id);
                }
                break;
            }
        }
    }
    lost
}

pub fn run(folder: &str, logs: &str, has_trouble: bool) {
    let stage = Stage::open(folder);
    let store = Store::start();
    let routes = [
        route("reports", "/w/", "idempotent", 15_000, 1, ""),
        route("orders", "/o/", "idempotent", 2_500, 1, ""),
    ];
    store.put("op/config", &configuration(1, &routes, &[KEY]));
    let mut replicas: Vec<ReplicaSlot> =
        (1..=8).map(|number| ReplicaSlot::new(&stage, &store, "app", number)).collect();
    let mut fleet = Instance::fleet(&stage, &store, 3);
    let mut links = Vec::new();
    for replica in &mut replicas {
        replica.slots = 64;
        for instance in &fleet[..2] {
            let link = Link::open(replica.address);
            instance.store.replace(&replica.address.to_string(), &link.address.to_string());
            links.push(link);
        }
        replica.start("1.0");
    }
    fleet.iter_mut().for_each(|instance| instance.start(logs));
    wait_for("the instances", || fleet.iter().all(Instance::is_ready));
    thread::sleep(Duration::from_secs(4));
    fleet.iter().for_each(|instance| instance.limit_memory(MEMORY_MB));
    let is_over = Arc::new(AtomicBool::new(false));
    let third = fleet[2].front;
    let others: Vec<_> = (0..OTHER_CLIENTS)
        .map(|number| {
            let (stage, is_over) = (stage.clone(), is_over.clone());
            thread::spawn(move || keep_sending(&stage, third, number, &is_over))
        })
        .collect();
    if has_trouble {
        links.iter().for_each(Link::cut);
        stage.note("front-1 and front-2 are cut off from all replicas");
    }
    let cut_at = Instant::now();
    thread::sleep(CUT_LEAD);
    let long: Vec<_> = (0..2 * LONG_CLIENTS)
        .map(|number| {
            let front = fleet[number % 2].front;
            thread::sleep(Duration::from_millis(5));
            thread::spawn(move || {
                let bytes = post("/w/1", &format!("w{number:03}"), KEY, LONG_DEADLINE, LONG_BYTES);
                let timeout = LONG_DEADLINE + Duration::from_secs(1);
                let sent = Connection::open(front, timeout).and_then(|mut one| one.call(&bytes));
                sent.map_or_else(|error| error.to_string(), |status| status.to_string())
            })
        })
        .collect();
    stage.note(&format!("{} clients have sent long requests", long.len()));
    let mut results: Vec<String> = long.into_iter().map(|one| one.join().unwrap()).collect();
    results.sort();
    let mut counted = results.clone();
    counted.dedup();
    for result in counted {
        let count = results.iter().filter(|one| **one == result).count();
        stage.note(&format!("{count} long requests: {result}"));
    }
    thread::sleep(WATCHED.saturating_sub(cut_at.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    let lost = others.into_iter().flat_map(|other| other.join().unwrap());
    let lost = lost.filter(|id| stage.has_run(id)).count();
    stage.note(&format!(
        "{lost} requests of the other clients ran, and their connections were closed without an answer"
    ));
    stage.note(if lost > ALLOWED { "LOST is broken" } else { "LOST holds" });
    stage.exit(i32::from(lost > ALLOWED));
}
