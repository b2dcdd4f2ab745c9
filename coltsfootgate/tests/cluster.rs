//! Tests several instances at once: failure detection, a stale replica of the store and the file
//! descriptors in use.

mod support;

use std::fs;
use std::net::SocketAddr;

use coltsfootgate_standins::control::blocking_call;
use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::proxy::start_proxy;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use serde_json::{Value, json};

use support::{TestDaemon, put_tree, sample_tree};

/// A class that a changed tree adds.
const ADDED_CLASS: &str = "[classes.new]\nmatch = { path = [\"/new/*\"] }\ntier = 2\n";

fn platform_with_tree(version: u64) -> StandinHandle {
    let platform = start_platform(ANY_PORT).unwrap();
    put_tree(platform.address, version, &sample_tree(&[], &[], ""));
    platform
}

/// Starts instances and adds them to the platform's instance list once all listen.
fn start_listed<const N: usize>(platform: &StandinHandle) -> [TestDaemon; N] {
    let daemons = std::array::from_fn(|_| TestDaemon::start(platform.address, "a", &[]));
    list_daemons(platform, &daemons.each_ref());
    daemons
}

fn list_daemons(platform: &StandinHandle, daemons: &[&TestDaemon]) {
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

fn version_in_force(daemon: &TestDaemon) -> u64 {
    let answer = blocking_call(daemon.ports.operators, "GET", "/config/head", b"").unwrap();
    let head: Value = serde_json::from_slice(&answer.body).unwrap();
    head["version"].as_u64().unwrap()
}

fn announce_version(operators: SocketAddr, version: u64) {
    let body = json!({"version": version}).to_string();
    let answer = blocking_call(operators, "POST", "/config/head", body.as_bytes()).unwrap();
    assert_eq!(answer.status, 202);
}

fn read_count(platform: &StandinHandle) -> u64 {
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
fn instances_discover_each_other_and_detect_a_crash() {
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
fn a_stale_replica_does_not_revert_the_tree() {
    let (stale, fresh) = (platform_with_tree(1), platform_with_tree(2));
    let store = start_proxy(ANY_PORT, fresh.address).unwrap();
    let first = TestDaemon::start(store.address, "a", &[]);
    list_daemons(&fresh, &[&first]);
    first.wait_version(2);
    let second = TestDaemon::start(stale.address, "a", &[]);
    list_daemons(&stale, &[&first, &second]);
    let before = read_count(&stale);
    store.control.send(&json!({"target": stale.address, "cut": true})).unwrap();
    // The instance reads the old head repeatedly, even though a newer version is announced to it.
    first.wait_for("reads of the stale replica", || {
        announce_version(first.ports.operators, 3);
        (read_count(&stale) > before + 3).then_some(())
    });
    assert_eq!(version_in_force(&first), 2);
    second.wait_version(2);
    assert_eq!(version_in_force(&second), 2);
    // The second instance reads only the stale replica, so it gets version 3 from the first one.
    store.control.send(&json!({"target": fresh.address, "cut": true})).unwrap();
    put_tree(fresh.address, 3, &sample_tree(&[], &[], ADDED_CLASS));
    first.wait_version(3);
    second.wait_version(3);
}
