//! Serves connections from callers.

use std::future::poll_fn;
use std::io;
use std::os::fd::{AsFd as _, OwnedFd};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dandelionfront_coordination::holdings::{Holding, HoldingError, REQUEST_BYTES, Stage};
use dandelionfront_coordination::routing::CallerLimits;
use dandelionfront_coordination::{Refusal, RefusalKind};
use dandelionfront_platform::headers;
use http::header::{CONTENT_LENGTH, EXPECT};
use http::{HeaderName, Version};
use ntex::http::Request;
use ntex::http::error::DecodeError;
use ntex::http::h1::{Codec, PayloadDecoder, PayloadType};
use ntex::io::{Io, IoStatusUpdate};
use ntex::util::BytesMut;
use rustix::net::sockopt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::listener::{self, BodyError, BodyLimits, ReceiveError};
use super::responder::Responder;
use crate::consts::TIME_LIMIT_DEFAULT;
use crate::front::process::FrontNode;
use crate::front::request;

/// Memory that a head takes at most, as a multiple of its size: its fields are kept in the pages in
/// which they arrived, and an incomplete one is moved to larger pages.
const HEAD_MEMORY_FACTOR: u64 = 3;

/// Bytes of an arriving request that the system keeps until they are read.
const UNREAD_BYTES: u64 = listener::UNREAD_MAX_BYTES as u64;
/// Bytes that are read behind a request that is being served before the reading stops; about the size
/// of the connection's buffer.
const QUEUE_READ_BYTES: usize = 15 * 1024;
/// Bytes that may then wait unread.
const QUEUE_UNREAD_BYTES: u64 = 2 * UNREAD_BYTES;

/// Time for which a stopping node waits for the first request of a new connection, whose caller did
/// not know of the stop.
const FIRST_REQUEST_WAIT: Duration = Duration::from_secs(1);

/// A caller's request, read completely.
#[derive(Debug)]
pub struct CallerRequest {
    /// Request head as received.
    pub head: Request,
    /// Complete body.
    pub body: Bytes,
    /// Time at which the head was read.
    pub arrived_at: Instant,
    /// What the request makes the process hold.
    pub holding: Rc<Holding>,
}

/// An open connection from a caller.
#[derive(Debug)]
pub struct CallerConnection {
    /// Buffered bytes in both directions.
    pub io: Io,
    /// Codec of requests and responses.
    pub codec: Codec,
    /// Maximum size of a request head that the codec accepts.
    head_max_bytes: usize,
    /// Second descriptor of the socket, because `io` does not expose its own.
    socket: OwnedFd,
    /// What the connection makes the process hold.
    pub holding: Rc<Holding>,
}

impl CallerConnection {
    fn open(stream: TcpStream, head_max_bytes: usize, holding: Holding) -> io::Result<Self> {
        let socket = stream.as_fd().try_clone_to_owned()?;
        let (io, codec) = listener::open(stream, head_max_bytes)?;
        Ok(Self { io, codec, head_max_bytes, socket, holding: Rc::new(holding) })
    }

    /// Records that `arrived_bytes` of a request head have arrived.
    fn hold_head(&self, arrived_bytes: usize) -> Result<(), HoldingError> {
        let now = Instant::now();
        self.holding.set_stage(Stage::Arriving, now)?;
        self.holding.hold(head_memory_bytes(arrived_bytes), now)
    }

    /// Sets the maximum size of request heads; must not be called while one is read.
    fn set_head_limit(&mut self, head_max_bytes: usize) {
        if self.head_max_bytes != head_max_bytes {
            self.head_max_bytes = head_max_bytes;
            self.codec = listener::codec(head_max_bytes);
        }
    }

    /// Frees what has arrived of a head that is refused.
    fn free_head(&mut self) {
        self.codec = listener::codec(self.head_max_bytes);
        self.io.with_read_buf(BytesMut::clear);
        self.holding.release(u64::MAX, Instant::now());
    }

    /// Sets whether the system resets the connection when it is closed, as it is when the process
    /// is killed, or sends what is left and closes in order.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses the option.
    pub fn set_reset_on_close(&self, is_reset: bool) -> io::Result<()> {
        Ok(sockopt::set_socket_linger(&self.socket, is_reset.then_some(Duration::ZERO))?)
    }
}

