//! Starts daemons as processes together with stand-ins of their dependencies, and sends requests to
//! them.

#![allow(dead_code, unused_imports, reason = "each test file uses only some of the helpers")]

mod caller;
mod cluster;
mod daemon;
mod tree;
mod wait;

pub use caller::{TestAnswer, TestCall};
pub use cluster::{ClaimCluster, ProxiedDaemon, list_instances, wait_all_alive};
pub use daemon::{DaemonPorts, TestDaemon};
pub use tree::{SAMPLE_KEY, put_tree, sample_tree};
pub use wait::wait_until;
