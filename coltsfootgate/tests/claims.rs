//! Tests that requests with an idempotency key run at most once under faults.
//!
//! The instances here do not know each other, so each considers itself the owner of every page of
//! claims. The revision of the stored page resolves their conflicts.

mod support;

use std::thread;
use std::time::Duration;

use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::proxy::start_proxy;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use coltsfootgate_standins::service::start_plain_service;
use rstest::rstest;
use serde_json::{Value, json};

use support::{TestAnswer, TestCall, TestDaemon, put_tree, sample_tree, wait_until};

/// The shortest claim window that the tree allows, and a single page of claims.
const CLAIM_SETTINGS: &str = "claim_window = \"60 s\"\nclaim_pages = 1\n";
/// Longer than the part of the claim window in which a claimed request may be sent.
const LONG_PAUSE: Duration = Duration::from_millis(7800);

struct ClaimsSetup {
    platform: StandinHandle,
    service: StandinHandle,
    _second: StandinHandle,
    daemons: Vec<TestDaemon>,
}

impl ClaimsSetup {
    fn start(instances: usize) -> Self {
        let platform = start_platform(ANY_PORT).unwrap();
        let service = start_plain_service(ANY_PORT, Duration::ZERO).unwrap();
        // Two endpoints lead to the same service, so that a retry can use another endpoint.
        let second = start_proxy(ANY_PORT, service.address).unwrap();
        let tree = sample_tree(&[], &[service.address, second.address], "")
            .replace("[deployment]\n", &format!("[deployment]\n{CLAIM_SETTINGS}"));
        put_tree(platform.address, 1, &tree);
        let start = |_| TestDaemon::start(platform.address, "a", &["--platform-timeout", "1 s"]);
        let daemons: Vec<_> = (0..instances).map(start).collect();
        daemons.iter().for_each(TestDaemon::wait_ready);
        Self { platform, service, _second: second, daemons }
    }

    fn call(&self, instance: usize, key: &str) -> TestAnswer {
        keyed_call(key).send(self.daemons[instance].ports.callers)
    }

    fn command_platform(&self, command: Value) {
        self.platform.control.send(&command).unwrap();
    }

    fn command_service(&self, command: Value) {
        self.service.control.send(&command).unwrap();
    }

    fn executions(&self, key: &str) -> u64 {
        self.service.control.counters().unwrap()["by_key"][key].as_u64().unwrap_or(0)
    }

    fn wait_arrivals(&self, count: u64) {
        wait_until("requests at the service", || self.service_count("arrived") >= count);
    }

    fn service_count(&self, name: &str) -> u64 {
        self.service.control.counters().unwrap()[name].as_u64().unwrap()
    }

    fn platform_count(&self, name: &str) -> u64 {
        self.platform.control.counters().unwrap()[name].as_u64().unwrap()
    }

    /// Repeats the request until the first one is no longer in flight.
    fn repeat_until_settled(&self, instance: usize, key: &str) -> TestAnswer {
        let mut last = None;
        wait_until("the end of the first request", || {
            let answer = self.call(instance, key);
            let is_settled = answer.header("coltsfootgate-reason") != "key-in-flight";
            last = Some(answer);
            is_settled
        });
        last.unwrap()
    }
}

fn keyed_call(key: &str) -> TestCall {
    TestCall::new("POST", "/orders/7", b"one coupler").header("idempotency-key", key)
}

fn result_of(answer: &TestAnswer) -> (u16, &str, &str) {
    let header = |name| answer.header(name);
    (answer.status, header("coltsfootgate-outcome"), header("coltsfootgate-reason"))
}

const IN_FLIGHT: (u16, &str, &str) = (409, "unknown", "key-in-flight");
const COMPLETED: (u16, &str, &str) = (200, "completed", "completed");

