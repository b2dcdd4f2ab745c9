//! Limits that endpoints set on the rate of requests from all callers together.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::EndpointId;
use crate::limit::TokenBucket;

/// Lowest rate in requests a second: an endpoint that accepts none still gets a request now and then,
/// since only its answers show when its limit ends.
pub const LIMIT_RATE_MIN: f64 = 0.25;
/// Time for which unused requests accumulate.
const BURST_TIME: Duration = Duration::from_millis(500);
/// An answer without a limit ends it only if its request was sent this long after the last answer
/// with one; allows for the delay with which instances learn of each other's answers.
const ORDER_MARGIN: Duration = Duration::from_secs(1);
/// How long an entry instance holds back requests for a limit that no answer to it has confirmed since.
const RELIED_ON_FOR: Duration = Duration::from_secs(10);
/// How long it tells new owners of such a limit, which the first answer ends if it is out of date.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// What the head of an endpoint's answer states about the rate at which it accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// It accepts requests without a limit on their rate.
    #[default]
    Unlimited,
    /// It accepts this many requests a second from all callers together.
    Limited(f64),
    /// It states a limit that is not a number of requests a second.
    Malformed,
}

impl LimitNotice {
    /// Parses the text of a header; `None` if the answer has none.
    pub fn parse(text: Option<&[u8]>) -> Self {
        let Some(text) = text else { return Self::Unlimited };
        let rate = std::str::from_utf8(text).ok().and_then(|text| text.trim().parse::<f64>().ok());
        match rate.filter(|rate| rate.is_finite() && *rate >= 0.0) {
            Some(rate) => Self::Limited(rate),
            None => Self::Malformed,
        }
    }

    /// The limit in requests a second, if it states one.
    pub fn rate(self) -> Option<f64> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unlimited | Self::Malformed => None,
        }
    }

    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unlimited => "unlimited",
            Self::Limited(_) => "limited",
            Self::Malformed => "malformed",
        }
    }
}

/// What the answer to one request stated about the limit of its endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitStatement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What the answer stated.
    pub notice: LimitNotice,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the head of the answer arrived.
    pub answered_at: Instant,
}

/// Paces the requests to one endpoint while its answers state a limit.
#[derive(Clone, Debug)]
pub struct EndpointLimiter {
    /// Number of instances among which the limit is divided.
    sharers: u32,
    limit: Option<StatedLimit>,
    /// When the latest request was sent whose answer ended a limit.
    ended_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct StatedLimit {
    /// Requests a second from all callers together, as stated.
    rate: f64,
    bucket: TokenBucket,
    /// When the last answer with a limit was observed.
    stated_at: Instant,
}

impl EndpointLimiter {
    /// Creates the limiter of an endpoint without a limit.
    ///
    /// A limit will be divided evenly among `sharers` instances.
    pub fn new(sharers: u32) -> Self {
        Self { sharers, limit: None, ended_at: None }
    }

    /// Changes the number of instances among which the limit is divided; takes effect with the next
    /// answer that states the limit.
    pub fn set_sharers(&mut self, sharers: u32) {
        self.sharers = sharers;
    }

    /// Applies what an answer stated; returns whether the limit changed.
    ///
    /// Answers may be observed in another order than the endpoint sent them. A new limit allows no
    /// request at once: others may have used it up already.
    pub fn observe(&mut self, statement: &LimitStatement, now: Instant) -> bool {
        match statement.notice {
            LimitNotice::Malformed => false,
            LimitNotice::Unlimited => self.end(statement.sent_at),
            LimitNotice::Limited(rate) => self.state(rate, statement.answered_at, now),
        }
    }

    /// Ends the limit, unless an answer to a request that was sent at `sent_at` may be older than the
    /// last one with a limit.
    fn end(&mut self, sent_at: Instant) -> bool {
        let is_later = |limit: &mut StatedLimit| sent_at >= limit.stated_at + ORDER_MARGIN;
        let is_ended = self.limit.take_if(is_later).is_some();
        if is_ended {
            self.ended_at = Some(sent_at);
        }
        is_ended
    }

    fn state(&mut self, stated: f64, answered_at: Instant, now: Instant) -> bool {
        if self.ended_at.is_some_and(|ended| answered_at < ended) {
            return false;
        }
        let rate = shared_rate(stated, self.sharers);
        let Some(limit) = &mut self.limit else {
            let bucket = TokenBucket::empty(rate, burst(rate), now);
            self.limit = Some(StatedLimit { rate: stated, bucket, stated_at: answered_at });
            return true;
        };
        let is_changed = limit.rate != stated;
        limit.stated_at = limit.stated_at.max(answered_at);
        limit.rate = stated;
        limit.bucket.reconfigure(rate, burst(rate), now);
        is_changed
    }

