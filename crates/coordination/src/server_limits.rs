//! Limits that backend servers name for themselves.
//!
//! A server in need names in its answers how many requests a second it takes from all nodes
//! together, and names none once it has recovered. The newest answer counts, whichever node got it.

use std::collections::HashMap;
use std::time::Duration;

use crate::load::ServerHash;

/// What a backend server's newest known answer said of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedLimit {
    /// Requests a second from all nodes together; `None` if the answer named no limit.
    pub per_s: Option<f64>,
    /// Time of the answer.
    pub answered_at: Duration,
}

/// Limits of the backend servers as known to one node.
#[derive(Debug, Default)]
pub struct NamedLimits {
    servers: HashMap<ServerHash, NamedLimit>,
}

impl NamedLimits {
    /// Records what an answer said, unless a later answer is known; returns whether the limit has
    /// changed.
    pub fn note(&mut self, server: ServerHash, named: NamedLimit) -> bool {
        match self.servers.get_mut(&server) {
            Some(known) if named.answered_at < known.answered_at => false,
            Some(known) => {
                let is_changed = known.per_s != named.per_s;
                *known = named;
                is_changed
            }
            None => {
                self.servers.insert(server, named);
                named.per_s.is_some()
            }
        }
    }

    /// Returns the limit of a server in requests a second, if it has named one.
    #[must_use]
    pub fn per_s(&self, server: ServerHash) -> Option<f64> {
        self.servers.get(&server).and_then(|named| named.per_s)
    }

    /// Discards the limit of a server that has left.
    pub fn forget(&mut self, server: ServerHash) {
        self.servers.remove(&server);
    }
}
