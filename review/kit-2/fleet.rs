//! Starts and ends the processes of a case, and records what happens.

use std::collections::HashSet;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json::quote;
use crate::replica::SLOTS;
use crate::store::{Store, StorePort};

/// Exit code of a case that could not run.
const NOT_RUN: i32 = 2;
/// Longest time that a case may take.
const TIME_MAX: Duration = Duration::from_secs(110);
/// Longest time until an instance is ready.
const START_TIME_MAX: Duration = Duration::from_secs(20);
/// Time between two writes of a replica's entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time from the start of a replica until its entry is in the store (`lag_ms` of the site file).
const ENTRY_LAG: Duration = Duration::from_millis(800);

/// The record of a case, and all processes that it started; clones share the same state.
#[derive(Clone)]
pub struct Stage {
    started: Instant,
    record: Arc<Mutex<File>>,
    children: Arc<Mutex<Vec<Arc<Mutex<Child>>>>>,
    /// The ids of the requests that replicas began to run.
    runs: Arc<Mutex<HashSet<String>>>,
}

impl Stage {
    /// Starts the record in a folder, and bounds the time of the case.
    pub fn open(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt")).unwrap();
        let stage = Self {
            started: Instant::now(),
            record: Arc::new(Mutex::new(file)),
            children: Arc::default(),
            runs: Arc::default(),
        };
        let (watched, hooked) = (stage.clone(), stage.clone());
        thread::spawn(move || {
            thread::sleep(TIME_MAX);
            watched.note("the case took too long");
            watched.exit(NOT_RUN);
        });
        std::panic::set_hook(Box::new(move |info| {
            hooked.note(&format!("the case could not run: {info}"));
            eprintln!("{info}");
            hooked.exit(NOT_RUN);
        }));
        stage
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the time in seconds since the start.
    pub fn note(&self, line: &str) {
        let now = self.now().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{now:8.3}  {line}");
    }

    /// Whether a replica began to run a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().unwrap().contains(id)
    }

    fn spawn(&self, command: &mut Command) -> Arc<Mutex<Child>> {
        let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn().unwrap();
        let child = Arc::new(Mutex::new(child));
        self.children.lock().unwrap().push(child.clone());
        child
    }

    /// Ends all processes and this one.
    pub fn exit(&self, code: i32) -> ! {
        for child in self.children.lock().unwrap().iter() {
            kill(child);
        }
        std::process::exit(code);
    }
}

/// Kills a process and waits for its end.
pub fn kill(child: &Arc<Mutex<Child>>) {
    let mut child = child.lock().unwrap();
    let _ = child.kill();
    let _ = child.wait();
}

/// The first port that may be given out; those that the system gives to clients lie above all of them.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that may be given out.
const PORTS: u32 = 12_000;

/// An address on loopback that is free, and is given out once.
pub fn free_address() -> SocketAddr {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(61) + GIVEN.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + (number % PORTS) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Waits until a condition holds; panics with `what` if it takes too long.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < START_TIME_MAX, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An instance of the system, started by the command of the deploy file.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    /// The address at which it reaches the store.
    pub store: StorePort,
    seeds: String,
    stage: Stage,
    child: Option<Arc<Mutex<Child>>>,
}

/// The value of a key of the deploy file, without the quotes around a text.
fn deploy_value(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/system.toml").unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{key} = ")));
    line.unwrap().trim_matches('"').to_owned()
}

impl Instance {
    /// Creates instances that do not run yet.
    pub fn fleet(stage: &Stage, store: &Store, count: usize) -> Vec<Self> {
        let mut fleet: Vec<Self> = (0..count)
            .map(|number| Self {
                name: format!("front-{}", number + 1),
                front: free_address(),
                ready: free_address(),
                control: free_address(),
                store: store.open_port(),
                seeds: String::new(),
                stage: stage.clone(),
                child: None,
            })
            .collect();
        let seeds: Vec<String> = fleet.iter().map(|one| one.control.to_string()).collect();
        fleet.iter_mut().for_each(|one| one.seeds = seeds[..seeds.len().min(3)].join(","));
        fleet
    }

    fn fill(&self, text: &str) -> String {
        let values = [
            ("listen.front", self.front.to_string()),
            ("listen.control", self.control.to_string()),
            ("listen.ready", self.ready.to_string()),
            ("zone", "cebu-hall".into()),
            ("region", "visayas".into()),
            ("limits.cpu_share", "0.25".into()),
            ("platform.address", self.store.address.to_string()),
            ("bounds.revoke_ms", "5000".into()),
            ("bounds.grace_s", "8".into()),
            ("seeds", self.seeds.clone()),
            ("node_name", self.name.clone()),
        ];
        let mut text = text.to_owned();
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        // What a deployment does not have is empty.
        while let (Some(start), Some(end)) = (text.find("{{"), text.find("}}")) {
            text.replace_range(start..end + 2, "");
        }
        text
    }

