//! Tunnels to backend servers for nodes that are cut off from them.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dandelionfront_platform::headers;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tokio::io::{AsyncWriteExt as _, copy_bidirectional};
use tokio::net::TcpStream;

use super::backend::connect;
use super::backend_reach;
use crate::front::process::{ActiveGuard, FrontNode};

/// Header of an answer to a request for a tunnel that says why the server was not reached. Nodes that
/// do not know it go by the status alone.
pub const CONNECT_ERROR: HeaderName = HeaderName::from_static("connect-error");
/// Value of [`CONNECT_ERROR`] if the server's process has ended: nothing listens at its address.
pub const SERVER_ENDED: &str = "server-ended";

/// Returns whether a connection begins with a request for a tunnel.
///
/// # Errors
///
/// Fails when the connection fails before its first byte.
pub async fn is_wanted(stream: &TcpStream) -> io::Result<bool> {
    let mut first = [0];
    // No other method that nodes send begins with this letter.
    Ok(stream.peek(&mut first).await? == 1 && first[0] == b'C')
}

/// Serves a connection that begins with a request for a tunnel.
///
/// # Errors
///
/// Fails when the connection fails.
pub async fn serve(node: Rc<FrontNode>, stream: TcpStream) -> io::Result<()> {
    let service = service_fn(move |request| {
        let node = Rc::clone(&node);
        async move {
            let mut response = Response::new(Empty::<Bytes>::new());
            *response.status_mut() = match open(&node, request).await {
                Ok(()) => StatusCode::OK,
                Err(OpenError::ServerEnded) => {
                    let value = HeaderValue::from_static(SERVER_ENDED);
                    response.headers_mut().insert(CONNECT_ERROR, value);
                    StatusCode::BAD_GATEWAY
                }
                Err(OpenError::Status(status)) => status,
            };
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    connection.with_upgrades().await.map_err(io::Error::other)
}

/// Reason why a tunnel is not opened.
enum OpenError {
    /// Nothing listens at the server's address, and this node reaches others.
    ServerEnded,
    /// Any other; holds the status of the answer.
    Status(StatusCode),
}

/// Connects to the backend server that a request names.
async fn open(node: &Rc<FrontNode>, request: Request<Incoming>) -> Result<(), OpenError> {
    if request.method() != Method::CONNECT {
        return Err(OpenError::Status(StatusCode::METHOD_NOT_ALLOWED));
    }
    if node.stop.is_stopping() || node.backend_reach.is_lost() {
        return Err(OpenError::Status(StatusCode::SERVICE_UNAVAILABLE));
    }
    let id = request.headers().get(headers::EXPECTED_SERVER).and_then(|id| id.to_str().ok());
    let id = id.map(str::to_owned).ok_or(OpenError::Status(StatusCode::BAD_REQUEST))?;
    let unreachable = || OpenError::Status(StatusCode::BAD_GATEWAY);
    let entry = node.servers.borrow().ready_by_id(&id).cloned().ok_or_else(unreachable)?;
    let address = entry.address;
    let connected = connect(address).await;
    node.backend_reach.record_connect(&id, connected.is_ok(), node.clock.monotonic_now());
    let server = match connected {
        Ok(server) => server,
        Err(error)
            if error.kind() == io::ErrorKind::ConnectionRefused
                && backend_reach::reaches_another(node, &id).await =>
        {
            node.peers.note_server_end(node, &entry, "refused");
            return Err(OpenError::ServerEnded);
        }
        Err(_) => return Err(unreachable()),
    };
    // The server may have been withdrawn meanwhile.
    if node.servers.borrow().ready_by_id(&id).is_none() {
        return Err(unreachable());
    }
    log::info!("event=tunnel_open server={id} address={address}");
    node.metrics.backend_connections.inc();
    let active = node.tunnels.track();
    tokio::task::spawn_local(async move {
        match hyper::upgrade::on(request).await {
            Ok(upgraded) => forward(upgraded, server, address, active).await,
            Err(error) => log::info!("event=tunnel_failed server={id} cause=\"{error}\""),
        }
    });
    Ok(())
}

/// Forwards bytes in both directions until both ends have closed.
///
/// Any other end resets both connections, the end of this process too, because an answer that ends
/// with its connection would otherwise look complete.
async fn forward(
    upgraded: Upgraded,
    mut server: TcpStream,
    address: SocketAddr,
    _active: ActiveGuard,
) {
    let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() else {
        log::error!("event=tunnel_failed address={address} cause=\"not a TCP connection\"");
        return;
    };
    let mut peer = parts.io.into_inner();
    for stream in [&peer, &server] {
        set_reset_on_close(stream, address, true);
    }
    let result = match server.write_all(&parts.read_buf).await {
        Ok(()) => copy_bidirectional(&mut peer, &mut server).await.map(drop),
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => {
            for stream in [&peer, &server] {
                set_reset_on_close(stream, address, false);
            }
        }
        Err(error) => log::debug!("event=tunnel_ended address={address} cause=\"{error}\""),
    }
}

/// Sets whether the system resets a connection when its socket is closed, as it is when the process
/// is killed, or sends what is left and closes in order.
fn set_reset_on_close(stream: &TcpStream, address: SocketAddr, is_reset: bool) {
    let linger = is_reset.then_some(Duration::ZERO);
    if let Err(error) = sockopt::set_socket_linger(stream, linger) {
        log::warn!("event=tunnel_linger_not_set address={address} cause=\"{error}\"");
    }
}
