//! Accepting connections, reading bodies and sending short responses, for all listeners of a node.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Display;
use std::future::poll_fn;
use std::io;
use std::os::fd::AsFd;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use dandelionfront_coordination::holdings::HoldingError;
use futures_util::Stream;
use ntex::SharedCfg;
use ntex::codec::Decoder;
use ntex::http::body::BodySize;
use ntex::http::error::DecodeError;
use ntex::http::h1::{Codec, Message, PayloadDecoder, PayloadItem};
use ntex::http::header::{CONTENT_TYPE, HeaderValue};
use ntex::http::{HttpServiceConfig, KeepAlive, Response, StatusCode};
use ntex::io::{Io, IoConfig, RecvError};
use rustix::net::sockopt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::transfer::Transfer;

/// Delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bytes that the system is asked to keep for a connection until they are read, also before it is
/// accepted; enough for the requests of most callers. Linux keeps up to twice as many.
pub const UNREAD_MAX_BYTES: usize = 16 * 1024;

/// Chunks of a body that are read in one turn; more than arrive at once of a body in chunks of a
/// usual size.
const CHUNKS_PER_TURN: usize = 256;

/// Maximum time for discarding the rest of a refused body, about one round trip on a slow
/// connection.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for which a receiver of a forwarded response may not read.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits the bytes that the system keeps for each connection of `listener` until they are read.
pub fn limit_unread_bytes(listener: impl AsFd) {
    if let Err(error) = sockopt::set_socket_recv_buffer_size(listener, UNREAD_MAX_BYTES) {
        log::warn!("event=receive_buffer_not_set cause=\"{error}\"");
    }
}

/// Accepts connections until the process ends and serves each in its own task.
pub async fn accept<S, F>(name: &'static str, listener: TcpListener, serve: S)
where
    S: Fn(TcpStream) -> F,
    F: Future<Output = io::Result<()>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve(stream);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serving.await {
                        log::debug!("event=connection_ended listener={name} cause=\"{error}\"");
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed listener={name} cause=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Prepares a connection for HTTP/1.1 with request heads of at most `head_max_bytes`.
///
/// # Errors
///
/// Fails when the socket cannot be registered with the runtime.
pub fn open(stream: TcpStream, head_max_bytes: usize) -> io::Result<(Io, Codec)> {
    let config = http_config(head_max_bytes);
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, config.clone())?;
    Ok((io, Codec::new(0, config.get())))
}

/// Creates a codec of requests with heads of at most `head_max_bytes`, and of responses.
#[must_use]
pub fn codec(head_max_bytes: usize) -> Codec {
    Codec::new(0, http_config(head_max_bytes).get())
}

thread_local! {
    /// Configurations by the maximum size of a head. The connections of each share free buffers,
    /// which are kept for as long as the thread lives.
    static HTTP_CONFIGS: RefCell<HashMap<usize, SharedCfg>> = RefCell::default();
}

fn http_config(head_max_bytes: usize) -> SharedCfg {
    let create = || {
        let http = HttpServiceConfig::new()
            .set_keepalive(KeepAlive::Os)
            // The codec rejects a request once it has buffered this many bytes.
            .set_max_buf_size(head_max_bytes.saturating_add(1));
        SharedCfg::new("HTTP").add(IoConfig::new()).add(http).into()
    };
    HTTP_CONFIGS
        .with_borrow_mut(|configs| configs.entry(head_max_bytes).or_insert_with(create).clone())
}

/// Failure to receive a head or a part of a body.
#[derive(Debug)]
pub enum ReceiveError<E> {
    /// It is invalid.
    Malformed(DecodeError),
    /// The connection failed.
    Connection(io::Error),
    /// Its receiver takes no more of it.
    Stopped(E),
}

/// Receives the next item and its size in bytes, or `None` at the end of the connection. While it is
/// incomplete, `check` is called with the size of what has arrived of it, whenever more has.
///
/// # Errors
///
/// Fails when the item is malformed, the connection fails or `check` fails.
pub async fn receive<D, E>(
    io: &Io,
    decoder: &D,
    mut check: impl FnMut(usize) -> Result<(), E>,
) -> Result<Option<(D::Item, usize)>, ReceiveError<E>>
where
    D: Decoder<Error = DecodeError>,
{
    let (mut taken_bytes, mut checked_bytes) = (0, 0);
    loop {
        let polling = poll_fn(|cx| match io.poll_recv_decode(decoder, cx) {
            Ok(step) => {
                taken_bytes += step.consumed;
                if let Some(item) = step.item {
                    return Poll::Ready(Ok((item, taken_bytes)));
                }
                let arrived_bytes = taken_bytes + step.remains;
                if arrived_bytes == checked_bytes {
                    return Poll::Pending;
                }
                checked_bytes = arrived_bytes;
                match check(arrived_bytes) {
                    Ok(()) => Poll::Pending,
                    Err(error) => Poll::Ready(Err(Err(ReceiveError::Stopped(error)))),
                }
            }
            Err(error) => Poll::Ready(Err(Ok(error))),
        });
        return match polling.await {
            Ok(item) => Ok(Some(item)),
            Err(Err(stopped)) => Err(stopped),
            Err(Ok(RecvError::WriteBackpressure)) => {
                io.flush(false).await.map_err(ReceiveError::Connection)?;
                continue;
            }
            Err(Ok(RecvError::Decoder(error))) => Err(ReceiveError::Malformed(error)),
            Err(Ok(RecvError::KeepAlive)) => {
                Err(ReceiveError::Connection(io::ErrorKind::TimedOut.into()))
            }
            Err(Ok(RecvError::PeerGone(Some(error)))) => Err(ReceiveError::Connection(error)),
            Err(Ok(RecvError::PeerGone(None))) => Ok(None),
        };
    }
}

/// Failure to read a body.
#[derive(Debug)]
pub enum BodyError {
    /// The body exceeds the limit.
    TooLong,
    /// The framing is invalid.
    Malformed(DecodeError),
    /// The connection failed.
    Connection(io::Error),
    /// The process does not hold more for the caller.
    NotHeld(HoldingError),
}

impl From<ReceiveError<Self>> for BodyError {
    fn from(error: ReceiveError<Self>) -> Self {
        match error {
            ReceiveError::Malformed(error) => Self::Malformed(error),
            ReceiveError::Connection(error) => Self::Connection(error),
            ReceiveError::Stopped(error) => error,
        }
    }
}

/// Limits on a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size of the body.
    pub body_max_bytes: usize,
    /// Maximum size of the line before a chunk, which holds its size and extensions.
    pub chunk_line_max_bytes: usize,
}

