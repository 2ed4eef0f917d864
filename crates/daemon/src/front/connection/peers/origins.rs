//! Origins of streams, kept at a few nodes each.

use std::net::SocketAddr;

use dandelionfront_coordination::streams::{
    ASKED_NODES, HOLDERS, SessionKey, SoughtStream, StreamId, StreamOrigin, holders_of,
};

use super::{Message, Peers};
use crate::front::process::FrontNode;

impl Peers {
    /// Records the origin of a stream at this node and at those that keep it.
    pub fn record_origin(&self, node: &FrontNode, stream: StreamId, origin: &StreamOrigin) {
        let now = node.clock.monotonic_now();
        self.origins.borrow_mut().record(stream, origin.clone(), now);
        let message = Message::StreamBegun { stream, origin: origin.clone() };
        for holder in holders(node, stream.session, HOLDERS) {
            self.send(holder, &message);
        }
    }

    /// Returns the origin of a stream, from this node or from those that may keep it; `None` if
    /// none of them knows it or answers in time.
    pub async fn find_origin(
        &self,
        node: &FrontNode,
        session: SessionKey,
        sought: SoughtStream,
    ) -> Option<StreamOrigin> {
        let known = self.origins.borrow().find(session, sought).cloned();
        // Another node may have begun a newer stream with the same body.
        let is_certain = matches!(sought, SoughtStream::Request(_));
        if is_certain && known.is_some() {
            return known;
        }
        let asked = holders(node, session, ASKED_NODES);
        let message = Message::StreamQuery { session, sought };
        let send = |receiver| self.send(receiver, &message);
        self.origin_queries.ask((session, sought), &asked, send).await.or(known)
    }
}

/// Returns the `count` reporting nodes that rank highest for a session.
fn holders(node: &FrontNode, session: SessionKey, count: usize) -> Vec<SocketAddr> {
    let now = node.clock.monotonic_now();
    let limiter = node.limiter.borrow();
    let members = limiter.members(now).filter(|(_, is_reporting)| *is_reporting);
    let holders = holders_of(session, members.map(|(member, _)| member.as_str()), count);
    holders.into_iter().filter_map(|member| member.parse().ok()).collect()
}
