//! Tasks that follow changes to the operator's configuration and to the backend server list.

use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::routing::RoutingTable;
use dandelionfront_coordination::rows::{RowChange, RowStoreError};
use dandelionfront_coordination::servers::{ServerChange, ServerEntry};
use dandelionfront_coordination::zones::ZoneState;
use dandelionfront_platform::store::{CONFIG_KEY, FeedReply, OPERATOR_TABLE, SERVERS_TABLE};
use dandelionfront_platform::{config, servers, zones};
use rand::Rng as _;

use crate::front::process::FrontNode;

/// Maximum wait of one call for a new configuration; each response also confirms that the active
/// configuration is current.
const CONFIG_POLL_WAIT: Duration = Duration::from_secs(1);
/// Interval between reads of changes to the backend server list; a third of the time within which
/// requests to a draining server must stop.
const SERVERS_POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Range of the random delay after a failed call, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 50..250;

/// Position in the changes of one table.
#[derive(Debug, Default)]
struct Cursor {
    /// Version to continue from; `None` until the whole table has been read, and again after the
    /// store has dropped the changes.
    version: Option<u64>,
    /// Newest version seen; responses with an older one are stale.
    newest: u64,
    /// Reads that failed since the last successful one.
    failures: u32,
    /// Time of the first of them.
    failing_since: Option<Duration>,
}

impl Cursor {
    fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Advances to the version of a response; returns `false` if the response is stale.
    fn advance(&mut self, version: u64) -> bool {
        if version < self.newest {
            return false;
        }
        self.newest = version;
        self.version = Some(version);
        true
    }
}

/// All rows of a table, or the changes since an earlier read.
enum Update {
    Snapshot(Vec<RowChange>),
    Changes(Vec<RowChange>),
}

/// Follows the operator's configuration until the process ends.
pub async fn follow_config(node: Rc<FrontNode>) {
    let mut cursor = Cursor::default();
    let mut last_read_at = None;
    let mut is_newest_readable = true;
    loop {
        let requested_at = node.clock.boot_now();
        // After a failure, the call does not wait, so that its response confirms at once that the
        // configuration is current.
        let wait = if cursor.is_failing() { Duration::ZERO } else { CONFIG_POLL_WAIT };
        match read(&node, &mut cursor, OPERATOR_TABLE, wait).await {
            Ok(Some(update)) => {
                let now = node.clock.boot_now();
                let since_read =
                    last_read_at.replace(now).map(|read_at| now.saturating_sub(read_at));
                let states = zone_states(&node, &update, cursor.newest);
                node.peers.note_zone_states(&node, &states, since_read);
                let (Update::Snapshot(rows) | Update::Changes(rows)) = update;
                for row in rows.iter().filter(|row| row.key == CONFIG_KEY) {
                    is_newest_readable = adopt_config(&node, row, now.saturating_sub(requested_at));
                }
                // A configuration that cannot be read may withdraw keys.
                if is_newest_readable {
                    node.confirm_config(requested_at);
                }
            }
            Ok(None) => {
                log::warn!("event=stale_answer table={OPERATOR_TABLE}");
                delay_retry(&node).await;
            }
            Err(_) => {
                node.peers.ask_for_zones(&node);
                delay_retry(&node).await;
            }
        }
    }
}

/// Returns what a read of the operator's table at `version` says of zones.
fn zone_states(node: &FrontNode, update: &Update, version: u64) -> Vec<ZoneState> {
    let decode = |rows: &[RowChange]| -> Vec<ZoneState> {
        rows.iter().filter_map(|row| zones::decode(row, version)).collect()
    };
    match update {
        Update::Snapshot(rows) => node.servers.borrow().zones().complete(decode(rows), version),
        Update::Changes(rows) => decode(rows),
    }
}

/// Adopts the configuration in `row` if it is newer; `read_time` is the duration of the read, with
/// the wait for the change. Returns whether it could be read; a removed one changes nothing.
fn adopt_config(node: &FrontNode, row: &RowChange, read_time: Duration) -> bool {
    let Some(value) = &row.value else { return row.is_removed };
    match config::decode(value) {
        Ok(table) => {
            let (version, known) = (table.version(), node.table().version());
            let is_newer = version > known;
            log::info!(
                "event=config_seen version={version} previous={known} row_version={} adopted={is_newer} \
                 bytes={} read_ms={}",
                row.version,
                value.len(),
                read_time.as_millis(),
            );
            if is_newer {
                node.metrics.config.bytes.set(i64::try_from(value.len()).unwrap_or(i64::MAX));
                node.adopt_table(table);
            }
            true
        }
        Err(error) => {
            log::error!(
                "event=config_malformed row_version={} cause=\"{error}\" kept_version={}",
                row.version,
                node.table().version(),
            );
            false
        }
    }
}

