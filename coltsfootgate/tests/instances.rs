//! Tests several instances together: ownership of endpoints, limits, graceful shutdown and crashes.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use coltsfootgate_standins::engine::{EngineSettings, start_engine};
use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use coltsfootgate_standins::service::start_plain_service;
use serde_json::{Value, json};

use support::{TestAnswer, TestCall, TestDaemon, put_tree, sample_tree};

/// The id of the first engine of the sample tree.
const FIRST_ENGINE: &str = "pools.model.endpoints.e0";

struct ClusterSetup {
    platform: StandinHandle,
    engines: Vec<StandinHandle>,
    _service: StandinHandle,
    daemons: Vec<TestDaemon>,
}

/// Starts instances that know each other, with a tree of the given number of engines and a service.
fn start(daemons: usize, engines: usize, change: impl Fn(String) -> String) -> ClusterSetup {
    start_with_engines(daemons, engines, &EngineSettings::default(), change)
}

fn start_with_engines(
    daemons: usize,
    engines: usize,
    settings: &EngineSettings,
    change: impl Fn(String) -> String,
) -> ClusterSetup {
    let platform = start_platform(ANY_PORT).unwrap();
    let engines: Vec<StandinHandle> =
        (0..engines).map(|_| start_engine(ANY_PORT, *settings).unwrap()).collect();
    let service = start_plain_service(ANY_PORT, Duration::from_millis(1)).unwrap();
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let tree = sample_tree(&addresses, &[service.address], "");
    put_tree(platform.address, 1, &change(tree));
    let daemons: Vec<TestDaemon> =
        (0..daemons).map(|_| TestDaemon::start(platform.address, "a", &[])).collect();
    let entries: Vec<Value> =
        daemons.iter().map(|daemon| daemon.list_entry(daemon.ports.peers)).collect();
    platform.control.send(&json!({"instances": entries})).unwrap();
    let setup = ClusterSetup { platform, engines, _service: service, daemons };
    setup.wait_all_alive();
    setup
}

impl ClusterSetup {
    /// Waits until every instance is ready and sees all others alive, and every endpoint has an
    /// owner.
    fn wait_all_alive(&self) {
        let others = self.daemons.len() - 1;
        for daemon in &self.daemons {
            daemon.wait_ready();
            daemon.wait_for("all peers", || {
                (live_peers(daemon) == others && has_queue_status(daemon)).then_some(())
            });
        }
        self.wait_endpoints(self.engines.len() + 1);
    }

    /// Waits until every endpoint has exactly one owner.
    fn wait_endpoints(&self, count: usize) {
        self.daemons[0].wait_for("one owner for each endpoint", || {
            let mut owned: HashMap<String, usize> = HashMap::new();
            for endpoint in self.daemons.iter().flat_map(owned_endpoints) {
                *owned.entry(endpoint).or_default() += 1;
            }
            (owned.len() == count && owned.values().all(|owners| *owners == 1)).then_some(())
        });
    }

    fn running_requests(&self) -> u64 {
        let running = |engine: &StandinHandle| {
            engine.control.counters().unwrap()["running"].as_u64().unwrap()
        };
        self.engines.iter().map(running).sum()
    }

    /// Starts long calls through the instances in turn and waits until `running` of them run.
    fn start_long_calls(&self, count: usize, running: u64) -> Vec<JoinHandle<TestAnswer>> {
        let calls = (0..count)
            .map(|index| {
                let daemon = &self.daemons[index % self.daemons.len()];
                long_call(index).start(daemon.ports.callers)
            })
            .collect();
        self.daemons[0]
            .wait_for("running requests", || (self.running_requests() == running).then_some(()));
        calls
    }
}

fn long_call(index: usize) -> TestCall {
    TestCall::stream(&format!("describe every wheel of railcar {index}"), 2000)
}