/// Turns of bodies that arrive in many small chunks, so that other tasks run between two of them.
#[derive(Debug)]
pub struct ChunkTurns(Semaphore);

impl Default for ChunkTurns {
    fn default() -> Self {
        Self(Semaphore::new(1))
    }
}

impl ChunkTurns {
    /// Waits for the turn of a body and until other tasks have run.
    async fn take(&self) {
        // Never fails, because the semaphore is not closed.
        let _turn = self.0.acquire().await;
        yield_now().await;
    }
}

/// Reads a complete body within `limits`, which may change while the body arrives. `hold` is called
/// with the memory that the body takes before it takes it, and whenever more has arrived.
///
/// # Errors
///
/// Fails when the body is too long or malformed, when the connection ends first or `hold` fails.
pub async fn read_body(
    io: &Io,
    decoder: &PayloadDecoder,
    declared_bytes: Option<usize>,
    limits: impl Fn() -> BodyLimits,
    turns: &ChunkTurns,
    mut hold: impl FnMut(usize) -> Result<(), HoldingError>,
) -> Result<Bytes, BodyError> {
    let mut body = Vec::new();
    let mut chunks_in_turn = 0;
    let max_bytes = || limits().body_max_bytes;
    loop {
        let item = receive(io, decoder, |waiting_bytes| {
            if waiting_bytes > limits().chunk_line_max_bytes {
                return Err(BodyError::Malformed(DecodeError::TooLarge(waiting_bytes)));
            }
            hold(body.capacity() + waiting_bytes).map_err(BodyError::NotHeld)
        });
        match item.await? {
            Some((PayloadItem::Chunk(chunk), _)) => {
                chunks_in_turn += 1;
                if chunks_in_turn == CHUNKS_PER_TURN {
                    chunks_in_turn = 0;
                    turns.take().await;
                }
                let needed_bytes = body.len() + chunk.len();
                if needed_bytes > max_bytes() {
                    return Err(BodyError::TooLong);
                }
                let mut capacity_bytes = body.capacity();
                if needed_bytes > capacity_bytes {
                    let most_bytes = declared_bytes.unwrap_or_else(max_bytes);
                    capacity_bytes = (2 * capacity_bytes).min(most_bytes).max(needed_bytes);
                    hold(capacity_bytes).map_err(BodyError::NotHeld)?;
                    body.reserve_exact(capacity_bytes - body.len());
                }
                body.extend_from_slice(&chunk);
            }
            Some((PayloadItem::Eof, _)) => return Ok(body.into()),
            None => return Err(BodyError::Connection(io::ErrorKind::UnexpectedEof.into())),
        }
    }
}

