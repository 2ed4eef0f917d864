//! Datagrams between nodes.
//!
//! A report is small and useless when late, and the next one replaces it, so it is sent as a
//! datagram and not resent when lost. A request to release a claim on a program's budget is not
//! answered: the receiver writes the release to the store, and the requesting node repeats the
//! request while it waits.

mod crashes;
#[cfg(test)]
mod frozen;
mod history;
mod leaving;
mod loads;
mod membership;
mod origin_query;
mod origins;
mod permits;
mod protocol;
mod reports;
mod skipped;
mod speeds;
pub mod tokens;
mod zones;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::crashes::{LostRequest, RequestKeys, ServerRun};
use dandelionfront_coordination::history::{SHARED_MAX_BYTES, SharedTurn, TurnsFound};
use dandelionfront_coordination::ids::TeamId;
use dandelionfront_coordination::ledger::{ClaimantId, ReleaseRequester};
use dandelionfront_coordination::lending::{LoanEnd, LoanId, LoanReply, LoanRequest};
use dandelionfront_coordination::load::{LoadKeeper, NodeLoad, ServerHash};
use dandelionfront_coordination::protocol::FleetProtocol;
use dandelionfront_coordination::request::RequestId;
use dandelionfront_coordination::servers::LeavingServer;
use dandelionfront_coordination::speed::SlowdownStep;
use dandelionfront_coordination::streams::{
    SessionKey, SoughtStream, StreamId, StreamOrigin, StreamOrigins,
};
use dandelionfront_coordination::zones::ZoneState;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use self::crashes::{CrashOutbox, EndedServer, HandedOverRequest};
pub use self::history::HistoryPeer;
use self::history::HistoryQueries;
use self::loads::AskedLoads;
use self::origin_query::OriginQueries;
use self::permits::{ColdServer, Permits, ServerLimit};
use self::reports::Report;
use self::skipped::SkippedDatagrams;
use self::speeds::Speeds;
use self::tokens::Loans;
use crate::front::process::FrontNode;

/// Size of the receive buffer; a longer datagram is truncated and logged as malformed.
const DATAGRAM_MAX_BYTES: usize = SHARED_MAX_BYTES + 1024;

