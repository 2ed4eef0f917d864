//! Refused requests in the platform's store, so that they stay refused when all nodes start anew.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dandelionfront_coordination::crashes::{CRASH_RETENTION, LostRequest, RequestKeys};
use dandelionfront_coordination::rows::{RowStore as _, RowStoreError, RowWrite, WriteOutcome};
use serde::{Deserialize, Serialize};

use super::node::FrontNode;

/// Table of the refused requests.
const QUARANTINE_TABLE: &str = "quarantine";
/// Maximum number of lost requests in a row.
const STORED_LOSSES_MAX: usize = 64;
/// Delay before a failed write is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of writes of the same evidence.
const WRITES_MAX: u32 = 60;

/// Row with the evidence against a request.
///
/// Nodes of different builds read it, so its fields do not change.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::front) struct StoredEvidence {
    /// Unix time at which the row was written.
    written_unix_ms: u64,
    /// Lost requests, with their ages at that time.
    lost: Vec<LostRequest>,
}

/// Stores the evidence against `request`, in the background.
pub fn store(node: &Rc<FrontNode>, request: RequestKeys) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let mut expected_version = 0;
        for _ in 0..WRITES_MAX {
            match write(&node, request, expected_version).await {
                Ok(WriteOutcome::Written(_)) => return,
                Ok(WriteOutcome::Conflict(row)) => {
                    expected_version = row.map_or(0, |row| row.version);
                }
                Err(error) => {
                    log::info!(
                        "event=quarantine_not_stored fingerprint={:016x} cause=\"{error}\"",
                        request.exact,
                    );
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    });
}

async fn write(
    node: &FrontNode,
    request: RequestKeys,
    expected_version: u64,
) -> Result<WriteOutcome, RowStoreError> {
    let now = node.clock.monotonic_now();
    let lost = node.crashes.borrow().losses_of(request, STORED_LOSSES_MAX, now);
    let evidence = StoredEvidence { written_unix_ms: unix_ms(), lost };
    let value = postcard::to_allocvec(&evidence)
        .map_err(|error| RowStoreError::Malformed { detail: error.to_string() })?;
    let key = format!("{:016x}", request.path);
    let (table, part) = (QUARANTINE_TABLE, "");
    let value = Some(value.as_slice());
    node.store.write(RowWrite { table, part, key: &key, expected_version, value }).await
}

/// Reads the evidence against refused requests, and removes what is too old.
///
/// # Errors
///
/// Fails when the store cannot be read.
pub async fn read(node: &FrontNode) -> Result<(), RowStoreError> {
    let (rows, _) = node.store.read_part(QUARANTINE_TABLE, "").await?;
    for row in rows {
        let value = row.value.unwrap_or_default();
        let lost = match postcard::from_bytes(&value) {
            Ok(evidence) => lost_now(evidence),
            Err(error) => {
                log::warn!("event=quarantine_malformed row={} cause=\"{error}\"", row.key);
                continue;
            }
        };
        if lost.is_empty() {
            let (table, part, key) = (QUARANTINE_TABLE, "", row.key.as_str());
            let removal = RowWrite { table, part, key, expected_version: row.version, value: None };
            // Another node that starts removes it if this fails.
            let is_removed = node.store.write(removal).await.is_ok();
            log::info!("event=quarantine_expired path_key={} removed={is_removed}", row.key);
            continue;
        }
        log::info!("event=quarantine_read path_key={} lost={}", row.key, lost.len());
        node.crashes.borrow_mut().note_lost(&lost, node.clock.monotonic_now());
    }
    Ok(())
}

/// Returns the lost requests that are not too old, with their ages of now.
fn lost_now(evidence: StoredEvidence) -> Vec<LostRequest> {
    let stored_for_ms = unix_ms().saturating_sub(evidence.written_unix_ms);
    let stored_for_ms = u32::try_from(stored_for_ms).unwrap_or(u32::MAX);
    let aged = evidence
        .lost
        .into_iter()
        .map(|lost| LostRequest { age_ms: lost.age_ms.saturating_add(stored_for_ms), ..lost });
    aged.filter(|lost| u128::from(lost.age_ms) < CRASH_RETENTION.as_millis()).collect()
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
