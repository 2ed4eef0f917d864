//! Adapters to model engines and plain services.

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
    /// Answer for the caller.
    pub answer: Answer,
    /// Tokens spent.
    pub usage: Usage,
}

/// Why a backend server gave no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendError {
    /// Nothing was sent, or the backend server refused without running the request.
    NotRun(Refusal),
    /// The request was sent and its outcome is not known.
    Lost(Refusal),
}
