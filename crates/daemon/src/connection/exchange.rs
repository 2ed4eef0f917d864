//! Requests to model engines and plain services, each on a connection of its own.
//!
//! Their answers do not name the request that they belong to. On a connection that carries one
//! request only, no other answer can arrive before it.

use std::io;

use bytes::Bytes;
use http::header::{CONNECTION, HOST, HeaderValue};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpStream;

/// Failure to get the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been sent, but no whole head arrived.
    Lost,
}

/// Sends `request` to `address` on a new connection and waits for the head of the answer.
///
/// Interim answers are skipped. The body fails unless it ends as its framing says, or, without a
/// framing, with an orderly end of the connection. The connection is closed with the body.
///
/// # Errors
///
/// Fails when the connection cannot be opened or breaks before the head is complete.
pub async fn send(
    address: &str,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, ExchangeError> {
    let host = HeaderValue::from_str(address).map_err(|_| ExchangeError::NotSent)?;
    request.headers_mut().insert(HOST, host);
    request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    let stream = connect(address).await.map_err(|cause| {
        debug!("event=backend_not_connected address={address} cause=\"{cause}\"");
        ExchangeError::NotSent
    })?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| ExchangeError::NotSent)?;
    ntex::rt::spawn(async move { drop(connection.await) });
    sender.send_request(request).await.map_err(|cause| {
        debug!("event=answer_lost address={address} cause=\"{cause}\"");
        ExchangeError::Lost
    })
}

async fn connect(address: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
