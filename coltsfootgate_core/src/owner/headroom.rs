//! Keeps room at an owner's endpoints for requests of higher ranks that are about to arrive.
//!
//! Load pattern: at the start of a burst, requests of all ranks arrive at a multiple of their usual
//! rate while slots are still free. Long requests of the lowest rank must not take all of them: they
//! would hold the slots long after the urgent requests in flight have reached the number that their
//! new rate implies.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::event::QueueRank;

/// Time constant with which measured grant rates decay (to 1/e); a burst shows within that time.
const RATE_DECAY: Duration = Duration::from_millis(250);
/// Largest holding time of requests that room is kept for, relative to the one that would take it.
/// Where it is longer, slots end up free often enough.
const HELD_RATIO_MAX: f64 = 0.75;
/// Largest holding time of requests that take turns with those of a higher rank, relative to the
/// latter.
const BRIEF_RATIO_MAX: f64 = 0.35;
/// Factor by which requests are held longer than before when the endpoints fill up.
const LOAD_STRETCH: f64 = 1.5;
/// Standard deviations of the expected number of requests for which room is kept in addition.
const EXPECTED_DEVIATIONS: f64 = 2.0;
/// Weight of an ended grant in a rank's mean holding time and size.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The requests of one rank that were granted.
#[derive(Clone, Debug, Default)]
struct RankLoad {
    /// Grants per second, as of `updated`.
    rate: f64,
    updated: Option<Instant>,
    in_flight: u32,
    /// Mean time from grant to release, in seconds, and mean size of ended grants.
    ended: Option<(f64, f64)>,
}

impl RankLoad {
    fn rate(&self, now: Instant) -> f64 {
        let elapsed = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-elapsed.as_secs_f64() / RATE_DECAY.as_secs_f64()).exp()
    }

    fn record_grant(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / RATE_DECAY.as_secs_f64();
        self.updated = Some(now);
        self.in_flight += 1;
    }

    fn record_held(&mut self, held: Duration, size: f64) {
        let (time, mean_size) = self.ended.unwrap_or((held.as_secs_f64(), size));
        let time = time + (held.as_secs_f64() - time) * SAMPLE_WEIGHT;
        self.ended = Some((time, mean_size + (size - mean_size) * SAMPLE_WEIGHT));
    }

    /// The size of the requests that are expected to be in flight at the present rate, in addition
    /// to those that are in flight now.
    ///
    /// It is 0 for requests that are held for longer than `held_max` seconds.
    fn expected_growth(&self, held_max: f64, now: Instant) -> f64 {
        let Some((time, size)) = self.ended.filter(|(time, _)| *time <= held_max) else {
            return 0.0;
        };
        let expected = self.rate(now) * time * LOAD_STRETCH;
        let upper = expected + EXPECTED_DEVIATIONS * expected.sqrt();
        (upper - f64::from(self.in_flight)).max(0.0) * size
    }
}

/// The load of each rank at one owner. Sizes are fractions of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct RankHeadroom {
    ranks: BTreeMap<QueueRank, RankLoad>,
}

impl RankHeadroom {
    /// Whether requests of one rank hold their slots so briefly that they hardly delay those of the
    /// other.
    pub fn is_brief(&self, rank: QueueRank, other: QueueRank) -> bool {
        let held = |rank: &QueueRank| self.ranks.get(rank)?.ended.map(|(time, _)| time);
        match (held(&rank), held(&other)) {
            (Some(own), Some(other)) => own <= other * BRIEF_RATIO_MAX,
            _ => false,
        }
    }

    /// Records a grant.
    pub fn record_grant(&mut self, rank: QueueRank, now: Instant) {
        self.ranks.entry(rank).or_default().record_grant(now);
    }

    /// Records a grant that an earlier owner issued.
    pub fn record_announced(&mut self, rank: QueueRank) {
        self.ranks.entry(rank).or_default().in_flight += 1;
    }

    /// Records the end of a grant.
    pub fn record_end(&mut self, rank: QueueRank) {
        if let Some(load) = self.ranks.get_mut(&rank) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Records for how long a grant of this size was held.
    pub fn record_held(&mut self, rank: QueueRank, held: Duration, size: f64) {
        self.ranks.entry(rank).or_default().record_held(held, size);
    }

    /// Whether a request may take this size of the free room without using what requests of higher
    /// ranks are expected to need while it runs.
    ///
    /// Room is kept only for requests that are held for a shorter time: where those of the lower
    /// rank end sooner, the next free slot is never far.
    ///
    /// One request of each rank may always run, so that none starves while room is free.
    pub fn allows(&self, rank: QueueRank, size: f64, free: f64, now: Instant) -> bool {
        let Some(own) = self.ranks.get(&rank).filter(|own| own.in_flight > 0) else { return true };
        let Some((time, _)) = own.ended else { return true };
        let higher = self
            .ranks
            .range(..rank)
            .map(|(_, load)| load.expected_growth(time * HELD_RATIO_MAX, now));
        let reserved: f64 = higher.sum();
        reserved <= 0.0 || free - size >= reserved
    }
}
