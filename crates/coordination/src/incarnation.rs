//! This node's own incarnation: its row in the table and whether it has been fenced.

use std::cell::Cell;

use tokio::sync::watch;

use crate::ids::IncarnationId;

/// Identity of the running node towards the table.
#[derive(Debug)]
pub struct Incarnation {
    id: IncarnationId,
    row_version: Cell<u64>,
    fenced: watch::Sender<bool>,
}

impl Incarnation {
    /// Creates an incarnation that is not registered yet.
    #[must_use]
    pub fn new(id: IncarnationId) -> Self {
        Self { id, row_version: Cell::new(0), fenced: watch::Sender::new(false) }
    }

    /// Returns the id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the version of the node's row as last written by the node itself.
    #[must_use]
    pub fn row_version(&self) -> u64 {
        self.row_version.get()
    }

    /// Records the version of the node's row after a write by the node itself.
    pub fn set_row_version(&self, version: u64) {
        self.row_version.set(version);
    }

    /// Returns whether another node has fenced this one.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        *self.fenced.borrow()
    }

    /// Marks the incarnation as fenced; it can commit nothing from here on.
    pub fn mark_fenced(&self) {
        self.fenced.send_replace(true);
    }

    /// Completes once the incarnation is fenced.
    pub async fn fenced(&self) {
        let mut fenced = self.fenced.subscribe();
        while !*fenced.borrow_and_update() {
            if fenced.changed().await.is_err() {
                return;
            }
        }
    }
}
