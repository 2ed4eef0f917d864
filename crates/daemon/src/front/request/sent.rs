//! Log lines of attempts that are sent and answered.

use std::time::{Duration, Instant};

use dandelionfront_coordination::ranking::server_hash;
use dandelionfront_coordination::servers::ServerEntry;
use dandelionfront_coordination::speed::slowdown;

use super::announcements::limit_text;
use super::answer_head::{AnswerFault, AnswerHead};
use super::attempt::Attempts;
use super::exchange::Exchange;
use super::turn::RunningTurn;
use crate::front::connection::backend::BackendConnection;
use crate::front::connection::responder::Responder;

impl Attempts<'_> {
    /// Records that an attempt is being sent.
    pub(super) fn record_sending(
        &mut self,
        server: &ServerEntry,
        time_left: Duration,
        connection: &BackendConnection,
    ) {
        let added = self.admitted.arrived_at.elapsed();
        if !std::mem::replace(&mut self.is_sent, true) {
            self.node.metrics.added_seconds.observe(added.as_secs_f64());
        }
        let session_move = self.record_move(server);
        let (moved_from, move_cause) = session_move
            .as_ref()
            .map_or(("-", "-"), |moved| (moved.from.as_str(), moved.cause.label()));
        let limit = self.admitted.limit_reservation.level;
        let input_bytes = self.admitted.turn.as_ref().and_then(RunningTurn::input_bytes);
        log::info!(
            "event=sent request={} program={} fingerprint={:016x} path={} body_bytes={} route={} \
             version={} team={} server={} time_left_ms={} reused={} via={} load={:.2} {} \
             limit_per_s={} limit_tokens_left={:.1} limit_share={:.2} added_ms={} software=\"{}\" resume_after={} resumes={} \
             previous_turn={} admitted_version={} config_age_ms={} input_bytes={} session={} moved_from={moved_from} \
             move_cause={move_cause} last_server={} last_known_by={}",
            self.admitted.context.id,
            self.admitted.context.program.as_ref().map_or("-", |program| program.id.as_str()),
            self.admitted.keys.exact,
            self.admitted.target,
            self.admitted.body.len(),
            self.admitted.route.name,
            self.node.table().version(),
            self.admitted.team.as_ref().map_or("-", |team| team.name.as_str()),
            server.id,
            time_left.as_millis(),
            connection.is_reused,
            connection.via.map_or("-".to_owned(), |via| via.to_string()),
            self.node.placement.borrow().load(server, self.node.clock.monotonic_now()),
            self.speed_text(server),
            limit_text(self.limit_in_force(server)),
            limit.tokens_left,
            limit.reachable_share,
            added.as_millis(),
            server.software,
            self.last_event.map_or("-".to_owned(), |event| event.to_string()),
            self.admitted.context.resumes.as_deref().unwrap_or("-"),
            self.admitted.context.previous_turn.as_deref().unwrap_or("-"),
            self.admitted.config.version,
            self.admitted.config.age_ms,
            input_bytes.unwrap_or(self.admitted.body.len()),
            self.admitted.context.program.as_ref().map_or("-", |program| program.session.as_str()),
            self.last_server.as_ref().map_or("-", |last| last.id.as_str()),
            self.last_server.as_ref().map_or("-", |last| last.known_by.label()),
        );
    }

    /// Formats the speed of `server` for the log.
    fn speed_text(&self, server: &ServerEntry) -> String {
        let now = self.node.clock.monotonic_now();
        match self.node.placement.borrow().speed(server, now) {
            Some((step, age)) => {
                format!("slowdown={} speed_age_ms={}", slowdown(step), age.as_millis())
            }
            None => "slowdown=- speed_age_ms=-".to_owned(),
        }
    }

    fn limit_in_force(&self, server: &ServerEntry) -> Option<f64> {
        let now = self.node.clock.monotonic_now();
        self.node.placement.borrow().limits().in_force(server_hash(&server.id), now)
    }

    pub(super) fn log_answered(&self, server: &ServerEntry, head: AnswerHead, sent_at: Instant) {
        log::info!(
            "event=answered request={} server={} {head} backend_ms={} total_ms={}",
            self.admitted.context.id,
            server.id,
            sent_at.elapsed().as_millis(),
            self.admitted.arrived_at.elapsed().as_millis(),
        );
    }

    /// Records an answer that does not reach the caller, or of which only a part does.
    pub(super) fn log_faulty_answer(
        &self,
        responder: &Responder<'_>,
        server: &ServerEntry,
        exchange: &Exchange,
        head: AnswerHead,
        fault: AnswerFault,
    ) {
        self.node.metrics.count_faulty_answer(fault);
        log::info!(
            "event=answer_faulty request={} server={} fault={} {head} reused={} head_sent={} \
             last_event={}",
            self.admitted.context.id,
            server.id,
            fault.label(),
            exchange.is_reused(),
            responder.is_head_sent(),
            self.last_event.map_or("-".to_owned(), |event| event.to_string()),
        );
    }
}
