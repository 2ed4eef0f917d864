//! Datagrams between nodes.
//!
//! A report is small and useless when late, and the next one replaces it, so it is sent as a
//! datagram and not resent when lost. A request to release a claim on a program's budget is not
//! answered: the receiver writes the release to the store, and the requesting node repeats the
//! request while it waits.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use dandelionfront_coordination::ledger::{ClaimantId, ReleaseRequester};
use dandelionfront_coordination::limits::usage::{
    Admitted, REPORT_INTERVAL_MIN, TeamHash, report_interval, report_timeout,
};
use dandelionfront_coordination::load::{LoadKeeper, NodeLoad, OthersLoad, ServerHash, keeper_of};
use dandelionfront_coordination::placement::server_hash;
use dandelionfront_coordination::rows::{RowStore as _, RowStoreError, RowWrite, WriteOutcome};
use dandelionfront_coordination::servers::LeavingServer;
use dandelionfront_coordination::streams::{
    ASKED_NODES, HOLDERS, SessionKey, SoughtStream, StreamId, StreamOrigin, StreamOrigins,
    holders_of,
};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::origin_query::OriginQueries;
use crate::front::process::FrontNode;

/// Size of the receive buffer; a longer datagram is truncated and logged as malformed.
const DATAGRAM_MAX_BYTES: usize = 8 * 1024;
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

/// Number of nodes that are asked for the servers that announced their leave.
const LEAVING_QUERIES: usize = 8;
/// Maximum wait for the loads of backend servers; the network latency is a few milliseconds at most.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(10);
/// Time for which a keeper that did not answer is not asked again.
const SILENT_KEEPER_PAUSE: Duration = Duration::from_secs(1);

/// Message from one node to another.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// State of the sender.
    Report(Report),
    /// Asks the receiver to release the unused part of its claim on a program's budget.
    GiveBack {
        /// Identifier of the program.
        program: String,
    },
    /// Load of a backend server by the sender's requests; sent to the server's keeper.
    ServerLoad {
        /// The server.
        server: ServerHash,
        /// Requests in flight.
        in_flight: u32,
        /// Time for which the sender avoids the server after failures.
        avoided_ms: u32,
    },
    /// Asks the keeper of some backend servers for their loads.
    LoadQuery {
        /// Number chosen by the sender, repeated in the reply.
        query: u32,
        /// The servers.
        servers: Vec<ServerHash>,
    },
    /// Reply to [`Self::LoadQuery`].
    LoadReply {
        /// Number of the query.
        query: u32,
        /// Servers with the requests in flight of nodes other than the receiver, and the number of
        /// these nodes that avoid the server.
        loads: Vec<(ServerHash, u32, u32)>,
    },
    /// Origin of a stream, to be kept by the receiver.
    StreamBegun {
        /// The stream.
        stream: StreamId,
        /// Its origin.
        origin: StreamOrigin,
    },
    /// Asks for the origin of a stream.
    StreamQuery {
        /// Session of the stream.
        session: SessionKey,
        /// The stream.
        sought: SoughtStream,
    },
    /// Reply to [`Self::StreamQuery`].
    StreamReply {
        /// Session of the stream.
        session: SessionKey,
        /// The stream.
        sought: SoughtStream,
        /// Its origin, if the sender knows it.
        origin: Option<StreamOrigin>,
    },
    /// A backend server announced to the sender, or to a node that told it, that it is leaving.
    ServerLeaving(LeavingServer),
    /// Asks for the backend servers that announced their leave; answered by one
    /// [`Self::ServerLeaving`] for each.
    LeavingQuery,
}

/// Query for the loads of backend servers that was not yet answered by all keepers.
#[derive(Debug)]
struct PendingQuery {
    keepers_left: Cell<usize>,
    is_answered: Notify,
}

/// State of a node, sent to the other nodes.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Report {
    /// Random identifier of the process; differs after a restart.
    incarnation: u64,
    /// Admissions since the start of the process and tokens left in the limit, by team; only of
    /// teams that were not fully reported yet, and some of the others in turn.
    admitted: Vec<(TeamHash, Admitted)>,
    /// Whether the node is shutting down gracefully.
    is_leaving: bool,
    /// Whether the node reaches the platform's store and has a configuration.
    has_store: bool,
}

/// The node's socket for messages to and from the other nodes.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    address: SocketAddr,
    incarnation: u64,
    /// Incarnation in the last report of each node.
    incarnations: RefCell<HashMap<SocketAddr, u64>>,
    /// Loads of the backend servers whose keeper is this node.
    keeper: RefCell<LoadKeeper>,
    /// Queries by number; the request that waits for the answer holds the query.
    queries: RefCell<HashMap<u32, Weak<PendingQuery>>>,
    next_query: Cell<u32>,
    /// Nodes that did not answer a query, and the times until which they are not asked again.
    silent_keepers: RefCell<HashMap<String, Duration>>,
    /// Origins of streams that this node began, resumed or keeps for others.
    origins: RefCell<StreamOrigins>,
    origin_queries: OriginQueries,
}

