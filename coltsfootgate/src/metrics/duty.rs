//! Metrics of the duties, which exist only where there are some.

use prometheus::{IntCounterVec, IntGauge, IntGaugeVec};

use coltsfootgate_core::duty::DutyToken;

use super::registrar::MetricRegistrar;

/// The metrics of the duties; clones share the same values.
#[derive(Clone, Debug)]
pub struct DutyMetrics {
    token: IntGauge,
    calls: IntCounterVec,
    replicas: IntGaugeVec,
}

impl DutyMetrics {
    pub(super) fn new(registrar: &MetricRegistrar) -> Self {
        Self {
            token: registrar.register(IntGauge::new(
                "coltsfootgate_duty_token",
                "Token under which this instance holds the lease on the duties; 0 if it does not.",
            )),
            calls: registrar.counters(
                "duty_calls",
                "Reports of usage and orders of replicas that this instance sent, by result.",
                &["duty", "result"],
            ),
            replicas: registrar.gauges(
                "replicas_wanted",
                "Replicas that the holder of the duties wants, by pool, zone and kind.",
                &["pool", "availability_zone", "kind"],
            ),
        }
    }

    /// Sets the token under which this instance holds the lease.
    pub fn set_token(&self, token: Option<DutyToken>) {
        self.token.set(i64::try_from(token.unwrap_or(0)).unwrap_or(i64::MAX));
    }

    /// Counts a call that only the holder makes.
    pub fn called(&self, duty: &str, result: &str) {
        self.calls.with_label_values(&[duty, result]).inc();
    }

    /// Sets how many replicas of a kind are wanted in a zone.
    pub fn set_wanted(&self, pool: &str, zone: &str, kind: &str, count: u32) {
        self.replicas.with_label_values(&[pool, zone, kind]).set(i64::from(count));
    }
}
