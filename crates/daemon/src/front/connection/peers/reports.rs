//! Periodic reports of a node's state to the other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use dandelionfront_coordination::limits::usage::{
    Admitted, REPORT_INTERVAL_MIN, TeamHash, report_interval, report_timeout,
};
use serde::{Deserialize, Serialize};

use super::protocol::ReportExtension;
use super::{Message, Peers, members};
use crate::front::process::FrontNode;

/// What follows the [`ReportExtension`] of a report; later builds append after it.
#[derive(Debug, Serialize, Deserialize)]
struct ReportUptime {
    /// Time for which the process has run, in milliseconds.
    uptime_ms: u64,
}

/// State of a node, sent to the other nodes.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Report {
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

impl ReportUptime {
    fn at(now: Duration) -> Self {
        Self { uptime_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX) }
    }

    /// Returns the uptime in what follows a report; `None` if the sender's build does not tell it.
    fn decode(trailer: &[u8]) -> Option<Duration> {
        let (_, rest) = postcard::take_from_bytes::<ReportExtension>(trailer).ok()?;
        let (uptime, _) = postcard::take_from_bytes::<Self>(rest).ok()?;
        Some(Duration::from_millis(uptime.uptime_ms))
    }
}

impl Peers {
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
            self.repeat_losses(node, &receivers);
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
        let encoded = postcard::to_allocvec(&Message::Report(report))
            .and_then(|bytes| postcard::to_extend(&ReportExtension::own(), bytes))
            .and_then(|bytes| postcard::to_extend(&ReportUptime::at(now), bytes));
        match encoded {
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

    /// Applies a report; `trailer` is what follows it in the datagram.
    pub(super) fn apply_report(
        &self,
        node: &FrontNode,
        sender: SocketAddr,
        report: Report,
        trailer: &[u8],
    ) {
        let known = self.incarnations.borrow_mut().insert(sender, report.incarnation);
        if report.is_leaving || known.is_some_and(|known| known != report.incarnation) {
            self.keeper.borrow_mut().forget(&sender.to_string());
        }
        apply_report(node, sender, report);
        if let Some(uptime) = ReportUptime::decode(trailer) {
            node.limiter.borrow_mut().note_uptime(&sender.to_string(), uptime);
        }
        self.note_protocol(node, &sender.to_string(), trailer);
    }
}

fn apply_report(node: &FrontNode, sender: SocketAddr, report: Report) {
    let member = sender.to_string();
    let now = node.clock.monotonic_now();
    let admitted = report.admitted.into_iter().collect();
    let members = {
        let mut limiter = node.limiter.borrow_mut();
        limiter.note_report(&member, report.incarnation, admitted, now);
        limiter.members(now).count()
    };
    if report.is_leaving {
        log::info!("event=member_left member={member}");
        node.limiter.borrow_mut().forget(&member);
        node.store_reachability.update_relay(sender, false, Duration::ZERO);
        return;
    }
    node.store_reachability.update_relay(sender, report.has_store, report_timeout(members));
}
