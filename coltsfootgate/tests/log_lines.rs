//! Tests that the JSON log has one flat object per line and that an unread log does not block the
//! daemon.

mod support;

use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

use coltsfootgate_standins::engine::{EngineSettings, start_engine};
use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::runner::ANY_PORT;
use serde_json::Value;

use support::{TestCall, TestDaemon, put_tree, sample_tree};

#[test]
fn a_decision_is_logged_as_one_flat_object() {
    let platform = start_platform(ANY_PORT).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    put_tree(platform.address, 1, &sample_tree(&[engine.address], &[], ""));
    let daemon = TestDaemon::start(platform.address, "a", &[]);
    daemon.wait_ready();
    let answer = TestCall::model("a short note", 8, false).send(daemon.ports.callers);
    let line = daemon.wait_log(answer.header("coltsfootgate-request-id"));
    let line: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(line["part"], "decision");
    assert_eq!(line["outcome"], "completed");
    assert_eq!(line["config_version"], 1);
    assert_eq!(line["endpoint"], "pools.model.endpoints.e0");
    assert!(line["time"].is_string() && line["wait_ms"].is_number(), "{line}");
}

/// Standard output is not read after the line with the ports, so its pipe fills up; the daemon must
/// still answer.
#[test]
fn an_unread_log_does_not_block_requests() {
    let platform = start_platform(ANY_PORT).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    put_tree(platform.address, 1, &sample_tree(&[engine.address], &[], ""));
    let mut child = Command::new(env!("CARGO_BIN_EXE_coltsfootgate"))
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
        .args(["--operators-listen", "127.0.0.1:0", "--availability-zone", "a"])
        .args(["--platform", &platform.address.to_string()])
        .args(["--log-format", "json", "--log-output", "stdout"])
        .env("COLTSFOOTGATE_PEER_SECRET", "a-secret-of-the-tests-only")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut output = BufReader::new(child.stdout.take().unwrap());
    let mut line = String::new();
    while !line.starts_with("listening ") {
        line.clear();
        output.read_line(&mut line).unwrap();
    }
    let callers = line.split_once("callers=").unwrap().1.split(' ').next().unwrap();
    let callers = callers.parse().unwrap();
    // These requests log more lines than the pipe can buffer.
    for _ in 0..2_000 {
        let answer = TestCall::new("GET", "/nothing/here", b"").send(callers);
        assert_ne!(answer.status, 0, "{answer:?}");
    }
    child.kill().unwrap();
    let mut rest = String::new();
    let _ = output.read_to_string(&mut rest);
    let _ = child.wait();
    let is_flat =
        |line: &&str| serde_json::from_str::<Value>(line).is_ok_and(|line| line.is_object());
    let complete = rest.rsplit_once('\n').map_or("", |(complete, _)| complete);
    assert!(complete.lines().all(|line| is_flat(&line)), "{complete}");
}
