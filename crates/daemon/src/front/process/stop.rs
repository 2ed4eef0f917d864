//! A planned stop, and what it waits for.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// Answers carry `Connection: close`; new connections are still served.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

/// Tells the connections of a node that it stops.
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
    /// Announces the stop.
    pub fn leave(&self) {
        self.phase.send_replace(Phase::Leaving);
    }

    /// Has idle connections closed.
    pub fn close_idle(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Returns whether the stop was announced.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Completes when idle connections are to be closed.
    pub async fn wait_for_idle_close(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as this borrow, so waiting cannot fail.
        let _ = phase.wait_for(|phase| *phase >= Phase::Closing).await;
    }
}

/// Number of things under way.
#[derive(Debug, Clone, Default)]
pub struct ActiveCount(Rc<Cell<usize>>);

/// Counts one thing until dropped.
#[derive(Debug)]
pub struct ActiveGuard(ActiveCount);

impl ActiveCount {
    /// Counts one more until the returned guard is dropped.
    #[must_use]
    pub fn track(&self) -> ActiveGuard {
        self.0.set(self.0.get() + 1);
        ActiveGuard(self.clone())
    }

    /// Returns the number of guards alive.
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
