//! Tests which version of the tree is in force at real instances when the store has outages, stale
//! replicas, silent watches or silent connections.

mod support;

use std::net::SocketAddr;

use coltsfootgate_standins::engine::{EngineSettings, start_engine};
use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::proxy::start_proxy;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use serde_json::{Value, json};

use support::{
    ProxiedDaemon, TestCall, TestDaemon, list_instances, put_tree, sample_tree, wait_until,
};

fn put_versions(platform: &StandinHandle, engine: SocketAddr, versions: &[u64]) {
    for version in versions {
        put_tree(platform.address, *version, &sample_tree(&[engine], &[], ""));
    }
}

fn version_in_force(daemon: &TestDaemon) -> u64 {
    let path = "/config/head";
    let answer =
        coltsfootgate_standins::control::blocking_call(daemon.ports.operators, "GET", path, b"");
    let head: Option<Value> = serde_json::from_slice(&answer.unwrap().body).ok();
    head.and_then(|head| head["version"].as_u64()).unwrap_or(0)
}

fn assert_serves(daemon: &TestDaemon, version: u64) {
    let answer = TestCall::model("a short note", 8, false).send(daemon.ports.callers);
    assert_eq!(answer.header("coltsfootgate-outcome"), "completed", "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-config-version"), version.to_string());
}

#[test]
fn an_instance_started_in_an_outage_serves_the_tree_of_its_peers() {
    let platform = start_platform(ANY_PORT).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    put_versions(&platform, engine.address, &[1, 2]);
    let old = ProxiedDaemon::start(platform.address, "a", &[]);
    list_instances(platform.control, &[&old]);
    old.daemon.wait_ready();
    platform.control.send(&json!({"outage": "hang"})).unwrap();
    let new = ProxiedDaemon::start(platform.address, "a", &[]);
    new.daemon.wait_ready();
    assert_serves(&new.daemon, 2);
    assert_serves(&old.daemon, 2);
}

#[test]
fn an_instance_with_a_stale_store_takes_the_higher_version_of_its_peers() {
    let (ahead, behind) = (start_platform(ANY_PORT).unwrap(), start_platform(ANY_PORT).unwrap());
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    put_versions(&ahead, engine.address, &[1, 2, 3]);
    put_versions(&behind, engine.address, &[1]);
    let old = ProxiedDaemon::start(ahead.address, "a", &[]);
    list_instances(behind.control, &[&old]);
    old.daemon.wait_ready();
    let new = ProxiedDaemon::start(behind.address, "a", &[]);
    new.daemon.wait_ready();
    assert_serves(&new.daemon, 3);
    put_versions(&behind, engine.address, &[2, 4]);
    wait_until("the highest version", || {
        let version = version_in_force(&new.daemon);
        assert!(version >= 3, "version {version} after 3");
        version == 4
    });
}

#[test]
fn a_new_version_arrives_while_watches_are_silent() {
    let platform = start_platform(ANY_PORT).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    put_versions(&platform, engine.address, &[1]);
    let daemon = TestDaemon::start(platform.address, "a", &[]);
    daemon.wait_ready();
    platform.control.send(&json!({"silent_watches": true})).unwrap();
    put_versions(&platform, engine.address, &[2]);
    daemon.wait_version(2);
}

#[test]
fn a_new_version_arrives_after_connections_to_the_store_went_silent() {
    let platform = start_platform(ANY_PORT).unwrap();
    let proxy = start_proxy(ANY_PORT, platform.address).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    put_versions(&platform, engine.address, &[1]);
    let daemon = TestDaemon::start(proxy.address, "a", &["--platform-timeout", "1 s"]);
    daemon.wait_ready();
    proxy.control.send(&json!({"silence_existing": true})).unwrap();
    put_versions(&platform, engine.address, &[2]);
    daemon.wait_version(2);
}

#[test]
fn a_version_loaded_by_one_instance_reaches_instances_cut_off_from_the_store() {
    let platform = start_platform(ANY_PORT).unwrap();
    let proxy = start_proxy(ANY_PORT, platform.address).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    put_versions(&platform, engine.address, &[1]);
    let near = ProxiedDaemon::start(platform.address, "a", &[]);
    let far = ProxiedDaemon::start(proxy.address, "a", &[]);
    list_instances(platform.control, &[&near, &far]);
    support::wait_all_alive(&[&near, &far]);
    proxy.control.send(&json!({"mode": "swallow", "silence_existing": true})).unwrap();
    put_versions(&platform, engine.address, &[2]);
    wait_until("the version in force", || version_in_force(&far.daemon) == 2);
    assert_serves(&far.daemon, 2);
}

/// An instance that cannot confirm its settings for longer than `--config-age-max` accepts no
/// bearer key until the store recovers.
#[test]
fn bearer_keys_are_not_accepted_while_the_settings_are_unconfirmed() {
    let platform = start_platform(ANY_PORT).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    put_versions(&platform, engine.address, &[1]);
    let flags = ["--config-age-max", "1500 ms", "--watch-time", "200 ms"];
    let flags = [flags.as_slice(), &["--platform-timeout", "200 ms"]].concat();
    let daemon = TestDaemon::start(platform.address, "a", &flags);
    daemon.wait_ready();
    assert_serves(&daemon, 1);
    platform.control.send(&json!({"outage": "hang"})).unwrap();
    let refused = daemon.wait_for("a refusal", || {
        let answer = TestCall::model("a short note", 8, false).send(daemon.ports.callers);
        (answer.status == 503).then_some(answer)
    });
    assert_eq!(refused.header("coltsfootgate-reason"), "settings-stale");
    assert_eq!(refused.header("coltsfootgate-outcome"), "not-run");
    platform.control.send(&json!({"outage": "none"})).unwrap();
    daemon.wait_for("service", || {
        let answer = TestCall::model("a short note", 8, false).send(daemon.ports.callers);
        (answer.status == 200).then_some(())
    });
}
