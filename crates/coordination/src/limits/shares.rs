//! Stored split of a team's limit into shares of its holders.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::bucket::BucketLimits;
use crate::config::objects::Limit;
use crate::ids::IncarnationId;
use crate::members::{Member, MemberState};

/// Number of parts that a limit is divided into.
pub const PARTS_PER_LIMIT: u32 = 1024;
/// The burst divided by this is the number of holders, before it is limited to at least 1 and at
/// most [`HOLDERS_MAX`] and rounded up to a power of two.
const BURST_PER_HOLDER: u32 = 16;
/// Maximum number of holders of one limit, a power of two. A request may ask all of them for a
/// token.
const HOLDERS_MAX: u32 = 4;

/// Share of a limit that one node may spend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Incarnation that may spend the share.
    pub holder: IncarnationId,
    /// Size of the share in parts; the limit has [`PARTS_PER_LIMIT`].
    pub parts: u32,
    /// Whether the share comes from the initial split; only such a share starts full.
    pub original: bool,
    /// Number of parts that start full, if it is not all parts of an original share and none of
    /// another one. The other parts were spent by earlier holders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub full: Option<u32>,
}

impl Share {
    /// Returns the number of parts that start full.
    #[must_use]
    pub fn full_parts(&self) -> u32 {
        self.full.unwrap_or(if self.original { self.parts } else { 0 })
    }
}

/// Value of a limit row; the shares add up to at most [`PARTS_PER_LIMIT`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRow {
    /// Shares of the holders.
    pub shares: Vec<Share>,
}

impl LimitRow {
    /// Divides a limit evenly among `holders`; the first also gets the remainder.
    #[must_use]
    pub fn split(holders: &[IncarnationId]) -> Self {
        let count = u32::try_from(holders.len()).unwrap_or(u32::MAX).max(1);
        let remainder = PARTS_PER_LIMIT % count;
        let shares = holders.iter().enumerate().map(|(position, holder)| Share {
            holder: holder.clone(),
            parts: PARTS_PER_LIMIT / count + if position == 0 { remainder } else { 0 },
            original: true,
            full: None,
        });
        Self { shares: shares.collect() }
    }

    /// Returns the share of `holder`.
    #[must_use]
    pub fn share(&self, holder: &str) -> Option<&Share> {
        self.shares.iter().find(|share| share.holder == holder)
    }

    /// Returns the sum of the parts of all shares.
    #[must_use]
    pub fn total_parts(&self) -> u32 {
        self.shares.iter().map(|share| share.parts).sum()
    }

    /// Returns the recipient of the share of `holder` when only the first `count` shares are kept,
    /// or `None` if that share is kept or does not exist.
    #[must_use]
    pub fn surplus_recipient(&self, holder: &str, count: usize) -> Option<&IncarnationId> {
        let position = self.shares.iter().position(|share| share.holder == holder)?;
        (position >= count).then(|| &self.shares[position % count].holder)
    }

    /// Transfers the share of `from` to `to`; no tokens are transferred with it.
    pub fn transfer(&mut self, from: &str, to: &str) {
        let parts = self.share(from).map_or(0, |share| share.parts);
        self.move_parts(from, to, parts, 0);
    }

    /// Transfers the share of `from`, which took no token of it, to `to`; its full parts stay full.
    pub fn transfer_unspent(&mut self, from: &str, to: &str) {
        let moved = self.share(from).map(|share| (share.parts, share.full_parts()));
        let (parts, full_parts) = moved.unwrap_or_default();
        self.move_parts(from, to, parts, full_parts);
    }

    fn move_parts(&mut self, from: &str, to: &str, parts: u32, full_parts: u32) {
        self.shares.retain(|share| share.holder != from);
        if let Some(share) = self.shares.iter_mut().find(|share| share.holder == to) {
            share.full = Some(share.full_parts() + full_parts);
            share.parts += parts;
        } else if parts > 0 {
            let (holder, full) = (to.to_owned(), Some(full_parts));
            self.shares.push(Share { holder, parts, original: false, full });
        }
    }
}

/// Returns the rate and burst of a share of `limit` with the given `parts`.
#[must_use]
pub fn share_limits(limit: &Limit, parts: u32) -> BucketLimits {
    let fraction = f64::from(parts) / f64::from(PARTS_PER_LIMIT);
    BucketLimits {
        rate_per_s: limit.rate_per_s * fraction,
        burst: f64::from(limit.burst) * fraction,
    }
}

/// Returns the number of holders among which a limit is divided, a power of two.
#[must_use]
pub fn holder_count(limit: &Limit) -> usize {
    (limit.burst / BURST_PER_HOLDER).clamp(1, HOLDERS_MAX).next_power_of_two() as usize
}

/// Returns the live members in order of preference as holders of a team's limit, by rendezvous
/// hashing.
#[must_use]
pub fn preferred_holders(members: &[Member], team: &str) -> Vec<IncarnationId> {
    let live = members.iter().filter(|member| member.state == MemberState::Live);
    let mut ranked: Vec<&Member> = live.collect();
    ranked.sort_by_key(|member| {
        std::cmp::Reverse(xxh3_64(format!("{team}/{}", member.id).as_bytes()))
    });
    ranked.into_iter().map(|member| member.id.clone()).collect()
}
