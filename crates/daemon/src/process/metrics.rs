//! Metrics in the Prometheus text format.

use dandelionfront_coordination::RefusalKind;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

use crate::registry::MetricRegistry;

/// Reason for a retry, which is also a label of the retry counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The owner of the program is unknown or could not be reached.
    OwnerUnreachable,
    /// The program was moving between nodes.
    OwnerMoved,
    /// The owner may have received the request, but the connection failed or timed out.
    OwnerLost,
    /// The backend server could not be reached or was overloaded.
    BackendUnreachable,
    /// Exported but never counted; overload counts as `BackendUnreachable`.
    BackendBusy,
    /// The stream of an engine was interrupted or idle and was resumed.
    StreamResumed,
    /// The outcome of an attempt of a repeatable call is unknown.
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

/// Metrics of one node.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: MetricRegistry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    /// Number of calls that callers are waiting for.
    pub calls_in_flight: IntGauge,
    /// Number of calls answered.
    pub calls_answered: IntCounter,
    /// Time from the arrival of a call to its complete answer; refused calls are not counted.
    pub call_seconds: Histogram,
    /// Time from the opening to the end of a program that was ended by a request.
    pub program_seconds: Histogram,
    /// Time from the arrival of a chat completion request to the first event of its call: a chunk,
    /// the complete answer or a refusal.
    pub first_token_seconds: Histogram,
    /// Time spent waiting for each event of a stream after the first.
    pub between_tokens_seconds: Histogram,
    /// Duration of journal commits.
    pub commit_seconds: Histogram,
    /// Active configuration version.
    pub config_version: IntGauge,
    /// Bytes sent on peer connections that this node opened.
    pub peer_sent_bytes: IntCounter,
    /// Bytes received on peer connections that this node opened.
    pub peer_received_bytes: IntCounter,
    /// Number of control messages received.
    pub peer_messages: IntCounter,
    /// Number of requests to the platform by kind, without deletions of objects and reads of the VM
    /// list.
    pub platform_requests: IntCounterVec,
    /// Number of shards that this node owns.
    pub shards: IntGauge,
    /// Number of programs that this node owns.
    pub programs: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics when two metrics have the same name, which is a bug in this module.
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

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.registry.render()).into_owned()
    }

    /// Creates the refusal and retry counters, so that they are exported as 0 before any event.
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
