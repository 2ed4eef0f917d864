//! Forwards answers that are not event streams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use dandelionfront_coordination::holdings::Holding;
use dandelionfront_coordination::servers::ServerEntry;
use http::{Method, Response};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::answer_body::AnswerBody;
use super::answer_head::Framing;
use super::attempt::{Attempts, Failure, ForwardOutcome};
use super::exchange::Exchange;
use crate::front::connection::backend::BackendConnection;
use crate::front::connection::responder::{BodyLength, Responder, ResponseForm};
use crate::front::process::FrontNode;

/// Answers up to this size are read completely before anything is sent to the caller, so that a
/// truncated answer can still be replaced by another attempt.
const BUFFERED_MAX_BYTES: usize = 256 * 1024;
/// Copies of what was read of an answer: one is made for the caller's connection.
const BUFFERED_COPIES: u64 = 2;
/// Size of the parts in which an answer is read; its connection has a buffer of this size.
const CHUNK_MAX_BYTES: u64 = 64 * 1024;
/// Delay before room for an answer is asked for again.
const ROOM_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum time for which a refusal's body is read to make its connection reusable.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a body that is read and discarded to make its connection reusable.
const DISCARD_MAX_BYTES: u64 = 16 * 1024;

/// Discards the short body of a refusal and keeps the connection, without delaying the request's
/// next attempt; closes the connection if the body is long or does not arrive soon.
pub fn discard(
    node: &Rc<FrontNode>,
    address: SocketAddr,
    connection: BackendConnection,
    response: Response<Incoming>,
) {
    let body = response.into_body();
    if body.is_end_stream() {
        node.pool.put(address, connection);
        return;
    }
    if body.size_hint().exact().is_none_or(|bytes| bytes > DISCARD_MAX_BYTES) {
        return;
    }
    let node = Rc::clone(node);
    spawn_local(async move {
        if let Ok(Ok(_)) = timeout(DISCARD_TIMEOUT, body.collect()).await {
            node.pool.put(address, connection);
        }
    });
}

/// Forwards an answer once it is complete, or in large chunks if it exceeds `BUFFERED_MAX_BYTES`.
pub async fn forward_body(
    attempts: &mut Attempts<'_>,
    responder: &mut Responder<'_>,
    exchange: &mut Exchange,
    server: &ServerEntry,
    framing: Framing,
    response: Response<Incoming>,
) -> Result<ForwardOutcome, Failure> {
    let head = exchange.begin_body(response, framing);
    let mut body = AnswerBody::new(exchange, attempts.admitted.deadline);
    let mut buffered = BytesMut::new();
    let mut is_head_sent = false;
    let mut room = AnswerRoom::new(&attempts.admitted.holding, attempts.admitted.deadline);
    loop {
        let rest_bytes = body.rest_max_bytes().min(CHUNK_MAX_BYTES);
        if !room.reserve(buffered.len() as u64 + rest_bytes).await {
            return Ok(ForwardOutcome::Incomplete("there was no room for it in time".to_owned()));
        }
        let data = match body.next_chunk(attempts.node, server).await {
            Ok(Some(data)) => data,
            Ok(None) => break,
            Err(cause) => return Ok(ForwardOutcome::Incomplete(cause)),
        };
        buffered.extend_from_slice(&data);
        if buffered.len() > BUFFERED_MAX_BYTES || room.is_short() {
            if !is_head_sent {
                responder
                    .send_head(head.status, &head.headers, ResponseForm::Body, BodyLength::Unknown)
                    .map_err(Failure::CallerGone)?;
                is_head_sent = true;
            }
            let chunk = buffered.split().freeze();
            responder.send_chunk(chunk).await.map_err(Failure::CallerGone)?;
            room.release();
        }
    }
    body.note_completed();
    let rest = buffered.freeze();
    if !is_head_sent {
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

/// Room for the part of an answer that is read and not sent to the caller yet.
struct AnswerRoom {
    holding: Rc<Holding>,
    deadline: Instant,
    /// Memory that is reserved, in bytes.
    held_bytes: u64,
    /// Whether the last part had to wait for room.
    is_short: bool,
}

impl AnswerRoom {
    fn new(holding: &Rc<Holding>, deadline: Instant) -> Self {
        Self { holding: Rc::clone(holding), deadline, held_bytes: 0, is_short: false }
    }

    /// Reserves room for a part of `part_bytes`; waits for it until the deadline, and returns whether
    /// there is some.
    async fn reserve(&mut self, part_bytes: u64) -> bool {
        let wanted_bytes = BUFFERED_COPIES * part_bytes;
        self.is_short = false;
        while wanted_bytes > self.held_bytes {
            let now = Instant::now();
            if self.holding.grow(wanted_bytes - self.held_bytes, now).is_ok() {
                self.held_bytes = wanted_bytes;
            } else if now < self.deadline {
                self.is_short = true;
                tokio::time::sleep(ROOM_RETRY_DELAY).await;
            } else {
                return false;
            }
        }
        true
    }

    /// Returns whether the last part had to wait, so that what is buffered is better sent.
    fn is_short(&self) -> bool {
        self.is_short
    }

    fn release(&mut self) {
        self.holding.release(std::mem::take(&mut self.held_bytes), Instant::now());
    }
}

async fn send_rest(responder: &mut Responder<'_>, rest: Bytes) -> Result<(), Failure> {
    responder.send_chunk(rest).await.map_err(Failure::CallerGone)?;
    responder.finish().await.map_err(Failure::CallerGone)
}

fn declared_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(http::header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
