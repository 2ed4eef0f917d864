//! What follows from a backend server's answer to an attempt, or from its absence.

use std::time::Instant;

use dandelionfront_coordination::crashes::{LostRequest, server_run};
use dandelionfront_coordination::servers::ServerEntry;
use dandelionfront_coordination::{Refusal, RefusalKind};
use http::{Response, StatusCode};
use hyper::body::Incoming;

use super::attempt::{AttemptResult, Attempts, Failure, ForwardOutcome, SEND_TIME_MIN};
use super::inbound::{self, AnswerFault, AnswerHead, ResponseKind};
use super::{body, stream};
use crate::front::connection::backend::BackendConnection;
use crate::front::connection::ended;
use crate::front::connection::responder::Responder;
use crate::front::process::RetryReason;

/// Number of lost attempts after which a request is refused even if it may run again.
const LOST_ATTEMPTS_MAX: u32 = 4;
/// Number of servers that must have ended with a request for a node to leave its retry to the
/// caller, so that copies of a deadly request end fewer servers before all nodes refuse it.
const CRASHES_BEFORE_CALLER_RETRIES: u32 = 2;

impl Attempts<'_> {
    /// Handles an answer of `server`: forwards it, or decides whether another attempt follows.
    pub(super) async fn handle_response(
        &mut self,
        responder: &mut Responder<'_>,
        server: &ServerEntry,
        mut connection: BackendConnection,
        response: Response<Incoming>,
        sent_at: Instant,
    ) -> AttemptResult {
        if let Some(seconds) = inbound::keep_alive_seconds(&response) {
            connection.set_keep_alive(seconds);
        }
        let head = AnswerHead::read(&response, &self.admitted.context.id);
        let kind = inbound::classify(&response, head);
        self.note_announcements(server, &response, &kind);
        match kind {
            ResponseKind::NotRun(status) => {
                log::info!(
                    "event=not_run request={} server={} {head} reused={}",
                    self.admitted.context.id,
                    server.id,
                    connection.is_reused,
                );
                if status == StatusCode::MISDIRECTED_REQUEST {
                    self.record_failure(server, "other_server", "address used by another server");
                }
                self.node.metrics.count_retry(RetryReason::BackendBusy);
                self.excluded.push(server.id.clone());
                self.refused_by.push(server.id.clone());
                if body::discard(response).await {
                    self.node.pool.put(server.address, connection);
                }
                Ok(None)
            }
            ResponseKind::Invalid(fault) => {
                self.mark_may_have_run(&server.id);
                self.log_faulty_answer(responder, server, &connection, head, fault);
                drop(connection);
                self.handle_lost_attempt(server, &fault.to_string(), sent_at).await
            }
            ResponseKind::Valid => {
                self.mark_may_have_run(&server.id);
                let is_stream = head.status.is_success() && self.admitted.route.repeat.is_stream();
                let outcome = if is_stream {
                    stream::forward_events(self, responder, server, response).await
                } else {
                    body::forward_body(self, responder, response).await
                };
                match outcome? {
                    ForwardOutcome::Complete => {
                        self.node.placement.borrow_mut().note_success(&server.id);
                        self.node.peers.note_completed(self.node, self.admitted.keys);
                        self.node.pool.put(server.address, connection);
                        self.log_answered(server, head, sent_at);
                        Ok(Some(Ok(())))
                    }
                    ForwardOutcome::Incomplete(cause) => {
                        let fault = AnswerFault::Incomplete;
                        self.log_faulty_answer(responder, server, &connection, head, fault);
                        drop(connection);
                        self.handle_lost_attempt(server, &cause, sent_at).await
                    }
                }
            }
        }
    }

    /// Retries or refuses after an attempt that may have run but got no complete answer.
    pub(super) async fn handle_lost_attempt(
        &mut self,
        server: &ServerEntry,
        cause: &str,
        sent_at: Instant,
    ) -> AttemptResult {
        self.record_failure(server, "answer", cause);
        self.check_ended(server, sent_at).await;
        let has_server_left = self.running_servers().count() < self.attempts_max()
            || self.node.servers.borrow().ready_by_id(&server.id).is_some();
        self.lost_count += 1;
        let has_attempts_left = self.lost_count < LOST_ATTEMPTS_MAX && !self.may_be_deadly();
        if self.admitted.route.repeat.may_repeat() && has_server_left && has_attempts_left {
            self.node.metrics.count_retry(RetryReason::AttemptLost);
            self.excluded.clear();
            return Ok(None);
        }
        let message = format!("the backend server broke off ({cause}); check the effect first");
        Err(Failure::Refused(Refusal::may_have_run(RefusalKind::BackendFailed, message)))
    }

    /// Finds out whether the process of a server that broke off has ended, and if so, reports the
    /// request as lost.
    async fn check_ended(&mut self, server: &ServerEntry, sent_at: Instant) {
        let sent_before_ms = u32::try_from(sent_at.elapsed().as_millis()).unwrap_or(u32::MAX);
        let time_left = self.admitted.deadline.saturating_duration_since(Instant::now());
        if time_left < SEND_TIME_MIN || !ended::has_ended(self.node, server).await {
            return;
        }
        log::info!(
            "event=server_ended server={} address={} started_unix_ms={} request={} \
             fingerprint={:016x} sent_before_ms={sent_before_ms}",
            server.id,
            server.address,
            server.started_unix_ms,
            self.admitted.context.id,
            self.admitted.keys.exact,
        );
        self.node.note_server_ended(server);
        self.ended.push(server.id.clone());
        let request = self.admitted.keys;
        let lost = LostRequest { server: server_run(server), request, age_ms: 0, sent_before_ms };
        self.node.peers.note_lost(self.node, lost);
    }

    /// Returns whether servers ended with the request so often that only the caller may send it
    /// again.
    fn may_be_deadly(&self) -> bool {
        let crashes = self.node.crashes.borrow().crashes(self.admitted.keys);
        !self.ended.is_empty() && crashes >= CRASHES_BEFORE_CALLER_RETRIES
    }
}
