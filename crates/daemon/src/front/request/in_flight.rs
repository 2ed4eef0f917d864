//! Requests in flight at backend servers.

use std::rc::Rc;

use dandelionfront_coordination::ids::BackendId;

use crate::front::process::FrontNode;

/// Counts a request as in flight on a backend server until dropped.
pub struct InFlightGuard {
    node: Rc<FrontNode>,
    server: BackendId,
}

impl InFlightGuard {
    /// Counts a request as in flight and tells the server's keeper.
    pub fn begin(node: &Rc<FrontNode>, server: &str) -> Self {
        node.placement.borrow_mut().begin(server);
        node.peers.send_load(node, server);
        Self { node: Rc::clone(node), server: server.to_owned() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.placement.borrow_mut().end(&self.server);
        self.node.peers.send_load(&self.node, &self.server);
    }
}
