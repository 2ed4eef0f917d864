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
    origin: RefCell<Option<StreamOrigin>>,
    is_decided: Notify,
}

/// Undecided queries by stream; the request that waits for the answer holds the query.
#[derive(Debug, Default)]
pub struct OriginQueries {
    pending: RefCell<HashMap<QueryKey, Vec<Weak<PendingQuery>>>>,
}

impl OriginQueries {
    /// Asks nodes for the origin of a stream, repeatedly if they do not answer; returns as soon as
    /// one of them knows it or all have answered.
    pub async fn ask(
        &self,
        key: QueryKey,
        nodes: &[SocketAddr],
        send: impl Fn(SocketAddr),
    ) -> Option<StreamOrigin> {
        if nodes.is_empty() {
            return None;
        }
        let query = Rc::new(PendingQuery {
            unanswered: RefCell::new(nodes.iter().copied().collect()),
            origin: RefCell::default(),
            is_decided: Notify::new(),
        });
        self.pending.borrow_mut().entry(key).or_default().push(Rc::downgrade(&query));
        for _ in 0..ROUNDS_MAX {
            let unanswered: Vec<SocketAddr> = query.unanswered.borrow().iter().copied().collect();
            unanswered.into_iter().for_each(&send);
            if timeout(REPEAT_INTERVAL, query.is_decided.notified()).await.is_ok() {
                return query.origin.take();
            }
        }
        log::info!(
            "event=origin_query_timeout session={:016x} unanswered={:?}",
            key.0,
            query.unanswered.borrow(),
        );
        None
    }

    /// Applies the answer of a node.
    pub fn apply(&self, key: QueryKey, sender: SocketAddr, origin: Option<&StreamOrigin>) {
        let pending = self.pending.borrow();
        // A late answer finds no query.
        let queries = pending.get(&key).into_iter().flatten().filter_map(Weak::upgrade);
        for query in queries {
            let mut unanswered = query.unanswered.borrow_mut();
            unanswered.remove(&sender);
            if origin.is_some() {
                query.origin.replace(origin.cloned());
            }
            if origin.is_some() || unanswered.is_empty() {
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
