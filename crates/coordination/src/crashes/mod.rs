//! Requests that crash the backend servers which run them.
//!
//! A server that ends takes all its requests with it, and nobody sees which of them ended it. Every
//! node therefore reports to all others which of its requests a server lost when it ended, and keeps
//! a [`CrashTable`] of all reports. A request that was lost in [`CRASHES_MAX`] crashes is refused
//! for a while, before it reaches another server.
//!
//! Requests that merely ran beside it are told apart in three ways. A crash counts only against the
//! request with the most crashes among those that were lost in it. Servers that fail together count
//! once. And a request that completes, at any node, is cleared of all crashes before.
//!
//! Turns of programs contain their program's prompt, so repetitions of a deadly turn may differ in
//! their bodies. If several different bodies with the same team, method and path were lost and none
//! with this path completes, all of them are refused.
//!
//! A node that stops waiting for an answer, as when the caller leaves or the deadline passes, does
//! not see what becomes of the request. It is kept as an [`AbandonedRequest`] until its server ends,
//! in which case it was lost *unobserved*. Copies of a sound request may be abandoned at many servers
//! that end for other reasons, and none of them is seen to complete. So unobserved losses alone
//! suffice for a refusal only if they are many, and they are cleared when another server goes on
//! after it was sent the request. A single one makes the request suspect, so that the next copies
//! are observed although nobody waits for them.

mod abandoned;
mod evidence;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

pub use self::abandoned::{AbandonedRequest, AbandonedRequests};

use self::evidence::Evidence;
use crate::servers::ServerEntry;

/// Hash of properties of a request.
pub type RequestHash = u64;

/// Hash of a backend server's identifier and start time.
pub type ServerRun = u64;

/// Number of crashes from which a request is refused.
pub const CRASHES_MAX: u32 = 3;
/// Time for which a crash is remembered, which also limits the time of a refusal.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum number of lost requests that are remembered over all crashes; the oldest crashes are
/// forgotten first.
const LOST_REQUESTS_MAX: usize = 16_384;
/// Maximum number of lost requests that are remembered of one crash.
const CRASH_REQUESTS_MAX: usize = 512;

/// Delay of a report from which the time of its crash is corrected.
const DELAY_MIN: Duration = Duration::from_millis(10);

/// What identifies a request and its repetitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestKeys {
    /// Hash of team, method, path with query, and body.
    pub exact: RequestHash,
    /// Hash of team, method, and path with query.
    pub path: RequestHash,
}

impl RequestKeys {
    /// Creates the keys of a request; `target` is its path with query, and `team` is empty on
    /// routes that are open to all.
    #[must_use]
    pub fn new(team: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [team, method, target] {
            hasher.update(part.as_bytes());
            // Separates the parts, which contain no zero byte.
            hasher.update(&[0]);
        }
        let path = hasher.digest();
        hasher.update(body);
        Self { exact: hasher.digest(), path }
    }
}

/// Returns the hash of a backend server's identifier and start time.
#[must_use]
pub fn server_run(server: &ServerEntry) -> ServerRun {
    let mut hasher = Xxh3::new();
    hasher.update(&server.started_unix_ms.to_le_bytes());
    hasher.update(server.id.as_bytes());
    hasher.digest()
}

/// A request that a backend server lost when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRequest {
    /// The server.
    pub server: ServerRun,
    /// The request.
    pub request: RequestKeys,
    /// Time since the server ended, in milliseconds.
    pub age_ms: u32,
    /// Time from sending the request to the end of the server, in milliseconds.
    pub sent_before_ms: u32,
}

/// How it was found that a request was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Observation {
    /// Its server ended after its node had stopped waiting for the answer.
    Unobserved,
    /// A node waited for its answer when the server ended.
    Observed,
}

/// Keys of a lost request with which another has fared well since.
#[derive(Debug, Clone, Copy, Default)]
struct ClearedKeys {
    exact: bool,
    path: bool,
}

impl ClearedKeys {
    /// Adds the keys that `lost` shares with `request`.
    fn add(&mut self, lost: RequestKeys, request: RequestKeys) {
        self.exact |= lost.exact == request.exact;
        self.path |= lost.path == request.path;
    }
}

/// What is known of a request lost in a crash.
#[derive(Debug)]
struct LostState {
    sent_at: Duration,
    /// Whether this node had sent it.
    is_own: bool,
    observation: Observation,
    /// Keys with which a request has completed since.
    completed: ClearedKeys,
    /// Keys with which a request was abandoned at a server that went on.
    outlived: ClearedKeys,
}

impl LostState {
    /// Returns the keys for which the loss does not count.
    fn cleared(&self) -> ClearedKeys {
        match self.observation {
            Observation::Observed => self.completed,
            Observation::Unobserved => ClearedKeys {
                exact: self.completed.exact || self.outlived.exact,
                path: self.completed.path || self.outlived.path,
            },
        }
    }
}

#[derive(Debug)]
struct Crash {
    happened_at: Duration,
    lost: HashMap<RequestKeys, LostState>,
}

