//! Reads response bodies of backend servers up to a deadline.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout_at;

/// Reads the next chunk of a body; returns `None` at its end.
///
/// # Errors
///
/// Returns the cause if the body cannot be read further or the deadline has passed.
pub async fn next_chunk(body: &mut Incoming, deadline: Instant) -> Result<Option<Bytes>, String> {
    loop {
        match timeout_at(deadline.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                // Trailers are not forwarded, because they contain nothing for the caller.
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
