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
    /// Refuses every call.
    pub outage: bool,
    /// Number of further writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Number of further writes that are lost before they take effect.
    pub lose_writes: u32,
}

/// The rows of all tables, with the history of their changes.
#[derive(Debug, Default)]
pub struct RowTable {
    rows: BTreeMap<RowName, VersionedRow>,
    history: Vec<(RowName, u64)>,
    version: u64,
    /// Changes up to this version are no longer available.
    truncated_version: u64,
}

/// Writes of one transaction; `None` removes the row.
pub type RowUpdates = Vec<(RowName, Option<Vec<u8>>)>;

impl RowTable {
    /// Applies `updates` if each row in `expected` has the version given there, and returns the new
    /// version.
    ///
    /// # Errors
    ///
    /// Returns the current state of the rows in `expected` if any has a different version.
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

    /// Returns the rows of a partition, starting at the key `from`.
    pub fn range<'a>(
        &'a self,
        table: &'a str,
        part: &'a str,
        from: &'a str,
    ) -> impl Iterator<Item = (&'a RowName, &'a VersionedRow)> {
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        self.rows.range(start..).take_while(move |(name, _)| name.0 == table && name.1 == part)
    }

    /// Returns the newest change of each row of `table` changed after `version`, or `None` if the
    /// history does not reach back that far.
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

    /// Returns the version of the newest transaction.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// In-memory [`RowStore`] for tests of the coordination library; clones share their rows.
#[derive(Debug, Clone, Default)]
pub struct MemoryRows {
    table: Arc<Mutex<RowTable>>,
    faults: Arc<Mutex<RowFaults>>,
    writes: Arc<Mutex<u64>>,
}

impl MemoryRows {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: RowFaults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the number of write calls that were not refused.
    #[must_use]
    pub fn write_count(&self) -> u64 {
        *lock(&self.writes)
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
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        Ok(lock(&self.table).rows.get(&name).cloned())
    }

    async fn write(&self, write: RowWrite<'_>) -> Result<WriteOutcome, RowStoreError> {
        self.check_available()?;
        *lock(&self.writes) += 1;
        let answer_lost = RowStoreError::AnswerLost { detail: "fault".to_owned() };
        if consume_one(&mut lock(&self.faults).lose_writes) {
            return Err(answer_lost);
        }
        let name = (write.table.to_owned(), write.part.to_owned(), write.key.to_owned());
        let updates = vec![(name.clone(), write.value.map(<[u8]>::to_vec))];
        let outcome = lock(&self.table).transact(&[(name, write.expected_version)], updates);
        if consume_one(&mut lock(&self.faults).lose_answers) {
            return Err(answer_lost);
        }
        Ok(match outcome {
            Ok(version) => WriteOutcome::Written(version),
            Err(rows) => WriteOutcome::Conflict(rows.into_iter().next().map(|(_, row)| row)),
        })
    }
}