impl Crash {
    /// Corrects the time of the crash if an earlier one is reported: a report that was delayed, as
    /// by a pause of this node, lets the crash appear later. Returns whether the time has changed.
    fn move_back(&mut self, happened_at: Duration) -> bool {
        let delay = self.happened_at.saturating_sub(happened_at);
        if delay < DELAY_MIN {
            return false;
        }
        self.happened_at = happened_at;
        for state in self.lost.values_mut() {
            state.sent_at = state.sent_at.saturating_sub(delay);
        }
        true
    }
}

/// Crashes of backend servers and the requests lost in them, as known to one node.
///
/// Times are steady times of this node, shifted by [`CRASH_RETENTION`] so that crashes before its
/// start have one too.
#[derive(Debug, Default)]
pub struct CrashTable {
    crashes: HashMap<ServerRun, Crash>,
    evidence: Evidence,
    /// Exact keys or path keys that the evidence has become sufficient for.
    newly_refused: Vec<RequestHash>,
}

impl CrashTable {
    /// Records requests that servers have lost, as told by other nodes; returns whether any was not
    /// known.
    pub fn note_lost(&mut self, lost: &[LostRequest], now: Duration) -> bool {
        self.note(lost, false, Observation::Observed, now)
    }

    /// Records a request of this node that a server has lost; returns whether that was not known.
    pub fn note_own_loss(&mut self, lost: LostRequest, now: Duration) -> bool {
        self.note(&[lost], true, Observation::Observed, now)
    }

    /// Records abandoned requests whose servers have ended, as told by other nodes; returns whether
    /// any was not known.
    pub fn note_unobserved(&mut self, lost: &[LostRequest], now: Duration) -> bool {
        self.note(lost, false, Observation::Unobserved, now)
    }

    /// Records abandoned requests of this node whose servers have ended; returns whether any was not
    /// known.
    pub fn note_own_unobserved(&mut self, lost: &[LostRequest], now: Duration) -> bool {
        self.note(lost, true, Observation::Unobserved, now)
    }

    fn note(
        &mut self,
        lost: &[LostRequest],
        is_own: bool,
        observation: Observation,
        now: Duration,
    ) -> bool {
        let mut is_changed = false;
        for lost in lost {
            is_changed |= self.insert(*lost, is_own, observation, now);
        }
        if is_changed {
            self.limit_size();
            self.judge();
        }
        is_changed
    }

    fn insert(
        &mut self,
        lost: LostRequest,
        is_own: bool,
        observation: Observation,
        now: Duration,
    ) -> bool {
        let age = Duration::from_millis(lost.age_ms.into());
        if age >= CRASH_RETENTION {
            return false;
        }
        let happened_at = shifted(now).saturating_sub(age);
        let crash = self
            .crashes
            .entry(lost.server)
            .or_insert_with(|| Crash { happened_at, lost: HashMap::new() });
        let is_moved = crash.move_back(happened_at);
        if let Some(known) = crash.lost.get_mut(&lost.request) {
            let is_upgraded = known.observation < observation;
            known.observation = known.observation.max(observation);
            return is_moved || is_upgraded;
        }
        if crash.lost.len() >= CRASH_REQUESTS_MAX {
            return is_moved;
        }
        let sent_before = Duration::from_millis(lost.sent_before_ms.into());
        let sent_at = crash.happened_at.saturating_sub(sent_before);
        let state = LostState {
            sent_at,
            is_own,
            observation,
            completed: ClearedKeys::default(),
            outlived: ClearedKeys::default(),
        };
        crash.lost.insert(lost.request, state);
        true
    }

    /// Clears a request that has completed; returns whether it was lost in a crash before.
    pub fn note_completed(&mut self, request: RequestKeys) -> bool {
        if !self.is_suspect(request) {
            return false;
        }
        for (keys, state) in self.crashes.values_mut().flat_map(|crash| &mut crash.lost) {
            state.completed.add(*keys, request);
        }
        self.judge();
        true
    }

    /// Records that a server went on after it was sent a request which was then abandoned: earlier
    /// unobserved losses of the request do not count. Returns whether there were any.
    pub fn note_outlived(&mut self, request: RequestKeys) -> bool {
        let mut is_changed = false;
        for (keys, state) in self.crashes.values_mut().flat_map(|crash| &mut crash.lost) {
            let before = state.cleared();
            state.outlived.add(*keys, request);
            let after = state.cleared();
            is_changed |= before.exact != after.exact || before.path != after.path;
        }
        if is_changed {
            self.judge();
        }
        is_changed
    }

    /// Returns whether a request, or one with the same team, method and path, was lost in a crash
    /// and has not completed since.
    #[must_use]
    pub fn is_suspect(&self, request: RequestKeys) -> bool {
        self.crashes(request) > 0
    }

    /// Returns whether this node sent a request, or one with the same team, method and path, that
    /// was lost in a crash.
    #[must_use]
    pub fn is_own(&self, request: RequestKeys) -> bool {
        let lost = self.crashes.values().flat_map(|crash| &crash.lost);
        lost.filter(|(_, state)| state.is_own).any(|(keys, _)| keys.path == request.path)
    }

