//! Protocol numbers that nodes announce with their reports.

use dandelionfront_coordination::protocol::{Capability, PROTOCOL, ProtocolNumber};
use serde::{Deserialize, Serialize};

use super::Peers;
use crate::front::process::FrontNode;

/// What follows a report in its datagram.
///
/// The fields of a report are frozen, but readers of all builds ignore what follows a message. New
/// fields are appended after this struct and read from what it leaves.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ReportExtension {
    /// Protocol number of the sender.
    pub(super) protocol: ProtocolNumber,
}

impl ReportExtension {
    /// Returns the extension of this build.
    pub(super) fn own() -> Self {
        Self { protocol: PROTOCOL }
    }
}

impl Peers {
    /// Returns whether this node and all others known to it have announced that they know
    /// `capability`.
    #[must_use]
    pub fn all_know(&self, capability: Capability) -> bool {
        self.fleet_protocol.borrow().all_know(capability)
    }

    /// Returns whether the node with the address `member` has announced that it knows `capability`.
    #[must_use]
    pub fn knows(&self, member: &str, capability: Capability) -> bool {
        self.fleet_protocol.borrow().knows(member, capability)
    }

    /// Records the protocol number that follows a report of `member`, if there is one.
    pub(super) fn note_protocol(&self, node: &FrontNode, member: &str, trailer: &[u8]) {
        let extension = postcard::from_bytes::<ReportExtension>(trailer);
        let announced = extension.ok().map(|extension| extension.protocol);
        if self.fleet_protocol.borrow_mut().note_report(member, announced) {
            self.update_protocol(node);
        }
    }

    /// Updates the lowest protocol number over all nodes after a change of the members.
    pub fn update_protocol(&self, node: &FrontNode) {
        if !node.has_read_members() {
            return;
        }
        let limiter = node.limiter.borrow();
        let members = limiter.members(node.clock.monotonic_now()).map(|(member, _)| member);
        let Some(change) = self.fleet_protocol.borrow_mut().update(members) else { return };
        log::info!(
            "event=fleet_protocol lowest={} before={} own={PROTOCOL} member={}",
            change.lowest,
            change.before,
            change.member.as_deref().unwrap_or("-"),
        );
        node.metrics.protocol_lowest.set(change.lowest.into());
    }
}
