//! In-memory transactional tables, object store and VM list.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use dandelionfront_coordination::platform::{
    ObjectStore, Platform, PlatformResult, Row, Table, TableService, Transaction,
    TransactionOutcome, Vm, VmList,
};

use crate::http::lock;

#[derive(Debug, Default)]
struct Tables {
    rows: BTreeMap<(Table, String), Row>,
    version: u64,
}

/// Rows, objects and VM list in memory; every transaction is atomic.
#[derive(Debug, Default)]
pub struct MemoryTable {
    tables: Mutex<Tables>,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    vms: Mutex<Vec<Vm>>,
}

impl MemoryTable {
    /// Reads one row.
    #[must_use]
    pub fn read(&self, table: Table, key: &str) -> Option<Row> {
        lock(&self.tables).rows.get(&(table, key.to_owned())).cloned()
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`.
    #[must_use]
    pub fn read_range(&self, table: Table, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let tables = lock(&self.tables);
        let from = (table, if after > prefix { after } else { prefix }.to_owned());
        tables
            .rows
            .range(from..)
            .take_while(|((row_table, key), _)| *row_table == table && key.starts_with(prefix))
            .filter(|((_, key), _)| key.as_str() > after)
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies a transaction if all its conditions hold.
    pub fn apply(&self, transaction: &Transaction) -> TransactionOutcome {
        let mut tables = lock(&self.tables);
        let conditions_hold = transaction.conditions.iter().all(|condition| {
            let row = tables.rows.get(&(condition.table, condition.key.clone()));
            row.map_or(0, |row| row.version) == condition.version
        });
        if !conditions_hold {
            return TransactionOutcome::Conflict;
        }
        tables.version += 1;
        let version = tables.version;
        for write in &transaction.writes {
            let key = (write.table, write.key.clone());
            match &write.value {
                Some(value) => {
                    let row = Row { key: write.key.clone(), version, value: value.clone() };
                    tables.rows.insert(key, row);
                }
                None => drop(tables.rows.remove(&key)),
            }
        }
        TransactionOutcome::Committed(version)
    }

    /// Stores an object.
    pub fn put_object(&self, key: &str, bytes: Vec<u8>) {
        lock(&self.objects).insert(key.to_owned(), bytes);
    }

    /// Reads an object.
    #[must_use]
    pub fn get_object(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.objects).get(key).cloned()
    }

    /// Deletes an object.
    pub fn delete_object(&self, key: &str) {
        lock(&self.objects).remove(key);
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        *lock(&self.vms) = vms;
    }

    /// Returns the VM list.
    #[must_use]
    pub fn list_vms(&self) -> Vec<Vm> {
        lock(&self.vms).clone()
    }

    /// Returns the platform's services, backed by this memory.
    #[must_use]
    pub fn platform(self: &Arc<Self>) -> Platform {
        let service = Rc::new(MemoryPlatform(Arc::clone(self)));
        Platform { table: Rc::clone(&service) as _, objects: service }
    }
}

/// Platform services that call a [`MemoryTable`] directly.
#[derive(Debug, Clone)]
pub struct MemoryPlatform(pub Arc<MemoryTable>);

#[async_trait(?Send)]
impl TableService for MemoryPlatform {
    async fn get(&self, table: Table, key: &str) -> PlatformResult<Option<Row>> {
        Ok(self.0.read(table, key))
    }

    async fn scan(
        &self,
        table: Table,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> PlatformResult<Vec<Row>> {
        Ok(self.0.read_range(table, prefix, after, limit))
    }

    async fn transact(&self, transaction: &Transaction) -> PlatformResult<TransactionOutcome> {
        Ok(self.0.apply(transaction))
    }
}

#[async_trait(?Send)]
impl ObjectStore for MemoryPlatform {
    async fn put(&self, key: &str, bytes: Vec<u8>) -> PlatformResult<()> {
        self.0.put_object(key, bytes);
        Ok(())
    }

    async fn get(&self, key: &str) -> PlatformResult<Option<Vec<u8>>> {
        Ok(self.0.get_object(key))
    }

    async fn delete(&self, key: &str) -> PlatformResult<()> {
        self.0.delete_object(key);
        Ok(())
    }
}

#[async_trait(?Send)]
impl VmList for MemoryPlatform {
    async fn vms(&self) -> PlatformResult<Vec<Vm>> {
        Ok(self.0.list_vms())
    }
}
