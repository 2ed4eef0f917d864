//! Records of the journal.

use serde::{Deserialize, Serialize};

use crate::call::Usage;
use crate::ids::{BackendId, CallSequence, ProgramId, RouteId, ShardId, TeamId};
use crate::payload::Body;

/// A record with the program that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Shard of the program.
    pub shard: ShardId,
    /// Program that changes.
    pub program: ProgramId,
    /// What changes.
    pub record: Record,
}

/// Identity of one call and of one attempt at it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallKey {
    /// Position in the program.
    pub sequence: CallSequence,
    /// Attempt, from 1.
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
    /// Where the body is kept.
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
    /// No call arrived within the retention time.
    Abandoned,
}

/// A change of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The program was opened.
    Opened {
        /// Team that owns the program.
        team: TeamId,
        /// Program that spawned this one as a sub-agent.
        parent: Option<ProgramId>,
        /// Most tokens that the program and its sub-agents may spend.
        budget_tokens: Option<u64>,
        /// Whether the program consists of a single call.
        single: bool,
        /// Time of opening, since the Unix epoch.
        opened_unix_ms: u64,
    },
    /// An attempt is about to be handed to a backend server.
    Started {
        /// Call and attempt.
        call: CallKey,
        /// Tokens charged until the outcome is known.
        reserved_tokens: u64,
    },
    /// An attempt finished with an answer.
    Finished {
        /// Call and attempt.
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
    /// An attempt was given up before anything was sent to a backend server.
    Cancelled {
        /// Call and attempt.
        call: CallKey,
    },
    /// An attempt may have run and its outcome is not known.
    InDoubt {
        /// Call and attempt.
        call: CallKey,
    },
    /// A repeatable attempt failed after it was sent; its reservation stays charged.
    Failed {
        /// Call and attempt.
        call: CallKey,
        /// Tokens charged for the attempt.
        charged_tokens: u64,
    },
    /// The program ended.
    Closed {
        /// Why.
        reason: CloseReason,
        /// Time of closing, since the Unix epoch.
        closed_unix_ms: u64,
    },
    /// No engine holds memory for the ended program any more.
    Released,
}
