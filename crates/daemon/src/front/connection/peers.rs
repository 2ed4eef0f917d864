//! Datagrams between nodes.
//!
//! A report is small and useless when late, and the next one replaces it, so it is sent as a
//! datagram and not resent when lost. A request to release a claim on a program's budget is not
//! answered: the receiver writes the release to the store, and the requesting node repeats the
//! request while it waits.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::ledger::{ClaimHolders, ClaimantId};
use dandelionfront_coordination::limits::usage::{
    Admitted, TeamHash, report_interval, silence_timeout,
};
use dandelionfront_coordination::rows::{RowStore as _, RowStoreError, RowWrite, WriteOutcome};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

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
}

/// State of a node, sent to the other nodes.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Report {
    /// Random identifier of the process; differs after a restart.
    incarnation: u64,
    /// Admissions since the start of the process and tokens left in the limit, by team.
    admitted: Vec<(TeamHash, Admitted)>,
    /// Requests in flight, by hash of the backend server's identifier.
    in_flight: Vec<(u32, u32)>,
    /// Hashes of the backend servers that the node avoids because they failed.
    avoided: Vec<u32>,
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
}

impl Peers {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let incarnations = RefCell::default();
        Ok(Self { socket, address, incarnation: rand::random(), incarnations })
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
                Ok(Message::Report(report)) => {
                    self.incarnations.borrow_mut().insert(sender, report.incarnation);
                    apply_report(node, sender, report);
                }
                Ok(Message::GiveBack { program }) => {
                    log::info!("event=claim_asked program={program} by={sender}");
                    let node = Rc::clone(node);
                    tokio::task::spawn_local(
                        async move { node.ledgers.release_unused(&program).await },
                    );
                }
                Err(error) => {
                    log::info!("event=datagram_malformed sender={sender} cause=\"{error}\"");
                }
            }
        }
    }

    /// Sends reports until the process ends.
    pub async fn send_reports(&self, node: &FrontNode) {
        loop {
            let members = self.send_report(node, false).await;
            tokio::time::sleep(report_interval(members)).await;
        }
    }

    /// Announces to the other nodes that this one is leaving.
    pub async fn announce_leaving(&self, node: &FrontNode) {
        self.send_report(node, true).await;
    }

    /// Sends one report to every other known node; returns the number of these nodes.
    async fn send_report(&self, node: &FrontNode, is_leaving: bool) -> usize {
        let now = node.clock.monotonic_now();
        let members: Vec<SocketAddr> = {
            let limiter = node.limiter.borrow();
            // Discard the outdated load and avoided servers of nodes that have stopped reporting.
            for (member, _) in limiter.members(now).filter(|(_, is_reporting)| !is_reporting) {
                node.placement.borrow_mut().forget_peer(member);
            }
            let reporting_count =
                limiter.members(now).filter(|(_, is_reporting)| *is_reporting).count();
            node.metrics.members_heard.set(i64::try_from(reporting_count).unwrap_or(i64::MAX));
            limiter.members(now).filter_map(|(member, _)| member.parse().ok()).collect()
        };
        let report = Report {
            incarnation: self.incarnation,
            admitted: node.limiter.borrow().own_admitted().into_iter().collect(),
            in_flight: node.placement.borrow().own_load(),
            avoided: node.placement.borrow().own_avoided(now),
            is_leaving,
            has_store: !node.store_reachability.is_unreachable() && node.table().version() > 0,
        };
        match postcard::to_allocvec(&Message::Report(report)) {
            Ok(bytes) => {
                for member in &members {
                    if let Err(error) = self.socket.send_to(&bytes, member).await {
                        log::debug!("event=report_not_sent member={member} cause=\"{error}\"");
                    }
                }
            }
            Err(error) => log::error!("event=report_not_encoded cause=\"{error}\""),
        }
        members.len()
    }

    /// Keeps this node registered, discovers other nodes and removes the rows of silent ones, until
    /// the process ends.
    pub async fn maintain_membership(&self, node: &FrontNode) {
        loop {
            match self.refresh_membership(node).await {
                Ok(()) => {
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
        let forgotten = node.limiter.borrow_mut().forget_silent(now);
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

impl ClaimHolders for Peers {
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
        node.placement.borrow_mut().forget_peer(&member);
        return;
    }
    let admitted = report.admitted.into_iter().collect();
    let members = {
        let mut limiter = node.limiter.borrow_mut();
        limiter.note_report(&member, report.incarnation, admitted, now);
        limiter.members(now).count()
    };
    node.store_reachability.update_relay(sender, report.has_store, silence_timeout(members));
    let mut placement = node.placement.borrow_mut();
    placement.set_peer_load(&member, report.in_flight);
    placement.set_peer_avoided(&member, report.avoided);
}
