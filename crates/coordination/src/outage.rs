//! Retry delays of callers while the platform's store is unreachable.
//!
//! A caller makes a few attempts and then gives up, so attempts during an outage that has lasted
//! for some time are wasted. The remaining time of an outage is unknown; the delay assumes that it
//! lasts about as long again as it has lasted so far.

use std::ops::Range;
use std::time::Duration;

/// Minimum delay; several times the interval at which a node probes the store.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(300);
/// Maximum delay before it is spread.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);
/// Range of the random factor that spreads the callers' return.
pub const RETRY_SPREAD: Range<f64> = 0.75..1.25;

/// Returns the delay after which a caller may retry, `outage` after the store was last reached.
///
/// `spread` is a random factor from [`RETRY_SPREAD`].
#[must_use]
pub fn retry_delay(outage: Duration, spread: f64) -> Duration {
    outage.clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX).mul_f64(spread)
}
