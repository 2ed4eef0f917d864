//! Listeners for readiness checks and metrics.

use std::io;
use std::rc::Rc;

use dandelionfront_platform::settings::READY_PATH;
use http::StatusCode;
use ntex::http::h1::PayloadType;
use tokio::net::{TcpListener, TcpStream};

use super::listener;
use crate::front::process::FrontNode;

const METRICS_PATH: &str = "/metrics";
/// Maximum size of a request head.
const HEAD_MAX_BYTES: usize = 8 * 1024;

/// Serves readiness checks and metrics until the process ends.
pub async fn accept(node: Rc<FrontNode>, listener: TcpListener) {
    listener::accept("status", listener, |stream| serve(Rc::clone(&node), stream)).await;
}

async fn serve(node: Rc<FrontNode>, stream: TcpStream) -> io::Result<()> {
    let (io, codec) = listener::open(stream, HEAD_MAX_BYTES)?;
    while let Ok(Some((request, payload))) = io.recv(&codec).await {
        if payload != PayloadType::None {
            break;
        }
        let (status, body) = response_for(&node, request.path());
        listener::send_response(&io, &codec, status, "text/plain", &body).await?;
    }
    io.shutdown().await
}

fn response_for(node: &FrontNode, path: &str) -> (StatusCode, Vec<u8>) {
    match path {
        READY_PATH if node.is_ready() => (StatusCode::OK, Vec::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        METRICS_PATH => (StatusCode::OK, node.metrics.render()),
        _ => (StatusCode::NOT_FOUND, b"ask for /metrics\n".to_vec()),
    }
}
