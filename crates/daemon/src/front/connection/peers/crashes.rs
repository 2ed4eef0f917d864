//! Ends of backend servers and the requests that they lost, told to all nodes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::crashes::{
    AbandonedRequest, LostRequest, RequestKeys, ServerRun, server_run,
};
use dandelionfront_coordination::protocol::Capability;
use dandelionfront_coordination::servers::ServerEntry;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};

use super::{Message, Peers, members};
use crate::front::connection::{backend_reach, ended};
use crate::front::process::{FrontNode, quarantine};

/// Time for which requests lost in the same crash are collected for one message.
const COLLECTION_TIME: Duration = Duration::from_millis(5);
/// Maximum number of lost requests in a message; it must fit into a datagram.
const LOST_PER_MESSAGE: usize = 128;
/// Age from which the end of a server says nothing of requests that are abandoned now.
const END_AGE_MAX: Duration = Duration::from_secs(30);
/// Number of nodes that take over the abandoned requests of one that stops.
const HEIRS: usize = 2;
/// Maximum number of servers that are checked at a time for whether they have outlived a request.
const OUTLIVED_CHECKS_MAX: usize = 4;
/// Interval between checks of whether a server that refuses connections has ended.
const REFUSAL_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of lost requests that are repeated with a report.
const REPEATED_MAX: usize = 32;

/// A backend server that has ended.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct EndedServer {
    server: ServerRun,
    /// Time since its end, in milliseconds.
    age_ms: u32,
}

/// A request that a backend server may still run when its node stops.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct HandedOverRequest {
    server: ServerRun,
    request: RequestKeys,
    /// Time since it was sent, in milliseconds.
    sent_ago_ms: u32,
    /// Longest time for which its route lets it run, in milliseconds.
    run_max_ms: u32,
}

/// What is to be told to the other nodes.
#[derive(Debug, Default)]
pub(super) struct CrashOutbox {
    lost: RefCell<Vec<LostRequest>>,
    completed: RefCell<Vec<RequestKeys>>,
    ended: RefCell<Vec<EndedServer>>,
    unobserved: RefCell<Vec<LostRequest>>,
}

impl CrashOutbox {
    fn is_empty(&self) -> bool {
        self.lost.borrow().is_empty()
            && self.completed.borrow().is_empty()
            && self.ended.borrow().is_empty()
            && self.unobserved.borrow().is_empty()
    }
}

impl Peers {
    /// Records that a server lost a request of this node when it ended, and tells the other nodes.
    pub fn note_lost(&self, node: &Rc<FrontNode>, lost: LostRequest) {
        let now = node.clock.monotonic_now();
        node.crashes.borrow_mut().note_own_loss(lost, now);
        announce_refused(node, "answer");
        self.collect(node, |outbox| outbox.lost.borrow_mut().push(lost));
        self.settle_abandoned(node, lost.server, lost.age_ms, "answer");
    }

    /// Records a request whose handling has ended while a server may still run it.
    pub fn note_abandoned(&self, node: &Rc<FrontNode>, request: &str, abandoned: AbandonedRequest) {
        let now = node.clock.monotonic_now();
        let (server, keys) = (abandoned.server.id.clone(), abandoned.request);
        let loss = node.abandoned.borrow_mut().insert(abandoned, now);
        node.metrics.abandoned.open.set(gauge(node.abandoned.borrow().len()));
        log::info!(
            "event=request_abandoned request={request} server={server} fingerprint={:016x} \
             has_ended={}",
            keys.exact,
            loss.is_some(),
        );
        if let Some(loss) = loss {
            self.note_unobserved(node, &[loss], "abandoned");
        }
    }

    /// Records that a server has ended, unless it left in order, and tells the other nodes if they
    /// may not know of it.
    pub fn note_server_end(&self, node: &Rc<FrontNode>, server: &ServerEntry, source: &str) {
        if node.servers.borrow().is_leaving(server) {
            node.abandoned.borrow_mut().discard_at(&server.id);
            return;
        }
        let run = server_run(server);
        if node.abandoned.borrow().has_ended(run) {
            return;
        }
        log::info!(
            "event=server_end_noticed server={} address={} started_unix_ms={} source={source}",
            server.id,
            server.address,
            server.started_unix_ms,
        );
        self.settle_abandoned(node, run, 0, source);
        let ended = EndedServer { server: run, age_ms: 0 };
        self.collect(node, |outbox| outbox.ended.borrow_mut().push(ended));
    }

