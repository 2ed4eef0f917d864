//! Reports between nodes.
//!
//! A report is small, replaces the one before and is worthless once late, so it is sent as a
//! datagram instead of a call; a lost one is made up for by the next.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::limits::usage::{
    Admitted, TeamHash, report_interval, silent_after,
};
use dandelionfront_coordination::rows::{RowRead, RowStore as _, RowWrite};
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

/// What a node tells the others.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Report {
    /// Differs after a restart.
    incarnation: u64,
    /// What was admitted since the start, by team.
    admitted: Vec<(TeamHash, Admitted)>,
    /// Requests under way, by hash of the backend server's identifier.
    in_flight: Vec<(u32, u32)>,
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
}

impl Peers {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket, address, incarnation: rand::random() })
    }

    /// Receives reports until the process ends.
    pub async fn receive(&self, node: &FrontNode) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("event=report_not_received cause=\"{error}\"");
                    continue;
                }
            };
            match postcard::from_bytes::<Report>(&buffer[..length]) {
                Ok(report) => accept(node, sender, report),
                Err(error) => {
                    log::info!("event=report_malformed sender={sender} cause=\"{error}\"");
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
                node.placement.borrow_mut().set_peer_load(member, Vec::new());
            }
            limiter.members(now).filter_map(|(member, _)| member.parse().ok()).collect()
        };
        let report = Report {
            incarnation: self.incarnation,
            admitted: node.limiter.borrow().own_admitted().into_iter().collect(),
            in_flight: node.placement.borrow().own_load(),
            is_leaving,
            has_store: !node.reach.is_lost() && node.table().version() > 0,
        };
        match postcard::to_allocvec(&report) {
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

    async fn list(
        &self,
        node: &FrontNode,
    ) -> Result<(), dandelionfront_coordination::rows::RowStoreError> {
        let own = self.address.to_string();
        let (rows, _) = node.store.read_part(NODES_TABLE, "").await?;
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
        if !rows.iter().any(|row| row.key == own) {
            self.write(node, &own, 0, Some(node.settings.zone.as_bytes())).await?;
        }
        Ok(())
    }

    async fn write(
        &self,
        node: &FrontNode,
        key: &str,
        expected_version: u64,
        value: Option<&[u8]>,
    ) -> Result<RowRead, dandelionfront_coordination::rows::RowStoreError> {
        let write = RowWrite { table: NODES_TABLE, part: "", key, expected_version, value };
        node.store.write(write).await
    }
}

fn accept(node: &FrontNode, sender: SocketAddr, report: Report) {
    let member = sender.to_string();
    let now = node.clock.monotonic_now();
    if report.is_leaving {
        log::info!("event=member_left member={member}");
        node.limiter.borrow_mut().forget(&member);
        node.reach.note_helper(sender, false, Duration::ZERO);
        node.placement.borrow_mut().set_peer_load(&member, Vec::new());
        return;
    }
    let admitted = report.admitted.into_iter().collect();
    let members = {
        let mut limiter = node.limiter.borrow_mut();
        limiter.note_report(&member, report.incarnation, admitted, now);
        limiter.members(now).count()
    };
    node.reach.note_helper(sender, report.has_store, silent_after(members));
    node.placement.borrow_mut().set_peer_load(&member, report.in_flight);
}

/// Shares a socket between the tasks that use it.
pub type SharedPeers = Rc<Peers>;
