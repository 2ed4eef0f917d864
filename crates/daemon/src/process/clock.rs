//! Clock of the operating system.

use std::time::{Duration, Instant, UNIX_EPOCH};

use dandelionfront_coordination::Clock;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;

/// Clock of the operating system; copies share the origin of the monotonic time.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    started: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { started: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn monotonic(&self) -> Duration {
        self.started.elapsed()
    }

    fn unix(&self) -> Duration {
        UNIX_EPOCH.elapsed().unwrap_or_default()
    }

    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        tokio::time::sleep(duration).boxed_local()
    }
}
