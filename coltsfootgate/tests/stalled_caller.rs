//! A caller that stops reading its answer is disconnected after the body timeout, so that it
//! neither occupies an endpoint nor delays a shutdown.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::runner::ANY_PORT;
use coltsfootgate_standins::service::start_plain_service;
use serde_json::json;

use support::{SAMPLE_KEY, TestDaemon, put_tree, sample_tree};

/// Exceeds the socket buffers of a loopback connection, so that the daemon's writes block.
const ANSWER_BYTES: usize = 20 * 1024 * 1024;

#[test]
fn a_caller_that_stops_reading_is_disconnected() {
    let platform = start_platform(ANY_PORT).unwrap();
    let service = start_plain_service(ANY_PORT, Duration::ZERO).unwrap();
    service.control.send(&json!({"padding": ANSWER_BYTES})).unwrap();
    put_tree(platform.address, 1, &sample_tree(&[], &[service.address], ""));
    let mut daemon = TestDaemon::start(platform.address, "a", &["--body-time", "1 s"]);
    daemon.wait_ready();
    let mut caller = TcpStream::connect(daemon.ports.callers).unwrap();
    let head = format!(
        "POST /orders/7 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {SAMPLE_KEY}\r\n\
         content-length: 0\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).unwrap();
    let decision = daemon.wait_log("caller-left");
    assert!(decision.contains("partially-run"), "{decision}");
    daemon.terminate();
    assert!(daemon.wait_exit());
    let mut answer = Vec::new();
    let _ = caller.read_to_end(&mut answer);
    assert!(!answer.ends_with(b"\r\n0\r\n\r\n"), "the answer looks complete");
    assert!(answer.len() < ANSWER_BYTES);
}
