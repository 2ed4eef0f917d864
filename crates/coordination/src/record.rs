//! Records of the journal: the changes to programs.

use serde::{Deserialize, Serialize};

use crate::call::Usage;
use crate::ids::{BackendId, CallSequence, ProgramId, RouteId, ShardId, TeamId};
use crate::payload::Body;

/// A record with the program that it changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Shard of the program.
    pub shard: ShardId,
    /// Id of the program.
    pub program: ProgramId,
    /// Change to the program.
    pub record: Record,
}

/// Identity of a call and of one attempt to execute it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallKey {
    /// Position of the call in the program.
    pub sequence: CallSequence,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Caller's idempotency key.
    pub idempotency_key: String,
    /// Digest of the request.
    pub digest: String,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Route of the call.
    pub route: RouteId,
}

/// Answer as stored in the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status of the backend server.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body, inline or in the object store.
    pub body: Body,
}

/// Why a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// The caller ended the program, or its only call finished.
    Ended,
    /// An operator cancelled the program.
    Cancelled,
    /// The parent program ended.
    ParentEnded,
    /// The program had no call for longer than the idle timeout.
    Abandoned,
}

/// A change to a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The program was opened.
    Opened {
        /// Team that owns the program.
        team: TeamId,
        /// Parent program, for a sub-agent.
        parent: Option<ProgramId>,
        /// Token budget of the program and its sub-agents.
        budget_tokens: Option<u64>,
        /// Whether the program consists of a single call.
        single: bool,
        /// Unix time of opening, in milliseconds.
        opened_unix_ms: u64,
    },
    /// An attempt is about to be sent to a backend server.
    Started {
        /// Identity of the call and the attempt.
        call: CallKey,
        /// Tokens charged until the attempt is recorded as finished, cancelled or failed; they stay
        /// charged if it is in doubt.
        reserved_tokens: u64,
    },
    /// An attempt finished with an answer.
    Finished {
        /// Identity of the call and the attempt.
        call: CallKey,
        /// Request body.
        request: Body,
        /// Answer of the backend server.
        answer: StoredAnswer,
        /// Tokens spent.
        usage: Usage,
        /// Backend server that answered.
        backend: BackendId,
    },
    /// An attempt was cancelled before anything was sent to a backend server.
    Cancelled {
        /// Identity of the call and the attempt.
        call: CallKey,
    },
    /// An attempt may have run, and its outcome is unknown.
    InDoubt {
        /// Identity of the call and the attempt.
        call: CallKey,
    },
    /// An attempt of a repeatable call failed after it was sent; its tokens stay charged.
    Failed {
        /// Identity of the call and the attempt.
        call: CallKey,
        /// Tokens charged for the attempt.
        charged_tokens: u64,
    },
    /// The program ended.
    Closed {
        /// Reason.
        reason: CloseReason,
        /// Unix time of closing, in milliseconds.
        closed_unix_ms: u64,
    },
    /// Model engines no longer hold cached state for the ended program.
    Released,
}
