//! Token budgets of programs, stored in one row per program.
//!
//! A node starts a turn only if its claim in the row covers the turn's tokens, so the total over
//! all nodes never exceeds the budget, even during failures. A claim also covers a few later turns,
//! so that most turns need no write and a started program continues during a store outage. A node
//! that finds the budget claimed by others asks them to release the tokens that they do not use.

mod cached;
mod row;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::lock::Mutex;
use snafu::Snafu;

use self::cached::CachedLedger;
pub use self::row::Ledger;
use self::row::{LedgerRow, malformed};
use crate::clock::Clock;
use crate::rows::{RowStoreError, RowWrite, SharedRowStore, WriteOutcome, part_of};

/// Table of the ledgers.
pub const LEDGER_TABLE: &str = "ledgers";
/// Number of partitions of the table. The store supports 200 writes per second in each partition
/// and 800 in total.
const LEDGER_PARTS: u64 = 64;
/// Maximum number of attempts per reservation or release. An attempt is either one write, which may
/// be rate-limited or conflict with a write of another node, or one reload of the row because the
/// cached row shows too few unclaimed tokens.
const ATTEMPTS_MAX: u32 = 16;

/// Number of retries of refused writes after which a reservation fails.
const REFUSED_RETRIES_MAX: u32 = 5;
/// Range of the random backoff after a write that the store refused, which had no effect.
const REFUSED_BACKOFF_MS: std::ops::Range<u64> = 20..120;
/// Maximum number of attempts to read a row when answers are lost.
const READ_ATTEMPTS_MAX: u32 = 4;
/// Maximum number of later turns that a claim also covers. If a node is killed, its programs lose
/// the tokens that it had claimed, so this limits the loss. A claim for parallel turns keeps the
/// tokens that they did not use until the next write.
const TURNS_AHEAD_MAX: u64 = 2;
/// A claim takes at most the unclaimed budget divided by this for later turns; the rest remains for
/// other nodes.
const AHEAD_DIVISOR: u64 = 2;
/// Maximum rounds of release requests per reservation.
const RELEASE_ROUNDS_MAX: u32 = 2;
/// Minimum number of nodes asked to release tokens, because some may have failed.
const HOLDERS_ASKED_MIN: usize = 3;
/// Time that other nodes get to release tokens before the row is read again.
const RELEASE_WAIT: Duration = Duration::from_millis(35);

/// Identifier of one process of a node, used in claims.
pub type ClaimantId = String;

/// Reason why a turn may not start.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReserveError {
    /// The budget does not cover another turn.
    #[snafu(display(
        "the program's token budget is spent ({committed_tokens} of {budget_tokens} tokens); \
         start a new program or raise its budget"
    ))]
    BudgetSpent {
        /// Tokens delivered or reserved.
        committed_tokens: u64,
        /// Budget of the program.
        budget_tokens: u64,
    },
    /// The store failed, so it is unknown whether the budget covers another turn.
    #[snafu(display("the program's budget cannot be read: {source}; retry later"))]
    Store {
        /// Cause.
        source: RowStoreError,
    },
    /// The attempts were used up, usually because other nodes wrote the row.
    #[snafu(display("the program's budget is contended; retry later"))]
    Contended,
}

/// Sender of release requests to other nodes.
///
/// The requests are not answered; the row shows whether tokens were released.
pub trait ReleaseRequester {
    /// Asks `holders` to release the tokens of `program` that they do not use; returns whether a
    /// request was sent to any of them.
    fn request_release(&self, program: &str, holders: &[ClaimantId]) -> bool;
}

/// Cache of the ledgers of programs that this node serves.
pub struct Ledgers {
    store: SharedRowStore,
    clock: Rc<dyn Clock>,
    claimant: ClaimantId,
    release_requester: Rc<dyn ReleaseRequester>,
    programs: RefCell<HashMap<String, Rc<Mutex<CachedLedger>>>>,
}

impl Ledgers {
    /// Creates an empty cache over `store`; `claimant` must be unique for each process of a node.
    #[must_use]
    pub fn new(
        store: SharedRowStore,
        clock: Rc<dyn Clock>,
        claimant: ClaimantId,
        release_requester: Rc<dyn ReleaseRequester>,
    ) -> Self {
        Self { store, clock, claimant, release_requester, programs: RefCell::default() }
    }

