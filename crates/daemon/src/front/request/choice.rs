//! Choice of the backend server for an attempt.

use std::time::Duration;

use dandelionfront_coordination::ids::BackendId;
use dandelionfront_coordination::load::ServerHash;
use dandelionfront_coordination::moves::{LastServer, MoveCause, PlacedTurn, SessionMove};
use dandelionfront_coordination::overload::new_program_retry_delay;
use dandelionfront_coordination::placement::{PlacementPolicy, PlacementRequest};
use dandelionfront_coordination::protocol::Capability;
use dandelionfront_coordination::ranking::{rank, server_hash};
use dandelionfront_coordination::servers::{ServerEntry, ServerList};
use dandelionfront_coordination::{Refusal, RefusalKind};

use super::attempt::{Attempts, Failure};
use crate::front::process::RetryReason;

/// Maximum number of queries for the loads of servers; a reply may tell of limits, in which case
/// other servers are compared.
const LOAD_ROUNDS_MAX: usize = 3;

impl Attempts<'_> {
    /// Chooses a server by rank, loads, failures and limits; returns `None` if none may be used
    /// now.
    pub(super) async fn choose_server(&self) -> Option<ServerEntry> {
        if let Some(id) = self.pinned_server() {
            let servers = self.node.servers.borrow();
            let placement = self.node.placement.borrow();
            let now = self.node.clock.monotonic_now();
            let is_blocked = placement.limits().blocked_for(server_hash(id), now).is_some()
                || self.excluded.contains(id);
            return servers.ready_by_id(id).filter(|_| !is_blocked).cloned();
        }
        // Requests that were lost together share prompts; sent to the same server again, they would
        // be lost together again.
        let is_suspect = self.node.crashes.borrow().is_suspect(self.admitted.keys);
        let policy = match self.admitted.turn {
            Some(_) if !is_suspect => PlacementPolicy::Affinity,
            _ => PlacementPolicy::TwoChoices,
        };
        let placement_request = PlacementRequest {
            policy,
            key: if is_suspect { &self.admitted.context.id } else { &self.admitted.placement_key },
            shared_part: self.admitted.shared_part.filter(|_| !is_suspect),
            last_server: self.last_server.as_ref().filter(|_| !is_suspect).map(|last| &*last.id),
            may_repeat: self.admitted.route.repeat.may_repeat(),
            excluded: &self.excluded,
        };
        let service = &self.admitted.service;
        let has_cold_start =
            self.node.table().service(service).is_some_and(|spec| spec.cold_start.is_some());
        let mut asked: Vec<ServerHash> = Vec::new();
        for _ in 0..LOAD_ROUNDS_MAX {
            let mut compared: Vec<ServerHash> = {
                let servers = self.node.servers.borrow();
                let ready = self.eligible(&servers);
                let now = self.node.clock.monotonic_now();
                let compared = self.node.placement.borrow().compared(placement_request, ready, now);
                compared.into_iter().map(|server| server_hash(&server.id)).collect()
            };
            // The keeper of an only candidate may know that it is cold.
            let is_worth_asking = compared.len() > 1 || has_cold_start;
            compared.retain(|server| !asked.contains(server));
            if !is_worth_asking || compared.is_empty() {
                break;
            }
            self.node.peers.refresh_loads(self.node, &compared).await;
            asked.append(&mut compared);
        }
        let servers = self.node.servers.borrow();
        let ready = self.eligible(&servers);
        let now = self.node.clock.monotonic_now();
        self.node.placement.borrow().choose(placement_request, ready, now).cloned()
    }

    /// Returns whether turns of the service stay at the server of their session's last turn: if its
    /// servers cache prompts, and all nodes let sessions stay. Otherwise, nodes of an earlier build
    /// would move them back.
    pub(super) fn may_sessions_stay(&self) -> bool {
        let table = self.node.table();
        let service = table.service(&self.admitted.service);
        self.admitted.turn.is_some()
            && service.is_some_and(|spec| spec.engine.is_some())
            && self.node.peers.all_know(Capability::StayingSessions)
    }

    /// Returns the server of the session's last turn, if sessions may stay and it is known.
    pub(super) fn find_last_server(&self) -> Option<LastServer> {
        if !self.may_sessions_stay() {
            return None;
        }
        let session = &self.admitted.context.program.as_ref()?.session;
        let history = self.admitted.turn.as_ref()?.previous_server();
        let now = self.node.clock.monotonic_now();
        self.node.session_moves.borrow_mut().server_to_stay_at(session, history, now)
    }

    /// Records the server of a turn; returns the move if the session's last turn went to another
    /// server, as far as this node knows.
    pub(super) fn record_move(&self, server: &ServerEntry) -> Option<SessionMove> {
        let session = &self.admitted.context.program.as_ref()?.session;
        self.admitted.turn.as_ref()?;
        let mut moves = self.node.session_moves.borrow_mut();
        let last = moves.last_server(session).cloned();
        let now = self.node.clock.monotonic_now();
        let unusable = last.as_ref().and_then(|last| self.unusable_cause(last, now));
        // A session that may stay leaves a usable server only for one that is less busy or faster.
        let may_stay =
            last.is_some() && last.as_ref() == self.last_server.as_ref().map(|it| &it.id);
        let known_cause = unusable.or_else(|| may_stay.then_some(MoveCause::Overloaded));
        let servers = self.node.servers.borrow();
        // Ranking takes time, so it is left out if the session stays.
        let ranked = match &last {
            Some(last) if *last != server.id && known_cause.is_none() => rank(
                &self.admitted.placement_key,
                self.admitted.shared_part,
                self.eligible(&servers),
            ),
            _ => Vec::new(),
        };
        if last.is_some() {
            self.node.metrics.session_turns.inc();
        }
        let shared_part = self.admitted.shared_part;
        let turn = PlacedTurn { session, server: &server.id, shared_part };
        let session_move = moves.record(turn, known_cause, &ranked, now)?;
        self.node.metrics.count_session_move(session_move.cause);
        Some(session_move)
    }

    /// Returns the reason why a turn may not be sent to `server`, if there is one.
    fn unusable_cause(&self, server: &BackendId, now: Duration) -> Option<MoveCause> {
        let servers = self.node.servers.borrow();
        let Some(entry) = servers.ready_by_id(server) else {
            let is_listed = servers.contains(server);
            return Some(if is_listed { MoveCause::Draining } else { MoveCause::Left });
        };
        let placement = self.node.placement.borrow();
        if self.excluded.contains(server) || self.ended.contains(server) {
            Some(MoveCause::Refused)
        } else if placement.is_avoided(entry, now) {
            Some(MoveCause::Avoided)
        } else if placement.limits().is_limited(server_hash(server), now) {
            Some(MoveCause::Limited)
        } else {
            None
        }
    }

    /// Returns the ready servers of the service; only those of the software version that began the
    /// stream, if it has begun.
    fn eligible<'b>(&'b self, servers: &'b ServerList) -> impl Iterator<Item = &'b ServerEntry> {
        servers
            .ready(&self.admitted.service)
            .filter(|server| self.may_continue_at(server) && !self.ended.contains(&server.id))
    }

    fn may_continue_at(&self, server: &ServerEntry) -> bool {
        self.origin.as_ref().is_none_or(|origin| origin.software == server.software)
    }

    /// Returns the last server that may run the request, if the route's limit on the number of
    /// servers is reached and that server is ready.
    pub(super) fn pinned_server(&self) -> Option<&BackendId> {
        let last = self.running_servers().last()?;
        let servers = self.node.servers.borrow();
        let is_ready = servers.ready_by_id(last).is_some_and(|server| self.may_continue_at(server));
        (self.running_servers().count() >= self.attempts_max() && is_ready).then_some(last)
    }

    /// Takes a permit for a request to `server` if it has a limit; returns `false` if there is
    /// none, in which case placement skips the server until there may be one.
    pub(super) async fn take_permit(&self, server: &ServerEntry) -> bool {
        let hash = server_hash(&server.id);
        let now = self.node.clock.monotonic_now();
        let limit = self.node.placement.borrow().limits().in_force(hash, now);
        let Some(limit_per_s) = limit else { return true };
        let Err(wait) = self.node.peers.take_permit(self.node, hash).await else { return true };
        let until = self.node.clock.monotonic_now() + wait;
        self.node.placement.borrow_mut().limits_mut().block(hash, until);
        self.node.metrics.count_retry(RetryReason::BackendAtLimit);
        log::info!(
            "event=server_at_limit request={} server={} limit_per_s={limit_per_s} wait_ms={}",
            self.admitted.context.id,
            server.id,
            wait.as_millis(),
        );
        false
    }

    /// Returns the time until a permit for one of the eligible servers may be had, if each of them
    /// is at its limit.
    pub(super) fn permit_wait(&self) -> Option<Duration> {
        let servers = self.node.servers.borrow();
        let placement = self.node.placement.borrow();
        let now = self.node.clock.monotonic_now();
        let wait =
            |server: &ServerEntry| placement.limits().blocked_for(server_hash(&server.id), now);
        if let Some(server) = self.pinned_server().and_then(|id| servers.ready_by_id(id)) {
            return wait(server);
        }
        self.eligible(&servers).map(wait).min().flatten()
    }

    /// Refuses a new program if `server` is overloaded.
    pub(super) fn check_overload(&mut self, server: &ServerEntry) -> Result<(), Failure> {
        if !self.admitted.starts_program || self.is_sent {
            return Ok(());
        }
        let now = self.node.clock.monotonic_now();
        let load = self.node.placement.borrow().load(server, now);
        let Some(delay) = new_program_retry_delay(load, self.admitted.route.priority) else {
            return Ok(());
        };
        let message = format!(
            "the backend servers are overloaded ({load:.1} requests for each slot); retry later"
        );
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        if let Some(turn) = &mut self.admitted.turn {
            turn.release_claim();
        }
        let refusal = Refusal::not_run(RefusalKind::NoBackend, message);
        Err(Failure::Refused(refusal.retry_after_ms(delay_ms)))
    }
}