#[test]
fn a_repeat_gets_the_recorded_answer_from_any_instance() {
    let setup = ClaimsSetup::start(2);
    let first = setup.call(0, "k1");
    assert_eq!(result_of(&first), COMPLETED);
    let repeat = setup.repeat_until_settled(1, "k1");
    assert_eq!(result_of(&repeat), COMPLETED);
    assert_eq!(repeat.header("coltsfootgate-replayed"), "true");
    assert_eq!(repeat.body, first.body);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn a_repeat_reports_completion_if_the_answer_was_too_large_to_keep() {
    let setup = ClaimsSetup::start(1);
    setup.command_service(json!({"padding": 200_000}));
    assert_eq!(result_of(&setup.call(0, "k1")), COMPLETED);
    let repeat = setup.repeat_until_settled(0, "k1");
    assert_eq!(result_of(&repeat), (409, "completed", "key-completed"));
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn a_key_used_for_another_request_is_refused() {
    let setup = ClaimsSetup::start(2);
    setup.call(0, "k1");
    let other = TestCall::new("POST", "/orders/7", b"two couplers").header("idempotency-key", "k1");
    let answer = other.send(setup.daemons[1].ports.callers);
    assert_eq!(result_of(&answer), (422, "not-run", "key-reused"));
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn concurrent_requests_with_one_key_through_two_instances_run_once() {
    let setup = ClaimsSetup::start(2);
    for round in 0..10 {
        let key = format!("k{round}");
        let calls = [0, 1].map(|index| keyed_call(&key).start(setup.daemons[index].ports.callers));
        let answers = calls.map(|call| call.join().unwrap());
        assert!(answers.iter().any(|answer| answer.status == 200), "{answers:?}");
        assert_eq!(setup.executions(&key), 1);
        assert_eq!(result_of(&setup.repeat_until_settled(0, &key)), COMPLETED);
    }
}

#[test]
fn lost_answers_of_the_store_cause_no_repeated_execution() {
    let setup = ClaimsSetup::start(2);
    for round in 0..5 {
        let key = format!("k{round}");
        setup.command_platform(json!({"lose_answers": 1}));
        assert_eq!(result_of(&setup.call(round % 2, &key)), COMPLETED);
        assert_eq!(setup.executions(&key), 1);
    }
}

#[test]
fn a_request_is_not_run_if_the_store_is_down_before_its_claim() {
    let setup = ClaimsSetup::start(1);
    setup.command_platform(json!({"outage": "refuse"}));
    let call = keyed_call("k1").header("coltsfootgate-deadline", "400 ms");
    let answer = call.send(setup.daemons[0].ports.callers);
    assert_eq!(result_of(&answer), (503, "not-run", "claim-unavailable"));
    assert_eq!(setup.executions("k1"), 0);
    setup.command_platform(json!({"outage": "none"}));
    assert_eq!(result_of(&setup.repeat_until_settled(0, "k1")), COMPLETED);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn a_request_runs_if_the_store_recovers_before_its_deadline() {
    let setup = ClaimsSetup::start(1);
    setup.call(0, "k0");
    setup.command_platform(json!({"outage": "refuse"}));
    let call = keyed_call("k1").start(setup.daemons[0].ports.callers);
    setup.daemons[0].wait_log("not known whether page");
    setup.command_platform(json!({"outage": "none"}));
    assert_eq!(result_of(&call.join().unwrap()), COMPLETED);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn an_outage_after_the_claim_neither_drops_the_answer_nor_allows_a_repeat() {
    let setup = ClaimsSetup::start(2);
    setup.call(1, "k0");
    setup.command_service(json!({"delay_ms": 300}));
    let call = keyed_call("k1").start(setup.daemons[0].ports.callers);
    setup.wait_arrivals(2);
    setup.command_platform(json!({"outage": "refuse"}));
    let first = call.join().unwrap();
    assert_eq!(result_of(&first), COMPLETED);
    let during = keyed_call("k1").header("coltsfootgate-deadline", "300 ms");
    let during = during.send(setup.daemons[1].ports.callers);
    assert_eq!(result_of(&during), (503, "not-run", "claim-unavailable"));
    setup.command_platform(json!({"outage": "none"}));
    let repeat = setup.repeat_until_settled(1, "k1");
    assert_eq!((result_of(&repeat), &repeat.body), (COMPLETED, &first.body));
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn an_instance_killed_before_its_claim_is_stored_leaves_the_key_usable() {
    let mut setup = ClaimsSetup::start(2);
    setup.call(0, "k0");
    setup.call(1, "k0");
    setup.command_platform(json!({"outage": "hang"}));
    let writes = setup.platform_count("writes");
    let call = keyed_call("k1").header("coltsfootgate-deadline", "10 s");
    let address = setup.daemons[0].ports.callers;
    let call = thread::spawn(move || std::panic::catch_unwind(|| call.send(address)).is_err());
    wait_until("the write of the claim", || setup.platform_count("writes") > writes);
    setup.daemons[0].kill();
    assert!(call.join().unwrap(), "the caller sees its connection break");
    setup.command_platform(json!({"outage": "none"}));
    // The write was in flight when the instance was killed, so it may or may not have been applied.
    let answer = setup.call(1, "k1");
    assert!(matches!(result_of(&answer), COMPLETED | IN_FLIGHT), "{answer:?}");
    assert_eq!(setup.executions("k1"), u64::from(answer.status == 200));
}

#[test]
fn an_instance_killed_between_claim_and_send_leaves_the_outcome_unknown() {
    let mut setup = ClaimsSetup::start(2);
    setup.call(0, "k0");
    setup.repeat_until_settled(0, "k0");
    setup.command_service(json!({"fault": "hang_before"}));
    let address = setup.daemons[0].ports.callers;
    // These requests occupy all slots of both endpoints, so the claimed request has to wait.
    for _ in 0..8 {
        let call = TestCall::new("POST", "/orders/0", b"");
        thread::spawn(move || std::panic::catch_unwind(|| call.send(address)));
    }
    setup.wait_arrivals(9);
    let revision = setup.platform_count("revision");
    thread::spawn(move || std::panic::catch_unwind(|| keyed_call("k1").send(address)));
    wait_until("the stored claim", || setup.platform_count("revision") > revision);
    setup.daemons[0].kill();
    setup.command_service(json!({"fault": "none"}));
    assert_eq!(result_of(&setup.call(1, "k1")), IN_FLIGHT);
    assert_eq!(setup.executions("k1"), 0);
}

#[test]
fn an_instance_killed_after_sending_allows_no_repeat() {
    let mut setup = ClaimsSetup::start(2);
    setup.command_service(json!({"fault": "hang_after", "times": 1}));
    let address = setup.daemons[0].ports.callers;
    thread::spawn(move || std::panic::catch_unwind(|| keyed_call("k1").send(address)));
    wait_until("the execution", || setup.executions("k1") == 1);
    setup.daemons[0].kill();
    assert_eq!(result_of(&setup.call(1, "k1")), IN_FLIGHT);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn a_paused_owner_with_an_outdated_page_grants_no_claim() {
    let setup = ClaimsSetup::start(2);
    setup.call(0, "k0");
    setup.repeat_until_settled(0, "k0");
    setup.daemons[0].pause();
    let call = keyed_call("k1").start(setup.daemons[0].ports.callers);
    assert_eq!(result_of(&setup.call(1, "k1")), COMPLETED);
    setup.repeat_until_settled(1, "k1");
    setup.daemons[0].resume();
    let late = call.join().unwrap();
    assert_eq!(result_of(&late), COMPLETED);
    assert_eq!(late.header("coltsfootgate-replayed"), "true");
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn an_owner_paused_during_its_write_runs_the_claimed_request_once() {
    let setup = ClaimsSetup::start(2);
    setup.call(0, "k0");
    setup.repeat_until_settled(0, "k0");
    setup.command_platform(json!({"delay_ms": 300}));
    let writes = setup.platform_count("writes");
    let call = keyed_call("k1").start(setup.daemons[0].ports.callers);
    wait_until("the write of the claim", || setup.platform_count("writes") > writes);
    setup.daemons[0].pause();
    let revision = setup.platform_count("revision");
    wait_until("the stored claim", || setup.platform_count("revision") > revision);
    assert_eq!(result_of(&setup.call(1, "k1")), IN_FLIGHT);
    setup.daemons[0].resume();
    assert_eq!(result_of(&call.join().unwrap()), COMPLETED);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn an_instance_paused_beyond_the_send_window_of_its_claim_does_not_send() {
    let setup = ClaimsSetup::start(1);
    setup.call(0, "k0");
    setup.repeat_until_settled(0, "k0");
    setup.command_platform(json!({"delay_ms": 300}));
    let writes = setup.platform_count("writes");
    let call = keyed_call("k1").header("coltsfootgate-deadline", "25 s");
    let call = call.start(setup.daemons[0].ports.callers);
    wait_until("the write of the claim", || setup.platform_count("writes") > writes);
    setup.daemons[0].pause();
    thread::sleep(LONG_PAUSE);
    setup.daemons[0].resume();
    assert_eq!(result_of(&call.join().unwrap()), (503, "not-run", "claim-expired"));
    assert_eq!(setup.executions("k1"), 0);
    setup.command_platform(json!({"delay_ms": 0}));
    assert_eq!(result_of(&setup.repeat_until_settled(0, "k1")), COMPLETED);
    assert_eq!(setup.executions("k1"), 1);
}

/// The expected result of a request to a faulty service, the number of executions, and the expected
/// result of a repeat with the same key.
struct FaultCase {
    key: Option<&'static str>,
    result: (u16, &'static str, &'static str),
    executed: u64,
    repeat: Option<(u16, &'static str, &'static str)>,
}

fn keyed_case(
    result: (u16, &'static str, &'static str),
    executed: u64,
    repeat: (u16, &'static str, &'static str),
) -> FaultCase {
    FaultCase { key: Some("k1"), result, executed, repeat: Some(repeat) }
}

fn unkeyed_case(result: (u16, &'static str, &'static str), executed: u64) -> FaultCase {
    FaultCase { key: None, result, executed, repeat: None }
}

const LOST: (u16, &str, &str) = (502, "unknown", "endpoint-lost");
const STALLED: (u16, &str, &str) = (504, "unknown", "endpoint-stalled");
const REFUSED: (u16, &str, &str) = (503, "not-run", "endpoint-refused");

#[rstest]
#[case::keyed_refused_with_proof("refuse_not_started", keyed_case(COMPLETED, 1, COMPLETED))]
#[case::keyed_cut_before_it_ran("cut_before", keyed_case(LOST, 0, IN_FLIGHT))]
#[case::keyed_cut_after_it_ran("cut_after", keyed_case(LOST, 1, IN_FLIGHT))]
#[case::keyed_cut_during_its_answer("cut_amid_answer", keyed_case(LOST, 1, IN_FLIGHT))]
#[case::keyed_silent_before_it_ran("hang_before", keyed_case(STALLED, 0, IN_FLIGHT))]
#[case::keyed_silent_after_it_ran("hang_after", keyed_case(STALLED, 1, IN_FLIGHT))]
#[case::keyed_answered_with_an_error("fail_after", keyed_case((500, "completed", "completed"), 1, (500, "completed", "completed")))]
#[case::unkeyed_refused_with_proof("refuse_not_started", unkeyed_case(REFUSED, 0))]
#[case::unkeyed_cut_before_it_ran("cut_before", unkeyed_case(LOST, 0))]
#[case::unkeyed_cut_after_it_ran("cut_after", unkeyed_case(LOST, 1))]
#[case::unkeyed_silent_after_it_ran("hang_after", unkeyed_case(STALLED, 1))]
fn a_not_repeatable_request_is_executed_at_most_once(#[case] fault: &str, #[case] case: FaultCase) {
    let setup = ClaimsSetup::start(2);
    setup.command_service(json!({"fault": fault, "times": 1}));
    let call = match case.key {
        Some(key) => keyed_call(key),
        None => TestCall::new("POST", "/orders/7", b"one coupler"),
    };
    let answer = call.send(setup.daemons[0].ports.callers);
    assert_eq!(result_of(&answer), case.result);
    if let Some((key, repeat)) = case.key.zip(case.repeat) {
        let answer = match repeat {
            IN_FLIGHT => setup.call(1, key),
            _ => setup.repeat_until_settled(1, key),
        };
        assert_eq!(result_of(&answer), repeat);
    }
    assert_eq!(setup.service_count("executed"), case.executed);
}
