//! Starts the processes of an overhead measurement: a platform, engines and two daemons.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use coltsfootgate_config::content_digest;
use serde_json::{Value, json};

use super::OverheadSettings;
use super::caller::StreamCaller;
use crate::control::{ControlClient, blocking_call};
use crate::measure::process::{ManagedProcess, free_addresses};

/// The bearer key of the only customer.
pub(super) const CALLER_KEY: &str = "overhead-key";
/// The model of the calls whose latency is compared; served by one otherwise idle engine.
pub(super) const LATENCY_MODEL: &str = "alone";
/// The model of the calls that load the relaying daemon; served by all other engines.
pub(super) const RELAY_MODEL: &str = "busy";
const DAEMONS: usize = 2;
const RELAY_ENGINES: usize = 12;
/// Slots of each endpoint, and batch size of each relay engine.
const SLOTS: usize = 16;
const PEER_SECRET: &str = "a secret for measurements only";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long to wait for the record of a finished call.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct EngineProcess {
    /// Dropping it kills the process.
    _process: ManagedProcess,
    address: SocketAddr,
}

/// A `coltsfootgate` process.
struct DaemonProcess {
    process: ManagedProcess,
    caller_address: SocketAddr,
    /// The address for peers, which names the instance.
    peer_address: SocketAddr,
    operators_address: SocketAddr,
}

/// All processes of the measurement.
pub(super) struct OverheadBench {
    /// Dropping it kills the process.
    _platform: ManagedProcess,
    latency_engine: EngineProcess,
    relay_engines: Vec<EngineProcess>,
    daemons: Vec<DaemonProcess>,
}

impl OverheadBench {
    /// Starts all processes, applies the tree and waits until both daemons are ready.
    pub(super) fn start(settings: &OverheadSettings) -> io::Result<Self> {
        fs::create_dir_all(&settings.work)?;
        let mut platform = start_process(settings, "standin-platform", "platform", &[])?;
        let platform_address = platform.read_address("listening")?;
        let control = ControlClient::new(platform.read_address("control")?);
        // Each prompt is sent on all routes in turn. Without prefill time, the engine's prefix
        // cache can't make the later calls faster.
        let latency_engine = start_engine(settings, "alone", &["--prefill-us", "0"])?;
        let relay_engines: io::Result<Vec<_>> = (0..RELAY_ENGINES)
            .map(|number| start_relay_engine(settings, &format!("busy-{number}")))
            .collect();
        let relay_engines = relay_engines?;
        let daemons = start_daemons(settings, platform_address)?;
        let bench = Self { _platform: platform, latency_engine, relay_engines, daemons };
        bench.publish_instances(&control)?;
        bench.apply_tree(settings, platform_address)?;
        bench.wait_until_ready()?;
        Ok(bench)
    }

    pub(super) fn latency_engine(&self) -> SocketAddr {
        self.latency_engine.address
    }

    pub(super) fn relay_engines(&self) -> Vec<SocketAddr> {
        self.relay_engines.iter().map(|engine| engine.address).collect()
    }

    /// The callers' address of the daemon that relays streams under load.
    pub(super) fn relaying_daemon(&self) -> SocketAddr {
        self.daemons[0].caller_address
    }

    /// Processor time that the relaying daemon used so far.
    pub(super) fn relaying_processor_time(&self) -> Duration {
        self.daemons[0].process.processor_time().unwrap_or_default()
    }

    /// Time that the relaying daemon waited for a core so far.
    pub(super) fn relaying_core_wait(&self) -> Duration {
        self.daemons[0].process.core_wait().unwrap_or_default()
    }

    /// The callers' addresses of the daemon that owns the latency engine and of the other daemon.
    pub(super) fn latency_routes(&self) -> io::Result<(SocketAddr, SocketAddr)> {
        let [first, second] = [&self.daemons[0], &self.daemons[1]];
        // Right after its start a daemon may not know the other one yet and may consider itself
        // the owner.
        let agreed = poll(READY_TIMEOUT, || {
            let owner = first.find_owner().ok()?;
            (owner == second.find_owner().ok()?).then_some(owner)
        });
        let owner = agreed.ok_or_else(|| {
            io::Error::other("the daemons do not agree on the owner of the latency engine")
        })?;
        if owner == first.peer_address.to_string() {
            Ok((first.caller_address, second.caller_address))
        } else if owner == second.peer_address.to_string() {
            Ok((second.caller_address, first.caller_address))
        } else {
            Err(io::Error::other(format!(
                "the owner of the latency engine, {owner}, is not one of the daemons"
            )))
        }
    }

    /// Sets the instance list that the platform serves.
    fn publish_instances(&self, platform: &ControlClient) -> io::Result<()> {
        let instances: Vec<Value> = self
            .daemons
            .iter()
            .map(|daemon| {
                json!({"role": "router", "address": daemon.peer_address,
                       "operators_address": daemon.operators_address, "availability_zone": "a",
                       "state": "live"})
            })
            .collect();
        platform.send(&json!({"instances": instances}))
    }

    fn apply_tree(&self, settings: &OverheadSettings, platform: SocketAddr) -> io::Result<()> {
        let file = settings.work.join("tree.toml");
        fs::write(&file, self.tree_text())?;
        let output = Command::new(settings.binaries.join("coltsfootctl"))
            .args(["--platform", &platform.to_string(), "apply"])
            .arg(&file)
            .stdin(Stdio::null())
            .output()?;
        if output.status.success() {
            return Ok(());
        }
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(io::Error::other(format!("coltsfootctl apply failed: {stderr}")))
    }

