//! Requests to model engines and plain services, each on a connection of its own.
//!
//! Their answers do not name the request that they belong to. On a connection that carries one
//! request only, no other answer can arrive before it.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST, HeaderValue, TRANSFER_ENCODING};
use http::{Request, Response};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use log::debug;
use ntex::time::timeout;
use tokio::net::TcpStream;

use crate::upload::Upload;

/// Maximum wait for the answer to a probe, which delays an answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

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
/// Interim answers are skipped. The extensions of the answer hold the progress of the request. The
/// body fails unless it ends as its framing says, or, without a
/// framing, with an orderly end of the connection, which [`has_ended`] tells from the end of the
/// server. The connection is closed with the body.
///
/// # Errors
///
/// Fails when the connection cannot be opened or breaks before the head is complete.
pub async fn send(
    address: &str,
    request: Request<Bytes>,
) -> Result<Response<Incoming>, ExchangeError> {
    let (mut request, progress) = Upload::of(request);
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
    let mut response = sender.send_request(request).await.map_err(|cause| {
        debug!("event=answer_lost address={address} cause=\"{cause}\"");
        ExchangeError::Lost
    })?;
    response.extensions_mut().insert(progress);
    Ok(response)
}

/// Returns whether the body of `response` has neither a length nor chunks, so that it ends with its
/// connection.
pub fn is_unframed(response: &Response<Incoming>) -> bool {
    let transfer = response.headers().get_all(TRANSFER_ENCODING).iter().next_back();
    let is_chunked = transfer
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.trim().to_ascii_lowercase().ends_with("chunked"));
    !is_chunked && response.body().size_hint().exact().is_none()
}

/// Returns whether the process of a server that closed a connection has ended: nothing listens at
/// its address anymore. A server that does not react within [`PROBE_TIMEOUT`] counts as running.
pub async fn has_ended(address: &str) -> bool {
    let probe = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(probe, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

async fn connect(address: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
