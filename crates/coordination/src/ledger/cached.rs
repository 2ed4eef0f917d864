//! Row of a program's ledger as a node knows it, with the turns that the row does not show yet.

use std::time::Duration;

use super::ReserveError;
use super::row::{Ledger, LedgerRow, malformed};
use crate::rows::VersionedRow;

/// Initial backoff after a reservation that used all its rounds of release requests. It doubles
/// with each further one until a claim succeeds, because a program that retries in an endless loop
/// would otherwise cause a steady stream of requests.
const RELEASE_BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Maximum backoff between release requests.
const RELEASE_BACKOFF_MAX: Duration = Duration::from_secs(4);

#[derive(Debug, Default)]
pub(super) struct CachedLedger {
    pub(super) row_version: u64,
    /// Identifier of the write of the row.
    pub(super) write_id: u64,
    pub(super) ledger: Ledger,
    /// Tokens delivered by ended turns and not yet settled in the row.
    pub(super) unsettled_tokens: u64,
    /// Tokens reserved for running turns.
    pub(super) running_tokens: u64,
    pub(super) used_at: Duration,
    /// Earliest time of the next release request to other nodes.
    pub(super) next_release_request_at: Duration,
    /// Number of reservations since the last successful claim that used all their rounds of release
    /// requests.
    pub(super) failed_release_attempts: u32,
    /// Whether this node has read or written the row.
    pub(super) is_loaded: bool,
    /// Writes based on the known version of the row whose answers are awaited, lost or no longer
    /// awaited; one of them may have taken effect or may still do so seconds later.
    pub(super) pending: Vec<PendingWrite>,
}

#[derive(Debug)]
pub(super) struct PendingWrite {
    pub(super) write_id: u64,
    pub(super) ledger: Ledger,
    /// Unsettled tokens that the write settles.
    pub(super) unsettled_tokens: u64,
}

impl CachedLedger {
    /// Returns the row with ended turns settled and this node's claim reduced to running turns.
    pub(super) fn with_turns_settled(&self, claimant: &str) -> Ledger {
        let mut next = self.ledger.clone();
        next.settled_tokens = next.settled_tokens.saturating_add(self.unsettled_tokens);
        next.set_claim(claimant, self.running_tokens);
        next
    }

    /// Delays the next release request to other nodes by an exponential backoff.
    pub(super) fn back_off_release_requests(&mut self) {
        let backoff = RELEASE_BACKOFF_MIN * 2_u32.saturating_pow(self.failed_release_attempts);
        self.next_release_request_at = self.used_at + backoff.min(RELEASE_BACKOFF_MAX);
        self.failed_release_attempts += 1;
    }

    /// Returns whether a claim may also cover later turns.
    ///
    /// A program that was started at another node may be spread over many nodes, each of which
    /// would keep tokens for turns that run elsewhere. Once it returns to a node, it probably stays.
    pub(super) fn may_claim_ahead(&self, claimant: &str) -> bool {
        let claims = &self.ledger.claimed_tokens;
        claims.is_empty() || claims.contains_key(claimant)
    }

    /// Reserves `tokens_max` if the claim covers them; returns whether it does.
    pub(super) fn take_claimed(&mut self, claimant: &str, tokens_max: u64) -> bool {
        let is_covered = tokens_max <= self.unused_tokens(claimant);
        if is_covered {
            self.running_tokens += tokens_max;
        }
        is_covered
    }

    /// Returns the part of this node's claim that no turn uses.
    ///
    /// A claim that a pending write may have lowered covers no further turn, because other nodes
    /// may have claimed its tokens.
    pub(super) fn unused_tokens(&self, claimant: &str) -> u64 {
        let claim = self.own_claim(claimant);
        if self.pending.iter().any(|pending| pending.ledger.claim(claimant) < claim) {
            return 0;
        }
        claim.saturating_sub(self.unsettled_tokens + self.running_tokens)
    }

    pub(super) fn own_claim(&self, claimant: &str) -> u64 {
        self.ledger.claim(claimant)
    }

    /// Returns the identifier for a write of `ledger`, which is that of a pending write of the same
    /// contents if there is one.
    pub(super) fn write_id_of(&self, ledger: &Ledger) -> u64 {
        let same = self.pending.iter().find(|pending| pending.ledger == *ledger);
        same.map_or_else(|| rand::random_range(1..=u64::MAX), |pending| pending.write_id)
    }

    /// Adds a write of `row` to the pending ones; returns whether it was not one of them.
    pub(super) fn add_pending(&mut self, row: &LedgerRow) -> bool {
        let LedgerRow { ledger, write_id } = row;
        let is_new = self.pending.iter().all(|pending| pending.write_id != *write_id);
        if is_new {
            self.pending.push(PendingWrite {
                write_id: *write_id,
                ledger: ledger.clone(),
                unsettled_tokens: self.unsettled_tokens,
            });
        }
        is_new
    }

    /// Replaces the cached row with the current one and completes the pending write that it
    /// contains. Pending writes based on an earlier version of the row can take no effect anymore.
    ///
    /// A claim from before an eviction is treated as delivered.
    pub(super) fn adopt(
        &mut self,
        row: Option<VersionedRow>,
        claimant: &str,
    ) -> Result<(), ReserveError> {
        let (version, LedgerRow { ledger, write_id }) = match row {
            Some(row) => (
                row.version,
                serde_json::from_slice(&row.value).map_err(|error| malformed(&error))?,
            ),
            None => (0, LedgerRow::default()),
        };
        let mut own_write = None;
        if version != self.row_version {
            let mut pending = std::mem::take(&mut self.pending).into_iter();
            own_write = pending.find(|pending| pending.write_id == write_id);
        }
        self.row_version = version;
        self.write_id = write_id;
        self.ledger = ledger;
        if let Some(pending) = own_write {
            self.unsettled_tokens = self.unsettled_tokens.saturating_sub(pending.unsettled_tokens);
        } else if !self.is_loaded {
            self.unsettled_tokens = self.own_claim(claimant);
        }
        self.is_loaded = true;
        Ok(())
    }
}