    fn tree_text(&self) -> String {
        let mut text = format!(
            "[deployment]\nname = \"overhead\"\nzones = [\"a\"]\n\n\
             [classes]\ntier = 4\nfirst_token = \"940 ms\"\nbetween_tokens = \"34 ms\"\n\
             deadline = \"20 s\"\n\n[customers.caller]\nkeys = [\"{}\"]\n\
             rate = 100000\nburst = 100000\nconcurrency = 100000\n\n",
            content_digest(CALLER_KEY.as_bytes()),
        );
        let pools = [
            (LATENCY_MODEL, std::slice::from_ref(&self.latency_engine)),
            (RELAY_MODEL, self.relay_engines.as_slice()),
        ];
        for (model, engines) in pools {
            text += &format!("[pools.{model}]\nmodel = \"{model}\"\nsilence = \"2 s\"\n\n");
            for (number, engine) in engines.iter().enumerate() {
                let address = engine.address;
                text += &format!(
                    "[pools.{model}.endpoints.e{number}]\naddress = \"{address}\"\nzone = \"a\"\n\
                     slots = {SLOTS}\nslots_max = {SLOTS}\n\n",
                );
            }
        }
        text
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        for daemon in &self.daemons {
            let is_ready = || {
                let answer = blocking_call(daemon.operators_address, "GET", "/readyz", b"").ok()?;
                (answer.status == 200).then_some(())
            };
            poll(READY_TIMEOUT, is_ready)
                .ok_or_else(|| io::Error::other(format!("{} is not ready", daemon.peer_address)))?;
        }
        Ok(())
    }
}

impl DaemonProcess {
    /// Makes a call to the latency engine and returns the owner that this daemon records for it.
    fn find_owner(&self) -> io::Result<String> {
        let mut caller = StreamCaller::connect(self.caller_address)?;
        let answer = caller.call(LATENCY_MODEL, "who owns the endpoint", 2, |_, _| true)?;
        let mut lines = answer.head.lines();
        let id = lines.find_map(|line| line.strip_prefix("coltsfootgate-request-id: "));
        let path = format!("/requests/{}", id.unwrap_or_default());
        let record = poll(RECORD_TIMEOUT, || {
            let answer = blocking_call(self.operators_address, "GET", &path, b"").ok()?;
            serde_json::from_slice::<Value>(&answer.body).ok()
        });
        let owner = record.and_then(|record| record["owner"].as_str().map(str::to_owned));
        owner.ok_or_else(|| io::Error::other(format!("no record with an owner at {path}")))
    }
}

/// Repeats an attempt until it returns a value or the timeout has passed.
fn poll<T>(timeout: Duration, mut attempt: impl FnMut() -> Option<T>) -> Option<T> {
    let deadline = Instant::now() + timeout;
    loop {
        let result = attempt();
        if result.is_some() || Instant::now() > deadline {
            return result;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn log_file(work: &Path, name: &str) -> std::path::PathBuf {
    work.join(format!("{name}.log"))
}

fn start_process(
    settings: &OverheadSettings,
    binary: &str,
    name: &str,
    arguments: &[&str],
) -> io::Result<ManagedProcess> {
    let mut command = Command::new(settings.binaries.join(binary));
    ManagedProcess::start(command.args(arguments), &log_file(&settings.work, name))
}

fn start_engine(
    settings: &OverheadSettings,
    name: &str,
    arguments: &[&str],
) -> io::Result<EngineProcess> {
    let mut process = start_process(settings, "standin-engine", name, arguments)?;
    let address = process.read_address("listening")?;
    Ok(EngineProcess { _process: process, address })
}

/// Starts an engine whose steps take 3 ms, however many sequences run.
fn start_relay_engine(settings: &OverheadSettings, name: &str) -> io::Result<EngineProcess> {
    let batch = SLOTS.to_string();
    let steps = ["--step-base-us", "3000", "--step-sequence-us", "0", "--prefill-us", "0"];
    start_engine(settings, name, &[["--batch", &batch].as_slice(), &steps].concat())
}

fn start_daemons(
    settings: &OverheadSettings,
    platform: SocketAddr,
) -> io::Result<Vec<DaemonProcess>> {
    let addresses = free_addresses(3 * DAEMONS)?;
    let daemons = addresses.chunks_exact(3).map(|addresses| {
        let [caller_address, peer_address, operators_address] =
            [addresses[0], addresses[1], addresses[2]];
        let mut command = Command::new(settings.binaries.join("coltsfootgate"));
        command
            .env("COLTSFOOTGATE_PEER_SECRET", PEER_SECRET)
            .args(["--listen", &caller_address.to_string()])
            .args(["--peer-listen", &peer_address.to_string()])
            .args(["--operators-listen", &operators_address.to_string()])
            .args(["--availability-zone", "a", "--platform", &platform.to_string()])
            .args(["--log-format", "json", "--drain-time", "500 ms"]);
        let log = log_file(&settings.work, &peer_address.to_string());
        let process = ManagedProcess::start(&mut command, &log)?;
        Ok(DaemonProcess { process, caller_address, peer_address, operators_address })
    });
    daemons.collect()
}
