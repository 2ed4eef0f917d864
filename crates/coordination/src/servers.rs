//! Backend servers known to a node, from the platform's list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, ZoneId};
use crate::load::ServerHash;
use crate::ranking::server_hash;
use crate::routing::ServiceId;
use crate::zones::EmptiedZones;

/// Time after a store failure for which missing entries are kept, because the store may have
/// dropped them during the failure.
pub const MISSING_GRACE: Duration = Duration::from_secs(2);

/// Version of a backend server's software, as the server states it; versions are not ordered.
pub type SoftwareVersion = String;

/// Time for which the announcement of a server that is not in the list is kept.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Is leaving and gets no new requests.
    Draining,
}

/// Entry of a backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// Identifier of the backend server.
    pub id: BackendId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of the software that it runs.
    pub software: SoftwareVersion,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Time of its start, which distinguishes restarts under the same identifier.
    pub started_unix_ms: u64,
    /// Time for which the server is still cold after its start, when the entry was written.
    pub cold_for: Duration,
}

/// A change of the list, used for logging and for closing connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// A backend server is new, has changed or has returned.
    Seen(BackendId),
    /// A backend server must get no new requests.
    Draining(BackendId),
    /// A backend server left the list.
    Gone(BackendId),
}

#[derive(Debug)]
struct KnownServer {
    entry: ServerEntry,
    /// Time at which the entry was first missing, if it is kept for the grace period. The period
    /// starts at the last store failure, not at this time.
    missing_since: Option<Duration>,
}

/// Announcement by a backend server, in one of its answers, that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingServer {
    /// Identifier of the backend server.
    pub id: BackendId,
    /// Time of its start, as in its entry.
    pub started_unix_ms: u64,
}

/// The backend servers by identifier.
#[derive(Debug, Default)]
pub struct ServerList {
    known: HashMap<BackendId, KnownServer>,
    /// Start times of the servers that announced in an answer that they are leaving, with the times
    /// at which this node learned of it. An announcement holds for all entries with the same start
    /// time, because the store may return an old entry, or one that lapsed may be written again.
    leaving: HashMap<BackendId, (u64, Duration)>,
    /// Zones whose servers get no new requests.
    zones: EmptiedZones,
    /// Time of the last failed read of the list.
    store_failed_at: Option<Duration>,
}

impl ServerList {
    /// Records that the list could not be read at `now`.
    pub fn note_store_failure(&mut self, now: Duration) {
        self.store_failed_at = Some(now);
    }

    /// Records that a server announced its leave; returns `false` if this was known.
    pub fn note_leaving(&mut self, server: LeavingServer, now: Duration) -> bool {
        let LeavingServer { id, started_unix_ms } = server;
        match self.leaving.get(&id) {
            // An announcement of an earlier start arrived late.
            Some((known, _)) if *known >= started_unix_ms => false,
            _ => {
                self.leaving.insert(id, (started_unix_ms, now));
                true
            }
        }
    }

    /// Returns the servers that announced their leave.
    pub fn leaving(&self) -> impl Iterator<Item = LeavingServer> {
        self.leaving.iter().map(|(id, (started_unix_ms, _))| LeavingServer {
            id: id.clone(),
            started_unix_ms: *started_unix_ms,
        })
    }

    /// Discards old announcements of servers that are no longer in the list.
    pub fn prune_leaving(&mut self, now: Duration) {
        let known = &self.known;
        self.leaving.retain(|id, (_, learned_at)| {
            known.contains_key(id) || now < *learned_at + LEAVING_RETENTION
        });
    }

    /// Returns the zones that the operator has emptied.
    #[must_use]
    pub fn zones(&self) -> &EmptiedZones {
        &self.zones
    }

    /// Returns the zones that the operator has emptied, for changing them.
    pub fn zones_mut(&mut self) -> &mut EmptiedZones {
        &mut self.zones
    }

    fn accepts_requests(&self, entry: &ServerEntry) -> bool {
        entry.state == ServerState::Ready
            && !self.zones.is_emptied(&entry.zone)
            && self
                .leaving
                .get(&entry.id)
                .is_none_or(|(started, _)| *started < entry.started_unix_ms)
    }

