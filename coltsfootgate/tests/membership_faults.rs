//! Tests the membership of real instances: pauses, restarts at the same address, partitions and
//! graceful leaves, and the claims of the affected instances.

mod support;

use std::time::Duration;

use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use coltsfootgate_standins::service::start_plain_service;
use serde_json::{Value, json};

use support::{
    ProxiedDaemon, TestCall, list_instances, put_tree, sample_tree, wait_all_alive, wait_until,
};

struct MemberSetup {
    platform: StandinHandle,
    service: StandinHandle,
    instances: Vec<ProxiedDaemon>,
}

fn start(instances: usize) -> MemberSetup {
    let platform = start_platform(ANY_PORT).unwrap();
    let service = start_plain_service(ANY_PORT, Duration::ZERO).unwrap();
    let tree = sample_tree(&[], &[service.address], "")
        .replace("[deployment]\n", "[deployment]\nclaim_pages = 1\n");
    put_tree(platform.address, 1, &tree);
    let instances: Vec<_> =
        (0..instances).map(|_| ProxiedDaemon::start(platform.address, "a", &[])).collect();
    let known: Vec<_> = instances.iter().collect();
    list_instances(platform.control, &known);
    wait_all_alive(&known);
    MemberSetup { platform, service, instances }
}

impl MemberSetup {
    fn command_proxies(&self, command: &Value) {
        self.instances.iter().for_each(|instance| instance.command_proxy(command.clone()));
    }

    fn wait_all_alive(&self) {
        wait_all_alive(&self.instances.iter().collect::<Vec<_>>());
    }

    fn call(&self, instance: usize, key: &str) -> u16 {
        let call = TestCall::new("POST", "/orders/7", b"").header("idempotency-key", key);
        call.send(self.instances[instance].daemon.ports.callers).status
    }

    fn executions(&self, key: &str) -> u64 {
        self.service.control.counters().unwrap()["by_key"][key].as_u64().unwrap_or(0)
    }
}

#[test]
fn a_paused_instance_is_declared_dead_and_rejoins() {
    let setup = start(3);
    let [first, second, paused] = &setup.instances[..] else { unreachable!() };
    paused.daemon.pause();
    first.wait_state(paused, "dead");
    second.wait_state(paused, "dead");
    assert_eq!(setup.call(0, "k1"), 200);
    paused.daemon.resume();
    setup.wait_all_alive();
    assert_eq!(setup.call(2, "k2"), 200);
}

#[test]
fn an_instance_restarted_at_its_address_rejoins() {
    let mut setup = start(3);
    assert_eq!(setup.call(2, "k1"), 200);
    // An instance that is killed before the end is recorded leaves the outcome unknown permanently.
    wait_until("the recorded answer", || setup.call(0, "k1") == 200);
    let platform = setup.platform.address;
    setup.instances[2].replace(platform, "a", &[]);
    setup.wait_all_alive();
    wait_until("the recorded answer", || setup.call(2, "k1") == 200);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn partitioned_instances_serve_independently_and_rejoin() {
    let setup = start(2);
    setup.command_proxies(&json!({"mode": "swallow"}));
    setup.instances[0].wait_state(&setup.instances[1], "dead");
    setup.instances[1].wait_state(&setup.instances[0], "dead");
    // Each instance considers itself the owner of all pages; the page's revision in the store
    // prevents a second claim of the same key.
    for round in 0..5 {
        let key = format!("k{round}");
        let calls = [0, 1].map(|index| {
            let call = TestCall::new("POST", "/orders/7", b"").header("idempotency-key", &*key);
            call.start(setup.instances[index].daemon.ports.callers)
        });
        let statuses = calls.map(|call| call.join().unwrap().status);
        assert!(statuses.contains(&200), "{statuses:?}");
        assert_eq!(setup.executions(&key), 1);
    }
    setup.command_proxies(&json!({"mode": "pass", "cut": true}));
    setup.wait_all_alive();
}

#[test]
fn a_leaving_instance_is_seen_at_once_and_its_claims_are_taken_over() {
    let mut setup = start(3);
    assert_eq!(setup.call(2, "k1"), 200);
    setup.instances[2].daemon.terminate();
    setup.instances[0].wait_state(&setup.instances[2], "leaving");
    setup.instances[1].wait_state(&setup.instances[2], "leaving");
    assert!(setup.instances[2].daemon.wait_exit());
    wait_until("the recorded answer", || setup.call(0, "k1") == 200);
    assert_eq!(setup.executions("k1"), 1);
}
