//! HTTP clients for model engines and plain services.

mod chat;
mod engine;
mod release;
mod service;

use dandelionfront_coordination::{Answer, Refusal, Usage};

pub use chat::{ChatBody, ChatBodyError, single_chunk};
pub use engine::{EngineCall, GenerationSink, HttpEngine, ModelEngine};
pub use release::Releaser;
pub use service::{HttpService, PlainService, ServiceCall};

/// Complete answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendAnswer {
    /// Answer to return to the caller.
    pub answer: Answer,
    /// Token usage of the call.
    pub usage: Usage,
}

/// Failure of a backend server to return a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendError {
    /// The request was not sent, or the backend server rejected it without running it.
    NotRun(Refusal),
    /// The request may have been sent, and its outcome is unknown.
    Lost(Refusal),
}
