//! Requests whose handling has ended while a backend server may still run them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::{LostRequest, RequestKeys, ServerRun, millis_u32, server_run};
use crate::ids::BackendId;
use crate::servers::ServerEntry;

/// Time after the longest run of a request from which a server that is still running has outlived it;
/// by then, the entry of a server that was started anew meanwhile has been read.
const OUTLIVED_AFTER: Duration = Duration::from_secs(1);
/// Time after the longest run of a request within which the end of its server is noticed at the
/// latest: the server starts anew, and its new entry is read.
const NOTICE_MAX: Duration = Duration::from_secs(10);
/// Time for which the end of a server is remembered.
const END_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of requests; further ones are not recorded.
const REQUESTS_MAX: usize = 4_096;
/// Maximum number of remembered ends of servers; the oldest are forgotten first.
const ENDS_MAX: usize = 4_096;

/// A request that a backend server may still run, though nobody waits for its answer.
#[derive(Debug)]
pub struct AbandonedRequest {
    /// The server.
    pub server: ServerEntry,
    /// The request.
    pub request: RequestKeys,
    /// Steady time at which it was sent.
    pub sent_at: Duration,
    /// Longest time for which its route lets it run.
    pub run_max: Duration,
}

/// Times of a request at one server.
#[derive(Debug)]
struct Times {
    sent_at: Duration,
    /// Time from which a server that is still running has outlived the request.
    outlived_from: Duration,
    expires_at: Duration,
}

#[derive(Debug)]
struct AbandonedAt {
    server: ServerEntry,
    requests: HashMap<RequestKeys, Times>,
}

/// Requests that backend servers may still run, though nobody waits for their answers, until their
/// servers end or go on for so long that the requests cannot have ended them.
///
/// Copies of a request at one server count as one. Times are steady times of this node.
#[derive(Debug, Default)]
pub struct AbandonedRequests {
    by_server: HashMap<ServerRun, AbandonedAt>,
    /// Starts of servers at which there are requests, by identifier.
    starts: HashMap<BackendId, HashSet<ServerRun>>,
    /// Servers that have ended, with the times at which they did.
    ended_at: HashMap<ServerRun, Duration>,
}

impl AbandonedRequests {
    /// Adds a request; returns its loss if the server is known to have ended since it was sent.
    pub fn insert(&mut self, abandoned: AbandonedRequest, now: Duration) -> Option<LostRequest> {
        let AbandonedRequest { server, request, sent_at, run_max } = abandoned;
        let run = server_run(&server);
        if let Some(ended_at) = self.ended_at.get(&run).copied() {
            if sent_at <= ended_at {
                return Some(loss(run, request, sent_at, ended_at, now));
            }
            // It has taken a request since, so it has not ended.
            self.ended_at.remove(&run);
        }
        if self.len() >= REQUESTS_MAX {
            return None;
        }
        self.starts.entry(server.id.clone()).or_default().insert(run);
        let requests = HashMap::new();
        let at = self.by_server.entry(run).or_insert_with(|| AbandonedAt { server, requests });
        // Of several copies, the first one shows whether the server outlives it.
        let outlived_from = sent_at + run_max + OUTLIVED_AFTER;
        let expires_at = sent_at + run_max + NOTICE_MAX;
        let times =
            at.requests.entry(request).or_insert(Times { sent_at, outlived_from, expires_at });
        times.sent_at = times.sent_at.max(sent_at);
        times.expires_at = times.expires_at.max(expires_at);
        None
    }

    /// Returns the requests that servers may still run.
    pub fn iter(&self) -> impl Iterator<Item = AbandonedRequest> {
        self.by_server.values().flat_map(|at| {
            at.requests.iter().map(|(request, times)| AbandonedRequest {
                server: at.server.clone(),
                request: *request,
                sent_at: times.sent_at,
                run_max: times.expires_at.saturating_sub(times.sent_at + NOTICE_MAX),
            })
        })
    }

    /// Returns whether a server is known to have ended.
    #[must_use]
    pub fn has_ended(&self, run: ServerRun) -> bool {
        self.ended_at.contains_key(&run)
    }

