//! Metrics in the Prometheus text format.

use dandelionfront_coordination::RefusalKind;
use dandelionfront_coordination::history::HistoryReads;
use dandelionfront_coordination::ids::BackendId;
use dandelionfront_coordination::moves::MoveCause;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use crate::front::request::AnswerFault;
use crate::registry::MetricRegistry;

/// Reason for a retry; also the label of the retry counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// No connection to a backend server could be opened, or nothing of the request was written.
    BackendUnreachable,
    /// A backend server refused the request without running it.
    BackendBusy,
    /// A backend server is at the limit that it named.
    BackendAtLimit,
    /// A backend server was withdrawn from use between its choice and the sending.
    BackendWithdrawn,
    /// The process stood still between the choice of a backend server and the sending.
    Interrupted,
    /// An attempt may have run but got no complete answer, and the route allows another run.
    AttemptLost,
}

impl RetryReason {
    fn label(self) -> &'static str {
        match self {
            Self::BackendUnreachable => "backend_unreachable",
            Self::BackendBusy => "backend_busy",
            Self::BackendAtLimit => "backend_at_limit",
            Self::BackendWithdrawn => "backend_withdrawn",
            Self::Interrupted => "interrupted",
            Self::AttemptLost => "attempt_lost",
        }
    }
}

/// Maximum number of backend servers whose slowdown is exported.
const SLOW_SERVERS_EXPORTED_MAX: usize = 32;

/// Counters, gauges and histograms of one node.
#[derive(Debug, Clone)]
pub struct FrontMetrics {
    registry: MetricRegistry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    faulty_answers: IntCounterVec,
    session_moves: IntCounterVec,
    /// Turns of sessions whose previous turn this node sent too.
    pub session_turns: IntCounter,
    /// Answers truncated because the request failed after their head was sent.
    pub answers_broken_off: IntCounter,
    /// Connections opened to backend servers.
    pub backend_connections: IntCounter,
    /// Store calls made through another node.
    pub store_calls_relayed: IntCounter,
    /// Store calls by operation, including those sent through or for other nodes.
    pub store_calls: IntCounterVec,
    /// Store calls without a response, including those sent through or for other nodes.
    pub store_failures: IntCounter,
    /// Writes that the store refused because of its rate limit, by class.
    pub store_refusals: IntCounterVec,
    /// Repetitions of writes that the store refused because of its rate limit, by class.
    pub store_retries: IntCounterVec,
    /// Rate to which this node limits its writes to the store, per second; -1 without a limit.
    pub store_pace_per_s: IntGauge,
    /// Writes to the store that wait for this node's rate.
    pub store_calls_waiting: IntGauge,
    /// Time that writes to the store waited for this node's rate, in seconds; only those that did.
    pub store_wait_seconds: Histogram,
    /// Requests to other nodes for tokens of a program's budget, by result.
    pub tokens_borrowed: IntCounterVec,
    /// Earlier turns that were read for turns, by source.
    history_reads: IntCounterVec,
    /// Finished turns for the memory of other nodes, by result.
    pub turns_passed_on: IntCounterVec,
    /// Duration of store calls that do not wait for a change, in seconds.
    pub store_seconds: Histogram,
    /// Time that requests wait for a token of their team's limit, in seconds.
    pub limit_wait_seconds: Histogram,
    /// Tokens of teams' limits that were refunded, because no server ran their requests.
    pub limit_tokens_refunded: IntCounter,
    /// Time from a request's arrival until it is first sent, including waits for the limit, the
    /// store and a connection, in seconds.
    pub added_seconds: Histogram,
    /// Time from a request's arrival to its first event, in seconds; covers all event streams,
    /// although the help text mentions only turns.
    pub first_event_seconds: Histogram,
    /// The active configuration.
    pub config: ConfigMetrics,
    /// Connections of callers that were closed because they were idle for too long.
    pub callers_idle: IntCounter,
    /// Backend servers in the list.
    pub servers: IntGauge,
    /// Backend servers that take no new work.
    pub servers_draining: IntGauge,
    /// Backend servers that are cold.
    pub servers_cold: IntGauge,
    /// Availability zones whose backend servers get no new requests.
    pub zones_emptied: IntGauge,
    /// Slowdowns of the slow backend servers, as far as this node was told of them.
    server_slowdown: IntGaugeVec,
    /// Other nodes that reported recently.
    pub members_heard: IntGauge,
    /// Datagrams of other nodes that this build cannot read.
    pub datagrams_skipped: IntCounter,
    /// Lowest protocol number over this node and the others; 0 if one announces none.
    pub protocol_lowest: IntGauge,
    /// Other nodes with a lower protocol number than this one, or none.
    pub protocol_behind: IntGauge,
    /// Requests in flight.
    pub requests: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// What callers make the process hold.
    pub holdings: HoldingMetrics,
    /// Requests whose handling ended before their outcome was known.
    pub abandoned: AbandonedMetrics,
}

