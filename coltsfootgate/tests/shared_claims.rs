//! Tests claims in a cluster: each page of claims has one owner, which may crash, pause or become
//! unreachable.

mod support;

use std::net::SocketAddr;

use coltsfootgate_core::rendezvous::OwnerTable;
use serde_json::json;

use support::{ClaimCluster, TestAnswer, TestCall, wait_until};

const COMPLETED: (u16, &str) = (200, "completed");

struct SharedSetup {
    cluster: ClaimCluster,
    /// The index of the instance that owns the only page of claims.
    owner: usize,
}

fn start(instances: usize) -> SharedSetup {
    let more_slots =
        |tree: String| tree.replace("slots = 4\nslots_max = 8", "slots = 64\nslots_max = 64");
    let cluster = ClaimCluster::start(instances, more_slots);
    let instances = &cluster.instances;
    let table = OwnerTable::new(instances.iter().map(|instance| instance.id().into()));
    let owner = table.owner("coltsfootgate/claims/0").unwrap().to_string();
    let owner = instances.iter().position(|instance| instance.id() == owner).unwrap();
    SharedSetup { cluster, owner }
}

impl SharedSetup {
    fn callers(&self, instance: usize) -> SocketAddr {
        self.cluster.instances[instance].daemon.ports.callers
    }

    fn call(&self, instance: usize, key: &str) -> TestAnswer {
        keyed_call(key).send(self.callers(instance))
    }

    /// An instance that does not own the page.
    fn non_owner(&self) -> usize {
        (self.owner + 1) % self.cluster.instances.len()
    }

    fn write_count(&self) -> u64 {
        self.cluster.platform.control.counters().unwrap()["writes"].as_u64().unwrap()
    }

    /// Repeats a request until the recorded answer is returned, and checks that it ran once.
    fn assert_replayed(&self, instance: usize, key: &str) {
        wait_until("the recorded answer", || {
            let answer = self.call(instance, key);
            assert!(matches!(answer.status, 200 | 409), "{answer:?}");
            answer.header("coltsfootgate-replayed") == "true"
        });
        assert_eq!(self.cluster.executions(key), 1);
    }
}

fn keyed_call(key: &str) -> TestCall {
    let call = TestCall::new("POST", "/orders/7", b"one coupler");
    call.header("idempotency-key", key).header("coltsfootgate-deadline", "15 s")
}

fn result_of(answer: &TestAnswer) -> (u16, &str) {
    (answer.status, answer.header("coltsfootgate-outcome"))
}

#[test]
fn claims_through_all_instances_are_batched() {
    const CALLS: usize = 30;
    let setup = start(3);
    setup.assert_replayed(0, "k");
    // Longer than the calls take to arrive even on a busy machine, so that they can be batched.
    setup.cluster.platform.control.send(&json!({"delay_ms": 400})).unwrap();
    let before = setup.write_count();
    let calls: Vec<_> = (0..CALLS)
        .map(|number| keyed_call(&format!("k{number}")).start(setup.callers(number % 3)))
        .collect();
    for call in calls {
        assert_eq!(result_of(&call.join().unwrap()), COMPLETED);
    }
    let writes = setup.write_count() - before;
    assert!(writes <= CALLS as u64 / 5, "{writes} writes for {CALLS} claims");
}

#[test]
fn a_dead_owner_is_replaced() {
    let mut setup = start(3);
    setup.assert_replayed(setup.non_owner(), "k0");
    let owner = setup.owner;
    setup.cluster.instances[owner].daemon.kill();
    setup.assert_replayed(setup.non_owner(), "k0");
    assert_eq!(result_of(&setup.call(setup.non_owner(), "k1")), COMPLETED);
    assert_eq!(setup.cluster.executions("k1"), 1);
}

#[test]
fn a_resumed_owner_knows_the_claims_made_during_its_pause() {
    let setup = start(3);
    setup.assert_replayed(setup.owner, "k0");
    setup.cluster.instances[setup.owner].daemon.pause();
    assert_eq!(result_of(&setup.call(setup.non_owner(), "k1")), COMPLETED);
    setup.cluster.instances[setup.owner].daemon.resume();
    setup.assert_replayed(setup.owner, "k1");
}

#[test]
fn a_request_runs_once_if_the_reply_of_the_owner_is_lost() {
    let setup = start(3);
    setup.assert_replayed(setup.non_owner(), "k0");
    let owner = &setup.cluster.instances[setup.owner];
    owner.command_proxy(json!({"mode": "swallow_down"}));
    assert_eq!(result_of(&setup.call(setup.non_owner(), "k1")), COMPLETED);
    owner.command_proxy(json!({"mode": "pass"}));
    setup.assert_replayed(setup.owner, "k1");
}

#[test]
fn a_silent_connection_to_the_owner_is_replaced() {
    let setup = start(3);
    setup.assert_replayed(setup.non_owner(), "k0");
    setup.cluster.instances[setup.owner].command_proxy(json!({"silence_existing": true}));
    assert_eq!(result_of(&setup.call(setup.non_owner(), "k1")), COMPLETED);
    assert_eq!(setup.cluster.executions("k1"), 1);
}
