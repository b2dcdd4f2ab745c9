//! Runs the tool against a stand-in platform and minimal fake instances.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use serde_json::{Value, json};

pub const SAMPLE: &str = include_str!("../../../samples/terenuri.toml");

/// A stand-in platform, and the means to run the tool against it.
pub struct ToolHarness {
    pub platform: StandinHandle,
}

impl ToolHarness {
    pub fn new() -> Self {
        Self { platform: start_platform(ANY_PORT).unwrap() }
    }

    /// Creates a harness whose platform has the sample stored as version 1.
    pub fn with_sample() -> Self {
        let harness = Self::new();
        assert_eq!(exit_code(&harness.run(&["apply", "-"], SAMPLE)), 0);
        harness
    }

    pub fn configure_platform(&self, settings: Value) {
        self.platform.control.send(&settings).unwrap();
    }

    pub fn list_instances(&self, instances: &[(SocketAddr, &str)]) {
        let entries = instances.iter().map(|(address, state)| {
            json!({
                "role": "router", "address": address, "operators_address": address,
                "availability_zone": "cluj-a", "state": state,
            })
        });
        self.configure_platform(json!({ "instances": entries.collect::<Vec<_>>() }));
    }

    pub fn spawn(&self, arguments: &[&str], input: &str) -> Child {
        let mut child = Command::new(env!("CARGO_BIN_EXE_coltsfootctl"))
            .env("COLTSFOOTGATE_PLATFORM", self.platform.address.to_string())
            .env("COLTSFOOTCTL_AUTHOR", "ana")
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        // The write fails if the tool reads no input and has already exited.
        let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
        child
    }

    pub fn run(&self, arguments: &[&str], input: &str) -> Output {
        self.spawn(arguments, input).wait_with_output().unwrap()
    }

    pub fn json(&self, arguments: &[&str], input: &str) -> Value {
        let arguments = [&["--json"], arguments].concat();
        serde_json::from_slice(&self.run(&arguments, input).stdout).unwrap()
    }

    /// The output of `get` for the current tree, with its version line.
    pub fn tree(&self) -> String {
        stdout_text(&self.run(&["get"], ""))
    }
}

pub fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

pub fn stdout_text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn stderr_text(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// A fake instance, by the version that it has in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FakeInstance {
    /// The last announced version, 0 at first.
    UpToDate,
    /// Version 0, whatever is announced.
    Outdated,
    /// No version at all.
    WithoutTree,
}

impl FakeInstance {
    /// Serves an operators' port until the test process exits.
    pub fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let version = Arc::new(AtomicU64::new(0));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = self.serve(stream, &version);
            }
        });
        address
    }

    fn serve(self, mut stream: TcpStream, version: &AtomicU64) -> std::io::Result<()> {
        let request = read_request(&mut stream)?;
        let (head, body) = request.split_once("\r\n\r\n").unwrap_or_default();
        let (status, response) = if head.starts_with("POST /config/head") {
            let announced: Value = serde_json::from_str(body)?;
            if self == Self::UpToDate {
                version.store(announced["version"].as_u64().unwrap(), Ordering::SeqCst);
            }
            ("202 Accepted", Value::Null)
        } else if head.starts_with("GET /config/head") && self != Self::WithoutTree {
            (
                "200 OK",
                json!({ "version": version.load(Ordering::SeqCst), "root": "", "nonce": "" }),
            )
        } else if head.starts_with("GET /requests/00000000-0000-4000-8000-000000000001 ") {
            let customer = "customers.partners.school-league";
            let class = "classes.reservations";
            ("200 OK", json!({ "reason": "rate-limited", "customer": customer, "class": class }))
        } else if head.starts_with("GET /status ") && self == Self::UpToDate {
            let endpoint = json!({
                "endpoint": "pools.p.e1", "state": "healthy", "in_flight": 3, "slots": 8,
            });
            let queue = json!({ "pool": "pools.p", "waiting_by_tier": [0, 0, 0, 0, 0, 0, 2] });
            let peers = json!([{ "state": "alive" }, { "state": "dead" }]);
            ("200 OK", json!({ "peers": peers, "endpoints": [endpoint], "queues": [queue] }))
        } else {
            ("404 Not Found", Value::Null)
        };
        let response = response.to_string();
        write!(stream, "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{response}", response.len())
    }
}

fn read_request(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut request = String::new();
    let mut chunk = [0; 4096];
    loop {
        let count = stream.read(&mut chunk)?;
        request.push_str(&String::from_utf8_lossy(&chunk[..count]));
        let Some((head, body)) = request.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if count == 0 || body.len() >= length.and_then(|text| text.parse().ok()).unwrap_or(0) {
            return Ok(request);
        }
    }
}
