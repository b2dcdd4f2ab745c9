//! Tests of properties of the service and proxy stand-ins on which other tests rely.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootgate_standins::control::blocking_call;
use coltsfootgate_standins::runner::ANY_PORT;
use coltsfootgate_standins::{proxy, service};
use rstest::rstest;
use serde_json::json;

fn call(address: SocketAddr) -> Option<u16> {
    let response = blocking_call(address, "POST", "/book?n=1", b"x").ok()?;
    (!response.body.is_empty() || response.status >= 400).then_some(response.status)
}

#[rstest]
#[case::no_fault("none", Some(200), 1)]
#[case::refused("refuse_not_started", Some(503), 0)]
#[case::cut_before("cut_before", None, 0)]
#[case::cut_after("cut_after", None, 1)]
#[case::failed_after("fail_after", Some(500), 1)]
fn fault_applies_once_and_executions_are_counted(
    #[case] fault: &str,
    #[case] status: Option<u16>,
    #[case] executions: u64,
) {
    let service = service::start_plain_service(ANY_PORT, Duration::ZERO).unwrap();
    service.control.send(&json!({"fault": fault, "times": 1})).unwrap();
    assert_eq!(call(service.address), status);
    let counters = service.control.counters().unwrap();
    assert_eq!(counters["by_target"]["/book?n=1"].as_u64().unwrap_or(0), executions);
    assert_eq!(call(service.address), Some(200));
}

#[rstest]
#[case::pass(json!({"mode": "pass"}), Some(200), 1)]
#[case::refuse(json!({"mode": "refuse"}), None, 0)]
#[case::cut_within_answer(json!({"cut_after_bytes": 20}), None, 1)]
fn proxy_relays_refuses_or_cuts_as_commanded(
    #[case] command: serde_json::Value,
    #[case] status: Option<u16>,
    #[case] executions: u64,
) {
    let service = service::start_plain_service(ANY_PORT, Duration::ZERO).unwrap();
    let proxy = proxy::start_proxy(ANY_PORT, service.address).unwrap();
    proxy.control.send(&command).unwrap();
    assert_eq!(call(proxy.address), status);
    assert_eq!(service.control.counters().unwrap()["executed"], executions);
}

#[test]
fn silenced_connections_stay_open_and_new_ones_are_relayed() {
    use std::io::{Read, Write};

    let service = service::start_plain_service(ANY_PORT, Duration::ZERO).unwrap();
    let proxy = proxy::start_proxy(ANY_PORT, service.address).unwrap();
    let request = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut stream = std::net::TcpStream::connect(proxy.address).unwrap();
    stream.write_all(request).unwrap();
    stream.read_exact(&mut [0; 40]).unwrap();
    proxy.control.send(&json!({"silence_existing": true})).unwrap();
    stream.write_all(request).unwrap();
    assert_eq!(call(proxy.address), Some(200));
    let counters = service.control.counters().unwrap();
    assert_eq!((&counters["by_target"]["/a"], &counters["executed"]), (&json!(1), &json!(2)));
    assert!(proxy.control.counters().unwrap()["open"].as_u64().unwrap() >= 1);
}
