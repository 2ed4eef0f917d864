//! What a caller's request says of itself.

use std::time::Duration;

/// Identifier of one attempt of a caller.
pub type RequestId = String;

/// A part of a prompt that requests may share.
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
    /// One value for each line of turns.
    pub session: String,
    /// Time until the whole program should be finished.
    pub time_left: Option<Duration>,
    /// Tokens that all turns of the program together may generate.
    pub budget_tokens: Option<u64>,
}

/// Decoded headers of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestContext {
    /// Identifier of the attempt.
    pub id: RequestId,
    /// Time that the caller waits, from the arrival of the request.
    pub deadline: Option<Duration>,
    /// Object that the request concerns.
    pub affinity: Option<String>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that may be generated.
    pub output_tokens_max: u64,
    /// Request id of the kept turn that this one continues from.
    pub previous_turn: Option<RequestId>,
    /// Last event that the caller already has.
    pub resume_after: Option<u64>,
    /// Program of the request.
    pub program: Option<ProgramContext>,
}
