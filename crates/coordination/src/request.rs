//! Scheduling headers of a caller's request.

use std::time::Duration;

/// Identifier that a caller gives each attempt of a request; a stored turn is named by it.
pub type RequestId = String;

/// Part of a prompt; requests with equal parts can share cached tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier; equal parts have equal identifiers.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// The program that a request belongs to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProgramContext {
    /// Identifier of the program.
    pub id: String,
    /// Identifier of the session, a sequence of turns within the program.
    pub session: String,
    /// Time left until the deadline of the whole program.
    pub time_left: Option<Duration>,
    /// Maximum number of tokens that all turns of the program together may generate.
    pub budget_tokens: Option<u64>,
}

/// Decoded headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestContext {
    /// Identifier of the attempt.
    pub id: RequestId,
    /// Time limit set by the caller, counted from the arrival of the request.
    pub deadline: Option<Duration>,
    /// Object that the request refers to, used as an affinity key.
    pub affinity: Option<String>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that may be generated.
    pub output_tokens_max: u64,
    /// Request id of the stored turn that this request continues from.
    pub previous_turn: Option<RequestId>,
    /// Id of the last event that the caller has received.
    pub resume_after: Option<u64>,
    /// Request id of the attempt that brought the first event of the stream, if the request resumes
    /// one.
    pub resumes: Option<RequestId>,
    /// Program that the request belongs to.
    pub program: Option<ProgramContext>,
}
