//! Account of what callers make a process hold: their connections and the memory of their requests.
//!
//! A request may hold as much as stays free beside it, so that small requests find room beside large
//! ones, and a single one may take half of it. If it needs more, requests that are still arriving give
//! up theirs: first those that make no progress, then those that hold more. Requests that are being
//! served keep what they hold, unless their callers have sent much behind them or do not read.

use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use snafu::Snafu;
use tokio::sync::Notify;

use crate::refusal::{Refusal, RefusalKind};

/// Memory of an open connection without a request, in bytes: its tasks and a buffer.
pub const CONNECTION_BYTES: u64 = 24 * 1024;
/// Memory of a request beside its head and body, in bytes; most of it is the buffer for reading.
pub const REQUEST_BYTES: u64 = 24 * 1024;

/// Time without progress after which an arriving request counts as stalled.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// Divisor of the maximum number of connections; the quotient is how many may be closing beside
/// them.
const CLOSING_DIVISOR: usize = 4;
/// Share of a process's memory that callers may make it hold.
const MEMORY_SHARE: Share = Share { of: 3, parts: 8 };
/// Share of a process's sockets that callers may take; the others connect it to the store, to other
/// nodes and to backend servers that are not in use.
const SOCKET_SHARE: Share = Share { of: 3, parts: 4 };
/// Descriptors for each connection of a caller: two for the connection and one for that to the
/// backend server.
const DESCRIPTORS_PER_CONNECTION: u64 = 3;
/// Share of the callers' memory that connections without a request may take.
const CONNECTION_MEMORY_SHARE: Share = Share { of: 1, parts: 2 };

/// A fraction.
#[derive(Clone, Copy)]
struct Share {
    of: u64,
    parts: u64,
}

impl Share {
    fn apply(self, total: u64) -> u64 {
        total / self.parts * self.of
    }
}

new_key_type! {
    struct HoldingKey;
}

/// What callers may make a process hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldingLimits {
    /// Memory, in bytes.
    pub memory_max_bytes: u64,
    /// Open connections.
    pub connections_max: usize,
}

impl HoldingLimits {
    /// Returns the limits for a process with the given memory, in bytes, and number of sockets.
    #[must_use]
    pub fn of_process(memory_max_bytes: u64, sockets_max: u64) -> Self {
        let memory_max_bytes = MEMORY_SHARE.apply(memory_max_bytes);
        let by_sockets = SOCKET_SHARE.apply(sockets_max) / DESCRIPTORS_PER_CONNECTION;
        let by_memory = CONNECTION_MEMORY_SHARE.apply(memory_max_bytes) / CONNECTION_BYTES;
        let connections_max = usize::try_from(by_sockets.min(by_memory)).unwrap_or(usize::MAX);
        Self { memory_max_bytes, connections_max: connections_max.max(1) }
    }

    /// Returns the memory that a single request may take, in bytes.
    #[must_use]
    pub fn request_max_bytes(&self) -> u64 {
        (self.memory_max_bytes / 2).saturating_sub(CONNECTION_BYTES)
    }
}

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a request.
    Idle,
    /// A request arrives, which has not run and may be refused.
    Arriving,
    /// A request is being served.
    Serving,
    /// A request is being served, and its caller has sent so much behind it that no more is read.
    Queueing,
    /// A request is being served, and its caller does not read the answer.
    Answering,
}

/// Reason why the process holds no more for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HoldingError {
    /// All memory for callers is held.
    #[snafu(display("the node holds too much for other callers; retry shortly"))]
    MemoryShort,
    /// All connections are in use.
    #[snafu(display("the node has too many connections; retry shortly"))]
    ConnectionsShort,
    /// The caller had to give its room to others.
    #[snafu(display("the request arrived too slowly while others waited; retry shortly"))]
    Displaced,
}

impl HoldingError {
    /// Returns the refusal of a request that did not run for this reason.
    #[must_use]
    pub fn refusal(self) -> Refusal {
        Refusal::not_run(RefusalKind::Overloaded, self.to_string())
    }
}