/// Returns the memory of a request of which a head of `head_bytes` has arrived, in bytes.
fn head_memory_bytes(head_bytes: usize) -> u64 {
    REQUEST_BYTES + UNREAD_BYTES + HEAD_MEMORY_FACTOR * head_bytes as u64
}

/// Accepts connections from callers until the process ends.
pub async fn accept(node: Rc<FrontNode>, listener: TcpListener) {
    listener::limit_unread_bytes(&listener);
    listener::accept("callers", listener, |stream| serve(Rc::clone(&node), stream)).await;
}

/// Serves one connection until it is closed.
async fn serve(node: Rc<FrontNode>, stream: TcpStream) -> io::Result<()> {
    let holding = match node.holdings.open(Instant::now()) {
        Ok(holding) => holding,
        Err(error) => {
            // Closed without reading anything, which tells the caller that no request has run.
            node.metrics.holdings.displaced.inc();
            return Err(io::Error::other(error.to_string()));
        }
    };
    let head_max_bytes = node.table().limits().header_max_bytes;
    let mut connection = CallerConnection::open(stream, head_max_bytes, holding)?;
    let _open = node.caller_connections.track();
    let mut is_new = true;
    loop {
        let request = next_request(&node, &mut connection, std::mem::take(&mut is_new)).await?;
        let Some((head, payload)) = request else {
            return connection.io.shutdown().await;
        };
        if !serve_request(&node, &connection, head, payload).await? {
            return connection.io.shutdown().await;
        }
        let now = Instant::now();
        let is_kept = connection.holding.hold(0, now).is_ok()
            && connection.holding.set_stage(Stage::Idle, now).is_ok();
        if !is_kept {
            return connection.io.shutdown().await;
        }
    }
}

/// Waits for a request and refuses it if its head is malformed; returns `None` when the connection
/// must be closed.
async fn next_request(
    node: &Rc<FrontNode>,
    connection: &mut CallerConnection,
    is_new: bool,
) -> io::Result<Option<(Request, PayloadType)>> {
    match receive_head(node, connection, is_new).await {
        HeadReceived::Nothing | HeadReceived::Completely(Ok(None)) => Ok(None),
        HeadReceived::Displaced => {
            node.metrics.holdings.displaced.inc();
            // Frees what has arrived at once; an orderly end would wait for the caller.
            connection.io.terminate();
            Ok(None)
        }
        HeadReceived::Partly(time_limit) => {
            let message = format!(
                "the request head did not arrive within {} ms; send it faster",
                time_limit.as_millis()
            );
            let refusal = Refusal::not_run(RefusalKind::RequestTimeout, message);
            refuse_and_close(node, connection, &refusal).await?;
            Ok(None)
        }
        HeadReceived::Completely(Ok(Some(item))) => Ok(Some(item)),
        HeadReceived::Completely(Err(ReceiveError::Connection(error))) => Err(error),
        HeadReceived::Completely(Err(ReceiveError::Stopped(error))) => {
            node.metrics.holdings.displaced.inc();
            connection.free_head();
            refuse_and_close(node, connection, &error.refusal()).await?;
            listener::discard_input(&connection.io).await;
            connection.io.terminate();
            Ok(None)
        }
        HeadReceived::Completely(Err(ReceiveError::Malformed(error))) => {
            let kind = match error {
                DecodeError::TooLarge(_) | DecodeError::MaxHeaders => RefusalKind::HeadTooLarge,
                _ => RefusalKind::InvalidRequest,
            };
            let message =
                format!("the request head is faulty ({error}); send a valid HTTP/1.1 head");
            let refusal = Refusal::not_run(kind, message);
            refuse_and_close(node, connection, &refusal).await?;
            Ok(None)
        }
    }
}

/// What arrived of a request head.
enum HeadReceived {
    /// Nothing: the caller was idle for too long, or the node stops.
    Nothing,
    /// Its begin, but not the rest within the time limit.
    Partly(Duration),
    /// Nothing or its begin; the connection was closed for the sake of others.
    Displaced,
    /// All of it, the end of the connection or a fault.
    Completely(ReceivedHead),
}

/// A complete request head, `None` at the end of the connection, or a fault.
type ReceivedHead = Result<Option<(Request, PayloadType)>, ReceiveError<HoldingError>>;

