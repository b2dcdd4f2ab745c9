//! Instances as processes beside each other: a death, a stale store, the descriptors in use.

mod support;

use std::fs;
use std::net::SocketAddr;

use coltsfootgate_standins::control::blocking_call;
use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::proxy::start_proxy;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use serde_json::{Value, json};

use support::{TestDaemon, put_tree, sample_tree};

/// What a changed tree adds.
const MORE: &str = "[classes.new]\nmatch = { path = [\"/new/*\"] }\ntier = 2\n";

fn platform_with_tree(version: u64) -> StandinHandle {
    let platform = start_platform(ANY_PORT).unwrap();
    put_tree(platform.address, version, &sample_tree(&[], &[], ""));
    platform
}

/// Starts instances and lists them once all listen.
fn start_listed<const N: usize>(platform: &StandinHandle) -> [TestDaemon; N] {
    let daemons = std::array::from_fn(|_| TestDaemon::start(platform.address, "a", &[]));
    list(platform, &daemons.each_ref());
    daemons
}

fn list(platform: &StandinHandle, daemons: &[&TestDaemon]) {
    let entry = |daemon: &&TestDaemon| daemon.list_entry(daemon.ports.peers);
    let entries: Vec<Value> = daemons.iter().map(entry).collect();
    platform.control.send(&json!({"instances": entries})).unwrap();
}

fn wait_for_peers(daemon: &TestDaemon, state: &str, count: f64) {
    let label = format!("state=\"{state}\"");
    daemon.wait_for(&format!("{count} {state} peers"), || {
        (daemon.metric("coltsfootgate_instances", &[&label]) == count).then_some(())
    });
}

fn version(daemon: &TestDaemon) -> u64 {
    let answer = blocking_call(daemon.ports.operators, "GET", "/config/head", b"").unwrap();
    let head: Value = serde_json::from_slice(&answer.body).unwrap();
    head["version"].as_u64().unwrap()
}

fn hint(operators: SocketAddr, version: u64) {
    let body = json!({"version": version}).to_string();
    let answer = blocking_call(operators, "POST", "/config/head", body.as_bytes()).unwrap();
    assert_eq!(answer.status, 202);
}

fn reads(platform: &StandinHandle) -> u64 {
    platform.control.counters().unwrap()["reads"].as_u64().unwrap()
}

#[test]
fn a_running_instance_has_no_io_uring_descriptor() {
    let platform = platform_with_tree(1);
    let daemons = start_listed::<2>(&platform);
    wait_for_peers(&daemons[0], "alive", 1.0);
    let directory = format!("/proc/{}/fd", daemons[0].process_id());
    let targets: Vec<String> = fs::read_dir(directory)
        .unwrap()
        .filter_map(|entry| Some(fs::read_link(entry.ok()?.path()).ok()?.display().to_string()))
        .collect();
    assert!(targets.iter().any(|target| target.contains("[eventpoll]")), "{targets:?}");
    assert!(!targets.iter().any(|target| target.contains("io_uring")), "{targets:?}");
}

#[test]
fn instances_find_each_other_and_notice_a_death() {
    let platform = platform_with_tree(1);
    let mut daemons = start_listed::<3>(&platform);
    for daemon in &daemons {
        wait_for_peers(daemon, "alive", 2.0);
    }
    daemons[2].kill();
    for daemon in &daemons[..2] {
        wait_for_peers(daemon, "dead", 1.0);
        wait_for_peers(daemon, "alive", 1.0);
    }
}

#[test]
fn a_stale_replica_turns_nothing_back() {
    let (stale, fresh) = (platform_with_tree(1), platform_with_tree(2));
    let store = start_proxy(ANY_PORT, fresh.address).unwrap();
    let first = TestDaemon::start(store.address, "a", &[]);
    list(&fresh, &[&first]);
    first.wait_version(2);
    let second = TestDaemon::start(stale.address, "a", &[]);
    list(&stale, &[&first, &second]);
    let before = reads(&stale);
    store.control.send(&json!({"target": stale.address, "cut": true})).unwrap();
    // The instance reads the old head again and again, also when it is told of a new one.
    first.wait_for("reads of the stale replica", || {
        hint(first.ports.operators, 3);
        (reads(&stale) > before + 3).then_some(())
    });
    assert_eq!(version(&first), 2);
    second.wait_version(2);
    assert_eq!(version(&second), 2);
    // What the stale replica never shows comes by way of the other instance.
    store.control.send(&json!({"target": fresh.address, "cut": true})).unwrap();
    put_tree(fresh.address, 3, &sample_tree(&[], &[], MORE));
    first.wait_version(3);
    second.wait_version(3);
}
