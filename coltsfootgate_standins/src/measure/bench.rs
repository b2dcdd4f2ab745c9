//! Starts, controls and stops the processes of a measurement.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_config::ConfigTree;
use coltsfootgate_core::settings::RouteTarget;
use serde_json::{Value, json};

use super::decisions::{self, DecisionLine};
use super::outcome::{DaemonUsage, EngineTotals, ServiceExecutions};
use super::process::{ManagedProcess, free_addresses};
use super::{MeasureFault, MeasureSettings, engine_fault_request};
use crate::control::{ControlClient, blocking_call};
use crate::engine::EngineSettings;
use crate::load::LoadPlan;

const DAEMONS: usize = 9;
const PEER_SECRET: &str = "a secret for measurements only";
/// Added to the seed of the load, so that the engines draw their answers independently of it.
const ENGINE_SEED_OFFSET: u64 = 1000;
/// Time that a service takes to execute a request, in milliseconds.
const SERVICE_WORK_MS: &str = "5";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// How long the load generator waits for open calls after the last arrival.
const DRAIN_SECONDS: f64 = 40.0;

/// A process that stands in for one endpoint of the tree.
struct EndpointProcess {
    /// Dropping it kills the process.
    _process: ManagedProcess,
    control: ControlClient,
    address: SocketAddr,
    zone: Arc<str>,
    is_engine: bool,
}

/// A `coltsfootgate` process.
struct DaemonProcess {
    process: ManagedProcess,
    caller_address: SocketAddr,
    operators_address: SocketAddr,
    zone: Arc<str>,
    log: PathBuf,
}

/// All processes of a measurement.
pub(super) struct MeasureBench {
    platform: ManagedProcess,
    platform_control: ControlClient,
    endpoints: Vec<EndpointProcess>,
    daemons: Vec<DaemonProcess>,
    tree: ConfigTree,
}

impl MeasureBench {
    /// Starts all processes, applies the sample tree and waits until every daemon is ready.
    pub(super) fn start(settings: &MeasureSettings) -> io::Result<Self> {
        // Decisions in the logs of an earlier run would be counted for this one.
        if settings.work.exists() {
            fs::remove_dir_all(&settings.work)?;
        }
        fs::create_dir_all(&settings.work)?;
        let sample = settings.samples.join(format!("{}.toml", settings.profile.name()));
        let mut text = fs::read_to_string(&sample)?;
        let mut platform = start_standin(settings, "platform", "platform", &[])?;
        let platform_address = platform.read_address("listening")?;
        let platform_control = ControlClient::new(platform.read_address("control")?);
        let tree = parse_tree(&text)?;
        let endpoints = start_endpoints(settings, &tree, &mut text)?;
        let strategy = format!("strategy = \"{}\"", settings.strategy);
        text = text.replace("strategy = \"cooperative\"", &strategy);
        let tree = parse_tree(&text)?;
        let tree_file = settings.work.join("tree.toml");
        fs::write(&tree_file, text)?;
        let daemons = start_daemons(settings, &tree, platform_address)?;
        let bench = Self { platform, platform_control, endpoints, daemons, tree };
        bench.publish_instances()?;
        bench.apply_tree(settings, &tree_file, platform_address)?;
        bench.wait_until_ready()?;
        Ok(bench)
    }

    /// Sets the instance list that the platform serves.
    fn publish_instances(&self) -> io::Result<()> {
        let daemons = self.daemons.iter().map(|daemon| {
            let (operators, zone) = (daemon.operators_address, &daemon.zone);
            let address = daemon.instance_name();
            json!({"role": "router", "address": address, "operators_address": operators,
                   "availability_zone": zone, "state": "live"})
        });
        let endpoints = self.endpoints.iter().map(|endpoint| {
            let (address, zone) = (endpoint.address, &endpoint.zone);
            json!({"role": "endpoint", "address": address, "availability_zone": zone,
                   "state": "live"})
        });
        let instances: Vec<_> = daemons.chain(endpoints).collect();
        self.platform_control.send(&json!({"instances": instances}))
    }