/// Metrics of requests whose handling ended before their outcome was known.
#[derive(Debug, Clone)]
pub struct AbandonedMetrics {
    /// Callers seen to disconnect before the end of their answer; failed writes are not counted.
    pub callers_gone: IntCounter,
    /// Those that servers may still run.
    pub open: IntGauge,
    /// Those whose servers have ended.
    pub lost: IntCounter,
    /// Those whose outcome was observed all the same.
    pub observed: IntCounter,
}

impl AbandonedMetrics {
    fn new(registry: &MetricRegistry) -> Self {
        Self {
            callers_gone: registry.counter("callers_gone_total", "Callers that left early"),
            open: registry
                .gauge("requests_abandoned", "Abandoned requests that servers may still run"),
            lost: registry
                .counter("abandoned_lost_total", "Abandoned requests whose servers have ended"),
            observed: registry
                .counter("abandoned_observed_total", "Abandoned requests that were observed"),
        }
    }
}

/// Metrics of what callers make the process hold.
#[derive(Debug, Clone)]
pub struct HoldingMetrics {
    /// Memory, in bytes.
    pub held_bytes: IntGauge,
    /// Callers that were refused or whose connections were closed because others needed the room.
    pub displaced: IntCounter,
}

impl HoldingMetrics {
    fn new(registry: &MetricRegistry) -> Self {
        Self {
            held_bytes: registry.gauge("held_bytes", "Memory held for callers"),
            displaced: registry
                .counter("callers_displaced_total", "Callers turned away for want of room"),
        }
    }
}

/// Metrics of the active configuration and of the reads that keep it current.
#[derive(Debug, Clone)]
pub struct ConfigMetrics {
    /// Version.
    pub version: IntGauge,
    /// Time since it was last confirmed as current, in milliseconds; -1 if never.
    pub age_ms: IntGauge,
    /// Size, in bytes.
    pub bytes: IntGauge,
    /// Failed reads of changes of the platform's tables, by table.
    pub changes_failed: IntCounterVec,
}

impl ConfigMetrics {
    fn new(registry: &MetricRegistry) -> Self {
        Self {
            version: registry.gauge("config_version", "Configuration in force"),
            age_ms: registry
                .gauge("config_age_milliseconds", "Time since the configuration was proved new"),
            bytes: registry.gauge("config_bytes", "Size of the configuration in force"),
            changes_failed: registry.counter_vec(
                "changes_failed_total",
                "Failed reads of changes of the platform's tables, by table",
                "table",
            ),
        }
    }
}

