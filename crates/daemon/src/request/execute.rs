//! Executes an admitted call on a backend server.

use std::time::Duration;

use dandelionfront_coordination::ids::BackendId;
use dandelionfront_coordination::{
    AttemptEnd, CallRequest, CallTarget, CallTicket, Clock as _, Payload, Placement, Refusal,
    RefusalKind,
};
use futures_util::future::{Either, select};
use log::{info, warn};
use ntex::time::sleep;

use crate::backend::{
    BackendAnswer, BackendError, EngineCall, GenerationSink, HttpEngine, HttpService,
    ModelEngine as _, PlainService as _, ServiceCall,
};
use crate::crash::{self, CrashPoint};
use crate::process::Worker;
use crate::process::metrics::RetryReason;

/// Maximum number of backend servers that are tried in one attempt.
const BACKENDS_PER_ATTEMPT_MAX: usize = 3;
/// Interval between checks whether a call was abandoned.
const ABANDON_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Executes a call and records the result.
pub async fn run(worker: Worker, ticket: CallTicket, request: CallRequest) {
    let repeatable = request.repeatable;
    hit_crash_point(repeatable, CrashPoint::Started);
    let end = match execute(&worker, &ticket, &request).await {
        Ok((done, backend)) => {
            AttemptEnd::Answered { answer: done.answer, usage: done.usage, backend }
        }
        Err(BackendError::NotRun(refusal)) => AttemptEnd::NotSent(refusal),
        Err(BackendError::Lost(refusal)) => AttemptEnd::Lost(refusal),
    };
    hit_crash_point(repeatable, CrashPoint::Answered);
    if let AttemptEnd::NotSent(refusal) | AttemptEnd::Lost(refusal) = &end {
        info!(
            "event=attempt_failed program={} sequence={} kind={} run={:?}",
            ticket.program,
            ticket.key.sequence,
            refusal.kind.label(),
            refusal.run
        );
    }
    let feed = std::sync::Arc::clone(&ticket.feed);
    if worker.shared.control.finish(ticket, request, end).await.is_err() {
        feed.close(Err(Refusal::outcome_unknown()));
    }
}

/// Hits a crash point if the call is not repeatable.
pub fn hit_crash_point(repeatable: bool, point: CrashPoint) {
    if !repeatable {
        crash::hit(point);
    }
}

async fn execute(
    worker: &Worker,
    ticket: &CallTicket,
    request: &CallRequest,
) -> Result<(BackendAnswer, BackendId), BackendError> {
    let mut tried: Vec<BackendId> = Vec::new();
    let mut lost = None;
    loop {
        let place = worker.shared.control.place(&request.program, &request.route, &tried);
        let placement = match place.await {
            Ok(placement) => placement,
            Err(refusal) => return Err(lost.unwrap_or(BackendError::NotRun(refusal))),
        };
        let result = if is_past_dispatch_deadline(worker, ticket) {
            Err(BackendError::NotRun(late_dispatch_refusal()))
        } else {
            try_backend(worker, ticket, request, &placement).await
        };
        let backend = placement.backend.clone();
        tried.push(backend.clone());
        worker.shared.control.release(placement);
        let reason =
            retry_reason(request, &result).filter(|_| tried.len() < BACKENDS_PER_ATTEMPT_MAX);
        let Some(reason) = reason else {
            // If an earlier backend server may have run the call, the outcome stays unknown.
            return result.map(|answer| (answer, backend)).map_err(|error| lost.unwrap_or(error));
        };
        if let Err(error @ BackendError::Lost(_)) = result {
            lost = Some(error);
        }
        worker.shared.metrics.count_retry(reason);
    }
}