/// Takes what has arrived of a refused request's body; returns whether that is all of it.
#[must_use]
pub fn skip_arrived(io: &Io, decoder: &PayloadDecoder) -> bool {
    loop {
        match io.decode(decoder) {
            Ok(Some(PayloadItem::Chunk(_))) => {}
            Ok(Some(PayloadItem::Eof)) => return true,
            Ok(None) | Err(_) => return false,
        }
    }
}

/// Reads and discards the rest of a refused request's body.
///
/// Closing a connection that has unread bytes resets it, and the caller may then lose the response.
pub async fn discard_rest(io: &Io, decoder: &PayloadDecoder) {
    let rest = async { while let Ok(Some(PayloadItem::Chunk(_))) = io.recv(decoder).await {} };
    // If the caller is still sending after the timeout, its connection is reset.
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}

/// Reads and discards whatever a caller sends whose request head was refused, for the same reason.
pub async fn discard_input(io: &Io) {
    let input = async {
        while let Ok(Some(())) = io.read_ready().await {
            io.with_read_buf(ntex::util::BytesMut::clear);
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, input).await;
}

/// Sends a complete response.
///
/// # Errors
///
/// Fails when the connection is closed.
pub async fn send_response(
    io: &Io,
    codec: &Codec,
    status: StatusCode,
    content_type: &'static str,
    body: &[u8],
) -> io::Result<()> {
    encode_head(io, codec, status, content_type, Some(body.len() as u64))?;
    if !body.is_empty() {
        encode(io, codec, chunk(body))?;
    }
    encode(io, codec, Message::Chunk(None))?;
    io.flush(true).await
}

/// Sends a response whose body arrives in parts, and waits when its receiver reads slowly.
///
/// # Errors
///
/// Fails when the body does not arrive or its receiver does not read it in time. The connection must
/// then be closed, so that the response looks incomplete.
pub async fn forward_response<S, D, E>(
    io: &Io,
    codec: &Codec,
    status: StatusCode,
    content_type: &'static str,
    length: Option<u64>,
    body: &mut Transfer<S>,
) -> io::Result<()>
where
    S: Stream<Item = Result<D, E>> + Unpin,
    D: AsRef<[u8]>,
    E: Display,
{
    encode_head(io, codec, status, content_type, length)?;
    while let Some(part) = body.next_part().await.map_err(io::Error::other)? {
        encode(io, codec, chunk(part.as_ref()))?;
        timeout(FORWARD_TIMEOUT, io.flush(false)).await??;
    }
    encode(io, codec, Message::Chunk(None))?;
    timeout(FORWARD_TIMEOUT, io.flush(true)).await?
}

/// Encodes the head of a response; one without a declared length is sent in chunks.
fn encode_head(
    io: &Io,
    codec: &Codec,
    status: StatusCode,
    content_type: &'static str,
    length: Option<u64>,
) -> io::Result<()> {
    let mut response = Response::new(status).drop_body();
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    let size = match length {
        Some(0) => BodySize::Empty,
        Some(length) => BodySize::Sized(length),
        None => BodySize::Stream,
    };
    encode(io, codec, Message::Item((response, size)))
}

fn chunk(bytes: &[u8]) -> Message<(Response<()>, BodySize)> {
    Message::Chunk(Some(ntex::util::Bytes::copy_from_slice(bytes)))
}

fn encode(io: &Io, codec: &Codec, message: Message<(Response<()>, BodySize)>) -> io::Result<()> {
    io.encode(message, codec).map_err(io::Error::other)
}
