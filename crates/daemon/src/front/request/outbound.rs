//! Builds requests for backend servers.

use std::time::Duration;

use bytes::Bytes;
use dandelionfront_coordination::servers::ServerEntry;
use dandelionfront_platform::headers;
use http::{HeaderValue, Request};

use super::admission::Admitted;

/// Builds the request for `server`; `resume_after` replaces the caller's `Last-Event-ID`.
pub fn build(
    admitted: &Admitted,
    server: &ServerEntry,
    time_left: Duration,
    resume_after: Option<u64>,
) -> Result<Request<Bytes>, http::Error> {
    let mut request = Request::builder()
        .method(admitted.method.clone())
        .uri(&admitted.target)
        .body(admitted.body.clone())?;
    let fields = request.headers_mut();
    fields.clone_from(&admitted.headers);
    fields.insert(headers::DEADLINE_MS, headers::millis_value(time_left));
    fields.insert(headers::EXPECTED_SERVER, HeaderValue::from_str(&server.id)?);
    if let Some(event) = resume_after {
        fields.insert(headers::LAST_EVENT_ID, event.into());
    }
    Ok(request)
}
