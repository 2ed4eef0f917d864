//! Selects, for each call, the backend server with the fewest calls in flight from this node.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use crate::config::ConfigSnapshot;
use crate::ids::BackendId;
use crate::refusal::{Refusal, RefusalKind};

/// Capacity of the retry budget: the number of retries allowed in a burst.
const RETRY_BURST: f64 = 10.0;
/// Retries that each first attempt adds to the retry budget.
const RETRIES_PER_CALL: f64 = 0.1;

/// A backend server chosen for one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Address as `IP:PORT`.
    pub address: String,
}

/// Counts the calls in flight at each backend server and selects the least loaded one.
#[derive(Debug, Default)]
pub struct Dispatcher {
    in_flight: RefCell<HashMap<BackendId, u32>>,
    leaving: RefCell<HashSet<String>>,
    retry_budget: RefCell<RetryBudget>,
}

/// Token bucket that limits retries to a fraction of the first attempts.
#[derive(Debug)]
struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { retries: RETRY_BURST }
    }
}

impl RetryBudget {
    fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_CALL).min(RETRY_BURST);
    }

    fn withdraw(&mut self) -> bool {
        let allowed = self.retries >= 1.0;
        if allowed {
            self.retries -= 1.0;
        }
        allowed
    }
}

impl Dispatcher {
    /// Selects a backend server for the model or plain service `served`, excluding `tried`.
    ///
    /// The attempt is counted as in flight until [`Dispatcher::release`]. If `tried` is not empty,
    /// the attempt is a retry and spends from the retry budget.
    ///
    /// # Errors
    ///
    /// Refuses when no active backend server is left or the retry budget is exhausted.
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
        let mut in_flight = self.in_flight.borrow_mut();
        let load = |name: &BackendId| in_flight.get(name).copied().unwrap_or(0);
        let chosen = config
            .active_backends(served)
            .filter(|(name, backend)| !tried.contains(name) && !leaving.contains(&backend.address))
            // Ties are broken at random, so that nodes do not all select the same backend server.
            .min_by_key(|(name, _)| (load(name), rand::random::<u32>()));
        let Some((name, backend)) = chosen else {
            return Err(Refusal::not_run(
                RefusalKind::NoBackend,
                format!("no backend server of {served:?} can take the call; repeat it later"),
            ));
        };
        *in_flight.entry(name.clone()).or_default() += 1;
        Ok(Placement { backend: name.clone(), address: backend.address.clone() })
    }

    /// Excludes the backend servers at these addresses, which the platform reports as leaving or
    /// gone; replaces the previous addresses.
    pub fn set_leaving(&self, addresses: HashSet<String>) {
        *self.leaving.borrow_mut() = addresses;
    }

    /// Records the end of an attempt at `placement`.
    pub fn release(&self, placement: &Placement) {
        if let Some(count) = self.in_flight.borrow_mut().get_mut(&placement.backend) {
            *count = count.saturating_sub(1);
        }
    }
}
