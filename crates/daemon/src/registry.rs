//! Registration and export of Prometheus metrics.

use prometheus::core::Collector;
use prometheus::{
    Encoder as _, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the histogram buckets for durations, in seconds.
///
/// They include the users' latency targets: 0.027 between tokens and 1.6 for the first token.
const LATENCY_BUCKETS_S: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.027, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6, 2.5, 5.0, 10.0, 30.0];

/// Registry for the metrics of a process; all names get the prefix `dandelionfront_`.
#[derive(Debug, Clone, Default)]
pub struct MetricRegistry(Registry);

impl MetricRegistry {
    /// Registers counters distinguished by `label`.
    #[must_use]
    pub fn counter_vec(&self, metric: &str, help: &str, label: &str) -> IntCounterVec {
        self.register(IntCounterVec::new(Opts::new(name(metric), help), &[label]))
    }

    /// Registers a counter.
    #[must_use]
    pub fn counter(&self, metric: &str, help: &str) -> IntCounter {
        self.register(IntCounter::new(name(metric), help))
    }

    /// Registers a gauge.
    #[must_use]
    pub fn gauge(&self, metric: &str, help: &str) -> IntGauge {
        self.register(IntGauge::new(name(metric), help))
    }

    /// Registers gauges distinguished by `label`.
    #[must_use]
    pub fn gauge_vec(&self, metric: &str, help: &str, label: &str) -> IntGaugeVec {
        self.register(IntGaugeVec::new(Opts::new(name(metric), help), &[label]))
    }

    /// Registers a histogram of durations in seconds.
    #[must_use]
    pub fn histogram(&self, metric: &str, help: &str) -> Histogram {
        let opts = HistogramOpts::new(name(metric), help).buckets(LATENCY_BUCKETS_S.to_vec());
        self.register(Histogram::with_opts(opts))
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.0.gather(), &mut text) {
            log::warn!("event=metrics_failed cause=\"{error}\"");
        }
        text
    }

    /// Registers a metric.
    ///
    /// # Panics
    ///
    /// Panics on an invalid or duplicate name; names and labels are constants, so any test detects
    /// this.
    fn register<M: Collector + Clone + 'static>(&self, metric: prometheus::Result<M>) -> M {
        let metric = metric.expect("metric names and labels are valid");
        self.0.register(Box::new(metric.clone())).expect("metric names are unique");
        metric
    }
}

fn name(metric: &str) -> String {
    format!("dandelionfront_{metric}")
}