fn live_peers(daemon: &TestDaemon) -> usize {
    let status = daemon.status();
    let peers = status["peers"].as_array().cloned().unwrap_or_default();
    peers.iter().filter(|peer| peer["state"] == "alive").count()
}

/// Whether the status shows queues, which it does once the owners have published their state.
fn has_queue_status(daemon: &TestDaemon) -> bool {
    daemon.status()["queues"].is_array()
}

/// The endpoints that an instance owns, except those that are draining.
fn owned_endpoints(daemon: &TestDaemon) -> Vec<String> {
    let status = daemon.status();
    let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
    endpoints
        .iter()
        .filter(|endpoint| endpoint["leaving"] == false)
        .map(|endpoint| endpoint["endpoint"].as_str().unwrap().to_owned())
        .collect()
}

/// The number of requests that an instance counts as running at its endpoints.
fn in_flight(daemon: &TestDaemon) -> u64 {
    let status = daemon.status();
    let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
    endpoints.iter().filter_map(|endpoint| endpoint["in_flight"].as_u64()).sum()
}

/// The number of requests that wait in the queues of an instance.
fn waiting_requests(daemon: &TestDaemon) -> u64 {
    let status = daemon.status();
    let queues = status["queues"].as_array().cloned().unwrap_or_default();
    let waiting = queues.iter().flat_map(|queue| queue["waiting_by_tier"].as_array()).flatten();
    waiting.filter_map(Value::as_u64).sum()
}

fn limit_to_one_slot(tree: String) -> String {
    tree.replace("slots = 4\nslots_max = 8", "slots = 1\nslots_max = 1")
}

#[test]
fn slot_limits_apply_across_instances() {
    let setup = start(3, 3, limit_to_one_slot);
    let calls = setup.start_long_calls(9, 3);
    let answers: Vec<TestAnswer> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    assert!(answers.iter().all(TestAnswer::is_complete), "{answers:?}");
    for engine in &setup.engines {
        let counters = engine.control.counters().unwrap();
        assert_eq!(counters["preempted"], 0);
        assert_eq!(counters["cancelled"], 0);
    }
}

#[test]
fn a_concurrency_limit_applies_across_instances() {
    let setup =
        start(3, 3, |tree| tree.replace("[customers.club]", "[customers.club]\nconcurrency = 2"));
    let calls = setup.start_long_calls(2, 2);
    for daemon in &setup.daemons {
        let answer = long_call(99).send(daemon.ports.callers);
        assert_eq!(answer.header("coltsfootgate-reason"), "concurrency-limited", "{answer:?}");
    }
    for call in calls {
        assert!(call.join().unwrap().is_complete());
    }
}

#[test]
fn a_dead_instance_loses_its_endpoints_and_its_grants() {
    let mut setup = start(3, 3, limit_to_one_slot);
    let calls: Vec<JoinHandle<TestAnswer>> =
        (0..3).map(|index| long_call(index).start(setup.daemons[2].ports.callers)).collect();
    setup.daemons[0].wait_for("running requests", || (setup.running_requests() == 3).then_some(()));
    setup.daemons[2].kill();
    let dead = setup.daemons.remove(2);
    drop(calls);
    setup.wait_endpoints(4);
    let calls = setup.start_long_calls(3, 3);
    for call in calls {
        assert!(call.join().unwrap().is_complete());
    }
    drop(dead);
}

