//! Forwards answers that are not event streams.

use bytes::{Bytes, BytesMut};
use dandelionfront_coordination::servers::ServerEntry;
use http::{Method, Response};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

use super::attempt::{Attempts, Failure, ForwardOutcome};
use super::frames::AnswerBody;
use super::inbound::Framing;
use crate::front::connection::responder::{BodyLength, Responder, ResponseForm};

/// Answers up to this size are read completely before anything is sent to the caller, so that a
/// truncated answer can still be replaced by another attempt.
const BUFFERED_MAX_BYTES: usize = 256 * 1024;
/// Maximum size of a body that is read and discarded to make its connection reusable.
const DISCARD_MAX_BYTES: u64 = 16 * 1024;

/// Discards a short body; returns whether its end was reached, so that the connection is reusable.
pub async fn discard(response: Response<Incoming>) -> bool {
    let body = response.into_body();
    if body.is_end_stream() {
        return true;
    }
    match body.size_hint().exact() {
        Some(bytes) if bytes <= DISCARD_MAX_BYTES => body.collect().await.is_ok(),
        _ => false,
    }
}

/// Forwards an answer once it is complete, or in large chunks if it exceeds `BUFFERED_MAX_BYTES`.
pub async fn forward_body(
    attempts: &mut Attempts<'_>,
    responder: &mut Responder<'_>,
    server: &ServerEntry,
    framing: Framing,
    response: Response<Incoming>,
) -> Result<ForwardOutcome, Failure> {
    let (head, incoming) = response.into_parts();
    let mut body = AnswerBody::new(incoming, framing, attempts.admitted.deadline);
    let mut buffered = BytesMut::new();
    let mut is_chunked = false;
    loop {
        let data = match body.next_chunk(attempts.node, server).await {
            Ok(Some(data)) => data,
            Ok(None) => break,
            Err(cause) => return Ok(ForwardOutcome::Incomplete(cause)),
        };
        buffered.extend_from_slice(&data);
        if buffered.len() > BUFFERED_MAX_BYTES {
            if !is_chunked {
                responder
                    .send_head(head.status, &head.headers, ResponseForm::Body, BodyLength::Chunked)
                    .map_err(Failure::CallerGone)?;
                is_chunked = true;
            }
            let chunk = buffered.split().freeze();
            responder.send_chunk(chunk).await.map_err(Failure::CallerGone)?;
        }
    }
    let rest = buffered.freeze();
    if !is_chunked {
        // A response to HEAD declares the length of a body that it does not have.
        let length = match declared_length(&head.headers) {
            Some(length) if attempts.admitted.method == Method::HEAD => length,
            _ => rest.len() as u64,
        };
        responder
            .send_head(head.status, &head.headers, ResponseForm::Body, BodyLength::Known(length))
            .map_err(Failure::CallerGone)?;
    }
    send_rest(responder, rest).await?;
    Ok(ForwardOutcome::Complete)
}

async fn send_rest(responder: &mut Responder<'_>, rest: Bytes) -> Result<(), Failure> {
    responder.send_chunk(rest).await.map_err(Failure::CallerGone)?;
    responder.finish().await.map_err(Failure::CallerGone)
}

fn declared_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(http::header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
