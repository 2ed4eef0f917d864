//! HTTP responses for answers and refusals.

use std::convert::Infallible;

use dandelionfront_coordination::{Answer, Refusal, RunState};
use futures_util::Stream;
use ntex::http::{StatusCode, Version};
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde::Serialize;

use crate::consts::JSON;
use crate::process::Metrics;

/// Converts a delay to whole seconds for the `Retry-After` header, at least 1.
fn retry_after_s(retry_after_ms: u64) -> u64 {
    retry_after_ms.div_ceil(1_000).max(1)
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    kind: &'a str,
    message: &'a str,
    run: RunState,
    retry_after_ms: Option<u64>,
}

/// Returns the JSON body of a refusal.
#[must_use]
pub fn refusal_json(refusal: &Refusal) -> String {
    let error = ErrorDetail {
        kind: refusal.kind.label(),
        message: &refusal.message,
        run: refusal.run,
        retry_after_ms: refusal.retry_after_ms,
    };
    serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
}

/// Counts a refusal and returns it as a response.
#[must_use]
pub fn refuse(metrics: &Metrics, refusal: &Refusal) -> HttpResponse {
    metrics.count_refusal(refusal.kind);
    let status = StatusCode::from_u16(refusal.http_status());
    let mut response = HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    // Clients repeat a request after `Retry-After` without looking at the body.
    if let Some(pause_ms) = refusal.retry_after_ms
        && refusal.run == RunState::NotRun
    {
        response.header("retry-after", retry_after_s(pause_ms).to_string());
    }
    response.content_type(JSON).body(refusal_json(refusal))
}

/// Returns a complete answer as a response.
#[must_use]
pub fn complete(program: &str, answer: Answer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    HttpResponse::build(status)
        .content_type(answer.content_type.as_str())
        .header("program-id", program)
        .body(answer.body.0)
}

/// Returns a response that streams `events` to a caller that speaks HTTP `version`.
#[must_use]
pub fn event_stream<S>(version: Version, program: &str, events: S) -> HttpResponse
where
    S: Stream<Item = Result<Bytes, Infallible>> + 'static,
{
    let mut response = HttpResponse::Ok();
    // An HTTP/1.0 caller knows no chunks; the last event shows it that the stream is complete.
    if version < Version::HTTP_11 {
        response.no_chunking().force_close();
    }
    response
        .content_type(crate::consts::EVENT_STREAM)
        .header("cache-control", "no-cache")
        .header("program-id", program)
        .streaming(Box::pin(events))
}

/// Formats a server-sent event.
#[must_use]
pub fn sse_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
