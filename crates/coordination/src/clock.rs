//! Clock interface and time conversion.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

/// Source of time; tests substitute a clock that they control.
pub trait Clock {
    /// Returns the time since an arbitrary fixed point; never decreases.
    fn monotonic(&self) -> Duration;

    /// Returns the time since the Unix epoch; may jump in either direction.
    fn unix(&self) -> Duration;

    /// Completes after `duration`.
    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()>;
}

/// Returns `duration` in whole milliseconds, saturating at `u64::MAX`.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
