//! Detection of backend servers whose process has ended.

use std::io;
use std::time::Duration;

use dandelionfront_coordination::servers::ServerEntry;
use tokio::time::timeout;

use super::backend::BackendConnection;
use crate::front::process::FrontNode;

/// Maximum wait for the answer to a probe, which delays the request's next attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Returns whether the process of a server that broke off a connection has ended: nothing listens
/// at its address anymore.
///
/// A server that has only closed its connection accepts the new one, which is kept for later
/// requests. A server that does not react within [`PROBE_TIMEOUT`] counts as running.
pub async fn has_ended(node: &FrontNode, server: &ServerEntry) -> bool {
    // Through another node, an unreachable server looks like one that has ended.
    if node.backend_reach.is_lost() {
        return false;
    }
    match timeout(PROBE_TIMEOUT, BackendConnection::open(server.address)).await {
        Ok(Ok(connection)) => {
            node.metrics.backend_connections.inc();
            node.pool.put(server.address, connection);
            false
        }
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Err(_) => false,
    }
}
