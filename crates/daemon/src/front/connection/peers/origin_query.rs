//! Queries to other nodes for the origins of streams.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use dandelionfront_coordination::streams::{SessionKey, SoughtStream, StreamOrigin};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time after which nodes that have not answered are asked again; the network latency is a few
/// milliseconds.
const REPEAT_INTERVAL: Duration = Duration::from_millis(30);
/// Number of times that a node is asked.
const ROUNDS_MAX: usize = 3;

/// A stream whose origin is sought.
type QueryKey = (SessionKey, SoughtStream);

/// A query that is not decided yet.
#[derive(Debug)]
struct PendingQuery {
    /// Nodes that have not answered.
    unanswered: RefCell<HashSet<SocketAddr>>,
    origins: RefCell<Vec<StreamOrigin>>,
    /// Whether the first known origin decides the query.
    is_first_enough: bool,
    is_decided: Notify,
}

/// Answers to a query.
#[derive(Debug)]
pub struct OriginAnswers {
    /// Different origins that the asked nodes know.
    pub origins: Vec<StreamOrigin>,
    /// Whether all of them answered.
    pub is_complete: bool,
}

impl PendingQuery {
    fn take_answers(&self) -> OriginAnswers {
        OriginAnswers {
            origins: self.origins.take(),
            is_complete: self.unanswered.borrow().is_empty(),
        }
    }
}

/// Undecided queries by stream; the request that waits for the answer holds the query.
#[derive(Debug, Default)]
pub struct OriginQueries {
    pending: RefCell<HashMap<QueryKey, Vec<Weak<PendingQuery>>>>,
}

impl OriginQueries {
    /// Asks nodes for the origin of a stream, repeatedly if they do not answer; returns as soon as
    /// all have answered, or one of them knows it and `is_first_enough`.
    pub async fn ask(
        &self,
        key: QueryKey,
        nodes: &[SocketAddr],
        is_first_enough: bool,
        send: impl Fn(SocketAddr),
    ) -> OriginAnswers {
        let query = Rc::new(PendingQuery {
            unanswered: RefCell::new(nodes.iter().copied().collect()),
            origins: RefCell::default(),
            is_first_enough,
            is_decided: Notify::new(),
        });
        if nodes.is_empty() {
            return query.take_answers();
        }
        self.pending.borrow_mut().entry(key).or_default().push(Rc::downgrade(&query));
        for _ in 0..ROUNDS_MAX {
            let unanswered: Vec<SocketAddr> = query.unanswered.borrow().iter().copied().collect();
            unanswered.into_iter().for_each(&send);
            if timeout(REPEAT_INTERVAL, query.is_decided.notified()).await.is_ok() {
                return query.take_answers();
            }
        }
        log::info!(
            "event=origin_query_timeout session={:016x} unanswered={:?}",
            key.0,
            query.unanswered.borrow(),
        );
        query.take_answers()
    }

    /// Applies the answer of a node.
    pub fn apply(&self, key: QueryKey, sender: SocketAddr, origin: Option<&StreamOrigin>) {
        let pending = self.pending.borrow();
        // A late answer finds no query.
        let queries = pending.get(&key).into_iter().flatten().filter_map(Weak::upgrade);
        for query in queries {
            let mut unanswered = query.unanswered.borrow_mut();
            unanswered.remove(&sender);
            let mut origins = query.origins.borrow_mut();
            if let Some(origin) = origin.filter(|origin| !origins.contains(origin)) {
                origins.push(origin.clone());
            }
            let is_found = query.is_first_enough && !origins.is_empty();
            if is_found || unanswered.is_empty() {
                query.is_decided.notify_one();
            }
        }
    }

    /// Discards queries whose request has ended.
    pub fn prune(&self) {
        self.pending.borrow_mut().retain(|_, queries| {
            queries.retain(|query| query.strong_count() > 0);
            !queries.is_empty()
        });
    }
}
