//! How many requests an endpoint may run at once, adapted to what its answers show.

use std::time::Duration;

/// Share of the target for the time between tokens below which slots are added.
const HEADROOM: f64 = 0.85;
/// Factor by which slots shrink.
const DECREASE: f64 = 0.9;
/// Share of the stated slots below which an endpoint is never taken.
const LEAST_SHARE: f64 = 0.5;
/// Weight of a new sample in the running mean.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Multiple of the best first-token time beyond which requests queue at the endpoint.
const QUEUEING_RATIO: f64 = 2.0;
/// Times between tokens that a first token may take beyond that.
const QUEUEING_STEPS: f64 = 4.0;
/// Growth of the best first-token time in each round, so that an old one fades.
const BEST_GROWTH: f64 = 1.01;
/// Rounds for which no slot is added after one too many was found.
const HOLD_ROUNDS: u32 = 32;

/// Additive increase and multiplicative decrease of an endpoint's slots.
///
/// It adapts once for each round of as many answers as there are slots. More slots than the
/// endpoint's batch show in the first token and not between tokens, so both are looked at.
#[derive(Clone, Debug)]
pub struct AdaptiveSlots {
    slots: f64,
    least: f64,
    stated: f64,
    most: f64,
    token_time: Option<f64>,
    best_first_token: Option<f64>,
    round: AnswerRound,
    hold_rounds: u32,
}

/// What the answers of one round showed.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerRound {
    answers: u32,
    first_token_sum: f64,
    was_saturated: bool,
}

impl AdaptiveSlots {
    /// Starts at the stated slots.
    pub fn new(slots: u32, slots_max: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            least: (slots * LEAST_SHARE).max(1.0),
            stated: slots,
            most: f64::from(slots_max).max(slots),
            token_time: None,
            best_first_token: None,
            round: AnswerRound::default(),
            hold_rounds: 0,
        }
    }

    /// Takes new bounds over and keeps what was learnt within them.
    pub fn set_bounds(&mut self, slots: u32, slots_max: u32) {
        let fresh = Self::new(slots, slots_max);
        self.least = fresh.least;
        self.stated = fresh.stated;
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
        self.round.was_saturated = true;
    }

    /// Notes the pace of one answer; without a target the slots stay as they are.
    pub fn measured(
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

    /// Notes that the endpoint said it queued or refused requests, so that it has too many.
    pub fn queued_at_endpoint(&mut self) {
        self.shrink(self.least);
        self.round = AnswerRound::default();
    }

    fn adapt(&mut self, target: f64) {
        let mean = self.token_time.unwrap_or(target);
        self.hold_rounds = self.hold_rounds.saturating_sub(1);
        if mean > target {
            self.shrink(self.least);
        } else if self.is_queueing(mean) {
            // A slow first token may have other causes, so the stated slots are kept.
            self.shrink(self.stated);
        } else if mean < target * HEADROOM && self.round.was_saturated && self.hold_rounds == 0 {
            self.slots = (self.slots + 1.0).min(self.most);
        }
        self.round = AnswerRound::default();
    }

    fn shrink(&mut self, least: f64) {
        self.slots = (self.slots * DECREASE).max(least.min(self.slots));
        self.hold_rounds = HOLD_ROUNDS;
    }

    /// Whether the first tokens of this round came much later than the best of earlier ones.
    fn is_queueing(&mut self, token_time: f64) -> bool {
        let first_token = self.round.first_token_sum / f64::from(self.round.answers.max(1));
        let best = self.best_first_token.map_or(first_token, |best| best * BEST_GROWTH);
        self.best_first_token = Some(best.min(first_token));
        first_token > best * QUEUEING_RATIO + token_time * QUEUEING_STEPS
    }
}
