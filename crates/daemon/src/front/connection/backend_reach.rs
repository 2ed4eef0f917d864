//! Probes of backend servers when this node seems to be cut off from all of them.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::reach::BackendReach;
use futures_util::future::{join_all, select_ok};
use rand::seq::IteratorRandom as _;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::backend::BackendConnection;
use crate::front::process::FrontNode;

/// Number of servers that are probed to find out whether all are out of reach.
const PROBED_SERVERS: usize = 4;
/// Time between two probes while the servers are out of reach; one server is probed each time.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of servers of which one must accept a connection to show that another one has ended.
const OTHERS_PROBED: usize = 2;
/// Maximum wait for these connections, which delays the next attempt of a request.
const OTHERS_TIMEOUT: Duration = Duration::from_millis(50);

/// Reachability of the backend servers from this node.
#[derive(Debug, Default)]
pub struct BackendReachability {
    state: RefCell<BackendReach>,
    probe_wanted: Notify,
}

impl BackendReachability {
    /// Returns whether this node has no way to any backend server.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.state.borrow().is_lost()
    }

    /// Records whether a server accepted a connection of this node.
    pub fn record_connect(&self, server: &str, is_connected: bool, now: Duration) {
        let mut state = self.state.borrow_mut();
        if is_connected {
            if state.note_connected(now) {
                log::warn!("event=backend_reach is_lost=false server={server}");
            }
        } else if state.note_failure(now) {
            self.probe_wanted.notify_one();
        }
    }
}

/// Probes backend servers, when some cannot be connected to and while all are out of reach, until
/// the process ends.
pub async fn probe_backends(node: Rc<FrontNode>) {
    loop {
        let count = if node.backend_reach.is_lost() {
            tokio::time::sleep(PROBE_INTERVAL).await;
            1
        } else {
            node.backend_reach.probe_wanted.notified().await;
            PROBED_SERVERS
        };
        probe_once(&node, count).await;
    }
}

/// Returns whether a backend server other than `server` accepts a connection; if not, this node may
/// have been cut off from all of them.
pub async fn reaches_another(node: &FrontNode, server: &str) -> bool {
    let others: Vec<SocketAddr> = {
        let servers = node.servers.borrow();
        let others = servers.all_ready().filter(|other| other.id != server);
        others.map(|other| other.address).choose_multiple(&mut rand::rng(), OTHERS_PROBED)
    };
    let attempts = others.iter().map(|address| {
        Box::pin(async {
            let connecting = tokio::net::TcpStream::connect(*address);
            timeout(OTHERS_TIMEOUT, connecting).await.map_err(io::Error::from)?
        })
    });
    !others.is_empty() && select_ok(attempts).await.is_ok()
}

async fn probe_once(node: &FrontNode, count: usize) {
    let servers: Vec<(String, SocketAddr)> = {
        let servers = node.servers.borrow();
        let all = servers.all_ready().map(|server| (server.id.clone(), server.address));
        all.choose_multiple(&mut rand::rng(), count)
    };
    let probes = join_all(servers.iter().map(|(_, address)| {
        timeout(BackendConnection::CONNECT_TIMEOUT, tokio::net::TcpStream::connect(*address))
    }));
    let results = probes.await;
    let reached = results.iter().zip(&servers).find(|(result, _)| matches!(result, Ok(Ok(_))));
    if let Some((_, (server, _))) = reached {
        let now = node.clock.monotonic_now();
        node.backend_reach.record_connect(server, true, now);
    } else if node.backend_reach.state.borrow_mut().note_probes_failed() {
        log::warn!("event=backend_reach is_lost=true probed={}", servers.len());
        node.forgive_servers();
    }
}
