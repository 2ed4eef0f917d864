//! Registration of this node and discovery of the others.

use std::time::Duration;

use dandelionfront_coordination::rows::{RowStore as _, RowStoreError, RowWrite, WriteOutcome};

use super::Peers;
use crate::front::process::{FrontNode, quarantine};

/// Table in which nodes register their addresses.
const NODES_TABLE: &str = "nodes";
/// Time between two reads of the nodes table.
///
/// Reads are repeated to find nodes that registered while this one could not reach the store.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_secs(15);
/// Wait after each read of the nodes table, in which the reports of the listed nodes arrive.
///
/// The node becomes ready for callers only after the first such wait.
const REPORTS_WAIT: Duration = Duration::from_millis(250);
/// Delay after a failed read or write of the nodes table.
const MEMBERSHIP_RETRY_DELAY: Duration = Duration::from_millis(400);

impl Peers {
    /// Keeps this node registered, discovers other nodes and removes the rows of silent ones, until
    /// the process ends.
    pub async fn maintain_membership(&self, node: &FrontNode) {
        loop {
            let mut refreshed = self.refresh_membership(node).await;
            if refreshed.is_ok() && !node.has_read_members() {
                refreshed = quarantine::read(node).await;
            }
            match refreshed {
                Ok(()) => {
                    self.ask_for_leaving(node);
                    self.ask_for_zones(node);
                    tokio::time::sleep(REPORTS_WAIT).await;
                    node.record_members_read();
                    self.update_protocol(node);
                    tokio::time::sleep(MEMBERSHIP_INTERVAL).await;
                }
                Err(error) => {
                    log::info!("event=listing_failed cause=\"{error}\"");
                    tokio::time::sleep(MEMBERSHIP_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn refresh_membership(&self, node: &FrontNode) -> Result<(), RowStoreError> {
        let own = self.address.to_string();
        let (mut rows, _) = node.store.read_part(NODES_TABLE, "").await?;
        if rows.iter().any(|row| row.key == own) {
            self.note_earlier_process(node);
        } else {
            self.is_registered.set(true);
            self.write_row(node, &own, 0, Some(node.settings.zone.as_bytes())).await?;
            // Of two nodes that register at the same time, at least the one that writes last finds
            // the other by this second read.
            (rows, _) = node.store.read_part(NODES_TABLE, "").await?;
        }
        let now = node.clock.monotonic_now();
        let forgotten = node.limiter.borrow_mut().forget_inactive(now);
        for row in rows.iter().filter(|row| row.key != own) {
            if forgotten.contains(&row.key) {
                log::info!("event=member_forgotten member={}", row.key);
                self.write_row(node, &row.key, row.version, None).await?;
            } else {
                node.limiter.borrow_mut().note_listed(&row.key);
            }
        }
        Ok(())
    }

    /// Tells the limiter of an earlier process with this node's address, whose row was found.
    fn note_earlier_process(&self, node: &FrontNode) {
        if self.is_registered.replace(true) {
            return;
        }
        log::info!("event=restarted member={}", self.address);
        node.limiter.borrow_mut().note_restart(node.clock.monotonic_now());
    }

    async fn write_row(
        &self,
        node: &FrontNode,
        key: &str,
        expected_version: u64,
        value: Option<&[u8]>,
    ) -> Result<WriteOutcome, RowStoreError> {
        let write = RowWrite { table: NODES_TABLE, part: "", key, expected_version, value };
        node.store.write(write).await
    }
}
