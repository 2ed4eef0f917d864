//! Graceful shutdown: the signal to connections, and counters of open connections and requests.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

/// Phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// Answers carry `Connection: close`; new connections are still served.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

/// Notifies the connections of a node of its shutdown.
#[derive(Debug)]
pub struct StopSignal {
    phase: watch::Sender<Phase>,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self { phase: watch::Sender::new(Phase::Serving) }
    }
}

impl StopSignal {
    /// Starts the shutdown: answers carry `Connection: close` from now on.
    pub fn leave(&self) {
        self.phase.send_replace(Phase::Leaving);
    }

    /// Signals that idle connections must be closed.
    pub fn close_idle(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Returns whether the shutdown has started.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Waits until idle connections must be closed.
    pub async fn wait_for_idle_close(&self) {
        let mut phase = self.phase.subscribe();
        // `self` holds the sender, so waiting cannot fail.
        let _ = phase.wait_for(|phase| *phase >= Phase::Closing).await;
    }
}

/// Number of active connections or requests, shared by all clones.
#[derive(Debug, Clone, Default)]
pub struct ActiveCount(Rc<Cell<usize>>);

/// Guard that counts one connection or request as active until dropped.
#[derive(Debug)]
pub struct ActiveGuard(ActiveCount);

impl ActiveCount {
    /// Increments the count until the returned guard is dropped.
    #[must_use]
    pub fn track(&self) -> ActiveGuard {
        self.0.set(self.0.get() + 1);
        ActiveGuard(self.clone())
    }

    /// Returns the count.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get().saturating_sub(1));
    }
}
