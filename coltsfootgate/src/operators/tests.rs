//! Tests of the operators' port over real connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

use monoio::{LegacyDriver, RuntimeBuilder};
use rstest::rstest;
use serde_json::json;
use uuid::Uuid;

use super::*;
use crate::metrics::DaemonMetrics;
use crate::transfer::MemoryAccount;
use crate::tree::TreeHandle;

/// Runs a server for one request and returns its response.
fn serve_request(prepare: impl FnOnce(&OperatorsContext), request: Vec<u8>) -> String {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async {
        let (tree, _events) = TreeHandle::new();
        let context = OperatorsContext {
            readiness_path: Some("/own/readiness".into()),
            metrics: DaemonMetrics::new(),
            status: StatusRegistry::default(),
            records: RequestRecords::default(),
            readiness: ReadinessGate::default(),
            tree,
            memory: MemoryAccount::default(),
            connections_max: 4,
        };
        prepare(&context);
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = OperatorsServer::new(listener, context);
        let (sender, receiver) = futures_channel::oneshot::channel();
        let client = thread::spawn(move || {
            let response = send_bytes(address, &request);
            let _ = sender.send(());
            response
        });
        monoio::select! {
            _ = receiver => (),
            () = server.serve() => (),
        }
        client.join().unwrap()
    })
}

/// Sends bytes and reads until the server closes the connection.
fn send_bytes(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    // The server may respond and close the connection before it has read everything.
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8(response).unwrap()
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").into_bytes()
}

#[rstest]
#[case::health("/healthz", "200 OK", "ok")]
#[case::unready("/readyz", "503 Service Unavailable", "no tree of settings")]
#[case::metrics("/metrics", "200 OK", "coltsfootgate_config_version 0")]
#[case::status("/status", "200 OK", r#"{"part":{"count":3}}"#)]
#[case::no_head("/config/head", "404 Not Found", "no tree")]
#[case::no_record("/requests/00000000-0000-0000-0000-000000000001", "404 Not Found", "no such")]
#[case::not_an_id("/requests/x", "404 Not Found", "no such request")]
#[case::no_page("/other", "404 Not Found", "no such page")]
fn each_path_returns_its_page(#[case] path: &str, #[case] status: &str, #[case] text: &str) {
    let prepare = |context: &OperatorsContext| context.status.add("part", || json!({"count": 3}));
    let response = serve_request(prepare, get(path));
    assert!(response.starts_with(&format!("HTTP/1.1 {status}\r\n")), "{response}");
    assert!(response.contains(text), "{response}");
}

#[test]
fn a_ready_instance_reports_ready() {
    let response =
        serve_request(|context| context.readiness.clear(UnreadyCause::NoTree), get("/readyz"));
    assert!(response.starts_with("HTTP/1.1 200 OK"), "{response}");
}

#[test]
fn a_record_is_found_by_id() {
    let id = Uuid::from_u128(7);
    let prepare = |context: &OperatorsContext| {
        context.records.insert(id, Some("caller-7".into()), r#"{"reason":"queue-full"}"#.into());
    };
    let response = serve_request(prepare, get(&format!("/requests/{id}")));
    assert!(response.ends_with(r#"{"reason":"queue-full"}"#), "{response}");
}

#[rstest]
#[case::hint("11", r#"{"version":7}"#, "202 Accepted")]
#[case::not_a_hint("2", "{}", "400 Bad Request")]
fn a_version_hint_is_parsed(#[case] _name: &str, #[case] body: &str, #[case] status: &str) {
    let head = format!("POST /config/head HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
    let response = serve_request(|_| (), [head.as_bytes(), body.as_bytes()].concat());
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
}

#[rstest]
#[case::garbage(b"\x00\x01\x02\r\n\r\n".to_vec())]
#[case::endless_head([b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'a'; 1 << 20]].concat())]
#[case::long_header_name([b"GET / HTTP/1.1\r\n".to_vec(), vec![b'a'; 70_000], b": b\r\n\r\n".to_vec()].concat())]
#[case::huge_body(b"POST /config/head HTTP/1.1\r\ncontent-length: 999999999999999\r\n\r\n".repeat(400))]
#[case::huge_chunk(b"POST /config/head HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffd\r\n".repeat(400))]
fn bad_input_fails_only_its_own_connection(#[case] request: Vec<u8>) {
    let response = serve_request(|_| (), request);
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 400 Bad Request"), "{response}");
}
