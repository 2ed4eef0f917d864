//! Interfaces to the platform's table service, object store and VM list.

use std::rc::Rc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::Snafu;

/// Tables used by the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Table {
    /// The single row with the newest configuration and membership versions.
    Head,
    /// One row per node incarnation.
    Nodes,
    /// One row per shard.
    Shards,
    /// One row per journal commit.
    Journal,
    /// One row per configuration version.
    Configs,
    /// One row per team, with the shares of its limit that the nodes hold.
    Limits,
}

/// A stored row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key within its table.
    pub key: String,
    /// Version assigned by the write that produced the row; always greater than 0.
    pub version: u64,
    /// Stored value.
    pub value: Value,
}

/// Requires a row to be at a version when a transaction commits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// Expected version; 0 requires the row to be absent.
    pub version: u64,
}

/// Replaces or deletes a row when a transaction commits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// New value, or `None` to delete the row.
    pub value: Option<Value>,
}

/// A set of writes applied atomically if every condition holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes, applied atomically.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition.
    #[must_use]
    pub fn require(mut self, table: Table, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition { table, key: key.into(), version });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, table: Table, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(Write { table, key: key.into(), value: Some(value) });
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, table: Table, key: impl Into<String>) -> Self {
        self.writes.push(Write { table, key: key.into(), value: None });
        self
    }
}

/// Outcome of a transaction whose response was received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactionOutcome {
    /// All writes took effect; holds the new version shared by the written rows.
    Committed(u64),
    /// A condition failed and nothing was written.
    Conflict,
}

/// Failure of a platform request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlatformError {
    /// The request did not reach the service.
    #[snafu(display(
        "the platform cannot be reached ({detail}); check --platform and the platform's state"
    ))]
    Unreachable {
        /// Cause as reported by the transport.
        detail: String,
    },
    /// The response was lost; the request may or may not have taken effect.
    #[snafu(display(
        "the platform's answer was lost ({detail}); read the row back before relying on it"
    ))]
    AnswerLost {
        /// Cause as reported by the transport.
        detail: String,
    },
    /// The response or a stored value is malformed.
    #[snafu(display("the platform's answer is malformed ({detail}); check its version"))]
    Malformed {
        /// Description of the fault.
        detail: String,
    },
}

/// Result of a platform request.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// Transactional table service.
#[async_trait(?Send)]
pub trait TableService {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or its response is lost or malformed.
    async fn get(&self, table: Table, key: &str) -> PlatformResult<Option<Row>>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or its response is lost or malformed.
    async fn scan(
        &self,
        table: Table,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> PlatformResult<Vec<Row>>;

    /// Applies a conditional transaction.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached; after [`PlatformError::AnswerLost`] the
    /// transaction may have taken effect.
    async fn transact(&self, transaction: &Transaction) -> PlatformResult<TransactionOutcome>;
}

/// Object store for values too large for a table row.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Stores an object; storing the same key again replaces it.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached or its response is lost.
    async fn put(&self, key: &str, bytes: Vec<u8>) -> PlatformResult<()>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached or its response is lost.
    async fn get(&self, key: &str) -> PlatformResult<Option<Vec<u8>>>;

    /// Deletes an object; deleting an absent one succeeds.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached or its response is lost.
    async fn delete(&self, key: &str) -> PlatformResult<()>;
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be stopped.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

/// Entry of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address of the VM: a node's forward address or a backend server's address.
    pub address: String,
    /// State, possibly stale.
    pub state: VmState,
}

/// The platform's list of VMs, which may be stale.
#[async_trait(?Send)]
pub trait VmList {
    /// Returns the list as the platform currently reports it.
    ///
    /// # Errors
    ///
    /// Fails when the list cannot be read.
    async fn vms(&self) -> PlatformResult<Vec<Vm>>;
}

/// Platform services used by a node.
#[derive(Clone)]
pub struct Platform {
    /// Transactional tables.
    pub table: Rc<dyn TableService>,
    /// Object store.
    pub objects: Rc<dyn ObjectStore>,
}

/// Reads all rows whose keys start with `prefix` and sort after `after`, page by page.
///
/// # Errors
///
/// Fails when any page cannot be read.
pub async fn scan_all(
    table_service: &dyn TableService,
    table: Table,
    prefix: &str,
    after: &str,
) -> PlatformResult<Vec<Row>> {
    const PAGE_ROWS: usize = 500;
    let mut rows = Vec::new();
    let mut cursor = after.to_owned();
    loop {
        let page = table_service.scan(table, prefix, &cursor, PAGE_ROWS).await?;
        let complete = page.len() < PAGE_ROWS;
        if let Some(last) = page.last() {
            cursor.clone_from(&last.key);
        }
        rows.extend(page);
        if complete {
            return Ok(rows);
        }
    }
}

/// Query parameters for reading one row over HTTP.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeyQuery {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
}

/// Query parameters for reading a range of rows over HTTP.
#[derive(Debug, Serialize, Deserialize)]
pub struct ScanQuery {
    /// Table of the rows.
    pub table: Table,
    /// Prefix of the keys.
    pub prefix: String,
    /// Key after which the range starts, exclusive.
    pub after: String,
    /// Maximum number of rows to return.
    pub limit: usize,
}
