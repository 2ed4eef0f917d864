//! Token budgets of programs, kept in one row a program.
//!
//! A turn starts only after its most tokens were reserved in the row, so the sum over all nodes
//! stays within the budget whatever fails; what a turn did not use is given back by the node's
//! next write of the row.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use futures_util::lock::Mutex;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::clock::Clock;
use crate::request::RequestId;
use crate::rows::{RowRead, RowStoreError, RowWrite, SharedRowStore, VersionedRow, part_of};

/// Table of the ledgers.
pub const LEDGER_TABLE: &str = "ledgers";
/// Parts of the table; one part carries 200 writes a second, and the store 800 in all.
const LEDGER_PARTS: u64 = 64;
/// Conflicts after which a reservation is given up; each means that another node wrote.
const CONFLICTS_MAX: u32 = 16;

/// Contents of a program's row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Tokens delivered by turns whose end is recorded.
    #[serde(rename = "settled")]
    pub settled_tokens: u64,
    /// Most tokens of each turn whose end is not recorded, by request.
    #[serde(rename = "open")]
    pub open_tokens: BTreeMap<RequestId, u64>,
}

impl Ledger {
    /// Returns the most tokens that have been or may still be delivered.
    #[must_use]
    pub fn committed_tokens(&self) -> u64 {
        self.settled_tokens.saturating_add(self.open_tokens.values().sum())
    }

    fn settle(&mut self, settlements: &BTreeMap<RequestId, u64>) {
        for (request, delivered_tokens) in settlements {
            if self.open_tokens.remove(request).is_some() {
                self.settled_tokens = self.settled_tokens.saturating_add(*delivered_tokens);
            }
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
    /// Tokens delivered by ended turns, not yet in the row.
    settlements: BTreeMap<RequestId, u64>,
    used_at: Duration,
}

/// Ledgers of the programs that this node serves.
pub struct Ledgers {
    store: SharedRowStore,
    clock: Rc<dyn Clock>,
    programs: RefCell<HashMap<String, Rc<Mutex<Cached>>>>,
}

impl Ledgers {
    /// Creates an empty cache over `store`.
    #[must_use]
    pub fn new(store: SharedRowStore, clock: Rc<dyn Clock>) -> Self {
        Self { store, clock, programs: RefCell::default() }
    }

    /// Reserves `most_tokens` for the turn `request` of `program`; returns whether it is the
    /// program's first.
    ///
    /// # Errors
    ///
    /// Fails when the budget does not hold the turn or when that cannot be told.
    pub async fn reserve(
        &self,
        program: &str,
        request: &str,
        most_tokens: u64,
        budget_tokens: u64,
    ) -> Result<bool, ReserveError> {
        let cached = self.cached(program);
        let mut cached = cached.lock().await;
        cached.used_at = self.clock.monotonic();
        let mut is_current = false;
        for _ in 0..CONFLICTS_MAX {
            let mut next = cached.ledger.clone();
            next.settle(&cached.settlements);
            let committed_tokens = next.committed_tokens();
            if committed_tokens.saturating_add(most_tokens) > budget_tokens {
                // Another node may have given tokens back since the row was seen.
                if !is_current {
                    self.refresh(program, &mut cached).await?;
                    is_current = true;
                    continue;
                }
                return Err(ReserveError::BudgetSpent { committed_tokens, budget_tokens });
            }
            let is_first = cached.row_version == 0;
            next.open_tokens.insert(request.to_owned(), most_tokens);
            is_current = true;
            if self.write(program, &mut cached, next).await? {
                return Ok(is_first);
            }
        }
        Err(ReserveError::Contended)
    }

    /// Records that the turn `request` delivered `delivered_tokens` and ended.
    pub async fn settle(&self, program: &str, request: &str, delivered_tokens: u64) {
        let cached = self.cached(program);
        let mut cached = cached.lock().await;
        cached.used_at = self.clock.monotonic();
        cached.settlements.insert(request.to_owned(), delivered_tokens);
    }

    /// Writes settlements of programs unused for `idle`, and forgets programs unused for
    /// `forget_after`; returns the number of rows written.
    pub async fn flush(&self, idle: Duration, forget_after: Duration) -> usize {
        let now = self.clock.monotonic();
        let programs: Vec<(String, Rc<Mutex<Cached>>)> = {
            let programs = self.programs.borrow();
            programs.iter().map(|(id, cached)| (id.clone(), Rc::clone(cached))).collect()
        };
        let mut written = 0;
        for (program, cached) in programs {
            let Some(mut cached) = cached.try_lock() else { continue };
            if cached.settlements.is_empty() {
                if now >= cached.used_at + forget_after {
                    self.programs.borrow_mut().remove(&program);
                }
                continue;
            }
            if now < cached.used_at + idle {
                continue;
            }
            let mut next = cached.ledger.clone();
            next.settle(&cached.settlements);
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
        let value = serde_json::to_vec(&next).map_err(malformed)?;
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
                cached.settlements.clear();
                Ok(true)
            }
            Ok(RowRead::Conflict(row)) => {
                adopt(cached, row)?;
                Ok(false)
            }
            Err(RowStoreError::AnswerLost { .. }) => {
                // The row tells whether the write took effect; if it comes later, its condition
                // fails against whatever is written next.
                self.refresh(program, cached).await?;
                if cached.ledger == next {
                    cached.settlements.clear();
                    return Ok(true);
                }
                Ok(false)
            }
            Err(source) => Err(ReserveError::Store { source }),
        }
    }

    async fn refresh(&self, program: &str, cached: &mut Cached) -> Result<(), ReserveError> {
        let part = part_of(program, LEDGER_PARTS);
        let row = self.store.get(LEDGER_TABLE, &part, program).await;
        adopt(cached, row.map_err(|source| ReserveError::Store { source })?)
    }
}

fn adopt(cached: &mut Cached, row: Option<VersionedRow>) -> Result<(), ReserveError> {
    let (version, ledger) = match row {
        Some(row) => (row.version, serde_json::from_slice(&row.value).map_err(malformed)?),
        None => (0, Ledger::default()),
    };
    cached.row_version = version;
    cached.ledger = ledger;
    Ok(())
}

fn malformed(error: serde_json::Error) -> ReserveError {
    ReserveError::Store { source: RowStoreError::Malformed { detail: error.to_string() } }
}