    /// Returns the identifier of this node in claims.
    #[must_use]
    pub fn claimant(&self) -> &str {
        &self.claimant
    }

    /// Reserves `tokens_max` for a turn of `program`; returns whether it is the program's first.
    ///
    /// # Errors
    ///
    /// Fails when the budget does not cover the turn, when the store fails, or when the row is
    /// contended.
    pub async fn reserve(
        &self,
        program: &str,
        tokens_max: u64,
        budget_tokens: u64,
    ) -> Result<bool, ReserveError> {
        let cached = self.cached(program);
        let mut cached = cached.lock().await;
        cached.used_at = self.clock.monotonic();
        if cached.take_claimed(&self.claimant, tokens_max) {
            return Ok(false);
        }
        let delivered_tokens = cached.ledger.settled_tokens + cached.unsettled_tokens;
        if delivered_tokens.saturating_add(tokens_max) > budget_tokens {
            // Delivered tokens never decrease, so releases by other nodes cannot suffice.
            let next = cached.with_turns_settled(&self.claimant);
            self.log_spent(program, &cached, &next, budget_tokens);
            let committed_tokens = next.committed_tokens();
            return Err(ReserveError::BudgetSpent { committed_tokens, budget_tokens });
        }
        let mut is_current = false;
        let mut release_rounds_left =
            if cached.used_at >= cached.next_release_request_at { RELEASE_ROUNDS_MAX } else { 0 };
        let mut refused_writes = 0;
        for _ in 0..ATTEMPTS_MAX {
            let mut next = cached.with_turns_settled(&self.claimant);
            let committed_tokens = next.committed_tokens();
            let Some(unclaimed) =
                budget_tokens.checked_sub(committed_tokens.saturating_add(tokens_max))
            else {
                if is_current {
                    // Releases by other nodes help only if this node's own tokens fit the budget.
                    let own_tokens = next.settled_tokens + cached.running_tokens + tokens_max;
                    let is_requested = own_tokens <= budget_tokens
                        && release_rounds_left > 0
                        && self.request_release(program, &next, tokens_max);
                    if !is_requested {
                        self.log_spent(program, &cached, &next, budget_tokens);
                        return Err(ReserveError::BudgetSpent { committed_tokens, budget_tokens });
                    }
                    release_rounds_left -= 1;
                    if release_rounds_left == 0 {
                        cached.back_off_release_requests();
                    }
                    self.clock.sleep(RELEASE_WAIT).await;
                }
                // Another node may have released tokens since the row was last read.
                self.refresh(program, &mut cached).await?;
                is_current = true;
                continue;
            };
            let ahead = if cached.may_claim_ahead(&self.claimant) {
                tokens_max.saturating_mul(TURNS_AHEAD_MAX).min(unclaimed / AHEAD_DIVISOR)
            } else {
                0
            };
            let claim = cached.running_tokens + tokens_max + ahead;
            next.set_claim(&self.claimant, claim);
            // The row of a program that was refused at its first turn is empty again.
            let is_first = cached.ledger == Ledger::default();
            is_current = true;
            let written = match self.write(program, &mut cached, next).await {
                Err(ReserveError::Store { source: RowStoreError::Refused { .. } })
                    if refused_writes < REFUSED_RETRIES_MAX =>
                {
                    refused_writes += 1;
                    let backoff_ms = rand::random_range(REFUSED_BACKOFF_MS);
                    self.clock.sleep(Duration::from_millis(backoff_ms)).await;
                    continue;
                }
                written => written?,
            };
            if written {
                log::info!(
                    "event=budget_claimed program={program} row_version={} settled={} claim={claim} \
                     unclaimed={} budget={budget_tokens}",
                    cached.row_version,
                    cached.ledger.settled_tokens,
                    unclaimed - ahead,
                );
                cached.running_tokens += tokens_max;
                cached.failed_release_attempts = 0;
                return Ok(is_first);
            }
        }
        Err(ReserveError::Contended)
    }

