//! Choice of a backend server for a request.
//!
//! Every node ranks the servers of a service by rendezvous hashing, so that equal keys map to the
//! same server on all nodes without coordination. The candidates are the two healthy servers
//! highest in rank (all of them under some policies) and every server that is not healthy: those
//! avoided after failures and, for a request that must not run again, those whose last request
//! failed. Each has a cost: its load, a penalty while it is avoided and, with affinity, the cost of
//! prefilling the prompt again on a server other than the first in rank. The cheapest candidate is
//! chosen.
//!
//! A request whose prompt begins with a shared part ranks the servers that cache this part, its
//! hosts, above all others (see [`crate::prompts`]). The best of the other servers is a third
//! candidate, at the additional cost of prefilling the shared part.
//!
//! The server that ran a session's last turn caches the session's prompt, so it is a candidate too
//! and takes the place of the first in rank: prefilling costs at all others. A session thus stays
//! there while the server is healthy, has no limit, is as fast as what the ranking would take and
//! not busier by more than this cost. New sessions follow the ranking.
//!
//! A request takes longer on a server that is slower than the others of its service (see
//! [`crate::speed`]), so all costs there are multiplied by its slowdown. Slower servers also keep
//! only a part of the keys that rank them first; the others pass them over, the same on all nodes.
//! If all keys did, they would fill the fastest servers and then move with each change of the loads.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::BackendId;
use crate::load::{NodeLoad, OthersLoad, ServerHash};
use crate::prompts::SharedPart;
use crate::ranking::{Candidate, rank, server_hash};
use crate::server_limits::ServerLimits;
use crate::servers::ServerEntry;
use crate::speed::{STEP_MAX_AGE, ServerSpeed, SlowdownStep, slowdown};

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
    /// Part of the prompt that requests with different keys share, if any.
    pub shared_part: Option<SharedPart>,
    /// Server that ran the last turn of the request's session; `None` if it is not known.
    pub last_server: Option<&'a str>,
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
/// Additional cost of prefilling the shared part on a server that is not one of its hosts.
const SHARED_PREFILL_COST: f64 = 0.4;
/// Additional cost per rank, so that sessions with equal keys also move to the same server.
const RANK_COST: f64 = 0.02;
/// Rank from which the cost stays constant.
const COSTED_RANK_MAX: usize = 8;
/// Halvings, for each step of slowdown, of the part of its keys that a slower server keeps, if most
/// servers are as fast as the fastest.
const PASSED_BITS_MOST_FAST: u32 = 4;
/// The same if only some are, which could not take over so many keys.
const PASSED_BITS_FEW_FAST: u32 = 2;
/// Number of slower servers that are compared in addition to those that a key does not pass over.
const SLOWER_COMPARED: usize = 1;
/// Cost of a server that is being avoided after failures; exceeds any load.
const FAILED_COST: f64 = 100.0;
/// Additional cost of a server that is cold or has named a limit; the load of a server whose slots
/// are taken.
const LIMITED_COST: f64 = 1.0;
/// Age from which the load by other nodes' requests is considered unknown; most requests that it
/// counts have ended by then.
pub const OTHERS_LOAD_MAX_AGE: Duration = Duration::from_millis(500);
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
    /// Load by other nodes' requests, with the time at which it was asked for.
    others: HashMap<ServerHash, (OthersLoad, Duration)>,
    /// Limits of the servers.
    limits: ServerLimits,
    /// Speeds of servers as told by their keepers, with the times at which they became known.
    speeds: HashMap<ServerHash, (ServerSpeed, Duration)>,
}

impl Placement {
    /// Returns the limits of the servers.
    #[must_use]
    pub fn limits(&self) -> &ServerLimits {
        &self.limits
    }

    /// Returns the limits of the servers, for changing them.
    pub fn limits_mut(&mut self) -> &mut ServerLimits {
        &mut self.limits
    }

