//! Metrics in the Prometheus text format.

use dandelionfront_coordination::RefusalKind;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

use crate::registry::MetricRegistry;

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
    registry: MetricRegistry,
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

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics when two metrics share a name, which is a fault of this module.
    #[must_use]
    pub fn new() -> Self {
        let registry = MetricRegistry::default();
        let metrics = Self {
            refusals: registry.counter_vec(
                "refusals_total",
                "Requests refused, by reason.",
                "kind",
            ),
            retries: registry.counter_vec("retries_total", "Tries repeated, by reason.", "reason"),
            calls_in_flight: registry.gauge("calls_in_flight", "Calls that callers wait for."),
            calls_answered: registry.counter("calls_answered_total", "Calls answered."),
            call_seconds: registry.histogram("call_seconds", "Arrival to complete answer."),
            program_seconds: registry.histogram("program_seconds", "Opening to end of programs."),
            first_token_seconds: registry
                .histogram("first_token_seconds", "Arrival to first token."),
            between_tokens_seconds: registry
                .histogram("between_tokens_seconds", "Time between tokens."),
            commit_seconds: registry.histogram("journal_commit_seconds", "Journal commits."),
            config_version: registry.gauge("config_version", "Configuration in force."),
            peer_sent_bytes: registry.counter("peer_sent_bytes_total", "Control bytes sent."),
            peer_received_bytes: registry
                .counter("peer_received_bytes_total", "Control bytes received."),
            peer_messages: registry.counter("peer_messages_total", "Control messages answered."),
            platform_requests: registry.counter_vec(
                "platform_requests_total",
                "Platform requests, by kind.",
                "kind",
            ),
            shards: registry.gauge("shards", "Shards held."),
            programs: registry.gauge("programs", "Programs held."),
            registry,
        };
        metrics.init_labels();
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
        String::from_utf8_lossy(&self.registry.render()).into_owned()
    }

    /// Creates every label, so that a counter exists before its first event.
    fn init_labels(&self) {
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
