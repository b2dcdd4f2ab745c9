//! Token bucket for rate limits.

use std::time::{Duration, Instant};

/// Upper bound of the reported time until the next token.
const WAIT_MAX: Duration = Duration::from_secs(3600);

/// Added to the time of the next token, at which rounding could otherwise leave it incomplete.
const ROUNDING_MARGIN: Duration = Duration::from_millis(1);

/// A token bucket that fills at a constant rate up to its capacity.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket; the rate is in tokens per second, the capacity at least one token.
    pub fn new(rate: f64, capacity: u32, now: Instant) -> Self {
        let capacity = f64::from(capacity.max(1));
        Self { rate, capacity, tokens: capacity, filled_at: now }
    }

    /// Creates an empty bucket.
    pub fn empty(rate: f64, capacity: u32, now: Instant) -> Self {
        Self { tokens: 0.0, ..Self::new(rate, capacity, now) }
    }

    /// Changes the rate, in tokens per second, and the capacity; the tokens in the bucket stay, up
    /// to the new capacity.
    pub fn reconfigure(&mut self, rate: f64, capacity: u32, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.capacity = f64::from(capacity.max(1));
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Takes up to `wanted` whole tokens and returns the number taken.
    pub fn take(&mut self, wanted: u32, now: Instant) -> u32 {
        self.fill(now);
        let taken = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Returns unused tokens to the bucket, up to its capacity.
    pub fn refund(&mut self, tokens: u32, now: Instant) {
        self.fill(now);
        self.tokens = (self.tokens + f64::from(tokens)).min(self.capacity);
    }

    /// Returns the time until the bucket holds a whole token.
    pub fn until_next(&mut self, now: Instant) -> Duration {
        self.fill(now);
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(WAIT_MAX).min(WAIT_MAX)
    }

    /// Returns the number of whole tokens in the bucket.
    pub fn available(&self, now: Instant) -> u32 {
        self.tokens_at(now) as u32
    }

    /// Returns when the bucket holds a whole token, rounded up.
    pub fn next_available(&self, now: Instant) -> Instant {
        now + self.clone().until_next(now) + ROUNDING_MARGIN
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.filled_at);
        (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.capacity)
    }

    fn fill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.filled_at = self.filled_at.max(now);
    }
}
