//! Interface to a store of versioned rows, whose writes are conditional on the version of one row.
//!
//! For transactions over several rows, see [`crate::platform`].

use std::rc::Rc;

use async_trait::async_trait;
use snafu::Snafu;

/// A stored row with the version of the write that produced it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRow {
    /// Version assigned by the write; always greater than 0.
    pub version: u64,
    /// Stored bytes.
    pub value: Vec<u8>,
}

/// A row, or its removal, as reported by the store's change feed or a range read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Partition of the table.
    pub part: String,
    /// Key within the partition.
    pub key: String,
    /// Version assigned by the write.
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
    /// Partition of the table; writes to one partition are applied sequentially.
    pub part: &'a str,
    /// Key within the partition.
    pub key: &'a str,
    /// Version that the row must have; 0 requires that it does not exist.
    pub expected_version: u64,
    /// New value, or `None` to remove the row.
    pub value: Option<&'a [u8]>,
}

/// Outcome of a conditional write whose response was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; holds the row's new version.
    Written(u64),
    /// The row had a different version and was not written; holds the current row, if any.
    Conflict(Option<VersionedRow>),
}

/// Failure of a request to the store.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RowStoreError {
    /// The request was not sent.
    #[snafu(display("the store cannot be reached ({detail}); check its address and state"))]
    Unreachable {
        /// Cause as reported by the transport.
        detail: String,
    },
    /// The response was lost; the request may or may not have taken effect.
    #[snafu(display("the store's answer was lost ({detail}); read the row back"))]
    AnswerLost {
        /// Cause as reported by the transport.
        detail: String,
    },
    /// The store rejected the request without executing it.
    #[snafu(display("the store refused the call with status {status}; retry later"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The store rejected the request for its content, as it would again.
    #[snafu(display("the store rejected the call with status {status} ({detail}); correct it"))]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Explanation of the store.
        detail: String,
    },
    /// The store's response could not be decoded.
    #[snafu(display("the store's answer is malformed ({detail}); check its version"))]
    Malformed {
        /// Description of the fault.
        detail: String,
    },
}

/// Store of rows that all nodes share.
#[async_trait(?Send)]
pub trait RowStore {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached or rejects the request.
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
    /// Fails when the store cannot be reached or rejects the request; after
    /// [`RowStoreError::AnswerLost`] it is unknown whether the write took effect.
    async fn write(&self, write: RowWrite<'_>) -> Result<WriteOutcome, RowStoreError>;
}

/// A shared handle to the store.
pub type SharedRowStore = Rc<dyn RowStore>;

/// Returns the partition of `key` in a table with `part_count` partitions.
#[must_use]
pub fn part_of(key: &str, part_count: u64) -> String {
    format!("{:02x}", xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % part_count.max(1))
}