#[derive(Debug)]
struct Holder {
    bytes: u64,
    stage: Stage,
    progress_at: Instant,
    is_displaced: bool,
    displaced: Arc<Notify>,
}

impl Holder {
    fn is_stalled(&self, now: Instant) -> bool {
        self.stage == Stage::Queueing
            || now.saturating_duration_since(self.progress_at) >= STALLED_AFTER
    }

    fn may_be_displaced(&self, now: Instant) -> bool {
        let may_be_displaced = match self.stage {
            Stage::Arriving | Stage::Queueing => true,
            Stage::Answering => self.is_stalled(now),
            Stage::Idle | Stage::Serving => false,
        };
        may_be_displaced && !self.is_displaced
    }
}

#[derive(Debug, Default)]
struct Holders {
    by_key: SlotMap<HoldingKey, Holder>,
    held_bytes: u64,
    /// Connections that were displaced and are not closed yet.
    closing: usize,
}

impl Holders {
    /// Makes a connection give up what it holds.
    fn displace(&mut self, key: HoldingKey) {
        if let Some(holder) = self.by_key.get_mut(key) {
            self.held_bytes -= holder.bytes.saturating_sub(CONNECTION_BYTES);
            holder.bytes = holder.bytes.min(CONNECTION_BYTES);
            holder.is_displaced = true;
            holder.displaced.notify_one();
            self.closing += 1;
        }
    }

    /// Returns the request that gives up its room to one that needs `bytes`: the largest stalled one,
    /// or the largest one that holds more.
    fn memory_victim(&self, own: HoldingKey, bytes: u64, now: Instant) -> Option<HoldingKey> {
        let others =
            self.by_key.iter().filter(|(key, holder)| *key != own && holder.may_be_displaced(now));
        let candidates =
            others.filter(|(_, holder)| holder.is_stalled(now) || holder.bytes > bytes);
        let victim = candidates.max_by_key(|(_, holder)| (holder.is_stalled(now), holder.bytes));
        victim.map(|(key, _)| key)
    }

    /// Returns the connection that is closed for a new one: the one without progress for longest
    /// among the stalled requests, among the idle connections or among the other arriving requests.
    fn connection_victim(&self, now: Instant) -> Option<HoldingKey> {
        let rank = |holder: &Holder| match holder.stage {
            Stage::Serving => None,
            _ if holder.may_be_displaced(now) && holder.is_stalled(now) => Some(0),
            Stage::Idle => Some(1),
            Stage::Arriving | Stage::Queueing => Some(2),
            Stage::Answering => None,
        };
        let candidates = self.by_key.iter().filter(|(_, holder)| !holder.is_displaced);
        let ranked =
            candidates.filter_map(|(key, holder)| Some((rank(holder)?, holder.progress_at, key)));
        ranked.min_by_key(|(rank, progress_at, _)| (*rank, *progress_at)).map(|(_, _, key)| key)
    }
}

/// The account of a process.
#[derive(Debug)]
pub struct Holdings {
    limits: HoldingLimits,
    holders: Mutex<Holders>,
}

impl Holdings {
    /// Creates an account without connections.
    #[must_use]
    pub fn new(limits: HoldingLimits) -> Arc<Self> {
        Arc::new(Self { limits, holders: Mutex::default() })
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> HoldingLimits {
        self.limits
    }

    /// Returns the memory that callers make the process hold, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.lock().held_bytes
    }

    /// Adds a new connection; another one is displaced if there are too many.
    ///
    /// # Errors
    ///
    /// Fails when requests are being served on all connections, or when too many that were displaced
    /// are not closed yet.
    pub fn open(self: &Arc<Self>, now: Instant) -> Result<Holding, HoldingError> {
        let mut holders = self.lock();
        let connections_max = self.limits.connections_max;
        let closing_max = connections_max.div_ceil(CLOSING_DIVISOR);
        if holders.by_key.len() >= connections_max + closing_max {
            return Err(HoldingError::ConnectionsShort);
        }
        if holders.by_key.len() - holders.closing >= connections_max {
            let victim = holders.connection_victim(now);
            holders.displace(victim.ok_or(HoldingError::ConnectionsShort)?);
        }
        let displaced = Arc::new(Notify::new());
        holders.held_bytes += CONNECTION_BYTES;
        let key = holders.by_key.insert(Holder {
            bytes: CONNECTION_BYTES,
            stage: Stage::Idle,
            progress_at: now,
            is_displaced: false,
            displaced: Arc::clone(&displaced),
        });
        drop(holders);
        Ok(Holding { account: Arc::clone(self), key, displaced })
    }

