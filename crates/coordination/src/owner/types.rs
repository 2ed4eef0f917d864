//! Settings of an owner, and the arguments and results of its methods.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::{Answer, CallFeed, Usage};
use crate::ids::{BackendId, IncarnationId, ProgramId};
use crate::record::{CallKey, StoredAnswer};
use crate::refusal::Refusal;

/// Timeouts of an [`Owner`](super::Owner).
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// Maximum time that a call waits for its predecessor.
    pub order_wait: Duration,
    /// Maximum time to wait for the commit that records a call's start before the dispatch.
    pub start_commit_wait: Duration,
    /// Maximum time that a caller waits for the commit that records the end of its call.
    pub end_commit_wait: Duration,
    /// Maximum time from the beginning of the start commit to the first byte sent to a backend
    /// server; must be longer than `start_commit_wait`.
    pub dispatch_window: Duration,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            order_wait: Duration::from_secs(10),
            start_commit_wait: Duration::from_secs(2),
            end_commit_wait: Duration::from_secs(10),
            dispatch_window: Duration::from_secs(3),
        }
    }
}

/// Permission to execute one attempt of a call.
#[derive(Debug, Clone)]
pub struct CallTicket {
    /// Program of the call.
    pub program: ProgramId,
    /// Identity of the call and the attempt.
    pub key: CallKey,
    /// Feed that receives the output of the call.
    pub feed: Arc<CallFeed>,
    /// Monotonic time after which nothing may be sent to a backend server; `None` if the start is
    /// not recorded.
    pub dispatch_deadline: Option<Duration>,
    /// Maximum number of tokens that the attempt can spend; reserved if a budget applies or the
    /// start is recorded.
    pub reserved_tokens: u64,
    /// Incarnation that admitted the call; only this one may record its end.
    pub incarnation: IncarnationId,
    /// Epoch of the shard, sent to backend servers as the fencing number; 0 until the caller of
    /// [`Owner::admit`](super::Owner::admit) sets it.
    pub fencing_number: u64,
}

/// Result of admitting a call.
#[derive(Debug)]
pub enum Admission {
    /// The call finished earlier; the caller gets the recorded answer.
    Recorded(StoredAnswer),
    /// The call is already running; the caller reads its feed.
    Join(Arc<CallFeed>),
    /// The caller of [`Owner::admit`](super::Owner::admit) must execute the call and report its
    /// end.
    Run(CallTicket),
}

/// End of an attempt.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The backend server returned a complete answer.
    Answered {
        /// Complete answer.
        answer: Answer,
        /// Tokens spent.
        usage: Usage,
        /// Backend server that answered.
        backend: BackendId,
    },
    /// The request was not sent, or every backend server that received it rejected it without
    /// running it.
    NotSent(Refusal),
    /// The request may have run, but no complete answer was received.
    Lost(Refusal),
}

/// Parameters of a new program.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProgramSpec {
    /// Team that owns the program.
    pub team: String,
    /// Parent program, for a sub-agent.
    pub parent: Option<ProgramId>,
    /// Token budget of the program and its sub-agents.
    pub budget_tokens: Option<u64>,
}