impl Peers {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self {
            socket,
            address,
            incarnation: rand::random(),
            incarnations: RefCell::default(),
            keeper: RefCell::default(),
            queries: RefCell::default(),
            next_query: Cell::default(),
            silent_keepers: RefCell::default(),
            origins: RefCell::default(),
            origin_queries: OriginQueries::default(),
        })
    }

    /// Returns the identifier of this node in claims.
    #[must_use]
    pub fn claimant(&self) -> ClaimantId {
        claimant_id(self.incarnation)
    }

    /// Receives datagrams until the process ends.
    pub async fn receive(&self, node: &Rc<FrontNode>) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("event=datagram_not_received cause=\"{error}\"");
                    continue;
                }
            };
            match postcard::from_bytes::<Message>(&buffer[..length]) {
                Ok(Message::Report(report)) => self.apply_report(node, sender, report),
                Ok(Message::GiveBack { program }) => {
                    log::info!("event=claim_asked program={program} by={sender}");
                    let node = Rc::clone(node);
                    tokio::task::spawn_local(
                        async move { node.ledgers.release_unused(&program).await },
                    );
                }
                Ok(Message::ServerLoad { server, in_flight, avoided_ms }) => {
                    let avoided_for = Duration::from_millis(avoided_ms.into());
                    let load = NodeLoad { in_flight, avoided_for };
                    let now = node.clock.monotonic_now();
                    self.keeper.borrow_mut().update(server, &sender.to_string(), load, now);
                }
                Ok(Message::LoadQuery { query, servers }) => {
                    let now = node.clock.monotonic_now();
                    let asker = sender.to_string();
                    let loads = servers.into_iter().map(|server| {
                        let load = self.keeper.borrow().others_load(server, &asker, now);
                        (server, load.in_flight, load.avoiding)
                    });
                    self.send(sender, &Message::LoadReply { query, loads: loads.collect() });
                }
                Ok(Message::LoadReply { query, loads }) => self.apply_loads(node, query, loads),
                Ok(Message::ServerLeaving(server)) => {
                    let now = node.clock.monotonic_now();
                    let id = server.id.clone();
                    if node.servers.borrow_mut().note_leaving(server, now) {
                        log::info!("event=server_leaving server={id} source=node member={sender}");
                    }
                }
                Ok(Message::LeavingQuery) => {
                    for server in node.servers.borrow().leaving() {
                        self.send(sender, &Message::ServerLeaving(server));
                    }
                }
                Ok(Message::StreamBegun { stream, origin }) => {
                    let now = node.clock.monotonic_now();
                    self.origins.borrow_mut().record(stream, origin, now);
                }
                Ok(Message::StreamQuery { session, sought }) => {
                    let origin = self.origins.borrow().find(session, sought).cloned();
                    self.send(sender, &Message::StreamReply { session, sought, origin });
                }
                Ok(Message::StreamReply { session, sought, origin }) => {
                    self.origin_queries.apply((session, sought), sender, origin.as_ref());
                }
                Err(error) => {
                    log::info!("event=datagram_malformed sender={sender} cause=\"{error}\"");
                }
            }
        }
    }

    /// Sends reports until the process ends; each other node gets one in a report interval.
    pub async fn send_reports(&self, node: &FrontNode) {
        let mut left: Vec<SocketAddr> = Vec::new();
        let mut batch = 0;
        loop {
            if left.is_empty() {
                node.limiter.borrow_mut().begin_report_round();
                left = members(node);
                let interval = report_interval(left.len()).as_millis();
                let ticks = usize::try_from(interval / REPORT_INTERVAL_MIN.as_millis());
                batch = left.len().div_ceil(ticks.unwrap_or(1).max(1));
            }
            let receivers = left.split_off(left.len().saturating_sub(batch));
            self.send_report(node, &receivers, false).await;
            tokio::time::sleep(REPORT_INTERVAL_MIN).await;
        }
    }

    /// Announces to the other nodes that this one is leaving.
    pub async fn announce_leaving(&self, node: &FrontNode) {
        let members = members(node);
        self.send_report(node, &members, true).await;
    }

    async fn send_report(&self, node: &FrontNode, receivers: &[SocketAddr], is_leaving: bool) {
        let now = node.clock.monotonic_now();
        let report = Report {
            incarnation: self.incarnation,
            admitted: node.limiter.borrow().report(now).into_iter().collect(),
            is_leaving,
            has_store: !node.store_reachability.is_unreachable() && node.table().version() > 0,
        };
        match postcard::to_allocvec(&Message::Report(report)) {
            Ok(bytes) => {
                for receiver in receivers {
                    if let Err(error) = self.socket.send_to(&bytes, receiver).await {
                        log::debug!("event=report_not_sent member={receiver} cause=\"{error}\"");
                    }
                }
            }
            Err(error) => log::error!("event=report_not_encoded cause=\"{error}\""),
        }
    }

    /// Asks the keepers of `servers` for their loads and records these for placement; returns
    /// without the loads of keepers that do not answer in time.
    pub async fn refresh_loads(&self, node: &FrontNode, servers: &[ServerHash]) {
        let now = node.clock.monotonic_now();
        let mut asked: HashMap<String, Vec<ServerHash>> = HashMap::new();
        for server in servers {
            let keeper = self.keeper_of(node, *server, now);
            if keeper == self.own_id() {
                let load = self.keeper.borrow().others_load(*server, &keeper, now);
                node.placement.borrow_mut().set_others_load(*server, load, now);
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
                self.send(keeper, &Message::LoadQuery { query, servers: servers.clone() });
            }
        }
        let answered = tokio::time::timeout(LOAD_QUERY_TIMEOUT, pending.is_answered.notified());
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
        let keeper = self.keeper_of(node, server, now);
        if keeper == self.own_id() {
            self.keeper.borrow_mut().update(server, &keeper, load, now);
        } else if let Ok(keeper) = keeper.parse() {
            let avoided_ms = u32::try_from(load.avoided_for.as_millis()).unwrap_or(u32::MAX);
            let in_flight = load.in_flight;
            self.send(keeper, &Message::ServerLoad { server, in_flight, avoided_ms });
        }
    }

    /// Records that a server announced its leave in an answer to `request`, and tells the other
    /// nodes if that is new.
    pub fn note_leaving(&self, node: &FrontNode, server: LeavingServer, request: &str) {
        let now = node.clock.monotonic_now();
        if !node.servers.borrow_mut().note_leaving(server.clone(), now) {
            return;
        }
        let members = members(node);
        log::info!(
            "event=server_leaving server={} source=answer request={request} told={}",
            server.id,
            members.len(),
        );
        let message = Message::ServerLeaving(server);
        for member in members {
            self.send(member, &message);
        }
    }

    /// Asks other nodes for the servers that announced their leave before this node started.
    fn ask_for_leaving(&self, node: &FrontNode) {
        for member in members(node).into_iter().take(LEAVING_QUERIES) {
            self.send(member, &Message::LeavingQuery);
        }
    }

    /// Records the origin of a stream at this node and at those that keep it.
    pub fn record_origin(&self, node: &FrontNode, stream: StreamId, origin: &StreamOrigin) {
        let now = node.clock.monotonic_now();
        self.origins.borrow_mut().record(stream, origin.clone(), now);
        let message = Message::StreamBegun { stream, origin: origin.clone() };
        for holder in holders(node, stream.session, HOLDERS) {
            self.send(holder, &message);
        }
    }

    /// Returns the origin of a stream, from this node or from those that may keep it; `None` if
    /// none of them knows it or answers in time.
    pub async fn find_origin(
        &self,
        node: &FrontNode,
        session: SessionKey,
        sought: SoughtStream,
    ) -> Option<StreamOrigin> {
        let known = self.origins.borrow().find(session, sought).cloned();
        // Another node may have begun a newer stream with the same body.
        let is_certain = matches!(sought, SoughtStream::Request(_));
        if is_certain && known.is_some() {
            return known;
        }
        let asked = holders(node, session, ASKED_NODES);
        let message = Message::StreamQuery { session, sought };
        let send = |receiver| self.send(receiver, &message);
        self.origin_queries.ask((session, sought), &asked, send).await.or(known)
    }

    /// Discards expired loads, pauses and origins, and queries whose request has ended.
    pub fn prune(&self, now: Duration) {
        self.origins.borrow_mut().prune(now);
        self.origin_queries.prune();
        self.keeper.borrow_mut().prune(now);
        self.silent_keepers.borrow_mut().retain(|_, until| now < *until);
        self.queries.borrow_mut().retain(|_, pending| pending.strong_count() > 0);
    }

    fn own_id(&self) -> String {
        self.address.to_string()
    }

    /// Returns the keeper of `server` among this node and the nodes that report and answer.
    fn keeper_of(&self, node: &FrontNode, server: ServerHash, now: Duration) -> String {
        let own_id = self.own_id();
        let limiter = node.limiter.borrow();
        let silent_keepers = self.silent_keepers.borrow();
        let is_silent = |member: &str| silent_keepers.get(member).is_some_and(|until| now < *until);
        let others = limiter
            .members(now)
            .filter(|(member, is_reporting)| *is_reporting && !is_silent(member))
            .map(|(member, _)| member.as_str());
        let keeper = keeper_of(server, others.chain([own_id.as_str()])).map(str::to_owned);
        keeper.unwrap_or(own_id)
    }

    fn apply_loads(&self, node: &FrontNode, query: u32, loads: Vec<(ServerHash, u32, u32)>) {
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

    fn apply_report(&self, node: &FrontNode, sender: SocketAddr, report: Report) {
        let known = self.incarnations.borrow_mut().insert(sender, report.incarnation);
        if report.is_leaving || known.is_some_and(|known| known != report.incarnation) {
            self.keeper.borrow_mut().forget(&sender.to_string());
        }
        apply_report(node, sender, report);
    }

    /// Sends a message that is not repeated when lost.
    fn send(&self, receiver: SocketAddr, message: &Message) {
        let sent = postcard::to_allocvec(message)
            .map_err(io::Error::other)
            .and_then(|bytes| self.socket.try_send_to(&bytes, receiver));
        if let Err(error) = sent {
            log::debug!("event=datagram_not_sent receiver={receiver} cause=\"{error}\"");
        }
    }

    /// Keeps this node registered, discovers other nodes and removes the rows of silent ones, until
    /// the process ends.
    pub async fn maintain_membership(&self, node: &FrontNode) {
        loop {
            match self.refresh_membership(node).await {
                Ok(()) => {
                    self.ask_for_leaving(node);
                    tokio::time::sleep(REPORTS_WAIT).await;
                    node.record_members_read();
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
        if !rows.iter().any(|row| row.key == own) {
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

impl ReleaseRequester for Peers {
    fn request_release(&self, program: &str, holders: &[ClaimantId]) -> bool {
        let message = Message::GiveBack { program: program.to_owned() };
        let bytes = match postcard::to_allocvec(&message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=claim_not_asked program={program} cause=\"{error}\"");
                return false;
            }
        };
        let incarnations = self.incarnations.borrow();
        let claimants =
            incarnations.iter().map(|(address, incarnation)| (address, claimant_id(*incarnation)));
        let mut is_any_asked = false;
        for (address, _) in claimants.filter(|(_, claimant)| holders.contains(claimant)) {
            match self.socket.try_send_to(&bytes, *address) {
                Ok(_) => is_any_asked = true,
                Err(error) => {
                    log::info!("event=claim_not_asked program={program} cause=\"{error}\"");
                }
            }
        }
        is_any_asked
    }
}

/// Formats an incarnation as the node's identifier in claims.
fn claimant_id(incarnation: u64) -> ClaimantId {
    format!("{incarnation:016x}")
}

fn apply_report(node: &FrontNode, sender: SocketAddr, report: Report) {
    let member = sender.to_string();
    let now = node.clock.monotonic_now();
    if report.is_leaving {
        log::info!("event=member_left member={member}");
        node.limiter.borrow_mut().forget(&member);
        node.store_reachability.update_relay(sender, false, Duration::ZERO);
        return;
    }
    let admitted = report.admitted.into_iter().collect();
    let members = {
        let mut limiter = node.limiter.borrow_mut();
        limiter.note_report(&member, report.incarnation, admitted, now);
        limiter.members(now).count()
    };
    node.store_reachability.update_relay(sender, report.has_store, report_timeout(members));
}

/// Returns the `count` reporting nodes that rank highest for a session.
fn holders(node: &FrontNode, session: SessionKey, count: usize) -> Vec<SocketAddr> {
    let now = node.clock.monotonic_now();
    let limiter = node.limiter.borrow();
    let members = limiter.members(now).filter(|(_, is_reporting)| *is_reporting);
    let holders = holders_of(session, members.map(|(member, _)| member.as_str()), count);
    holders.into_iter().filter_map(|member| member.parse().ok()).collect()
}

/// Returns the other nodes and updates the gauge of those that report.
fn members(node: &FrontNode) -> Vec<SocketAddr> {
    let now = node.clock.monotonic_now();
    let limiter = node.limiter.borrow();
    let reporting_count = limiter.members(now).filter(|(_, is_reporting)| *is_reporting).count();
    node.metrics.members_heard.set(i64::try_from(reporting_count).unwrap_or(i64::MAX));
    limiter.members(now).filter_map(|(member, _)| member.parse().ok()).collect()
}
