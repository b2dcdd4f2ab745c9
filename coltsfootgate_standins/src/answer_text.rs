//! Deterministic answers of the stand-in engine, which can be verified from the prompt.

use std::fmt::{self, Display, Formatter};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sha2::{Digest, Sha256};

/// `max_tokens` of a request that does not set it.
pub const DEFAULT_MAX_TOKENS: u32 = 1024;

/// Quotient of `max_tokens` and the median answer length.
const MEDIAN_DIVISOR: f64 = 8.0;
/// Standard deviation of the logarithm of the answer length.
const LENGTH_SIGMA: f64 = 0.9;

/// Hash of a prompt; every token of its answer contains the upper half.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptDigest(u64);

impl PromptDigest {
    /// Hashes the text of a prompt.
    pub fn of(prompt: &str) -> Self {
        let digest = Sha256::digest(prompt.as_bytes());
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(prefix))
    }

    /// The token at an index of the answer, from 0.
    pub fn token(self, index: u32) -> String {
        format!("{:08x}.{index} ", self.0 >> 32)
    }

    /// The text of the tokens with indices in `from..to`.
    pub fn text(self, from: u32, to: u32) -> String {
        (from..to).map(|index| self.token(index)).collect()
    }

    /// The length of the answer in tokens, drawn from a log-normal distribution that is clamped to
    /// `max_tokens`.
    pub fn answer_length(self, seed: u64, max_tokens: u32) -> u32 {
        let mut rng = SmallRng::seed_from_u64(self.0 ^ seed.rotate_left(17));
        let median = (f64::from(max_tokens) / MEDIAN_DIVISOR).max(2.0);
        let length = (median.ln() + LENGTH_SIGMA * standard_normal(&mut rng)).exp();
        (length.round() as u32).clamp(1, max_tokens.max(1))
    }
}

impl Display for PromptDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Draws from the standard normal distribution by the Box-Muller transform.
pub fn standard_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
