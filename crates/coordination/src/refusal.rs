//! Refusals: why a request was not answered, whether it ran, and how to proceed.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Whether a refused request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request was not executed.
    NotRun,
    /// The request may have been executed.
    Unknown,
    /// The request was executed.
    Ran,
}

/// Reason for a refusal, also used as a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is malformed.
    InvalidRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The head exceeds the size limit.
    HeadTooLarge,
    /// No key was sent, or the key is unknown.
    KeyUnknown,
    /// The request did not arrive completely in time.
    RequestTimeout,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The route does not exist or is not open to the team.
    RouteUnknown,
    /// The program does not exist for this team.
    ProgramUnknown,
    /// The turn to continue from does not exist for this team.
    TurnUnknown,
    /// The turn is larger than the store keeps.
    TurnTooLarge,
    /// The program has ended.
    ProgramClosed,
    /// A different call was already accepted with this sequence number.
    SequenceTaken,
    /// The preceding call of the program did not arrive in time.
    SequenceAhead,
    /// The idempotency key was used for another request.
    IdempotencyMismatch,
    /// The program's token budget does not cover the call.
    BudgetExhausted,
    /// The team exceeds its rate and burst.
    RateLimited,
    /// No holder of the team's limit can be reached.
    LimitUnavailable,
    /// No backend server can take the call.
    NoBackend,
    /// No node knows the software version that began the stream to resume, or its first events,
    /// where they are stored.
    StreamUnknown,
    /// Several backend servers ended while they ran the request.
    RequestQuarantined,
    /// The backend server failed before an answer was complete.
    BackendFailed,
    /// The platform or its store cannot be read or written.
    PlatformUnavailable,
    /// This node does not own the program's shard.
    NotOwner,
    /// The program's owner cannot be reached.
    OwnerUnreachable,
    /// The outcome of an earlier attempt is unknown, and the call must not be repeated.
    OutcomeUnknown,
    /// A deadline or timeout of the request passed.
    DeadlineExceeded,
    /// The caller or an operator cancelled the call.
    Cancelled,
    /// The node has no configuration yet.
    NotReady,
    /// The node cannot confirm that its configuration is current.
    ConfigStale,
    /// The node stops before the request's deadline.
    Stopping,
    /// The process holds too much for other callers.
    Overloaded,
}

/// Row of the refusal table: kind, label, HTTP status and default retry delay in milliseconds.
struct RefusalRow(RefusalKind, &'static str, u16, Option<u64>);

const REFUSALS: &[RefusalRow] = &[
    RefusalRow(RefusalKind::InvalidRequest, "invalid_request", 400, None),
    RefusalRow(RefusalKind::BodyTooLarge, "body_too_large", 413, None),
    RefusalRow(RefusalKind::HeadTooLarge, "head_too_large", 431, None),
    RefusalRow(RefusalKind::RequestTimeout, "request_timeout", 408, None),
    RefusalRow(RefusalKind::KeyUnknown, "key_unknown", 401, None),
    RefusalRow(RefusalKind::KeyWithdrawn, "key_withdrawn", 401, None),
    RefusalRow(RefusalKind::RouteUnknown, "route_unknown", 404, None),
    RefusalRow(RefusalKind::ProgramUnknown, "program_unknown", 404, None),
    RefusalRow(RefusalKind::TurnUnknown, "turn_unknown", 404, None),
    // Not 413, which would say that the configuration does not allow the body.
    RefusalRow(RefusalKind::TurnTooLarge, "turn_too_large", 503, None),
    RefusalRow(RefusalKind::ProgramClosed, "program_closed", 409, None),
    RefusalRow(RefusalKind::SequenceTaken, "sequence_taken", 409, None),
    RefusalRow(RefusalKind::SequenceAhead, "sequence_ahead", 409, Some(500)),
    RefusalRow(RefusalKind::IdempotencyMismatch, "idempotency_mismatch", 422, None),
    RefusalRow(RefusalKind::BudgetExhausted, "budget_exhausted", 402, None),
    RefusalRow(RefusalKind::RateLimited, "rate_limited", 429, Some(1_000)),
    RefusalRow(RefusalKind::LimitUnavailable, "limit_unavailable", 503, Some(1_000)),
    RefusalRow(RefusalKind::NoBackend, "no_backend", 503, Some(1_000)),
    RefusalRow(RefusalKind::StreamUnknown, "stream_unknown", 503, None),
    RefusalRow(RefusalKind::RequestQuarantined, "request_quarantined", 503, None),
    RefusalRow(RefusalKind::BackendFailed, "backend_failed", 502, Some(500)),
    RefusalRow(RefusalKind::PlatformUnavailable, "platform_unavailable", 503, Some(2_000)),
    RefusalRow(RefusalKind::NotOwner, "not_owner", 503, Some(200)),
    RefusalRow(RefusalKind::OwnerUnreachable, "owner_unreachable", 503, Some(1_000)),
    RefusalRow(RefusalKind::OutcomeUnknown, "outcome_unknown", 409, None),
    RefusalRow(RefusalKind::DeadlineExceeded, "deadline_exceeded", 504, Some(1_000)),
    RefusalRow(RefusalKind::Cancelled, "cancelled", 409, None),
    RefusalRow(RefusalKind::NotReady, "not_ready", 503, Some(1_000)),
    RefusalRow(RefusalKind::ConfigStale, "config_stale", 503, Some(500)),
    RefusalRow(RefusalKind::Stopping, "stopping", 503, Some(100)),
    RefusalRow(RefusalKind::Overloaded, "overloaded", 503, Some(500)),
];

impl RefusalKind {
    fn row(self) -> &'static RefusalRow {
        REFUSALS.iter().find(|row| row.0 == self).unwrap_or(&REFUSALS[0])
    }

    /// Returns the label used in JSON bodies and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        self.row().1
    }

    /// Returns the HTTP status of a request that was not executed.
    #[must_use]
    pub fn http_status(self) -> u16 {
        self.row().2
    }

    /// Returns all kinds.
    pub fn all() -> impl Iterator<Item = Self> {
        REFUSALS.iter().map(|row| row.0)
    }
}

