//! Protocol numbers of nodes that run different builds.
//!
//! While nodes are replaced one after the other, builds with different messages and rules run side
//! by side. Each build has a protocol number, which its nodes announce with each report; a build
//! from before the announcement counts as [`UNANNOUNCED`]. A rule that only holds if every node
//! follows it is applied once all members have announced a build that knows it, and no longer as
//! soon as one of them has not, for instance after a return to the earlier build.
//!
//! A member that has not been heard counts as one of an earlier build, because it may be out of
//! reach of this node and still serve callers. A member that has fallen silent keeps its number
//! until it is removed from the members.

use std::collections::HashMap;

use crate::limits::usage::MemberId;

/// Number of the messages and rules that a build knows; a higher number includes all lower ones.
pub type ProtocolNumber = u32;

/// Protocol number of this build.
pub const PROTOCOL: ProtocolNumber = 4;
/// Number of a build that announces none, and of a member that has not been heard.
pub const UNANNOUNCED: ProtocolNumber = 0;

/// Message or rule that not all builds know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Capability {
    /// Nodes tell each other the availability zones that are to be emptied.
    EmptiedZones,
    /// Nodes tell each other the speeds that they have measured of backend servers.
    LearnedSpeeds,
    /// The keeper of a program lends tokens of its claim on the budget to other nodes.
    LentTokens,
    /// Turns stay at the server of their session's last turn, which stored turns name.
    StayingSessions,
    /// The history node of a program keeps its finished turns for other nodes.
    SharedHistory,
    /// Nodes tell each other which servers have ended, and the abandoned requests at them; one that
    /// stops hands its own over.
    AbandonedRequests,
}

impl Capability {
    /// Returns the protocol number of the first build that knows this capability.
    #[must_use]
    pub const fn since(self) -> ProtocolNumber {
        match self {
            Self::EmptiedZones | Self::LearnedSpeeds => 1,
            Self::LentTokens => 2,
            Self::StayingSessions | Self::SharedHistory => 3,
            Self::AbandonedRequests => 4,
        }
    }
}

/// Change of the lowest protocol number over all nodes.
#[derive(Debug, PartialEq, Eq)]
pub struct ProtocolChange {
    /// Lowest number before.
    pub before: ProtocolNumber,
    /// Lowest number now.
    pub lowest: ProtocolNumber,
    /// One of the members with this number; `None` if only this node has it.
    pub member: Option<MemberId>,
}

/// Protocol numbers of the other nodes, as announced by them.
#[derive(Debug, Default)]
pub struct FleetProtocol {
    announced: HashMap<MemberId, ProtocolNumber>,
    /// Lowest number over this node and all members; [`UNANNOUNCED`] until the members are known.
    lowest: ProtocolNumber,
    /// Members with a lower number than this node, or none.
    behind: usize,
}

impl FleetProtocol {
    /// Records the number in a report of `member`, or that the report had none; returns whether it
    /// differs from the one before, so that [`Self::update`] must be called.
    pub fn note_report(&mut self, member: &str, announced: Option<ProtocolNumber>) -> bool {
        let announced = announced.unwrap_or(UNANNOUNCED);
        if let Some(known) = self.announced.get_mut(member) {
            return std::mem::replace(known, announced) != announced;
        }
        self.announced.insert(member.to_owned(), announced);
        true
    }

    /// Updates the lowest number after a change of the members or their numbers, and discards the
    /// numbers of nodes that are not members; returns the change, if there is one.
    pub fn update<'a>(
        &mut self,
        members: impl Iterator<Item = &'a MemberId>,
    ) -> Option<ProtocolChange> {
        let mut remaining = HashMap::with_capacity(self.announced.len());
        let mut oldest = (PROTOCOL, None);
        self.behind = 0;
        for member in members {
            let announced = self.announced.remove_entry(member);
            let number = announced.as_ref().map_or(UNANNOUNCED, |(_, number)| *number);
            self.behind += usize::from(number < PROTOCOL);
            if number < oldest.0 {
                oldest = (number, Some(member));
            }
            remaining.extend(announced);
        }
        self.announced = remaining;
        let (lowest, member) = oldest;
        let before = std::mem::replace(&mut self.lowest, lowest);
        (before != lowest).then(|| ProtocolChange { before, lowest, member: member.cloned() })
    }

    /// Returns the lowest number over this node and all members.
    #[must_use]
    pub fn lowest(&self) -> ProtocolNumber {
        self.lowest
    }

    /// Returns the number of members that have announced a lower number than this node's, or none.
    #[must_use]
    pub fn behind(&self) -> usize {
        self.behind
    }

    /// Returns whether this node and all members know `capability`.
    #[must_use]
    pub fn all_know(&self, capability: Capability) -> bool {
        self.lowest >= capability.since()
    }

    /// Returns whether `member` has reported and not announced that it knows `capability`.
    ///
    /// Messages that do no harm if they are ignored are sent to members for which this is `false`.
    #[must_use]
    pub fn lacks(&self, member: &str, capability: Capability) -> bool {
        self.announced.get(member).is_some_and(|number| *number < capability.since())
    }

    /// Returns whether `member` has announced that it knows `capability`.
    #[must_use]
    pub fn knows(&self, member: &str, capability: Capability) -> bool {
        self.announced.get(member).is_some_and(|number| *number >= capability.since())
    }
}
