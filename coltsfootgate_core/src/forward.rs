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

/// The instances that may forward requests, and which of them could not lately.
#[derive(Clone, Debug, Default)]
pub struct ForwarderBook {
    refused_until: HashMap<InstanceId, Instant>,
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

    /// The instances to ask, in order: those that refused lately come last, then those of the own zone come
    /// first. `random` orders the others, so that no instance forwards for all.
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
                let rank = (has_refused, location.zone != *zone, random());
                (rank, &location.owner)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().take(ASKED_MAX).map(|(_, instance)| instance.clone()).collect()
    }
}
