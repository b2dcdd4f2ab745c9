//! Endpoints that turned a request away and asked to be left alone for a time.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::EndpointId;

/// Longest time for which an endpoint is left alone, whatever it asks for.
pub const REST_TIME_MAX: Duration = Duration::from_secs(3600);

/// Parses the time in seconds that an endpoint asks for; `None` if the text is not one.
pub fn parse_rest_time(text: &[u8]) -> Option<Duration> {
    let seconds: f64 = std::str::from_utf8(text).ok()?.trim().parse().ok()?;
    let is_time = seconds.is_finite() && seconds >= 0.0;
    is_time.then(|| Duration::from_secs_f64(seconds.min(REST_TIME_MAX.as_secs_f64())))
}

/// The endpoints that rest, with the time until which they get no requests from this instance.
#[derive(Clone, Debug, Default)]
pub struct RestBook {
    until: HashMap<EndpointId, Instant>,
    /// The latest of these times.
    latest: Option<Instant>,
}

impl RestBook {
    /// Records that an endpoint asked for a time without requests; a later end replaces an earlier one.
    pub fn record(&mut self, endpoint: EndpointId, time: Duration, now: Instant) {
        self.until.retain(|_, until| *until > now);
        let until = self.until.entry(endpoint).or_insert(now);
        *until = (now + time).max(*until);
        self.latest = self.latest.max(Some(*until));
    }

    /// The time that an endpoint still rests; `None` if it does not.
    pub fn remaining(&self, endpoint: &EndpointId, now: Instant) -> Option<Duration> {
        let until = self.until.get(endpoint).filter(|until| **until > now)?;
        Some(until.duration_since(now))
    }

    /// Whether any endpoint rests.
    pub fn is_any_resting(&self, now: Instant) -> bool {
        self.latest.is_some_and(|latest| latest > now)
    }
}
