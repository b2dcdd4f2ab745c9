//! Tests the callers' port: invalid requests, refusals and the headers that state their reason.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Deref;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use coltsfootgate_standins::engine::{EngineSettings, start_engine};
use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use rstest::rstest;

use support::{TestCall, TestDaemon, put_tree, sample_tree};

struct EntrySetup {
    _platform: StandinHandle,
    _engine: StandinHandle,
    daemon: TestDaemon,
}

impl Deref for EntrySetup {
    type Target = TestDaemon;

    fn deref(&self) -> &TestDaemon {
        &self.daemon
    }
}

/// One daemon with low limits, shared by the tests of this file that run at the same time.
///
/// A static daemon would outlive the test process, since statics are never dropped.
fn daemon() -> Arc<EntrySetup> {
    static SETUP: Mutex<Weak<EntrySetup>> = Mutex::new(Weak::new());
    let mut shared = SETUP.lock().unwrap();
    if let Some(setup) = shared.upgrade() {
        return setup;
    }
    let platform = start_platform(ANY_PORT).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    put_tree(platform.address, 1, &sample_tree(&[engine.address], &[], ""));
    let limits = ["--head-time", "300 ms", "--body-time", "300 ms", "--body-bytes", "4096"];
    let daemon = TestDaemon::start(platform.address, "a", &limits);
    daemon.wait_ready();
    let setup = Arc::new(EntrySetup { _platform: platform, _engine: engine, daemon });
    *shared = Arc::downgrade(&setup);
    setup
}

fn model_call() -> TestCall {
    TestCall::stream("hello", 8)
}

fn call_with_body(text: &str) -> TestCall {
    TestCall::new("POST", "/v1/chat/completions", text.as_bytes())
}

#[rstest]
#[case::no_key(model_call().header("authorization", ""), 401, "unauthorized")]
#[case::wrong_key(model_call().header("authorization", "Bearer other"), 401, "unauthorized")]
#[case::other_scheme(model_call().header("authorization", "Basic dGVzdA=="), 401, "unauthorized")]
#[case::unknown_path(TestCall::new("GET", "/nowhere", b""), 404, "unknown-route")]
#[case::wrong_method(TestCall::new("GET", "/v1/chat/completions", b""), 405, "method-not-allowed")]
#[case::unknown_model(call_with_body(r#"{"model":"other"}"#), 404, "unknown-model")]
#[case::no_model(call_with_body("{}"), 400, "malformed-request")]
#[case::not_json(call_with_body("{\"model\":"), 400, "malformed-request")]
#[case::empty_body(call_with_body(""), 400, "malformed-request")]
#[case::large_body(call_with_body(&"x".repeat(5000)), 413, "body-too-large")]
#[case::empty_idempotency_key(model_call().header("idempotency-key", ""), 400, "key-invalid")]
#[case::long_idempotency_key(
    model_call().header("idempotency-key", "k".repeat(256)), 400, "key-invalid"
)]
#[case::deadline_without_number(
    model_call().header("coltsfootgate-deadline", "soon"), 400, "malformed-request"
)]
#[case::negative_deadline(
    model_call().header("coltsfootgate-deadline", "-5 ms"), 400, "malformed-request"
)]
#[case::invalid_not_repeatable_mark(
    model_call().header("coltsfootgate-not-repeatable", "maybe"), 400, "malformed-request"
)]
fn invalid_requests_are_refused(#[case] call: TestCall, #[case] status: u16, #[case] reason: &str) {
    let daemon = daemon();
    let answer = call.send(daemon.ports.callers);
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-reason"), reason);
    assert_eq!(answer.header("coltsfootgate-outcome"), "not-run");
    assert_eq!(answer.json()["error"]["code"], reason);
    assert!(answer.json()["error"]["message"].is_string());
    let record = daemon.record(answer.header("coltsfootgate-request-id"));
    assert_eq!(record["reason"], reason);
    assert!(daemon.metric("coltsfootgate_refusals_total", &[reason]) >= 1.0);
}

