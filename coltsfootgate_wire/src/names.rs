//! Validation of names, numbers and times received from a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::ids::InstanceId;

use crate::error::WireError;

/// Maximum length of names, such as those of pools and zones, in bytes.
const NAME_BYTES_MAX: usize = 512;
/// Number of hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;
/// Longest duration in a message.
const TIME_MAX: Duration = Duration::from_secs(24 * 3600);

/// A message and the local time to which the durations in its encoded form are relative.
pub(crate) struct TimedMessage<T> {
    pub(crate) message: T,
    pub(crate) now: Instant,
}

pub(crate) fn check_name(name: Arc<str>, field: &'static str) -> Result<Arc<str>, WireError> {
    if name.len() > NAME_BYTES_MAX || name.bytes().any(|byte| byte.is_ascii_control()) {
        return Err(WireError::WrongValue(field));
    }
    Ok(name)
}

pub(crate) fn check_instance(id: Arc<str>) -> Result<InstanceId, WireError> {
    match id.parse::<SocketAddr>() {
        Ok(_) => Ok(id),
        Err(_) => Err(WireError::WrongValue("instance")),
    }
}

pub(crate) fn check_digest(digest: Arc<str>) -> Result<Arc<str>, WireError> {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if digest.len() != DIGEST_DIGITS || !digest.bytes().all(is_digit) {
        return Err(WireError::WrongValue("digest"));
    }
    Ok(digest)
}

/// Accepts finite numbers that are not negative.
pub(crate) fn check_non_negative(number: f64, field: &'static str) -> Result<f64, WireError> {
    if number.is_finite() && number >= 0.0 {
        return Ok(number);
    }
    Err(WireError::WrongValue(field))
}

/// Converts a duration to microseconds, limited to [`TIME_MAX`].
pub(crate) fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.min(TIME_MAX).as_micros()).unwrap_or(u64::MAX)
}

/// Converts microseconds to a duration; fails above [`TIME_MAX`].
pub(crate) fn from_micros(micros: u64) -> Result<Duration, WireError> {
    let time = Duration::from_micros(micros);
    if time > TIME_MAX {
        return Err(WireError::WrongValue("time"));
    }
    Ok(time)
}

/// The time until a deadline in microseconds, sent because clocks of two instances may differ.
pub(crate) fn micros_until(deadline: Instant, now: Instant) -> u64 {
    to_micros(deadline.saturating_duration_since(now))
}

/// The time since a moment in microseconds, sent because clocks of two instances may differ.
pub(crate) fn micros_since(time: Instant, now: Instant) -> u64 {
    to_micros(now.saturating_duration_since(time))
}

/// The moment that many microseconds ago; fails above [`TIME_MAX`].
pub(crate) fn time_before(now: Instant, micros: u64) -> Result<Instant, WireError> {
    Ok(now.checked_sub(from_micros(micros)?).unwrap_or(now))
}
