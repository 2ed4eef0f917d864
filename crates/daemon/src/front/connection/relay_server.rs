//! Store calls made for other nodes.
//!
//! Other nodes send their calls as they would to the store, so that both ways share one client.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dandelionfront_coordination::rows::RowStoreError;
use dandelionfront_platform::store::{StoreReply, StoreRequest, Transport};
use ntex::SharedCfg;
use ntex::http::body::BodySize;
use ntex::http::h1::{Codec, Message, PayloadItem, PayloadType};
use ntex::http::{HttpServiceConfig, KeepAlive, Request, Response, StatusCode};
use ntex::io::Io;
use tokio::net::{TcpListener, TcpStream};

use super::store::HttpTransport;

/// Status that says that a call may have taken effect.
pub const LOST_STATUS: u16 = 504;
/// Largest body of a call, above the store's own limit.
const BODY_MAX_BYTES: usize = 2 * 1024 * 1024;
/// Longest wait for the store's answer; the node that asks waits less.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time for which the store may keep a call waiting for a change.
const FEED_WAIT: Duration = Duration::from_millis(2_000);

/// Serves other nodes until the process ends.
pub async fn accept(direct: Rc<HttpTransport>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let direct = Rc::clone(&direct);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve(&direct, stream).await {
                        log::debug!("event=relay_connection_ended cause=\"{error}\"");
                    }
                });
            }
            Err(error) => {
                log::warn!("event=relay_accept_failed cause=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(direct: &HttpTransport, stream: TcpStream) -> io::Result<()> {
    let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Os);
    let config: SharedCfg = SharedCfg::new("RELAY").add(http).into();
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, config.clone())?;
    let codec = Codec::new(0, config.get());
    while let Ok(Some((head, payload))) = io.recv(&codec).await {
        let Some(body) = read_body(&io, payload).await else { break };
        let reply = call(direct, &head, body).await;
        send(&io, &codec, reply).await?;
    }
    io.shutdown().await
}

async fn read_body(io: &Io, payload: PayloadType) -> Option<Bytes> {
    let (PayloadType::Payload(decoder) | PayloadType::Stream(decoder)) = payload else {
        return Some(Bytes::new());
    };
    let mut body = BytesMut::new();
    while let Ok(Some(PayloadItem::Chunk(chunk))) = io.recv(&decoder).await {
        body.extend_from_slice(&chunk);
        if body.len() > BODY_MAX_BYTES {
            return None;
        }
    }
    Some(body.freeze())
}

async fn call(direct: &HttpTransport, head: &Request, body: Bytes) -> StoreReply {
    let target = head.uri().path_and_query().map_or("/", |target| target.as_str());
    let request = StoreRequest {
        method: head.method().clone(),
        path: target.to_owned(),
        body,
        wait: FEED_WAIT,
        timeout: CALL_TIMEOUT,
    };
    direct.call(request).await.unwrap_or_else(|error| {
        let status = match error {
            RowStoreError::AnswerLost { .. } | RowStoreError::Malformed { .. } => LOST_STATUS,
            RowStoreError::Unreachable { .. } | RowStoreError::Refused { .. } => 503,
        };
        StoreReply { status, body: Bytes::from(error.to_string()) }
    })
}

async fn send(io: &Io, codec: &Codec, reply: StoreReply) -> io::Result<()> {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let response = Response::new(status).drop_body();
    let size = match reply.body.len() {
        0 => BodySize::Empty,
        length => BodySize::Sized(length as u64),
    };
    io.encode(Message::Item((response, size)), codec).map_err(io::Error::other)?;
    if !reply.body.is_empty() {
        let chunk = ntex::util::Bytes::copy_from_slice(&reply.body);
        io.encode(Message::Chunk(Some(chunk)), codec).map_err(io::Error::other)?;
    }
    io.encode(Message::Chunk(None), codec).map_err(io::Error::other)?;
    io.flush(true).await
}
