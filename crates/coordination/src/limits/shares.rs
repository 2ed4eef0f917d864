//! The recorded split of a team's limit over its holders.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::bucket::BucketLimits;
use crate::config::objects::Limit;
use crate::ids::IncarnationId;
use crate::members::{Member, MemberState};

/// Parts that a whole limit is split into.
pub const WHOLE_PARTS: u32 = 1024;
/// Tokens of burst per holder; a smaller burst gets fewer holders.
const BURST_PER_HOLDER: u32 = 16;
/// Most holders of one team.
const HOLDERS_MAX: u32 = 4;

/// Part of a limit that one node may spend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Incarnation that may spend it.
    pub holder: IncarnationId,
    /// Parts out of [`WHOLE_PARTS`].
    pub parts: u32,
    /// Whether the share was part of the first split and so starts full.
    pub original: bool,
}

/// Value of a limit row: shares never sum to more than [`WHOLE_PARTS`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRow {
    /// Shares of the holders.
    pub shares: Vec<Share>,
}

impl LimitRow {
    /// Splits a whole limit evenly over `holders`.
    #[must_use]
    pub fn split(holders: &[IncarnationId]) -> Self {
        let count = u32::try_from(holders.len()).unwrap_or(u32::MAX).max(1);
        let remainder = WHOLE_PARTS % count;
        let shares = holders.iter().enumerate().map(|(position, holder)| Share {
            holder: holder.clone(),
            parts: WHOLE_PARTS / count + if position == 0 { remainder } else { 0 },
            original: true,
        });
        Self { shares: shares.collect() }
    }

    /// Returns the share of `holder`.
    #[must_use]
    pub fn share(&self, holder: &str) -> Option<&Share> {
        self.shares.iter().find(|share| share.holder == holder)
    }

    /// Returns the parts of all shares.
    #[must_use]
    pub fn total_parts(&self) -> u32 {
        self.shares.iter().map(|share| share.parts).sum()
    }

    /// Returns who takes over the share of `holder` when only the first `count` shares are kept.
    #[must_use]
    pub fn surplus_recipient(&self, holder: &str, count: usize) -> Option<&IncarnationId> {
        let position = self.shares.iter().position(|share| share.holder == holder)?;
        (position >= count).then(|| &self.shares[position % count].holder)
    }

    /// Moves the share of `from` to `to`, which starts with no tokens.
    pub fn transfer(&mut self, from: &str, to: &str) {
        let moved: u32 =
            self.shares.iter().filter(|share| share.holder == from).map(|share| share.parts).sum();
        self.shares.retain(|share| share.holder != from);
        if let Some(share) = self.shares.iter_mut().find(|share| share.holder == to) {
            share.parts += moved;
        } else if moved > 0 {
            self.shares.push(Share { holder: to.to_owned(), parts: moved, original: false });
        }
    }
}

/// Returns the part of `limit` that `parts` stand for.
#[must_use]
pub fn share_limits(limit: &Limit, parts: u32) -> BucketLimits {
    let fraction = f64::from(parts) / f64::from(WHOLE_PARTS);
    BucketLimits {
        rate_per_s: limit.rate_per_s * fraction,
        burst: f64::from(limit.burst) * fraction,
    }
}

/// Returns how many nodes share a limit.
#[must_use]
pub fn holder_count(limit: &Limit) -> usize {
    (limit.burst / BURST_PER_HOLDER).clamp(1, HOLDERS_MAX).next_power_of_two() as usize
}

/// Returns the live members that should hold a team's limit, best first.
#[must_use]
pub fn preferred_holders(members: &[Member], team: &str) -> Vec<IncarnationId> {
    let live = members.iter().filter(|member| member.state == MemberState::Live);
    let mut ranked: Vec<&Member> = live.collect();
    ranked.sort_by_key(|member| {
        std::cmp::Reverse(xxh3_64(format!("{team}/{}", member.id).as_bytes()))
    });
    ranked.into_iter().map(|member| member.id.clone()).collect()
}
