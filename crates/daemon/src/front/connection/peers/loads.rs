//! Loads of backend servers, told to their keepers and asked of them.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use dandelionfront_coordination::load::{NodeLoad, OthersLoad, ServerHash, keeper_of};
use dandelionfront_coordination::protocol::Capability;
use dandelionfront_coordination::ranking::server_hash;
use dandelionfront_coordination::room::{RequestTokens, ServerTokens};
use tokio::sync::Notify;

use super::{Message, Peers};
use crate::front::process::FrontNode;

/// Maximum wait for a keeper's reply; the network latency is a few milliseconds at most.
pub(super) const KEEPER_TIMEOUT: Duration = Duration::from_millis(10);
/// Time for which a keeper that did not answer is not asked again.
pub(super) const SILENT_KEEPER_PAUSE: Duration = Duration::from_secs(1);

/// Query for the loads of backend servers that was not yet answered by all keepers.
#[derive(Debug)]
pub(super) struct PendingQuery {
    keepers_left: Cell<usize>,
    is_answered: Notify,
}

impl Peers {
    /// Asks the keepers of `servers` for their loads and records these for placement; returns
    /// without the loads of keepers that do not answer in time.
    ///
    /// With the tokens of a request, asks for the room of the servers, too.
    pub async fn refresh_loads(
        &self,
        node: &FrontNode,
        servers: &[ServerHash],
        tokens: Option<RequestTokens>,
    ) {
        let now = node.clock.monotonic_now();
        let mut asked: HashMap<String, Vec<ServerHash>> = HashMap::new();
        for server in servers {
            let keeper = self.keeper_of(node, *server, now);
            if keeper == self.own_id() {
                let load = self.keeper.borrow().others_load(*server, &keeper, now);
                node.placement.borrow_mut().set_others_load(*server, load, now);
                self.apply_own_speed(node, *server, now);
                self.apply_own_room(node, *server, tokens, now);
            } else {
                asked.entry(keeper).or_default().push(*server);
            }
        }
        if asked.is_empty() {
            return;
        }
        let query = self.next_query.get();
        self.next_query.set(query.wrapping_add(1));
        let pending = Rc::new(PendingQuery {
            keepers_left: Cell::new(asked.len()),
            is_answered: Notify::new(),
        });
        self.queries.borrow_mut().insert(query, Rc::downgrade(&pending));
        for (keeper, servers) in &asked {
            if let Ok(keeper) = keeper.parse() {
                let query = Message::LoadQuery { query, servers: servers.clone() };
                self.send_extended(keeper, &query, tokens);
            }
        }
        let answered = tokio::time::timeout(KEEPER_TIMEOUT, pending.is_answered.notified());
        if answered.await.is_err() {
            let until = now + SILENT_KEEPER_PAUSE;
            let mut silent_keepers = self.silent_keepers.borrow_mut();
            let placement = node.placement.borrow();
            for (keeper, servers) in asked {
                if servers.iter().any(|server| !placement.knows_load(*server, now)) {
                    log::info!("event=keeper_silent member={keeper} query={query}");
                    silent_keepers.insert(keeper, until);
                }
            }
        }
        self.queries.borrow_mut().remove(&query);
    }

    /// Tells the keeper of `server` the load by this node's requests.
    pub fn send_load(&self, node: &FrontNode, server: &str) {
        let now = node.clock.monotonic_now();
        let load = node.placement.borrow().own_load(server, now);
        let server = server_hash(server);
        let tokens = node.room.borrow().own_tokens(server);
        let has_standby = tokens.is_some() && self.all_know(Capability::ServerRoom);
        let keepers = self.keepers_of(node, server, has_standby, now);
        for keeper in keepers {
            self.tell_load(&keeper, server, load, tokens.clone(), now);
        }
    }

    fn tell_load(
        &self,
        keeper: &str,
        server: ServerHash,
        load: NodeLoad,
        tokens: Option<ServerTokens>,
        now: Duration,
    ) {
        if keeper == self.own_id() {
            self.keeper.borrow_mut().update(server, keeper, load, now);
            self.rooms.update(keeper, tokens, now);
        } else if let Ok(keeper) = keeper.parse() {
            let avoided_ms = u32::try_from(load.avoided_for.as_millis()).unwrap_or(u32::MAX);
            let in_flight = load.in_flight;
            let load = Message::ServerLoad { server, in_flight, avoided_ms };
            self.send_extended(keeper, &load, tokens.as_ref());
        }
    }

    /// Returns the keeper of `server` among this node and the nodes that report and answer.
    pub(super) fn keeper_of(&self, node: &FrontNode, server: ServerHash, now: Duration) -> String {
        self.keepers_of(node, server, false, now).swap_remove(0)
    }

    /// Returns the keeper of `server` and, if it `has_standby`, the node that would be the keeper
    /// without it.
    fn keepers_of(
        &self,
        node: &FrontNode,
        server: ServerHash,
        has_standby: bool,
        now: Duration,
    ) -> Vec<String> {
        let own_id = self.own_id();
        let limiter = node.limiter.borrow();
        let silent_keepers = self.silent_keepers.borrow();
        let is_silent = |member: &str| silent_keepers.get(member).is_some_and(|until| now < *until);
        let nodes = || {
            let others = limiter
                .members(now)
                .filter(|(member, is_reporting)| *is_reporting && !is_silent(member));
            others.map(|(member, _)| member.as_str()).chain([own_id.as_str()])
        };
        let keeper = keeper_of(server, nodes()).unwrap_or(&own_id);
        let standby = has_standby
            .then(|| keeper_of(server, nodes().filter(|member| *member != keeper)))
            .flatten();
        [Some(keeper), standby].into_iter().flatten().map(str::to_owned).collect()
    }

    /// Tells a node that is about to place a request what is known of `servers`; `trailer` is what
    /// follows the query in its datagram.
    pub(super) fn answer_load_query(
        &self,
        node: &FrontNode,
        sender: SocketAddr,
        query: u32,
        servers: &[ServerHash],
        trailer: &[u8],
    ) {
        let now = node.clock.monotonic_now();
        let asker = sender.to_string();
        for server in servers {
            self.send_limit(node, sender, *server, now);
        }
        self.send_speeds(sender, servers, now);
        let load_of = |server: &ServerHash| {
            let load = self.keeper.borrow().others_load(*server, &asker, now);
            (*server, load.in_flight, load.avoiding)
        };
        let loads: Vec<_> = servers.iter().map(load_of).collect();
        let rooms = self.room_reply(&asker, &loads, trailer, now);
        self.send_extended(sender, &Message::LoadReply { query, loads }, rooms);
    }

    pub(super) fn apply_loads(
        &self,
        node: &FrontNode,
        query: u32,
        loads: Vec<(ServerHash, u32, u32)>,
    ) {
        let now = node.clock.monotonic_now();
        let mut placement = node.placement.borrow_mut();
        for (server, in_flight, avoiding) in loads {
            placement.set_others_load(server, OthersLoad { in_flight, avoiding }, now);
        }
        let queries = self.queries.borrow();
        // A late reply finds no query.
        let Some(pending) = queries.get(&query).and_then(Weak::upgrade) else { return };
        pending.keepers_left.set(pending.keepers_left.get().saturating_sub(1));
        if pending.keepers_left.get() == 0 {
            pending.is_answered.notify_one();
        }
    }
}
