//! Clocks of a node.

use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::Clock;
use rustix::time::{ClockId, clock_gettime};

use crate::process::clock::SystemClock;

/// The monotonic clock and the boot-time clock, which also counts time that the VM is suspended.
#[derive(Debug, Clone, Default)]
pub struct FrontClock {
    monotonic: SystemClock,
}

impl FrontClock {
    /// Creates clocks; the monotonic one starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { monotonic: SystemClock::new() }
    }

    /// Returns the monotonic time since the clock was created.
    #[must_use]
    pub fn monotonic_now(&self) -> Duration {
        self.monotonic.monotonic()
    }

    /// Returns the time since boot, including time for which the VM was suspended.
    #[must_use]
    pub fn boot_now(&self) -> Duration {
        let now = clock_gettime(ClockId::Boottime);
        let (seconds, nanos) = (now.tv_sec, now.tv_nsec);
        Duration::new(
            u64::try_from(seconds).unwrap_or_default(),
            u32::try_from(nanos).unwrap_or_default(),
        )
    }

    /// Returns the monotonic clock for the coordination library.
    #[must_use]
    pub fn monotonic_clock(&self) -> Rc<dyn Clock> {
        Rc::new(self.monotonic)
    }
}
