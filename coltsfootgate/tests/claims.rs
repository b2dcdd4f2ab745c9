//! Keyed requests that must not repeat run at most once, whatever fails.
//!
//! The instances here do not know each other, so each takes itself for the owner of every page.

mod support;

use std::thread;
use std::time::Duration;

use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::proxy::start_proxy;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use coltsfootgate_standins::service::start_plain_service;
use rstest::rstest;
use serde_json::{Value, json};

use support::{TestAnswer, TestCall, TestDaemon, eventually, put_tree, sample_tree};

/// Claims are kept for the shortest window that the tree allows, all in one page.
const CLAIM_SETTINGS: &str = "claim_window = \"60 s\"\nclaim_pages = 1\n";
/// Longer than the part of that window in which a claimed request is sent.
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
        // Two endpoints that are one service, so that a retry finds another endpoint.
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
        order(key).send(self.daemons[instance].ports.callers)
    }

    fn order_platform(&self, order: Value) {
        self.platform.control.send(&order).unwrap();
    }

    fn order_service(&self, order: Value) {
        self.service.control.send(&order).unwrap();
    }

    fn executions(&self, key: &str) -> u64 {
        self.service.control.counters().unwrap()["by_key"][key].as_u64().unwrap_or(0)
    }

    fn wait_arrivals(&self, count: u64) {
        eventually("requests at the service", || self.service_count("arrived") >= count);
    }

    fn service_count(&self, name: &str) -> u64 {
        self.service.control.counters().unwrap()[name].as_u64().unwrap()
    }

    fn platform_count(&self, name: &str) -> u64 {
        self.platform.control.counters().unwrap()[name].as_u64().unwrap()
    }

    /// Calls until a repeat no longer meets the first request in flight.
    fn settled_repeat(&self, instance: usize, key: &str) -> TestAnswer {
        let mut last = None;
        eventually("the first request settled", || {
            let answer = self.call(instance, key);
            let is_settled = answer.header("coltsfootgate-reason") != "key-in-flight";
            last = Some(answer);
            is_settled
        });
        last.unwrap()
    }
}

fn order(key: &str) -> TestCall {
    TestCall::new("POST", "/orders/7", b"one coupler").header("idempotency-key", key)
}

fn reason(answer: &TestAnswer) -> (u16, &str, &str) {
    let header = |name| answer.header(name);
    (answer.status, header("coltsfootgate-outcome"), header("coltsfootgate-reason"))
}

const IN_FLIGHT: (u16, &str, &str) = (409, "unknown", "key-in-flight");
const COMPLETED: (u16, &str, &str) = (200, "completed", "completed");

