//! Instances of one cluster, each behind a proxy that injects faults into the connections of its
//! peers.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootgate_standins::control::{ControlClient, blocking_call};
use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::proxy::start_proxy;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use coltsfootgate_standins::service::start_plain_service;
use serde_json::{Value, json};

use super::{TestDaemon, put_tree, sample_tree, wait_until};

/// An instance and the proxy in front of its peers' port.
pub struct ProxiedDaemon {
    /// The instance.
    pub daemon: TestDaemon,
    /// The proxy to which its peers connect.
    pub proxy: StandinHandle,
}

impl ProxiedDaemon {
    /// Starts an instance behind a proxy, with additional flags.
    pub fn start(platform: SocketAddr, zone: &str, extra_flags: &[&str]) -> Self {
        let proxy = start_proxy(ANY_PORT, platform).expect("a proxy can be started");
        let daemon = start_behind(&proxy, platform, zone, extra_flags);
        Self { daemon, proxy }
    }

    /// Kills the instance and starts a new one, without its state, behind the same proxy.
    pub fn replace(&mut self, platform: SocketAddr, zone: &str, extra_flags: &[&str]) {
        self.daemon.kill();
        self.daemon = start_behind(&self.proxy, platform, zone, extra_flags);
    }

    /// The id of the instance: the advertised address of its peers' port.
    pub fn id(&self) -> String {
        self.proxy.address.to_string()
    }

    /// The state of a peer according to this instance, if it knows the peer.
    pub fn state_of(&self, peer: &Self) -> Option<String> {
        let answer = blocking_call(self.daemon.ports.operators, "GET", "/status", b"").ok()?;
        let status: Value = serde_json::from_slice(&answer.body).ok()?;
        let peers = status["peers"].as_array()?;
        let found = peers.iter().find(|entry| entry["instance"] == json!(peer.id()))?;
        Some(found["state"].as_str()?.to_owned())
    }

    /// Waits until this instance reports a peer in the given state.
    pub fn wait_state(&self, peer: &Self, state: &str) {
        wait_until(state, || self.state_of(peer).as_deref() == Some(state));
    }

    /// Sends a control command to the proxy.
    pub fn command_proxy(&self, command: Value) {
        self.proxy.control.send(&command).expect("the proxy accepts the command");
    }

    fn entry(&self) -> Value {
        self.daemon.list_entry(self.proxy.address)
    }
}

/// Instances behind proxies that serve one plain service and keep claims in one page.
pub struct ClaimCluster {
    /// The platform.
    pub platform: StandinHandle,
    /// The service.
    pub service: StandinHandle,
    /// The instances, which know each other.
    pub instances: Vec<ProxiedDaemon>,
}

impl ClaimCluster {
    /// Starts so many instances with the sample tree after a change to it.
    pub fn start(instances: usize, change: impl Fn(String) -> String) -> Self {
        let platform = start_platform(ANY_PORT).unwrap();
        let service = start_plain_service(ANY_PORT, Duration::ZERO).unwrap();
        let tree = sample_tree(&[], &[service.address], "")
            .replace("[deployment]\n", "[deployment]\nclaim_pages = 1\n");
        put_tree(platform.address, 1, &change(tree));
        let instances: Vec<_> =
            (0..instances).map(|_| ProxiedDaemon::start(platform.address, "a", &[])).collect();
        let cluster = Self { platform, service, instances };
        list_instances(cluster.platform.control, &cluster.known());
        cluster.wait_all_alive();
        cluster
    }

    /// Waits until all instances are ready and see each other alive.
    pub fn wait_all_alive(&self) {
        wait_all_alive(&self.known());
    }

    /// How often the service executed requests with an idempotency key.
    pub fn executions(&self, key: &str) -> u64 {
        self.service.control.counters().unwrap()["by_key"][key].as_u64().unwrap_or(0)
    }

    fn known(&self) -> Vec<&ProxiedDaemon> {
        self.instances.iter().collect()
    }
}

fn start_behind(
    proxy: &StandinHandle,
    platform: SocketAddr,
    zone: &str,
    extra_flags: &[&str],
) -> TestDaemon {
    let advertised = proxy.address.to_string();
    let mut flags = vec!["--advertise", &advertised, "--platform-timeout", "1 s"];
    flags.extend_from_slice(extra_flags);
    let daemon = TestDaemon::start(platform, zone, &flags);
    let target = json!({"target": daemon.ports.peers});
    proxy.control.send(&target).expect("the proxy accepts the command");
    daemon
}

/// Sets the instance list of a platform.
pub fn list_instances(platform: ControlClient, instances: &[&ProxiedDaemon]) {
    let entries: Vec<_> = instances.iter().map(|instance| instance.entry()).collect();
    platform.send(&json!({"instances": entries})).expect("the platform accepts the list");
}

/// Waits until all instances are ready and see each other alive.
pub fn wait_all_alive(instances: &[&ProxiedDaemon]) {
    for instance in instances {
        instance.daemon.wait_ready();
        for peer in instances.iter().filter(|peer| peer.id() != instance.id()) {
            instance.wait_state(peer, "alive");
        }
    }
}