    /// Starts the process, with its log in a file of the temporary folder.
    pub fn start(&mut self, folder: &str) {
        let command = self.fill(&deploy_value("run"));
        let mut words = command.split(' ');
        let mut command = Command::new(words.next().unwrap());
        command.args(words);
        let env = self.fill(&deploy_value("env"));
        for pair in env.trim_matches(['{', '}', ' ']).split(", ") {
            let (name, value) = pair.split_once(" = ").unwrap();
            command.env(name, value.trim_matches('"'));
        }
        let child = self.stage.spawn(&mut command);
        let output = child.lock().unwrap().stdout.take().unwrap();
        let path = format!("{folder}/{}.log", self.name);
        let file = File::options().create(true).append(true).open(path);
        thread::spawn(move || {
            let (mut file, mut output) = (file.unwrap(), output);
            let _ = std::io::copy(&mut output, &mut file);
        });
        self.child = Some(child);
        self.stage.note(&format!("{} is started", self.name));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            kill(&child);
            self.stage.note(&format!("{} is killed", self.name));
        }
    }

    /// Kills the process as the platform does as soon as it uses more memory than its machine has.
    pub fn limit_memory(&self, limit_mb: u64) {
        let (child, stage, name) =
            (self.child.clone().unwrap(), self.stage.clone(), self.name.clone());
        thread::spawn(move || {
            let path = format!("/proc/{}/status", child.lock().unwrap().id());
            let mut peak = 0;
            while let Some(used) = used_memory_mb(&path) {
                if used / 10 > peak / 10 {
                    stage.note(&format!("{name} uses {used} MB"));
                }
                peak = used.max(peak);
                if used > limit_mb {
                    stage.note(&format!(
                        "{name} exceeds {limit_mb} MB and is killed by the platform"
                    ));
                    return kill(&child);
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }

    /// Whether the instance says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /coltsfootgate/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        let answer = http::send(self.ready, request.as_bytes(), Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

fn used_memory_mb(status: &str) -> Option<u64> {
    let status = std::fs::read_to_string(status).ok()?;
    let used = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(used.trim().trim_end_matches(" kB").parse::<u64>().ok()? / 1024)
}

/// A replica that registers itself in the store, at the same address and under the same id after each start.
pub struct ReplicaSlot {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: usize,
    stage: Stage,
    store: Store,
    child: Option<Arc<Mutex<Child>>>,
    /// Says which process writes the entry.
    life: Arc<Mutex<u64>>,
}

impl ReplicaSlot {
    pub fn new(stage: &Stage, store: &Store, service: &str, number: usize) -> Self {
        Self {
            id: format!("i-{service}-{number}"),
            service: service.to_owned(),
            address: free_address(),
            slots: SLOTS,
            stage: stage.clone(),
            store: store.clone(),
            child: None,
            life: Arc::default(),
        }
    }

    /// Starts the process with a version of its software; its entry follows.
    pub fn start(&mut self, version: &str) {
        let kit = std::env::current_exe().unwrap();
        let arguments = ["replica", &self.address.to_string(), &self.id, version];
        let child = self.stage.spawn(Command::new(kit).args(arguments));
        let mut lines = BufReader::new(child.lock().unwrap().stdout.take().unwrap()).lines();
        assert!(lines.next().is_some_and(|line| line.is_ok()), "a replica did not start");
        let (stage, name) = (self.stage.clone(), format!("{} {version}", self.id));
        stage.note(&format!("replica {name} listens"));
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(id) = line.strip_prefix("ran ").and_then(|ran| ran.split(' ').next()) {
                    stage.runs.lock().unwrap().insert(id.to_owned());
                }
                stage.note(&format!("replica {name} {line}"));
            }
        });
        self.child = Some(child);
        let life = {
            let mut life = self.life.lock().unwrap();
            *life += 1;
            *life
        };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let (store, current, key) =
            (self.store.clone(), self.life.clone(), format!("servers/{}", self.id));
        let entry = format!(
            "\"service\":{},\"address\":\"{}\",\"zone\":\"cebu-hall\",\"version\":{},\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{born}",
            quote(&self.service),
            self.address,
            quote(version),
            self.slots
        );
        let write = move |seq: u64| store.put(&key, &format!("{{{entry},\"seq\":{seq}}}"));
        thread::spawn(move || {
            thread::sleep(ENTRY_LAG);
            for seq in 1.. {
                {
                    let current = current.lock().unwrap();
                    if *current != life {
                        return;
                    }
                    write(seq);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        *self.life.lock().unwrap() += 1;
        if let Some(child) = self.child.take() {
            kill(&child);
            self.stage.note(&format!("replica {} is killed", self.id));
        }
    }
}

/// A route of the operator's configuration.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    timeout_ms: u64,
    attempts: u32,
    more: &str,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"a.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":0,\"service\":\"app\",\
         \"attempts\":{attempts},\"public\":false,{more}\"sticky\":false}}"
    )
}

/// The operator's configuration with the only service `app`.
pub fn configuration(version: u64, routes: &[String], keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| quote(key)).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\
         \"connection_limit\":370,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"header_bytes\":16384,\
         \"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"club\",\"api_keys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

/// The bytes of a client's request.
pub fn request(path: &str, id: &str, key: &str, deadline_ms: u128, more: &str) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Coltsfootgate-Attempt-Id: {id}\r\n\
         X-Coltsfootgate-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{more}\r\n"
    )
    .into_bytes()
}

/// The bytes of a client's request with a body.
pub fn post(path: &str, id: &str, key: &str, deadline: Duration, body_bytes: usize) -> Vec<u8> {
    let head =
        request(path, id, key, deadline.as_millis(), &format!("Content-Length: {body_bytes}\r\n"));
    let mut bytes = [b"POST", &head[3..]].concat();
    bytes.resize(bytes.len() + body_bytes, b'x');
    bytes
}
