//! State of one program, rebuilt from its journal records.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::call::{CallRequest, Usage};
use crate::ids::{BackendId, CallSequence, ProgramId, TeamId};
use crate::payload::Body;
use crate::record::{CallKey, CloseReason, Record, StoredAnswer};
use crate::refusal::{Refusal, RefusalKind};

/// Recorded phase of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallPhase {
    /// An attempt is recorded as started; its outcome is not recorded yet.
    Started {
        /// Tokens reserved for the attempt.
        reserved_tokens: u64,
    },
    /// The answer is recorded.
    Finished {
        /// Request body.
        request: Body,
        /// Answer of the backend server.
        answer: StoredAnswer,
        /// Tokens spent.
        usage: Usage,
    },
    /// The outcome is unknown; the call is never executed again.
    InDoubt,
    /// The last attempt ended without an answer; the call can be retried.
    Open,
}

/// Recorded state of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Identity of the call and of its last attempt.
    pub key: CallKey,
    /// Recorded phase.
    pub phase: CallPhase,
}

/// How to handle an arriving call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Execute the call as this attempt.
    Run {
        /// Attempt number.
        attempt: u32,
    },
    /// Return the recorded answer.
    Recorded(StoredAnswer),
    /// Wait for the predecessor, or for the attempt of this repeatable call that is recorded as
    /// started.
    Wait,
    /// Refuse the call.
    Refuse(Refusal),
}

/// Recorded state of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Id of the program.
    pub id: ProgramId,
    /// Team that owns the program.
    pub team: TeamId,
    /// Parent program, for a sub-agent.
    pub parent: Option<ProgramId>,
    /// Token budget of the program and its sub-agents.
    pub budget_tokens: Option<u64>,
    /// Tokens charged to this program, excluding its sub-agents.
    pub spent_tokens: u64,
    /// Whether the program consists of a single call.
    pub single: bool,
    /// Why and when (Unix time in milliseconds) the program ended.
    pub closed: Option<(CloseReason, u64)>,
    /// Backend servers that answered calls of the program.
    pub backends: BTreeSet<BackendId>,
    /// Whether model engines no longer hold cached state for the program.
    pub released: bool,
    /// Unix time of opening, in milliseconds.
    pub opened_unix_ms: u64,
    /// Calls by sequence.
    pub calls: BTreeMap<CallSequence, Call>,
}

impl Program {
    /// Creates the state that a [`Record::Opened`] record describes.
    ///
    /// Returns `None` for any other record.
    #[must_use]
    pub fn from_opened(id: &str, record: &Record) -> Option<Self> {
        let Record::Opened { team, parent, budget_tokens, single, opened_unix_ms } = record else {
            return None;
        };
        Some(Self {
            id: id.to_owned(),
            team: team.clone(),
            parent: parent.clone(),
            budget_tokens: *budget_tokens,
            spent_tokens: 0,
            single: *single,
            closed: None,
            backends: BTreeSet::new(),
            released: false,
            opened_unix_ms: *opened_unix_ms,
            calls: BTreeMap::new(),
        })
    }