    fn lock(&self) -> MutexGuard<'_, Holders> {
        // Every change of the account is complete before it can panic.
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hold(&self, key: HoldingKey, bytes: u64, now: Instant) -> Result<(), HoldingError> {
        let mut holders = self.lock();
        loop {
            let held_bytes = holders.held_bytes;
            let Some(holder) = holders.by_key.get_mut(key) else { return Ok(()) };
            if holder.is_displaced {
                return Err(HoldingError::Displaced);
            }
            let held_after = held_bytes - holder.bytes + bytes;
            let free_after = self.limits.memory_max_bytes.saturating_sub(held_after);
            if bytes <= holder.bytes || bytes <= free_after {
                holder.bytes = bytes;
                holders.held_bytes = held_after;
                return Ok(());
            }
            let Some(victim) = holders.memory_victim(key, bytes, now) else {
                return Err(HoldingError::MemoryShort);
            };
            holders.displace(victim);
        }
    }
}

/// What one connection makes the process hold; given back when dropped.
#[derive(Debug)]
pub struct Holding {
    account: Arc<Holdings>,
    key: HoldingKey,
    displaced: Arc<Notify>,
}

impl Holding {
    /// Sets the memory of the connection's request to `request_bytes`, beside that of the connection.
    ///
    /// # Errors
    ///
    /// Fails when there is no room for more, or when the connection was displaced; what it holds is
    /// not changed then.
    pub fn hold(&self, request_bytes: u64, now: Instant) -> Result<(), HoldingError> {
        self.account.hold(self.key, CONNECTION_BYTES.saturating_add(request_bytes), now)
    }

    /// Sets the memory of the connection's request to `more_bytes` above what it is.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::hold`].
    pub fn grow(&self, more_bytes: u64, now: Instant) -> Result<(), HoldingError> {
        self.hold(self.request_bytes().saturating_add(more_bytes), now)
    }

    /// Sets the memory of the connection's request to `bytes` below what it is.
    pub fn release(&self, bytes: u64, now: Instant) {
        // Less than before, which fails only if the connection has given up all of it.
        let _ = self.hold(self.request_bytes().saturating_sub(bytes), now);
    }

    /// Returns the memory of the connection's request, in bytes.
    #[must_use]
    pub fn request_bytes(&self) -> u64 {
        let holders = self.account.lock();
        let bytes = holders.by_key.get(self.key).map_or(0, |holder| holder.bytes);
        bytes.saturating_sub(CONNECTION_BYTES)
    }

    /// Records that bytes of a request arrived.
    pub fn note_progress(&self, now: Instant) {
        if let Some(holder) = self.account.lock().by_key.get_mut(self.key) {
            holder.progress_at = now;
        }
    }

    /// Records that the connection is used for something else from now on; returns the stage before.
    ///
    /// # Errors
    ///
    /// Fails when the connection was displaced.
    pub fn set_stage(&self, stage: Stage, now: Instant) -> Result<Stage, HoldingError> {
        match self.account.lock().by_key.get_mut(self.key) {
            Some(holder) if holder.is_displaced => Err(HoldingError::Displaced),
            Some(holder) => {
                holder.progress_at = now;
                Ok(mem::replace(&mut holder.stage, stage))
            }
            // Never so, because the holder lives as long as the holding.
            None => Err(HoldingError::Displaced),
        }
    }

    /// Waits until the connection must give up what it holds.
    pub async fn displaced(&self) {
        self.displaced.notified().await;
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut holders = self.account.lock();
        if let Some(holder) = holders.by_key.remove(self.key) {
            holders.held_bytes -= holder.bytes;
            holders.closing -= usize::from(holder.is_displaced);
        }
    }
}
