//! Tests error reasons that need a setup of their own: each test provokes one and checks the reason
//! that is returned or logged.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime};

use coltsfootgate_core::claim::key::{KeyDigest, RequestFingerprint};
use coltsfootgate_core::claim::page::{
    ClaimEntry, ClaimPage, ClaimState, ENTRY_BYTES_MAX, PAGE_BYTES_MAX, PAGE_HEADER_BYTES_MAX,
};
use coltsfootgate_core::outcome::RequestOutcome;
use coltsfootgate_standins::control::blocking_call;
use coltsfootgate_standins::engine::{EngineSettings, start_engine};
use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use coltsfootgate_standins::service::start_plain_service;
use coltsfootgate_wire::encode_claim_page;
use rstest::rstest;
use serde_json::json;

use support::{TestAnswer, TestCall, TestDaemon, put_tree, sample_tree};

/// Two more classes for the sample tree, selected by the header `X-Kind`.
const EXTRA_CLASSES: &str = "\n[classes.urgent]\n\
    match = { header = { X-Kind = \"urgent\" } }\ntier = 1\n\
    [classes.low]\nmatch = { header = { X-Kind = \"low\" } }\ntier = 7\n";

struct ReasonSetup {
    platform: StandinHandle,
    engine: StandinHandle,
    daemon: TestDaemon,
}

fn start(service: Option<SocketAddr>, change: impl Fn(String) -> String) -> ReasonSetup {
    let platform = start_platform(ANY_PORT).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    let services: Vec<SocketAddr> = service.into_iter().collect();
    let tree = sample_tree(&[engine.address], &services, EXTRA_CLASSES);
    put_tree(platform.address, 1, &change(tree));
    let daemon = TestDaemon::start(platform.address, "a", &[]);
    daemon.wait_ready();
    ReasonSetup { platform, engine, daemon }
}

/// Limits the engine to one slot and the queue to one request per tier.
fn limit_to_one_slot(tree: String) -> String {
    tree.replace("slots = 4\nslots_max = 8", "slots = 1\nslots_max = 1")
        .replace("tier = 4", "tier = 4\nqueue_requests = 1")
        .replace("silence = \"2 s\"", "silence = \"30 s\"")
}

impl ReasonSetup {
    /// Starts a call that occupies the only slot until [`Self::release_slot`] resumes the engine.
    fn occupy_slot(&self) -> JoinHandle<TestAnswer> {
        let call = TestCall::stream("a long description", 2000).start(self.daemon.ports.callers);
        self.daemon.wait_for("a running request", || {
            let counters = self.engine.control.counters().ok()?;
            (counters["running"] == 1).then_some(())
        });
        self.engine.control.send(&json!({"stall": true})).unwrap();
        call
    }

    /// Resumes the stalled engine.
    fn release_slot(&self) {
        self.engine.control.send(&json!({"stall": false})).unwrap();
    }

    /// Waits until the given number of requests wait for a slot.
    fn wait_queued(&self, count: u64) {
        self.daemon.wait_for("waiting requests", || {
            let status = self.daemon.status();
            let queues = status["queues"].as_array()?;
            let waiting = queues.iter().flat_map(|queue| queue["waiting_by_tier"].as_array());
            let waiting: u64 = waiting.flatten().filter_map(|tier| tier.as_u64()).sum();
            (waiting == count).then_some(())
        });
    }
}

#[test]
fn displaced_is_returned_when_a_higher_tier_takes_the_place_in_the_queue() {
    let setup = start(None, |tree| {
        limit_to_one_slot(tree)
            .replace("queue_requests = 1", "queue_requests = 1\nqueue_tokens = 100")
    });
    let running = setup.occupy_slot();
    let low = TestCall::stream("low", 8).header("x-kind", "low");
    let low = low.start(setup.daemon.ports.callers);
    setup.wait_queued(1);
    let urgent = || TestCall::stream("urgent", 8).header("x-kind", "urgent");
    let first = urgent().start(setup.daemon.ports.callers);
    let second = urgent().start(setup.daemon.ports.callers);
    let answer = low.join().unwrap();
    assert_eq!(answer.header("coltsfootgate-reason"), "displaced", "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-outcome"), "not-run");
    assert!(!answer.header("retry-after").is_empty());
    setup.release_slot();
    assert!([first, second].into_iter().all(|call| call.join().unwrap().is_complete()));
    assert!(running.join().unwrap().is_complete());
}

#[test]
fn caller_left_waiting_is_logged_when_a_queued_caller_disconnects() {
    let setup = start(None, limit_to_one_slot);
    let running = setup.occupy_slot();
    let body = json!({"model": "parts", "stream": true, "prompt": "x"}).to_string();
    let mut stream = TcpStream::connect(setup.daemon.ports.callers).unwrap();
    let key = support::SAMPLE_KEY;
    let length = body.len();
    write!(
        stream,
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n\
         content-length: {length}\r\n\r\n{body}",
    )
    .unwrap();
    setup.wait_queued(1);
    drop(stream);
    let line = setup.daemon.wait_log("caller-left-waiting");
    assert!(line.contains("not-run"), "{line}");
    setup.release_slot();
    assert!(running.join().unwrap().is_complete());
}

