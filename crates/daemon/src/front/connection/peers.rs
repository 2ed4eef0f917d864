//! Datagrams between nodes.
//!
//! A report is small, replaces the one before and is worthless once late, so it is sent as a
//! datagram instead of a call; a lost one is made up for by the next. A request to give back a
//! claim is answered by a write to the store, and repeated by the node that waits for it.

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
use dandelionfront_coordination::rows::{RowRead, RowStore as _, RowStoreError, RowWrite};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::front::process::FrontNode;

/// Largest datagram.
const DATAGRAM_MAX_BYTES: usize = 8 * 1024;
/// Table in which nodes list their addresses.
const NODES_TABLE: &str = "nodes";
/// Time between two reads of the list, for nodes that were cut off when others started.
const LIST_INTERVAL: Duration = Duration::from_secs(15);
/// Time after the first listing in which the others' reports arrive; callers come afterwards.
const FIRST_REPORTS_WAIT: Duration = Duration::from_millis(250);
/// Pause after a failed read or write of the list.
const LIST_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// What a node sends to another.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// State of the sender.
    Report(Report),
    /// Asks for what the receiver does not use of its claim on a program's budget.
    GiveBack {
        /// Program.
        program: String,
    },
}

/// What a node tells the others.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Report {
    /// Differs after a restart.
    incarnation: u64,
    /// What was admitted since the start, by team.
    admitted: Vec<(TeamHash, Admitted)>,
    /// Requests under way, by hash of the backend server's identifier.
    in_flight: Vec<(u32, u32)>,
    /// Hashes of the backend servers that the node avoids because they failed.
    avoided: Vec<u32>,
    /// Whether the node leaves as planned.
    is_leaving: bool,
    /// Whether the node reaches the platform's store.
    has_store: bool,
}

/// The node's socket for reports.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    address: SocketAddr,
    incarnation: u64,
    /// Incarnations last heard of.
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
        claimant_of(self.incarnation)
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
                    accept(node, sender, report);
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
    pub async fn report(&self, node: &FrontNode) {
        loop {
            let members = self.send(node, false).await;
            tokio::time::sleep(report_interval(members)).await;
        }
    }

    /// Tells the other nodes that this one leaves.
    pub async fn say_goodbye(&self, node: &FrontNode) {
        self.send(node, true).await;
    }

    /// Sends one report to every member; returns their number.
    async fn send(&self, node: &FrontNode, is_leaving: bool) -> usize {
        let now = node.clock.monotonic_now();
        let members: Vec<SocketAddr> = {
            let limiter = node.limiter.borrow();
            for (member, _) in limiter.members(now).filter(|(_, is_heard)| !is_heard) {
                node.placement.borrow_mut().forget_peer(member);
            }
            let heard = limiter.members(now).filter(|(_, is_heard)| *is_heard).count();
            node.metrics.members_heard.set(i64::try_from(heard).unwrap_or(i64::MAX));
            limiter.members(now).filter_map(|(member, _)| member.parse().ok()).collect()
        };
        let report = Report {
            incarnation: self.incarnation,
            admitted: node.limiter.borrow().own_admitted().into_iter().collect(),
            in_flight: node.placement.borrow().own_load(),
            avoided: node.placement.borrow().own_avoided(now),
            is_leaving,
            has_store: !node.reach.is_lost() && node.table().version() > 0,
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

    /// Lists this node and learns of the others until the process ends.
    pub async fn keep_listed(&self, node: &FrontNode) {
        loop {
            match self.list(node).await {
                Ok(()) => {
                    tokio::time::sleep(FIRST_REPORTS_WAIT).await;
                    node.note_members_known();
                    tokio::time::sleep(LIST_INTERVAL).await;
                }
                Err(error) => {
                    log::info!("event=listing_failed cause=\"{error}\"");
                    tokio::time::sleep(LIST_RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn list(&self, node: &FrontNode) -> Result<(), RowStoreError> {
        let own = self.address.to_string();
        let (mut rows, _) = node.store.read_part(NODES_TABLE, "").await?;
        if !rows.iter().any(|row| row.key == own) {
            self.write(node, &own, 0, Some(node.settings.zone.as_bytes())).await?;
            // Of two nodes that start together, at least the one that wrote last finds the other.
            (rows, _) = node.store.read_part(NODES_TABLE, "").await?;
        }
        let now = node.clock.monotonic_now();
        let forgotten = node.limiter.borrow_mut().forget_silent(now);
        for row in rows.iter().filter(|row| row.key != own) {
            if forgotten.contains(&row.key) {
                log::info!("event=member_forgotten member={}", row.key);
                self.write(node, &row.key, row.version, None).await?;
            } else {
                node.limiter.borrow_mut().note_listed(&row.key);
            }
        }
        Ok(())
    }

    async fn write(
        &self,
        node: &FrontNode,
        key: &str,
        expected_version: u64,
        value: Option<&[u8]>,
    ) -> Result<RowRead, RowStoreError> {
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
        let known = incarnations.iter().map(|(address, known)| (address, claimant_of(*known)));
        let mut is_any_asked = false;
        for (address, _) in known.filter(|(_, claimant)| holders.contains(claimant)) {
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

fn claimant_of(incarnation: u64) -> ClaimantId {
    format!("{incarnation:016x}")
}

fn accept(node: &FrontNode, sender: SocketAddr, report: Report) {
    let member = sender.to_string();
    let now = node.clock.monotonic_now();
    if report.is_leaving {
        log::info!("event=member_left member={member}");
        node.limiter.borrow_mut().forget(&member);
        node.reach.note_helper(sender, false, Duration::ZERO);
        node.placement.borrow_mut().forget_peer(&member);
        return;
    }
    let admitted = report.admitted.into_iter().collect();
    let members = {
        let mut limiter = node.limiter.borrow_mut();
        limiter.note_report(&member, report.incarnation, admitted, now);
        limiter.members(now).count()
    };
    node.reach.note_helper(sender, report.has_store, silence_timeout(members));
    let mut placement = node.placement.borrow_mut();
    placement.set_peer_load(&member, report.in_flight);
    placement.set_peer_avoided(&member, report.avoided);
}
