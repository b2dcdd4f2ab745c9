//! Instances that know each other, each reached by its peers through a proxy that injects faults.

use std::net::SocketAddr;

use coltsfootgate_standins::control::{ControlClient, blocking_call};
use coltsfootgate_standins::proxy::start_proxy;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use serde_json::{Value, json};

use super::{TestDaemon, eventually};

/// An instance and the proxy before its peers' port.
pub struct LinkedDaemon {
    /// The instance.
    pub daemon: TestDaemon,
    /// What its peers connect to.
    pub proxy: StandinHandle,
}

impl LinkedDaemon {
    /// Starts an instance that its peers reach through a proxy.
    pub fn start(platform: SocketAddr, zone: &str, more: &[&str]) -> Self {
        let proxy = start_proxy(ANY_PORT, platform).expect("a proxy can be started");
        let daemon = start_behind(&proxy, platform, zone, more);
        Self { daemon, proxy }
    }

    /// Kills the instance and starts another one at its peers' address, with nothing kept.
    pub fn replace(&mut self, platform: SocketAddr, zone: &str, more: &[&str]) {
        self.daemon.kill();
        self.daemon = start_behind(&self.proxy, platform, zone, more);
    }

    /// The address by which its peers name it.
    pub fn id(&self) -> String {
        self.proxy.address.to_string()
    }

    /// What it says of a peer.
    pub fn state_of(&self, peer: &Self) -> Option<String> {
        let answer = blocking_call(self.daemon.ports.operators, "GET", "/status", b"").ok()?;
        let status: Value = serde_json::from_slice(&answer.body).ok()?;
        let peers = status["peers"].as_array()?;
        let found = peers.iter().find(|entry| entry["instance"] == json!(peer.id()))?;
        Some(found["state"].as_str()?.to_owned())
    }

    /// Waits until it says this of a peer.
    pub fn wait_state(&self, peer: &Self, state: &str) {
        eventually(state, || self.state_of(peer).as_deref() == Some(state));
    }

    /// Gives an order to its proxy.
    pub fn order_proxy(&self, order: Value) {
        self.proxy.control.send(&order).expect("the proxy takes the order");
    }

    fn entry(&self) -> Value {
        self.daemon.list_entry(self.proxy.address)
    }
}

fn start_behind(
    proxy: &StandinHandle,
    platform: SocketAddr,
    zone: &str,
    more: &[&str],
) -> TestDaemon {
    let advertised = proxy.address.to_string();
    let mut flags = vec!["--advertise", &advertised, "--platform-timeout", "1 s"];
    flags.extend_from_slice(more);
    let daemon = TestDaemon::start(platform, zone, &flags);
    let target = json!({"target": daemon.ports.peers});
    proxy.control.send(&target).expect("the proxy takes the order");
    daemon
}

/// Lists the instances at a platform.
pub fn list_instances(platform: ControlClient, instances: &[&LinkedDaemon]) {
    let entries: Vec<_> = instances.iter().map(|instance| instance.entry()).collect();
    platform.send(&json!({"instances": entries})).expect("the platform takes the list");
}

/// Waits until all instances are ready and hear all others.
pub fn wait_known(instances: &[&LinkedDaemon]) {
    for instance in instances {
        instance.daemon.wait_ready();
        for peer in instances.iter().filter(|peer| peer.id() != instance.id()) {
            instance.wait_state(peer, "alive");
        }
    }
}