/// Requests end while their owner is paused, and are returned to the owner that replaced it.
#[test]
fn a_resumed_owner_frees_the_slots_of_requests_that_ended_meanwhile() {
    let slow = EngineSettings { step_base: Duration::from_millis(5), ..Default::default() };
    let setup = start_with_engines(3, 1, &slow, limit_to_one_slot);
    let owns = |daemon: &&TestDaemon| owned_endpoints(daemon).contains(&FIRST_ENGINE.to_owned());
    let owner = setup.daemons.iter().find(owns).unwrap();
    let entry = setup.daemons.iter().find(|daemon| !owns(daemon)).unwrap();
    let call = TestCall::stream("describe every railcar 0", 8000).start(entry.ports.callers);
    entry.wait_for("a running request", || (setup.running_requests() == 1).then_some(()));
    owner.pause();
    entry.wait_for("a dead peer", || (live_peers(entry) == 1).then_some(()));
    assert_eq!(setup.running_requests(), 1, "the request ended before the peer was dead");
    assert!(call.join().unwrap().is_complete());
    owner.resume();
    setup.wait_all_alive();
    owner.wait_for("free slots", || (in_flight(owner) == 0).then_some(()));
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let setup = start(2, 2, |tree| tree);
    let leaving = setup.engines[0].address.to_string();
    let entry = json!({
        "role": "endpoint", "address": leaving, "availability_zone": "a", "state": "leaving",
    });
    setup.platform.control.send(&json!({"set_instances": [entry]})).unwrap();
    setup.wait_endpoints(2);
    let before = setup.engines[0].control.counters().unwrap()["finished"].clone();
    for index in 0..20 {
        let daemon = &setup.daemons[index % 2];
        assert!(
            TestCall::stream(&format!("note {index}"), 8).send(daemon.ports.callers).is_complete()
        );
    }
    assert_eq!(setup.engines[0].control.counters().unwrap()["finished"], before);
}

#[test]
fn a_graceful_shutdown_completes_running_requests() {
    let mut setup = start(3, 3, |tree| tree);
    let address = setup.daemons[2].ports.callers;
    let calls: Vec<JoinHandle<TestAnswer>> =
        (0..6).map(|index| long_call(index).start(address)).collect();
    setup.daemons[0].wait_for("running requests", || (setup.running_requests() == 6).then_some(()));
    setup.daemons[2].terminate();
    for call in calls {
        let answer = call.join().unwrap();
        assert!(answer.is_complete(), "{answer:?}");
    }
    assert!(setup.daemons[2].wait_exit());
    setup.daemons.remove(2);
    setup.wait_endpoints(4);
    assert!(long_call(9).send(setup.daemons[0].ports.callers).is_complete());
}

/// Guards against refusals for lack of an endpoint when the owner of a queue leaves: what waits there moves to
/// the new owner, also at an instance that is leaving itself.
#[test]
fn requests_that_wait_at_an_owner_that_leaves_are_served_by_the_next_one() {
    let slow = EngineSettings { step_base: Duration::from_millis(2), ..Default::default() };
    let setup = start_with_engines(3, 1, &slow, limit_to_one_slot);
    let owns = |daemon: &&TestDaemon| owned_endpoints(daemon).contains(&FIRST_ENGINE.to_owned());
    let owner = setup.daemons.iter().find(owns).unwrap();
    let others: Vec<_> = setup.daemons.iter().filter(|daemon| !owns(daemon)).collect();
    let (entry, last) = (others[0], others[1]);
    let running =
        TestCall::stream("describe every wheel of railcar 0", 2000).start(last.ports.callers);
    entry.wait_for("a running request", || (setup.running_requests() == 1).then_some(()));
    let waiting =
        [1, 2].map(|index| TestCall::stream(&format!("car {index}"), 8).start(entry.ports.callers));
    owner.wait_for("waiting requests", || (waiting_requests(owner) == 2).then_some(()));
    entry.terminate();
    owner.wait_log(&format!("instance {} is leaving", entry.ports.peers));
    owner.terminate();
    for call in waiting {
        let answer = call.join().unwrap();
        assert!(answer.is_complete(), "{answer:?}");
    }
    assert!(running.join().unwrap().is_complete());
}

#[test]
fn a_restarted_instance_does_not_reuse_grant_ids() {
    let first_ids = [(); 8].map(|()| coltsfootgate::pipeline::GrantCounter::default().next());
    let distinct: std::collections::BTreeSet<_> = first_ids.iter().collect();
    assert_eq!(distinct.len(), first_ids.len(), "{first_ids:?}");
}
