//! Failover for calls to the platform's store.
//!
//! When the store refuses a node's calls or cannot be reached, the node sends them through another
//! node that reaches the store. Relayed responses come from the store itself, so they confirm that
//! the configuration is current just as direct ones do.

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

use super::relay_server::ANSWER_LOST_STATUS;
use super::store::HttpTransport;
use crate::front::process::{FrontClock, FrontMetrics};

/// Time for which direct calls must have failed before the store is considered unreachable; long
/// enough for a few calls to fail.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(500);
/// Consecutive failed direct calls after which a failed call is retried through another node.
///
/// A single refusal may just mean that all nodes together exceed the store's rate limit.
const FAILOVER_AFTER_FAILURES: u32 = 3;
/// Minimum time between two direct calls while calls are relayed.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Reachability of the store for this node, and the other nodes that reach it.
pub struct StoreReachability {
    clock: FrontClock,
    /// Time of the first failure since the last successful direct call.
    failing_since: Cell<Option<Duration>>,
    consecutive_failures: Cell<u32>,
    last_direct_call_at: Cell<Duration>,
    /// Whether the store was unreachable when its state was last logged.
    was_logged_unreachable: Cell<bool>,
    /// Nodes that reach the store, with the times at which their reports expire.
    relays: RefCell<HashMap<SocketAddr, Duration>>,
}

impl StoreReachability {
    /// Creates a state in which the store is considered reachable.
    #[must_use]
    pub fn new(clock: FrontClock) -> Self {
        Self {
            clock,
            failing_since: Cell::new(None),
            consecutive_failures: Cell::new(0),
            last_direct_call_at: Cell::new(Duration::ZERO),
            was_logged_unreachable: Cell::new(false),
            relays: RefCell::default(),
        }
    }

    /// Returns whether direct calls to the store have failed for at least `UNREACHABLE_AFTER`.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        let now = self.clock.monotonic_now();
        self.failing_since
            .get()
            .is_some_and(|failing_since| now >= failing_since + UNREACHABLE_AFTER)
    }

    /// Returns whether this node does not reach the store but another node does.
    ///
    /// Callers are then better served by the other nodes, so this one reports that it is not ready.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.is_unreachable() && self.relay().is_some()
    }

    /// Records whether another node reaches the store; a positive report expires after `valid_for`.
    pub fn update_relay(&self, member: SocketAddr, reaches_store: bool, valid_for: Duration) {
        let mut relays = self.relays.borrow_mut();
        if reaches_store {
            relays.insert(member, self.clock.monotonic_now() + valid_for);
        } else {
            relays.remove(&member);
        }
    }

    /// Records whether a direct call succeeded.
    fn record_direct_call(&self, is_answered: bool) {
        if is_answered {
            self.failing_since.set(None);
            self.consecutive_failures.set(0);
        } else {
            self.consecutive_failures.set(self.consecutive_failures.get().saturating_add(1));
            if self.failing_since.get().is_none() {
                self.failing_since.set(Some(self.clock.monotonic_now()));
            }
        }
        let is_unreachable = self.is_unreachable();
        if self.was_logged_unreachable.replace(is_unreachable) != is_unreachable {
            let relay = self.relay().map_or("-".to_owned(), |relay| relay.to_string());
            log::warn!("event=store_reach is_lost={is_unreachable} helper={relay}");
        }
    }

    /// Returns whether a failed direct call should be retried through another node.
    fn should_fail_over(&self) -> bool {
        self.consecutive_failures.get() >= FAILOVER_AFTER_FAILURES
    }

    /// Returns whether the next call should be sent to the store directly, and records the attempt.
    fn should_try_direct(&self) -> bool {
        let now = self.clock.monotonic_now();
        let is_due = now >= self.last_direct_call_at.get() + PROBE_INTERVAL;
        if !self.is_isolated() || is_due {
            self.last_direct_call_at.set(now);
            return true;
        }
        false
    }

    /// Returns a random node with an unexpired report that it reaches the store.
    fn relay(&self) -> Option<SocketAddr> {
        let now = self.clock.monotonic_now();
        let relays = self.relays.borrow();
        let usable = relays.iter().filter(|(_, valid_until)| now < **valid_until);
        usable.map(|(member, _)| *member).choose(&mut rand::rng())
    }
}

/// Transport that fails over to another node when direct calls to the store fail.
pub struct FailoverTransport {
    direct: Rc<HttpTransport>,
    reachability: Rc<StoreReachability>,
    metrics: Rc<FrontMetrics>,
    relay_transports: RefCell<HashMap<SocketAddr, Rc<HttpTransport>>>,
}

impl FailoverTransport {
    /// Creates a transport that uses `direct` and, when it fails, a relay from `reachability`.
    #[must_use]
    pub fn new(
        direct: Rc<HttpTransport>,
        reachability: Rc<StoreReachability>,
        metrics: Rc<FrontMetrics>,
    ) -> Self {
        Self { direct, reachability, metrics, relay_transports: RefCell::default() }
    }

    async fn call_relay(
        &self,
        relay: SocketAddr,
        request: StoreRequest,
    ) -> Result<StoreReply, RowStoreError> {
        self.metrics.store_calls_relayed.inc();
        let transport = {
            let mut relay_transports = self.relay_transports.borrow_mut();
            let new = || Rc::new(HttpTransport::new(relay, Rc::clone(&self.metrics)));
            Rc::clone(relay_transports.entry(relay).or_insert_with(new))
        };
        let reply = transport.call(request).await?;
        if reply.status == ANSWER_LOST_STATUS {
            let detail = format!("{relay} got no answer");
            return Err(RowStoreError::AnswerLost { detail });
        }
        Ok(reply)
    }
}

#[async_trait(?Send)]
impl Transport for FailoverTransport {
    async fn call(&self, request: StoreRequest) -> Result<StoreReply, RowStoreError> {
        if self.reachability.should_try_direct() {
            let result = self.direct.call(request.clone()).await;
            let is_failed = match &result {
                // Statuses with which the store refuses a call.
                Ok(reply) => matches!(reply.status, 429 | 503),
                Err(_) => true,
            };
            self.reachability.record_direct_call(!is_failed);
            // A write that may have taken effect must not be sent again.
            let may_have_written = request.method != Method::GET
                && matches!(result, Err(RowStoreError::AnswerLost { .. }));
            if !is_failed || may_have_written || !self.reachability.should_fail_over() {
                return result;
            }
            let Some(relay) = self.reachability.relay() else { return result };
            return self.call_relay(relay, request).await;
        }
        match self.reachability.relay() {
            Some(relay) => self.call_relay(relay, request).await,
            None => self.direct.call(request).await,
        }
    }
}