    /// Reserves `tokens_max` like [`Self::reserve`] for a turn that is not the first of `program`.
    ///
    /// Reads the row first if this node does not know it: another node has probably written it, so
    /// a write without its version would only conflict, and the store allows fewer writes than
    /// reads.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::reserve`] does.
    pub async fn reserve_continued(
        &self,
        program: &str,
        tokens_max: u64,
        budget_tokens: u64,
    ) -> Result<bool, ReserveError> {
        let cached = self.cached(program);
        let mut cached = cached.lock().await;
        if !cached.is_loaded
            && let Err(error) = self.refresh(program, &mut cached).await
        {
            log::debug!("event=budget_not_read program={program} cause=\"{error}\"");
        }
        drop(cached);
        self.reserve(program, tokens_max, budget_tokens).await
    }

    /// Reserves `tokens_max` for a turn of `program` if this node's claim covers it, without the
    /// store; returns whether it does.
    pub fn reserve_claimed(&self, program: &str, tokens_max: u64) -> bool {
        let known = self.programs.borrow().get(program).cloned();
        let Some(known) = known else { return false };
        let Some(mut cached) = known.try_lock() else { return false };
        cached.used_at = self.clock.monotonic();
        cached.take_claimed(&self.claimant, tokens_max)
    }

    /// Returns the part of this node's claim on `program` that no turn uses; 0 while the row is
    /// written or such a write is in doubt.
    #[must_use]
    pub fn unused_tokens(&self, program: &str) -> u64 {
        let programs = self.programs.borrow();
        let cached = programs.get(program).and_then(|known| known.try_lock());
        cached.map_or(0, |cached| cached.unused_tokens(&self.claimant))
    }

    /// Sends release requests to the nodes with the largest claims, as far as needed to cover
    /// `missing_tokens`; returns whether any was sent.
    ///
    /// Each of these nodes writes the row, so the writes of more nodes would only conflict.
    fn request_release(&self, program: &str, ledger: &Ledger, missing_tokens: u64) -> bool {
        let mut others: Vec<(&ClaimantId, u64)> = ledger
            .claimed_tokens
            .iter()
            .filter(|(claimant, _)| **claimant != self.claimant)
            .map(|(claimant, tokens)| (claimant, *tokens))
            .collect();
        others.sort_unstable_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        let mut covered_tokens = 0;
        let holders: Vec<ClaimantId> = others
            .into_iter()
            .enumerate()
            .take_while(|(index, (_, tokens))| {
                let is_needed = *index < HOLDERS_ASKED_MIN || covered_tokens < missing_tokens;
                covered_tokens += tokens;
                is_needed
            })
            .map(|(_, (claimant, _))| claimant.clone())
            .collect();
        !holders.is_empty() && self.release_requester.request_release(program, &holders)
    }

    fn log_spent(&self, program: &str, cached: &CachedLedger, ledger: &Ledger, budget_tokens: u64) {
        log::info!(
            "event=budget_spent program={program} claimant={} row_version={} settled={} \
             claims=\"{:?}\" budget={budget_tokens}",
            self.claimant,
            cached.row_version,
            ledger.settled_tokens,
            ledger.claimed_tokens,
        );
    }

    /// Ends a turn: replaces its reservation of `tokens_max` with its `delivered_tokens`, which a
    /// later write settles in the row.
    pub async fn end_turn(&self, program: &str, tokens_max: u64, delivered_tokens: u64) {
        let cached = self.cached(program);
        let mut cached = cached.lock().await;
        cached.used_at = self.clock.monotonic();
        cached.running_tokens = cached.running_tokens.saturating_sub(tokens_max);
        cached.unsettled_tokens += delivered_tokens;
    }

    /// Releases the tokens of `program` that this node does not use, as requested by another node.
    pub async fn release_unused(&self, program: &str) {
        let known = self.programs.borrow().get(program).cloned();
        let Some(known) = known else { return };
        let mut cached = known.lock().await;
        self.release_claim(program, &mut cached).await;
    }

    /// Releases the unused tokens of programs last used at or after `used_since`, a monotonic time;
    /// returns the number of rows written.
    pub async fn release_unused_since(&self, used_since: Duration) -> usize {
        let mut written = 0;
        for (program, known) in self.known_programs() {
            let mut cached = known.lock().await;
            if cached.used_at >= used_since && self.release_claim(&program, &mut cached).await {
                written += 1;
            }
        }
        written
    }

