//! Runs the daemon as a child process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use coltsfootgate_standins::control::blocking_call;
use serde_json::{Value, json};

/// The peer secret of all daemons in a test.
pub const TEST_SECRET: &str = "a-secret-of-the-tests-only";
/// The maximum duration of a wait before the test fails.
const WAIT_MAX: Duration = Duration::from_secs(20);
/// The number of log lines that a failed wait prints.
const LOG_LINES_SHOWN: usize = 5;
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// The addresses at which a daemon listens.
#[derive(Clone, Debug)]
pub struct DaemonPorts {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running daemon, killed when dropped.
#[derive(Debug)]
pub struct TestDaemon {
    /// The addresses at which it listens.
    pub ports: DaemonPorts,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl TestDaemon {
    /// Starts a daemon with additional flags and waits until it listens.
    pub fn start(platform: SocketAddr, zone: &str, extra_flags: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_coltsfootgate"))
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--operators-listen", "127.0.0.1:0", "--drain-time", "100 ms"])
            .args(["--platform", &platform.to_string(), "--availability-zone", zone])
            .args(["--log-format", "json"])
            .args(extra_flags)
            .env("COLTSFOOTGATE_PEER_SECRET", TEST_SECRET)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon can be spawned");
        let log = Arc::new(Mutex::new(Vec::new()));
        let stderr = child.stderr.take().expect("standard error is piped");
        let lines = log.clone();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lines.lock().expect("no reader panics").push(line);
            }
        });
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut first = String::new();
        let _ = BufReader::new(stdout).read_line(&mut first);
        let ports = parse_ports(&first).unwrap_or_else(|| {
            let _ = child.wait();
            thread::sleep(POLL_PERIOD);
            panic!("the daemon did not start: {:?}", log.lock().unwrap());
        });
        Self { ports, child, log }
    }

    /// The id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the daemon is ready for callers.
    pub fn wait_ready(&self) {
        self.wait_for("readiness", || {
            let answer = blocking_call(self.ports.operators, "GET", "/readyz", b"").ok()?;
            (answer.status == 200).then_some(())
        });
    }

    /// Waits until the tree in force has at least the given version.
    pub fn wait_version(&self, version: u64) {
        self.wait_for("the version in force", || {
            let answer = blocking_call(self.ports.operators, "GET", "/config/head", b"").ok()?;
            let head: Value = serde_json::from_slice(&answer.body).ok()?;
            (head["version"].as_u64()? >= version).then_some(())
        });
    }

    /// Waits for a log line that contains a text and returns the line.
    pub fn wait_log(&self, text: &str) -> String {
        self.wait_for(text, || {
            let lines = self.log.lock().expect("no writer panics");
            lines.iter().find(|line| line.contains(text)).cloned()
        })
    }

    /// All log lines so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.lock().expect("no writer panics").clone()
    }

    /// Its entry in the instance list, with the address at which its peers reach it.
    pub fn list_entry(&self, peers: SocketAddr) -> Value {
        json!({
            "role": "router",
            "address": peers.to_string(),
            "operators_address": self.ports.operators.to_string(),
            "availability_zone": "a",
            "state": "live",
        })
    }

    /// The status document.
    pub fn status(&self) -> Value {
        let answer = blocking_call(self.ports.operators, "GET", "/status", b"").expect("a status");
        serde_json::from_slice(&answer.body).expect("the status is JSON")
    }

    /// Waits for the decision record of a request.
    pub fn record(&self, request: &str) -> Value {
        let path = format!("/requests/{request}");
        self.wait_for("the decision record", || {
            let answer = blocking_call(self.ports.operators, "GET", &path, b"").ok()?;
            serde_json::from_slice(&answer.body).ok().filter(|_| answer.status == 200)
        })
    }

    /// The sum of the metric samples whose name starts with `name` and whose labels contain all
    /// given texts.
    pub fn metric(&self, name: &str, labels: &[&str]) -> f64 {
        let answer = blocking_call(self.ports.operators, "GET", "/metrics", b"").expect("metrics");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        text.lines()
            .filter(|line| line.starts_with(name) && labels.iter().all(|text| line.contains(text)))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    /// Sends SIGHUP, which makes the daemon reload its settings.
    pub fn reload(&self) {
        self.signal(rustix::process::Signal::HUP);
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the daemon with SIGSTOP.
    pub fn pause(&self) {
        self.signal(rustix::process::Signal::STOP);
    }

    /// Resumes a paused daemon with SIGCONT.
    pub fn resume(&self) {
        self.signal(rustix::process::Signal::CONT);
    }

    /// Waits until the daemon has exited and returns whether it reported success.
    pub fn wait_exit(&mut self) -> bool {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the daemon can be waited for") {
                return status.success();
            }
            assert!(started.elapsed() < WAIT_MAX, "the daemon did not exit in time");
            thread::sleep(POLL_PERIOD);
        }
    }

    /// Polls `poll` until it returns a value; panics with the last log lines after [`WAIT_MAX`].
    pub fn wait_for<T>(&self, what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
        let started = Instant::now();
        loop {
            if let Some(value) = poll() {
                return value;
            }
            if started.elapsed() >= WAIT_MAX {
                let lines = self.log_lines();
                let last = &lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..];
                panic!("timed out waiting for {what}; last log lines: {last:#?}");
            }
            thread::sleep(POLL_PERIOD);
        }
    }

    fn signal(&self, signal: rustix::process::Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id fits into an i32");
        let id = rustix::process::Pid::from_raw(id).expect("a process id is not 0");
        rustix::process::kill_process(id, signal).expect("the daemon can be signalled");
    }
}

impl Drop for TestDaemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn parse_ports(line: &str) -> Option<DaemonPorts> {
    let port = |prefix: &str| {
        let text = line.split_whitespace().find_map(|word| word.strip_prefix(prefix))?;
        text.parse().ok()
    };
    Some(DaemonPorts {
        callers: port("callers=")?,
        peers: port("peers=")?,
        operators: port("operators=")?,
    })
}
