//! Backend servers that are cold after their start.
//!
//! A cold server takes only so many requests a second, as the service's [`ColdStart`] says. Its
//! entry names the time for which it stays cold, but the list lags behind, so that a server with a
//! new start counts as cold for the whole time.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::BackendId;
use crate::routing::ColdStart;
use crate::servers::ServerEntry;

/// Start times of the backend servers, by which new starts are recognized.
#[derive(Debug, Default)]
pub struct ServerStarts {
    started_unix_ms: HashMap<BackendId, u64>,
    /// Whether the whole list was read; before, each start is unknown without being new.
    has_read_list: bool,
}

impl ServerStarts {
    /// Records an entry that was just read; returns whether its server has started since the entry
    /// before.
    pub fn note(&mut self, entry: &ServerEntry) -> bool {
        let known = self.started_unix_ms.insert(entry.id.clone(), entry.started_unix_ms);
        self.has_read_list && known.is_none_or(|known| known < entry.started_unix_ms)
    }

    /// Records that the whole list was read.
    pub fn note_list_read(&mut self) {
        self.has_read_list = true;
    }
}

/// Returns the time for which the server of an entry that was just read counts as cold.
#[must_use]
pub fn cold_for(entry: &ServerEntry, is_new_start: bool, cold_start: ColdStart) -> Duration {
    if is_new_start { cold_start.duration } else { entry.cold_for.min(cold_start.duration) }
}
