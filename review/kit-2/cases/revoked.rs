//! A key is taken away while an instance is partitioned from the store and the others are killed again and again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::{Instance, ReplicaSlot, Stage, configuration, request, route, wait_for};
use crate::http;
use crate::store::{Gate, Store};

/// The key that is taken away, and one that stays.
const KEYS: [&str; 2] = ["key-that-leaves", "key-that-stays"];
/// `revoke_ms`, after which the key must not be accepted anywhere.
const REVOKE_TIME: Duration = Duration::from_millis(5000);
/// How long requests are sent after the key was taken away.
const WATCHED: Duration = Duration::from_secs(12);
/// Time between two requests.
const REQUEST_GAP: Duration = Duration::from_millis(100);
/// Time from the start of an instance until it is killed once more.
const LIFE: Duration = Duration::from_millis(440);
/// Time until the platform starts it again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Kills an instance again and again until the end is told.
fn kill_again(mut instance: Instance, logs: &str, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        instance.start(logs);
        thread::sleep(LIFE);
        instance.kill();
        thread::sleep(RESTART_DELAY);
    }
}

/// Sends a request with the key that is taken away; returns the status.
fn send(stage: &Stage, front: SocketAddr, number: usize) -> u16 {
    let id = format!("r{number:03}");
    let bytes = request("/o/1", &id, KEYS[0], 1000, "");
    stage.note(&format!("client {id} sends"));
    let status =
        http::send(front, &bytes, Duration::from_secs(1)).map_or(0, |answer| answer.status);
    stage.note(&format!("client {id} gets {status}"));
    status
}

pub fn run(folder: &str, logs: &str, has_trouble: bool) {
    let stage = Stage::open(folder);
    let store = Store::start();
    let routes = [route("orders", "/o/", "idempotent", 2500, 1, "")];
    store.put("op/config", &configuration(1, &routes, &KEYS));
    let mut replica = ReplicaSlot::new(&stage, &store, "app", 1);
    replica.start("1.0");
    let mut fleet = Instance::fleet(&stage, &store, 3);
    fleet.iter_mut().for_each(|instance| instance.start(logs));
    wait_for("the instances", || fleet.iter().all(Instance::is_ready));
    thread::sleep(Duration::from_secs(4));
    let others = fleet.split_off(1);
    let front = fleet[0].front;
    wait_for("a request with the key", || send(&stage, front, 0) == 200);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut killers = Vec::new();
    if has_trouble {
        fleet[0].store.set(Gate::Silent);
        stage.note("front-1 is partitioned from the store");
        for (number, mut instance) in others.into_iter().enumerate() {
            instance.kill();
            let (is_over, logs) = (is_over.clone(), logs.to_owned());
            killers.push(thread::spawn(move || {
                thread::sleep(RESTART_DELAY + RESTART_DELAY * number as u32);
                kill_again(instance, &logs, &is_over);
            }));
        }
    }
    store.put("op/config", &configuration(2, &routes, &KEYS[1..]));
    let revoked = stage.now();
    stage.note("the configuration without the key is acknowledged");
    let mut late = Vec::new();
    for number in 1.. {
        let sent = stage.now() - revoked;
        if sent > WATCHED {
            break;
        }
        if send(&stage, front, number) == 200 && sent > REVOKE_TIME {
            late.push(format!("r{number:03} after {} ms", sent.as_millis()));
        }
        thread::sleep(REQUEST_GAP);
    }
    is_over.store(true, Ordering::SeqCst);
    killers.into_iter().for_each(|killer| killer.join().unwrap());
    stage.note(&format!("{} requests with the key ran too late: {}", late.len(), late.join(", ")));
    stage.note(if late.is_empty() { "CONFIG holds" } else { "CONFIG is broken" });
    stage.exit(i32::from(!late.is_empty()));
}
