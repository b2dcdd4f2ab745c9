//! An entry instance's view of one owner: its last known pressure and whether it answers.

use std::time::{Duration, Instant};

use super::OwnerLocation;
use crate::owner::{OwnerPressure, QueueRank};

/// Age from which on a reported pressure is ignored.
const PRESSURE_MAX_AGE: Duration = Duration::from_millis(1000);

/// An owner with its last known pressure.
#[derive(Clone, Debug)]
pub struct OwnerView {
    /// The owner and its zone.
    pub location: OwnerLocation,
    /// The latest reported pressure and when it was measured.
    pressure: Option<(OwnerPressure, Instant)>,
    /// Whether it did not answer and was not heard since.
    is_silent: bool,
}

impl OwnerView {
    /// Creates the view of an owner that has not reported its pressure yet.
    pub fn new(location: OwnerLocation) -> Self {
        Self { location, pressure: None, is_silent: false }
    }

    /// Records a pressure measured at `measured_at`, unless a later one is known.
    pub fn update_pressure(&mut self, pressure: OwnerPressure, measured_at: Instant) {
        if self.pressure.is_none_or(|(_, known)| known <= measured_at) {
            self.pressure = Some((pressure, measured_at));
            self.is_silent = false;
        }
    }

    /// Deducts a free slot for a request that this instance sends, until the next report.
    pub fn reserve_slot(&mut self) {
        if let Some((pressure, _)) = &mut self.pressure {
            pressure.free_slots = pressure.free_slots.saturating_sub(1);
        }
    }

    /// Counts a request that this instance queues there, until the next report.
    pub fn add_waiting(&mut self, rank: QueueRank) {
        if let Some((pressure, _)) = &mut self.pressure {
            pressure.waiting.add(rank, 1);
        }
    }

    /// Records that the owner did not answer, or that it was heard again.
    pub fn set_silent(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
    }

    /// Whether the owner did not answer and was not heard since; it is asked nothing meanwhile.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// The last known pressure, unless it is too old.
    pub fn pressure(&self, now: Instant) -> Option<&OwnerPressure> {
        self.pressure
            .as_ref()
            .filter(|(_, measured_at)| {
                now.saturating_duration_since(*measured_at) < PRESSURE_MAX_AGE
            })
            .map(|(pressure, _)| pressure)
    }

    /// Whether it answers and may have a free slot for a request of this rank; true if its pressure
    /// is unknown.
    pub fn may_be_free(&self, rank: QueueRank, now: Instant) -> bool {
        !self.is_silent && self.pressure(now).is_none_or(|pressure| pressure.may_serve(rank))
    }

    /// Whether it may accept a request of this rank that another owner refused, in a free slot or
    /// in place of a waiting request of a lower rank.
    pub fn may_accept(&self, rank: QueueRank, now: Instant) -> bool {
        let has_lower = |pressure: &OwnerPressure| pressure.waiting.is_any_below(rank);
        !self.is_silent
            && (self.may_be_free(rank, now) || self.pressure(now).is_some_and(has_lower))
    }

    /// Expected wait of a request of this rank; zero if the pressure is unknown.
    pub fn expected_wait(&self, rank: QueueRank, now: Instant) -> Duration {
        self.pressure(now).map_or(Duration::ZERO, |pressure| pressure.expected_wait(rank))
    }

    /// Fraction of its slots in use, 0 to 1; 0.5 if the pressure is unknown.
    pub fn load(&self, now: Instant) -> f64 {
        match self.pressure(now) {
            Some(pressure) if pressure.slots > 0 => {
                1.0 - f64::from(pressure.free_slots) / f64::from(pressure.slots)
            }
            Some(_) => 1.0,
            None => 0.5,
        }
    }
}
