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
    /// none of them knows it or it is uncertain.
    ///
    /// A stream that its caller names has one origin. Of streams with the same body the newest is
    /// meant, which a node that was out of reach may have missed: then the origin is certain only if
    /// all nodes that are asked answer, and those that know one agree.
    pub async fn find_origin(
        &self,
        node: &FrontNode,
        session: SessionKey,
        sought: SoughtStream,
    ) -> Option<StreamOrigin> {
        let known = self.origins.borrow().find(session, sought).cloned();
        let is_named = matches!(sought, SoughtStream::Request(_));
        if is_named && known.is_some() {
            return known;
        }
        let asked = holders(node, session, ASKED_NODES);
        let message = Message::StreamQuery { session, sought };
        let send = |receiver| self.send(receiver, &message);
        let answers = self.origin_queries.ask((session, sought), &asked, is_named, send).await;
        if is_named {
            return answers.origins.into_iter().next();
        }
        let has_asked = !asked.is_empty() || node.limiter.borrow().is_alone();
        let mut origins: Vec<StreamOrigin> = answers.origins.into_iter().chain(known).collect();
        origins.dedup();
        if has_asked && answers.is_complete && origins.len() <= 1 {
            return origins.pop();
        }
        log::info!(
            "event=origin_uncertain session={session:016x} asked={} is_complete={} origins={}",
            asked.len(),
            answers.is_complete,
            origins.len(),
        );
        None
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
