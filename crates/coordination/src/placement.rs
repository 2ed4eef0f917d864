//! Choice of a backend server for a request.
//!
//! Every node ranks the servers of a service by rendezvous hashing, so that equal keys map to the
//! same server on all nodes without coordination. The candidates are the two healthy servers
//! highest in rank (all of them under some policies) and every server that is not healthy: those
//! avoided after failures and, for a request that must not run again, those whose last request
//! failed. Each has a cost: its load, a penalty while it is avoided and, with affinity, the cost of
//! prefilling the prompt again on a server other than the first in rank. The cheapest candidate is
//! chosen.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::BackendId;
use crate::limits::usage::MemberId;
use crate::servers::ServerEntry;

/// Policy for choosing among backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Sends equal keys to the same server, or to the next in rank while the first is busier by
    /// more than the cost of prefilling the prompt again.
    Affinity,
    /// Like [`Self::Affinity`], but compares all servers; a baseline for comparison.
    AffinityAllServers,
    /// Chooses the less loaded of the two servers highest in rank. Choosing the least loaded of all
    /// would cause herding: nodes that see the same stale loads would all pick the same server.
    TwoChoices,
    /// Chooses the least loaded server; a baseline for comparison.
    LeastLoaded,
}

/// Requirements of a request on its backend server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Policy for choosing among servers.
    pub policy: PlacementPolicy,
    /// Placement key; requests with equal keys share parts of their prompts.
    pub key: &'a str,
    /// Whether the request may run again after a failure. If not, a server whose last request
    /// failed is not considered healthy and loses ties with healthy candidates.
    pub may_repeat: bool,
    /// Servers that must not be chosen.
    pub excluded: &'a [BackendId],
}

/// Number of other nodes that must avoid a server before this node avoids it too. Failures at a
/// single node may be due to its own network path to the server.
const AVOID_QUORUM: u32 = 2;
/// Number of healthy servers whose costs are compared. Comparing more would cause herding: sessions
/// leaving busy servers would all move to the server that was least loaded in the last reports, and
/// their prompts would be prefilled again there.
const COMPARED_SERVERS: usize = 2;

/// Cost of prefilling the prompt on a server other than the first in rank, in fractions of a
/// server's slots.
const PREFILL_COST: f64 = 0.4;
/// Additional cost per rank, so that sessions with equal keys also move to the same server.
const RANK_COST: f64 = 0.02;
/// Rank from which the cost stays constant.
const COSTED_RANK_MAX: usize = 8;
/// Cost of a server that is being avoided after failures; exceeds any load.
const FAILED_COST: f64 = 100.0;
/// Time for which a server is avoided after its first failure; doubles with each consecutive one.
const AVOID_MIN: Duration = Duration::from_millis(500);
/// Maximum time for which a server is avoided. If the failure persists, each expiry costs at least
/// one failed request.
const AVOID_MAX: Duration = Duration::from_secs(4);

#[derive(Debug, Default)]
struct ServerView {
    /// Requests of this node in flight at the server.
    own_in_flight: u32,
    consecutive_failures: u32,
    avoid_until: Duration,
}

/// Load and failures of each backend server as known to this node.
#[derive(Debug, Default)]
pub struct Placement {
    views: HashMap<BackendId, ServerView>,
    /// Requests in flight at each server, as last reported by each other node.
    peer_loads: HashMap<MemberId, Vec<(ServerHash, u32)>>,
    /// Sum of `peer_loads` by server, updated with each report.
    peer_in_flight: HashMap<ServerHash, u32>,
    /// Servers avoided by each other node, as last reported.
    peer_avoided: HashMap<MemberId, Vec<ServerHash>>,
    /// Number of other nodes that avoid a server, updated with each report.
    avoiding_peers: HashMap<ServerHash, u32>,
}

/// Hash of a backend server's identifier, used in reports between nodes.
pub type ServerHash = u32;