    /// Returns the servers among which [`Self::choose`] would choose, except for those that are not
    /// healthy or have a limit; their loads should be known first.
    pub fn compared<'a>(
        &self,
        request: PlacementRequest<'_>,
        servers: impl Iterator<Item = &'a ServerEntry>,
        now: Duration,
    ) -> Vec<&'a ServerEntry> {
        let (compared, _) = self.candidates(request, servers, now);
        compared.into_iter().map(|candidate| candidate.server).collect()
    }

    /// Chooses a server for a request; returns `None` if all are excluded.
    pub fn choose<'a>(
        &self,
        request: PlacementRequest<'_>,
        servers: impl Iterator<Item = &'a ServerEntry>,
        now: Duration,
    ) -> Option<&'a ServerEntry> {
        let (compared, inferior) = self.candidates(request, servers, now);
        // Servers that are not healthy come last and so lose ties; while avoided, they also cost
        // more than any load.
        compared
            .into_iter()
            .chain(inferior)
            .map(|candidate| (self.cost(request.policy, &candidate, now), candidate.server))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, server)| server)
    }

    /// Returns the healthy servers without a limit to compare, and all other servers that a request
    /// may be sent to.
    fn candidates<'a>(
        &self,
        request: PlacementRequest<'_>,
        servers: impl Iterator<Item = &'a ServerEntry>,
        now: Duration,
    ) -> (Vec<Candidate<'a>>, Vec<Candidate<'a>>) {
        let compared_max = match request.policy {
            PlacementPolicy::Affinity | PlacementPolicy::TwoChoices => COMPARED_SERVERS,
            PlacementPolicy::AffinityAllServers | PlacementPolicy::LeastLoaded => usize::MAX,
        };
        let (limited, unlimited): (Vec<_>, Vec<_>) =
            servers.partition(|server| self.limits.is_limited(server_hash(&server.id), now));
        let mut limited = self.limited_candidates(&request, &limited, &unlimited, now);
        let mut candidates = rank(request.key, request.shared_part, unlimited.into_iter());
        candidates.retain(|candidate| self.may_choose(&request, candidate.server, now));
        let (healthy, mut inferior): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|candidate| {
                !self.is_avoided(candidate.server, now)
                    && (request.may_repeat || !self.failed_last(candidate.server))
            });
        let last = healthy
            .iter()
            .find(|candidate| request.last_server == Some(candidate.server.id.as_str()))
            .copied();
        let (hosts, others): (Vec<_>, Vec<_>) =
            healthy.into_iter().partition(|candidate| candidate.is_host);
        let mut compared = self.first_by_speed(request.key, hosts, compared_max, now);
        let others_max = if compared.is_empty() { compared_max } else { 1 };
        compared.append(&mut self.first_by_speed(request.key, others, others_max, now));
        if let Some(last) = last {
            self.rank_last_server_first(last, &mut compared, now);
        }
        inferior.append(&mut limited);
        (compared, inferior)
    }

    /// Ranks the server of the session's last turn above the servers to compare, unless the first
    /// of them is faster.
    fn rank_last_server_first<'a>(
        &self,
        last: Candidate<'a>,
        compared: &mut Vec<Candidate<'a>>,
        now: Duration,
    ) {
        let is_slower = |first: &Candidate<'_>| {
            self.slowdown_step(last.server, now) > self.slowdown_step(first.server, now)
        };
        if compared.first().is_some_and(is_slower) {
            return;
        }
        compared.retain(|candidate| candidate.server.id != last.server.id);
        for candidate in compared.iter_mut() {
            candidate.rank = candidate.rank.max(1);
        }
        compared.insert(0, Candidate { rank: 0, ..last });
    }

    /// Returns the first `count_max` candidates that the key does not pass over, with their ranks
    /// among these, and a slower one that it does.
    ///
    /// A slower server keeps a quarter of its keys for each step, or a sixteenth if most candidates
    /// are as fast as the fastest and so have room for the others.
    fn first_by_speed<'a>(
        &self,
        key: &str,
        candidates: Vec<Candidate<'a>>,
        count_max: usize,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        if self.speeds.values().all(|(speed, _)| speed.step == 0) {
            return candidates.into_iter().take(count_max).collect();
        }
        let step_of = |candidate: &Candidate<'_>| self.slowdown_step(candidate.server, now);
        let fastest = candidates.iter().map(step_of).min().unwrap_or_default();
        let are_most_fastest =
            2 * candidates.iter().filter(|it| step_of(it) == fastest).count() >= candidates.len();
        let bits_per_step =
            if are_most_fastest { PASSED_BITS_MOST_FAST } else { PASSED_BITS_FEW_FAST };
        let (mut first, mut passed_over) = (Vec::new(), Vec::new());
        for mut candidate in candidates {
            let bits = bits_per_step * u32::from(step_of(&candidate) - fastest);
            if passes_over(key, &candidate.server.id, bits) {
                candidate.rank = candidate.rank.max(1);
                passed_over.push(candidate);
            } else if first.len() < count_max {
                candidate.rank -= passed_over.len();
                first.push(candidate);
            }
        }
        if count_max < usize::MAX {
            passed_over.truncate(SLOWER_COMPARED);
        }
        first.append(&mut passed_over);
        first
    }

    /// Returns the servers with a limit that a request may be sent to: the first in rank among all
    /// servers, or any if each server has a limit. Sessions that visit other servers for a single
    /// permit would have their prompts prefilled there in vain.
    fn limited_candidates<'a>(
        &self,
        request: &PlacementRequest<'_>,
        limited: &[&'a ServerEntry],
        unlimited: &[&'a ServerEntry],
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        if limited.is_empty() {
            return Vec::new();
        }
        let mut candidates =
            rank(request.key, request.shared_part, limited.iter().chain(unlimited).copied());
        if !unlimited.is_empty() {
            candidates.truncate(1);
        }
        candidates.retain(|candidate| {
            self.limits.is_limited(server_hash(&candidate.server.id), now)
                && self.may_choose(request, candidate.server, now)
        });
        candidates
    }

    fn may_choose(
        &self,
        request: &PlacementRequest<'_>,
        server: &ServerEntry,
        now: Duration,
    ) -> bool {
        !request.excluded.contains(&server.id)
            && self.limits.blocked_for(server_hash(&server.id), now).is_none()
    }

    /// Returns whether `server` is avoided after failures.
    #[must_use]
    pub fn is_avoided(&self, server: &ServerEntry, now: Duration) -> bool {
        self.others_load(server, now).avoiding >= AVOID_QUORUM
            || self.views.get(&server.id).is_some_and(|view| now < view.avoid_until)
    }

    /// Returns whether the last request of this node to `server` failed.
    fn failed_last(&self, server: &ServerEntry) -> bool {
        self.views.get(&server.id).is_some_and(|view| view.consecutive_failures > 0)
    }

    fn cost(&self, policy: PlacementPolicy, candidate: &Candidate<'_>, now: Duration) -> f64 {
        let Candidate { server, rank, is_host } = *candidate;
        let load = self.load(server, now);
        let failure_cost = if self.is_avoided(server, now) { FAILED_COST } else { 0.0 };
        let is_limited = self.limits.is_limited(server_hash(&server.id), now);
        let limit_cost = if is_limited { LIMITED_COST } else { 0.0 };
        let move_cost = match policy {
            PlacementPolicy::TwoChoices | PlacementPolicy::LeastLoaded => 0.0,
            _ if rank == 0 => 0.0,
            PlacementPolicy::Affinity | PlacementPolicy::AffinityAllServers => {
                let rank = u32::try_from(rank.min(COSTED_RANK_MAX)).unwrap_or(u32::MAX);
                let shared_cost = if is_host { 0.0 } else { SHARED_PREFILL_COST };
                PREFILL_COST + RANK_COST * f64::from(rank) + shared_cost
            }
        };
        let slowdown = slowdown(self.slowdown_step(server, now));
        slowdown * (load + move_cost) + failure_cost + limit_cost
    }

    /// Records the speed of a server as told by its keeper.
    pub fn set_speed(&mut self, server: ServerHash, speed: ServerSpeed, now: Duration) {
        self.speeds.insert(server, (speed, now));
    }

    /// Returns the known speed of `server` and its age; `None` if none was told lately, or only for
    /// an earlier start of the server.
    #[must_use]
    pub fn speed(&self, server: &ServerEntry, now: Duration) -> Option<(SlowdownStep, Duration)> {
        let (speed, known_at) = self.speeds.get(&server_hash(&server.id))?;
        let age = now.saturating_sub(*known_at);
        let is_valid = speed.started_unix_ms == server.started_unix_ms && age < STEP_MAX_AGE;
        is_valid.then_some((speed.step, age))
    }

    fn slowdown_step(&self, server: &ServerEntry, now: Duration) -> SlowdownStep {
        self.speed(server, now).map_or(0, |(step, _)| step)
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

    /// Considers all servers healthy, because their failures were those of this node's network;
    /// returns the servers that had failed.
    pub fn forgive(&mut self) -> Vec<BackendId> {
        let failed = self.views.iter_mut().filter(|(_, view)| view.consecutive_failures > 0);
        let forgive = |(server, view): (&BackendId, &mut ServerView)| {
            view.consecutive_failures = 0;
            view.avoid_until = Duration::ZERO;
            server.clone()
        };
        failed.map(forgive).collect()
    }

    /// Returns the load of `server` by this node's requests.
    #[must_use]
    pub fn own_load(&self, server: &str, now: Duration) -> NodeLoad {
        let Some(view) = self.views.get(server) else { return NodeLoad::default() };
        let avoided_for = view.avoid_until.saturating_sub(now);
        NodeLoad { in_flight: view.own_in_flight, avoided_for }
    }

    /// Records the load of a server by the requests of other nodes at `counted_at`.
    pub fn set_others_load(&mut self, server: ServerHash, load: OthersLoad, counted_at: Duration) {
        self.others.insert(server, (load, counted_at));
    }

    /// Returns the requests in flight per slot of `server`.
    #[must_use]
    pub fn load(&self, server: &ServerEntry, now: Duration) -> f64 {
        let own = self.views.get(&server.id).map_or(0, |view| view.own_in_flight);
        let in_flight = self.others_load(server, now).in_flight + own;
        f64::from(in_flight) / f64::from(server.slots.max(1))
    }

    /// Returns whether the load of a server by other nodes' requests is known for a time at or after
    /// `since`.
    #[must_use]
    pub fn knows_load(&self, server: ServerHash, since: Duration) -> bool {
        self.others.get(&server).is_some_and(|(_, known_at)| *known_at >= since)
    }

    fn others_load(&self, server: &ServerEntry, now: Duration) -> OthersLoad {
        match self.others.get(&server_hash(&server.id)) {
            Some((load, known_at)) if now < *known_at + OTHERS_LOAD_MAX_AGE => *load,
            _ => OthersLoad::default(),
        }
    }

    /// Discards the state of a backend server that has left.
    pub fn forget(&mut self, server: &str) {
        self.views.remove(server);
        self.others.remove(&server_hash(server));
        self.limits.forget(server_hash(server));
        self.speeds.remove(&server_hash(server));
    }

    fn view(&mut self, server: &str) -> &mut ServerView {
        if !self.views.contains_key(server) {
            self.views.insert(server.to_owned(), ServerView::default());
        }
        self.views.get_mut(server).expect("inserted above")
    }
}

/// Returns whether a key passes over a slow server, which keeps one of `2^bits` of its keys.
fn passes_over(key: &str, server: &str, bits: u32) -> bool {
    let hash = xxh3_64_with_seed(key.as_bytes(), !u64::from(server_hash(server)));
    hash.trailing_zeros() < bits.min(u64::BITS - 1)
}
