//! When the caller of a refused request should come back.
//!
//! Load pattern: a burst, or the loss of many endpoints, refuses a crowd at one moment. Told the same
//! time, the crowd comes back as one and is refused again; told too short a time, it comes in vain.

use std::time::Duration;

use crate::reason::ErrorKind;

/// Least time, in which a few requests ahead end.
const SOONEST: Duration = Duration::from_millis(50);
/// Most time; callers with more patience may come back and be told again.
const LATEST: Duration = Duration::from_secs(10);
/// Time in which a lost endpoint is probed again, or the news of another one arrives.
const ENDPOINT_TIME: Duration = Duration::from_millis(500);
/// Part of the time by which callers are spread.
const SPREAD: f64 = 0.5;

/// When to come back, where `drain` is the time until the queue ahead is served.
///
/// `random` is from 0 to 1 and spreads callers that are refused together.
pub fn comeback_time(kind: ErrorKind, drain: Duration, random: f64) -> Duration {
    let least = if kind == ErrorKind::NoEndpoint { ENDPOINT_TIME } else { SOONEST };
    let time = drain.max(least).mul_f64(1.0 + SPREAD * random.clamp(0.0, 1.0));
    time.min(LATEST)
}
