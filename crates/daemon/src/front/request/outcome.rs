//! What follows from a backend server's answer to an attempt, or from its absence.

use std::net::SocketAddr;
use std::time::Instant;

use dandelionfront_coordination::crashes::{LostRequest, server_run};
use dandelionfront_coordination::servers::ServerEntry;
use dandelionfront_coordination::{Refusal, RefusalKind};
use http::{Response, StatusCode};
use hyper::body::Incoming;

use super::answer_head::{self, AnswerFault, AnswerHead, ResponseKind};
use super::attempt::{AttemptResult, Attempts, Failure, ForwardOutcome, SEND_TIME_MIN};
use super::{body, stream};
use crate::front::connection::backend::BackendConnection;
use crate::front::connection::ended;
use crate::front::connection::responder::{Responder, ResponseForm};
use crate::front::process::RetryReason;

/// Number of lost attempts after which a request is refused even if it may run again.
const LOST_ATTEMPTS_MAX: u32 = 4;
/// Number of servers that must have ended with a request for a node to leave its retry to the
/// caller, so that copies of a deadly request end fewer servers before all nodes refuse it.
const CRASHES_BEFORE_CALLER_RETRIES: u32 = 2;

/// An attempt that may have run and got no complete answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostRun<'a> {
    /// Server that may have run it.
    pub server: &'a ServerEntry,
    /// Node through which the connection went.
    pub via: Option<SocketAddr>,
    /// Time at which the request was sent.
    pub sent_at: Instant,
}

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
        if let Some(seconds) = answer_head::keep_alive_seconds(&response) {
            connection.set_keep_alive(seconds);
        }
        let head = AnswerHead::read(&response, &self.admitted.context.id, connection.via);
        let kind = answer_head::classify(&response, head);
        self.note_announcements(server, &response, &kind);
        match kind {
            ResponseKind::NotRun(status) => {
                self.admitted.limit_reservation.end_use();
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
                self.refused_on.push(connection.number);
                body::discard(self.node, server.address, connection, response);
                Ok(None)
            }
            ResponseKind::Invalid(fault) => {
                self.mark_may_have_run(&server.id);
                self.log_faulty_answer(responder, server, &connection, head, fault);
                let run = LostRun { server, via: connection.via, sent_at };
                drop(connection);
                self.handle_lost_attempt(responder, run, &fault.to_string()).await
            }
            ResponseKind::Valid => {
                self.mark_may_have_run(&server.id);
                let outcome = self.forward(responder, server, head, response).await;
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
                        let run = LostRun { server, via: connection.via, sent_at };
                        drop(connection);
                        self.handle_lost_attempt(responder, run, &cause).await
                    }
                    ForwardOutcome::NoContinuation => {
                        let fault = AnswerFault::NoContinuation;
                        self.log_faulty_answer(responder, server, &connection, head, fault);
                        drop(connection);
                        self.handle_other_answer(responder, server, head)
                    }
                }
            }
        }
    }

    /// Forwards a valid answer, unless the caller's response has begun as a stream and the answer
    /// is not the rest of it. An event stream has status 200; other successes are bodies, or empty.
    async fn forward(
        &mut self,
        responder: &mut Responder<'_>,
        server: &ServerEntry,
        head: AnswerHead,
        response: Response<Incoming>,
    ) -> Result<ForwardOutcome, Failure> {
        if head.status == StatusCode::OK && self.admitted.route.repeat.is_stream() {
            stream::forward_events(self, responder, server, head.framing, response).await
        } else if responder.is_head_sent() {
            Ok(ForwardOutcome::NoContinuation)
        } else {
            body::forward_body(self, responder, server, head.framing, response).await
        }
    }

    /// Retries or refuses after an attempt that may have run but got no complete answer.
    pub(super) async fn handle_lost_attempt(
        &mut self,
        responder: &Responder<'_>,
        run: LostRun<'_>,
        cause: &str,
    ) -> AttemptResult {
        self.record_failure(run.server, "answer", cause);
        self.check_ended(run).await;
        self.retry_or_give_up(responder, run.server, cause)
    }

    /// Retries a stream, or gives it up, after an answer that does not continue it.
    fn handle_other_answer(
        &mut self,
        responder: &Responder<'_>,
        server: &ServerEntry,
        head: AnswerHead,
    ) -> AttemptResult {
        let cause = format!("it answered {} in place of the rest of the stream", head.status);
        // Any other status says something of the request, not of the server.
        if head.status.is_server_error() {
            self.record_failure(server, "answer", &cause);
        }
        let result = self.retry_or_give_up(responder, server, &cause);
        self.excluded.push(server.id.clone());
        result
    }

    /// Lets another attempt follow an attempt that may have run, or returns its failure.
    fn retry_or_give_up(
        &mut self,
        responder: &Responder<'_>,
        server: &ServerEntry,
        cause: &str,
    ) -> AttemptResult {
        let has_server_left = self.running_servers().count() < self.attempts_max()
            || self.node.servers.borrow().ready_by_id(&server.id).is_some();
        self.lost_count += 1;
        let has_attempts_left = self.lost_count < LOST_ATTEMPTS_MAX && !self.may_be_deadly();
        // Only the events of a stream can be continued by another answer.
        let is_replaceable = responder.begun() != Some(ResponseForm::Body);
        let may_repeat = self.admitted.route.repeat.may_repeat() && is_replaceable;
        if may_repeat && has_server_left && has_attempts_left {
            self.node.metrics.count_retry(RetryReason::AttemptLost);
            self.excluded.clear();
            return Ok(None);
        }
        let message = format!("the backend server broke off ({cause}); check the effect first");
        Err(Failure::Refused(Refusal::may_have_run(RefusalKind::BackendFailed, message)))
    }

    /// Finds out whether the process of a server that broke off has ended, and if so, reports the
    /// request as lost.
    async fn check_ended(&mut self, run: LostRun<'_>) {
        let LostRun { server, via, sent_at } = run;
        let sent_before_ms = u32::try_from(sent_at.elapsed().as_millis()).unwrap_or(u32::MAX);
        let time_left = self.admitted.deadline.saturating_duration_since(Instant::now());
        if time_left < SEND_TIME_MIN || !ended::has_ended(self.node, server, via).await {
            return;
        }
        let is_leaving = self.node.servers.borrow().is_leaving(server);
        log::info!(
            "event=server_ended server={} address={} started_unix_ms={} request={} \
             fingerprint={:016x} sent_before_ms={sent_before_ms} is_leaving={is_leaving} via={}",
            server.id,
            server.address,
            server.started_unix_ms,
            self.admitted.context.id,
            self.admitted.keys.exact,
            via.map_or("-".to_owned(), |via| via.to_string()),
        );
        self.node.note_server_ended(server);
        self.ended.push(server.id.clone());
        // A server that leaves ends without regard to the request.
        if is_leaving {
            return;
        }
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
