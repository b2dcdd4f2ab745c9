//! Registers metrics under the names of this system.

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry};

/// Registers the metrics; a name that is taken or not valid is a fault of this file.
pub(super) struct MetricRegistrar(pub(super) Registry);

impl MetricRegistrar {
    pub(super) fn register<T: prometheus::core::Collector + Clone + 'static>(
        &self,
        metric: prometheus::Result<T>,
    ) -> T {
        let metric = metric.expect("a metric has a valid name");
        self.0.register(Box::new(metric.clone())).expect("a metric's name is its own");
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
