//! Estimates of answer lengths and service times from what was seen.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::ClassId;

/// Buckets for each doubling of a length.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets; the last one starts above 60,000 tokens.
const BUCKET_COUNT: usize = 66;
/// Samples after which all counts are halved, so that old ones fade.
const SAMPLES_MAX: u32 = 512;
/// Weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// A running histogram of answer lengths with buckets that grow by a constant ratio.
#[derive(Clone, Debug)]
pub struct LengthHistogram {
    counts: [u32; BUCKET_COUNT],
    total: u32,
}

impl Default for LengthHistogram {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT], total: 0 }
    }
}

impl LengthHistogram {
    /// Notes the length of a whole answer in tokens.
    pub fn note(&mut self, tokens: u32) {
        self.counts[bucket_of(tokens)] += 1;
        self.total += 1;
        if self.total >= SAMPLES_MAX {
            self.fade();
        }
    }

    /// The length that this share of answers, 0 to 1, does not exceed; none without samples.
    pub fn quantile(&self, share: f64) -> Option<u32> {
        if self.total == 0 {
            return None;
        }
        let wanted = share * f64::from(self.total);
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += count;
            f64::from(seen) >= wanted && seen > 0
        });
        Some(upper_bound(bucket.unwrap_or(BUCKET_COUNT - 1)))
    }

    fn fade(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket_of(tokens: u32) -> usize {
    let position = f64::from(tokens.max(1)).log2() * BUCKETS_PER_DOUBLING;
    (position.ceil() as usize).min(BUCKET_COUNT - 1)
}

fn upper_bound(bucket: usize) -> u32 {
    (bucket as f64 / BUCKETS_PER_DOUBLING).exp2().floor() as u32
}

/// Answer lengths by class, for one model or service.
#[derive(Clone, Debug, Default)]
pub struct AnswerEstimate {
    classes: HashMap<ClassId, LengthHistogram>,
}

impl AnswerEstimate {
    /// Notes the length of a whole answer in tokens.
    pub fn note(&mut self, class: &ClassId, tokens: u32) {
        match self.classes.get_mut(class) {
            Some(histogram) => histogram.note(tokens),
            None => self.classes.entry(class.clone()).or_default().note(tokens),
        }
    }

    /// The length in tokens that this share of the class's answers, 0 to 1, does not exceed.
    ///
    /// The fallback is returned for a class of which no answer was seen yet.
    pub fn tokens(&self, class: &ClassId, share: f64, fallback: u32) -> u32 {
        let histogram = self.classes.get(class);
        histogram.and_then(|histogram| histogram.quantile(share)).unwrap_or(fallback)
    }
}

/// A running mean of the time for which a slot is held.
#[derive(Clone, Debug, Default)]
pub struct ServiceEstimate {
    mean: Option<f64>,
}

impl ServiceEstimate {
    /// Notes for how long a slot was held.
    pub fn note(&mut self, held: Duration) {
        let sample = held.as_secs_f64();
        let mean = self.mean.unwrap_or(sample);
        self.mean = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
    }

    /// Expected time between two grants while this many slots are taken; zero if unknown.
    pub fn between_grants(&self, slots: u32) -> Duration {
        let mean = self.mean.unwrap_or(0.0);
        Duration::from_secs_f64(mean / f64::from(slots.max(1)))
    }
}
