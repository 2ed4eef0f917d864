//! Choice of a backend server for a call, and what this node has outstanding at each.

use std::cell::RefCell;
use std::collections::HashMap;

use crate::config::ConfigSnapshot;
use crate::ids::BackendId;
use crate::refusal::{Refusal, RefusalKind};

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
        let mut outstanding = self.outstanding.borrow_mut();
        let load = |name: &BackendId| outstanding.get(name).copied().unwrap_or(0);
        let chosen = config
            .active_backends(served)
            .filter(|(name, _)| !tried.contains(name))
            .min_by_key(|(name, _)| load(name));
        let Some((name, backend)) = chosen else {
            return Err(Refusal::not_run(
                RefusalKind::NoBackend,
                format!("no backend server of {served:?} can take the call; repeat it later"),
            ));
        };
        *outstanding.entry(name.clone()).or_default() += 1;
        Ok(Placement { backend: name.clone(), address: backend.address.clone() })
    }

    /// Records the end of an attempt.
    pub fn release(&self, placement: &Placement) {
        if let Some(count) = self.outstanding.borrow_mut().get_mut(&placement.backend) {
            *count = count.saturating_sub(1);
        }
    }
}
