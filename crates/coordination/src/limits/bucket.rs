//! Token bucket that accrues tokens only during its holder's lease.

use std::time::Duration;

/// Rate and burst of a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketLimits {
    /// Tokens accrued per second.
    pub rate_per_s: f64,
    /// Maximum number of tokens held.
    pub burst: f64,
}

/// A token bucket on a monotonic clock.
///
/// ```
/// use std::time::Duration;
/// use dandelionfront_coordination::limits::{Bucket, bucket::BucketLimits};
///
/// let limits = BucketLimits { rate_per_s: 1.0, burst: 2.0 };
/// let mut bucket = Bucket::filled(Duration::ZERO);
/// let lease_expiry = Duration::MAX;
/// assert!(bucket.take(limits, Duration::ZERO, lease_expiry).is_ok());
/// assert!(bucket.take(limits, Duration::ZERO, lease_expiry).is_ok());
/// assert_eq!(bucket.take(limits, Duration::ZERO, lease_expiry), Err(Some(Duration::from_secs(1))));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    tokens: f64,
    updated_at: Duration,
}

impl Bucket {
    /// Creates a full bucket; it holds the burst that is passed to the first [`Bucket::take`].
    #[must_use]
    pub fn filled(now: Duration) -> Self {
        // The first `take` reduces this to the burst.
        Self { tokens: f64::MAX, updated_at: now }
    }

    /// Creates an empty bucket.
    #[must_use]
    pub fn empty(now: Duration) -> Self {
        Self { tokens: 0.0, updated_at: now }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token has accrued, or `None` if the lease has expired or the rate
    /// or burst is too low for a token ever to accrue.
    pub fn take(
        &mut self,
        limits: BucketLimits,
        now: Duration,
        lease_expiry: Duration,
    ) -> Result<(), Option<Duration>> {
        self.accrue(limits, now, lease_expiry);
        if now >= lease_expiry {
            return Err(None);
        }
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if limits.burst < 1.0 || limits.rate_per_s <= 0.0 {
            return Err(None);
        }
        let wait_s = (1.0 - self.tokens) / limits.rate_per_s;
        Err(Some(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)))
    }

    /// Returns the number of tokens held.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns whether the bucket was created full and nothing was ever taken from it.
    #[must_use]
    pub fn is_untouched(&self) -> bool {
        self.tokens >= f64::MAX
    }

    /// Adds tokens; the next call limits them to its burst.
    pub fn add(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Adds the tokens accrued until `now` or `lease_expiry`, whichever is earlier.
    pub fn accrue(&mut self, limits: BucketLimits, now: Duration, lease_expiry: Duration) {
        let until = now.min(lease_expiry);
        if let Some(elapsed) = until.checked_sub(self.updated_at) {
            self.tokens += elapsed.as_secs_f64() * limits.rate_per_s;
        }
        self.updated_at = self.updated_at.max(now);
        self.tokens = self.tokens.min(limits.burst);
    }
}
