//! Forwards event streams, event by event.

use std::time::Duration;

use bytes::Bytes;
use dandelionfront_coordination::events::{EventSplitter, StreamEvent};
use dandelionfront_coordination::servers::ServerEntry;
use dandelionfront_coordination::speed::EventPace;
use dandelionfront_coordination::{Refusal, RefusalKind};
use http::Response;
use hyper::body::Incoming;

use super::answer_body::AnswerBody;
use super::answer_head::Framing;
use super::attempt::{Attempts, Failure, ForwardOutcome};
use super::exchange::Exchange;
use crate::front::connection::responder::{BodyLength, Responder, ResponseForm};

/// Time after which the caller, and not the server, determines the pace of a stream.
const CALLER_DELAY_MAX: Duration = Duration::from_millis(5);

/// Forwards the stream of `server`; only complete events in sequence reach the caller.
pub async fn forward_events(
    attempts: &mut Attempts<'_>,
    responder: &mut Responder<'_>,
    exchange: &mut Exchange,
    server: &ServerEntry,
    framing: Framing,
    response: Response<Incoming>,
) -> Result<ForwardOutcome, Failure> {
    let head = exchange.begin_body(response, framing);
    let mut body = AnswerBody::new(exchange, attempts.admitted.deadline);
    if !responder.is_head_sent() {
        responder
            .send_head(head.status, &head.headers, ResponseForm::Stream, BodyLength::Unknown)
            .map_err(Failure::CallerGone)?;
    }
    let mut splitter = EventSplitter::default();
    let last_before = attempts.last_event;
    let mut pace = EventPace::default();
    let load = {
        let placement = attempts.node.placement.borrow();
        placement.load(server, attempts.node.clock.monotonic_now())
    };
    loop {
        let data = match body.next_chunk(attempts.node, server).await {
            Ok(Some(data)) => data,
            Ok(None) => break,
            Err(cause) => return Ok(ForwardOutcome::Incomplete(cause)),
        };
        if !splitter.push(&data) {
            return Ok(ForwardOutcome::Incomplete("an event is too long".to_owned()));
        }
        let received_at = attempts.node.clock.monotonic_now();
        while let Some(event) = splitter.next_event() {
            if let Some(gap) = pace.note_event(received_at) {
                attempts.node.peers.note_duration(
                    attempts.node,
                    server,
                    &server.service,
                    load,
                    gap,
                );
            }
            if let Err(cause) = forward_event(attempts, responder, server, event).await? {
                return Ok(ForwardOutcome::Incomplete(cause));
            }
        }
        let forwarded_for = attempts.node.clock.monotonic_now().saturating_sub(received_at);
        if forwarded_for > CALLER_DELAY_MAX {
            pace.restart();
        }
    }
    if splitter.has_partial() {
        return Ok(ForwardOutcome::Incomplete("it ended within an event".to_owned()));
    }
    if matches!(framing, Framing::Unframed { .. }) && attempts.last_event == last_before {
        return Ok(ForwardOutcome::Incomplete("it ended without an event".to_owned()));
    }
    body.note_completed();
    let deadline = attempts.admitted.deadline;
    let named_server = attempts.may_sessions_stay().then(|| server.id.clone());
    if let Some(turn) = &mut attempts.admitted.turn
        && !turn.persist(named_server, deadline).await
    {
        let message = "the store did not accept the turn in time; send it again from its start";
        let refusal = Refusal::may_have_run(RefusalKind::PlatformUnavailable, message);
        return Err(Failure::Refused(refusal));
    }
    responder.finish().await.map_err(Failure::CallerGone)?;
    Ok(ForwardOutcome::Complete)
}

/// Forwards one event; the inner error is the cause if it is not the next one of the stream.
async fn forward_event(
    attempts: &mut Attempts<'_>,
    responder: &mut Responder<'_>,
    server: &ServerEntry,
    event: StreamEvent,
) -> Result<Result<(), String>, Failure> {
    if event.is_comment() {
        responder.send_chunk(Bytes::from(event.raw)).await.map_err(Failure::CallerGone)?;
        return Ok(Ok(()));
    }
    let Some(id) = event.id else {
        return Ok(Err("it sent an event without an id".to_owned()));
    };
    if event.has_foreign_lines() {
        return Ok(Err(format!("event {id} has lines that belong to no event")));
    }
    if let Some(last) = attempts.last_event
        && last.checked_add(1) != Some(id)
    {
        return Ok(Err(format!("event {id} follows event {last}")));
    }
    if let Some(turn) = &mut attempts.admitted.turn
        && !turn.record_event(&event.data)
    {
        return Ok(Err(format!("event {id} makes the turn too long to be kept")));
    }
    attempts.last_event = Some(id);
    if !std::mem::replace(&mut attempts.has_forwarded_event, true) {
        let elapsed = attempts.admitted.arrived_at.elapsed();
        attempts.node.metrics.first_event_seconds.observe(elapsed.as_secs_f64());
    }
    attempts.record_origin(server);
    responder.send_chunk(Bytes::from(event.raw)).await.map_err(Failure::CallerGone)?;
    Ok(Ok(()))
}
