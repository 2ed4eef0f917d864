//! Whether one node has lost its way to all backend servers.
//!
//! A server that cannot be connected to may have failed itself. The node then probes some others;
//! only if none of them accepts a connection has the node been cut off, and it sends its requests
//! through another node until a probe succeeds.

use std::time::Duration;

/// Time after an accepted connection in which a failed one arouses no suspicion.
const CONNECTED_RECENTLY: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    #[default]
    Reached,
    /// Other servers are being probed.
    Suspected,
    Lost,
}

/// Reachability of the backend servers from one node, by new connections.
///
/// Answers on open connections are no evidence: a partition may leave these alone and refuse new
/// ones.
#[derive(Debug, Default)]
pub struct BackendReach {
    state: State,
    /// Time at which a server last accepted a connection.
    connected_at: Option<Duration>,
}

impl BackendReach {
    /// Returns whether the node has no way to any backend server.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.state == State::Lost
    }

    /// Records that a server accepted a connection; returns whether the servers were lost before.
    pub fn note_connected(&mut self, now: Duration) -> bool {
        self.connected_at = Some(now);
        std::mem::take(&mut self.state) == State::Lost
    }

    /// Records that a server did not accept a connection; returns whether others should be probed
    /// now.
    pub fn note_failure(&mut self, now: Duration) -> bool {
        let is_recent = self.connected_at.is_some_and(|at| now < at + CONNECTED_RECENTLY);
        if self.state != State::Reached || is_recent {
            return false;
        }
        self.state = State::Suspected;
        true
    }

    /// Records that no probed server accepted a connection; returns whether this is new.
    pub fn note_probes_failed(&mut self) -> bool {
        std::mem::replace(&mut self.state, State::Lost) != State::Lost
    }
}
