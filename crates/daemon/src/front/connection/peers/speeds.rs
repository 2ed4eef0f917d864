//! Speeds of backend servers, told to their keepers and by them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use dandelionfront_coordination::load::ServerHash;
use dandelionfront_coordination::protocol::Capability;
use dandelionfront_coordination::ranking::server_hash;
use dandelionfront_coordination::servers::ServerEntry;
use dandelionfront_coordination::speed::{
    ServerSpeed, SlowdownStep, SpeedKeeper, TypicalDurations, slowdown,
};

use super::{Message, Peers};
use crate::front::process::FrontNode;

/// Durations of answers at this node, and the speeds that it keeps for all nodes.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    typical: RefCell<TypicalDurations>,
    keeper: RefCell<SpeedKeeper>,
}

impl Speeds {
    pub(super) fn record(
        &self,
        node: &FrontNode,
        server: ServerHash,
        started_unix_ms: u64,
        ratio: f64,
        now: Duration,
    ) {
        let changed = self.keeper.borrow_mut().record(server, started_unix_ms, ratio, now);
        let Some(step) = changed else { return };
        let servers = node.servers.borrow();
        let id = servers.id_of(server).map_or("-", String::as_str);
        log::info!("event=server_speed server={id} slowdown={} ratio={ratio:.2}", slowdown(step));
    }

    pub(super) fn prune(&self, now: Duration) {
        self.keeper.borrow_mut().prune(now);
    }
}

impl Peers {
    /// Compares the duration of an answer of `server`, or of a part of it, with others of the same
    /// kind, and tells the server's keeper the result.
    pub fn note_duration(
        &self,
        node: &FrontNode,
        server: &ServerEntry,
        kind: &str,
        load: f64,
        duration: Duration,
    ) {
        let ratio = self.speeds.typical.borrow_mut().record(kind, load, duration);
        let Some(ratio) = ratio else { return };
        // Builds that rank servers without speeds would send sessions back to slow servers.
        if !self.all_know(Capability::LearnedSpeeds) {
            return;
        }
        let now = node.clock.monotonic_now();
        let (hash, started_unix_ms) = (server_hash(&server.id), server.started_unix_ms);
        let keeper = self.keeper_of(node, hash, now);
        if keeper == self.own_id() {
            self.speeds.record(node, hash, started_unix_ms, ratio, now);
        } else if let Ok(keeper) = keeper.parse() {
            let ratio_percent = percent(ratio);
            self.send(
                keeper,
                &Message::ServerPace { server: hash, started_unix_ms, ratio_percent },
            );
        }
    }

    /// Tells a node that is about to place a request the speeds of `servers`.
    pub(super) fn send_speeds(&self, receiver: SocketAddr, servers: &[ServerHash], now: Duration) {
        let mut keeper = self.speeds.keeper.borrow_mut();
        let speed = |server: &ServerHash| {
            let speed = keeper.speed_for_placement(*server, now)?;
            Some((*server, speed.started_unix_ms, speed.step))
        };
        let speeds: Vec<_> = servers.iter().filter_map(speed).collect();
        if !speeds.is_empty() {
            self.send(receiver, &Message::ServerSpeeds(speeds));
        }
    }

    /// Records the speed of a server whose keeper is this node for placement.
    pub(super) fn apply_own_speed(&self, node: &FrontNode, server: ServerHash, now: Duration) {
        let speed = self.speeds.keeper.borrow_mut().speed_for_placement(server, now);
        if let Some(speed) = speed {
            node.placement.borrow_mut().set_speed(server, speed, now);
        }
    }
}

pub(super) fn apply_speeds(node: &FrontNode, speeds: Vec<(ServerHash, u64, SlowdownStep)>) {
    let now = node.clock.monotonic_now();
    let mut placement = node.placement.borrow_mut();
    for (server, started_unix_ms, step) in speeds {
        placement.set_speed(server, ServerSpeed { started_unix_ms, step }, now);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates and the ratio is positive"
)]
fn percent(ratio: f64) -> u32 {
    (ratio * 100.0) as u32
}
