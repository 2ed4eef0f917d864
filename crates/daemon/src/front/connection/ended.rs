//! Detection of backend servers whose process has ended.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use dandelionfront_coordination::servers::ServerEntry;
use tokio::time::timeout;

use super::backend::BackendConnection;
use super::tunnel;
use crate::front::process::FrontNode;

/// Maximum wait for the answer to a probe, which delays the request's next attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Returns whether the process of a server that broke off a connection, which went through the node
/// `via` if that is given, is known to have ended: nothing listens at its address anymore.
///
/// A server that has only closed its connection accepts the new one, which is kept for later
/// requests. A server that does not react within [`PROBE_TIMEOUT`] counts as running.
pub async fn has_ended(node: &FrontNode, server: &ServerEntry, via: Option<SocketAddr>) -> bool {
    // To a node that is cut off, a server that runs looks like one that has ended.
    if node.backend_reach.is_lost() {
        return tunnel::has_ended(node, via, server).await;
    }
    match timeout(PROBE_TIMEOUT, BackendConnection::open(server.address)).await {
        Ok(Ok(connection)) => {
            keep(node, server, connection);
            false
        }
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Err(_) => false,
    }
}

/// Returns whether a server that closed a connection is known to run on, as does the node `via`
/// through which the connection went; they have closed it themselves then.
///
/// Unlike [`has_ended`], what does not react counts as ended.
pub async fn runs_on(node: &FrontNode, server: &ServerEntry, via: Option<SocketAddr>) -> bool {
    let opened = match via {
        Some(via) => tunnel::open_again(node, via, server).await,
        None => BackendConnection::open(server.address).await,
    };
    opened.map(|connection| keep(node, server, connection)).is_ok()
}

fn keep(node: &FrontNode, server: &ServerEntry, connection: BackendConnection) {
    if connection.via.is_none() {
        node.metrics.backend_connections.inc();
    }
    node.pool.put(server.address, connection);
}
