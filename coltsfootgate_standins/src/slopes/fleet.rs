//! Starts a fleet of a given size and measures its cost.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::SlopeSettings;
use super::tree::{MODEL, TreeSize, customer_key};
use crate::control::blocking_call;
use crate::engine::{EngineSettings, start_engine};
use crate::load::{LoadClass, LoadPhase, LoadPlan, LoadTarget};
use crate::measure::process::{ManagedProcess, free_addresses};
use crate::platform::start_platform;
use crate::runner::{ANY_PORT, StandinHandle};
use crate::service::start_plain_service;

const PEER_SECRET: &str = "a secret for measurements only";
const ENGINES: usize = 8;
const SERVICES: usize = 2;
const SERVICE_WORK: Duration = Duration::from_millis(2);
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time until heartbeats and load are steady.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const ZONES: [&str; 3] = ["a", "b", "c"];
const SEED: u64 = 7;

/// The size of a fleet and of its load.
#[derive(Clone, Debug)]
pub(super) struct FleetSize {
    pub(super) instances: usize,
    pub(super) customers: usize,
    /// Endpoints in the tree that receive no requests; no process listens at their addresses.
    pub(super) idle_endpoints: usize,
    /// Changes of the tree per minute.
    pub(super) changes_minute: f64,
    /// Model requests per second.
    pub(super) model_rate: f64,
    /// `max_tokens` of each model request.
    pub(super) max_tokens: u32,
    /// Service requests with an idempotency key per second.
    pub(super) keyed_rate: f64,
}

impl Default for FleetSize {
    fn default() -> Self {
        Self {
            instances: 3,
            customers: 10,
            idle_endpoints: 0,
            changes_minute: 0.0,
            model_rate: 0.0,
            max_tokens: 64,
            keyed_rate: 0.0,
        }
    }
}

/// The cost of a fleet; means and maxima are over its instances.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetCost {
    /// Processor time, in percent of one core.
    cpu_mean: f64,
    cpu_max: f64,
    /// Peak resident memory, in megabytes.
    memory_max: f64,
    /// Bytes exchanged with peers per second.
    bytes_mean: f64,
    bytes_max: f64,
    /// Reads and watches of the store per second, by the whole fleet.
    store_reads: f64,
    /// Writes to the store per second, by the whole fleet.
    store_writes: f64,
    /// Calls for the instance list per second, by the whole fleet.
    lists: f64,
    /// Useful tokens relayed per second, by the whole fleet.
    tokens: f64,
    /// Requests completed per second, by the whole fleet.
    requests: f64,
}

type QuantityReader = fn(&FleetCost) -> f64;

