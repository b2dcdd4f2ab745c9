//! Metrics of the memory that is held for callers and for other instances.

use prometheus::IntGaugeVec;

use super::registrar::MetricRegistrar;
use crate::transfer::MemoryAccount;

/// The metrics of the memory account; clones share the same values.
#[derive(Clone, Debug)]
pub struct MemoryMetrics {
    held: IntGaugeVec,
    bytes_max: IntGaugeVec,
}

impl MemoryMetrics {
    pub(super) fn new(registrar: &MetricRegistrar) -> Self {
        Self {
            held: registrar.gauges(
                "memory_held_bytes",
                "Memory that is held for callers and other instances, by use, without what is free of charge.",
                &["use"],
            ),
            bytes_max: registrar.gauges(
                "memory_max_bytes",
                "Memory that may be held for callers and other instances, by use.",
                &["use"],
            ),
        }
    }

    /// Sets the values to those of an account.
    pub fn set(&self, account: &MemoryAccount) {
        for part in account.parts() {
            let name = part.purpose.name();
            self.held.with_label_values(&[name]).set(to_gauge(part.held()));
            self.bytes_max.with_label_values(&[name]).set(to_gauge(part.bytes_max));
        }
    }
}

fn to_gauge(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
