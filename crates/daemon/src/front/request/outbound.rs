//! Builds requests for backend servers and classifies the heads of their responses.

use std::time::Duration;

use bytes::Bytes;
use dandelionfront_coordination::servers::ServerEntry;
use dandelionfront_platform::headers;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;

use super::admission::Admitted;

/// Builds the request for `server`; `resume_after` replaces the caller's `Last-Event-ID`.
pub fn build(
    admitted: &Admitted,
    server: &ServerEntry,
    time_left: Duration,
    resume_after: Option<u64>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(admitted.method.clone())
        .uri(&admitted.target)
        .body(Full::new(admitted.body.clone()))?;
    let fields = request.headers_mut();
    fields.clone_from(&admitted.headers);
    fields.insert(headers::DEADLINE_MS, headers::millis_value(time_left));
    fields.insert(headers::EXPECTED_SERVER, HeaderValue::from_str(&server.id)?);
    if let Some(event) = resume_after {
        fields.insert(headers::LAST_EVENT_ID, event.into());
    }
    Ok(request)
}

/// Classification of a response by its head.
#[derive(Debug)]
pub enum ResponseKind {
    /// The backend server states that it did not run the request.
    NotRun(StatusCode),
    /// A valid answer to this request, to be forwarded to the caller.
    Valid,
    /// Not a valid answer to this request; holds the cause. The connection must be closed.
    Invalid(&'static str),
}

/// Classifies a response by its head.
#[must_use]
pub fn classify(response: &Response<Incoming>, request_id: &str) -> ResponseKind {
    let fields = response.headers();
    let status = response.status();
    let echoed = fields.get(headers::REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != request_id.as_bytes()) {
        return ResponseKind::Invalid("it names another request");
    }
    if fields.contains_key(headers::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseKind::NotRun(status);
    }
    if echoed.is_none() {
        return ResponseKind::Invalid("it names no request");
    }
    if fields.contains_key(header::CONTENT_ENCODING) {
        return ResponseKind::Invalid("its body is encoded");
    }
    // Only the presence of the signature is checked.
    if status.is_success() && !fields.contains_key(headers::SERVER_SIGNATURE) {
        return ResponseKind::Invalid("it bears no signature");
    }
    if matches!(status.as_u16(), 408 | 429 | 503) {
        // Callers take these statuses to mean that the request did not run, but the backend server
        // did not send the header that states it.
        return ResponseKind::Invalid("it promises what the backend server did not");
    }
    ResponseKind::Valid
}

/// Returns the idle timeout in seconds from the `Keep-Alive` header of a response.
#[must_use]
pub fn keep_alive_seconds(response: &Response<Incoming>) -> Option<u64> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|field| field.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}
