//! Availability zones that the operator has emptied, told to nodes that do not reach the store.
//!
//! A node that learns a new state tells a few random nodes, which do the same, and a node that does
//! not reach the store asks a few. The messages of a node do not depend on the number of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use dandelionfront_coordination::protocol::Capability;
use dandelionfront_coordination::zones::ZoneState;
use rand::seq::IteratorRandom as _;

use super::{Message, Peers, members};
use crate::front::process::FrontNode;

/// Number of nodes that are told a new state; all nodes but one in 3,000 hear of it.
const ZONE_TELLINGS: usize = 8;
/// Number of nodes that are asked for the states at a time.
const ZONE_QUERIES: usize = 2;

impl Peers {
    /// Records states that the store gave, and tells other nodes the new ones; `since_read` is the
    /// time since the read before, which is the largest possible age of a change.
    pub fn note_zone_states(
        &self,
        node: &FrontNode,
        states: &[ZoneState],
        since_read: Option<Duration>,
    ) {
        let age_max_ms = since_read.map_or("-".to_owned(), |since| since.as_millis().to_string());
        let source = format!("source=store age_max_ms={age_max_ms}");
        let new = apply(node, states, &source);
        self.tell_zone_states(node, new, None);
    }

    /// Asks other nodes for states of zones, because the store may be out of reach.
    pub fn ask_for_zones(&self, node: &FrontNode) {
        if node.settings.zone_emptying.is_none() {
            return;
        }
        let asked = self.told_zones(node).choose_multiple(&mut rand::rng(), ZONE_QUERIES);
        for member in asked {
            self.send(member, &Message::ZonesQuery);
        }
    }

    pub(super) fn answer_zones_query(&self, node: &FrontNode, sender: SocketAddr) {
        let states: Vec<ZoneState> = node.servers.borrow().zones().states().collect();
        if !states.is_empty() {
            self.send(sender, &Message::ZoneStates(states));
        }
    }

    pub(super) fn apply_zone_states(
        &self,
        node: &FrontNode,
        sender: SocketAddr,
        states: &[ZoneState],
    ) {
        let new = apply(node, states, &format!("source=node member={sender}"));
        self.tell_zone_states(node, new, Some(sender));
    }

    /// Returns the other nodes but those of builds that do not know emptied zones.
    fn told_zones(&self, node: &FrontNode) -> impl Iterator<Item = SocketAddr> {
        let members = members(node).into_iter();
        members.filter(|member| !self.lacks(*member, Capability::EmptiedZones))
    }

    /// Tells random nodes the given states, except for the node that told this one.
    fn tell_zone_states(
        &self,
        node: &FrontNode,
        states: Vec<ZoneState>,
        teller: Option<SocketAddr>,
    ) {
        if states.is_empty() {
            return;
        }
        let others = self.told_zones(node).filter(|member| Some(*member) != teller);
        let message = Message::ZoneStates(states);
        for member in others.choose_multiple(&mut rand::rng(), ZONE_TELLINGS) {
            self.send(member, &message);
        }
    }
}

/// Records states and logs the new ones, which it returns.
fn apply(node: &FrontNode, states: &[ZoneState], source: &str) -> Vec<ZoneState> {
    let mut new = Vec::new();
    for state in states {
        let was_emptied = node.servers.borrow().zones().is_emptied(&state.zone);
        if !node.servers.borrow_mut().zones_mut().note(state) {
            continue;
        }
        new.push(state.clone());
        if state.is_emptied == was_emptied {
            continue;
        }
        let event = if state.is_emptied { "zone_emptied" } else { "zone_taken_back" };
        log::info!("event={event} zone={} row_version={} {source}", state.zone, state.version);
        if !state.is_emptied {
            node.note_zone_cold(&state.zone);
        }
    }
    let count = node.servers.borrow().zones().emptied_count();
    node.metrics.zones_emptied.set(i64::try_from(count).unwrap_or(i64::MAX));
    new
}