/// Follows the list of backend servers until the process ends.
pub async fn follow_servers(node: Rc<FrontNode>) {
    let mut cursor = Cursor::default();
    loop {
        let requested_at = node.clock.boot_now();
        let result = read(&node, &mut cursor, SERVERS_TABLE, Duration::ZERO).await;
        let now = node.clock.monotonic_now();
        match result {
            Ok(Some(update)) => {
                let mut changes = node.servers.borrow_mut().remove_missing(now);
                changes.extend(apply_servers(&node, update, now));
                node.apply_server_changes(&changes);
                note_new_starts(&node, &changes);
                node.record_servers_read(requested_at);
                tokio::time::sleep(SERVERS_POLL_INTERVAL).await;
            }
            Ok(None) => {
                log::warn!("event=stale_answer table={SERVERS_TABLE}");
                delay_retry(&node).await;
            }
            Err(_) => {
                node.servers.borrow_mut().note_store_failure(now);
                delay_retry(&node).await;
            }
        }
    }
}

/// Settles the requests that were abandoned at earlier starts of the changed servers.
fn note_new_starts(node: &Rc<FrontNode>, changes: &[ServerChange]) {
    for change in changes {
        let ServerChange::Seen(id) = change else { continue };
        let entry = node.servers.borrow().ready_by_id(id).cloned();
        if let Some(entry) = entry {
            node.peers.note_server_started(node, &entry);
        }
    }
}

fn apply_servers(node: &FrontNode, update: Update, now: Duration) -> Vec<ServerChange> {
    let mut list = node.servers.borrow_mut();
    match update {
        Update::Snapshot(rows) => {
            let entries: Vec<ServerEntry> = rows.iter().filter_map(decode_server).collect();
            for entry in &entries {
                node.note_server_entry(entry);
            }
            node.server_starts.borrow_mut().note_list_read();
            list.replace(entries, now)
        }
        Update::Changes(rows) => rows
            .iter()
            .filter_map(|row| match decode_server(row) {
                Some(entry) => {
                    node.note_server_entry(&entry);
                    list.insert(entry)
                }
                None => list.remove(&row.key, now),
            })
            .collect(),
    }
}

/// Decodes a backend server's entry; returns `None` when it was removed or is malformed, so that a
/// malformed entry removes the server.
fn decode_server(row: &RowChange) -> Option<ServerEntry> {
    let value = row.value.as_ref()?;
    match servers::decode(&row.key, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::info!(
                "event=server_entry_ignored server={} row_version={} cause=\"{error}\"",
                row.key,
                row.version,
            );
            None
        }
    }
}

/// Reads the changes since the last read, or the whole table; returns `None` when the response is
/// stale.
///
/// Logs when calls start to fail, how they go on to fail, and when they succeed again.
async fn read(
    node: &FrontNode,
    cursor: &mut Cursor,
    table: &str,
    wait: Duration,
) -> Result<Option<Update>, RowStoreError> {
    let started_at = node.clock.boot_now();
    let result = read_once(node, cursor, table, wait).await;
    let now = node.clock.boot_now();
    match &result {
        Ok(_) => {
            if let Some(failing_since) = cursor.failing_since.take() {
                log::info!(
                    "event=store_regained table={table} version={} failures={} lost_ms={}",
                    cursor.newest,
                    cursor.failures,
                    now.saturating_sub(failing_since).as_millis(),
                );
            }
            cursor.failures = 0;
        }
        Err(error) => {
            node.metrics.config.changes_failed.with_label_values(&[table]).inc();
            cursor.failures = cursor.failures.saturating_add(1);
            cursor.failing_since.get_or_insert(started_at);
            let event = if cursor.failures == 1 { "store_lost" } else { "store_still_lost" };
            // Few lines of a long outage.
            if cursor.failures.is_power_of_two() {
                log::warn!(
                    "event={event} table={table} version={} failures={} elapsed_ms={} \
                     cause=\"{error}\"",
                    cursor.newest,
                    cursor.failures,
                    now.saturating_sub(started_at).as_millis(),
                );
            }
        }
    }
    result
}

async fn read_once(
    node: &FrontNode,
    cursor: &mut Cursor,
    table: &str,
    wait: Duration,
) -> Result<Option<Update>, RowStoreError> {
    if let Some(version) = cursor.version {
        match node.store.changes(table, version, wait).await? {
            FeedReply::Changes { rows, version } => {
                return Ok(cursor.advance(version).then_some(Update::Changes(rows)));
            }
            FeedReply::ChangesDropped => {
                log::info!("event=history_gone table={table} version={version}");
                cursor.version = None;
            }
        }
    }
    let (rows, version) = node.store.read_part(table, "").await?;
    Ok(cursor.advance(version).then_some(Update::Snapshot(rows)))
}

/// Waits for a random delay, or until the store is reached again.
async fn delay_retry(node: &FrontNode) {
    let delay = Duration::from_millis(rand::rng().random_range(RETRY_DELAY_MS));
    let reached_again = node.store_reachability.wait_until_reached();
    // Either end of the wait leads to the next attempt.
    let _ = tokio::time::timeout(delay, reached_again).await;
}

impl FrontNode {
    /// Replaces the routing table with a newer one and updates the gauge of its version.
    fn adopt_table(&self, table: RoutingTable) {
        self.metrics.config.version.set(i64::try_from(table.version()).unwrap_or(i64::MAX));
        self.replace_table(Rc::new(table));
        self.note_cold_servers_of_list();
    }
}
