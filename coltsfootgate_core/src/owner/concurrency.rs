//! How many requests an endpoint may run at once, adapted to its time between tokens.

use std::time::Duration;

/// Share of the target below which slots are added.
const HEADROOM: f64 = 0.85;
/// Factor by which slots shrink when the target is missed.
const DECREASE: f64 = 0.9;
/// Share of the stated slots below which an endpoint is never taken.
const LEAST_SHARE: f64 = 0.5;
/// Weight of a new sample in the running mean.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Additive increase and multiplicative decrease of an endpoint's slots.
#[derive(Clone, Debug)]
pub struct AdaptiveSlots {
    slots: f64,
    least: f64,
    most: f64,
    token_time: Option<f64>,
    samples: u32,
    was_saturated: bool,
}

impl AdaptiveSlots {
    /// Starts at the stated slots.
    pub fn new(slots: u32, slots_max: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            least: (slots * LEAST_SHARE).max(1.0),
            most: f64::from(slots_max).max(slots),
            token_time: None,
            samples: 0,
            was_saturated: false,
        }
    }

    /// Takes new bounds over and keeps what was learnt within them.
    pub fn set_bounds(&mut self, slots: u32, slots_max: u32) {
        let fresh = Self::new(slots, slots_max);
        self.least = fresh.least;
        self.most = fresh.most;
        self.slots = self.slots.clamp(self.least, self.most);
    }

    /// Requests that may run at once.
    pub fn limit(&self) -> u32 {
        self.slots as u32
    }

    /// Mean time between tokens, if any was measured.
    pub fn token_time(&self) -> Option<Duration> {
        self.token_time.map(Duration::from_secs_f64)
    }

    /// Notes that every slot is taken, so that more of them would be used.
    pub fn saturated(&mut self) {
        self.was_saturated = true;
    }

    /// Notes the mean time between tokens of one answer against the tightest target.
    pub fn measured(&mut self, between_tokens: Duration, target: Option<Duration>) {
        let sample = between_tokens.as_secs_f64();
        let mean = self.token_time.unwrap_or(sample);
        self.token_time = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
        self.samples += 1;
        if let Some(target) = target
            && f64::from(self.samples) >= self.slots
        {
            self.adapt(target.as_secs_f64());
        }
    }

    /// Notes that the endpoint queued requests itself, so that it has too many.
    pub fn queued_at_endpoint(&mut self) {
        self.slots = (self.slots * DECREASE).max(self.least);
        self.start_round();
    }

    /// Adapts once for each round of as many answers as there are slots.
    fn adapt(&mut self, target: f64) {
        let mean = self.token_time.unwrap_or(target);
        if mean > target {
            self.slots = (self.slots * DECREASE).max(self.least);
        } else if mean < target * HEADROOM && self.was_saturated {
            self.slots = (self.slots + 1.0).min(self.most);
        }
        self.start_round();
    }

    fn start_round(&mut self) {
        self.samples = 0;
        self.was_saturated = false;
    }
}
