//! Connections of callers.

use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use dandelionfront_coordination::{Refusal, RefusalKind};
use http::header::EXPECT;
use ntex::SharedCfg;
use ntex::http::error::DecodeError;
use ntex::http::h1::{Codec, PayloadDecoder, PayloadItem, PayloadType};
use ntex::http::{HttpServiceConfig, KeepAlive, Request};
use ntex::io::{Io, IoStatusUpdate};
use ntex::util::Either;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::responder::Responder;
use crate::front::process::FrontNode;
use crate::front::request;

/// A whole request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Head as received.
    pub head: Request,
    /// Whole body.
    pub body: Bytes,
    /// Time at which the head was read.
    pub arrived_at: Instant,
}

/// Accepts callers until the node has stopped.
pub async fn accept(node: Rc<FrontNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve(&node, stream).await {
                        log::debug!("event=caller_connection_ended cause=\"{error}\"");
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed cause=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Pause after a failed accept, which is mostly a lack of descriptors.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// Serves one connection to its end.
async fn serve(node: &Rc<FrontNode>, stream: TcpStream) -> io::Result<()> {
    let limits = node.table().limits().clone();
    let http = HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Os)
        .set_max_buf_size(limits.header_max_bytes + 1);
    let config: SharedCfg = SharedCfg::new("CALLER").add(http).into();
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, config.clone())?;
    let codec = Codec::new(0, config.get());
    let _open = node.caller_connections.enter();
    loop {
        let Some((head, payload)) = next_request(node, &io, &codec).await? else {
            return io.shutdown().await;
        };
        if !serve_request(node, &io, &codec, head, payload).await? {
            return io.shutdown().await;
        }
    }
}

/// Waits for a request; returns `None` when the connection is to be closed.
async fn next_request(
    node: &Rc<FrontNode>,
    io: &Io,
    codec: &Codec,
) -> io::Result<Option<(Request, PayloadType)>> {
    let idle_timeout = node.table().limits().idle_timeout;
    let received = tokio::select! {
        biased;
        received = timeout(idle_timeout, io.recv(codec)) => received,
        () = node.stop.idle_close() => return Ok(None),
    };
    match received {
        Err(_) | Ok(Ok(None)) => Ok(None),
        Ok(Ok(Some(item))) => Ok(Some(item)),
        Ok(Err(Either::Right(error))) => Err(error),
        Ok(Err(Either::Left(error))) => {
            let kind = match error {
                DecodeError::TooLarge(_) | DecodeError::MaxHeaders => RefusalKind::HeadTooLarge,
                _ => RefusalKind::InvalidRequest,
            };
            let message =
                format!("the request head is faulty ({error}); send a valid HTTP/1.1 head");
            let refusal = Refusal::not_run(kind, message);
            refuse_and_close(node, io, codec, &refusal).await?;
            Ok(None)
        }
    }
}

async fn refuse_and_close(
    node: &FrontNode,
    io: &Io,
    codec: &Codec,
    refusal: &Refusal,
) -> io::Result<()> {
    node.metrics.count_refusal(refusal.kind);
    log::info!("event=refused kind={} message=\"{refusal}\"", refusal.kind.label());
    let mut responder = Responder::new(io, codec);
    responder.close_after();
    responder.refuse("", refusal).await
}

/// Serves one request; returns whether the connection may be used again.
async fn serve_request(
    node: &Rc<FrontNode>,
    io: &Io,
    codec: &Codec,
    head: Request,
    payload: PayloadType,
) -> io::Result<bool> {
    let arrived_at = Instant::now();
    let _busy = node.caller_requests.enter();
    let body_max_bytes = node.table().limits().body_max_bytes;
    let body = match payload {
        PayloadType::None => Bytes::new(),
        PayloadType::Payload(decoder) | PayloadType::Stream(decoder) => {
            if head.headers().contains_key(EXPECT) {
                io.encode_slice(b"HTTP/1.1 100 Continue\r\n\r\n")?;
            }
            match read_body(io, &decoder, body_max_bytes).await? {
                Ok(body) => body,
                Err(refusal) => {
                    refuse_and_close(node, io, codec, &refusal).await?;
                    return Ok(false);
                }
            }
        }
    };
    let request = CallerRequest { head, body, arrived_at };
    let mut responder = Responder::new(io, codec);
    if node.stop.is_stopping() || node.reach.is_cut_off() {
        responder.close_after();
    }
    let is_answered = tokio::select! {
        biased;
        result = request::serve(node, &request, &mut responder) => result.is_ok(),
        () = peer_gone(io) => {
            node.metrics.callers_gone.inc();
            return Ok(false);
        }
    };
    if !is_answered || !responder.is_complete() {
        // A reset cannot be taken for the end of an answer.
        io.terminate();
        return Ok(false);
    }
    Ok(codec.keepalive() && !node.stop.is_stopping())
}

async fn read_body(
    io: &Io,
    decoder: &PayloadDecoder,
    body_max_bytes: usize,
) -> io::Result<Result<Bytes, Refusal>> {
    let mut body = BytesMut::new();
    loop {
        match io.recv(decoder).await {
            Ok(Some(PayloadItem::Chunk(chunk))) if body.len() + chunk.len() > body_max_bytes => {
                let message =
                    format!("the body is over {body_max_bytes} bytes; send a smaller one");
                return Ok(Err(Refusal::not_run(RefusalKind::BodyTooLarge, message)));
            }
            Ok(Some(PayloadItem::Chunk(chunk))) => body.extend_from_slice(&chunk),
            Ok(Some(PayloadItem::Eof)) => return Ok(Ok(body.freeze())),
            Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Err(Either::Left(error)) => {
                let message = format!("the body is faulty ({error}); send valid chunks");
                return Ok(Err(Refusal::not_run(RefusalKind::InvalidRequest, message)));
            }
            Err(Either::Right(error)) => return Err(error),
        }
    }
}

/// Completes when the caller closed the connection.
async fn peer_gone(io: &Io) {
    poll_fn(|cx| match io.poll_status_update(cx) {
        Poll::Ready(IoStatusUpdate::PeerGone(_)) => Poll::Ready(()),
        Poll::Ready(_) | Poll::Pending => Poll::Pending,
    })
    .await;
}
