//! Tracks when a node last confirmed that its configuration is current.

use std::time::Duration;

/// Time allowed for forwarding an accepted request to a backend server. It is deducted from the
/// time within which a withdrawn key must stop working.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(500);

/// Tracks whether the configuration was confirmed recently enough to accept keys. All times are
/// from a clock that also runs while the VM is suspended.
#[derive(Debug, Clone)]
pub struct Freshness {
    valid_for: Duration,
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Creates an unconfirmed state; withdrawn keys must stop working within `key_withdrawal`.
    #[must_use]
    pub fn new(key_withdrawal: Duration) -> Self {
        Self { valid_for: key_withdrawal.saturating_sub(WITHDRAWAL_MARGIN), confirmed_at: None }
    }

    /// Records that the store had no newer configuration when it was queried at `asked_at`.
    pub fn confirm(&mut self, asked_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Returns whether the configuration is fresh enough at `now` to accept keys.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.valid_for)
    }

    /// Returns the time since the last confirmation, or `None` before the first.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.saturating_sub(confirmed_at))
    }
}
