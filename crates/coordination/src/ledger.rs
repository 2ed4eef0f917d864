//! Token budgets of programs, kept in one row a program.
//!
//! A node starts a turn only within tokens that it claimed in the row before, so the sum over all
//! nodes stays within the budget whatever fails. A claim covers a few turns ahead: one write then
//! serves several turns, and a program that has begun goes on while the store is away. What a
//! node did not use is given back by its next write.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use futures_util::lock::Mutex;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::clock::Clock;
use crate::rows::{RowRead, RowStoreError, RowWrite, SharedRowStore, VersionedRow, part_of};

/// Table of the ledgers.
pub const LEDGER_TABLE: &str = "ledgers";
/// Parts of the table; one part carries 200 writes a second, and the store 800 in all.
const LEDGER_PARTS: u64 = 64;
/// Conflicts after which a reservation is given up; each means that another node wrote.
const CONFLICTS_MAX: u32 = 16;

/// Reads after which a row whose answers are lost counts as unreadable.
const READ_TRIES: u32 = 4;
/// Turns that a claim covers beside the one that asked for it, while the budget is ample.
const TURNS_AHEAD: u64 = 2;
/// Turns that the unclaimed budget must hold for a claim ahead: calls of one program reach many
/// nodes, and each may keep a claim for a while.
const AMPLE_TURNS: u64 = 10;
/// Turns below which the unclaimed budget is tight, so that unused tokens are given back at once.
const TIGHT_TURNS: u64 = 3;

/// Identifier of one run of a node, as in claims.
pub type ClaimantId = String;

/// Contents of a program's row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Tokens delivered by turns whose end is recorded.
    #[serde(rename = "settled")]
    pub settled_tokens: u64,
    /// Further tokens that each node may deliver.
    #[serde(rename = "claims")]
    pub claimed_tokens: BTreeMap<ClaimantId, u64>,
}

impl Ledger {
    /// Returns the most tokens that have been or may still be delivered.
    #[must_use]
    pub fn committed_tokens(&self) -> u64 {
        self.settled_tokens.saturating_add(self.claimed_tokens.values().sum())
    }

    fn set_claim(&mut self, claimant: &str, tokens: u64) {
        if tokens == 0 {
            self.claimed_tokens.remove(claimant);
        } else {
            self.claimed_tokens.insert(claimant.to_owned(), tokens);
        }
    }
}

/// Why a turn may not start.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReserveError {
    /// The budget does not hold another turn.
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
    /// Whether the budget holds another turn cannot be told.
    #[snafu(display("the program's budget cannot be read: {source}; retry later"))]
    Store {
        /// Cause.
        source: RowStoreError,
    },
    /// Other nodes kept writing the row.
    #[snafu(display("the program's budget is contended; retry later"))]
    Contended,
}

#[derive(Debug, Default)]
struct Cached {
    row_version: u64,
    ledger: Ledger,
    /// Tokens delivered by ended turns within the claim, not yet settled in the row.
    used_tokens: u64,
    /// Most tokens of the turns under way.
    running_tokens: u64,
    used_at: Duration,
    /// Whether the budget was nearly claimed when this node last claimed.
    is_tight: bool,
    /// A write whose answer was lost: it may take effect seconds later.
    pending: Option<PendingWrite>,
}

#[derive(Debug)]
struct PendingWrite {
    ledger: Ledger,
    /// Used tokens that the write settles.
    used_tokens: u64,
}

impl Cached {
    /// Returns the row as it would be with this node's claim reduced to what runs.
    fn settled(&self, claimant: &str) -> Ledger {
        let mut next = self.ledger.clone();
        next.settled_tokens = next.settled_tokens.saturating_add(self.used_tokens);
        next.set_claim(claimant, self.running_tokens);
        next
    }

    fn own_claim(&self, claimant: &str) -> u64 {
        self.ledger.claimed_tokens.get(claimant).copied().unwrap_or_default()
    }
}

