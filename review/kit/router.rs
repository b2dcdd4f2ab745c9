//! Runs the project's daemon with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;

/// The processes of the daemons that run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// `grace_s` of the settings.
pub const GRACE_SECONDS: u64 = 8;
/// The first of the ports from which those of machines are chosen, their number, and how many are tried.
const FIRST_PORT: u16 = 10_000;
const PORTS: u64 = 20_000;
const PORT_TRIES: u64 = 1_000;
/// Longest time for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// A signal.
#[derive(Clone, Copy)]
pub enum Signal {
    Terminate = 15,
    Kill = 9,
}

/// The addresses of one machine.
#[derive(Clone, Copy)]
pub struct Machine {
    pub number: usize,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

/// Chooses free ports for some machines, below those that the kernel gives to connections.
pub fn choose_machines(count: usize) -> io::Result<Vec<Machine>> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let start = u64::from(std::process::id()) * 7919 + u64::from(now.subsec_nanos());
    let ports = (0..PORT_TRIES).map(|step| FIRST_PORT + ((start + step * 13) % PORTS) as u16);
    // All are held until the last one is chosen.
    let listeners: Vec<TcpListener> = ports
        .filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok())
        .take(3 * count)
        .collect();
    let addresses: Result<Vec<SocketAddr>, _> =
        listeners.iter().map(TcpListener::local_addr).collect();
    let machine = |(number, part): (usize, &[SocketAddr])| Machine {
        number,
        front: part[0],
        ready: part[1],
        control: part[2],
    };
    Ok(addresses?.chunks_exact(3).enumerate().map(machine).collect())
}

/// The folder for logs of this process.
fn log_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// Removes the logs.
pub fn remove_logs() {
    let _ = fs::remove_dir_all(log_folder());
}

/// A running daemon; killed when dropped.
pub struct Router {
    pub machine: Machine,
    child: Child,
    record: Record,
}

impl Router {
    /// Starts the daemon of a machine. The working folder is the root of the repository.
    pub fn start(
        machine: Machine,
        store: SocketAddr,
        seeds: &[Machine],
        record: &Record,
    ) -> io::Result<Self> {
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let seeds: Vec<String> =
            seeds.iter().take(3).map(|seed| seed.control.to_string()).collect();
        let line = |name: &str| {
            let line = deploy.lines().find(|line| line.trim_start().starts_with(name))?;
            Some(line.split_once('"')?.1.rsplit_once('"')?.0.to_owned())
        };
        let mut command = line("run = ").ok_or(io::ErrorKind::NotFound)?;
        for (name, value) in [
            ("{{listen.front}}", machine.front.to_string()),
            ("{{listen.ready}}", machine.ready.to_string()),
            ("{{listen.control}}", machine.control.to_string()),
            ("{{zone}}", "a".to_owned()),
            ("{{region}}", "r".to_owned()),
            ("{{limits.cpu_share}}", "0.25".to_owned()),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.revoke_ms}}", "5000".to_owned()),
            ("{{bounds.grace_s}}", GRACE_SECONDS.to_string()),
            ("{{seeds}}", seeds.join(",")),
        ] {
            command = command.replace(name, &value);
        }
        let secret = line("env = ").unwrap_or_default();
        fs::create_dir_all(log_folder())?;
        let log = log_folder().join(format!("machine-{}.log", machine.number));
        let log = File::options().create(true).append(true).open(log)?;
        let mut words = command.split(' ');
        let child = Command::new(words.next().unwrap_or_default())
            .args(words)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", std::env::var_os("HOME").unwrap_or_default())
            .env("COLTSFOOTGATE_PEER_SECRET", secret)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        record.line(&format!("machine {}: starts", machine.number));
        Ok(Self { machine, child, record: record.clone() })
    }

    /// Waits until it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(&format!("machine {}: ready", self.machine.number));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /coltsfootgate/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = http::call(self.machine.ready, request, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal, name: &str) {
        self.record.line(&format!("machine {}: {name}", self.machine.number));
        // SAFETY: the call has no preconditions, and the child was not waited for yet.
        let _ = unsafe { kill(self.child.id() as i32, signal as i32) };
    }

    /// Waits until it has ended; returns whether it did.
    pub fn wait_ended(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                self.record.line(&format!("machine {}: ended", self.machine.number));
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|process| *process != self.child.id());
    }
}

/// Kills the daemons that were started and not ended yet.
pub fn kill_all() {
    for process in STARTED.lock().unwrap().drain(..) {
        // SAFETY: the call has no preconditions.
        let _ = unsafe { kill(process as i32, Signal::Kill as i32) };
    }
}
