//! How recently a node proved that its configuration is the newest.

use std::time::Duration;

/// Part of the withdrawal time that is left for the way of a request to a backend server.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(500);

/// Proof of freshness on a clock that also counts suspended time.
#[derive(Debug, Clone)]
pub struct Freshness {
    valid_for: Duration,
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Creates an unproved state for keys that must stop working within `key_withdrawal`.
    #[must_use]
    pub fn new(key_withdrawal: Duration) -> Self {
        Self { valid_for: key_withdrawal.saturating_sub(WITHDRAWAL_MARGIN), confirmed_at: None }
    }

    /// Records that the store had no newer configuration at `asked_at`, when it was asked.
    pub fn confirm(&mut self, asked_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Returns whether keys may be accepted at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.valid_for)
    }

    /// Returns the time since the last proof, or `None` before the first.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.saturating_sub(confirmed_at))
    }
}
