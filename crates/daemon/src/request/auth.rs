//! Who a caller is, and whether its key still holds.

use std::sync::Arc;

use dandelionfront_coordination::config::snapshot::Caller;
use dandelionfront_coordination::{ConfigSnapshot, Refusal, RefusalKind, RunState};
use ntex::web::HttpRequest;
use tokio::sync::watch;

/// Team of requests without a key on routes that are open to all.
pub const ANONYMOUS_TEAM: &str = "-open-";

const BEARER: &str = "Bearer ";

/// Returns the key that a request presents.
fn bearer_key(request: &HttpRequest) -> Option<&str> {
    request.headers().get("authorization")?.to_str().ok()?.strip_prefix(BEARER).map(str::trim)
}

/// Returns the caller of a request, or `None` when it presents no key.
///
/// # Errors
///
/// Refuses keys that are unknown or withdrawn, and everything before the first configuration.
pub fn identify(config: &ConfigSnapshot, request: &HttpRequest) -> Result<Option<Caller>, Refusal> {
    if config.version() == 0 {
        return Err(Refusal::not_run(
            RefusalKind::NotReady,
            "the node has no configuration yet; repeat the request after the pause",
        ));
    }
    bearer_key(request).map(|key| config.authenticate(key)).transpose()
}

/// Creates the refusal of a request that needs a key and presents none.
#[must_use]
pub fn key_missing() -> Refusal {
    Refusal::not_run(
        RefusalKind::KeyUnknown,
        "the request presents no key; send Authorization: Bearer KEY",
    )
}

/// Watches that a caller's key stays valid while its request runs.
#[derive(Debug, Clone)]
pub struct KeyGuard {
    caller: Option<Caller>,
    config: watch::Receiver<Arc<ConfigSnapshot>>,
}

impl KeyGuard {
    /// Creates a guard for `caller`; a request without a key is never ended by it.
    #[must_use]
    pub fn new(caller: Option<Caller>, config: watch::Receiver<Arc<ConfigSnapshot>>) -> Self {
        Self { caller, config }
    }

    /// Completes once the key no longer holds.
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
