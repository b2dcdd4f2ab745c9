//! The instances of the fleet: their processors, and what messages cost them.

use std::time::Duration;

use super::ModelTime;

/// An instance of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct InstanceProfile {
    /// Share of a core that it may use, above 0.
    pub processor_share: f64,
    /// Index of its availability zone.
    pub zone: usize,
}

/// What messages and answers cost, in time of a whole core and in bytes.
#[derive(Clone, Copy, Debug)]
pub struct ControlCosts {
    /// Time for sending or handling a message between instances.
    pub message: Duration,
    /// Time of an owner for a decision.
    pub decision: Duration,
    /// Time of an entry for accepting a request and sending it to an engine.
    pub request: Duration,
    /// Time of an entry for forwarding an event.
    pub event: Duration,
    /// Size of a grant request, in bytes.
    pub ask_bytes: u64,
    /// Size of any other message, in bytes.
    pub message_bytes: u64,
    /// One way between instances.
    pub link_delay: Duration,
}

/// The processor of an instance, which handles one thing after the other.
#[derive(Clone, Debug)]
pub(super) struct InstanceProcessor {
    share: f64,
    busy_until: ModelTime,
    /// Time of a whole core that it has used.
    pub(super) used: Duration,
    /// Bytes of messages sent and received.
    pub(super) bytes: u64,
    /// Largest time for which something waited for the processor.
    pub(super) longest_wait: Duration,
}

impl InstanceProcessor {
    pub(super) fn new(profile: &InstanceProfile) -> Self {
        Self {
            share: profile.processor_share,
            busy_until: ModelTime::ZERO,
            used: Duration::ZERO,
            bytes: 0,
            longest_wait: Duration::ZERO,
        }
    }

    /// Does nothing until a time.
    pub(super) fn freeze(&mut self, until: ModelTime) {
        self.busy_until = self.busy_until.max(until);
    }

    /// Does work that takes `cost` on a whole core; returns when it is done.
    pub(super) fn work(&mut self, cost: Duration, now: ModelTime) -> ModelTime {
        let start = self.busy_until.max(now);
        self.longest_wait = self.longest_wait.max(start - now);
        self.busy_until = start + cost.div_f64(self.share);
        self.used += cost;
        self.busy_until
    }
}
