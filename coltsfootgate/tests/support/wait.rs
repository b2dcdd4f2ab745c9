//! Polls until a condition holds.

use std::thread;
use std::time::{Duration, Instant};

const WAIT_MAX: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Polls `holds` until it returns true; panics after [`WAIT_MAX`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < WAIT_MAX, "timed out waiting for {what}");
        thread::sleep(POLL_PERIOD);
    }
}
