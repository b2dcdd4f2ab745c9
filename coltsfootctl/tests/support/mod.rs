//! Runs the tool against a stand-in platform and small stand-ins of instances.

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

/// A platform with the tool pointed at it.
pub struct ToolBench {
    pub platform: StandinHandle,
}

impl ToolBench {
    pub fn new() -> Self {
        Self { platform: start_platform(ANY_PORT).unwrap() }
    }

    /// A bench that holds the sample as version 1.
    pub fn with_sample() -> Self {
        let bench = Self::new();
        assert_eq!(code(&bench.run(&["apply", "-"], SAMPLE)), 0);
        bench
    }

    pub fn order(&self, order: Value) {
        self.platform.control.send(&order).unwrap();
    }

    pub fn list(&self, instances: &[(SocketAddr, &str)]) {
        let entries = instances.iter().map(|(address, state)| {
            json!({
                "role": "router", "address": address, "operators_address": address,
                "availability_zone": "cluj-a", "state": state,
            })
        });
        self.order(json!({ "instances": entries.collect::<Vec<_>>() }));
    }

    pub fn start(&self, arguments: &[&str], input: &str) -> Child {
        let mut child = Command::new(env!("CARGO_BIN_EXE_coltsfootctl"))
            .env("COLTSFOOTGATE_PLATFORM", self.platform.address.to_string())
            .env("COLTSFOOTCTL_AUTHOR", "ana")
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        // A tool that needs no input may have ended already.
        let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
        child
    }

    pub fn run(&self, arguments: &[&str], input: &str) -> Output {
        self.start(arguments, input).wait_with_output().unwrap()
    }

    pub fn json(&self, arguments: &[&str], input: &str) -> Value {
        let arguments = [&["--json"], arguments].concat();
        serde_json::from_slice(&self.run(&arguments, input).stdout).unwrap()
    }

    /// The present tree as the tool prints it, with the line that names its version.
    pub fn tree(&self) -> String {
        text(&self.run(&["get"], ""))
    }
}

pub fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

pub fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn error_text(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Whether an instance takes over the versions that it is told of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FakeInstance {
    Follows,
    StaysBehind,
    HasNoTree,
}

impl FakeInstance {
    /// Serves an operators' port until the test process ends.
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
        let (status, answer) = if head.starts_with("POST /config/head") {
            let told: Value = serde_json::from_str(body)?;
            if self == Self::Follows {
                version.store(told["version"].as_u64().unwrap(), Ordering::SeqCst);
            }
            ("202 Accepted", Value::Null)
        } else if head.starts_with("GET /config/head") && self != Self::HasNoTree {
            (
                "200 OK",
                json!({ "version": version.load(Ordering::SeqCst), "root": "", "nonce": "" }),
            )
        } else if head.starts_with("GET /requests/00000000-0000-4000-8000-000000000001 ") {
            let customer = "customers.partners.school-league";
            let class = "classes.reservations";
            ("200 OK", json!({ "reason": "rate-limited", "customer": customer, "class": class }))
        } else if head.starts_with("GET /status ") && self == Self::Follows {
            let endpoint = json!({
                "endpoint": "pools.p.e1", "state": "healthy", "in_flight": 3, "slots": 8,
            });
            let queue = json!({ "pool": "pools.p", "waiting_by_tier": [0, 0, 0, 0, 0, 0, 2] });
            let peers = json!([{ "state": "alive" }, { "state": "dead" }]);
            ("200 OK", json!({ "peers": peers, "endpoints": [endpoint], "queues": [queue] }))
        } else {
            ("404 Not Found", Value::Null)
        };
        let answer = answer.to_string();
        write!(stream, "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{answer}", answer.len())
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
