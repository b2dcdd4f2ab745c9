//! Chooses the instances through which an instance without a path sends its requests to endpoints.
//!
//! Load pattern: some instances, perhaps most of an availability zone, lose the path to all endpoints at the
//! same time. Whether another instance has a path shows only when it is asked.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::{InstanceId, ZoneName};
use crate::routing::OwnerLocation;

/// Number of instances that are asked for one request.
const ASKED_MAX: usize = 4;
/// Time for which an instance that could not forward a request is asked last.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Open requests by which an instance of the own zone may be ahead of one of another zone before that one is asked
/// first: the few that are left in a zone do not forward for all the others.
const ZONE_LEAD: usize = 8;

/// The instances that may forward requests, which of them could not lately, and what they forward for this one.
#[derive(Clone, Debug, Default)]
pub struct ForwarderBook {
    refused_until: HashMap<InstanceId, Instant>,
    open: HashMap<InstanceId, usize>,
}

impl ForwarderBook {
    /// Records that an instance could not forward a request.
    pub fn record_refusal(&mut self, instance: InstanceId, now: Instant) {
        self.refused_until.retain(|_, until| *until > now);
        self.refused_until.insert(instance, now + REFUSAL_TIME);
    }

    /// Records that an instance forwarded a request.
    pub fn record_forward(&mut self, instance: &InstanceId) {
        self.refused_until.remove(instance);
    }

    /// Records that an instance begins to forward a request.
    pub fn begin(&mut self, instance: InstanceId) {
        *self.open.entry(instance).or_default() += 1;
    }

    /// Records that an instance does not forward a request any more.
    pub fn end(&mut self, instance: &InstanceId) {
        let Some(open) = self.open.get_mut(instance) else { return };
        *open -= 1;
        if *open == 0 {
            self.open.remove(instance);
        }
    }

    /// The instances to ask, in order: those that refused lately come last; of the others those with the fewest open
    /// requests come first, those of the own zone with a lead. `random` orders equal ones.
    pub fn choose(
        &self,
        live: &[OwnerLocation],
        own: &InstanceId,
        zone: &ZoneName,
        now: Instant,
        mut random: impl FnMut() -> u64,
    ) -> Vec<InstanceId> {
        let others = live.iter().filter(|location| location.owner != *own);
        let mut ranked: Vec<_> = others
            .map(|location| {
                let until = self.refused_until.get(&location.owner);
                let has_refused = until.is_some_and(|until| *until > now);
                let open = self.open.get(&location.owner).copied().unwrap_or(0);
                let lead = if location.zone == *zone { 0 } else { ZONE_LEAD };
                let rank = (has_refused, open + lead, random());
                (rank, &location.owner)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().take(ASKED_MAX).map(|(_, instance)| instance.clone()).collect()
    }
}
