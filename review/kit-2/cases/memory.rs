//! Clients read their answers slowly, and what an instance holds for them exceeds its memory.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Instance, ReplicaSlot, Stage, configuration, request, route, wait_for};
use crate::http::Connection;
use crate::replica::LONG_BYTES;
use crate::slow::connect_slowly;
use crate::store::Store;

const KEY: &str = "key-of-the-club";
/// `memory_mb` of the smallest machines.
const MEMORY_MB: u64 = 160;
/// Clients that read slowly.
const SLOW_CLIENTS: usize = 240;
/// Bytes that one of them reads at a time.
const PIECE: usize = 8192;
/// Pause after each piece, so that a whole answer takes 13 s.
const PIECE_GAP: Duration = Duration::from_millis(104);
/// Time that a client waits for a whole long answer.
const LONG_DEADLINE: Duration = Duration::from_millis(15_000);
/// Other clients, which keep their connections.
const OTHER_CLIENTS: usize = 16;
const DEADLINE: Duration = Duration::from_millis(2500);
/// Requests that are passed on and whose connection closes without an answer, as many as the rule allows.
const ALLOWED: usize = 3;
/// How long the clients send.
const WATCHED: Duration = Duration::from_secs(20);

/// Asks for a long answer and reads it slowly, or as fast as it comes; returns whether it was whole.
fn read_long(front: SocketAddr, number: usize, is_slow: bool) -> std::io::Result<bool> {
    let mut stream = connect_slowly(front)?;
    let id = format!("l{number:03}");
    let path = format!("/l/{number}");
    stream.write_all(&request(
        &path,
        &id,
        KEY,
        LONG_DEADLINE.as_millis(),
        "Connection: close\r\n",
    ))?;
    let (mut total, mut piece) = (0, [0; PIECE]);
    loop {
        match stream.read(&mut piece)? {
            0 => return Ok(total >= LONG_BYTES),
            read => total += read,
        }
        if is_slow {
            thread::sleep(PIECE_GAP);
        }
    }
}

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
        route("reports", "/l/", "idempotent", 15_000, 1, ""),
        route("orders", "/o/", "idempotent", 2_500, 1, ""),
    ];
    store.put("op/config", &configuration(1, &routes, &[KEY]));
    let mut replicas: Vec<ReplicaSlot> =
        (1..=3).map(|number| ReplicaSlot::new(&stage, &store, "app", number)).collect();
    for replica in &mut replicas {
        replica.slots = 64;
        replica.start("1.0");
    }
    let mut fleet = Instance::fleet(&stage, &store, 3);
    fleet.iter_mut().for_each(|instance| instance.start(logs));
    wait_for("the instances", || fleet.iter().all(Instance::is_ready));
    thread::sleep(Duration::from_secs(4));
    fleet.iter().for_each(|instance| instance.limit_memory(MEMORY_MB));
    let front = fleet[0].front;
    let is_over = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..OTHER_CLIENTS)
        .map(|number| {
            let (stage, is_over) = (stage.clone(), is_over.clone());
            thread::spawn(move || keep_sending(&stage, front, number, &is_over))
        })
        .collect();
    let started = Instant::now();
    let readers: Vec<_> = (0..SLOW_CLIENTS)
        .map(|number| {
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || read_long(front, number, has_trouble).unwrap_or(false))
        })
        .collect();
    stage.note(&format!("{SLOW_CLIENTS} clients have asked for long answers"));
    let whole = readers.into_iter().map(|reader| reader.join().unwrap());
    let whole = whole.filter(|is_whole| *is_whole).count();
    stage.note(&format!("{whole} of them have read their whole answer"));
    thread::sleep(WATCHED.saturating_sub(started.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    let lost = others.into_iter().flat_map(|other| other.join().unwrap());
    let lost = lost.filter(|id| stage.has_run(id)).count();
    stage.note(&format!("{lost} requests of the other clients ran, and their connections were closed without an answer"));
    stage.note(if lost > ALLOWED { "LOST is broken" } else { "LOST holds" });
    stage.exit(i32::from(lost > ALLOWED));
}
