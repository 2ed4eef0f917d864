//! Tokens of a share that this node holds.

use std::time::Duration;

use super::bucket::Bucket;
use super::shares::{Share, share_limits};
use crate::config::objects::Limit;

/// Growth of a share that its bucket does not reflect yet.
#[derive(Debug)]
struct Growth {
    at: Duration,
    parts_before: u32,
    full_parts: u32,
}

/// Bucket of a share. A part that is added to the share brings no tokens, unless it was never spent.
#[derive(Debug)]
pub(super) struct HeldShare {
    bucket: Bucket,
    parts: u32,
    full_parts: u32,
    /// Applied by the next take, since tokens depend on the limit.
    growths: Vec<Growth>,
}

impl HeldShare {
    /// Creates the bucket of a share that this node has not held before; `is_unspent` tells whether
    /// the full parts of the share start full.
    pub fn new(share: &Share, is_unspent: bool, now: Duration) -> Self {
        let full_parts = share.full_parts();
        if !is_unspent || full_parts == 0 {
            let (bucket, growths) = (Bucket::empty(now), Vec::new());
            return Self { bucket, parts: share.parts, full_parts, growths };
        }
        let parts = full_parts;
        let mut held = Self { bucket: Bucket::filled(now), parts, full_parts, growths: Vec::new() };
        held.resize(share, now);
        held
    }

    /// Adopts the current size of the share.
    pub fn resize(&mut self, share: &Share, now: Duration) {
        if share.parts == self.parts {
            return;
        }
        let full_parts = share.full_parts();
        self.growths.push(Growth {
            at: now,
            parts_before: self.parts,
            full_parts: full_parts.saturating_sub(self.full_parts),
        });
        (self.parts, self.full_parts) = (share.parts, full_parts);
    }

    /// Returns whether no token was ever taken.
    pub fn is_unspent(&self) -> bool {
        self.bucket.is_untouched()
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// As documented at [`Bucket::take`].
    pub fn take(
        &mut self,
        limit: &Limit,
        now: Duration,
        lease_expiry: Duration,
    ) -> Result<(), Option<Duration>> {
        for growth in self.growths.drain(..) {
            let limits = share_limits(limit, growth.parts_before);
            self.bucket.accrue(limits, growth.at, lease_expiry);
            self.bucket.add(share_limits(limit, growth.full_parts).burst);
        }
        self.bucket.take(share_limits(limit, self.parts), now, lease_expiry)
    }

    /// Returns the size of the share.
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// Returns the number of tokens held.
    pub fn tokens(&self) -> f64 {
        self.bucket.tokens()
    }
}