#[test]
fn rate_limited_is_returned_with_the_delay_before_a_retry() {
    let setup = start(None, |tree| {
        tree.replace("[customers.club]", "[customers.club]\nrate = 0.5\nburst = 1")
    });
    let call = || TestCall::stream("note", 8).send(setup.daemon.ports.callers);
    assert!(call().is_complete());
    let answer = call();
    assert_eq!(answer.status, 429, "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-reason"), "rate-limited");
    assert_eq!(answer.header("coltsfootgate-rule"), "customers.club");
    assert_eq!(answer.header("retry-after"), "2");
}

/// Starts a server that answers every request with these bytes.
fn start_fixed_server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut head = [0; 4096];
            let _ = stream.read(&mut head);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

#[rstest]
#[case::bad_gateway("HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")]
#[case::unavailable("HTTP/1.1 503 Oh\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")]
fn endpoint_failed_is_returned_without_proof_that_the_request_did_not_run(
    #[case] answer: &'static str,
) {
    let setup = start(Some(start_fixed_server(answer)), |tree| tree);
    let answer = TestCall::new("POST", "/orders/1", b"{}").send(setup.daemon.ports.callers);
    assert_eq!(answer.header("coltsfootgate-reason"), "endpoint-failed", "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-outcome"), "partially-run");
}

#[test]
fn no_endpoint_is_returned_for_an_empty_pool() {
    let setup = start(None, |tree| tree);
    let answer = TestCall::new("POST", "/orders/1", b"{}").send(setup.daemon.ports.callers);
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("coltsfootgate-reason"), "no-endpoint", "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-outcome"), "not-run");
}

#[test]
fn retries_spent_is_returned_when_no_attempt_is_left() {
    let second = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    second.control.send(&json!({"refuse": true})).unwrap();
    let setup = start(None, |tree| {
        let address = second.address;
        let more = format!("\n[pools.model.endpoints.e1]\naddress = \"{address}\"\nzone = \"a\"\n");
        tree.replace("attempts = 3", "attempts = 2") + &more
    });
    setup.engine.control.send(&json!({"refuse": true})).unwrap();
    let answer = TestCall::stream("note", 8).send(setup.daemon.ports.callers);
    assert_eq!(answer.header("coltsfootgate-reason"), "retries-spent", "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-outcome"), "not-run");
}

#[test]
fn every_reason_is_covered_by_a_test() {
    // Some reasons need endpoints that announce themselves, which only the platform has.
    let own = concat!(env!("CARGO_MANIFEST_DIR"), "/tests");
    let platform = concat!(env!("CARGO_MANIFEST_DIR"), "/../platform/tests");
    let folders = [own, platform].into_iter().flat_map(|folder| std::fs::read_dir(folder).unwrap());
    let files = folders.map(|entry| entry.unwrap().path());
    let sources = files.filter(|path| path.extension().is_some_and(|suffix| suffix == "rs"));
    let text: String = sources.map(|path| std::fs::read_to_string(path).unwrap()).collect();
    let is_missing = |code: &&str| !text.contains(&format!("\"{code}\""));
    let codes = coltsfootgate_core::reason::ErrorKind::ALL.iter().map(|kind| kind.code());
    assert_eq!(codes.filter(is_missing).collect::<Vec<_>>(), Vec::<&str>::new());
}

fn keyed_call(key: &str) -> TestCall {
    TestCall::new("POST", "/orders/1", b"{}").header("idempotency-key", key)
}

#[test]
fn key_too_old_is_returned_for_a_key_with_a_timestamp_before_the_window() {
    let service = start_plain_service(ANY_PORT, Duration::from_millis(1)).unwrap();
    let setup = start(Some(service.address), |tree| tree);
    let key = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let answer = keyed_call(key).send(setup.daemon.ports.callers);
    assert_eq!(answer.header("coltsfootgate-reason"), "key-too-old", "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-outcome"), "not-run");
    assert_eq!(service.control.counters().unwrap()["executed"], 0);
}

/// A full page of claims, all of them still within the claim window.
fn full_page() -> Vec<u8> {
    let now = SystemTime::now();
    let entry = |number: u32| {
        let mut digest = [0; 16];
        digest[..4].copy_from_slice(&number.to_be_bytes());
        let entry = ClaimEntry {
            fingerprint: RequestFingerprint::from_bytes(digest),
            claimed_at: now,
            kept_until: now + Duration::from_secs(3600),
            state: ClaimState::Done { outcome: RequestOutcome::Completed, answer: None },
        };
        (KeyDigest::from_bytes(digest), entry)
    };
    let count = (PAGE_BYTES_MAX - PAGE_HEADER_BYTES_MAX) / ENTRY_BYTES_MAX;
    let entries = (0..count as u32).map(entry).collect();
    encode_claim_page(ClaimPage::new(entries, SystemTime::UNIX_EPOCH)).unwrap()
}

#[test]
fn claims_full_is_returned_when_no_claim_of_a_full_page_has_expired() {
    let service = start_plain_service(ANY_PORT, Duration::from_millis(1)).unwrap();
    let setup = start(Some(service.address), |tree| {
        tree.replace("name = \"test\"", "name = \"test\"\nclaim_pages = 1")
    });
    let path = "/kv/coltsfootgate/claims/0?revision=0";
    let put = blocking_call(setup.platform.address, "PUT", path, &full_page()).unwrap();
    assert_eq!(put.status, 200, "{put:?}");
    let answer = keyed_call("one-more").send(setup.daemon.ports.callers);
    assert_eq!(answer.header("coltsfootgate-reason"), "claims-full", "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-outcome"), "not-run");
    assert_eq!(service.control.counters().unwrap()["executed"], 0);
}
