//! Estimates of answer lengths and service times from completed requests.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::ClassId;

/// Histogram buckets per doubling of the length.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of histogram buckets; the last one starts above 60,000 tokens.
const BUCKET_COUNT: usize = 66;
/// Number of samples at which all counts are halved, so that recent answers weigh more.
const SAMPLES_MAX: u32 = 512;
/// Weight of a new sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the average of answer times.
const ANSWER_TIME_WEIGHT: f64 = 0.2;
/// Age of the last sample from which an answer time is forgotten.
const ANSWER_TIME_AGE_MAX: Duration = Duration::from_secs(1);

/// A decaying histogram of answer lengths with exponentially growing buckets.
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
    /// Records the length of a complete answer, in tokens.
    pub fn record(&mut self, tokens: u32) {
        self.counts[bucket_index(tokens)] += 1;
        self.total += 1;
        if self.total >= SAMPLES_MAX {
            self.decay();
        }
    }

    /// The length in tokens that this share (0 to 1) of answers does not exceed.
    ///
    /// Returns `None` without samples.
    pub fn quantile(&self, share: f64) -> Option<u32> {
        if self.total == 0 {
            return None;
        }
        let target = share * f64::from(self.total);
        let mut cumulative = 0;
        let bucket = self.counts.iter().position(|count| {
            cumulative += count;
            f64::from(cumulative) >= target && cumulative > 0
        });
        Some(upper_bound(bucket.unwrap_or(BUCKET_COUNT - 1)))
    }

    fn decay(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket_index(tokens: u32) -> usize {
    let position = f64::from(tokens.max(1)).log2() * BUCKETS_PER_DOUBLING;
    (position.ceil() as usize).min(BUCKET_COUNT - 1)
}

fn upper_bound(bucket: usize) -> u32 {
    (bucket as f64 / BUCKETS_PER_DOUBLING).exp2().floor() as u32
}

/// Histograms of answer lengths by class, for one model or service.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimator {
    classes: HashMap<ClassId, LengthHistogram>,
}

impl LengthEstimator {
    /// Records the length of a complete answer, in tokens.
    pub fn record(&mut self, class: &ClassId, tokens: u32) {
        match self.classes.get_mut(class) {
            Some(histogram) => histogram.record(tokens),
            None => self.classes.entry(class.clone()).or_default().record(tokens),
        }
    }

    /// The length in tokens that this share (0 to 1) of the class's answers does not exceed.
    ///
    /// Returns the fallback for a class without recorded answers.
    pub fn tokens(&self, class: &ClassId, share: f64, fallback: u32) -> u32 {
        let histogram = self.classes.get(class);
        histogram.and_then(|histogram| histogram.quantile(share)).unwrap_or(fallback)
    }
}

/// An exponential moving average of the time for which a slot is occupied.
#[derive(Clone, Debug, Default)]
pub struct ServiceEstimator {
    mean: Option<f64>,
}

impl ServiceEstimator {
    /// Records for how long a slot was occupied.
    pub fn record(&mut self, occupied: Duration) {
        let sample = occupied.as_secs_f64();
        let mean = self.mean.unwrap_or(sample);
        self.mean = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
    }

    /// Mean time for which a slot was occupied, if measured.
    pub fn mean(&self) -> Option<Duration> {
        self.mean.map(Duration::from_secs_f64)
    }
}

/// An exponential moving average of the times of answers, which is forgotten if no answer comes.
///
/// Requests are refused because of this time. Without its end, a wrong one that refuses all requests would
/// never be corrected.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTime {
    /// In seconds, with the time of the last sample.
    mean: Option<(f64, Instant)>,
}

impl AnswerTime {
    /// Records the time of an answer that has ended.
    pub fn record(&mut self, time: Duration, now: Instant) {
        let sample = time.as_secs_f64();
        let mean = self.get(now).map_or(sample, |mean| mean.as_secs_f64());
        self.mean = Some((mean + (sample - mean) * ANSWER_TIME_WEIGHT, now));
    }

    /// The average, unless it is unknown or forgotten.
    pub fn get(&self, now: Instant) -> Option<Duration> {
        let (mean, at) = self.mean?;
        (now < at + ANSWER_TIME_AGE_MAX).then(|| Duration::from_secs_f64(mean))
    }
}
