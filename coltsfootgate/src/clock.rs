//! The clocks that provide the time for decisions.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use coltsfootgate_core::ids::Incarnation;

/// Monotonic time for timeouts and measurements; may stop while the machine is suspended.
pub fn now() -> Instant {
    Instant::now()
}

/// Time since boot, including time during which the machine was suspended.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

/// Time since the Unix epoch according to the system clock.
pub fn wall_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The incarnation of an instance that starts now.
pub fn new_incarnation() -> Incarnation {
    u64::try_from(wall_time().as_nanos()).unwrap_or(u64::MAX)
}