    /// Records that a server ended `age` ago; returns the requests that it may have lost.
    pub fn note_ended(&mut self, run: ServerRun, age: Duration, now: Duration) -> Vec<LostRequest> {
        let ended_at = now.saturating_sub(age);
        self.ended_at.entry(run).or_insert(ended_at);
        if self.ended_at.len() > ENDS_MAX
            && let Some(oldest) = self.ended_at.iter().min_by_key(|(run, at)| (**at, **run))
        {
            let oldest = *oldest.0;
            self.ended_at.remove(&oldest);
        }
        let Some(at) = self.remove(run) else { return Vec::new() };
        let live = at.requests.into_iter().filter(|(_, times)| ended_at < times.expires_at);
        live.map(|(request, times)| loss(run, request, times.sent_at, ended_at, now)).collect()
    }

    /// Returns the servers with requests whose start was replaced by that of `entry`.
    #[must_use]
    pub fn replaced_by(&self, entry: &ServerEntry) -> Vec<ServerEntry> {
        let Some(starts) = self.starts.get(&entry.id) else { return Vec::new() };
        let servers = starts.iter().filter_map(|run| self.by_server.get(run)).map(|at| &at.server);
        let earlier = servers.filter(|server| server.started_unix_ms < entry.started_unix_ms);
        earlier.cloned().collect()
    }

    /// Discards the requests at a server that leaves in order: it ends without regard to them.
    pub fn discard_at(&mut self, id: &str) {
        for run in self.starts.get(id).cloned().unwrap_or_default() {
            self.remove(run);
        }
    }

    /// Returns the wanted requests that have been outlived by their servers if these still run, at
    /// most `count`; each of them at most once in [`OUTLIVED_AFTER`].
    pub fn take_outlived(
        &mut self,
        count: usize,
        now: Duration,
        is_wanted: impl Fn(RequestKeys) -> bool,
    ) -> Vec<(ServerEntry, RequestKeys)> {
        let mut outlived = Vec::new();
        for AbandonedAt { server, requests } in self.by_server.values_mut() {
            for (request, times) in requests {
                if outlived.len() < count && now >= times.outlived_from && is_wanted(*request) {
                    times.outlived_from = now + OUTLIVED_AFTER;
                    outlived.push((server.clone(), *request));
                }
            }
        }
        outlived
    }

    /// Discards a request at a server.
    pub fn discard(&mut self, run: ServerRun, request: RequestKeys) {
        let Some(at) = self.by_server.get_mut(&run) else { return };
        at.requests.remove(&request);
        if at.requests.is_empty() {
            self.remove(run);
        }
    }

    /// Discards requests at servers whose end would have been noticed by now, and old ends; returns
    /// the number of requests.
    pub fn expire(&mut self, now: Duration) -> usize {
        self.ended_at.retain(|_, ended_at| now < *ended_at + END_RETENTION);
        let before = self.len();
        for at in self.by_server.values_mut() {
            at.requests.retain(|_, times| now < times.expires_at);
        }
        let is_empty = |at: &AbandonedAt| at.requests.is_empty();
        let empty: Vec<ServerRun> =
            self.by_server.iter().filter(|(_, at)| is_empty(at)).map(|(run, _)| *run).collect();
        for run in empty {
            self.remove(run);
        }
        before - self.len()
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_server.values().map(|at| at.requests.len()).sum()
    }

    /// Returns whether there are no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    fn remove(&mut self, run: ServerRun) -> Option<AbandonedAt> {
        let at = self.by_server.remove(&run)?;
        if let Some(starts) = self.starts.get_mut(&at.server.id) {
            starts.remove(&run);
            if starts.is_empty() {
                self.starts.remove(&at.server.id);
            }
        }
        Some(at)
    }
}

fn loss(
    server: ServerRun,
    request: RequestKeys,
    sent_at: Duration,
    ended_at: Duration,
    now: Duration,
) -> LostRequest {
    LostRequest {
        server,
        request,
        age_ms: millis_u32(now.saturating_sub(ended_at)),
        sent_before_ms: millis_u32(ended_at.saturating_sub(sent_at)),
    }
}
