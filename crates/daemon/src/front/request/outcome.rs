//! What follows from a backend server's answer to an attempt, or from its absence.

use std::time::Instant;

use dandelionfront_coordination::servers::ServerEntry;
use dandelionfront_coordination::{Refusal, RefusalKind};
use http::{Response, StatusCode};
use hyper::body::Incoming;

use super::answer_head::{self, AnswerFault, AnswerHead, ResponseKind};
use super::attempt::{AttemptResult, Attempts, Failure, ForwardOutcome, SEND_TIME_MIN};
use super::exchange::Exchange;
use super::{body, stream};
use crate::front::connection::responder::{Responder, ResponseForm};
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
        exchange: &mut Exchange,
        response: Response<Incoming>,
    ) -> AttemptResult {
        if let (Some(connection), Some(seconds)) =
            (exchange.connection_mut(), answer_head::keep_alive_seconds(&response))
        {
            connection.set_keep_alive(seconds);
        }
        let head = AnswerHead::read(&response, &self.admitted.context.id, exchange.via());
        let kind = answer_head::classify(&response, head);
        self.note_announcements(server, &response, &kind);
        match kind {
            ResponseKind::NotRun(status) => {
                self.admitted.limit_reservation.end_use();
                exchange.note_not_run();
                log::info!(
                    "event=not_run request={} server={} {head} reused={}",
                    self.admitted.context.id,
                    server.id,
                    exchange.is_reused(),
                );
                if status == StatusCode::MISDIRECTED_REQUEST {
                    self.record_failure(server, "other_server", "address used by another server");
                }
                self.node.metrics.count_retry(RetryReason::BackendBusy);
                self.excluded.push(server.id.clone());
                if let Some(connection) = exchange.take_connection() {
                    self.refused_on.push(connection.number);
                    body::discard(self.node, server.address, connection, response);
                }
                Ok(None)
            }
            ResponseKind::Invalid(fault) => {
                self.mark_may_have_run(&server.id);
                self.log_faulty_answer(responder, server, exchange, head, fault);
                exchange.close();
                self.handle_lost_attempt(responder, server, exchange, &fault.to_string()).await
            }
            ResponseKind::Valid => {
                self.mark_may_have_run(&server.id);
                let outcome = self.forward(responder, exchange, server, head, response).await;
                match outcome? {
                    ForwardOutcome::Complete => {
                        self.node.placement.borrow_mut().note_success(&server.id);
                        self.log_answered(server, head, exchange.sent_at());
                        if let Some(connection) = exchange.take_connection() {
                            self.node.pool.put(server.address, connection);
                        }
                        Ok(Some(Ok(())))
                    }
                    ForwardOutcome::Incomplete(cause) => {
                        let fault = AnswerFault::Incomplete;
                        self.log_faulty_answer(responder, server, exchange, head, fault);
                        self.handle_lost_attempt(responder, server, exchange, &cause).await
                    }
                    ForwardOutcome::NoContinuation => {
                        let fault = AnswerFault::NoContinuation;
                        self.log_faulty_answer(responder, server, exchange, head, fault);
                        exchange.close();
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
        exchange: &mut Exchange,
        server: &ServerEntry,
        head: AnswerHead,
        response: Response<Incoming>,
    ) -> Result<ForwardOutcome, Failure> {
        if head.status == StatusCode::OK && self.admitted.route.repeat.is_stream() {
            stream::forward_events(self, responder, exchange, server, head.framing, response).await
        } else if responder.is_head_sent() {
            Ok(ForwardOutcome::NoContinuation)
        } else {
            body::forward_body(self, responder, exchange, server, head.framing, response).await
        }
    }

    /// Retries or refuses after an attempt that may have run but got no complete answer.
    pub(super) async fn handle_lost_attempt(
        &mut self,
        responder: &Responder<'_>,
        server: &ServerEntry,
        exchange: &mut Exchange,
        cause: &str,
    ) -> AttemptResult {
        self.record_failure(server, "answer", cause);
        let time_left = self.admitted.deadline.saturating_duration_since(Instant::now());
        // Without time for it, what becomes of the request is found out after its handling.
        if time_left >= SEND_TIME_MIN && exchange.check_ended().await {
            self.ended.push(server.id.clone());
        }
        let result = self.retry_or_give_up(responder, server, cause);
        // A server must not go on with a request that another one gets.
        if result.is_ok() {
            exchange.close();
        }
        result
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

    /// Returns whether servers ended with the request so often that only the caller may send it
    /// again.
    fn may_be_deadly(&self) -> bool {
        let crashes = self.node.crashes.borrow().crashes(self.admitted.keys);
        !self.ended.is_empty() && crashes >= CRASHES_BEFORE_CALLER_RETRIES
    }
}