    /// Returns the number of crashes that a request, or those with the same team, method and path,
    /// were lost in.
    #[must_use]
    pub fn crashes(&self, request: RequestKeys) -> u32 {
        self.evidence.crashes(request)
    }

    /// Returns the time for which a request is still refused.
    #[must_use]
    pub fn refused_for(&self, request: RequestKeys, now: Duration) -> Option<Duration> {
        let until = self.evidence.refused_until(request)?;
        until.checked_sub(shifted(now)).filter(|time_left| !time_left.is_zero())
    }

    /// Returns a request for each key that is refused since the last call.
    pub fn take_newly_refused(&mut self) -> Vec<RequestKeys> {
        let newly_refused = std::mem::take(&mut self.newly_refused);
        let lost = || self.crashes.values().flat_map(|crash| crash.lost.keys());
        let find = |key: RequestHash| lost().find(|keys| keys.exact == key || keys.path == key);
        newly_refused.into_iter().filter_map(find).copied().collect()
    }

    /// Returns lost requests that other nodes should know of, at most `count`: those of requests
    /// with more than one crash, the newest first.
    #[must_use]
    pub fn repeated_losses(&self, count: usize, now: Duration) -> Vec<LostRequest> {
        self.newest_losses(count, now, |keys, state| {
            state.observation == Observation::Observed && self.crashes(*keys) > 1
        })
    }

    /// Returns the like of [`Self::repeated_losses`] for losses that were not observed.
    #[must_use]
    pub fn repeated_unobserved(&self, count: usize, now: Duration) -> Vec<LostRequest> {
        self.newest_losses(count, now, |keys, state| {
            state.observation == Observation::Unobserved && self.crashes(*keys) > 1
        })
    }

    /// Returns the lost requests that show why `request` is refused, at most `count`.
    #[must_use]
    pub fn losses_of(&self, request: RequestKeys, count: usize, now: Duration) -> Vec<LostRequest> {
        self.newest_losses(count, now, |keys, _| {
            keys.exact == request.exact || keys.path == request.path
        })
    }

    fn newest_losses(
        &self,
        count: usize,
        now: Duration,
        is_wanted: impl Fn(&RequestKeys, &LostState) -> bool,
    ) -> Vec<LostRequest> {
        let mut losses: Vec<LostRequest> = Vec::new();
        for (server, crash) in &self.crashes {
            for (keys, state) in &crash.lost {
                let cleared = state.cleared();
                if !(cleared.exact && cleared.path) && is_wanted(keys, state) {
                    losses.push(LostRequest {
                        server: *server,
                        request: *keys,
                        age_ms: millis_u32(shifted(now).saturating_sub(crash.happened_at)),
                        sent_before_ms: millis_u32(crash.happened_at.saturating_sub(state.sent_at)),
                    });
                }
            }
        }
        losses.sort_unstable_by_key(|lost| (lost.age_ms, lost.server, lost.request.exact));
        losses.truncate(count);
        losses
    }

    /// Returns which of the given requests have completed since the reported crash.
    #[must_use]
    pub fn completed_since(&self, lost: &[LostRequest]) -> Vec<RequestKeys> {
        let is_completed = |lost: &&LostRequest| {
            let crash = self.crashes.get(&lost.server);
            let state = crash.and_then(|crash| crash.lost.get(&lost.request));
            state.is_some_and(|state| state.completed.exact)
        };
        lost.iter().filter(is_completed).map(|lost| lost.request).collect()
    }

    /// Discards old crashes.
    pub fn prune(&mut self, now: Duration) {
        let count = self.crashes.len();
        let now = shifted(now);
        self.crashes.retain(|_, crash| now < crash.happened_at + CRASH_RETENTION);
        if self.crashes.len() < count {
            self.judge();
        }
    }

    /// Returns the number of lost requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.values().map(|crash| crash.lost.len()).sum()
    }

    /// Returns whether no crash is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn limit_size(&mut self) {
        let mut excess = self.len().saturating_sub(LOST_REQUESTS_MAX);
        while excess > 0 {
            let oldest =
                self.crashes.iter().min_by_key(|(server, crash)| (crash.happened_at, **server));
            let Some(oldest) = oldest.map(|(server, _)| *server) else { return };
            let removed = self.crashes.remove(&oldest);
            excess = excess.saturating_sub(removed.map_or(0, |crash| crash.lost.len()));
        }
    }

    fn judge(&mut self) {
        let mut crashes: Vec<&Crash> = self.crashes.values().collect();
        crashes.sort_unstable_by_key(|crash| crash.happened_at);
        let evidence = Evidence::weigh(&crashes);
        let is_new = |key: &RequestHash| !self.evidence.is_refused(*key);
        self.newly_refused.extend(evidence.refused().filter(is_new));
        self.evidence = evidence;
    }
}

fn shifted(now: Duration) -> Duration {
    now + CRASH_RETENTION
}

fn millis_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