    /// Evicts programs without running turns that were last used before `used_before`, a monotonic
    /// time.
    ///
    /// Their claims stay in the rows. If such a program returns, its old claim is treated as
    /// delivered.
    pub fn evict_idle(&self, used_before: Duration) {
        self.programs.borrow_mut().retain(|_, known| {
            known
                .try_lock()
                .is_none_or(|cached| cached.running_tokens > 0 || cached.used_at >= used_before)
        });
    }

    /// Settles ended turns and releases the part of this node's claim that running turns do not
    /// use; returns whether the row was written.
    async fn release_claim(&self, program: &str, cached: &mut CachedLedger) -> bool {
        self.try_release_claim(program, cached).await.unwrap_or_else(|error| {
            log::warn!("event=settle_failed program={program} cause=\"{error}\"");
            false
        })
    }

    async fn try_release_claim(
        &self,
        program: &str,
        cached: &mut CachedLedger,
    ) -> Result<bool, ReserveError> {
        if !cached.pending.is_empty() {
            // The claim in the row may be larger than the known one.
            self.refresh(program, cached).await?;
        }
        for _ in 0..ATTEMPTS_MAX {
            if cached.own_claim(&self.claimant) == cached.running_tokens {
                return Ok(false);
            }
            let next = cached.with_turns_settled(&self.claimant);
            // If another node wrote first, the next attempt is based on its row.
            if self.write(program, cached, next).await? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn known_programs(&self) -> Vec<(String, Rc<Mutex<CachedLedger>>)> {
        let programs = self.programs.borrow();
        programs.iter().map(|(id, cached)| (id.clone(), Rc::clone(cached))).collect()
    }

    fn cached(&self, program: &str) -> Rc<Mutex<CachedLedger>> {
        let mut programs = self.programs.borrow_mut();
        Rc::clone(programs.entry(program.to_owned()).or_default())
    }

    /// Writes `next` if the row still has its last known version; returns whether it took effect.
    async fn write(
        &self,
        program: &str,
        cached: &mut CachedLedger,
        next: Ledger,
    ) -> Result<bool, ReserveError> {
        let write_id = cached.write_id_of(&next);
        let row = LedgerRow { ledger: next, write_id };
        let value = serde_json::to_vec(&row).map_err(|error| malformed(&error))?;
        // The caller may drop this future after the write was sent.
        let is_new = cached.add_pending(&row);
        let part = part_of(program, LEDGER_PARTS);
        let write = RowWrite {
            table: LEDGER_TABLE,
            part: &part,
            key: program,
            expected_version: cached.row_version,
            value: Some(&value),
        };
        match self.store.write(write).await {
            Ok(WriteOutcome::Written(version)) => {
                cached.is_loaded = true;
                cached.row_version = version;
                cached.write_id = write_id;
                cached.ledger = row.ledger;
                cached.unsettled_tokens = 0;
                cached.pending.clear();
                Ok(true)
            }
            Ok(WriteOutcome::Conflict(row)) => {
                cached.adopt(row, &self.claimant)?;
                // The row may come from an earlier attempt of this write whose answer was lost.
                Ok(cached.write_id == write_id)
            }
            Err(RowStoreError::AnswerLost { .. }) => {
                // The row shows whether the write took effect. If it is still in flight, it
                // conflicts with the next successful write.
                self.refresh(program, cached).await?;
                Ok(cached.write_id == write_id)
            }
            Err(source) => {
                let has_no_effect = !matches!(source, RowStoreError::Malformed { .. });
                if is_new && has_no_effect {
                    cached.pending.pop();
                }
                Err(ReserveError::Store { source })
            }
        }
    }

    async fn refresh(&self, program: &str, cached: &mut CachedLedger) -> Result<(), ReserveError> {
        let part = part_of(program, LEDGER_PARTS);
        let mut attempts_left = READ_ATTEMPTS_MAX;
        loop {
            attempts_left -= 1;
            match self.store.get(LEDGER_TABLE, &part, program).await {
                Ok(row) => return cached.adopt(row, &self.claimant),
                Err(RowStoreError::AnswerLost { .. }) if attempts_left > 0 => {}
                Err(source) => return Err(ReserveError::Store { source }),
            }
        }
    }
}
