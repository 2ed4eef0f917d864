//! Calls of a program, their answers, and the feed that several readers of one execution share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use crate::ids::{CallSequence, ProgramId, RouteId, TeamId, sha256_hex};
use crate::payload::Payload;
use crate::refusal::Refusal;

/// Kind of a call, with the parameters of that kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallTarget {
    /// A chat completion by a model engine.
    Model {
        /// Upper bound of the prompt length, in tokens.
        prompt_tokens_max: u64,
        /// Upper bound of the completion length, in tokens.
        completion_tokens_max: u64,
    },
    /// A request to a plain service.
    Service {
        /// HTTP method.
        method: String,
        /// Path and query below the route.
        path: String,
        /// Content type of the body.
        content_type: String,
    },
}

/// A call as forwarded to the program's owner; does not contain the caller's API key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// Program that the call belongs to.
    pub program: ProgramId,
    /// Whether the program consists of this call alone.
    pub single: bool,
    /// Position of the call in the program.
    pub sequence: CallSequence,
    /// Idempotency key, by which a retry of this call is recognised.
    pub idempotency_key: String,
    /// Team that the caller's API key belongs to.
    pub team: TeamId,
    /// Route named by the caller.
    pub route: RouteId,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Kind of the call.
    pub target: CallTarget,
    /// Whether the caller asked for a streamed answer.
    pub stream: bool,
    /// Body to send to the backend server.
    pub body: Payload,
}

impl CallRequest {
    /// Returns a digest that detects a different request with the same idempotency key.
    #[must_use]
    pub fn digest(&self) -> String {
        let mut hasher = Sha256::new();
        hasher.update(&self.route);
        hasher.update([0]);
        if let CallTarget::Service { method, path, .. } = &self.target {
            hasher.update(method);
            hasher.update([0]);
            hasher.update(path);
        }
        hasher.update([0]);
        hasher.update(&self.body.0);
        sha256_hex(&hasher.finalize())
    }

    /// Returns the maximum number of tokens that the call can spend.
    #[must_use]
    pub fn tokens_max(&self) -> u64 {
        match self.target {
            CallTarget::Model { prompt_tokens_max, completion_tokens_max } => {
                prompt_tokens_max.saturating_add(completion_tokens_max)
            }
            CallTarget::Service { .. } => 0,
        }
    }
}

/// Complete answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the backend server.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Complete body.
    pub body: Payload,
}

/// Token usage of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

impl Usage {
    /// Returns all tokens that count against a budget.
    #[must_use]
    pub fn total_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }
}

/// Final result of a call.
pub type CallOutcome = Result<Answer, Refusal>;

/// An event that the readers of a call receive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEvent {
    /// A chunk of a streamed answer.
    Delta(Payload),
    /// The complete answer; the last event.
    Finished(Answer),
    /// The refusal, instead of an answer; the last event.
    Refused(Refusal),
}

impl From<CallOutcome> for CallEvent {
    fn from(outcome: CallOutcome) -> Self {
        match outcome {
            Ok(answer) => Self::Finished(answer),
            Err(refusal) => Self::Refused(refusal),
        }
    }
}

#[derive(Debug, Default)]
struct FeedState {
    deltas: Vec<Payload>,
    outcome: Option<CallOutcome>,
}

/// Output of one running call, shared by every caller that joins it.
///
/// ```
/// use dandelionfront_coordination::{CallFeed, Payload};
///
/// let feed = CallFeed::new();
/// let mut reader = feed.reader();
/// feed.push(Payload::from("hello"));
/// assert!(reader.try_next().is_some());
/// ```
#[derive(Debug)]
pub struct CallFeed {
    state: Mutex<FeedState>,
    changed: watch::Sender<()>,
}

impl CallFeed {
    /// Creates an empty feed.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), changed: watch::Sender::new(()) })
    }

    /// Appends a chunk of the answer; does nothing once the feed is closed.
    pub fn push(&self, delta: Payload) {
        let mut state = self.lock();
        if state.outcome.is_none() {
            state.deltas.push(delta);
            drop(state);
            self.changed.send_replace(());
        }
    }

    /// Closes the feed with `outcome`; does nothing if it is already closed.
    pub fn close(&self, outcome: CallOutcome) {
        let mut state = self.lock();
        if state.outcome.is_none() {
            state.outcome = Some(outcome);
            drop(state);
            self.changed.send_replace(());
        }
    }

    /// Returns the current number of readers.
    #[must_use]
    pub fn reader_count(&self) -> usize {
        self.changed.receiver_count()
    }

    /// Returns a reader that starts at the first chunk.
    #[must_use]
    pub fn reader(self: &Arc<Self>) -> FeedReader {
        self.reader_from(0)
    }

    /// Returns a reader that skips the first `position` chunks.
    #[must_use]
    pub fn reader_from(self: &Arc<Self>, position: usize) -> FeedReader {
        FeedReader { changed: self.changed.subscribe(), feed: Arc::clone(self), position }
    }

    /// Returns whether the feed is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.lock().outcome.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, FeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the events of a [`CallFeed`] up to its outcome.
#[derive(Debug)]
pub struct FeedReader {
    feed: Arc<CallFeed>,
    changed: watch::Receiver<()>,
    position: usize,
}

impl FeedReader {
    /// Returns the next event if it is already available.
    pub fn try_next(&mut self) -> Option<CallEvent> {
        let state = self.feed.lock();
        if let Some(delta) = state.deltas.get(self.position) {
            self.position += 1;
            return Some(CallEvent::Delta(delta.clone()));
        }
        state.outcome.clone().map(CallEvent::from)
    }

    /// Waits for the next event; once the outcome is reached, returns it each time.
    pub async fn next(&mut self) -> CallEvent {
        loop {
            self.changed.mark_unchanged();
            if let Some(event) = self.try_next() {
                return event;
            }
            if self.changed.changed().await.is_err() {
                return CallEvent::Refused(Refusal::outcome_unknown());
            }
        }
    }
}