#[test]
fn a_repeat_gets_the_recorded_answer_from_any_instance() {
    let setup = ClaimsSetup::start(2);
    let first = setup.call(0, "k1");
    assert_eq!(reason(&first), COMPLETED);
    let repeat = setup.settled_repeat(1, "k1");
    assert_eq!(reason(&repeat), COMPLETED);
    assert_eq!(repeat.header("coltsfootgate-replayed"), "true");
    assert_eq!(repeat.body, first.body);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn an_answer_too_large_to_keep_is_told_as_completed() {
    let setup = ClaimsSetup::start(1);
    setup.order_service(json!({"padding": 200_000}));
    assert_eq!(reason(&setup.call(0, "k1")), COMPLETED);
    let repeat = setup.settled_repeat(0, "k1");
    assert_eq!(reason(&repeat), (409, "completed", "key-completed"));
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn a_key_used_for_another_request_is_refused() {
    let setup = ClaimsSetup::start(2);
    setup.call(0, "k1");
    let other = TestCall::new("POST", "/orders/7", b"two couplers").header("idempotency-key", "k1");
    let answer = other.send(setup.daemons[1].ports.callers);
    assert_eq!(reason(&answer), (422, "not-run", "key-reused"));
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn one_key_through_two_instances_at_once_runs_once() {
    let setup = ClaimsSetup::start(2);
    for round in 0..10 {
        let key = format!("k{round}");
        let calls = [0, 1].map(|at| order(&key).start(setup.daemons[at].ports.callers));
        let answers = calls.map(|call| call.join().unwrap());
        assert!(answers.iter().any(|answer| answer.status == 200), "{answers:?}");
        assert_eq!(setup.executions(&key), 1);
        assert_eq!(reason(&setup.settled_repeat(0, &key)), COMPLETED);
    }
}

#[test]
fn lost_answers_of_the_store_change_nothing() {
    let setup = ClaimsSetup::start(2);
    for round in 0..5 {
        let key = format!("k{round}");
        setup.order_platform(json!({"lose_answers": 1}));
        assert_eq!(reason(&setup.call(round % 2, &key)), COMPLETED);
        assert_eq!(setup.executions(&key), 1);
    }
}

#[test]
fn store_down_before_the_claim_is_not_run() {
    let setup = ClaimsSetup::start(1);
    setup.order_platform(json!({"outage": "refuse"}));
    let call = order("k1").header("coltsfootgate-deadline", "400 ms");
    let answer = call.send(setup.daemons[0].ports.callers);
    assert_eq!(reason(&answer), (503, "not-run", "claim-unavailable"));
    assert_eq!(setup.executions("k1"), 0);
    setup.order_platform(json!({"outage": "none"}));
    assert_eq!(reason(&setup.settled_repeat(0, "k1")), COMPLETED);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn store_back_within_the_deadline_lets_the_request_run() {
    let setup = ClaimsSetup::start(1);
    setup.call(0, "k0");
    setup.order_platform(json!({"outage": "refuse"}));
    let call = order("k1").start(setup.daemons[0].ports.callers);
    setup.daemons[0].wait_log("not known whether page");
    setup.order_platform(json!({"outage": "none"}));
    assert_eq!(reason(&call.join().unwrap()), COMPLETED);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn store_down_after_the_claim_hides_no_answer_and_lets_nothing_repeat() {
    let setup = ClaimsSetup::start(2);
    setup.call(1, "k0");
    setup.order_service(json!({"delay_ms": 300}));
    let call = order("k1").start(setup.daemons[0].ports.callers);
    setup.wait_arrivals(2);
    setup.order_platform(json!({"outage": "refuse"}));
    let first = call.join().unwrap();
    assert_eq!(reason(&first), COMPLETED);
    let during = order("k1").header("coltsfootgate-deadline", "300 ms");
    let during = during.send(setup.daemons[1].ports.callers);
    assert_eq!(reason(&during), (503, "not-run", "claim-unavailable"));
    setup.order_platform(json!({"outage": "none"}));
    let repeat = setup.settled_repeat(1, "k1");
    assert_eq!((reason(&repeat), &repeat.body), (COMPLETED, &first.body));
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn killed_before_its_claim_is_stored_leaves_the_key_free() {
    let mut setup = ClaimsSetup::start(2);
    setup.call(0, "k0");
    setup.call(1, "k0");
    setup.order_platform(json!({"outage": "hang"}));
    let writes = setup.platform_count("writes");
    let call = order("k1").header("coltsfootgate-deadline", "10 s");
    let address = setup.daemons[0].ports.callers;
    let call = thread::spawn(move || std::panic::catch_unwind(|| call.send(address)).is_err());
    eventually("the claim under way", || setup.platform_count("writes") > writes);
    setup.daemons[0].kill();
    assert!(call.join().unwrap(), "the caller sees its connection break");
    setup.order_platform(json!({"outage": "none"}));
    // The write was under way when its sender died: it may have taken effect, or not.
    let answer = setup.call(1, "k1");
    assert!(matches!(reason(&answer), COMPLETED | IN_FLIGHT), "{answer:?}");
    assert_eq!(setup.executions("k1"), u64::from(answer.status == 200));
}

#[test]
fn killed_between_claim_and_send_leaves_the_outcome_unknown() {
    let mut setup = ClaimsSetup::start(2);
    setup.call(0, "k0");
    setup.settled_repeat(0, "k0");
    setup.order_service(json!({"fault": "hang_before"}));
    let address = setup.daemons[0].ports.callers;
    // All slots of both endpoints are taken, so a claimed request waits.
    for _ in 0..8 {
        let call = TestCall::new("POST", "/orders/0", b"");
        thread::spawn(move || std::panic::catch_unwind(|| call.send(address)));
    }
    setup.wait_arrivals(9);
    let revision = setup.platform_count("revision");
    thread::spawn(move || std::panic::catch_unwind(|| order("k1").send(address)));
    eventually("the claim stored", || setup.platform_count("revision") > revision);
    setup.daemons[0].kill();
    setup.order_service(json!({"fault": "none"}));
    assert_eq!(reason(&setup.call(1, "k1")), IN_FLIGHT);
    assert_eq!(setup.executions("k1"), 0);
}

#[test]
fn killed_after_sending_lets_nothing_repeat() {
    let mut setup = ClaimsSetup::start(2);
    setup.order_service(json!({"fault": "hang_after", "times": 1}));
    let address = setup.daemons[0].ports.callers;
    thread::spawn(move || std::panic::catch_unwind(|| order("k1").send(address)));
    eventually("the execution", || setup.executions("k1") == 1);
    setup.daemons[0].kill();
    assert_eq!(reason(&setup.call(1, "k1")), IN_FLIGHT);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn a_paused_owner_whose_page_moved_on_grants_nothing() {
    let setup = ClaimsSetup::start(2);
    setup.call(0, "k0");
    setup.settled_repeat(0, "k0");
    setup.daemons[0].pause();
    let call = order("k1").start(setup.daemons[0].ports.callers);
    assert_eq!(reason(&setup.call(1, "k1")), COMPLETED);
    setup.settled_repeat(1, "k1");
    setup.daemons[0].resume();
    let late = call.join().unwrap();
    assert_eq!(reason(&late), COMPLETED);
    assert_eq!(late.header("coltsfootgate-replayed"), "true");
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn an_owner_paused_amid_its_write_runs_what_it_claimed_once() {
    let setup = ClaimsSetup::start(2);
    setup.call(0, "k0");
    setup.settled_repeat(0, "k0");
    setup.order_platform(json!({"delay_ms": 300}));
    let writes = setup.platform_count("writes");
    let call = order("k1").start(setup.daemons[0].ports.callers);
    eventually("the claim under way", || setup.platform_count("writes") > writes);
    setup.daemons[0].pause();
    let revision = setup.platform_count("revision");
    eventually("the claim stored", || setup.platform_count("revision") > revision);
    assert_eq!(reason(&setup.call(1, "k1")), IN_FLIGHT);
    setup.daemons[0].resume();
    assert_eq!(reason(&call.join().unwrap()), COMPLETED);
    assert_eq!(setup.executions("k1"), 1);
}

#[test]
fn a_claimant_paused_for_long_does_not_send() {
    let setup = ClaimsSetup::start(1);
    setup.call(0, "k0");
    setup.settled_repeat(0, "k0");
    setup.order_platform(json!({"delay_ms": 300}));
    let writes = setup.platform_count("writes");
    let call = order("k1").header("coltsfootgate-deadline", "25 s");
    let call = call.start(setup.daemons[0].ports.callers);
    eventually("the claim under way", || setup.platform_count("writes") > writes);
    setup.daemons[0].pause();
    thread::sleep(LONG_PAUSE);
    setup.daemons[0].resume();
    assert_eq!(reason(&call.join().unwrap()), (503, "not-run", "claim-expired"));
    assert_eq!(setup.executions("k1"), 0);
    setup.order_platform(json!({"delay_ms": 0}));
    assert_eq!(reason(&setup.settled_repeat(0, "k1")), COMPLETED);
    assert_eq!(setup.executions("k1"), 1);
}

/// What a service's fault means for a request: its end, executions, and the end of a repeat.
struct FaultCase {
    key: Option<&'static str>,
    end: (u16, &'static str, &'static str),
    executed: u64,
    repeat: Option<(u16, &'static str, &'static str)>,
}

fn keyed(
    end: (u16, &'static str, &'static str),
    executed: u64,
    repeat: (u16, &'static str, &'static str),
) -> FaultCase {
    FaultCase { key: Some("k1"), end, executed, repeat: Some(repeat) }
}

fn unkeyed(end: (u16, &'static str, &'static str), executed: u64) -> FaultCase {
    FaultCase { key: None, end, executed, repeat: None }
}

const LOST: (u16, &str, &str) = (502, "unknown", "endpoint-lost");
const STALLED: (u16, &str, &str) = (504, "unknown", "endpoint-stalled");
const REFUSED: (u16, &str, &str) = (503, "not-run", "endpoint-refused");

#[rstest]
#[case::keyed_refused_with_proof("refuse_not_started", keyed(COMPLETED, 1, COMPLETED))]
#[case::keyed_cut_before_it_ran("cut_before", keyed(LOST, 0, IN_FLIGHT))]
#[case::keyed_cut_after_it_ran("cut_after", keyed(LOST, 1, IN_FLIGHT))]
#[case::keyed_cut_amid_its_answer("cut_amid_answer", keyed(LOST, 1, IN_FLIGHT))]
#[case::keyed_silent_before_it_ran("hang_before", keyed(STALLED, 0, IN_FLIGHT))]
#[case::keyed_silent_after_it_ran("hang_after", keyed(STALLED, 1, IN_FLIGHT))]
#[case::keyed_answered_with_an_error("fail_after", keyed((500, "completed", "completed"), 1, (500, "completed", "completed")))]
#[case::unkeyed_refused_with_proof("refuse_not_started", unkeyed(REFUSED, 0))]
#[case::unkeyed_cut_before_it_ran("cut_before", unkeyed(LOST, 0))]
#[case::unkeyed_cut_after_it_ran("cut_after", unkeyed(LOST, 1))]
#[case::unkeyed_silent_after_it_ran("hang_after", unkeyed(STALLED, 1))]
fn a_request_that_must_not_repeat_is_executed_once_at_most(
    #[case] fault: &str,
    #[case] case: FaultCase,
) {
    let setup = ClaimsSetup::start(2);
    setup.order_service(json!({"fault": fault, "times": 1}));
    let call = match case.key {
        Some(key) => order(key),
        None => TestCall::new("POST", "/orders/7", b"one coupler"),
    };
    let answer = call.send(setup.daemons[0].ports.callers);
    assert_eq!(reason(&answer), case.end);
    if let Some((key, repeat)) = case.key.zip(case.repeat) {
        let answer = match repeat {
            IN_FLIGHT => setup.call(1, key),
            _ => setup.settled_repeat(1, key),
        };
        assert_eq!(reason(&answer), repeat);
    }
    assert_eq!(setup.service_count("executed"), case.executed);
}
