//! Datagrams that this build cannot read, such as messages of a later one.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use crate::front::process::FrontNode;

/// Minimum interval between two log lines; a node of a later build may send many such datagrams.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Datagrams skipped since the last log line.
#[derive(Debug, Default)]
pub(super) struct SkippedDatagrams {
    unlogged: Cell<u64>,
    next_log_at: Cell<Duration>,
}

impl SkippedDatagrams {
    /// Counts a skipped datagram, and logs it with those before it if the last line is old enough.
    pub(super) fn note(
        &self,
        node: &FrontNode,
        sender: SocketAddr,
        datagram: &[u8],
        cause: &postcard::Error,
    ) {
        node.metrics.datagrams_skipped.inc();
        self.unlogged.set(self.unlogged.get() + 1);
        let now = node.clock.monotonic_now();
        if now < self.next_log_at.get() {
            return;
        }
        self.next_log_at.set(now + LOG_INTERVAL);
        // A message begins with the number of its variant.
        let variant = postcard::from_bytes::<u32>(datagram).map_or(-1, i64::from);
        log::info!(
            "event=datagrams_skipped count={} sender={sender} variant={variant} cause=\"{cause}\"",
            self.unlogged.take(),
        );
    }
}
