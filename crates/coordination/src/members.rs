//! Table rows for members and shards, and the choice of each shard's preferred owner.

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, IncarnationId, RegionId, ShardId, ZoneId, rendezvous_weight};
use crate::journal::CommitNumber;

/// Key of the only row in the head table.
pub const HEAD_KEY: &str = "fleet";

/// Value of the head row: the newest versions of configuration and membership, which the nodes
/// poll, and the state of the fencing rate limit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the newest published configuration; 0 before the first publication.
    pub config_version: ConfigVersion,
    /// Digest of that configuration.
    pub config_digest: String,
    /// Id of the publication of that configuration.
    pub publish_id: String,
    /// Incremented with each change of the member rows.
    pub members_version: u64,
    /// Unix time at which the current window of the fencing rate limit began, in milliseconds.
    #[serde(default)]
    pub fence_window_unix_ms: u64,
    /// Number of members fenced in that window.
    #[serde(default)]
    pub fence_count: u32,
}

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Accepts calls and owns shards.
    Live,
    /// Releases its shards before a planned stop.
    Leaving,
    /// Cannot commit anything; other members may claim its shards.
    Fenced,
}

/// Value of a node row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Incarnation of the node.
    pub id: IncarnationId,
    /// Address for forwarded calls, as `IP:PORT`.
    pub forward_address: String,
    /// Address for control messages, as `IP:PORT`.
    pub peer_address: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// State.
    pub state: MemberState,
    /// Member that reclaims this member's limit shares after this member is fenced. Another member
    /// may do so only after the reclaimer is fenced or removed too.
    #[serde(default)]
    pub reclaimer: Option<IncarnationId>,
}

/// Range of commits in one incarnation's journal that belongs to a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Incarnation that wrote the journal.
    pub incarnation: IncarnationId,
    /// First commit that may hold records of the shard.
    pub first_commit: CommitNumber,
    /// First commit after the segment, or `None` while the segment is open.
    pub end_commit: Option<CommitNumber>,
}

/// Value of a shard row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Owning incarnation, or `None` after a release.
    pub owner: Option<IncarnationId>,
    /// Incremented with each claim; also the fencing number sent to backend servers.
    pub epoch: u64,
    /// Key of the object with the shard's state before the segments, or `None` if the shard had no
    /// programs then.
    pub checkpoint: Option<String>,
    /// Journal segments to replay after loading the checkpoint, in order.
    pub segments: Vec<Segment>,
}

impl ShardRow {
    /// Returns whether replay would start at `next`, the number of the owner's next commit, so that
    /// no new checkpoint is needed.
    #[must_use]
    pub fn is_checkpointed_at(&self, next: CommitNumber) -> bool {
        matches!(&self.segments[..], [segment] if segment.first_commit == next)
    }
}

/// A member with the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRow {
    /// Version of the row.
    pub version: u64,
    /// Value of the row.
    pub member: Member,
}

/// Returns the live member of `region` that should own `shard`, chosen by rendezvous hashing.
#[must_use]
pub fn preferred_owner<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    region: &str,
    shard: ShardId,
) -> Option<&'a Member> {
    members
        .into_iter()
        .filter(|member| member.state == MemberState::Live && member.region == region)
        .max_by_key(|member| (rendezvous_weight(&member.id, shard), member.id.clone()))
}

/// Returns the key of a shard row.
#[must_use]
pub fn shard_key(region: &str, shard: ShardId) -> String {
    format!("{region}/{shard:04x}")
}