/// Message from one node to another.
///
/// Nodes of different builds run side by side, so variants and the structs in them do not change;
/// new variants are appended. A node skips a message whose variant it does not know.
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
    /// Limit of a backend server: from a node that got an answer to the server's keeper, and from
    /// the keeper to a node that asks it.
    ServerLimit(ServerLimit),
    /// Asks the keeper of a backend server for a permit for one request.
    PermitQuery {
        /// Number chosen by the sender, repeated in the reply.
        query: u32,
        /// Limit of the server as known to the sender.
        limit: ServerLimit,
    },
    /// Reply to [`Self::PermitQuery`].
    PermitReply {
        /// Number of the query.
        query: u32,
        /// Time until the next permit; `None` if the permit is granted.
        wait_ms: Option<u32>,
    },
    /// Requests that backend servers lost when they ended.
    RequestsLost(Vec<LostRequest>),
    /// Requests that have completed after they were lost in a crash.
    RequestsCompleted(Vec<RequestKeys>),
    /// States of availability zones for which the operator has made a request.
    ZoneStates(Vec<ZoneState>),
    /// Asks for the states of zones; answered by [`Self::ZoneStates`] if there are any.
    ZonesQuery,
    /// Duration of an answer of a backend server; sent to the server's keeper.
    ServerPace {
        /// The server.
        server: ServerHash,
        /// Time of its start.
        started_unix_ms: u64,
        /// Ratio of the duration to the typical one, in percent.
        ratio_percent: u32,
    },
    /// Slowdowns of backend servers, with the times of their starts; sent before a
    /// [`Self::LoadReply`] if some are or were slow.
    ServerSpeeds(Vec<(ServerHash, u64, SlowdownStep)>),
    /// A backend server is cold; from the server's keeper to a node that asks for its load.
    ServerCold(ColdServer),
    /// Asks the keeper of a cold backend server for a permit for one request; answered by
    /// [`Self::PermitReply`].
    ColdPermitQuery {
        /// Number chosen by the sender, repeated in the reply.
        query: u32,
        /// The server as known to the sender.
        cold: ColdServer,
        /// What an answer of the server that the sender knows said of its limit, if any.
        named: Option<ServerLimit>,
    },
    /// Asks the keeper of a program for tokens of its budget.
    TokensQuery(LoanRequest),
    /// Reply to [`Self::TokensQuery`].
    TokensReply {
        /// The loan asked for.
        loan: LoanId,
        /// The reply; another follows [`LoanReply::Pending`].
        reply: LoanReply,
    },
    /// Ends a loan.
    TokensReturned(LoanEnd),
    /// A finished turn that the store has accepted, to be kept by the receiver.
    TurnStored(SharedTurn),
    /// Asks the history node of a program for turns.
    TurnsQuery {
        /// Number chosen by the sender, repeated in the reply.
        query: u32,
        /// Team of the turns.
        team: TeamId,
        /// Request ids of the turns.
        turns: Vec<RequestId>,
    },
    /// Part of the reply to [`Self::TurnsQuery`].
    TurnsReply {
        /// Number of the query.
        query: u32,
        /// What the sender holds.
        found: TurnsFound,
    },
    /// Backend servers that have ended.
    ServersEnded(Vec<EndedServer>),
    /// Requests that nobody waited for anymore when their backend servers ended.
    AbandonedRequestsLost(Vec<LostRequest>),
    /// Requests that backend servers may still run, though their node, which stops, no longer waits
    /// for their answers.
    RequestsHandedOver(Vec<HandedOverRequest>),
}

