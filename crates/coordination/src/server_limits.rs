//! Limits of backend servers: those that they name for themselves, and those of cold servers.
//!
//! A server in need names in its answers how many requests a second it takes from all nodes
//! together, and names none once it has recovered. The newest answer counts, whichever node got it.
//! A server that has just started is cold for a while (see [`crate::cold`]); its limit ends by
//! itself. Of both, the lower one is in force.
//!
//! A limit holds over all nodes, so the server's keeper (see [`crate::load`]) grants a permit for
//! each request. A keeper that has just taken over starts without tokens: two nodes that both act
//! as keeper for a moment do not grant a second burst.

use std::collections::HashMap;
use std::time::Duration;

use crate::limits::Bucket;
use crate::limits::bucket::BucketLimits;
use crate::load::ServerHash;

/// Rate of permits for a server that names a lower limit; without any request, nobody would learn
/// that the limit has ended.
const PERMITS_PER_S_MIN: f64 = 0.25;
/// Time for which unused permits accumulate.
const PERMIT_BURST: Duration = Duration::from_millis(500);
/// Age from which a limit may have ended, so that the server is worth another request.
const CONFIRMED_FOR: Duration = Duration::from_secs(1);
/// Time after which the permits of a server without requests are discarded.
const PERMITS_RETENTION: Duration = Duration::from_secs(60);

/// What a backend server's newest known answer said of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedLimit {
    /// Requests a second from all nodes together; `None` if the answer named no limit.
    pub per_s: Option<f64>,
    /// Time of the answer.
    pub answered_at: Duration,
}

/// Limit of a backend server that is cold after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests a second from all nodes together.
    pub per_s: f64,
    /// Time at which the server is warm.
    pub until: Duration,
}

#[derive(Debug, Default)]
struct KnownLimit {
    named: Option<NamedLimit>,
    cold: Option<ColdLimit>,
    /// Whether the server's process has ended and this node has not connected to it since.
    has_ended: bool,
    /// Time until which the keeper has no permit.
    blocked_until: Duration,
}

/// Limits of the backend servers as known to one node.
#[derive(Debug, Default)]
pub struct ServerLimits {
    servers: HashMap<ServerHash, KnownLimit>,
}

impl ServerLimits {
    /// Records what an answer said, unless a later answer is known; returns whether the limit has
    /// changed.
    pub fn note(&mut self, server: ServerHash, named: NamedLimit) -> bool {
        let known = self.servers.entry(server).or_default();
        if known.named.is_some_and(|known| named.answered_at < known.answered_at) {
            return false;
        }
        let is_changed = known.named.and_then(|known| known.per_s) != named.per_s;
        known.named = Some(named);
        is_changed
    }

    /// Records that a server is cold, at least until the given time; returns whether this was
    /// unknown.
    pub fn note_cold(&mut self, server: ServerHash, cold: ColdLimit, now: Duration) -> bool {
        if cold.until <= now {
            return false;
        }
        let known = self.servers.entry(server).or_default();
        let current = known.cold.filter(|current| now < current.until);
        let until = current.map_or(cold.until, |current| current.until.max(cold.until));
        known.cold = Some(ColdLimit { until, ..cold });
        current.is_none()
    }

    /// Returns the limit of a server that is cold.
    #[must_use]
    pub fn cold(&self, server: ServerHash, now: Duration) -> Option<ColdLimit> {
        self.servers.get(&server)?.cold.filter(|cold| now < cold.until)
    }

    /// Returns the number of cold servers.
    #[must_use]
    pub fn cold_count(&self, now: Duration) -> usize {
        self.servers.keys().filter(|server| self.cold(**server, now).is_some()).count()
    }

    /// Records that the process of a server has ended.
    pub fn note_ended(&mut self, server: ServerHash) {
        self.servers.entry(server).or_default().has_ended = true;
    }

    /// Records that a server accepted a connection; returns whether its process had ended before.
    pub fn note_connected(&mut self, server: ServerHash) -> bool {
        self.servers.get_mut(&server).is_some_and(|known| std::mem::take(&mut known.has_ended))
    }

    /// Returns what the newest known answer of a server said.
    #[must_use]
    pub fn named(&self, server: ServerHash) -> Option<NamedLimit> {
        self.servers.get(&server)?.named
    }

    /// Returns the limit of a server in requests a second, if it has named one.
    #[must_use]
    pub fn per_s(&self, server: ServerHash) -> Option<f64> {
        self.named(server)?.per_s
    }

    /// Returns the limit that applies to a server at `now`, in requests a second: the lower of the
    /// one that it named and that of a cold server.
    #[must_use]
    pub fn in_force(&self, server: ServerHash, now: Duration) -> Option<f64> {
        let cold = self.cold(server, now).map(|cold| cold.per_s);
        match (self.per_s(server), cold) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }

    /// Returns whether a server is cold, or has named a limit so recently that it still holds.
    #[must_use]
    pub fn is_limited(&self, server: ServerHash, now: Duration) -> bool {
        let is_confirmed =
            |named: NamedLimit| named.per_s.is_some() && now < named.answered_at + CONFIRMED_FOR;
        self.cold(server, now).is_some() || self.named(server).is_some_and(is_confirmed)
    }

    /// Records that the keeper has no permit for a server until `until`.
    pub fn block(&mut self, server: ServerHash, until: Duration) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.blocked_until = until;
        }
    }

    /// Returns the time until a permit for a server may be had; `None` if it may be had now or the
    /// server has no limit.
    #[must_use]
    pub fn blocked_for(&self, server: ServerHash, now: Duration) -> Option<Duration> {
        self.in_force(server, now)?;
        let known = self.servers.get(&server)?;
        known.blocked_until.checked_sub(now).filter(|wait| !wait.is_zero())
    }

    /// Discards the limit of a server that has left.
    pub fn forget(&mut self, server: ServerHash) {
        self.servers.remove(&server);
    }
}

#[derive(Debug)]
struct KeptPermits {
    bucket: Bucket,
    asked_at: Duration,
}

/// Permits of the servers whose keeper is this node.
#[derive(Debug, Default)]
pub struct PermitKeeper {
    servers: HashMap<ServerHash, KeptPermits>,
}

impl PermitKeeper {
    /// Takes a permit for one request to a server with a limit of `limit_per_s`.
    ///
    /// # Errors
    ///
    /// Returns the time until the next permit.
    pub fn take(
        &mut self,
        server: ServerHash,
        limit_per_s: f64,
        now: Duration,
    ) -> Result<(), Duration> {
        let rate_per_s = limit_per_s.max(PERMITS_PER_S_MIN);
        let burst = (rate_per_s * PERMIT_BURST.as_secs_f64()).max(1.0);
        let kept = self
            .servers
            .entry(server)
            .or_insert_with(|| KeptPermits { bucket: Bucket::empty(now), asked_at: now });
        kept.asked_at = now;
        let taken = kept.bucket.take(BucketLimits { rate_per_s, burst }, now, Duration::MAX);
        taken.map_err(|wait| wait.unwrap_or(PERMITS_RETENTION))
    }

    /// Discards the permits of servers that have not been asked for.
    pub fn prune(&mut self, now: Duration) {
        self.servers.retain(|_, kept| now < kept.asked_at + PERMITS_RETENTION);
    }
}