    /// Applies a committed record.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Opened { .. } => {}
            Record::Started { call, reserved_tokens } => {
                let phase = CallPhase::Started { reserved_tokens: *reserved_tokens };
                self.spent_tokens = self.spent_tokens.saturating_add(*reserved_tokens);
                self.set_call(call, phase);
            }
            Record::Finished { call, request, answer, usage, backend } => {
                self.backends.insert(backend.clone());
                self.refund_reservation(call);
                self.spent_tokens = self.spent_tokens.saturating_add(usage.total_tokens());
                let phase = CallPhase::Finished {
                    request: request.clone(),
                    answer: answer.clone(),
                    usage: *usage,
                };
                self.set_call(call, phase);
            }
            Record::Cancelled { call } => {
                self.refund_reservation(call);
                self.set_call(call, CallPhase::Open);
            }
            Record::InDoubt { call } => self.set_call(call, CallPhase::InDoubt),
            Record::Failed { call, charged_tokens } => {
                self.refund_reservation(call);
                self.spent_tokens = self.spent_tokens.saturating_add(*charged_tokens);
                self.set_call(call, CallPhase::Open);
            }
            Record::Released => self.released = true,
            Record::Closed { reason, closed_unix_ms } => {
                self.closed.get_or_insert((*reason, *closed_unix_ms));
            }
        }
    }

    /// Returns the lowest sequence that has no settled call.
    #[must_use]
    pub fn next_sequence(&self) -> CallSequence {
        // Calls settle in order, so their count gives the next sequence.
        let settled = self.calls.values().filter(|call| call.is_settled()).count();
        settled as CallSequence + 1
    }

    /// Returns whether an attempt of `request` is recorded.
    #[must_use]
    pub fn has_attempt(&self, request: &CallRequest) -> bool {
        let call = self.calls.get(&request.sequence);
        call.is_some_and(|call| call.key.idempotency_key == request.idempotency_key)
    }

    /// Decides how to handle `request`, based only on recorded state. An attempt that is recorded
    /// as started was begun by a previous owner.
    #[must_use]
    pub fn decide(&self, request: &CallRequest, digest: &str) -> Decision {
        if self.team != request.team {
            return Decision::Refuse(Refusal::program_unknown());
        }
        if let Some(call) = self.calls.get(&request.sequence) {
            return self.decide_existing(call, request, digest);
        }
        if let Some(refusal) = self.refuse_new(request) {
            return Decision::Refuse(refusal);
        }
        if request.sequence > self.next_sequence() {
            return Decision::Wait;
        }
        Decision::Run { attempt: 1 }
    }

    /// Returns the program's budget less the tokens charged to the program itself; the tokens of
    /// its sub-agents are not subtracted.
    #[must_use]
    pub fn remaining_tokens(&self) -> Option<u64> {
        self.budget_tokens.map(|budget| budget.saturating_sub(self.spent_tokens))
    }

    fn decide_existing(&self, call: &Call, request: &CallRequest, digest: &str) -> Decision {
        if call.key.idempotency_key != request.idempotency_key {
            // The existing call's last attempt ended without an answer, so another call may take
            // its sequence.
            if matches!(call.phase, CallPhase::Open) && self.closed.is_none() {
                return Decision::Run { attempt: call.key.attempt + 1 };
            }
            return Decision::Refuse(Refusal::not_run(
                RefusalKind::SequenceTaken,
                format!(
                    "Program-Sequence {} is taken by a call with another Idempotency-Key; \
                     the next free one is {}",
                    request.sequence,
                    self.next_sequence()
                ),
            ));
        }
        if call.key.digest != digest {
            return Decision::Refuse(idempotency_mismatch());
        }
        match &call.phase {
            CallPhase::Finished { answer, .. } => Decision::Recorded(answer.clone()),
            CallPhase::Started { .. } if call.key.repeatable => Decision::Wait,
            CallPhase::Started { .. } | CallPhase::InDoubt => {
                Decision::Refuse(Refusal::outcome_unknown())
            }
            CallPhase::Open if self.closed.is_some() => Decision::Refuse(program_closed()),
            CallPhase::Open => Decision::Run { attempt: call.key.attempt + 1 },
        }
    }

    fn refuse_new(&self, request: &CallRequest) -> Option<Refusal> {
        if self.closed.is_some() {
            return Some(program_closed());
        }
        let reused =
            self.calls.values().any(|call| call.key.idempotency_key == request.idempotency_key);
        reused.then(idempotency_mismatch)
    }

    fn refund_reservation(&mut self, key: &CallKey) {
        if let Some(Call { phase: CallPhase::Started { reserved_tokens }, .. }) =
            self.calls.get(&key.sequence)
        {
            self.spent_tokens = self.spent_tokens.saturating_sub(*reserved_tokens);
        }
    }

    fn set_call(&mut self, key: &CallKey, phase: CallPhase) {
        self.calls.insert(key.sequence, Call { key: key.clone(), phase });
    }
}

impl Call {
    /// Returns whether the call has an answer or is in doubt, so that the next call may run.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        matches!(self.phase, CallPhase::Finished { .. } | CallPhase::InDoubt)
    }
}

fn idempotency_mismatch() -> Refusal {
    Refusal::not_run(
        RefusalKind::IdempotencyMismatch,
        "the Idempotency-Key was used for another request; send a fresh key for a new request",
    )
}

/// Creates the refusal of a call to a program that has ended.
#[must_use]
pub fn program_closed() -> Refusal {
    Refusal::not_run(
        RefusalKind::ProgramClosed,
        "the program has ended; open a new one with POST /v1/programs",
    )
}
