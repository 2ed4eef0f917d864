//! Identifiers shared by all modules, and the region and shard encoded in program ids.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

/// Name of a team, as written in the configuration.
pub type TeamId = String;
/// Identifier of one incarnation of a node; a restart or a fencing starts a new incarnation.
pub type IncarnationId = String;
/// Index of a shard within its region, less than the shard count.
pub type ShardId = u16;
/// Id of a program: `prg-{region}-{shard:04x}-{unique:032x}`.
pub type ProgramId = String;
/// Position of a call in its program, counted from 1 without gaps.
pub type CallSequence = u64;
/// Version number of a published configuration; only increases.
pub type ConfigVersion = u64;
/// Name of a region, as given by the node's settings.
pub type RegionId = String;
/// Name of an availability zone, as given by the node's settings.
pub type ZoneId = String;
/// Name of a route, as written in the configuration.
pub type RouteId = String;
/// Name of a backend server, as written in the configuration.
pub type BackendId = String;

const PROGRAM_ID_PREFIX: &str = "prg";

/// Returns the id of a program on `shard` of `region`.
#[must_use]
pub fn program_id(region: &str, shard: ShardId, unique: u128) -> ProgramId {
    format!("{PROGRAM_ID_PREFIX}-{region}-{shard:04x}-{unique:032x}")
}

/// Region and shard of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionShard {
    /// Region of the program.
    pub region: RegionId,
    /// Shard within the region.
    pub shard: ShardId,
}

/// Returns the region and shard in a program id, or `None` if the id is malformed.
#[must_use]
pub fn parse_program_id(program: &str) -> Option<RegionShard> {
    let rest = program.strip_prefix(PROGRAM_ID_PREFIX)?.strip_prefix('-')?;
    let mut parts = rest.rsplitn(3, '-');
    let (unique, shard) = (parts.next()?, parts.next()?);
    let region = parts.next().filter(|region| !region.is_empty())?;
    if unique.len() != 32 || shard.len() != 4 {
        return None;
    }
    u128::from_str_radix(unique, 16).ok()?;
    let shard = ShardId::from_str_radix(shard, 16).ok()?;
    Some(RegionShard { region: region.to_owned(), shard })
}

/// Returns the shard in a program id, or `None` if the id is malformed.
#[must_use]
pub fn shard_of_program(program: &str) -> Option<ShardId> {
    parse_program_id(program).map(|known| known.shard)
}

/// Returns the id of the implicit program that holds a call sent without `Program-Id`.
///
/// For one region and shard count, the id depends only on the team and the idempotency key, so
/// that a retry reaches the same owner.
#[must_use]
pub fn single_call_program_id(
    region: &str,
    shard_count: u16,
    team: &str,
    idempotency_key: &str,
) -> ProgramId {
    let digest =
        Sha256::new().chain_update(team).chain_update([0]).chain_update(idempotency_key).finalize();
    let unique = u128::from_be_bytes(digest[..16].try_into().unwrap_or_default());
    let shard = u16::from_be_bytes([digest[16], digest[17]]) % shard_count.max(1);
    program_id(region, shard, unique)
}

/// Returns the lowercase hexadecimal SHA-256 digest of `bytes`.
#[must_use]
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().fold(String::with_capacity(64), |mut hex, byte| {
        use std::fmt::Write as _;
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// Returns the rendezvous weight of `node` for `shard`; the node with the highest weight is the
/// preferred owner.
#[must_use]
pub fn rendezvous_weight(node: &str, shard: ShardId) -> u64 {
    let mut input = Vec::with_capacity(node.len() + 2);
    input.extend_from_slice(&shard.to_be_bytes());
    input.extend_from_slice(node.as_bytes());
    xxh3_64(&input)
}