impl Placement {
    /// Chooses a server for a request; returns `None` if all are excluded.
    pub fn choose<'a>(
        &self,
        request: PlacementRequest<'_>,
        servers: impl Iterator<Item = &'a ServerEntry>,
        now: Duration,
    ) -> Option<&'a ServerEntry> {
        let PlacementRequest { policy, key, may_repeat, excluded } = request;
        let mut ranked: Vec<(u64, &ServerEntry)> = servers
            .map(|server| (xxh3_64_with_seed(key.as_bytes(), hash64(&server.id)), server))
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp_weight(left));
        let compared_max = match policy {
            PlacementPolicy::Affinity | PlacementPolicy::TwoChoices => COMPARED_SERVERS,
            PlacementPolicy::AffinityAllServers | PlacementPolicy::LeastLoaded => usize::MAX,
        };
        let candidates: Vec<(usize, &ServerEntry)> = ranked
            .into_iter()
            .enumerate()
            .map(|(rank, (_, server))| (rank, server))
            .filter(|(_, server)| !excluded.contains(&server.id))
            .collect();
        let is_healthy = |server: &ServerEntry| {
            !self.is_avoided(server, now) && (may_repeat || !self.failed_last(server))
        };
        let healthy = candidates.iter().filter(|(_, server)| is_healthy(server)).take(compared_max);
        // Servers that are not healthy come last and so lose ties; while avoided, they also cost
        // more than any load.
        healthy
            .chain(candidates.iter().filter(|(_, server)| !is_healthy(server)))
            .map(|(rank, server)| (self.cost(policy, *rank, server, now), *server))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, server)| server)
    }

    fn is_avoided(&self, server: &ServerEntry, now: Duration) -> bool {
        let avoiding_peers = self.avoiding_peers.get(&server_hash(&server.id)).copied();
        avoiding_peers.unwrap_or_default() >= AVOID_QUORUM
            || self.views.get(&server.id).is_some_and(|view| now < view.avoid_until)
    }

    /// Returns whether the last request of this node to `server` failed.
    fn failed_last(&self, server: &ServerEntry) -> bool {
        self.views.get(&server.id).is_some_and(|view| view.consecutive_failures > 0)
    }

    fn cost(
        &self,
        policy: PlacementPolicy,
        rank: usize,
        server: &ServerEntry,
        now: Duration,
    ) -> f64 {
        let view = self.views.get(&server.id);
        let peers = self.peer_in_flight.get(&server_hash(&server.id)).copied().unwrap_or_default();
        let in_flight = peers + view.map_or(0, |view| view.own_in_flight);
        let load = f64::from(in_flight) / f64::from(server.slots.max(1));
        let failure_cost = if self.is_avoided(server, now) { FAILED_COST } else { 0.0 };
        let move_cost = match policy {
            PlacementPolicy::TwoChoices | PlacementPolicy::LeastLoaded => 0.0,
            _ if rank == 0 => 0.0,
            PlacementPolicy::Affinity | PlacementPolicy::AffinityAllServers => {
                let rank = u32::try_from(rank.min(COSTED_RANK_MAX)).unwrap_or(u32::MAX);
                PREFILL_COST + RANK_COST * f64::from(rank)
            }
        };
        load + failure_cost + move_cost
    }

    /// Records that a request is sent to `server`.
    pub fn begin(&mut self, server: &str) {
        self.view(server).own_in_flight += 1;
    }

    /// Records that a request to `server` ended.
    pub fn end(&mut self, server: &str) {
        let view = self.view(server);
        view.own_in_flight = view.own_in_flight.saturating_sub(1);
    }

    /// Records a complete and valid answer of `server`.
    pub fn note_success(&mut self, server: &str) {
        let view = self.view(server);
        view.consecutive_failures = 0;
        view.avoid_until = Duration::ZERO;
    }

    /// Records a missing, incomplete or malformed answer of `server`; returns the time for which it
    /// is avoided.
    pub fn note_failure(&mut self, server: &str, now: Duration) -> Duration {
        let view = self.view(server);
        let pause = AVOID_MIN * 2_u32.saturating_pow(view.consecutive_failures.min(8));
        let pause = pause.min(AVOID_MAX);
        view.consecutive_failures += 1;
        view.avoid_until = now + pause;
        pause
    }

    /// Returns this node's requests in flight, by hash of the backend server's id.
    #[must_use]
    pub fn own_load(&self) -> Vec<(ServerHash, u32)> {
        let views = self.views.iter().filter(|(_, view)| view.own_in_flight > 0);
        views.map(|(id, view)| (server_hash(id), view.own_in_flight)).collect()
    }

    /// Returns the servers that this node avoids because of failures that it observed itself.
    #[must_use]
    pub fn own_avoided(&self, now: Duration) -> Vec<ServerHash> {
        let avoided = self.views.iter().filter(|(_, view)| now < view.avoid_until);
        avoided.map(|(id, _)| server_hash(id)).collect()
    }

    /// Replaces the list of servers that another node avoids.
    pub fn set_peer_avoided(&mut self, member: &str, avoided: Vec<ServerHash>) {
        for server in &avoided {
            *self.avoiding_peers.entry(*server).or_default() += 1;
        }
        let previous = if avoided.is_empty() {
            self.peer_avoided.remove(member)
        } else {
            self.peer_avoided.insert(member.to_owned(), avoided)
        };
        for server in previous.into_iter().flatten() {
            if let Some(count) = self.avoiding_peers.get_mut(&server) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Discards the reports of another node that is unreachable or has left.
    pub fn forget_peer(&mut self, member: &str) {
        self.set_peer_load(member, Vec::new());
        self.set_peer_avoided(member, Vec::new());
    }

    /// Replaces the numbers of requests in flight from another node.
    pub fn set_peer_load(&mut self, member: &str, load: Vec<(ServerHash, u32)>) {
        for (server, in_flight) in &load {
            *self.peer_in_flight.entry(*server).or_default() += in_flight;
        }
        let previous = if load.is_empty() {
            self.peer_loads.remove(member)
        } else {
            self.peer_loads.insert(member.to_owned(), load)
        };
        for (server, in_flight) in previous.into_iter().flatten() {
            if let Some(sum) = self.peer_in_flight.get_mut(&server) {
                *sum = sum.saturating_sub(in_flight);
            }
        }
    }

    /// Discards the state of a backend server that has left.
    pub fn forget(&mut self, server: &str) {
        self.views.remove(server);
    }

    fn view(&mut self, server: &str) -> &mut ServerView {
        if !self.views.contains_key(server) {
            self.views.insert(server.to_owned(), ServerView::default());
        }
        self.views.get_mut(server).expect("inserted above")
    }
}

/// Compares ranked servers by weight, then by identifier.
trait CompareWeight {
    fn cmp_weight(&self, other: &Self) -> std::cmp::Ordering;
}

impl CompareWeight for (u64, &ServerEntry) {
    fn cmp_weight(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0).then_with(|| self.1.id.cmp(&other.1.id))
    }
}

fn hash64(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

fn server_hash(id: &str) -> ServerHash {
    ServerHash::try_from(hash64(id) & u64::from(ServerHash::MAX)).unwrap_or_default()
}