    /// Finds out in the background whether a server that refused a connection has ended. A node that
    /// is cut off from all servers is refused by each of them.
    pub fn check_refused(&self, node: &Rc<FrontNode>, server: &ServerEntry) {
        let run = server_run(server);
        let now = node.clock.monotonic_now();
        {
            let mut checked = self.refusals_checked.borrow_mut();
            checked.retain(|_, at| now < *at + REFUSAL_CHECK_INTERVAL);
            if node.abandoned.borrow().has_ended(run) || checked.contains_key(&run) {
                return;
            }
            checked.insert(run, now);
        }
        let (node, server) = (Rc::clone(node), server.clone());
        tokio::task::spawn_local(async move {
            if backend_reach::reaches_another(&node, &server.id).await {
                node.peers.note_server_end(&node, &server, "refused");
            }
        });
    }

    /// Records that a server was started anew: what was abandoned at its earlier starts is lost. The
    /// other nodes read the same list.
    pub fn note_server_started(&self, node: &Rc<FrontNode>, entry: &ServerEntry) {
        let replaced = node.abandoned.borrow().replaced_by(entry);
        for server in replaced {
            if !node.servers.borrow().has_announced_leave(&server) {
                self.settle_abandoned(node, server_run(&server), 0, "list");
            }
        }
    }

    /// Records the end of a server; what was abandoned there is lost.
    fn settle_abandoned(&self, node: &Rc<FrontNode>, run: ServerRun, age_ms: u32, source: &str) {
        let now = node.clock.monotonic_now();
        let age = Duration::from_millis(age_ms.into());
        let lost = node.abandoned.borrow_mut().note_ended(run, age, now);
        self.note_unobserved(node, &lost, source);
    }

    /// Records abandoned requests of this node whose servers have ended, and tells the other nodes.
    fn note_unobserved(&self, node: &Rc<FrontNode>, lost: &[LostRequest], source: &str) {
        if lost.is_empty() {
            return;
        }
        node.metrics.abandoned.lost.inc_by(lost.len() as u64);
        for lost in lost {
            log::info!(
                "event=abandoned_request_lost fingerprint={:016x} age_ms={} sent_before_ms={} \
                 source={source}",
                lost.request.exact,
                lost.age_ms,
                lost.sent_before_ms,
            );
        }
        let now = node.clock.monotonic_now();
        node.crashes.borrow_mut().note_own_unobserved(lost, now);
        announce_refused(node, source);
        self.collect(node, |outbox| outbox.unobserved.borrow_mut().extend(lost));
    }

    /// Hands the abandoned requests over to some other nodes before the process ends.
    pub fn hand_over_abandoned(&self, node: &FrontNode) {
        let now = node.clock.monotonic_now();
        let requests: Vec<HandedOverRequest> = node
            .abandoned
            .borrow()
            .iter()
            .map(|abandoned| HandedOverRequest {
                server: server_run(&abandoned.server),
                request: abandoned.request,
                sent_ago_ms: millis_u32(now.saturating_sub(abandoned.sent_at)),
                run_max_ms: millis_u32(abandoned.run_max),
            })
            .collect();
        if requests.is_empty() {
            return;
        }
        let knowing = members(node)
            .into_iter()
            .filter(|member| self.knows(&member.to_string(), Capability::AbandonedRequests));
        let receivers = knowing.choose_multiple(&mut rand::rng(), HEIRS);
        log::info!(
            "event=requests_handed_over count={} receivers={}",
            requests.len(),
            receivers.len(),
        );
        for receiver in receivers {
            for requests in requests.chunks(LOST_PER_MESSAGE) {
                self.send(receiver, &Message::RequestsHandedOver(requests.to_vec()));
            }
        }
    }

