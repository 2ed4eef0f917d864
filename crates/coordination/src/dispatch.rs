//! Choice of a backend server for a call, and what this node has outstanding at each.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use crate::config::ConfigSnapshot;
use crate::ids::BackendId;
use crate::refusal::{Refusal, RefusalKind};

/// Retries that may be saved up.
const RETRY_TOKENS_MAX: f64 = 10.0;
/// Retries earned by one first try.
const RETRY_TOKENS_PER_CALL: f64 = 0.1;

/// A backend server chosen for one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Address as `IP:PORT`.
    pub address: String,
}

/// Tracks outstanding calls and picks the least loaded backend server.
#[derive(Debug, Default)]
pub struct Dispatcher {
    outstanding: RefCell<HashMap<BackendId, u32>>,
    leaving: RefCell<HashSet<String>>,
    retry_budget: RefCell<RetryBudget>,
}

/// Retries allowed as a share of first tries.
#[derive(Debug)]
struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: RETRY_TOKENS_MAX }
    }
}

impl RetryBudget {
    fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_TOKENS_PER_CALL).min(RETRY_TOKENS_MAX);
    }

    fn withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

impl Dispatcher {
    /// Chooses a backend server for `served`, leaving out those in `tried`.
    ///
    /// # Errors
    ///
    /// Refuses when no active backend server is left.
    pub fn place(
        &self,
        config: &ConfigSnapshot,
        served: &str,
        tried: &[BackendId],
    ) -> Result<Placement, Refusal> {
        if tried.is_empty() {
            self.retry_budget.borrow_mut().deposit();
        } else if !self.retry_budget.borrow_mut().withdraw() {
            return Err(Refusal::not_run(
                RefusalKind::NoBackend,
                "too many calls are being retried at other backend servers; repeat it later",
            ));
        }
        let leaving = self.leaving.borrow();
        let mut outstanding = self.outstanding.borrow_mut();
        let load = |name: &BackendId| outstanding.get(name).copied().unwrap_or(0);
        let chosen = config
            .active_backends(served)
            .filter(|(name, backend)| !tried.contains(name) && !leaving.contains(&backend.address))
            // Equally loaded ones are drawn at random, so that nodes do not all pick the same.
            .min_by_key(|(name, _)| (load(name), rand::random::<u32>()));
        let Some((name, backend)) = chosen else {
            return Err(Refusal::not_run(
                RefusalKind::NoBackend,
                format!("no backend server of {served:?} can take the call; repeat it later"),
            ));
        };
        *outstanding.entry(name.clone()).or_default() += 1;
        Ok(Placement { backend: name.clone(), address: backend.address.clone() })
    }

    /// Sets the addresses that the platform reports as leaving or gone.
    pub fn set_leaving(&self, addresses: HashSet<String>) {
        *self.leaving.borrow_mut() = addresses;
    }

    /// Records the end of an attempt.
    pub fn release(&self, placement: &Placement) {
        if let Some(count) = self.outstanding.borrow_mut().get_mut(&placement.backend) {
            *count = count.saturating_sub(1);
        }
    }
}
