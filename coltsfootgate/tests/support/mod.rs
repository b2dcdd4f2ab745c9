//! Starts real daemons beside the stand-ins and calls them as a caller would.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod caller;
mod cluster;
mod daemon;
mod tree;
mod wait;

pub use caller::{TestAnswer, TestCall};
pub use cluster::{LinkedDaemon, list_instances, wait_known};
pub use daemon::{DaemonPorts, TestDaemon};
pub use tree::{SAMPLE_KEY, put_tree, sample_tree};
pub use wait::eventually;
