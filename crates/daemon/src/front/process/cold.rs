//! Backend servers that are cold after their start.

use std::time::Duration;

use dandelionfront_coordination::cold;
use dandelionfront_coordination::ranking::server_hash;
use dandelionfront_coordination::routing::ColdStart;
use dandelionfront_coordination::server_limits::ColdLimit;
use dandelionfront_coordination::servers::ServerEntry;

use super::node::FrontNode;

impl FrontNode {
    fn cold_start(&self, server: &ServerEntry) -> Option<ColdStart> {
        self.table().service(&server.service)?.cold_start
    }

    /// Records whether the server of an entry that was just read is cold.
    pub fn note_server_entry(&self, entry: &ServerEntry) {
        let is_new_start = self.server_starts.borrow_mut().note(entry);
        if let Some(cold_start) = self.cold_start(entry) {
            let cold_for = cold::cold_for(entry, is_new_start, cold_start);
            self.note_server_cold(entry, cold_for, "list");
        }
    }

    /// Records which servers of the list are cold, for a configuration that was just adopted.
    pub fn note_cold_servers_of_list(&self) {
        let servers = self.servers.borrow();
        for entry in servers.all_ready().filter(|entry| !entry.cold_for.is_zero()) {
            self.note_server_cold(entry, entry.cold_for, "config");
        }
    }

    /// Records that all servers of a zone may be cold, because the zone was taken back.
    ///
    /// They may have become cold since their entries were last written.
    pub fn note_zone_cold(&self, zone: &str) {
        let servers = self.servers.borrow();
        for entry in servers.all_ready().filter(|entry| entry.zone == zone) {
            self.note_server_cold(entry, Duration::MAX, "zone");
        }
    }

    /// Records that nothing listens at the address of a server anymore.
    pub fn note_server_ended(&self, server: &ServerEntry) {
        if self.cold_start(server).is_some() {
            self.placement.borrow_mut().limits_mut().note_ended(server_hash(&server.id));
        }
    }

    /// Records that a server accepted a connection; if its process had ended, it is cold.
    pub fn note_server_connected(&self, server: &ServerEntry) {
        let hash = server_hash(&server.id);
        let is_back = self.placement.borrow_mut().limits_mut().note_connected(hash);
        if is_back {
            self.note_server_cold(server, Duration::MAX, "return");
        }
    }

    /// Records that a server is cold for `cold_for`, but for no longer than its service's servers
    /// are after a start.
    fn note_server_cold(&self, server: &ServerEntry, cold_for: Duration, source: &str) {
        let Some(cold_start) = self.cold_start(server) else { return };
        let now = self.clock.monotonic_now();
        let cold_for = cold_for.min(cold_start.duration);
        let cold = ColdLimit { per_s: cold_start.per_s, until: now + cold_for };
        let mut placement = self.placement.borrow_mut();
        if placement.limits_mut().note_cold(server_hash(&server.id), cold, now) {
            log::info!(
                "event=server_cold server={} limit_per_s={} cold_ms={} source={source}",
                server.id,
                cold.per_s,
                cold_for.as_millis(),
            );
        }
    }
}
