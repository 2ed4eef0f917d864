//! What an owner takes and gives: settings, tickets, admissions, ends.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::{Answer, CallFeed, Usage};
use crate::ids::{BackendId, IncarnationId, ProgramId};
use crate::record::{CallKey, StoredAnswer};
use crate::refusal::Refusal;

/// Time bounds of the owner.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// Longest wait of a call for its predecessor.
    pub order_wait: Duration,
    /// Longest wait for a commit that must precede the dispatch.
    pub start_commit_wait: Duration,
    /// Longest wait of a caller for the commit that follows the backend server's answer.
    pub end_commit_wait: Duration,
    /// Longest time from the start of that commit to the first byte sent to a backend server.
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
    /// Call and attempt.
    pub key: CallKey,
    /// Feed to fill while the call runs.
    pub feed: Arc<CallFeed>,
    /// Monotonic time after which nothing may be sent to a backend server any more.
    pub dispatch_before: Option<Duration>,
    /// Tokens reserved for the attempt.
    pub reserved_tokens: u64,
    /// Incarnation that admitted the call; no other may record its end.
    pub incarnation: IncarnationId,
    /// Number of the shard's claim, sent to backend servers that check it.
    pub fencing_number: u64,
}

/// Result of admitting a call.
#[derive(Debug)]
pub enum Admission {
    /// The call finished earlier; the recorded answer is repeated.
    Recorded(StoredAnswer),
    /// The call is running; its feed can be followed.
    Join(Arc<CallFeed>),
    /// The caller of [`Owner::admit`] executes the call and reports its end.
    Run(CallTicket),
}

/// End of an attempt.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The backend server gave a complete answer.
    Answered {
        /// Complete answer.
        answer: Answer,
        /// Tokens spent.
        usage: Usage,
        /// Backend server that answered.
        backend: BackendId,
    },
    /// Nothing was sent to a backend server.
    NotSent(Refusal),
    /// Something was sent, and no complete answer came back.
    Lost(Refusal),
}

/// Parameters of a new program.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProgramSpec {
    /// Team that owns the program.
    pub team: String,
    /// Parent of a sub-agent.
    pub parent: Option<ProgramId>,
    /// Most tokens to spend.
    pub budget_tokens: Option<u64>,
}
