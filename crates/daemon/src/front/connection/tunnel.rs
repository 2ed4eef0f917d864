//! Connections to backend servers through another node.
//!
//! A node that is cut off from the backend servers opens a tunnel (`CONNECT`, RFC 9110) at another
//! node for each request. The request and its answer pass unchanged and are interpreted by this
//! node only, so a request that goes through a tunnel may have run exactly when it may have run on
//! a connection of its own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dandelionfront_coordination::servers::ServerEntry;
use dandelionfront_platform::headers;
use http::{Method, Request, StatusCode};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::seq::IteratorRandom as _;
use tokio::time::timeout;

use super::backend::{BackendConnection, connect};
use super::tunnel_server::{CONNECT_ERROR, SERVER_ENDED};
use crate::front::process::FrontNode;

/// Number of nodes that are asked for a tunnel.
const NEIGHBOURS_MAX: usize = 6;
/// Time for which a node that gave no tunnel is not asked again.
const NEIGHBOUR_PAUSE: Duration = Duration::from_millis(500);
/// Maximum wait for a tunnel; longer than the other node waits for its connection.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of nodes that are asked whether a server has ended.
const ASKED_NODES_MAX: usize = 3;
/// Maximum wait for the answer of each of them, which delays the request's next attempt; longer than
/// they wait for other servers.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Nodes that gave no tunnel, and the times until which they are not asked again.
#[derive(Debug, Default)]
pub struct TunnelNeighbours {
    paused: RefCell<HashMap<SocketAddr, Duration>>,
}

impl TunnelNeighbours {
    fn choose(&self, node: &FrontNode) -> Option<SocketAddr> {
        let now = node.clock.monotonic_now();
        let mut paused = self.paused.borrow_mut();
        paused.retain(|_, until| now < *until);
        let limiter = node.limiter.borrow();
        let members = limiter.members(now).filter(|(_, is_reporting)| *is_reporting);
        let addresses = members.filter_map(|(member, _)| member.parse().ok());
        addresses.filter(|member| !paused.contains_key(member)).choose(&mut rand::rng())
    }

    fn pause(&self, node: &FrontNode, neighbour: SocketAddr, cause: &str) {
        log::info!("event=tunnel_failed member={neighbour} cause=\"{cause}\"");
        let until = node.clock.monotonic_now() + NEIGHBOUR_PAUSE;
        self.paused.borrow_mut().insert(neighbour, until);
    }
}

/// Outcome of a query for a tunnel.
enum Tunnel {
    Open(BackendConnection),
    /// The other node does not reach the server.
    ServerUnreachable,
    /// The other node finds that the server's process has ended.
    ServerEnded,
    /// The other node gives no tunnel; holds the cause.
    Refused(String),
}

/// Opens a connection to `server` through another node.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::NetworkUnreachable`] if no other node gives a tunnel, with
/// [`io::ErrorKind::ConnectionRefused`] if the server's process has ended, and with another kind if
/// it does not accept a connection from a node that gives one.
pub async fn open(node: &FrontNode, server: &ServerEntry) -> io::Result<BackendConnection> {
    for _ in 0..NEIGHBOURS_MAX {
        let Some(neighbour) = node.tunnel_neighbours.choose(node) else { break };
        let opened = timeout(TUNNEL_TIMEOUT, open_at(neighbour, server)).await;
        let cause = match opened {
            Ok(Ok(Tunnel::Open(connection))) => return Ok(connection),
            Ok(Ok(Tunnel::ServerEnded)) => {
                let cause = format!("ended as {neighbour} finds");
                return Err(io::Error::new(io::ErrorKind::ConnectionRefused, cause));
            }
            Ok(Ok(Tunnel::ServerUnreachable)) => {
                let cause = format!("unreachable from {neighbour} too");
                return Err(io::Error::new(io::ErrorKind::HostUnreachable, cause));
            }
            Ok(Ok(Tunnel::Refused(cause))) => cause,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        node.tunnel_neighbours.pause(node, neighbour, &cause);
    }
    let cause = "neither this node nor another reaches the backend servers";
    Err(io::Error::new(io::ErrorKind::NetworkUnreachable, cause))
}

/// Opens another connection to `server` through `via`, whose earlier one was closed; success shows
/// that the processes of both still run.
///
/// # Errors
///
/// Fails if `via` does not answer, or if the server does not accept a connection from it.
pub async fn open_again(
    node: &FrontNode,
    via: SocketAddr,
    server: &ServerEntry,
) -> io::Result<BackendConnection> {
    match timeout(TUNNEL_TIMEOUT, open_at(via, server)).await?? {
        Tunnel::Open(connection) => Ok(connection),
        Tunnel::ServerUnreachable | Tunnel::ServerEnded => {
            Err(io::ErrorKind::HostUnreachable.into())
        }
        // A node that is stopping gives no tunnel, but its refusal shows that it runs.
        Tunnel::Refused(_) => open(node, server).await,
    }
}

/// Returns whether the process of `server` is known to have ended, from `via`, through which its
/// connection went, or from another node if that one does not answer.
pub async fn has_ended(node: &FrontNode, via: Option<SocketAddr>, server: &ServerEntry) -> bool {
    let mut via = via;
    for _ in 0..ASKED_NODES_MAX {
        let Some(neighbour) = via.take().or_else(|| node.tunnel_neighbours.choose(node)) else {
            return false;
        };
        match timeout(ASK_TIMEOUT, open_at(neighbour, server)).await {
            Ok(Ok(Tunnel::ServerEnded)) => return true,
            Ok(Ok(Tunnel::Open(_) | Tunnel::ServerUnreachable)) => return false,
            Ok(Ok(Tunnel::Refused(_)) | Err(_)) | Err(_) => {}
        }
    }
    false
}

async fn open_at(neighbour: SocketAddr, server: &ServerEntry) -> io::Result<Tunnel> {
    let stream = connect(neighbour).await?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::task::spawn_local(connection.with_upgrades());
    let request = Request::builder()
        .method(Method::CONNECT)
        .uri(server.address.to_string())
        .header(headers::EXPECTED_SERVER, &server.id)
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    match response.status() {
        StatusCode::OK => {
            let upgraded = hyper::upgrade::on(response).await.map_err(io::Error::other)?;
            let connection = BackendConnection::through(upgraded, neighbour).await?;
            Ok(Tunnel::Open(connection))
        }
        StatusCode::BAD_GATEWAY => {
            let cause = response.headers().get(CONNECT_ERROR);
            let has_ended = cause.is_some_and(|cause| cause == SERVER_ENDED);
            Ok(if has_ended { Tunnel::ServerEnded } else { Tunnel::ServerUnreachable })
        }
        status => Ok(Tunnel::Refused(format!("status {status}"))),
    }
}