    /// Adds or replaces an entry; returns the change, if any.
    pub fn insert(&mut self, entry: ServerEntry) -> Option<ServerChange> {
        let id = entry.id.clone();
        let (state, cold_for) = (entry.state, entry.cold_for);
        let previous = self.known.insert(id.clone(), KnownServer { entry, missing_since: None });
        let is_known = previous.is_some_and(|previous| {
            // The time for which a server is cold changes with each heartbeat.
            let previous_entry = ServerEntry { cold_for, ..previous.entry };
            previous.missing_since.is_none() && previous_entry == self.known[&id].entry
        });
        match state {
            _ if is_known => None,
            ServerState::Ready => Some(ServerChange::Seen(id)),
            ServerState::Draining => Some(ServerChange::Draining(id)),
        }
    }

    /// Records that an entry is missing or malformed; returns the change, if any.
    ///
    /// After a store failure, a ready entry is kept until [`MISSING_GRACE`] has passed, because the
    /// store drops entries that could not be renewed during an outage.
    pub fn remove(&mut self, id: &str, now: Duration) -> Option<ServerChange> {
        let may_be_lost =
            self.store_failed_at.is_some_and(|failed_at| now < failed_at + MISSING_GRACE);
        let known = self.known.get_mut(id)?;
        if may_be_lost && known.entry.state == ServerState::Ready {
            known.missing_since.get_or_insert(now);
            return None;
        }
        self.known.remove(id);
        Some(ServerChange::Gone(id.to_owned()))
    }

    /// Replaces the whole list with `entries`.
    pub fn replace(&mut self, entries: Vec<ServerEntry>, now: Duration) -> Vec<ServerChange> {
        let missing: Vec<BackendId> = self
            .known
            .keys()
            .filter(|id| !entries.iter().any(|entry| entry.id == **id))
            .cloned()
            .collect();
        let mut changes: Vec<_> = missing.iter().filter_map(|id| self.remove(id, now)).collect();
        changes.extend(entries.into_iter().filter_map(|entry| self.insert(entry)));
        changes
    }

    /// Removes entries that are still missing after the grace period.
    pub fn remove_missing(&mut self, now: Duration) -> Vec<ServerChange> {
        let failed_at = self.store_failed_at.unwrap_or_default();
        let expired: Vec<BackendId> = self
            .known
            .iter()
            .filter(|(_, known)| known.missing_since.is_some() && now >= failed_at + MISSING_GRACE)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.known.remove(id);
        }
        expired.into_iter().map(ServerChange::Gone).collect()
    }

    /// Returns the backend servers of `service` that accept new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ServerEntry> {
        self.all_ready().filter(move |entry| entry.service == service)
    }

    /// Returns the backend servers of all services that accept new requests.
    pub fn all_ready(&self) -> impl Iterator<Item = &ServerEntry> {
        self.known.values().map(|known| &known.entry).filter(|entry| self.accepts_requests(entry))
    }

    /// Returns the entry of a backend server if it accepts new requests.
    #[must_use]
    pub fn ready_by_id(&self, id: &str) -> Option<&ServerEntry> {
        let entry = &self.known.get(id)?.entry;
        self.accepts_requests(entry).then_some(entry)
    }

    /// Returns whether the start of a backend server that `entry` describes is known to leave in
    /// order: its entry says so or was removed, or it announced it.
    #[must_use]
    pub fn is_leaving(&self, entry: &ServerEntry) -> bool {
        let known = self.known.get(&entry.id);
        known.is_none_or(|known| known.entry.state == ServerState::Draining)
            || self.has_announced_leave(entry)
    }

    /// Returns whether the start of a backend server that `entry` describes announced its leave in an
    /// answer.
    #[must_use]
    pub fn has_announced_leave(&self, entry: &ServerEntry) -> bool {
        let announced = self.leaving.get(&entry.id);
        announced.is_some_and(|(started, _)| *started >= entry.started_unix_ms)
    }

    /// Returns the identifier of the backend server with the given hash.
    #[must_use]
    pub fn id_of(&self, server: ServerHash) -> Option<&BackendId> {
        self.known.keys().find(|id| server_hash(id) == server)
    }

    /// Returns whether a backend server is in the list, including those that are leaving.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.known.contains_key(id)
    }

    /// Returns the number of backend servers in the list.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns the number of backend servers that accept no new requests.
    #[must_use]
    pub fn draining_count(&self) -> usize {
        self.known.values().filter(|known| !self.accepts_requests(&known.entry)).count()
    }

    /// Returns whether the list is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
