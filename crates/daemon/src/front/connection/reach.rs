//! Ways to the platform's store: the node's own, or through another node.
//!
//! A node that the store turns away, or that is cut off from it, sends its calls through a node
//! that reaches it. The answers are the store's own, so they prove freshness like direct ones.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dandelionfront_coordination::rows::RowStoreError;
use dandelionfront_platform::store::{StoreReply, StoreRequest, Transport};
use http::Method;
use rand::seq::IteratorRandom as _;

use super::relay_server::LOST_STATUS;
use super::store::HttpTransport;
use crate::front::process::{FrontClock, FrontMetrics};

/// Time without an answer after which the store counts as lost; a few failed calls.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Direct calls in a row without an answer after which others are made through another node: a
/// single one may be turned away because all nodes together call too often.
const HELP_AFTER_FAILURES: u32 = 3;
/// Time between two direct calls while the store is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// What a node knows of the ways to the store.
pub struct StoreReach {
    clock: FrontClock,
    /// Time since which the store does not answer this node directly.
    lost_at: Cell<Option<Duration>>,
    failures_in_row: Cell<u32>,
    probed_at: Cell<Duration>,
    /// State in the last log line.
    is_logged_lost: Cell<bool>,
    /// Nodes that reach the store, with the times up to which their reports count.
    helpers: RefCell<HashMap<SocketAddr, Duration>>,
}

impl StoreReach {
    /// Creates a state in which the store counts as reached.
    #[must_use]
    pub fn new(clock: FrontClock) -> Self {
        Self {
            clock,
            lost_at: Cell::new(None),
            failures_in_row: Cell::new(0),
            probed_at: Cell::new(Duration::ZERO),
            is_logged_lost: Cell::new(false),
            helpers: RefCell::default(),
        }
    }

    /// Returns whether the store has not answered this node directly for a while.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        let now = self.clock.monotonic_now();
        self.lost_at.get().is_some_and(|lost_at| now >= lost_at + LOST_AFTER)
    }

    /// Returns whether other nodes reach the store and this one does not: callers are then better
    /// served there.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.is_lost() && self.helper().is_some()
    }

    /// Records whether another node reaches the store; its report counts for `valid_for`.
    pub fn note_helper(&self, member: SocketAddr, has_store: bool, valid_for: Duration) {
        let mut helpers = self.helpers.borrow_mut();
        if has_store {
            helpers.insert(member, self.clock.monotonic_now() + valid_for);
        } else {
            helpers.remove(&member);
        }
    }

    /// Records whether the store answered a direct call.
    fn note_direct(&self, is_answered: bool) {
        if is_answered {
            self.lost_at.set(None);
            self.failures_in_row.set(0);
        } else {
            self.failures_in_row.set(self.failures_in_row.get().saturating_add(1));
            if self.lost_at.get().is_none() {
                self.lost_at.set(Some(self.clock.monotonic_now()));
            }
        }
        let is_lost = self.is_lost();
        if self.is_logged_lost.replace(is_lost) != is_lost {
            let helper = self.helper().map_or("-".to_owned(), |helper| helper.to_string());
            log::warn!("event=store_reach is_lost={is_lost} helper={helper}");
        }
    }

    /// Returns whether a call that failed directly should be made through another node.
    fn needs_help(&self) -> bool {
        self.failures_in_row.get() >= HELP_AFTER_FAILURES
    }

    /// Returns whether the next call goes directly.
    fn tries_direct(&self) -> bool {
        let now = self.clock.monotonic_now();
        let is_due = now >= self.probed_at.get() + PROBE_INTERVAL;
        if !self.is_cut_off() || is_due {
            self.probed_at.set(now);
            return true;
        }
        false
    }

    /// Returns a node that reached the store when it last reported.
    fn helper(&self) -> Option<SocketAddr> {
        let now = self.clock.monotonic_now();
        let helpers = self.helpers.borrow();
        let heard = helpers.iter().filter(|(_, valid_until)| now < **valid_until);
        heard.map(|(member, _)| *member).choose(&mut rand::rng())
    }
}

/// Transport that goes through another node when the store does not answer directly.
pub struct ReachingTransport {
    direct: Rc<HttpTransport>,
    reach: Rc<StoreReach>,
    metrics: Rc<FrontMetrics>,
    helpers: RefCell<HashMap<SocketAddr, Rc<HttpTransport>>>,
}

impl ReachingTransport {
    /// Creates a transport over `direct` with the ways known to `reach`.
    #[must_use]
    pub fn new(
        direct: Rc<HttpTransport>,
        reach: Rc<StoreReach>,
        metrics: Rc<FrontMetrics>,
    ) -> Self {
        Self { direct, reach, metrics, helpers: RefCell::default() }
    }

    async fn call_helper(
        &self,
        helper: SocketAddr,
        request: StoreRequest,
    ) -> Result<StoreReply, RowStoreError> {
        self.metrics.store_calls_relayed.inc();
        let transport = {
            let mut helpers = self.helpers.borrow_mut();
            let new = || Rc::new(HttpTransport::new(helper, Rc::clone(&self.metrics)));
            Rc::clone(helpers.entry(helper).or_insert_with(new))
        };
        let reply = transport.call(request).await?;
        if reply.status == LOST_STATUS {
            let detail = format!("{helper} got no answer");
            return Err(RowStoreError::AnswerLost { detail });
        }
        Ok(reply)
    }
}

#[async_trait(?Send)]
impl Transport for ReachingTransport {
    async fn call(&self, request: StoreRequest) -> Result<StoreReply, RowStoreError> {
        if self.reach.tries_direct() {
            let result = self.direct.call(request.clone()).await;
            let is_turned_away = match &result {
                Ok(reply) => matches!(reply.status, 429 | 503),
                Err(_) => true,
            };
            self.reach.note_direct(!is_turned_away);
            // A write that may have taken effect must not be made once more from here.
            let is_lost_write = request.method != Method::GET
                && matches!(result, Err(RowStoreError::AnswerLost { .. }));
            if !is_turned_away || is_lost_write || !self.reach.needs_help() {
                return result;
            }
            let Some(helper) = self.reach.helper() else { return result };
            return self.call_helper(helper, request).await;
        }
        match self.reach.helper() {
            Some(helper) => self.call_helper(helper, request).await,
            None => self.direct.call(request).await,
        }
    }
}