/// Times after which unused programs are written back and forgotten.
#[derive(Debug, Clone, Copy)]
pub struct FlushTimes {
    /// Time after which an unused claim is given back.
    pub release: Duration,
    /// The same for a program whose budget is nearly claimed.
    pub release_tight: Duration,
    /// Time after which an unused program is forgotten; its row stays.
    pub forget: Duration,
}

/// Ledgers of the programs that this node serves.
pub struct Ledgers {
    store: SharedRowStore,
    clock: Rc<dyn Clock>,
    claimant: ClaimantId,
    programs: RefCell<HashMap<String, Rc<Mutex<Cached>>>>,
}

impl Ledgers {
    /// Creates an empty cache over `store`; `claimant` must differ for each run of a node.
    #[must_use]
    pub fn new(store: SharedRowStore, clock: Rc<dyn Clock>, claimant: ClaimantId) -> Self {
        Self { store, clock, claimant, programs: RefCell::default() }
    }

    /// Reserves `most_tokens` for a turn of `program`; returns whether it is the program's first.
    ///
    /// # Errors
    ///
    /// Fails when the budget does not hold the turn or when that cannot be told.
    pub async fn reserve(
        &self,
        program: &str,
        most_tokens: u64,
        budget_tokens: u64,
    ) -> Result<bool, ReserveError> {
        let cached = self.cached(program);
        let mut cached = cached.lock().await;
        cached.used_at = self.clock.monotonic();
        let needed = cached.used_tokens + cached.running_tokens + most_tokens;
        if needed <= cached.own_claim(&self.claimant) {
            cached.running_tokens += most_tokens;
            return Ok(false);
        }
        let mut is_current = false;
        for _ in 0..CONFLICTS_MAX {
            let mut next = cached.settled(&self.claimant);
            let committed_tokens = next.committed_tokens();
            let Some(unclaimed) =
                budget_tokens.checked_sub(committed_tokens.saturating_add(most_tokens))
            else {
                // Another node may have given tokens back since the row was seen.
                if !is_current {
                    self.refresh(program, &mut cached).await?;
                    is_current = true;
                    continue;
                }
                log::info!(
                    "event=budget_spent program={program} row_version={} settled={} claims=\"{:?}\" \
                     budget={budget_tokens}",
                    cached.row_version,
                    next.settled_tokens,
                    next.claimed_tokens,
                );
                return Err(ReserveError::BudgetSpent { committed_tokens, budget_tokens });
            };
            let is_ample = unclaimed >= most_tokens.saturating_mul(AMPLE_TURNS);
            let ahead = if is_ample { most_tokens.saturating_mul(TURNS_AHEAD) } else { 0 };
            let claim = cached.running_tokens + most_tokens + ahead;
            next.set_claim(&self.claimant, claim);
            let is_first = cached.row_version == 0;
            is_current = true;
            if self.write(program, &mut cached, next).await? {
                log::info!(
                    "event=budget_claimed program={program} row_version={} settled={} claim={claim} \
                     unclaimed={} budget={budget_tokens}",
                    cached.row_version,
                    cached.ledger.settled_tokens,
                    unclaimed - ahead,
                );
                cached.running_tokens += most_tokens;
                cached.is_tight = unclaimed < most_tokens.saturating_mul(TIGHT_TURNS);
                return Ok(is_first);
            }
        }
        Err(ReserveError::Contended)
    }

    /// Records that a turn that reserved `most_tokens` ended after `delivered_tokens`.
    pub async fn settle(&self, program: &str, most_tokens: u64, delivered_tokens: u64) {
        let cached = self.cached(program);
        let mut cached = cached.lock().await;
        cached.used_at = self.clock.monotonic();
        cached.running_tokens = cached.running_tokens.saturating_sub(most_tokens);
        cached.used_tokens += delivered_tokens;
        if cached.is_tight {
            let next = cached.settled(&self.claimant);
            if let Err(error) = self.write(program, &mut cached, next).await {
                // The next round of flushes repeats it.
                log::warn!("event=settle_failed program={program} cause=\"{error}\"");
            }
        }
    }

