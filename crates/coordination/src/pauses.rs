//! Pauses of the process, after which it no longer uses what it was granted before.
//!
//! A process that is stopped, or whose VM is suspended, goes on in the middle of a request. What the
//! request was granted, such as a token of its team's limit or a permit for a server, was accounted
//! at the time of the grant: since then, the buckets of the other nodes have filled up again. If all
//! requests of a paused process were sent at once when it goes on, they would come on top.

use std::time::Duration;

/// Minimum time without a sign of the process that counts as a pause. A shorter one moves at most
/// the requests of this time, within the burst of a server's permits and the tolerance of a team's
/// limit.
const PAUSE_MIN: Duration = Duration::from_millis(500);

/// Number of pauses since the start of the process.
pub type PauseCount = u64;

/// Counts the pauses of the process.
#[derive(Debug, Default)]
pub struct PauseWatch {
    last_seen_at: Option<Duration>,
    count: PauseCount,
}

impl PauseWatch {
    /// Records that the process runs at `now`, on a clock that also counts suspended time; returns
    /// the number of pauses so far.
    ///
    /// It must be called more often than each 0.5 s while the process runs.
    pub fn observe(&mut self, now: Duration) -> PauseCount {
        let last_seen_at = self.last_seen_at.replace(now).unwrap_or(now);
        if now.saturating_sub(last_seen_at) >= PAUSE_MIN {
            self.count += 1;
        }
        self.count
    }
}