/// The node's socket for messages to and from the other nodes.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    address: SocketAddr,
    incarnation: u64,
    /// Whether this process has registered the node, or knows that an earlier one did.
    is_registered: Cell<bool>,
    /// Incarnation in the last report of each node.
    incarnations: RefCell<HashMap<SocketAddr, u64>>,
    /// Loads of the backend servers whose keeper is this node.
    keeper: RefCell<LoadKeeper>,
    /// Queries by number; the request that waits for the answer holds the query.
    queries: RefCell<HashMap<u32, AskedLoads>>,
    next_query: Cell<u32>,
    /// Nodes that did not answer a query, and the times until which they are not asked again.
    silent_keepers: RefCell<HashMap<String, Duration>>,
    /// Origins of streams that this node began, resumed or keeps for others.
    origins: RefCell<StreamOrigins>,
    origin_queries: OriginQueries,
    permits: Permits,
    loans: Loans,
    history: HistoryQueries,
    crash_outbox: CrashOutbox,
    /// Servers that refused a connection, with the times at which they were checked.
    refusals_checked: RefCell<HashMap<ServerRun, Duration>>,
    /// Protocol numbers of the other nodes.
    fleet_protocol: RefCell<FleetProtocol>,
    speeds: Speeds,
    skipped: SkippedDatagrams,
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
            is_registered: Cell::default(),
            incarnations: RefCell::default(),
            keeper: RefCell::default(),
            queries: RefCell::default(),
            next_query: Cell::default(),
            silent_keepers: RefCell::default(),
            origins: RefCell::default(),
            origin_queries: OriginQueries::default(),
            permits: Permits::default(),
            loans: Loans::default(),
            history: HistoryQueries::default(),
            crash_outbox: CrashOutbox::default(),
            refusals_checked: RefCell::default(),
            fleet_protocol: RefCell::default(),
            speeds: Speeds::default(),
            skipped: SkippedDatagrams::default(),
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
            let decoded = postcard::take_from_bytes::<Message>(&buffer[..length]);
            let trailer = decoded.as_ref().map_or(&[][..], |(_, trailer)| *trailer);
            match decoded.map(|(message, _)| message) {
                Ok(Message::Report(report)) => self.apply_report(node, sender, report, trailer),
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
                    self.answer_load_query(node, sender, query, servers);
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
                Ok(Message::ServerLimit(limit)) => permits::apply_limit(node, sender, limit),
                Ok(Message::PermitQuery { query, limit }) => {
                    permits::apply_limit(node, sender, limit);
                    node.peers.answer_permit_query(node, sender, query, limit.server, None);
                }
                Ok(Message::ServerCold(cold)) => permits::apply_cold(node, sender, cold),
                Ok(Message::ColdPermitQuery { query, cold, named }) => {
                    permits::apply_cold(node, sender, cold);
                    if let Some(named) = named {
                        permits::apply_limit(node, sender, named);
                    }
                    let (server, per_s) = (cold.server, Some(cold.per_s));
                    node.peers.answer_permit_query(node, sender, query, server, per_s);
                }
                Ok(Message::PermitReply { query, wait_ms }) => self.permits.apply(query, wait_ms),
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
                Ok(Message::RequestsLost(lost)) => self.apply_lost(node, sender, &lost),
                Ok(Message::ServersEnded(ended)) => self.apply_ended(node, sender, &ended),
                Ok(Message::RequestsHandedOver(requests)) => {
                    self.apply_handed_over(node, sender, &requests);
                }
                Ok(Message::AbandonedRequestsLost(lost)) => {
                    self.apply_unobserved(node, sender, &lost);
                }
                Ok(Message::RequestsCompleted(completed)) => {
                    crashes::apply_completed(node, &completed, sender);
                }
                Ok(Message::ZoneStates(states)) => self.apply_zone_states(node, sender, &states),
                Ok(Message::ZonesQuery) => self.answer_zones_query(node, sender),
                Ok(Message::ServerPace { server, started_unix_ms, ratio_percent }) => {
                    let now = node.clock.monotonic_now();
                    let ratio = f64::from(ratio_percent) / 100.0;
                    self.speeds.record(node, server, started_unix_ms, ratio, now);
                }
                Ok(Message::ServerSpeeds(speeds)) => speeds::apply_speeds(node, speeds),
                Ok(Message::TokensQuery(request)) => tokens::answer_query(node, sender, request),
                Ok(Message::TokensReply { loan, reply }) => self.loans.apply(loan, reply),
                Ok(Message::TokensReturned(end)) => tokens::apply_end(node, end),
                Ok(Message::TurnStored(turn)) => history::apply_stored(node, turn),
                Ok(Message::TurnsQuery { query, team, turns }) => {
                    history::answer(node, sender, query, &team, &turns);
                }
                Ok(Message::TurnsReply { query, found }) => self.history.apply(query, found),
                Err(error) => self.skipped.note(node, sender, &buffer[..length], &error),
            }
        }
    }

    /// Discards expired loads, pauses and origins, and queries whose request has ended.
    pub fn prune(&self, now: Duration) {
        self.origins.borrow_mut().prune(now);
        self.origin_queries.prune();
        self.permits.prune(now);
        self.loans.prune(now);
        self.history.prune(now);
        self.speeds.prune(now);
        self.keeper.borrow_mut().prune(now);
        self.silent_keepers.borrow_mut().retain(|_, until| now < *until);
        self.queries.borrow_mut().retain(|_, asked| asked.is_reply_useful(now));
    }

    fn own_id(&self) -> String {
        self.address.to_string()
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

/// Returns the other nodes and updates the gauge of those that report.
fn members(node: &FrontNode) -> Vec<SocketAddr> {
    let now = node.clock.monotonic_now();
    let limiter = node.limiter.borrow();
    let reporting_count = limiter.members(now).filter(|(_, is_reporting)| *is_reporting).count();
    node.metrics.members_heard.set(i64::try_from(reporting_count).unwrap_or(i64::MAX));
    limiter.members(now).filter_map(|(member, _)| member.parse().ok()).collect()
}
