//! Tests the membership of real instances: pauses, restarts at the same address, partitions and
//! graceful leaves, and the claims of the affected instances.

mod support;

use serde_json::{Value, json};

use support::{ClaimCluster, TestCall, wait_until};

struct MemberSetup {
    cluster: ClaimCluster,
}

fn start(instances: usize) -> MemberSetup {
    MemberSetup { cluster: ClaimCluster::start(instances, |tree| tree) }
}

impl MemberSetup {
    fn command_proxies(&self, command: &Value) {
        self.cluster.instances.iter().for_each(|instance| instance.command_proxy(command.clone()));
    }

    fn call(&self, instance: usize, key: &str) -> u16 {
        let call = TestCall::new("POST", "/orders/7", b"").header("idempotency-key", key);
        call.send(self.cluster.instances[instance].daemon.ports.callers).status
    }
}

#[test]
fn a_paused_instance_is_declared_dead_and_rejoins() {
    let setup = start(3);
    let [first, second, paused] = &setup.cluster.instances[..] else { unreachable!() };
    paused.daemon.pause();
    first.wait_state(paused, "dead");
    second.wait_state(paused, "dead");
    assert_eq!(setup.call(0, "k1"), 200);
    paused.daemon.resume();
    setup.cluster.wait_all_alive();
    assert_eq!(setup.call(2, "k2"), 200);
}

#[test]
fn an_instance_restarted_at_its_address_rejoins() {
    let mut setup = start(3);
    assert_eq!(setup.call(2, "k1"), 200);
    // An instance that is killed before the end is recorded leaves the outcome unknown permanently.
    wait_until("the recorded answer", || setup.call(0, "k1") == 200);
    let platform = setup.cluster.platform.address;
    setup.cluster.instances[2].replace(platform, "a", &[]);
    setup.cluster.wait_all_alive();
    wait_until("the recorded answer", || setup.call(2, "k1") == 200);
    assert_eq!(setup.cluster.executions("k1"), 1);
}

#[test]
fn partitioned_instances_serve_independently_and_rejoin() {
    let setup = start(2);
    setup.command_proxies(&json!({"mode": "swallow"}));
    setup.cluster.instances[0].wait_state(&setup.cluster.instances[1], "dead");
    setup.cluster.instances[1].wait_state(&setup.cluster.instances[0], "dead");
    // Each instance considers itself the owner of all pages; the page's revision in the store
    // prevents a second claim of the same key.
    for round in 0..5 {
        let key = format!("k{round}");
        let calls = [0, 1].map(|index| {
            let call = TestCall::new("POST", "/orders/7", b"").header("idempotency-key", &*key);
            call.start(setup.cluster.instances[index].daemon.ports.callers)
        });
        let statuses = calls.map(|call| call.join().unwrap().status);
        assert!(statuses.contains(&200), "{statuses:?}");
        assert_eq!(setup.cluster.executions(&key), 1);
    }
    setup.command_proxies(&json!({"mode": "pass", "cut": true}));
    setup.cluster.wait_all_alive();
}

#[test]
fn a_leaving_instance_is_seen_at_once_and_its_claims_are_taken_over() {
    let mut setup = start(3);
    assert_eq!(setup.call(2, "k1"), 200);
    setup.cluster.instances[2].daemon.terminate();
    setup.cluster.instances[0].wait_state(&setup.cluster.instances[2], "leaving");
    setup.cluster.instances[1].wait_state(&setup.cluster.instances[2], "leaving");
    assert!(setup.cluster.instances[2].daemon.wait_exit());
    wait_until("the recorded answer", || setup.call(0, "k1") == 200);
    assert_eq!(setup.cluster.executions("k1"), 1);
}
