//! Relay for other nodes' calls to the store, and listener for tunnels to backend servers.
//!
//! The relay accepts the same requests as the store, so that nodes use one client for both.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dandelionfront_coordination::rows::RowStoreError;
use dandelionfront_platform::store::StoreRequest;
use ntex::http::h1::PayloadType;
use ntex::http::{Request, StatusCode};
use tokio::net::{TcpListener, TcpStream};

use super::listener::BodyLimits;
use super::store::{HttpTransport, OpenReply};
use super::{listener, tunnel_server};
use crate::consts::JSON;
use crate::front::process::FrontNode;

/// Status which tells the calling node that the store's response was lost, so that the call may
/// have taken effect.
pub const ANSWER_LOST_STATUS: StatusCode = StatusCode::GATEWAY_TIMEOUT;
/// Maximum size of a request head.
const HEAD_MAX_BYTES: usize = 8 * 1024;
/// Limits on a request body, which may be larger than the store itself accepts.
const BODY_LIMITS: BodyLimits =
    BodyLimits { body_max_bytes: 2 * 1024 * 1024, chunk_line_max_bytes: HEAD_MAX_BYTES };
/// Maximum wait for the store's response, in addition to `FEED_WAIT`; the calling node gives up
/// before their sum.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which the store may hold a call until a change occurs.
///
/// It extends the timeout of every call, because the relay does not parse the requested wait.
const FEED_WAIT: Duration = Duration::from_secs(2);

/// Serves other nodes until the process ends.
pub async fn accept(node: Rc<FrontNode>, direct: Rc<HttpTransport>, listener: TcpListener) {
    let serve = |stream| serve(Rc::clone(&node), Rc::clone(&direct), stream);
    listener::accept("relay", listener, serve).await;
}

async fn serve(
    node: Rc<FrontNode>,
    direct: Rc<HttpTransport>,
    stream: TcpStream,
) -> io::Result<()> {
    if tunnel_server::is_wanted(&stream).await? {
        return tunnel_server::serve(node, stream).await;
    }
    let (io, codec) = listener::open(stream, HEAD_MAX_BYTES)?;
    while let Ok(Some((head, payload))) = io.recv(&codec).await {
        let body = match &payload {
            PayloadType::None => Ok(Bytes::new()),
            PayloadType::Payload(decoder) | PayloadType::Stream(decoder) => {
                let limits = || BODY_LIMITS;
                listener::read_body(&io, decoder, None, limits, &node.chunk_turns, |_| Ok(())).await
            }
        };
        let Ok(body) = body else { break };
        if node.store_reachability.is_unreachable() {
            let refusal = b"the store is unreachable from here; try another node";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            listener::send_response(&io, &codec, status, JSON, refusal).await?;
            continue;
        }
        // The response is passed on as it arrives, so that a large one begins in time.
        match open(&direct, &head, body).await {
            Ok(mut reply) => {
                let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
                let (length, body) = (reply.length, &mut reply.body);
                listener::forward_response(&io, &codec, status, JSON, length, body).await?;
                direct.reuse(reply);
            }
            Err(error) => {
                let message = error.to_string();
                let status = failure_status(&error);
                listener::send_response(&io, &codec, status, JSON, message.as_bytes()).await?;
            }
        }
    }
    io.shutdown().await
}

async fn open(
    direct: &HttpTransport,
    head: &Request,
    body: Bytes,
) -> Result<OpenReply, RowStoreError> {
    let target = head.uri().path_and_query().map_or("/", |target| target.as_str());
    let request = StoreRequest {
        method: head.method().clone(),
        path: target.to_owned(),
        body,
        wait: FEED_WAIT,
        timeout: CALL_TIMEOUT,
        class: None,
    };
    direct.open(&request).await
}

fn failure_status(error: &RowStoreError) -> StatusCode {
    match error {
        RowStoreError::AnswerLost { .. } | RowStoreError::Malformed { .. } => ANSWER_LOST_STATUS,
        // The call had no effect.
        RowStoreError::Unreachable { .. }
        | RowStoreError::Refused { .. }
        | RowStoreError::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
    }
}
