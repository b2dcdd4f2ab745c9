//! Computes the `Retry-After` delay of a refused request.
//!
//! A burst, or the loss of many endpoints, causes many refusals at one moment. Callers with the
//! same delay would retry together and be refused again; after too short a delay, retries fail.

use std::time::Duration;

use crate::reason::ErrorKind;

/// Minimum delay, within which a few of the requests ahead end.
const DELAY_MIN: Duration = Duration::from_millis(50);
/// Maximum delay; if the queue takes longer, a caller that retries receives a new delay.
const DELAY_MAX: Duration = Duration::from_secs(10);
/// Minimum delay without endpoints or peers that answer, within which a lost one is probed again or a
/// new one is announced.
const NO_ENDPOINT_DELAY_MIN: Duration = Duration::from_millis(500);
/// Maximum jitter, as a share of the delay.
const JITTER: f64 = 0.5;
/// Maximum jitter after the end of a rest, which is known and needs no estimate.
const REST_JITTER_MAX: Duration = Duration::from_secs(1);

/// The delay before a retry, where `queue_time` is the time until the queue ahead is served.
///
/// `random` lies between 0 and 1 and spreads the retries of callers that are refused together.
pub fn retry_after_delay(kind: ErrorKind, queue_time: Duration, random: f64) -> Duration {
    let minimum = match kind {
        ErrorKind::NoEndpoint | ErrorKind::StreamUnknown => NO_ENDPOINT_DELAY_MIN,
        _ => DELAY_MIN,
    };
    // Other instances serve the caller, whatever waits at this one.
    let queue_time = if kind == ErrorKind::InstanceLeaving { Duration::ZERO } else { queue_time };
    let delay = queue_time.max(minimum).mul_f64(1.0 + JITTER * random.clamp(0.0, 1.0));
    delay.min(DELAY_MAX)
}

/// The delay before a retry in a pool whose endpoints all want no requests for the time `rest`.
///
/// `random` lies between 0 and 1, as for [`retry_after_delay`].
pub fn rest_end_delay(rest: Duration, random: f64) -> Duration {
    let jitter = rest.mul_f64(JITTER).min(REST_JITTER_MAX);
    let delay = rest + jitter.mul_f64(random.clamp(0.0, 1.0));
    delay.min(DELAY_MAX)
}
