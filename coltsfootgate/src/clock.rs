//! Time as the decisions see it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use coltsfootgate_core::ids::Incarnation;

/// The present time for timeouts and measurements; may stand still while the machine sleeps.
pub fn now() -> Instant {
    Instant::now()
}

/// Time since boot on a clock that also counts while the machine is suspended.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

/// Time since the Unix epoch, as the machine's calendar clock has it.
pub fn wall_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The incarnation of a process that starts now.
pub fn new_incarnation() -> Incarnation {
    u64::try_from(wall_time().as_nanos()).unwrap_or(u64::MAX)
}
