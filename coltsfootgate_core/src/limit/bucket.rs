//! A token bucket.

use std::time::{Duration, Instant};

/// Longest time that is ever stated until the next token.
const WAIT_MAX: Duration = Duration::from_secs(3600);

/// Fills at a steady rate up to its size.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    size: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// Makes a full bucket; the rate is in tokens per second.
    pub fn new(rate: f64, size: u32, now: Instant) -> Self {
        let size = f64::from(size.max(1));
        Self { rate, size, tokens: size, filled: now }
    }

    /// Changes the rate and the size and keeps what is inside.
    pub fn set(&mut self, rate: f64, size: u32, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.size = f64::from(size.max(1));
        self.tokens = self.tokens.min(self.size);
    }

    /// Takes up to this many whole tokens and returns how many.
    pub fn take(&mut self, wanted: u32, now: Instant) -> u32 {
        self.fill(now);
        let taken = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Puts tokens back that were not used.
    pub fn put_back(&mut self, tokens: u32, now: Instant) {
        self.fill(now);
        self.tokens = (self.tokens + f64::from(tokens)).min(self.size);
    }

    /// Time until there is a whole token.
    pub fn until_next(&mut self, now: Instant) -> Duration {
        self.fill(now);
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(WAIT_MAX).min(WAIT_MAX)
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(self.size);
        self.filled = self.filled.max(now);
    }
}