    /// Gives back claims of unused programs and forgets programs; returns the rows written.
    pub async fn flush(&self, times: FlushTimes) -> usize {
        let now = self.clock.monotonic();
        let programs: Vec<(String, Rc<Mutex<Cached>>)> = {
            let programs = self.programs.borrow();
            programs.iter().map(|(id, cached)| (id.clone(), Rc::clone(cached))).collect()
        };
        let mut written = 0;
        for (program, cached) in programs {
            let Some(mut cached) = cached.try_lock() else { continue };
            let unused = now.saturating_sub(cached.used_at);
            let release = if cached.is_tight { times.release_tight } else { times.release };
            if cached.own_claim(&self.claimant) == cached.running_tokens {
                if unused >= times.forget && cached.running_tokens == 0 {
                    self.programs.borrow_mut().remove(&program);
                }
                continue;
            }
            if unused < release {
                continue;
            }
            let next = cached.settled(&self.claimant);
            match self.write(&program, &mut cached, next).await {
                Ok(true) => written += 1,
                // The row changed: the next round writes over the new one.
                Ok(false) => {}
                Err(error) => {
                    log::warn!("event=settle_failed program={program} cause=\"{error}\"");
                    return written;
                }
            }
        }
        written
    }

    fn cached(&self, program: &str) -> Rc<Mutex<Cached>> {
        let mut programs = self.programs.borrow_mut();
        Rc::clone(programs.entry(program.to_owned()).or_default())
    }

    /// Writes `next` over the row last seen; returns whether it took effect.
    async fn write(
        &self,
        program: &str,
        cached: &mut Cached,
        next: Ledger,
    ) -> Result<bool, ReserveError> {
        let value = serde_json::to_vec(&next).map_err(|error| malformed(&error))?;
        let part = part_of(program, LEDGER_PARTS);
        let write = RowWrite {
            table: LEDGER_TABLE,
            part: &part,
            key: program,
            expected_version: cached.row_version,
            value: Some(&value),
        };
        match self.store.write(write).await {
            Ok(RowRead::Written(version)) => {
                cached.row_version = version;
                cached.ledger = next;
                cached.used_tokens = 0;
                cached.pending = None;
                Ok(true)
            }
            Ok(RowRead::Conflict(row)) => {
                cached.adopt(row)?;
                Ok(cached.ledger == next)
            }
            Err(RowStoreError::AnswerLost { .. }) => {
                let used_tokens = cached.used_tokens;
                cached.pending = Some(PendingWrite { ledger: next.clone(), used_tokens });
                // The row tells whether the write took effect; if it comes later, its condition
                // fails against whatever is written next.
                self.refresh(program, cached).await?;
                Ok(cached.ledger == next)
            }
            Err(source) => Err(ReserveError::Store { source }),
        }
    }

    async fn refresh(&self, program: &str, cached: &mut Cached) -> Result<(), ReserveError> {
        let part = part_of(program, LEDGER_PARTS);
        let mut tries_left = READ_TRIES;
        loop {
            tries_left -= 1;
            match self.store.get(LEDGER_TABLE, &part, program).await {
                Ok(row) => return cached.adopt(row),
                Err(RowStoreError::AnswerLost { .. }) if tries_left > 0 => {}
                Err(source) => return Err(ReserveError::Store { source }),
            }
        }
    }
}

impl Cached {
    /// Takes over the current row.
    fn adopt(&mut self, row: Option<VersionedRow>) -> Result<(), ReserveError> {
        let (version, ledger) = match row {
            Some(row) => (
                row.version,
                serde_json::from_slice(&row.value).map_err(|error| malformed(&error))?,
            ),
            None => (0, Ledger::default()),
        };
        if let Some(pending) = self.pending.take_if(|pending| pending.ledger == ledger) {
            self.used_tokens = self.used_tokens.saturating_sub(pending.used_tokens);
        }
        self.row_version = version;
        self.ledger = ledger;
        Ok(())
    }
}

fn malformed(error: &serde_json::Error) -> ReserveError {
    ReserveError::Store { source: RowStoreError::Malformed { detail: error.to_string() } }
}