    /// Takes over the abandoned requests of a node that stops.
    pub(super) fn apply_handed_over(
        &self,
        node: &Rc<FrontNode>,
        sender: SocketAddr,
        requests: &[HandedOverRequest],
    ) {
        let servers: HashMap<ServerRun, ServerEntry> = {
            let servers = node.servers.borrow();
            servers.all_ready().map(|server| (server_run(server), server.clone())).collect()
        };
        let now = node.clock.monotonic_now();
        let id = format!("of-{sender}");
        for handed_over in requests {
            let Some(server) = servers.get(&handed_over.server) else { continue };
            let abandoned = AbandonedRequest {
                server: server.clone(),
                request: handed_over.request,
                sent_at: now.saturating_sub(Duration::from_millis(handed_over.sent_ago_ms.into())),
                run_max: Duration::from_millis(handed_over.run_max_ms.into()),
            };
            self.note_abandoned(node, &id, abandoned);
        }
    }

    /// Finds out in the background which suspect requests were outlived by the servers at which they
    /// were abandoned, and discards requests at servers whose end would have been noticed.
    pub fn expire_abandoned(&self, node: &Rc<FrontNode>, now: Duration) {
        let expired = node.abandoned.borrow_mut().expire(now);
        if expired > 0 {
            log::info!("event=abandoned_requests_expired count={expired}");
        }
        node.metrics.abandoned.open.set(gauge(node.abandoned.borrow().len()));
        if node.backend_reach.is_lost() {
            return;
        }
        let is_suspect = |request| node.crashes.borrow().is_suspect(request);
        let outlived =
            node.abandoned.borrow_mut().take_outlived(OUTLIVED_CHECKS_MAX, now, is_suspect);
        for (server, request) in outlived {
            let node = Rc::clone(node);
            tokio::task::spawn_local(async move { check_outlived(&node, &server, request).await });
        }
    }

    /// Clears a request that has completed, and tells the other nodes if it was lost in a crash
    /// before.
    pub fn note_completed(&self, node: &Rc<FrontNode>, request: RequestKeys) {
        if !node.crashes.borrow_mut().note_completed(request) {
            return;
        }
        log::info!("event=request_cleared fingerprint={:016x} source=answer", request.exact);
        self.collect(node, |outbox| outbox.completed.borrow_mut().push(request));
    }

    fn collect(&self, node: &Rc<FrontNode>, add: impl FnOnce(&CrashOutbox)) {
        let is_first = self.crash_outbox.is_empty();
        add(&self.crash_outbox);
        if is_first {
            let node = Rc::clone(node);
            tokio::task::spawn_local(async move {
                tokio::time::sleep(COLLECTION_TIME).await;
                node.peers.tell_collected(&node);
            });
        }
    }

    fn tell_collected(&self, node: &FrontNode) {
        let members = members(node);
        let lost = self.crash_outbox.lost.take();
        let completed = self.crash_outbox.completed.take();
        let ended = self.crash_outbox.ended.take();
        let unobserved = self.crash_outbox.unobserved.take();
        for member in members {
            self.send_lost(member, &lost);
            self.send_completed(member, &completed);
            self.send_ended(member, &ended);
            self.send_unobserved(member, &unobserved);
        }
    }

    fn send_ended(&self, receiver: SocketAddr, ended: &[EndedServer]) {
        if !self.lacks(receiver, Capability::AbandonedRequests) {
            for ended in ended.chunks(LOST_PER_MESSAGE) {
                self.send(receiver, &Message::ServersEnded(ended.to_vec()));
            }
        }
    }

    fn send_unobserved(&self, receiver: SocketAddr, lost: &[LostRequest]) {
        if !self.lacks(receiver, Capability::AbandonedRequests) {
            for lost in lost.chunks(LOST_PER_MESSAGE) {
                self.send(receiver, &Message::AbandonedRequestsLost(lost.to_vec()));
            }
        }
    }

    fn send_lost(&self, receiver: SocketAddr, lost: &[LostRequest]) {
        for lost in lost.chunks(LOST_PER_MESSAGE) {
            self.send(receiver, &Message::RequestsLost(lost.to_vec()));
        }
    }

    fn send_completed(&self, receiver: SocketAddr, completed: &[RequestKeys]) {
        for completed in completed.chunks(LOST_PER_MESSAGE) {
            self.send(receiver, &Message::RequestsCompleted(completed.to_vec()));
        }
    }

