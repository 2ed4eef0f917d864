//! Bodies of backend servers, read against a deadline.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout_at;

/// Reads the next bytes of a body; returns `None` at its end.
///
/// # Errors
///
/// Returns why the body cannot be read to its end.
pub async fn next_data(body: &mut Incoming, deadline: Instant) -> Result<Option<Bytes>, String> {
    loop {
        match timeout_at(deadline.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                // Trailers carry nothing for the caller.
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Ok(Some(Err(error))) => return Err(error.to_string()),
            Ok(None) => return Ok(None),
            Err(_) => return Err("the deadline passed".to_owned()),
        }
    }
}
