//! Availability zones that the operator has emptied.
//!
//! The operator's request is a row of the store. Each node follows the rows and tells the others
//! what it learns, so that nodes that do not reach the store learn it too. The newest row version
//! of a zone decides, whichever way it came. A node that reaches neither the store nor another node
//! keeps to what it knows.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::ZoneId;

/// Version of a row in the store; increases with each write to the store.
pub type RowVersion = u64;

/// What one write of the operator says of a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneState {
    /// The zone.
    pub zone: ZoneId,
    /// Version of the write.
    pub version: RowVersion,
    /// Whether the zone's backend servers get no new requests.
    pub is_emptied: bool,
}

#[derive(Debug, Clone, Copy)]
struct KnownState {
    version: RowVersion,
    is_emptied: bool,
}

/// Newest known state of each zone for which the operator has made a request.
#[derive(Debug, Default)]
pub struct EmptiedZones {
    zones: HashMap<ZoneId, KnownState>,
}

impl EmptiedZones {
    /// Records a state; returns whether it is newer than the known one, so that other nodes should
    /// be told.
    pub fn note(&mut self, state: &ZoneState) -> bool {
        let ZoneState { zone, version, is_emptied } = state;
        if self.zones.get(zone).is_some_and(|known| known.version >= *version) {
            return false;
        }
        let known = KnownState { version: *version, is_emptied: *is_emptied };
        self.zones.insert(zone.clone(), known);
        true
    }

    /// Returns the states that follow from a read of all rows at `version`: those of the rows, and
    /// for each emptied zone without a row, that it was taken back.
    #[must_use]
    pub fn complete(&self, mut rows: Vec<ZoneState>, version: RowVersion) -> Vec<ZoneState> {
        let missing = self.states().filter(|known| {
            // A row that is newer than the read may exist.
            let is_covered = known.is_emptied && known.version <= version;
            is_covered && !rows.iter().any(|row| row.zone == known.zone)
        });
        let taken_back: Vec<ZoneState> = missing
            // The version of the removal is unknown; it is at most that of the read.
            .map(|known| ZoneState {
                version: version.max(known.version + 1),
                is_emptied: false,
                ..known
            })
            .collect();
        rows.extend(taken_back);
        rows
    }

    /// Returns whether the backend servers of `zone` get no new requests.
    #[must_use]
    pub fn is_emptied(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|known| known.is_emptied)
    }

    /// Returns the newest known state of each zone.
    pub fn states(&self) -> impl Iterator<Item = ZoneState> {
        self.zones.iter().map(|(zone, known)| ZoneState {
            zone: zone.clone(),
            version: known.version,
            is_emptied: known.is_emptied,
        })
    }

    /// Returns the number of emptied zones.
    #[must_use]
    pub fn emptied_count(&self) -> usize {
        self.zones.values().filter(|known| known.is_emptied).count()
    }
}