/// Receives a request head, and records what has arrived of it.
async fn recv_head(connection: &CallerConnection) -> ReceivedHead {
    let CallerConnection { io, codec, .. } = connection;
    let received = listener::receive(io, codec, |bytes| connection.hold_head(bytes)).await?;
    let Some((item, head_bytes)) = received else { return Ok(None) };
    connection.hold_head(head_bytes).map_err(ReceiveError::Stopped)?;
    Ok(Some(item))
}

/// Waits for a request head. Once its first byte has arrived, the connection is not idle: a
/// stopping node does not close it, and the head must arrive within its own time limit. A new
/// connection is not idle at once either. Changed limits apply to what has already been waited for,
/// but the size of a head is limited as when it began.
async fn receive_head(
    node: &Rc<FrontNode>,
    connection: &mut CallerConnection,
    is_new: bool,
) -> HeadReceived {
    let idle_since = Instant::now();
    let mut limits = node.caller_limits();
    let mut idle_close = pin!(async {
        node.stop.wait_for_idle_close().await;
        if is_new {
            tokio::time::sleep(FIRST_REQUEST_WAIT).await;
        }
    });
    loop {
        let CallerLimits { idle_timeout, header_max_bytes, .. } = *limits.borrow_and_update();
        connection.set_head_limit(header_max_bytes);
        let CallerConnection { io, holding, .. } = &*connection;
        let mut receiving = pin!(recv_head(connection));
        let begin = poll_fn(|cx| {
            // Checked first, because the decoder takes complete lines out of the buffer.
            let has_begun = io.with_read_buf(|buffer| !buffer.is_empty());
            match receiving.as_mut().poll(cx) {
                Poll::Ready(received) => Poll::Ready(Some(received)),
                Poll::Pending if has_begun => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        });
        tokio::select! {
            biased;
            begin = begin => match begin {
                Some(received) => return HeadReceived::Completely(received),
                None => return receive_rest(node, holding, receiving, limits).await,
            },
            () = wait_since(idle_since, idle_timeout) => {
                node.metrics.callers_idle.inc();
                log::info!(
                    "event=caller_idle limit_ms={} version={}",
                    idle_timeout.as_millis(),
                    node.table().version(),
                );
                return HeadReceived::Nothing;
            }
            () = &mut idle_close => return HeadReceived::Nothing,
            () = holding.displaced() => return HeadReceived::Displaced,
            Ok(()) = limits.changed() => {}
        }
    }
}

/// Waits for the rest of a request head.
async fn receive_rest(
    node: &FrontNode,
    holding: &Holding,
    mut receiving: Pin<&mut impl Future<Output = ReceivedHead>>,
    mut limits: watch::Receiver<CallerLimits>,
) -> HeadReceived {
    // Keeps a stopping node from ending the process.
    let _busy = node.caller_requests.track();
    let begun_at = Instant::now();
    loop {
        let header_timeout = limits.borrow_and_update().header_timeout;
        tokio::select! {
            biased;
            received = &mut receiving => return HeadReceived::Completely(received),
            () = wait_since(begun_at, header_timeout) => {
                return HeadReceived::Partly(header_timeout);
            }
            () = holding.displaced() => return HeadReceived::Displaced,
            Ok(()) = limits.changed() => {}
        }
    }
}

/// Waits until `duration` has passed since `since`.
async fn wait_since(since: Instant, duration: Duration) {
    match since.checked_add(duration) {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        // Later than the clock can tell.
        None => std::future::pending().await,
    }
}

async fn refuse_and_close(
    node: &FrontNode,
    connection: &CallerConnection,
    refusal: &Refusal,
) -> io::Result<()> {
    node.metrics.count_refusal(refusal.kind);
    log::info!("event=refused kind={} message=\"{refusal}\"", refusal.kind.label());
    // The length of a refusal is known, so that its form depends on no version.
    let mut responder = Responder::new(connection, Version::HTTP_11);
    responder.close_after_response();
    responder.refuse("", refusal).await
}

/// Reads the body of a request and serves it; returns whether the connection may be reused.
async fn serve_request(
    node: &Rc<FrontNode>,
    connection: &CallerConnection,
    head: Request,
    payload: PayloadType,
) -> io::Result<bool> {
    let arrived_at = Instant::now();
    let _busy = node.caller_requests.track();
    match payload {
        PayloadType::None => handle_request(node, connection, head, Bytes::new(), arrived_at).await,
        // The body of such a request would end with the connection.
        PayloadType::Stream(_) => {
            let message = "other protocols are not spoken here; send the request without Upgrade";
            let refusal = Refusal::not_run(RefusalKind::InvalidRequest, message);
            refuse_and_close(node, connection, &refusal).await?;
            Ok(false)
        }
        PayloadType::Payload(decoder) => {
            let is_too_long = declared_bytes(&head)
                .is_some_and(|bytes| bytes > node.table().limits().body_max_bytes);
            // A body that is too long is refused for its length, whatever its route.
            if !is_too_long && let Some(refused) = request::refusal_of_head(node, &head) {
                let is_whole = listener::skip_arrived(&connection.io, &decoder);
                let mut responder = Responder::new(connection, head.version());
                if !is_whole || is_closing(node) {
                    responder.close_after_response();
                }
                request::refuse(node, &head, arrived_at, &mut responder, &refused).await?;
                if is_whole {
                    return Ok(connection.codec.keepalive() && !responder.announces_close());
                }
                listener::discard_rest(&connection.io, &decoder).await;
                return Ok(false);
            }
            let refusal = match receive_body(node, connection, &decoder, &head).await {
                Ok(body) => {
                    return handle_request(node, connection, head, body, arrived_at).await;
                }
                Err(NotReceived::Connection(error)) => return Err(error),
                Err(NotReceived::Refused(refusal)) => refusal,
            };
            refuse_and_close(node, connection, &refusal).await?;
            listener::discard_rest(&connection.io, &decoder).await;
            Ok(false)
        }
    }
}

/// Reason why no complete body was received.
enum NotReceived {
    /// The connection failed.
    Connection(io::Error),
    /// The request is refused.
    Refused(Refusal),
}

/// Receives a body; its request is refused if the body is too long, too slow or faulty, or if the
/// process does not hold it.
async fn receive_body(
    node: &FrontNode,
    connection: &CallerConnection,
    decoder: &PayloadDecoder,
    head: &Request,
) -> Result<Bytes, NotReceived> {
    let time_limit = time_limit(head);
    let held_bytes = connection.holding.request_bytes();
    let refusal = tokio::select! {
        biased;
        body = read_body(node, connection, decoder, head) => match body {
            Ok(body) => return Ok(body),
            Err(BodyError::Connection(error)) => return Err(NotReceived::Connection(error)),
            Err(BodyError::TooLong) => Refusal::not_run(
                RefusalKind::BodyTooLarge,
                format!(
                    "the body is over {} bytes; send a smaller one",
                    node.table().limits().body_max_bytes
                ),
            ),
            Err(BodyError::Malformed(error)) => Refusal::not_run(
                RefusalKind::InvalidRequest,
                format!("the body is faulty ({error}); send valid chunks"),
            ),
            Err(BodyError::NotHeld(error)) => error.refusal(),
        },
        () = connection.holding.displaced() => HoldingError::Displaced.refusal(),
        () = tokio::time::sleep(time_limit) => {
            let message = format!(
                "the body did not arrive within {} ms; send it faster or allow more time",
                time_limit.as_millis()
            );
            Refusal::not_run(RefusalKind::RequestTimeout, message)
        }
    };
    if refusal.kind == RefusalKind::Overloaded {
        node.metrics.holdings.displaced.inc();
    }
    // What has arrived of the body was freed.
    let _ = connection.holding.hold(held_bytes, Instant::now());
    Err(NotReceived::Refused(refusal))
}

/// Returns the time within which a request must arrive: the caller's deadline, if it sets one.
fn time_limit(head: &Request) -> Duration {
    let header =
        |name: &HeaderName| head.headers().get(name.as_str()).and_then(|value| value.to_str().ok());
    headers::decode_deadline(header).unwrap_or(TIME_LIMIT_DEFAULT).min(TIME_LIMIT_DEFAULT)
}

/// Returns the declared length of a body, if there is one.
fn declared_bytes(head: &Request) -> Option<usize> {
    let declared = head.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    declared.and_then(|value| value.parse().ok())
}

/// Reads a body, after sending `100 Continue` if the caller expects it; fails at once when the
/// declared length exceeds the limit. An HTTP/1.0 caller would take `100 Continue` for the
/// response.
async fn read_body(
    node: &FrontNode,
    connection: &CallerConnection,
    decoder: &PayloadDecoder,
    head: &Request,
) -> Result<Bytes, BodyError> {
    let CallerConnection { io, holding, .. } = connection;
    let limits = || {
        let CallerLimits { body_max_bytes, header_max_bytes, .. } = *node.table().limits();
        BodyLimits { body_max_bytes, chunk_line_max_bytes: header_max_bytes }
    };
    let declared_bytes = declared_bytes(head);
    if declared_bytes.is_some_and(|bytes| bytes > limits().body_max_bytes) {
        return Err(BodyError::TooLong);
    }
    if head.version() >= Version::HTTP_11 && head.headers().contains_key(EXPECT) {
        io.encode_slice(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(BodyError::Connection)?;
    }
    let head_bytes = holding.request_bytes();
    let hold = |body_bytes: usize| {
        let now = Instant::now();
        holding.note_progress(now);
        holding.hold(head_bytes + body_bytes as u64, now)
    };
    listener::read_body(io, decoder, declared_bytes, limits, &node.chunk_turns, hold).await
}

/// Returns whether callers must send their next requests on new connections, which the load balancer
/// sends to a node that is ready.
fn is_closing(node: &FrontNode) -> bool {
    node.stop.is_stopping() || node.store_reachability.is_isolated()
}

/// Serves a completely read request; returns whether the connection may be reused.
async fn handle_request(
    node: &Rc<FrontNode>,
    connection: &CallerConnection,
    head: Request,
    body: Bytes,
    arrived_at: Instant,
) -> io::Result<bool> {
    let now = Instant::now();
    connection.holding.release(UNREAD_BYTES, now);
    if let Err(error) = connection.holding.set_stage(Stage::Serving, now) {
        node.metrics.holdings.displaced.inc();
        refuse_and_close(node, connection, &error.refusal()).await?;
        return Ok(false);
    }
    let holding = Rc::clone(&connection.holding);
    let request = CallerRequest { head, body, arrived_at, holding };
    let mut responder = Responder::new(connection, request.head.version());
    if is_closing(node) {
        responder.close_after_response();
    }
    // On the heap, so that a connection without a request takes no memory for one.
    let serving = Box::pin(request::serve(node, &request, &mut responder));
    let is_answered = tokio::select! {
        biased;
        result = serving => result.is_ok(),
        end = watch_caller(connection) => {
            match end {
                CallerEnd::Gone => node.metrics.abandoned.callers_gone.inc(),
                CallerEnd::Displaced => node.metrics.holdings.displaced.inc(),
            }
            connection.io.terminate();
            return Ok(false);
        }
    };
    if !is_answered || !responder.is_complete() {
        connection.io.terminate();
        return Ok(false);
    }
    // A caller that was not told of the close may already have sent its next request.
    Ok(connection.codec.keepalive() && !responder.announces_close())
}

/// Reason why a request ends without an answer.
enum CallerEnd {
    /// The caller has closed the connection.
    Gone,
    /// The caller has sent so much behind its request that others need the room.
    Displaced,
}

/// Waits until the caller closes the connection, or must give up what it has sent behind its request.
async fn watch_caller(connection: &CallerConnection) -> CallerEnd {
    let CallerConnection { io, holding, .. } = connection;
    let mut is_queue_held = false;
    let watching = poll_fn(|cx| {
        if let Poll::Ready(IoStatusUpdate::PeerGone(_)) = io.poll_status_update(cx) {
            return Poll::Ready(CallerEnd::Gone);
        }
        let is_full = io.with_read_buf(|buffer| buffer.len() >= QUEUE_READ_BYTES);
        if is_full && !is_queue_held {
            is_queue_held = true;
            let now = Instant::now();
            let queueing = holding.set_stage(Stage::Queueing, now);
            if queueing.and_then(|_| holding.grow(QUEUE_UNREAD_BYTES, now)).is_err() {
                return Poll::Ready(CallerEnd::Displaced);
            }
        }
        Poll::Pending
    });
    tokio::select! {
        end = watching => end,
        () = holding.displaced() => CallerEnd::Displaced,
    }
}