impl FleetCost {
    /// The costs to which a line is fitted, with their printed names.
    pub(super) const QUANTITIES: [(&'static str, QuantityReader); 7] = [
        ("processor % mean", |cost| cost.cpu_mean),
        ("processor % max", |cost| cost.cpu_max),
        ("memory MB max", |cost| cost.memory_max),
        ("peer bytes/s mean", |cost| cost.bytes_mean),
        ("peer bytes/s max", |cost| cost.bytes_max),
        ("store reads+watches/s", |cost| cost.store_reads),
        ("store writes/s", |cost| cost.store_writes),
    ];

    pub(super) fn print_header() {
        println!(
            "{:>8} {:>9} {:>9} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9}",
            "size",
            "cpu% mean",
            "cpu% max",
            "MB max",
            "B/s mean",
            "B/s max",
            "reads/s",
            "writes/s",
            "lists/s",
            "tokens/s",
            "done/s"
        );
    }

    /// Prints one table row for a value of the varied size.
    pub(super) fn print(&self, value: f64) {
        println!(
            "{value:>8} {:>9.2} {:>9.2} {:>8.1} {:>9.0} {:>9.0} {:>8.1} {:>8.1} {:>8.1} {:>9.0} {:>9.1}",
            self.cpu_mean,
            self.cpu_max,
            self.memory_max,
            self.bytes_mean,
            self.bytes_max,
            self.store_reads,
            self.store_writes,
            self.lists,
            self.tokens,
            self.requests
        );
    }

    /// The size that costs are fitted against: the varied value, or for the series of `max_tokens`
    /// the relayed tokens per second.
    pub(super) fn independent_variable(&self, series: &str, value: f64) -> f64 {
        if series.starts_with("tokens") { self.tokens } else { value }
    }
}

/// A `coltsfootgate` process.
struct FleetInstance {
    process: ManagedProcess,
    caller_address: SocketAddr,
    operators_address: SocketAddr,
    /// The address for peers, which names the instance.
    peer_address: SocketAddr,
    zone: &'static str,
}

/// A running fleet: instances as processes, stand-ins as threads of this process.
struct MeasuredFleet {
    platform: StandinHandle,
    engines: Vec<StandinHandle>,
    services: Vec<StandinHandle>,
    instances: Vec<FleetInstance>,
}

/// Counters at one time.
struct FleetSample {
    at: Instant,
    /// Processor seconds of each instance.
    processor_seconds: Vec<f64>,
    /// Bytes that each instance exchanged with peers.
    peer_bytes: Vec<f64>,
    /// Useful tokens, summed over the instances.
    goodput: f64,
    /// Completed requests, summed over the instances.
    completed: f64,
    /// Counters of the platform.
    platform: Value,
}

/// Starts a fleet, measures it for the configured time and stops it.
pub(super) fn measure_fleet(settings: &SlopeSettings, size: &FleetSize) -> io::Result<FleetCost> {
    fs::create_dir_all(&settings.work)?;
    let fleet = MeasuredFleet::start(settings, size)?;
    let _load = fleet.start_load(settings, size)?;
    thread::sleep(SETTLE_TIME);
    let before = fleet.sample()?;
    fleet.wait_changing_tree(size, settings.seconds)?;
    let after = fleet.sample()?;
    Ok(fleet.cost(&before, &after))
}

impl MeasuredFleet {
    fn start(settings: &SlopeSettings, size: &FleetSize) -> io::Result<Self> {
        let platform = start_platform(ANY_PORT)?;
        let engine = EngineSettings { seed: SEED, batch: 16, ..EngineSettings::default() };
        let engines = (0..ENGINES).map(|_| start_engine(ANY_PORT, engine));
        let engines = engines.collect::<io::Result<Vec<_>>>()?;
        let services = (0..SERVICES).map(|_| start_plain_service(ANY_PORT, SERVICE_WORK));
        let services = services.collect::<io::Result<Vec<_>>>()?;
        let instances = start_instances(settings, size, platform.address)?;
        let fleet = Self { platform, engines, services, instances };
        fleet.put_tree(size, 1)?;
        fleet.publish_instances()?;
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Writes a version of the tree to the platform.
    fn put_tree(&self, size: &FleetSize, version: u64) -> io::Result<()> {
        let addresses = |standins: &[StandinHandle]| -> Vec<SocketAddr> {
            standins.iter().map(|standin| standin.address).collect()
        };
        let (engines, services) = (addresses(&self.engines), addresses(&self.services));
        let tree = TreeSize {
            customers: size.customers,
            engines: &engines,
            services: &services,
            idle_endpoints: size.idle_endpoints,
            version,
        };
        tree.put(self.platform.address)
    }

    /// Sets the instance list that the platform serves.
    fn publish_instances(&self) -> io::Result<()> {
        let entries = self.instances.iter().map(|instance| {
            json!({
                "role": "router", "address": instance.peer_address, "state": "live",
                "operators_address": instance.operators_address, "availability_zone": instance.zone,
            })
        });
        let entries: Vec<_> = entries.collect();
        self.platform.control.send(&json!({"instances": entries}))
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for instance in &self.instances {
            while blocking_call(instance.operators_address, "GET", "/readyz", b"")
                .map_or(true, |answer| answer.status != 200)
            {
                if Instant::now() > deadline {
                    return Err(io::Error::other(format!(
                        "{} is not ready",
                        instance.peer_address
                    )));
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    /// Starts the load generator, unless the fleet gets no load.
    fn start_load(
        &self,
        settings: &SlopeSettings,
        size: &FleetSize,
    ) -> io::Result<Option<ManagedProcess>> {
        let classes = load_classes(size);
        if classes.is_empty() {
            return Ok(None);
        }
        let seconds = settings.seconds + 2.0 * SETTLE_TIME.as_secs_f64();
        let plan = LoadPlan {
            seed: SEED,
            engine_seed: SEED,
            entries: self.instances.iter().map(|instance| instance.caller_address).collect(),
            phases: vec![LoadPhase { seconds, burst: false }],
            drain_seconds: 1.0,
            classes,
        };
        let file = settings.work.join("plan.json");
        fs::write(&file, serde_json::to_vec(&plan).map_err(io::Error::other)?)?;
        let mut command = Command::new(settings.binaries.join("standin-load"));
        command.arg("--plan").arg(file);
        let mut load = ManagedProcess::start(&mut command, &settings.work.join("load.log"))?;
        load.read_line()?;
        Ok(Some(load))
    }

    /// Waits for the given time and changes the tree at the configured rate meanwhile.
    fn wait_changing_tree(&self, size: &FleetSize, seconds: f64) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        if size.changes_minute > 0.0 {
            let interval = Duration::from_secs_f64(60.0 / size.changes_minute);
            let mut version = 2;
            while Instant::now() + interval < end {
                self.put_tree(size, version)?;
                version += 1;
                thread::sleep(interval);
            }
        }
        thread::sleep(end.saturating_duration_since(Instant::now()));
        Ok(())
    }

    fn sample(&self) -> io::Result<FleetSample> {
        let mut sample = FleetSample {
            at: Instant::now(),
            processor_seconds: Vec::new(),
            peer_bytes: Vec::new(),
            goodput: 0.0,
            completed: 0.0,
            platform: self.platform.control.counters()?,
        };
        for instance in &self.instances {
            let time = instance.process.processor_time().unwrap_or_default();
            sample.processor_seconds.push(time.as_secs_f64());
            let answer = blocking_call(instance.operators_address, "GET", "/metrics", b"")?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            sample.peer_bytes.push(sum_metric(&text, "coltsfootgate_peer_bytes_total", ""));
            sample.goodput += sum_metric(&text, "coltsfootgate_tokens_total", "goodput");
            sample.completed += sum_metric(&text, "coltsfootgate_requests_total", "completed");
        }
        Ok(sample)
    }

    fn cost(&self, before: &FleetSample, after: &FleetSample) -> FleetCost {
        let seconds = (after.at - before.at).as_secs_f64();
        let rates = |before: &[f64], after: &[f64]| -> Vec<f64> {
            before.iter().zip(after).map(|(before, after)| (after - before) / seconds).collect()
        };
        let platform_rate = |name: &str| {
            let counter = |sample: &FleetSample| sample.platform[name].as_f64().unwrap_or(0.0);
            (counter(after) - counter(before)) / seconds
        };
        let processor = rates(&before.processor_seconds, &after.processor_seconds);
        let bytes = rates(&before.peer_bytes, &after.peer_bytes);
        let memory = self.instances.iter().filter_map(|instance| instance.process.peak_memory_mb());
        FleetCost {
            cpu_mean: 100.0 * mean(&processor),
            cpu_max: 100.0 * maximum(processor.iter().copied()),
            memory_max: maximum(memory),
            bytes_mean: mean(&bytes),
            bytes_max: maximum(bytes.iter().copied()),
            store_reads: platform_rate("reads") + platform_rate("watches"),
            store_writes: platform_rate("writes"),
            lists: platform_rate("lists"),
            tokens: (after.goodput - before.goodput) / seconds,
            requests: (after.completed - before.completed) / seconds,
        }
    }
}

fn start_instances(
    settings: &SlopeSettings,
    size: &FleetSize,
    platform: SocketAddr,
) -> io::Result<Vec<FleetInstance>> {
    let addresses = free_addresses(3 * size.instances)?;
    let mut instances = Vec::new();
    for (index, addresses) in addresses.chunks_exact(3).enumerate() {
        let [caller_address, peer_address, operators_address] =
            [addresses[0], addresses[1], addresses[2]];
        let zone = ZONES[index % ZONES.len()];
        let mut command = Command::new(settings.binaries.join("coltsfootgate"));
        command
            .env("COLTSFOOTGATE_PEER_SECRET", PEER_SECRET)
            .args(["--listen", &caller_address.to_string()])
            .args(["--peer-listen", &peer_address.to_string()])
            .args(["--operators-listen", &operators_address.to_string()])
            .args(["--availability-zone", zone, "--log-level", "warn"])
            .args(["--platform", &platform.to_string()]);
        let log = settings.work.join(format!("instance-{index}.log"));
        let process = ManagedProcess::start(&mut command, &log)?;
        instances.push(FleetInstance {
            process,
            caller_address,
            operators_address,
            peer_address,
            zone,
        });
    }
    Ok(instances)
}

/// The classes of load with a rate above zero.
fn load_classes(size: &FleetSize) -> Vec<LoadClass> {
    let keys = (0..size.customers.min(10)).map(customer_key).collect::<Vec<_>>();
    let class = |name: &str, rate: f64, target: LoadTarget| LoadClass {
        name: name.to_owned(),
        tier: 3,
        rate,
        burst_rate: rate,
        target,
        headers: BTreeMap::new(),
        keys: keys.clone(),
        first_token_ms: 940.0,
        between_tokens_ms: 50.0,
        whole_answer_ms: 5000.0,
    };
    let model = LoadTarget::Model {
        model: MODEL.to_owned(),
        stream: true,
        max_tokens: size.max_tokens,
        prompt_words: 20,
        prefixes: 100,
    };
    let service = LoadTarget::Service {
        method: "POST".to_owned(),
        path: "/orders/{n}".to_owned(),
        keyed: true,
        repeats: 0.0,
    };
    let classes = [
        class("classes", size.model_rate, model),
        class("classes.orders", size.keyed_rate, service),
    ];
    classes.into_iter().filter(|class| class.rate > 0.0).collect()
}

/// The sum of a metric's samples whose line contains the given label text.
fn sum_metric(text: &str, name: &str, label: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(name) && line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn maximum(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max)
}
