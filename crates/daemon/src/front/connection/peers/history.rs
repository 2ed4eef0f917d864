//! Finished turns, passed on to the history node of their program and asked of it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_trait::async_trait;
use dandelionfront_coordination::history::{
    HistoryNode, Recall, Recalled, SharedTurn, TurnsFound, answer_query,
};
use dandelionfront_coordination::protocol::Capability;
use dandelionfront_coordination::request::RequestId;
use dandelionfront_coordination::turns::TurnRecord;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::loads::SILENT_KEEPER_PAUSE;
use super::{Message, Peers};
use crate::front::process::FrontNode;

/// Maximum wait for a history node's first reply to a query, and between its replies.
const REPLY_TIMEOUT: Duration = Duration::from_millis(12);
/// Number of queries after which the store is read.
const QUERIES_MAX: usize = 2;

#[derive(Debug)]
struct PendingRecall {
    recall: RefCell<Recall>,
    is_answered: Notify,
}

/// Queries of this node for turns.
#[derive(Debug, Default)]
pub(super) struct HistoryQueries {
    /// Queries by number; the request that waits for the reply holds the query.
    pending: RefCell<HashMap<u32, Weak<PendingRecall>>>,
    next: Cell<u32>,
    /// Nodes that did not answer, and the times until which they are not asked again.
    silent: RefCell<HashMap<String, Duration>>,
}

impl HistoryQueries {
    pub(super) fn apply(&self, query: u32, part: TurnsFound) {
        let pending = self.pending.borrow().get(&query).and_then(Weak::upgrade);
        // A late reply finds no query.
        let Some(pending) = pending else { return };
        pending.recall.borrow_mut().apply(part);
        pending.is_answered.notify_one();
    }

    pub(super) fn prune(&self, now: Duration) {
        self.pending.borrow_mut().retain(|_, pending| pending.strong_count() > 0);
        self.silent.borrow_mut().retain(|_, until| now < *until);
    }
}

/// The history node of a program, which is another node.
pub struct HistoryPeer<'a> {
    node: &'a FrontNode,
    member: String,
    address: SocketAddr,
}

impl HistoryPeer<'_> {
    /// Returns the address of the node in logs.
    #[must_use]
    pub fn member(&self) -> &str {
        &self.member
    }
}

#[async_trait(?Send)]
impl HistoryNode for HistoryPeer<'_> {
    async fn recall(&self, team: &str, turns: &[RequestId]) -> Recalled {
        let queries = &self.node.peers.history;
        let now = self.node.clock.monotonic_now();
        if queries.silent.borrow().get(&self.member).is_some_and(|until| now < *until) {
            return Recalled::default();
        }
        let recall = RefCell::new(Recall::new(team, turns));
        let pending = Rc::new(PendingRecall { recall, is_answered: Notify::new() });
        let query = queries.next.get();
        queries.next.set(query.wrapping_add(1));
        queries.pending.borrow_mut().insert(query, Rc::downgrade(&pending));
        for _ in 0..QUERIES_MAX {
            let turns = pending.recall.borrow().missing();
            let message = Message::TurnsQuery { query, team: team.to_owned(), turns };
            self.node.peers.send(self.address, &message);
            let mut is_complete = false;
            while !is_complete
                && timeout(REPLY_TIMEOUT, pending.is_answered.notified()).await.is_ok()
            {
                is_complete = pending.recall.borrow().missing().is_empty();
            }
            if is_complete {
                break;
            }
        }
        queries.pending.borrow_mut().remove(&query);
        let recall = pending.recall.replace(Recall::new(team, &[]));
        if recall.is_silent() {
            let until = self.node.clock.monotonic_now() + SILENT_KEEPER_PAUSE;
            queries.silent.borrow_mut().insert(self.member.clone(), until);
            log::info!("event=history_node_silent member={} turns={}", self.member, turns.len());
        }
        recall.finish()
    }

    fn pass_on(&self, turn: &str, record: &TurnRecord) {
        let result = match SharedTurn::new(turn, record) {
            Some(shared) => {
                self.node.peers.send(self.address, &Message::TurnStored(shared));
                "passed_on"
            }
            None => "too_large",
        };
        self.node.metrics.turns_passed_on.with_label_values(&[result]).inc();
    }
}

impl Peers {
    /// Returns the history node of `program`; `None` if it is this node or there is none.
    pub fn history_node<'a>(&self, node: &'a FrontNode, program: &str) -> Option<HistoryPeer<'a>> {
        let silent = self.history.silent.borrow();
        let (member, address) =
            self.keeper_of_program(node, program, Capability::SharedHistory, &silent)?;
        Some(HistoryPeer { node, member, address })
    }
}

/// Keeps a turn that another node has stored.
pub(super) fn apply_stored(node: &FrontNode, shared: SharedTurn) {
    let (turn, record) = shared.into_record();
    node.turns.insert_cached(&turn, record);
}

/// Answers another node's query for turns.
pub(super) fn answer(
    node: &FrontNode,
    sender: SocketAddr,
    query: u32,
    team: &str,
    turns: &[RequestId],
) {
    for found in answer_query(&node.turns, team, turns) {
        node.peers.send(sender, &Message::TurnsReply { query, found });
    }
}
