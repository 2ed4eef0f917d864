//! Interface to a store of versioned rows.

use std::rc::Rc;

use async_trait::async_trait;
use snafu::Snafu;

/// A stored row with the version of the write that produced it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRow {
    /// Number of the write; always above 0.
    pub version: u64,
    /// Stored bytes.
    pub value: Vec<u8>,
}

/// A row as a feed or a range read returns it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Part of the table.
    pub part: String,
    /// Key within the part.
    pub key: String,
    /// Number of the write.
    pub version: u64,
    /// Stored bytes; `None` when the row was removed or its value cannot be decoded.
    pub value: Option<Vec<u8>>,
    /// Whether the row was removed.
    pub is_removed: bool,
}

/// A write of one row, conditional on its version.
#[derive(Debug, Clone, Copy)]
pub struct RowWrite<'a> {
    /// Table of the row.
    pub table: &'a str,
    /// Part of the table; writes to one part are applied one after another.
    pub part: &'a str,
    /// Key within the part.
    pub key: &'a str,
    /// Version that the row must have; 0 requires that it does not exist.
    pub expected_version: u64,
    /// New value, or `None` to remove the row.
    pub value: Option<&'a [u8]>,
}

/// Definite outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; holds the row's new version.
    Written(u64),
    /// The row had another version, and nothing was written; holds the current row, if any.
    Conflict(Option<VersionedRow>),
}

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RowStoreError {
    /// Nothing was sent.
    #[snafu(display("the store cannot be reached ({detail}); check its address and state"))]
    Unreachable {
        /// Cause as reported by the transport.
        detail: String,
    },
    /// The call may or may not have taken effect.
    #[snafu(display("the store's answer was lost ({detail}); read the row back"))]
    AnswerLost {
        /// Cause as reported by the transport.
        detail: String,
    },
    /// The store refused the call, and nothing was done.
    #[snafu(display("the store refused the call with status {status}; retry later"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The store answered in an unknown form.
    #[snafu(display("the store's answer is malformed ({detail}); check its version"))]
    Malformed {
        /// What was wrong.
        detail: String,
    },
}

/// Rows that the fleet shares.
#[async_trait(?Send)]
pub trait RowStore {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached or refuses the call.
    async fn get(
        &self,
        table: &str,
        part: &str,
        key: &str,
    ) -> Result<Option<VersionedRow>, RowStoreError>;

    /// Writes one row if it has the expected version.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached or refuses the call;
    /// [`RowStoreError::AnswerLost`] leaves open whether the write took effect.
    async fn write(&self, write: RowWrite<'_>) -> Result<WriteOutcome, RowStoreError>;
}

/// A shared handle to the store.
pub type SharedRowStore = Rc<dyn RowStore>;

/// Returns the part that `key` belongs to, out of `parts`.
#[must_use]
pub fn part_of(key: &str, parts: u64) -> String {
    format!("{:02x}", xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % parts.max(1))
}
