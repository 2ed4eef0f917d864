//! Age of the list of backend servers.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

/// Maximum wait of a request for a read of the list; a store that is reached answers within it.
const READ_WAIT_MAX: Duration = Duration::from_millis(250);

/// Time since the list of backend servers was last read, on the clock that counts suspended time.
#[derive(Debug)]
pub struct ServerListAge {
    /// Age from which servers that are leaving may be listed as ready; `None` if it is unknown.
    age_max: Option<Duration>,
    read_at: Cell<Option<Duration>>,
    was_read: Notify,
}

impl ServerListAge {
    /// Creates the age of a list that was not read yet; a server that is leaving takes requests for
    /// `leave_time`.
    #[must_use]
    pub fn new(leave_time: Option<Duration>) -> Self {
        Self { age_max: leave_time, read_at: Cell::new(None), was_read: Notify::new() }
    }

    /// Records a read that began at `requested_at`.
    pub fn note_read(&self, requested_at: Duration) {
        self.read_at.set(Some(requested_at));
        self.was_read.notify_waiters();
    }

    /// Returns the age of the list at `now` if it is too old to rely on.
    #[must_use]
    pub fn outdated(&self, now: Duration) -> Option<Duration> {
        let age = now.saturating_sub(self.read_at.get()?);
        (age >= self.age_max?).then_some(age)
    }

    /// Waits for a read; returns `false` if none was completed in time.
    pub async fn wait_for_read(&self) -> bool {
        timeout(READ_WAIT_MAX, self.was_read.notified()).await.is_ok()
    }
}