/// Returns the reason to retry on another backend server, or `None` if a retry is not allowed.
fn retry_reason(
    request: &CallRequest,
    result: &Result<BackendAnswer, BackendError>,
) -> Option<RetryReason> {
    match result {
        Err(BackendError::NotRun(refusal)) if refusal.kind == RefusalKind::NoBackend => {
            Some(RetryReason::BackendUnreachable)
        }
        // Streams are not retried: the chunks of another run may differ from those already sent.
        Err(BackendError::Lost(_)) if request.repeatable && !request.stream => {
            Some(RetryReason::AttemptLost)
        }
        _ => None,
    }
}

fn is_past_dispatch_deadline(worker: &Worker, ticket: &CallTicket) -> bool {
    ticket.dispatch_deadline.is_some_and(|deadline| worker.shared.clock.monotonic() >= deadline)
}

async fn try_backend(
    worker: &Worker,
    ticket: &CallTicket,
    request: &CallRequest,
    placement: &Placement,
) -> Result<BackendAnswer, BackendError> {
    match &request.target {
        CallTarget::Model { .. } => generate(worker, ticket, request, placement).await,
        CallTarget::Service { method, path, content_type } => {
            let call = ServiceCall {
                method: method.clone(),
                path: path.clone(),
                content_type: content_type.clone(),
                body: request.body.0.clone(),
                idempotency_key: request.idempotency_key.clone(),
                program: request.program.clone(),
                fencing_number: ticket.fencing_number,
            };
            let timeout = worker.shared.settings.service_timeout;
            HttpService::new(&placement.address, timeout).call(&call).await
        }
    }
}

async fn generate(
    worker: &Worker,
    ticket: &CallTicket,
    request: &CallRequest,
    placement: &Placement,
) -> Result<BackendAnswer, BackendError> {
    let idle_timeout = worker.shared.settings.engine_silence;
    let engine = HttpEngine::new(&placement.address, idle_timeout);
    let call = EngineCall {
        request_id: format!("{}-{}-{}", ticket.program, ticket.key.sequence, ticket.key.attempt),
        program: ticket.program.clone(),
        // All calls have the same priority.
        priority: 0,
        body: request.body.0.clone(),
        route: request.route.clone(),
    };
    let mut sink = FeedSink { worker, ticket, stream: request.stream };
    let result = {
        let generated = engine.generate(&call, &mut sink);
        let abandoned = std::pin::pin!(wait_until_abandoned(worker, ticket));
        match select(generated, abandoned).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => Err(BackendError::Lost(abandoned_refusal())),
        }
    };
    if let Err(BackendError::Lost(_)) = &result {
        warn!("event=engine_cancel request={} backend={}", call.request_id, placement.backend);
        engine.cancel(&call.request_id).await;
    }
    result
}

/// Pushes the chunks of a streamed completion to the feed of the call.
struct FeedSink<'a> {
    worker: &'a Worker,
    ticket: &'a CallTicket,
    stream: bool,
}

impl GenerationSink for FeedSink<'_> {
    fn on_chunk(&mut self, data: &str) {
        if self.stream {
            self.ticket.feed.push(Payload::from(data));
        }
    }

    fn on_resumed(&mut self) {
        self.worker.shared.metrics.count_retry(RetryReason::StreamResumed);
    }
}

/// Completes when the call is cancelled or has been without a waiting caller for too long.
async fn wait_until_abandoned(worker: &Worker, ticket: &CallTicket) {
    let mut since = None;
    loop {
        sleep(ABANDON_CHECK_INTERVAL).await;
        if ticket.feed.is_closed() {
            return;
        }
        let now = worker.shared.clock.monotonic();
        if ticket.feed.reader_count() > 0 {
            since = None;
        } else if now.saturating_sub(*since.get_or_insert(now))
            > worker.shared.settings.abandon_after
        {
            return;
        }
    }
}

fn abandoned_refusal() -> Refusal {
    Refusal::may_have_run(
        RefusalKind::Cancelled,
        "no caller waited for the call any more and it was cancelled; send it again",
    )
}

fn late_dispatch_refusal() -> Refusal {
    Refusal::not_run(
        RefusalKind::DeadlineExceeded,
        "the node was paused too long before it could send the call; repeat it",
    )
}