    fn apply_tree(
        &self,
        settings: &MeasureSettings,
        tree_file: &Path,
        platform: SocketAddr,
    ) -> io::Result<()> {
        let output = Command::new(settings.binaries.join("coltsfootctl"))
            .args(["--platform", &platform.to_string(), "apply"])
            .arg(tree_file)
            .stdin(Stdio::null())
            .output()?;
        if output.status.success() {
            return Ok(());
        }
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        Err(io::Error::other(format!("coltsfootctl apply failed: {stderr}{stdout}")))
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            let is_ready = || {
                blocking_call(daemon.operators_address, "GET", "/readyz", b"")
                    .is_ok_and(|response| response.status == 200)
            };
            while !is_ready() {
                if Instant::now() > deadline {
                    return Err(io::Error::other(format!(
                        "{} is not ready",
                        daemon.instance_name()
                    )));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Starts the load generator and returns as soon as it starts to send requests.
    pub(super) fn start_load(&self, settings: &MeasureSettings) -> io::Result<ManagedProcess> {
        let engines = self.endpoints.iter().filter(|endpoint| endpoint.is_engine).count();
        let capacity = EngineSettings::default().full_rate() * engines as f64;
        let engine_seed = settings.seed + ENGINE_SEED_OFFSET;
        let plan = LoadPlan {
            seed: settings.seed,
            engine_seed,
            entries: self.daemons.iter().map(|daemon| daemon.caller_address).collect(),
            phases: settings.phases(),
            drain_seconds: DRAIN_SECONDS,
            classes: settings.profile.classes(&self.tree, capacity, engine_seed),
        };
        let plan_file = settings.work.join("plan.json");
        fs::write(&plan_file, serde_json::to_vec(&plan).map_err(io::Error::other)?)?;
        let plan_file = plan_file.display().to_string();
        let mut load = start_standin(settings, "load", "load", &["--plan", &plan_file])?;
        load.read_line()?;
        Ok(load)
    }

    /// Starts a fault.
    pub(super) fn inject_fault(&mut self, fault: MeasureFault) -> io::Result<()> {
        match fault {
            MeasureFault::None => Ok(()),
            MeasureFault::Straggler | MeasureFault::Crash => {
                self.endpoints[0].control.send(&engine_fault_request(fault, true))
            }
            MeasureFault::StoreOutage => self.platform_control.send(&json!({"outage": "hang"})),
            MeasureFault::InstanceLoss => {
                if let Some(daemon) = self.daemons.last_mut() {
                    daemon.process.kill();
                }
                Ok(())
            }
            MeasureFault::ZoneLoss => self.fail_zone(),
        }
    }

    /// Ends a fault from which the faulty process can recover; killed processes stay down.
    pub(super) fn clear_fault(&mut self, fault: MeasureFault) -> io::Result<()> {
        match fault {
            MeasureFault::None | MeasureFault::InstanceLoss | MeasureFault::ZoneLoss => Ok(()),
            MeasureFault::Straggler | MeasureFault::Crash => {
                self.endpoints[0].control.send(&engine_fault_request(fault, false))
            }
            MeasureFault::StoreOutage => self.platform_control.send(&json!({"outage": "none"})),
        }
    }

    /// Kills the daemons of one zone and crashes its endpoints.
    fn fail_zone(&mut self) -> io::Result<()> {
        let Some(zone) = self.daemons.last().map(|daemon| daemon.zone.clone()) else {
            return Ok(());
        };
        for daemon in self.daemons.iter_mut().filter(|daemon| daemon.zone == zone) {
            daemon.process.kill();
        }
        let mut failed = self.endpoints.iter().filter(|endpoint| endpoint.zone == zone);
        failed.try_for_each(|endpoint| endpoint.control.send(&json!({"crash": true})))
    }

    /// Tokens that all engines generated so far, and their capacity over the same time.
    ///
    /// An engine that doesn't answer is left out.
    pub(super) fn engine_totals(&self) -> EngineTotals {
        let mut totals = EngineTotals::default();
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.is_engine) {
            if let Ok(counters) = endpoint.control.counters() {
                totals.add(&counters);
            }
        }
        totals
    }

    /// How often the endpoints executed each key, request target and prompt.
    pub(super) fn executions(&self) -> ServiceExecutions {
        let mut executions = ServiceExecutions::default();
        for endpoint in &self.endpoints {
            if let Ok(counters) = endpoint.control.counters() {
                executions.add(&counters);
            }
        }
        executions
    }

    /// Resource usage so far of all daemons that run.
    pub(super) fn daemon_usage(&self) -> DaemonUsage {
        let mut message_bytes_total = BTreeMap::new();
        let usages = self.daemons.iter().enumerate().filter_map(|(index, daemon)| {
            let processor_time = daemon.process.processor_time()?;
            let memory_mb = daemon.process.peak_memory_mb()?;
            let metrics = metrics_text(daemon.operators_address).unwrap_or_default();
            let peer_bytes = metric_sum(&metrics, "coltsfootgate_peer_bytes_total");
            for (kind, bytes) in message_bytes(&metrics) {
                *message_bytes_total.entry(kind).or_default() += bytes;
            }
            Some((index, (processor_time, memory_mb, peer_bytes)))
        });
        let daemons = usages.collect();
        DaemonUsage { at: Instant::now(), daemons, message_bytes: message_bytes_total }
    }

    /// Stops the daemons with SIGTERM, reads their decision logs and kills the platform.
    pub(super) fn stop_daemons(&mut self) -> Vec<DecisionLine> {
        let mut decisions = Vec::new();
        for daemon in &mut self.daemons {
            daemon.process.terminate(STOP_TIMEOUT);
            decisions.extend(decisions::read_decisions(&daemon.log));
        }
        self.platform.kill();
        decisions
    }
}

impl DaemonProcess {
    /// The address for peers, which names the instance and its log file.
    fn instance_name(&self) -> &str {
        self.log.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default()
    }
}

fn parse_tree(text: &str) -> io::Result<ConfigTree> {
    ConfigTree::parse("sample", text).map_err(|errors| io::Error::other(errors.to_string()))
}

/// Starts the program `standin-NAME`, with standard error in `LOG.log`.
fn start_standin(
    settings: &MeasureSettings,
    name: &str,
    log: &str,
    arguments: &[&str],
) -> io::Result<ManagedProcess> {
    let mut command = Command::new(settings.binaries.join(format!("standin-{name}")));
    ManagedProcess::start(command.args(arguments), &settings.work.join(format!("{log}.log")))
}

/// Starts a stand-in for each endpoint of the tree and replaces the sample's addresses in the text.
///
/// The engines come first in the result.
fn start_endpoints(
    settings: &MeasureSettings,
    tree: &ConfigTree,
    text: &mut String,
) -> io::Result<Vec<EndpointProcess>> {
    let seed = (settings.seed + ENGINE_SEED_OFFSET).to_string();
    let mut endpoints = Vec::new();
    let mut addresses = HashMap::new();
    for pool in tree.pools() {
        let is_engine = matches!(pool.target, RouteTarget::Model(_));
        for endpoint in &pool.endpoints {
            let mut process = if is_engine {
                start_standin(settings, "engine", &endpoint.id, &["--seed", &seed])?
            } else {
                start_standin(settings, "service", &endpoint.id, &["--work-ms", SERVICE_WORK_MS])?
            };
            let address = process.read_address("listening")?;
            let control = ControlClient::new(process.read_address("control")?);
            let zone = endpoint.zone.clone();
            addresses.insert(endpoint.address.clone(), address);
            endpoints.push(EndpointProcess {
                _process: process,
                control,
                address,
                zone,
                is_engine,
            });
        }
    }
    for (old, new) in addresses {
        *text = text.replace(&format!("\"{old}\""), &format!("\"{new}\""));
    }
    endpoints.sort_by_key(|endpoint| !endpoint.is_engine);
    Ok(endpoints)
}

/// Starts the daemons, spread evenly over the zones of the endpoints.
fn start_daemons(
    settings: &MeasureSettings,
    tree: &ConfigTree,
    platform: SocketAddr,
) -> io::Result<Vec<DaemonProcess>> {
    let mut zones: Vec<Arc<str>> = Vec::new();
    for endpoint in tree.pools().flat_map(|pool| &pool.endpoints) {
        if !zones.contains(&endpoint.zone) {
            zones.push(endpoint.zone.clone());
        }
    }
    let addresses = free_addresses(3 * DAEMONS)?;
    let mut daemons = Vec::new();
    for (index, addresses) in addresses.chunks_exact(3).enumerate() {
        let zone = zones[index % zones.len()].clone();
        let [caller_address, peer_address, operators_address] =
            [addresses[0], addresses[1], addresses[2]];
        let log = settings.work.join(format!("{peer_address}.log"));
        let mut command = Command::new(settings.binaries.join("coltsfootgate"));
        command
            .env("COLTSFOOTGATE_PEER_SECRET", PEER_SECRET)
            .args(["--listen", &caller_address.to_string()])
            .args(["--peer-listen", &peer_address.to_string()])
            .args(["--operators-listen", &operators_address.to_string()])
            .args(["--availability-zone", &zone])
            .args(["--platform", &platform.to_string()])
            .args(["--log-format", "json", "--drain-time", "500 ms"]);
        let process = ManagedProcess::start(&mut command, &log)?;
        daemons.push(DaemonProcess { process, caller_address, operators_address, zone, log });
    }
    Ok(daemons)
}

fn metrics_text(operators_address: SocketAddr) -> Option<String> {
    let response = blocking_call(operators_address, "GET", "/metrics", b"").ok()?;
    String::from_utf8(response.body).ok()
}

/// The sum of a metric over all its labels.
fn metric_sum(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Bytes of the messages that an instance sent to its peers, by kind of message.
fn message_bytes(metrics: &str) -> Vec<(String, f64)> {
    let prefix = "coltsfootgate_peer_message_bytes_total{kind=\"";
    let lines = metrics.lines().filter_map(|line| line.strip_prefix(prefix));
    lines
        .filter_map(|line| {
            let (kind, bytes) = line.split_once("\"} ")?;
            Some((kind.to_owned(), bytes.parse().ok()?))
        })
        .collect()
}

/// The value of a numeric counter, or zero if there is none of this name.
pub(super) fn counter_value(counters: &Value, name: &str) -> f64 {
    counters[name].as_f64().unwrap_or(0.0)
}
