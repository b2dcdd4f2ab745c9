//! What an entry instance last heard of one owner.

use std::time::{Duration, Instant};

use super::OwnerLocation;
use crate::ids::RequestTier;
use crate::owner::OwnerPressure;

/// Age at which a view says nothing any more.
const PRESSURE_MAX_AGE: Duration = Duration::from_millis(1000);
/// Time for which an owner that did not answer is asked last.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1000);

/// An owner with its last known pressure.
#[derive(Clone, Debug)]
pub struct OwnerView {
    /// The owner and its zone.
    pub location: OwnerLocation,
    pressure: Option<(OwnerPressure, Instant)>,
    unresponsive_since: Option<Instant>,
}

impl OwnerView {
    /// A view of an owner of which nothing is known yet.
    pub fn new(location: OwnerLocation) -> Self {
        Self { location, pressure: None, unresponsive_since: None }
    }

    /// Takes a pressure over unless a later one is known.
    pub fn update_pressure(&mut self, pressure: OwnerPressure, seen: Instant) {
        if self.pressure.is_none_or(|(_, known)| known <= seen) {
            self.pressure = Some((pressure, seen));
            self.unresponsive_since = None;
        }
    }

    /// Counts a grant or an ask that this entry knows of itself.
    pub fn reserve_slot(&mut self) {
        if let Some((pressure, _)) = &mut self.pressure {
            pressure.free_slots = pressure.free_slots.saturating_sub(1);
        }
    }

    /// Counts an ask of this entry's own that waits there.
    pub fn add_waiting(&mut self, tier: RequestTier) {
        if let Some((pressure, _)) = &mut self.pressure {
            pressure.waiting_by_tier[tier.index()] += 1;
        }
    }

    /// Notes that the owner did not answer.
    pub fn mark_unresponsive(&mut self, now: Instant) {
        self.unresponsive_since = Some(now);
    }

    /// Whether the owner failed to answer lately.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.unresponsive_since.is_some_and(|since| now.duration_since(since) < UNRESPONSIVE_TIME)
    }

    /// The last pressure, unless it is too old.
    pub fn pressure(&self, now: Instant) -> Option<&OwnerPressure> {
        self.pressure
            .as_ref()
            .filter(|(_, seen)| now.saturating_duration_since(*seen) < PRESSURE_MAX_AGE)
            .map(|(pressure, _)| pressure)
    }

    /// Whether it may have a free slot.
    pub fn may_be_free(&self, now: Instant) -> bool {
        !self.is_unresponsive(now)
            && self.pressure(now).is_none_or(|pressure| pressure.free_slots > 0)
    }

    /// Whether it may take a request of this tier that another owner refused.
    pub fn may_accept(&self, tier: RequestTier, now: Instant) -> bool {
        let has_lower = |pressure: &OwnerPressure| pressure.has_waiting_below(tier);
        !self.is_unresponsive(now)
            && (self.may_be_free(now) || self.pressure(now).is_some_and(has_lower))
    }

    /// Expected wait of a request of this tier; zero if nothing is known.
    pub fn expected_wait(&self, tier: RequestTier, now: Instant) -> Duration {
        self.pressure(now).map_or(Duration::ZERO, |pressure| pressure.expected_wait(tier))
    }

    /// Share of its slots that are taken, 0 to 1; half if nothing is known.
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
