//! Metrics in the Prometheus text format.

use dandelionfront_coordination::RefusalKind;
use prometheus::{
    Encoder as _, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Why something was tried again; also the label of the retry counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The owner of a program could not be reached.
    OwnerUnreachable,
    /// The program was moving between nodes.
    OwnerMoved,
    /// The connection to the owner broke while a call was running.
    OwnerLost,
    /// A backend server could not be reached.
    BackendUnreachable,
    /// A backend server refused a request without running it.
    BackendBusy,
    /// A stream of an engine was cut or silent and was resumed.
    StreamResumed,
    /// An attempt was lost and a repeatable call was run again.
    AttemptLost,
}

const RETRY_LABELS: &[(RetryReason, &str)] = &[
    (RetryReason::OwnerUnreachable, "owner_unreachable"),
    (RetryReason::OwnerMoved, "owner_moved"),
    (RetryReason::OwnerLost, "owner_lost"),
    (RetryReason::BackendUnreachable, "backend_unreachable"),
    (RetryReason::BackendBusy, "backend_busy"),
    (RetryReason::StreamResumed, "stream_resumed"),
    (RetryReason::AttemptLost, "attempt_lost"),
];

/// Counters, gauges and histograms of one node.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    /// Calls that callers are waiting for.
    pub calls_in_flight: IntGauge,
    /// Calls answered.
    pub calls_answered: IntCounter,
    /// Time from a call's arrival to its complete answer.
    pub call_seconds: Histogram,
    /// Time from the opening of a program to its end.
    pub program_seconds: Histogram,
    /// Time from a call's arrival to its first token.
    pub first_token_seconds: Histogram,
    /// Time between two tokens of a stream.
    pub between_tokens_seconds: Histogram,
    /// Duration of journal commits.
    pub commit_seconds: Histogram,
    /// Configuration version in force.
    pub config_version: IntGauge,
    /// Bytes sent on control links that this node opened.
    pub peer_sent_bytes: IntCounter,
    /// Bytes received on control links that this node opened.
    pub peer_received_bytes: IntCounter,
    /// Control messages answered.
    pub peer_messages: IntCounter,
    /// Requests to the platform.
    pub platform_requests: IntCounterVec,
    /// Shards held.
    pub shards: IntGauge,
    /// Programs held.
    pub programs: IntGauge,
}

const LATENCY_BUCKETS_S: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.027, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6, 2.5, 5.0, 10.0, 30.0];

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics when two metrics share a name, which is a fault of this module.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            refusals: counters(&registry, "refusals_total", "Requests refused, by reason.", "kind"),
            retries: counters(&registry, "retries_total", "Tries repeated, by reason.", "reason"),
            calls_in_flight: gauge(&registry, "calls_in_flight", "Calls that callers wait for."),
            calls_answered: counter(&registry, "calls_answered_total", "Calls answered."),
            call_seconds: histogram(&registry, "call_seconds", "Arrival to complete answer."),
            program_seconds: histogram(&registry, "program_seconds", "Opening to end of programs."),
            first_token_seconds: histogram(
                &registry,
                "first_token_seconds",
                "Arrival to first token.",
            ),
            between_tokens_seconds: histogram(
                &registry,
                "between_tokens_seconds",
                "Time between tokens.",
            ),
            commit_seconds: histogram(&registry, "journal_commit_seconds", "Journal commits."),
            config_version: gauge(&registry, "config_version", "Configuration in force."),
            peer_sent_bytes: counter(&registry, "peer_sent_bytes_total", "Control bytes sent."),
            peer_received_bytes: counter(
                &registry,
                "peer_received_bytes_total",
                "Control bytes received.",
            ),
            peer_messages: counter(&registry, "peer_messages_total", "Control messages answered."),
            platform_requests: counters(
                &registry,
                "platform_requests_total",
                "Platform requests, by kind.",
                "kind",
            ),
            shards: gauge(&registry, "shards", "Shards held."),
            programs: gauge(&registry, "programs", "Programs held."),
            registry,
        };
        metrics.touch_labels();
        metrics
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, kind: RefusalKind) {
        self.refusals.with_label_values(&[kind.label()]).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[retry_label(reason)]).inc();
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.map(|()| String::from_utf8_lossy(&text).into_owned()).unwrap_or_default()
    }

    /// Creates every label, so that a counter exists before its first event.
    fn touch_labels(&self) {
        for kind in RefusalKind::all() {
            self.refusals.with_label_values(&[kind.label()]);
        }
        for (_, label) in RETRY_LABELS {
            self.retries.with_label_values(&[*label]);
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn retry_label(reason: RetryReason) -> &'static str {
    RETRY_LABELS.iter().find(|(known, _)| *known == reason).map_or("other", |(_, label)| label)
}

fn name(name: &str) -> String {
    format!("dandelionfront_{name}")
}

fn register<M: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> M {
    let metric = metric.expect("metric names and labels are constants");
    registry.register(Box::new(metric.clone())).expect("metric names are unique");
    metric
}

fn counters(registry: &Registry, metric: &str, help: &str, label: &str) -> IntCounterVec {
    register(registry, IntCounterVec::new(Opts::new(name(metric), help), &[label]))
}

fn counter(registry: &Registry, metric: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(name(metric), help))
}

fn gauge(registry: &Registry, metric: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(name(metric), help))
}

fn histogram(registry: &Registry, metric: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name(metric), help).buckets(LATENCY_BUCKETS_S.to_vec());
    register(registry, Histogram::with_opts(opts))
}