    /// Tells the requests that were lost in several crashes to the receivers of a report, which may
    /// have been out of reach or started since.
    pub(super) fn repeat_losses(&self, node: &FrontNode, receivers: &[SocketAddr]) {
        let crashes = node.crashes.borrow();
        if crashes.is_empty() {
            return;
        }
        let now = node.clock.monotonic_now();
        let lost = crashes.repeated_losses(REPEATED_MAX, now);
        let unobserved = crashes.repeated_unobserved(REPEATED_MAX, now);
        for receiver in receivers {
            self.send_lost(*receiver, &lost);
            self.send_unobserved(*receiver, &unobserved);
        }
    }

    pub(super) fn apply_lost(
        &self,
        node: &Rc<FrontNode>,
        sender: SocketAddr,
        lost: &[LostRequest],
    ) {
        let now = node.clock.monotonic_now();
        node.crashes.borrow_mut().note_lost(lost, now);
        self.finish_lost(node, sender, lost);
    }

    /// Records that other nodes' abandoned requests were lost.
    pub(super) fn apply_unobserved(
        &self,
        node: &Rc<FrontNode>,
        sender: SocketAddr,
        lost: &[LostRequest],
    ) {
        let now = node.clock.monotonic_now();
        node.crashes.borrow_mut().note_unobserved(lost, now);
        self.finish_lost(node, sender, lost);
    }

    fn finish_lost(&self, node: &Rc<FrontNode>, sender: SocketAddr, lost: &[LostRequest]) {
        announce_refused(node, &sender.to_string());
        // The sender has missed that these have completed.
        let completed = node.crashes.borrow().completed_since(lost);
        self.send_completed(sender, &completed);
        for lost in lost {
            self.apply_end(node, sender, lost.server, lost.age_ms);
        }
    }

    /// Records ends of servers that another node noticed.
    pub(super) fn apply_ended(
        &self,
        node: &Rc<FrontNode>,
        sender: SocketAddr,
        ended: &[EndedServer],
    ) {
        for ended in ended {
            self.apply_end(node, sender, ended.server, ended.age_ms);
        }
    }

    fn apply_end(&self, node: &Rc<FrontNode>, sender: SocketAddr, run: ServerRun, age_ms: u32) {
        // Others repeat ends for as long as they remember the losses.
        if Duration::from_millis(age_ms.into()) < END_AGE_MAX {
            self.settle_abandoned(node, run, age_ms, &sender.to_string());
        }
    }
}

fn millis_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Clears an abandoned request of losses that were not observed if its server still runs.
async fn check_outlived(node: &Rc<FrontNode>, server: &ServerEntry, request: RequestKeys) {
    if !ended::runs_on(node, server, None).await {
        node.peers.check_refused(node, server);
        return;
    }
    let is_same_start = {
        let servers = node.servers.borrow();
        let listed = servers.ready_by_id(&server.id);
        let is_current = node.server_list_age.outdated(node.clock.boot_now()).is_none();
        is_current && listed.is_some_and(|entry| entry.started_unix_ms == server.started_unix_ms)
    };
    if !is_same_start {
        return;
    }
    node.abandoned.borrow_mut().discard(server_run(server), request);
    if node.crashes.borrow_mut().note_outlived(request) {
        log::info!(
            "event=request_outlived server={} fingerprint={:016x}",
            server.id,
            request.exact,
        );
    }
}

/// Logs the requests that are refused from now on; a node that has sent one of them stores the
/// evidence.
fn announce_refused(node: &Rc<FrontNode>, source: &str) {
    let now = node.clock.monotonic_now();
    let mut crashes = node.crashes.borrow_mut();
    for request in crashes.take_newly_refused() {
        log::warn!(
            "event=request_quarantined fingerprint={:016x} path_key={:016x} crashes={} \
             refused_for_ms={} source={source}",
            request.exact,
            request.path,
            crashes.crashes(request),
            crashes.refused_for(request, now).unwrap_or_default().as_millis(),
        );
        if crashes.is_own(request) {
            quarantine::store(node, request);
        }
    }
}

/// Records that requests have completed at another node.
pub(super) fn apply_completed(node: &Rc<FrontNode>, completed: &[RequestKeys], sender: SocketAddr) {
    for request in completed {
        if node.crashes.borrow_mut().note_completed(*request) {
            let fingerprint = request.exact;
            log::info!("event=request_cleared fingerprint={fingerprint:016x} source={sender}");
        }
    }
    announce_refused(node, &sender.to_string());
}