impl FrontMetrics {
    /// Creates the metrics.
    ///
    /// # Panics
    ///
    /// Panics when two metrics share a name, which is a bug in this module.
    #[must_use]
    pub fn new() -> Self {
        let registry = MetricRegistry::default();
        let metrics = Self {
            refusals: registry.counter_vec("refusals_total", "Refusals by reason", "reason"),
            retries: registry.counter_vec("retries_total", "Further attempts by reason", "reason"),
            faulty_answers: registry.counter_vec(
                "faulty_answers_total",
                "Answers of backend servers that did not reach the caller whole, by fault",
                "fault",
            ),
            session_moves: registry.counter_vec(
                "session_moves_total",
                "Turns sent to another backend server than the turn before, by cause",
                "cause",
            ),
            session_turns: registry
                .counter("session_turns_total", "Turns whose previous turn this node sent too"),
            answers_broken_off: registry.counter("answers_broken_off_total", "Answers cut"),
            backend_connections: registry
                .counter("backend_connections_total", "Connections opened to backend servers"),
            store_calls_relayed: registry
                .counter("store_calls_relayed_total", "Store calls made through another node"),
            store_calls: registry.counter_vec(
                "store_calls_total",
                "Store calls by operation",
                "operation",
            ),
            store_failures: registry.counter("store_failures_total", "Store calls that failed"),
            store_refusals: registry.counter_vec(
                "store_refusals_total",
                "Writes refused by the store's rate limit, by class",
                "class",
            ),
            store_retries: registry.counter_vec(
                "store_retries_total",
                "Repeated writes to the store, by class",
                "class",
            ),
            store_pace_per_s: registry
                .gauge("store_pace_per_second", "Limit of this node's writes to the store"),
            store_calls_waiting: registry
                .gauge("store_calls_waiting", "Writes to the store that wait for the limit"),
            store_wait_seconds: registry
                .histogram("store_wait_seconds", "Waits of writes to the store for the limit"),
            tokens_borrowed: registry.counter_vec(
                "tokens_borrowed_total",
                "Requests to other nodes for tokens of budgets, by result",
                "result",
            ),
            history_reads: registry.counter_vec(
                "history_reads_total",
                "Earlier turns read, by source",
                "source",
            ),
            turns_passed_on: registry.counter_vec(
                "turns_passed_on_total",
                "Finished turns for the memory of other nodes, by result",
                "result",
            ),
            store_seconds: registry.histogram("store_seconds", "Duration of store calls"),
            limit_tokens_refunded: registry
                .counter("limit_tokens_refunded_total", "Refunded tokens of teams' limits"),
            limit_wait_seconds: registry
                .histogram("limit_wait_seconds", "Waits of requests for a token of their team"),
            added_seconds: registry
                .histogram("added_seconds", "Time from a request's arrival to its first sending"),
            first_event_seconds: registry
                .histogram("first_event_seconds", "Time from a turn's arrival to its first event"),
            config: ConfigMetrics::new(&registry),
            callers_idle: registry
                .counter("callers_idle_total", "Connections closed after the idle time"),
            servers: registry.gauge("servers", "Backend servers in the list"),
            servers_draining: registry.gauge("servers_draining", "Those that take no new work"),
            servers_cold: registry.gauge("servers_cold", "Backend servers that are cold"),
            zones_emptied: registry.gauge("zones_emptied", "Zones that the operator has emptied"),
            server_slowdown: registry.gauge_vec(
                "server_slowdown",
                "Factor by which the answers of slow backend servers take longer",
                "server",
            ),
            members_heard: registry.gauge("members_heard", "Other nodes heard lately"),
            datagrams_skipped: registry
                .counter("datagrams_skipped_total", "Datagrams of nodes that were not understood"),
            protocol_lowest: registry
                .gauge("protocol_lowest", "Lowest protocol number over all nodes"),
            protocol_behind: registry
                .gauge("protocol_behind", "Other nodes with a lower protocol number"),
            requests: registry.gauge("requests", "Requests under way"),
            connections: registry.gauge("connections", "Open connections of callers"),
            holdings: HoldingMetrics::new(&registry),
            abandoned: AbandonedMetrics::new(&registry),
            registry,
        };
        for kind in RefusalKind::all() {
            metrics.refusals.with_label_values(&[kind.label()]).inc_by(0);
        }
        for cause in MoveCause::all() {
            metrics.session_moves.with_label_values(&[cause.label()]).inc_by(0);
        }
        metrics.count_history_reads(HistoryReads::default());
        metrics
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, kind: RefusalKind) {
        self.refusals.with_label_values(&[kind.label()]).inc();
    }

    /// Replaces the slowdowns of the slow backend servers; a limited number of them is exported.
    pub fn set_slow_servers<'a>(&self, servers: impl Iterator<Item = (&'a BackendId, i64)>) {
        self.server_slowdown.reset();
        for (server, slowdown) in servers.take(SLOW_SERVERS_EXPORTED_MAX) {
            self.server_slowdown.with_label_values(&[server]).set(slowdown);
        }
    }

    /// Counts an intended retry; the remaining time may not allow it.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.label()]).inc();
    }

    /// Counts an answer that did not reach the caller whole.
    pub fn count_faulty_answer(&self, fault: AnswerFault) {
        self.faulty_answers.with_label_values(&[fault.label()]).inc();
    }

    /// Counts the earlier turns read for a turn.
    pub fn count_history_reads(&self, reads: HistoryReads) {
        let HistoryReads { own, node, store } = reads;
        for (source, count) in [("own", own), ("node", node), ("store", store)] {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.history_reads.with_label_values(&[source]).inc_by(count);
        }
    }

    /// Counts the move of a session to another backend server.
    pub fn count_session_move(&self, cause: MoveCause) {
        self.session_moves.with_label_values(&[cause.label()]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        self.registry.render()
    }
}

impl Default for FrontMetrics {
    fn default() -> Self {
        Self::new()
    }
}
