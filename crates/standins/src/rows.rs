//! In-memory store of versioned rows, with injected faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use dandelionfront_coordination::rows::{
    RowChange, RowStore, RowStoreError, RowWrite, VersionedRow, WriteOutcome,
};

use crate::faults::consume_one;
use crate::http::lock;

/// Table, partition and key of a row.
pub type RowName = (String, String, String);

/// Faults to inject into [`MemoryRows`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RowFaults {
    /// Refuses every call with status 503.
    pub outage: bool,
    /// Number of upcoming writes that take effect but fail with [`RowStoreError::AnswerLost`].
    pub lose_answers: u32,
    /// Number of upcoming writes that fail with [`RowStoreError::AnswerLost`] and take no effect.
    pub lose_writes: u32,
    /// Number of upcoming writes that are refused with status 503.
    pub refuse_writes: u32,
    /// Number of upcoming reads that fail with [`RowStoreError::AnswerLost`].
    pub lose_reads: u32,
    /// Number of upcoming writes that take effect and never return.
    pub hang_writes: u32,
}

/// Versioned rows of all tables, with the history of their changes.
#[derive(Debug, Default)]
pub struct RowTables {
    rows: BTreeMap<RowName, VersionedRow>,
    /// Changed rows with the version of each change, oldest first.
    history: Vec<(RowName, u64)>,
    version: u64,
    /// Changes up to this version are no longer available.
    truncated_version: u64,
}

/// Writes of one transaction; `None` removes the row.
pub type RowUpdates = Vec<(RowName, Option<Vec<u8>>)>;

impl RowTables {
    /// Applies `updates` if each row in `expected` has the version given there, where 0 means that
    /// the row is absent, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns the rows in `expected` that exist, in their current state, if the version of any row
    /// differs.
    pub fn transact(
        &mut self,
        expected: &[(RowName, u64)],
        updates: RowUpdates,
    ) -> Result<u64, Vec<(RowName, VersionedRow)>> {
        let version_of = |name: &RowName| self.rows.get(name).map_or(0, |row| row.version);
        if expected.iter().any(|(name, version)| version_of(name) != *version) {
            let current = expected
                .iter()
                .filter_map(|(name, _)| self.rows.get(name).map(|row| (name.clone(), row.clone())));
            return Err(current.collect());
        }
        self.version += 1;
        for (name, value) in updates {
            match value {
                Some(value) => {
                    let row = VersionedRow { version: self.version, value };
                    self.rows.insert(name.clone(), row);
                }
                None => drop(self.rows.remove(&name)),
            }
            self.history.push((name, self.version));
        }
        Ok(self.version)
    }

    /// Returns the rows of a partition in key order, starting at the key `from`.
    pub fn range<'a>(
        &'a self,
        table: &'a str,
        part: &'a str,
        from: &'a str,
    ) -> impl Iterator<Item = (&'a RowName, &'a VersionedRow)> {
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        self.rows.range(start..).take_while(move |(name, _)| name.0 == table && name.1 == part)
    }

    /// Returns the latest change of each row of `table` that changed after `version`, or `None` if
    /// changes after `version` were truncated.
    ///
    /// Limitation: changes are keyed by version, so of several rows of `table` changed by one
    /// transaction, only the last one is returned.
    #[must_use]
    pub fn changes(&self, table: &str, version: u64) -> Option<Vec<RowChange>> {
        if version < self.truncated_version {
            return None;
        }
        let mut newest: BTreeMap<u64, &RowName> = BTreeMap::new();
        for (name, changed_at) in &self.history {
            if name.0 == table && *changed_at > version {
                newest.retain(|_, other| *other != name);
                newest.insert(*changed_at, name);
            }
        }
        let change = |(changed_at, name): (u64, &RowName)| {
            let row = self.rows.get(name);
            RowChange {
                part: name.1.clone(),
                key: name.2.clone(),
                version: changed_at,
                value: row.map(|row| row.value.clone()),
                is_removed: row.is_none(),
            }
        };
        Some(newest.into_iter().map(change).collect())
    }

    /// Makes all changes up to the current version unavailable.
    pub fn truncate_history(&mut self) {
        self.truncated_version = self.version;
    }

    /// Returns the version of the latest committed transaction, or 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// In-memory [`RowStore`] for tests of the coordination library; clones share their rows.
#[derive(Debug, Clone, Default)]
pub struct MemoryRows {
    tables: Arc<Mutex<RowTables>>,
    faults: Arc<Mutex<RowFaults>>,
    writes: Arc<Mutex<u64>>,
    reads: Arc<Mutex<u64>>,
}

impl MemoryRows {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: RowFaults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the number of write calls received outside outages, including conflicting and lost
    /// ones.
    #[must_use]
    pub fn write_count(&self) -> u64 {
        *lock(&self.writes)
    }

    /// Returns the number of reads received outside outages, including lost ones.
    #[must_use]
    pub fn read_count(&self) -> u64 {
        *lock(&self.reads)
    }

    fn check_available(&self) -> Result<(), RowStoreError> {
        if lock(&self.faults).outage {
            return Err(RowStoreError::Refused { status: 503 });
        }
        Ok(())
    }
}

#[async_trait(?Send)]
impl RowStore for MemoryRows {
    async fn get(
        &self,
        table: &str,
        part: &str,
        key: &str,
    ) -> Result<Option<VersionedRow>, RowStoreError> {
        self.check_available()?;
        *lock(&self.reads) += 1;
        if consume_one(&mut lock(&self.faults).lose_reads) {
            return Err(answer_lost());
        }
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        Ok(lock(&self.tables).rows.get(&name).cloned())
    }

    async fn write(&self, write: RowWrite<'_>) -> Result<WriteOutcome, RowStoreError> {
        self.check_available()?;
        *lock(&self.writes) += 1;
        if consume_one(&mut lock(&self.faults).refuse_writes) {
            return Err(RowStoreError::Refused { status: 503 });
        }
        if consume_one(&mut lock(&self.faults).lose_writes) {
            return Err(answer_lost());
        }
        let name = (write.table.to_owned(), write.part.to_owned(), write.key.to_owned());
        let updates = vec![(name.clone(), write.value.map(<[u8]>::to_vec))];
        let outcome = lock(&self.tables).transact(&[(name, write.expected_version)], updates);
        let hangs = consume_one(&mut lock(&self.faults).hang_writes);
        if hangs {
            std::future::pending::<()>().await;
        }
        if consume_one(&mut lock(&self.faults).lose_answers) {
            return Err(answer_lost());
        }
        Ok(match outcome {
            Ok(version) => WriteOutcome::Written(version),
            Err(rows) => WriteOutcome::Conflict(rows.into_iter().next().map(|(_, row)| row)),
        })
    }
}

fn answer_lost() -> RowStoreError {
    RowStoreError::AnswerLost { detail: "injected fault".to_owned() }
}
