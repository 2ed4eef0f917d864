//! Authentication of callers, and revocation while their requests run.

use std::sync::Arc;

use dandelionfront_coordination::config::snapshot::Caller;
use dandelionfront_coordination::{ConfigSnapshot, Refusal, RefusalKind, RunState};
use ntex::web::HttpRequest;
use tokio::sync::watch;

/// Team of requests without a key, which are accepted only on routes that are open to all.
pub const ANONYMOUS_TEAM: &str = "-open-";

const BEARER: &str = "Bearer ";

/// Returns the bearer token of a request.
fn bearer_key(request: &HttpRequest) -> Option<&str> {
    request.headers().get("authorization")?.to_str().ok()?.strip_prefix(BEARER).map(str::trim)
}

/// Authenticates the caller of a request; returns `None` if the request has no key.
///
/// # Errors
///
/// Refuses unknown and withdrawn keys, and any request before the first configuration.
pub fn authenticate(
    config: &ConfigSnapshot,
    request: &HttpRequest,
) -> Result<Option<Caller>, Refusal> {
    if config.version() == 0 {
        return Err(Refusal::not_run(
            RefusalKind::NotReady,
            "the node has no configuration yet; repeat the request after the pause",
        ));
    }
    bearer_key(request).map(|key| config.authenticate(key)).transpose()
}

/// Returns the refusal of a request that needs a key but has none.
#[must_use]
pub fn key_missing() -> Refusal {
    Refusal::not_run(
        RefusalKind::KeyUnknown,
        "the request presents no key; send Authorization: Bearer KEY",
    )
}

/// Detects when a caller's key becomes invalid while its request runs.
#[derive(Debug, Clone)]
pub struct KeyWatcher {
    caller: Option<Caller>,
    config: watch::Receiver<Arc<ConfigSnapshot>>,
}

impl KeyWatcher {
    /// Creates a watcher for `caller`; without a caller, it never completes.
    #[must_use]
    pub fn new(caller: Option<Caller>, config: watch::Receiver<Arc<ConfigSnapshot>>) -> Self {
        Self { caller, config }
    }

    /// Completes with a refusal when the key becomes invalid.
    pub async fn invalidated(&mut self) -> Refusal {
        let Some(caller) = &self.caller else {
            return std::future::pending().await;
        };
        loop {
            if let Err(refusal) = self.config.borrow_and_update().recheck(caller) {
                return Refusal { run: RunState::Unknown, ..refusal };
            }
            if self.config.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}
