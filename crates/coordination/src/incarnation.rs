//! Incarnation of the running node: the version of its table row and whether it was fenced.

use std::cell::Cell;

use tokio::sync::watch;

use crate::ids::IncarnationId;

/// Identity under which the running node writes to the table.
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

    /// Returns the version of the node's own row as last written or read.
    #[must_use]
    pub fn row_version(&self) -> u64 {
        self.row_version.get()
    }

    /// Records the version of the node's own row.
    pub fn set_row_version(&self, version: u64) {
        self.row_version.set(version);
    }

    /// Returns whether the incarnation is known to be fenced.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        *self.fenced.borrow()
    }

    /// Marks the incarnation as fenced; it cannot commit anything from then on.
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
