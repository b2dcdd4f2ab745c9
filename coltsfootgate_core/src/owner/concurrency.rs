//! Adapts the concurrency limit of an endpoint to the latencies of its answers.

use std::time::Duration;

/// Fraction of the target for the time between tokens below which slots are added.
const GROWTH_THRESHOLD: f64 = 0.85;
/// Factor of a multiplicative decrease of the slots.
const DECREASE_FACTOR: f64 = 0.9;
/// Lower bound on the slots, as a fraction of the configured slots.
const SLOTS_MIN_FRACTION: f64 = 0.5;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Multiple of the best first-token time beyond which requests probably queue at the endpoint.
const QUEUEING_RATIO: f64 = 2.0;
/// Tolerance added to that multiple, in times between tokens.
const QUEUEING_TOKEN_TIMES: f64 = 4.0;
/// Growth factor of the best first-token time per round, so that an old minimum expires.
const BEST_GROWTH_FACTOR: f64 = 1.01;
/// Number of rounds without additional slots after a decrease.
const HOLD_ROUNDS: u32 = 32;

/// Additive increase, multiplicative decrease (AIMD) of an endpoint's slots.
///
/// The slots adapt once per round of as many answers as there are slots. Requests beyond the
/// endpoint's batch size delay first tokens but not the time between tokens, so both are checked.
#[derive(Clone, Debug)]
pub struct AdaptiveSlots {
    slots: f64,
    slots_min: f64,
    configured: f64,
    slots_max: f64,
    token_time: Option<f64>,
    best_first_token: Option<f64>,
    round: AnswerRound,
    hold_rounds: u32,
}

/// The measurements of one round.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerRound {
    answers: u32,
    first_token_sum: f64,
    was_saturated: bool,
}

impl AdaptiveSlots {
    /// Starts at the configured slots.
    pub fn new(slots: u32, slots_max: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            slots_min: (slots * SLOTS_MIN_FRACTION).max(1.0),
            configured: slots,
            slots_max: f64::from(slots_max).max(slots),
            token_time: None,
            best_first_token: None,
            round: AnswerRound::default(),
            hold_rounds: 0,
        }
    }

    /// Sets new bounds and clamps the current slots to them; measurements are kept.
    pub fn set_bounds(&mut self, slots: u32, slots_max: u32) {
        let fresh = Self::new(slots, slots_max);
        self.slots_min = fresh.slots_min;
        self.configured = fresh.configured;
        self.slots_max = fresh.slots_max;
        self.slots = self.slots.clamp(self.slots_min, self.slots_max);
    }

    /// The current maximum number of concurrent requests.
    pub fn limit(&self) -> u32 {
        self.slots as u32
    }

    /// Moving average of the time between tokens, if measured.
    pub fn token_time(&self) -> Option<Duration> {
        self.token_time.map(Duration::from_secs_f64)
    }

    /// Records that all slots are taken, so that additional ones would be used.
    pub fn record_saturation(&mut self) {
        self.round.was_saturated = true;
    }

    /// Records the latencies of one answer; without a target the slots do not adapt.
    pub fn record_answer(
        &mut self,
        between_tokens: Duration,
        first_token: Option<Duration>,
        target: Option<Duration>,
    ) {
        let sample = between_tokens.as_secs_f64();
        let mean = self.token_time.unwrap_or(sample);
        self.token_time = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
        self.round.answers += 1;
        self.round.first_token_sum += first_token.unwrap_or_default().as_secs_f64();
        if let Some(target) = target
            && f64::from(self.round.answers) >= self.slots
        {
            self.adapt(target.as_secs_f64());
        }
    }

    /// Records that the endpoint queues or refuses requests, and reduces its slots at once.
    pub fn record_endpoint_queueing(&mut self) {
        self.shrink(self.slots_min);
        self.round = AnswerRound::default();
    }

    fn adapt(&mut self, target: f64) {
        let mean = self.token_time.unwrap_or(target);
        self.hold_rounds = self.hold_rounds.saturating_sub(1);
        if mean > target {
            self.shrink(self.slots_min);
        } else if self.is_queueing(mean) {
            // A slow first token may have other causes, so the slots stay at or above the
            // configured ones.
            self.shrink(self.configured);
        } else if mean < target * GROWTH_THRESHOLD
            && self.round.was_saturated
            && self.hold_rounds == 0
        {
            self.slots = (self.slots + 1.0).min(self.slots_max);
        }
        self.round = AnswerRound::default();
    }

    fn shrink(&mut self, min: f64) {
        self.slots = (self.slots * DECREASE_FACTOR).max(min.min(self.slots));
        self.hold_rounds = HOLD_ROUNDS;
    }

    /// Whether the mean first-token time of this round is far above the best earlier one.
    fn is_queueing(&mut self, token_time: f64) -> bool {
        let first_token = self.round.first_token_sum / f64::from(self.round.answers.max(1));
        let best = self.best_first_token.map_or(first_token, |best| best * BEST_GROWTH_FACTOR);
        self.best_first_token = Some(best.min(first_token));
        first_token > best * QUEUEING_RATIO + token_time * QUEUEING_TOKEN_TIMES
    }
}
