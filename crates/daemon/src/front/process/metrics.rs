//! Metrics in the Prometheus text format.

use dandelionfront_coordination::RefusalKind;
use prometheus::{
    Encoder as _, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Why a request was sent once more; also the label of the retry counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// A backend server could not be reached.
    BackendUnreachable,
    /// A backend server refused the request without running it.
    BackendBusy,
    /// An attempt was lost and the request may run again.
    AttemptLost,
}

impl RetryReason {
    fn label(self) -> &'static str {
        match self {
            Self::BackendUnreachable => "backend_unreachable",
            Self::BackendBusy => "backend_busy",
            Self::AttemptLost => "attempt_lost",
        }
    }
}

/// Counters, gauges and histograms of one node.
#[derive(Debug, Clone)]
pub struct FrontMetrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    /// Answers that were cut because the backend server broke off.
    pub answers_broken_off: IntCounter,
    /// Callers that left before their answer.
    pub callers_gone: IntCounter,
    /// Connections opened to backend servers.
    pub backend_connections: IntCounter,
    /// Store calls made through another node.
    pub store_calls_relayed: IntCounter,
    /// Store calls without an answer.
    pub store_failures: IntCounter,
    /// Duration of store calls, in seconds.
    pub store_seconds: Histogram,
    /// Configuration version in force.
    pub config_version: IntGauge,
    /// Backend servers in the list.
    pub servers: IntGauge,
    /// Other nodes heard lately.
    pub members_heard: IntGauge,
}

impl FrontMetrics {
    /// Creates the metrics.
    ///
    /// # Panics
    ///
    /// Panics when two metrics share a name, which is a fault of this module.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let refusals = Opts::new("dandelionfront_refusals_total", "Refusals by reason");
        let retries = Opts::new("dandelionfront_retries_total", "Further attempts by reason");
        let metrics = Self {
            refusals: register(&registry, IntCounterVec::new(refusals, &["reason"])),
            retries: register(&registry, IntCounterVec::new(retries, &["reason"])),
            answers_broken_off: counter(&registry, "answers_broken_off_total", "Answers cut"),
            callers_gone: counter(&registry, "callers_gone_total", "Callers that left early"),
            backend_connections: counter(
                &registry,
                "backend_connections_total",
                "Connections opened to backend servers",
            ),
            store_calls_relayed: counter(
                &registry,
                "store_calls_relayed_total",
                "Store calls made through another node",
            ),
            store_failures: counter(&registry, "store_failures_total", "Store calls that failed"),
            store_seconds: register(
                &registry,
                Histogram::with_opts(HistogramOpts::new(
                    "dandelionfront_store_seconds",
                    "Duration of store calls",
                )),
            ),
            config_version: gauge(&registry, "config_version", "Configuration in force"),
            servers: gauge(&registry, "servers", "Backend servers in the list"),
            members_heard: gauge(&registry, "members_heard", "Other nodes heard lately"),
            registry,
        };
        for kind in RefusalKind::all() {
            metrics.refusals.with_label_values(&[kind.label()]).inc_by(0);
        }
        metrics
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, kind: RefusalKind) {
        self.refusals.with_label_values(&[kind.label()]).inc();
    }

    /// Counts a further attempt.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.label()]).inc();
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("event=metrics_failed cause=\"{error}\"");
        }
        text
    }
}

impl Default for FrontMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn register<T>(registry: &Registry, metric: prometheus::Result<T>) -> T
where
    T: prometheus::core::Collector + Clone + 'static,
{
    let metric = metric.expect("metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are unique");
    metric
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(format!("dandelionfront_{name}"), help))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(format!("dandelionfront_{name}"), help))
}
