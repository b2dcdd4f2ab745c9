//! Registers metrics under the names of this system, with prefix and unit.

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry};

/// Registers metrics in a registry; panics on an invalid or duplicate name, which is a bug.
pub(super) struct MetricRegistrar(pub(super) Registry);

impl MetricRegistrar {
    pub(super) fn register<T: prometheus::core::Collector + Clone + 'static>(
        &self,
        metric: prometheus::Result<T>,
    ) -> T {
        let metric = metric.expect("metric name is valid");
        self.0.register(Box::new(metric.clone())).expect("metric name is unique");
        metric
    }

    pub(super) fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let name = format!("coltsfootgate_{name}_total");
        self.register(IntCounterVec::new(Opts::new(name, help), labels))
    }

    pub(super) fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.register(IntGaugeVec::new(Opts::new(format!("coltsfootgate_{name}"), help), labels))
    }

    pub(super) fn histograms(&self, name: &str, help: &str, buckets: &[f64]) -> HistogramVec {
        let name = format!("coltsfootgate_{name}_seconds");
        let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        self.register(HistogramVec::new(options, &["class"]))
    }
}
