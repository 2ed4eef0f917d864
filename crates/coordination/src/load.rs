//! Load of backend servers, counted over all nodes.
//!
//! For each backend server, one node, its keeper, counts the requests that all nodes have in flight
//! there. All nodes choose the keeper by rendezvous hashing, so no election is needed. A node tells
//! the keeper its own count with each change, and asks the keepers of the candidate servers before
//! it places a request. The messages depend on the number of requests, not of nodes, and the counts
//! are as old as one network round trip, whatever the size of the fleet.
//!
//! The counts are hints: a keeper that has just taken over, or a lost message, makes them too low
//! until the nodes' next messages, and counts of nodes that stop sending expire.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::limits::usage::MemberId;

/// Hash of a backend server's identifier, used in messages between nodes.
pub type ServerHash = u32;

/// Time after which the count of a node expires; longer than most requests take.
const COUNT_EXPIRY: Duration = Duration::from_secs(4);

/// Load of a server by the requests of other nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OthersLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Nodes that avoid the server after failures.
    pub avoiding: u32,
}

/// Load of a server by the requests of one node, as sent to the server's keeper.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Time for which the node still avoids the server after failures.
    pub avoided_for: Duration,
}

#[derive(Debug)]
struct KnownLoad {
    in_flight: u32,
    avoided_until: Duration,
    expires_at: Duration,
}

/// Counts of the servers that this node keeps for all nodes.
#[derive(Debug, Default)]
pub struct LoadKeeper {
    servers: HashMap<ServerHash, HashMap<MemberId, KnownLoad>>,
}

impl LoadKeeper {
    /// Replaces the load of `server` by the requests of `member`.
    pub fn update(&mut self, server: ServerHash, member: &str, load: NodeLoad, now: Duration) {
        let members = self.servers.entry(server).or_default();
        if load == NodeLoad::default() {
            members.remove(member);
            return;
        }
        let expires_at = now + COUNT_EXPIRY;
        let known = KnownLoad {
            in_flight: load.in_flight,
            avoided_until: now + load.avoided_for,
            expires_at,
        };
        members.insert(member.to_owned(), known);
    }

    /// Returns the load of `server` by the requests of all nodes but `asker`.
    #[must_use]
    pub fn others_load(&self, server: ServerHash, asker: &str, now: Duration) -> OthersLoad {
        let members = self.servers.get(&server).into_iter().flatten();
        members.filter(|(member, _)| *member != asker).fold(
            OthersLoad::default(),
            |mut sum, (_, known)| {
                if now < known.expires_at {
                    sum.in_flight += known.in_flight;
                }
                sum.avoiding += u32::from(now < known.avoided_until);
                sum
            },
        )
    }

    /// Discards the counts of a node that has left or restarted.
    pub fn forget(&mut self, member: &str) {
        for members in self.servers.values_mut() {
            members.remove(member);
        }
    }

    /// Discards expired counts.
    pub fn prune(&mut self, now: Duration) {
        self.servers.retain(|_, members| {
            members.retain(|_, known| now < known.expires_at.max(known.avoided_until));
            !members.is_empty()
        });
    }
}

/// Returns the keeper of `server` among `members`.
#[must_use]
pub fn keeper_of<'a>(
    server: ServerHash,
    members: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    keeper_by_hash(u64::from(server), members)
}

/// Returns the keeper of the budget of `program` among `members`.
#[must_use]
pub fn budget_keeper_of<'a>(
    program: &str,
    members: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    keeper_by_hash(xxh3_64(program.as_bytes()), members)
}

fn keeper_by_hash<'a>(hash: u64, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| (xxh3_64_with_seed(member.as_bytes(), hash), *member))
}
