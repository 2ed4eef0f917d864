//! The listeners for readiness and metrics.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use ntex::SharedCfg;
use ntex::http::body::BodySize;
use ntex::http::h1::{Codec, Message, PayloadType};
use ntex::http::header::{CONTENT_TYPE, HeaderValue};
use ntex::http::{HttpServiceConfig, KeepAlive, Response};
use ntex::io::Io;
use tokio::net::{TcpListener, TcpStream};

use dandelionfront_platform::settings::READY_PATH;

use crate::front::process::FrontNode;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness and metrics until the process ends.
pub async fn accept(node: Rc<FrontNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve(&node, stream).await {
                        log::debug!("event=status_connection_ended cause=\"{error}\"");
                    }
                });
            }
            Err(error) => {
                log::warn!("event=status_accept_failed cause=\"{error}\"");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(node: &FrontNode, stream: TcpStream) -> io::Result<()> {
    let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Os);
    let config: SharedCfg = SharedCfg::new("STATUS").add(http).into();
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, config.clone())?;
    let codec = Codec::new(0, config.get());
    while let Ok(Some((request, payload))) = io.recv(&codec).await {
        if payload != PayloadType::None {
            break;
        }
        let (status, body) = answer(node, request.path());
        send(&io, &codec, status, body).await?;
    }
    io.shutdown().await
}

fn answer(node: &FrontNode, path: &str) -> (StatusCode, Bytes) {
    match path {
        READY_PATH if node.is_ready() => (StatusCode::OK, Bytes::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        METRICS_PATH => (StatusCode::OK, node.metrics.render().into()),
        _ => (StatusCode::NOT_FOUND, Bytes::from_static(b"ask for /metrics\n")),
    }
}

async fn send(io: &Io, codec: &Codec, status: StatusCode, body: Bytes) -> io::Result<()> {
    let mut response = Response::new(status).drop_body();
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    let size = if body.is_empty() { BodySize::Empty } else { BodySize::Sized(body.len() as u64) };
    io.encode(Message::Item((response, size)), codec).map_err(io::Error::other)?;
    if !body.is_empty() {
        let chunk = ntex::util::Bytes::copy_from_slice(&body);
        io.encode(Message::Chunk(Some(chunk)), codec).map_err(io::Error::other)?;
    }
    io.encode(Message::Chunk(None), codec).map_err(io::Error::other)?;
    io.flush(true).await
}