/// Answer to a request that was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(display("{message}"))]
pub struct Refusal {
    /// Reason.
    pub kind: RefusalKind,
    /// Explanation for the caller, including a remedy.
    pub message: String,
    /// Whether the request was executed.
    pub run: RunState,
    /// Delay after which a retry may succeed; `None` if no retry is suggested.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that was not executed.
    #[must_use]
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), run: RunState::NotRun, retry_after_ms: kind.row().3 }
    }

    /// Creates a refusal of a request that may have been executed.
    #[must_use]
    pub fn may_have_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self { run: RunState::Unknown, ..Self::not_run(kind, message) }
    }

    /// Creates a refusal of a call whose earlier attempt has an unknown outcome.
    #[must_use]
    pub fn outcome_unknown() -> Self {
        Self::may_have_run(
            RefusalKind::OutcomeUnknown,
            "an earlier attempt may have run and must not be repeated; \
             check its effect at the service, then continue with the next Program-Sequence",
        )
    }

    /// Creates a refusal of a call for a shard that this node does not own.
    #[must_use]
    pub fn not_owner() -> Self {
        Self::not_run(
            RefusalKind::NotOwner,
            "the program is moving between nodes; repeat the call with the same Idempotency-Key",
        )
    }

    /// Creates a refusal for a program that does not exist or belongs to another team.
    #[must_use]
    pub fn program_unknown() -> Self {
        Self::not_run(
            RefusalKind::ProgramUnknown,
            "no such program for this key's team; open one with POST /v1/programs",
        )
    }

    /// Sets the run state to unknown if it is "not run" and an earlier attempt may have run.
    #[must_use]
    pub fn after_attempt(mut self, may_have_run: bool) -> Self {
        if may_have_run && self.run == RunState::NotRun {
            self.run = RunState::Unknown;
        }
        self
    }

    /// Returns the HTTP status for callers of the own interface: that of the kind, or 502 if
    /// callers would take it for "not run" and the request may have run.
    #[must_use]
    pub fn http_status(&self) -> u16 {
        match (self.run, self.kind.http_status()) {
            (RunState::NotRun, status) | (_, status @ (409 | 502 | 504)) => status,
            _ => 502,
        }
    }

    /// Sets the retry delay.
    #[must_use]
    pub fn retry_after_ms(mut self, pause_ms: u64) -> Self {
        self.retry_after_ms = Some(pause_ms);
        self
    }
}
