//! Waiting for something to become true.

use std::thread;
use std::time::{Duration, Instant};

const WAIT_MAX: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Waits until the condition holds and fails the test if it never does.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < WAIT_MAX, "waited in vain for {what}");
        thread::sleep(POLL_PERIOD);
    }
}
