//! Ranking of backend servers for a key, the same on all nodes without coordination.
//!
//! Weighted rendezvous hashing: each server draws a hash for the key, and the negative logarithm of
//! the hash divided by the server's weight is its score; the lowest score ranks first. A server is
//! first for a share of the keys equal to its share of all weights, and a change of one server
//! moves only keys to or from it. With equal weights, the order is that of the hashes.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::load::ServerHash;
use crate::prompts::SharedPart;
use crate::servers::ServerEntry;

/// Size of a backend server relative to the others of its service.
pub type ServerWeight = u32;

/// Weights by which backend servers share the keys. All nodes must use equal weights.
pub trait ServerWeights {
    /// Returns the weight of `server`; 0 counts as 1.
    fn weight(&self, server: &ServerEntry) -> ServerWeight;
}

/// Weights equal to the numbers of slots that the servers declare.
#[derive(Debug, Clone, Copy)]
pub struct DeclaredSlots;

impl ServerWeights for DeclaredSlots {
    fn weight(&self, server: &ServerEntry) -> ServerWeight {
        server.slots
    }
}

/// The same weight for all servers; a baseline for comparison.
#[derive(Debug, Clone, Copy)]
pub struct EqualWeights;

impl ServerWeights for EqualWeights {
    fn weight(&self, _server: &ServerEntry) -> ServerWeight {
        1
    }
}

/// A server with its rank for a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a ServerEntry,
    /// Its rank; 0 is the first choice.
    pub rank: usize,
    /// Whether the server caches the shared part of the prompt; `true` if there is none.
    pub is_host: bool,
}

/// Ranks the servers by the slots that they declare; see [`rank_by`].
#[must_use]
pub fn rank<'a>(
    key: &str,
    shared_part: Option<SharedPart>,
    servers: impl Iterator<Item = &'a ServerEntry>,
) -> Vec<Candidate<'a>> {
    rank_by(&DeclaredSlots, key, shared_part, servers)
}

/// Ranks the servers by weighted rendezvous hashing of the key, with the hosts of the shared part
/// first.
///
/// The servers that follow the hosts in the ranking of the part come next, so that a part whose
/// hosts are overloaded spreads to the same few servers from all nodes.
#[must_use]
pub fn rank_by<'a>(
    weights: &dyn ServerWeights,
    key: &str,
    shared_part: Option<SharedPart>,
    servers: impl Iterator<Item = &'a ServerEntry>,
) -> Vec<Candidate<'a>> {
    let mut ranked: Vec<Weighed<'a>> = servers
        .map(|server| Weighed { server, weight: u64::from(weights.weight(server).max(1)) })
        .collect();
    let mut hosts = ranked.len();
    if let Some(part) = shared_part
        && part.hosts < hosts
    {
        hosts = part.hosts.max(1);
        sort_by_score(&mut ranked, &part.id.to_le_bytes());
        correct_for_host_choice(&mut ranked, hosts);
        let next_end = (2 * hosts).min(ranked.len());
        sort_by_score(&mut ranked[hosts..next_end], key.as_bytes());
    }
    sort_by_score(&mut ranked[..hosts], key.as_bytes());
    ranked
        .into_iter()
        .enumerate()
        .map(|(rank, weighed)| Candidate { server: weighed.server, rank, is_host: rank < hosts })
        .collect()
}

#[derive(Debug, Clone, Copy)]
struct Weighed<'a> {
    server: &'a ServerEntry,
    weight: u64,
}

/// Replaces the weights by those for ranking the hosts of a part among each other.
///
/// A server of weight `w` is a host of a part with a probability of about `1 - exp(-w * t)`, where
/// `t` depends on the fraction of hosts. Dividing `w` by it leaves each server with its share over
/// all parts. The quotient is close to `1 / t + w / 2`, and `1 / t` to the mean weight times the
/// ratio of other servers to hosts.
fn correct_for_host_choice(servers: &mut [Weighed<'_>], hosts: usize) {
    let total: u64 = servers.iter().map(|weighed| weighed.weight).sum();
    let (count, hosts) = (to_u64(servers.len()), to_u64(hosts));
    let common = 2 * total * (count - hosts);
    for weighed in servers {
        weighed.weight = weighed.weight * count * hosts + common;
    }
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

/// Sorts servers by their score for `key`, lowest first, then by identifier.
fn sort_by_score<'a>(servers: &mut [Weighed<'a>], key: &[u8]) {
    let Some(first) = servers.first() else { return };
    let first_weight = first.weight;
    let is_equal = servers.iter().all(|weighed| weighed.weight == first_weight);
    servers.sort_by_cached_key(|weighed| {
        let server: &'a ServerEntry = weighed.server;
        let hash = xxh3_64_with_seed(key, hash64(&server.id));
        // Equal weights leave the order of the hashes, so the logarithm is not needed.
        let score = if is_equal { 0 } else { score(hash, weighed.weight) };
        (score, Reverse(hash), server.id.as_str())
    });
}

/// Number of fraction bits of [`negative_log2`].
const LOG_FRACTION_BITS: u32 = 28;

/// Returns the negative logarithm of `hash` as a fraction of the largest hash, divided by `weight`.
fn score(hash: u64, weight: u64) -> u128 {
    (u128::from(negative_log2(hash)) << u64::BITS) / u128::from(weight)
}

/// Returns `-log2(hash / 2^64)` with [`LOG_FRACTION_BITS`], rounded up.
///
/// The result never increases with the hash. It is computed in integers, because the results of
/// floating-point logarithms differ between mathematical libraries, and nodes must agree.
fn negative_log2(hash: u64) -> u64 {
    let hash = hash.max(1);
    let zeros = hash.leading_zeros();
    // Between 1 and 2, with 63 fraction bits.
    let mut mantissa = hash << zeros;
    let mut fraction = 0;
    for _ in 0..LOG_FRACTION_BITS {
        let square = (u128::from(mantissa) * u128::from(mantissa)) >> (u64::BITS - 1);
        let bit = u64::try_from(square >> u64::BITS).unwrap_or_default();
        mantissa = u64::try_from(square >> bit).unwrap_or(u64::MAX);
        fraction = fraction << 1 | bit;
    }
    (u64::from(zeros + 1) << LOG_FRACTION_BITS) - fraction
}

fn hash64(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

/// Returns the hash of a backend server's identifier.
#[must_use]
pub fn server_hash(id: &str) -> ServerHash {
    ServerHash::try_from(hash64(id) & u64::from(ServerHash::MAX)).unwrap_or_default()
}
