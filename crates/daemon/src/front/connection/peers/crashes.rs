//! Requests that backend servers lost when they ended, told to all nodes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::crashes::{LostRequest, RequestKeys};

use super::{Message, Peers, members};
use crate::front::process::{FrontNode, quarantine};

/// Time for which requests lost in the same crash are collected for one message.
const COLLECTION_TIME: Duration = Duration::from_millis(5);
/// Maximum number of lost requests in a message; it must fit into a datagram.
const LOST_PER_MESSAGE: usize = 128;
/// Maximum number of lost requests that are repeated with a report.
const REPEATED_MAX: usize = 32;

/// What is to be told to the other nodes.
#[derive(Debug, Default)]
pub(super) struct CrashOutbox {
    lost: RefCell<Vec<LostRequest>>,
    completed: RefCell<Vec<RequestKeys>>,
}

impl CrashOutbox {
    fn is_empty(&self) -> bool {
        self.lost.borrow().is_empty() && self.completed.borrow().is_empty()
    }
}

impl Peers {
    /// Records that a server lost a request of this node when it ended, and tells the other nodes.
    pub fn note_lost(&self, node: &Rc<FrontNode>, lost: LostRequest) {
        let now = node.clock.monotonic_now();
        node.crashes.borrow_mut().note_own_loss(lost, now);
        announce_refused(node, "answer");
        self.collect(node, |outbox| outbox.lost.borrow_mut().push(lost));
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
        for member in members {
            self.send_lost(member, &lost);
            self.send_completed(member, &completed);
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
        let lost = crashes.repeated_losses(REPEATED_MAX, node.clock.monotonic_now());
        for receiver in receivers {
            self.send_lost(*receiver, &lost);
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
        announce_refused(node, &sender.to_string());
        // The sender has missed that these have completed.
        let completed = node.crashes.borrow().completed_since(lost);
        self.send_completed(sender, &completed);
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
