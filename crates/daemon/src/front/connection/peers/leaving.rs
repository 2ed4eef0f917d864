//! Backend servers that announced in an answer that they are leaving.

use dandelionfront_coordination::servers::LeavingServer;

use super::{Message, Peers, members};
use crate::front::process::FrontNode;

/// Number of nodes that are asked for the servers that announced their leave.
const LEAVING_QUERIES: usize = 8;

impl Peers {
    /// Records that a server announced its leave in an answer to `request`, and tells the other
    /// nodes if that is new.
    pub fn note_leaving(&self, node: &FrontNode, server: LeavingServer, request: &str) {
        let now = node.clock.monotonic_now();
        if !node.servers.borrow_mut().note_leaving(server.clone(), now) {
            return;
        }
        let members = members(node);
        log::info!(
            "event=server_leaving server={} source=answer request={request} told={}",
            server.id,
            members.len(),
        );
        let message = Message::ServerLeaving(server);
        for member in members {
            self.send(member, &message);
        }
    }

    /// Asks other nodes for the servers that announced their leave before this node started.
    pub(super) fn ask_for_leaving(&self, node: &FrontNode) {
        for member in members(node).into_iter().take(LEAVING_QUERIES) {
            self.send(member, &Message::LeavingQuery);
        }
    }
}
