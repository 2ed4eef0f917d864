//! State shared by all threads, and state of one worker thread.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use dandelionfront_coordination::ConfigSnapshot;
use dandelionfront_coordination::holdings::Holdings;
use tokio::sync::watch;

use super::clock::SystemClock;
use super::handle::ControlHandle;
use super::metrics::Metrics;
use crate::connection::Clients;
use crate::settings::Settings;

/// State shared by all threads of the process.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the node.
    pub settings: Settings,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Clock of the node.
    pub clock: SystemClock,
    /// Active configuration.
    pub config: watch::Receiver<Arc<ConfigSnapshot>>,
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// What callers make the process hold.
    pub holdings: Arc<Holdings>,
    /// Whether the graceful shutdown has started.
    pub draining: AtomicBool,
}

impl Shared {
    /// Returns the active configuration.
    #[must_use]
    pub fn config(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.config.borrow())
    }

    /// Returns whether the graceful shutdown has started.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

/// State of one worker thread.
#[derive(Debug, Clone)]
pub struct Worker {
    /// State shared by all threads.
    pub shared: Arc<Shared>,
    /// HTTP clients of this thread.
    pub clients: Rc<Clients>,
}
