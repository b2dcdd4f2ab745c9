//! Instances of one cluster, each behind a proxy that injects faults into the connections of its
//! peers.

use std::net::SocketAddr;

use coltsfootgate_standins::control::{ControlClient, blocking_call};
use coltsfootgate_standins::proxy::start_proxy;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use serde_json::{Value, json};

use super::{TestDaemon, wait_until};

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