/// Sends bytes and returns everything received until the daemon closes the connection.
fn raw_exchange(address: SocketAddr, parts: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    for part in parts {
        // The daemon may close the connection before it has read everything.
        let _ = stream.write_all(part);
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[rstest]
#[case::not_http(b"\x00\x01\x02 not http\r\n\r\n".to_vec(), "400", "malformed-request")]
#[case::large_head(
    [b"GET / HTTP/1.1\r\nx: ".as_slice(), &[b'a'; 100_000], b"\r\n\r\n"].concat(),
    "431",
    "head-too-large"
)]
#[case::slow_head(b"GET / HTTP/1.1\r\nhost: a".to_vec(), "", "slow-request")]
#[case::slow_body(
    b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{".to_vec(),
    "408",
    "slow-request"
)]
fn malformed_oversized_and_slow_transfers_are_counted(
    #[case] bytes: Vec<u8>,
    #[case] status: &str,
    #[case] reason: &str,
) {
    let daemon = daemon();
    let before = daemon.metric("coltsfootgate_refusals_total", &[reason]);
    let answer = raw_exchange(daemon.ports.callers, &[&bytes]);
    assert_eq!(answer.split(' ').nth(1).unwrap_or_default(), status, "{answer}");
    daemon.wait_for("the refusal counter", || {
        (daemon.metric("coltsfootgate_refusals_total", &[reason]) > before).then_some(())
    });
    assert!(model_call().send(daemon.ports.callers).is_complete());
}

#[test]
fn two_requests_share_a_connection() {
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n",
        support::SAMPLE_KEY,
    );
    let first = format!("{request}\r\n");
    let last = format!("{request}connection: close\r\n\r\n");
    let answer = raw_exchange(daemon().ports.callers, &[first.as_bytes(), last.as_bytes()]);
    assert_eq!(answer.matches("\"id\":\"parts\"").count(), 2, "{answer}");
}

#[test]
fn connections_above_the_limit_are_refused() {
    let platform = start_platform(ANY_PORT).unwrap();
    put_tree(platform.address, 1, &sample_tree(&[], &[], ""));
    let daemon = TestDaemon::start(platform.address, "a", &["--connections", "1"]);
    daemon.wait_ready();
    let _connection = TcpStream::connect(daemon.ports.callers).unwrap();
    daemon.wait_for("the first connection", || {
        (daemon.metric("coltsfootgate_connections", &["callers"]) >= 1.0).then_some(())
    });
    let answer = raw_exchange(daemon.ports.callers, &[]);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("too-many-connections"), "{answer}");
}

#[test]
fn bearer_keys_are_not_logged() {
    let call = model_call().header("authorization", "Bearer a-secret-bearer-key");
    let daemon = daemon();
    let answer = call.send(daemon.ports.callers);
    daemon.wait_log(answer.header("coltsfootgate-request-id"));
    assert!(daemon.log_lines().iter().all(|line| !line.contains("a-secret-bearer-key")));
}

#[test]
fn an_instance_without_a_tree_is_not_ready() {
    let platform = start_platform(ANY_PORT).unwrap();
    let daemon = TestDaemon::start(platform.address, "a", &[]);
    let answer = model_call().send(daemon.ports.callers);
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("coltsfootgate-reason"), "not-ready");
    assert_eq!(answer.header("coltsfootgate-outcome"), "not-run");
}

/// Sends bytes and returns the time until the daemon closes the connection.
fn time_to_close(address: SocketAddr, bytes: &[u8]) -> Duration {
    let start = Instant::now();
    raw_exchange(address, &[bytes]);
    start.elapsed()
}

#[test]
fn connection_limits_of_the_tree_override_the_flags() {
    let platform = start_platform(ANY_PORT).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    let limits = "[connections]\nbody_bytes = 100\nhead_time = \"200 ms\"\nidle_time = \"2 s\"";
    put_tree(platform.address, 1, &sample_tree(&[engine.address], &[], limits));
    let daemon = TestDaemon::start(platform.address, "a", &["--head-time", "60 s"]);
    daemon.wait_ready();
    let answer = call_with_body(&"x".repeat(101)).send(daemon.ports.callers);
    assert_eq!(answer.header("coltsfootgate-reason"), "body-too-large");
    assert_eq!(answer.header("coltsfootgate-rule"), "connections");
    let slow_head = time_to_close(daemon.ports.callers, b"GET / HTTP/1.1\r\nhost: a");
    let idle = time_to_close(daemon.ports.callers, b"");
    let request = b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n";
    let idle_after_request = time_to_close(daemon.ports.callers, request);
    assert!(slow_head >= Duration::from_millis(200), "{slow_head:?}");
    assert!(idle >= Duration::from_secs(2), "{idle:?}");
    assert!(idle_after_request >= Duration::from_secs(2), "{idle_after_request:?}");
    assert!(slow_head < idle, "{slow_head:?}, {idle:?}");
    assert!(daemon.metric("coltsfootgate_refusals_total", &["slow-request"]) >= 1.0);
}
