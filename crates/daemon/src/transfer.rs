//! Bodies that arrive in parts, limited by their size and by the time without progress.
//!
//! A time limit on the whole of a body would depend on its size and on the link, and a transfer that
//! is cut off begins anew.

use std::fmt::Display;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _};
use snafu::Snafu;
use tokio::time::timeout;

/// Least waiting time within which a transfer that has made progress must make more of it.
const PROGRESS_WINDOW: Duration = Duration::from_secs(1);
/// Bytes that count as progress; even a slow link brings more.
const PROGRESS_MIN_BYTES: usize = 16 * 1024;

/// Reason why a body was not read to its end.
#[derive(Debug, Snafu)]
pub enum TransferError {
    /// The body exceeds the limit.
    #[snafu(display("the body is over {max_bytes} bytes"))]
    TooLong {
        /// Maximum size of the body.
        max_bytes: usize,
    },
    /// Too little arrived in time.
    #[snafu(display("the body made no progress after {received_bytes} bytes"))]
    Stalled {
        /// Size of what arrived.
        received_bytes: usize,
    },
    /// The connection failed.
    #[snafu(display("the body broke off after {received_bytes} bytes: {cause}"))]
    BrokenOff {
        /// Size of what arrived.
        received_bytes: usize,
        /// Cause as reported by the connection.
        cause: String,
    },
}

/// A body that is being received.
#[derive(Debug)]
pub struct Transfer<S> {
    parts: S,
    max_bytes: usize,
    received_bytes: usize,
    /// Waiting time for each progress after the first.
    window: Duration,
    /// Bytes since the last progress.
    window_bytes: usize,
    /// Time left to wait for the next progress.
    window_left: Duration,
}

impl<S, D, E> Transfer<S>
where
    S: Stream<Item = Result<D, E>> + Unpin,
    D: AsRef<[u8]>,
    E: Display,
{
    /// Begins to receive a body of at most `max_bytes`, which must bring [`PROGRESS_MIN_BYTES`] or end
    /// within a waiting time of `first_window`, and then again and again.
    #[must_use]
    pub fn new(parts: S, max_bytes: usize, first_window: Duration) -> Self {
        Self {
            parts,
            max_bytes,
            received_bytes: 0,
            window: first_window.max(PROGRESS_WINDOW),
            window_bytes: 0,
            window_left: first_window,
        }
    }

    /// Receives the next part; returns `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails when the body is too long, makes no progress or breaks off.
    pub async fn next_part(&mut self) -> Result<Option<D>, TransferError> {
        let received_bytes = self.received_bytes;
        let waiting_since = Instant::now();
        let part = match timeout(self.window_left, self.parts.next()).await {
            Ok(Some(Ok(part))) => part,
            Ok(Some(Err(error))) => {
                let cause = error.to_string();
                return Err(TransferError::BrokenOff { received_bytes, cause });
            }
            Ok(None) => return Ok(None),
            Err(_) => return Err(TransferError::Stalled { received_bytes }),
        };
        let bytes = part.as_ref().len();
        self.received_bytes += bytes;
        if self.received_bytes > self.max_bytes {
            return Err(TransferError::TooLong { max_bytes: self.max_bytes });
        }
        self.window_bytes += bytes;
        if self.window_bytes >= PROGRESS_MIN_BYTES {
            self.window_bytes = 0;
            self.window_left = self.window;
        } else {
            self.window_left = self.window_left.saturating_sub(waiting_since.elapsed());
        }
        Ok(Some(part))
    }

    /// Receives the rest of the body.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next_part`].
    pub async fn rest(mut self) -> Result<Bytes, TransferError> {
        let mut body = BytesMut::new();
        while let Some(part) = self.next_part().await? {
            body.extend_from_slice(part.as_ref());
        }
        Ok(body.freeze())
    }
}
