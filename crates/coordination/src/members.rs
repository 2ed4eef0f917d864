//! The fleet's members as recorded in the table, and which of them owns a shard.

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, IncarnationId, RegionId, ShardId, ZoneId, rendezvous_weight};
use crate::journal::CommitNumber;

/// Key of the only row in the head table.
pub const HEAD_KEY: &str = "fleet";

/// Value of the head row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Newest published configuration; 0 before the first publication.
    pub config_version: ConfigVersion,
    /// Digest of that configuration.
    pub config_digest: String,
    /// Id of the publication, to resolve a lost answer.
    pub publish_id: String,
    /// Rises with each change of the member rows.
    pub members_version: u64,
    /// Start of the window in which fencings are counted, since the Unix epoch.
    #[serde(default)]
    pub fence_window_unix_ms: u64,
    /// Fencings in that window.
    #[serde(default)]
    pub fence_count: u32,
}

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Takes calls and owns shards.
    Live,
    /// Hands its shards over before it stops.
    Leaving,
    /// Can commit nothing; its shards are free to claim.
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
    /// Member that may take this one's limit shares while it lives itself.
    #[serde(default)]
    pub reclaimer: Option<IncarnationId>,
}

/// Part of a journal that belongs to a shard's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Incarnation that wrote the journal.
    pub incarnation: IncarnationId,
    /// First commit that may hold records of the shard.
    pub first_commit: CommitNumber,
    /// First commit after the segment, or `None` while it is open.
    pub end_commit: Option<CommitNumber>,
}

/// Value of a shard row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Owning incarnation, or `None` after a release.
    pub owner: Option<IncarnationId>,
    /// Rises with each change of owner; also the fencing number for engines.
    pub epoch: u64,
    /// Object with the state before the segments.
    pub checkpoint: Option<String>,
    /// Journal parts to replay, in order.
    pub segments: Vec<Segment>,
}

impl ShardRow {
    /// Returns whether nothing was committed since the checkpoint, if `next` is the next commit.
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

/// Returns the live member of `region` that should own `shard`.
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
