//! Starts the project's daemon with the command of the deploy file, and signals its processes.

use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;

const DEPLOY_FILE: &str = "deploy/system.toml";
/// Bounds of the small deployments (`tu-rezervari`), as in the settings of their machines.
const REVOKE_MS: &str = "5000";
const GRACE_S: &str = "8";
const CPU_SHARE: &str = "0.25";
const MEMORY_MB: &str = "260";
/// Longest time until an instance is ready.
const READY_TIME_MAX: Duration = Duration::from_secs(15);
const POLL_PERIOD: Duration = Duration::from_millis(20);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals that a test sends to processes that it started.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Kill = 9,
    Terminate = 15,
}

/// One instance of the system, which may be stopped and started again at its addresses.
pub struct Instance {
    pub name: String,
    zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    child: Option<Child>,
    /// Lines of the log of all its processes.
    log: Arc<Mutex<Vec<String>>>,
    record: Record,
}

/// Free addresses on loopback, below the ports that the system gives to connections, so that they stay free while an
/// instance is down.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let first = 18_000 + (std::process::id() * 61 % 13_000) as u16;
    let ports = (first..32_000).chain(18_000..first);
    let free = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    // They stay bound until all are found.
    let bound: Vec<TcpListener> = free.take(count).collect();
    bound.iter().map(|one| one.local_addr().expect("an address")).collect()
}

/// Starts one instance in each zone.
pub fn start_fleet(zones: &[&str], store: SocketAddr, record: &Record) -> Vec<Instance> {
    let addresses = free_addresses(zones.len() * 3);
    let seeds: Vec<String> = addresses.chunks(3).map(|three| three[2].to_string()).collect();
    let seeds = seeds.join(",");
    let mut fleet = Vec::new();
    for (index, (zone, three)) in zones.iter().zip(addresses.chunks(3)).enumerate() {
        let mut instance = Instance {
            name: format!("front-{}", index + 1),
            zone: (*zone).to_owned(),
            front: three[0],
            ready: three[1],
            control: three[2],
            child: None,
            log: Arc::default(),
            record: record.clone(),
        };
        instance.start(store, &seeds);
        fleet.push(instance);
    }
    fleet
}

/// The seeds of a fleet, for instances that start again.
pub fn seeds(fleet: &[Instance]) -> String {
    let seeds: Vec<String> = fleet.iter().map(|one| one.control.to_string()).collect();
    seeds.join(",")
}

impl Instance {
    /// Starts its process with the command and the environment of the deploy file.
    pub fn start(&mut self, store: SocketAddr, seeds: &str) {
        let deploy = std::fs::read_to_string(DEPLOY_FILE).expect("the deploy file");
        let fill = |text: &str| self.fill(text, store, seeds);
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("run");
        let words: Vec<String> = run.trim_end_matches('"').split(' ').map(fill).collect();
        let environment = deploy.lines().find_map(|line| line.strip_prefix("env = ")).expect("env");
        let mut command = Command::new(&words[0]);
        command.args(&words[1..]).stdout(Stdio::piped()).stderr(Stdio::null());
        for (name, value) in pairs(environment) {
            command.env(name, self.fill(&value, store, seeds));
        }
        let mut child = command.spawn().expect("the daemon of the deploy file is built");
        note_process(child.id());
        let (output, log) = (child.stdout.take().expect("its output"), self.log.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                log.lock().expect("the log").push(line);
            }
        });
        self.record.line(format!("started {} (pid {})", self.name, child.id()));
        self.child = Some(child);
    }

    fn fill(&self, text: &str, store: SocketAddr, seeds: &str) -> String {
        let values = [
            ("listen.front", self.front.to_string()),
            ("listen.control", self.control.to_string()),
            ("listen.ready", self.ready.to_string()),
            ("zone", self.zone.clone()),
            ("region", "ro-central".into()),
            ("limits.cpu_share", CPU_SHARE.into()),
            ("limits.memory_mb", MEMORY_MB.into()),
            ("platform.address", store.to_string()),
            ("bounds.revoke_ms", REVOKE_MS.into()),
            ("bounds.grace_s", GRACE_S.into()),
            ("seeds", seeds.to_owned()),
            ("node_name", self.name.clone()),
        ];
        let mut filled = text.to_owned();
        for (name, value) in values {
            filled = filled.replace(&format!("{{{{{name}}}}}"), &value);
        }
        // What this deployment does not have is empty.
        while let Some((before, rest)) = filled.split_once("{{") {
            let after = rest.split_once("}}").map_or("", |(_, after)| after);
            filled = format!("{before}{after}");
        }
        filled
    }

    /// Whether the platform would send it new connections.
    pub fn is_ready(&self) -> bool {
        let request = "GET /coltsfootgate/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        call(self.ready, request, Duration::from_millis(500)).is_success()
    }

    pub fn wait_ready(&mut self) -> bool {
        let started = Instant::now();
        while !self.is_ready() {
            if self.has_ended() || started.elapsed() > READY_TIME_MAX {
                return false;
            }
            thread::sleep(POLL_PERIOD);
        }
        self.record.line(format!("{} is ready", self.name));
        true
    }

    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        self.record.line(format!("{signal:?} to {} (pid {})", self.name, child.id()));
        let pid = i32::try_from(child.id()).expect("a pid");
        // SAFETY: plain system call; the process was started here and not waited for yet.
        unsafe { kill(pid, signal as i32) };
    }

    /// Waits until its process has ended.
    pub fn wait_exit(&mut self) {
        if let Some(mut child) = self.child.take() {
            let status = child.wait();
            self.record.line(format!("{} ended: {status:?}", self.name));
        }
    }

    /// Whether its process ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// The lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = self.log.lock().expect("the log");
        log.iter().filter(|line| line.contains(text)).cloned().collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Writes the id of a process to a file, so that the script ends it whatever happens here.
fn note_process(pid: u32) {
    let Ok(path) = std::env::var("KIT_PIDS") else { return };
    if let Ok(mut file) = OpenOptions::new().create(true).append(true).open(path) {
        let _ = writeln!(file, "{pid}");
    }
}

/// The pairs `NAME = "text"` of an inline table.
fn pairs(table: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = table;
    while let Some((before, after)) = rest.split_once(" = \"") {
        let name = before.rsplit([' ', '{', ',']).next().unwrap_or_default().to_owned();
        let (value, after) = after.split_once('"').unwrap_or((after, ""));
        pairs.push((name, value.to_owned()));
        rest = after;
    }
    pairs
}