    /// The limit in requests a second from all callers together, if there is one.
    pub fn stated_rate(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| limit.rate)
    }

    /// The requests a second that may be sent from here, if they are limited.
    pub fn rate(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| shared_rate(limit.rate, self.sharers))
    }

    /// The number of requests that may be sent now; `None` if there is no limit.
    pub fn available(&self, now: Instant) -> Option<u32> {
        self.limit.as_ref().map(|limit| limit.bucket.available(now))
    }

    /// Takes one request from the limit; returns whether it may be sent.
    pub fn take(&mut self, now: Instant) -> bool {
        self.limit.as_mut().is_none_or(|limit| limit.bucket.take(1, now) == 1)
    }

    /// Returns a request that was taken and not sent.
    pub fn refund(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.bucket.refund(1, now);
        }
    }

    /// When the next request may be sent, if none may be sent at `now`.
    pub fn next_available(&self, now: Instant) -> Option<Instant> {
        let limit = self.limit.as_ref()?;
        (limit.bucket.available(now) == 0).then(|| limit.bucket.next_available(now))
    }

    /// Whether there is a limit that was stated less than `age` ago.
    fn is_newer(&self, age: Duration, now: Instant) -> bool {
        self.limit.as_ref().is_some_and(|limit| now <= limit.stated_at + age)
    }
}

/// The limits that an entry instance observed in answers to its own requests.
///
/// They hold for requests that no owner paced: an owner that is new does not know them yet.
#[derive(Clone, Debug)]
pub struct LimitBook {
    sharers: u32,
    endpoints: HashMap<EndpointId, EndpointLimiter>,
}

impl LimitBook {
    /// Creates the book of an instance that knows no other one.
    pub fn new() -> Self {
        Self { sharers: 1, endpoints: HashMap::new() }
    }

    /// Divides the limits evenly among this number of instances.
    pub fn set_instances(&mut self, instances: usize) {
        self.sharers = instances.max(1) as u32;
        for limiter in self.endpoints.values_mut() {
            limiter.set_sharers(self.sharers);
        }
    }

    /// Applies what an answer stated; returns whether the endpoint had or has a limit.
    pub fn observe(&mut self, statement: &LimitStatement, now: Instant) -> bool {
        let LimitStatement { endpoint, notice, .. } = statement;
        if notice.rate().is_none() && !self.endpoints.contains_key(endpoint) {
            return false;
        }
        let sharers = self.sharers;
        let limiter = self.endpoints.entry(endpoint.clone());
        let limiter = limiter.or_insert_with(|| EndpointLimiter::new(sharers));
        limiter.observe(statement, now);
        self.endpoints.retain(|_, limiter| limiter.is_newer(KEPT_FOR, now));
        true
    }

    /// Whether a request that no owner paced may be sent to an endpoint; counts it if so.
    pub fn admit(&mut self, endpoint: &EndpointId, now: Instant) -> bool {
        let Some(limiter) = self.endpoints.get_mut(endpoint) else { return true };
        !limiter.is_newer(RELIED_ON_FOR, now) || limiter.take(now)
    }

    /// The limits known here, for an owner that may not know them.
    pub fn known(&self, now: Instant) -> Vec<LimitStatement> {
        let known = self.endpoints.iter();
        let known = known.filter(|(_, limiter)| limiter.is_newer(KEPT_FOR, now));
        let statement = |(endpoint, limiter): (&EndpointId, &EndpointLimiter)| {
            let StatedLimit { rate, stated_at, .. } = limiter.limit.as_ref()?;
            Some(LimitStatement {
                endpoint: endpoint.clone(),
                notice: LimitNotice::Limited(*rate),
                sent_at: *stated_at,
                answered_at: *stated_at,
            })
        };
        known.filter_map(statement).collect()
    }
}

impl Default for LimitBook {
    fn default() -> Self {
        Self::new()
    }
}

fn shared_rate(stated: f64, sharers: u32) -> f64 {
    stated.max(LIMIT_RATE_MIN) / f64::from(sharers.max(1))
}

fn burst(rate: f64) -> u32 {
    (rate * BURST_TIME.as_secs_f64()).ceil() as u32
}
