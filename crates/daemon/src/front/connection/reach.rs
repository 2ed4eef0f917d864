//! Failover for calls to the platform's store.
//!
//! When the store refuses a node's calls or cannot be reached, the node sends them through another
//! node that reaches the store. Relayed responses come from the store itself, so they confirm that
//! the configuration is current just as direct ones do.
//!
//! A refusal with status 429 has two possible causes: all nodes together exceed the store's rate
//! limit, which concerns writes, or the store turns this node away. In the first case another node
//! would only be refused too, so a read tells the two apart before a call is sent again.

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
use tokio::sync::Notify;

use super::relay_server::ANSWER_LOST_STATUS;
use super::store::HttpTransport;
use crate::front::process::{FrontClock, FrontMetrics};

/// Time for which direct calls must have failed before the store is considered unreachable; long
/// enough for a few calls to fail.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(500);
/// Consecutive failed direct calls after which a failed call is retried through another node.
const FAILOVER_AFTER_FAILURES: u32 = 3;
/// Time for which refusals are attributed to the store's rate limit after a read was accepted.
const RATE_LIMITED_FOR: Duration = Duration::from_secs(1);
/// Timeout of a read that tells the rate limit and an outage apart.
const RATE_PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two probes of the store while it is unreachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a probe; longer than [`PROBE_INTERVAL`], so that a slow store is recognized too.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reachability of the store for this node, and the other nodes that reach it.
pub struct StoreReachability {
    clock: FrontClock,
    /// Time of the first failure since the last successful direct call.
    failing_since: Cell<Option<Duration>>,
    consecutive_failures: Cell<u32>,
    /// Consecutive direct calls refused with status 429, whose cause is not known yet.
    unexplained_refusals: Cell<u32>,
    /// Whether a read is under way that tells the cause of refusals.
    is_rate_probed: Cell<bool>,
    /// Time until which refusals with status 429 are attributed to the store's rate limit.
    rate_limited_until: Cell<Duration>,
    /// Notified when a direct call succeeds after failures.
    reached_again: Notify,
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
            unexplained_refusals: Cell::new(0),
            is_rate_probed: Cell::new(false),
            rate_limited_until: Cell::new(Duration::ZERO),
            reached_again: Notify::new(),
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

    /// Returns the time since the store was last reached, if no node reaches it.
    #[must_use]
    pub fn outage(&self) -> Option<Duration> {
        let failing_since = self.failing_since.get()?;
        let is_outage = self.is_unreachable() && self.relay().is_none();
        is_outage.then(|| self.clock.monotonic_now().saturating_sub(failing_since))
    }

    /// Waits until a direct call succeeds after failures.
    pub async fn wait_until_reached(&self) {
        self.reached_again.notified().await;
    }

    /// Records whether a direct call succeeded.
    fn record_direct_call(&self, is_answered: bool) {
        if is_answered {
            if self.failing_since.take().is_some() {
                self.reached_again.notify_waiters();
            }
            self.consecutive_failures.set(0);
            self.unexplained_refusals.set(0);
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

    /// Records a direct call refused with status 429; returns whether its cause should be found out.
    fn record_refused_call(&self) -> bool {
        if self.clock.monotonic_now() < self.rate_limited_until.get() {
            return false;
        }
        self.unexplained_refusals.set(self.unexplained_refusals.get().saturating_add(1));
        self.unexplained_refusals.get() >= FAILOVER_AFTER_FAILURES
            && !self.is_rate_probed.replace(true)
    }

    /// Records whether the store accepted a read after it had refused calls with status 429.
    fn record_rate_probe(&self, is_accepted: bool) {
        self.is_rate_probed.set(false);
        if is_accepted {
            self.rate_limited_until.set(self.clock.monotonic_now() + RATE_LIMITED_FOR);
            log::info!("event=store_rate_limited refusals={}", self.unexplained_refusals.get());
        } else {
            self.consecutive_failures.set(FAILOVER_AFTER_FAILURES);
        }
        self.record_direct_call(is_accepted);
    }

    /// Returns whether a failed direct call should be retried through another node.
    fn should_fail_over(&self) -> bool {
        self.consecutive_failures.get() >= FAILOVER_AFTER_FAILURES
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

    /// Returns whether the store turns this node away, after a call refused with status 429.
    async fn is_turned_away(&self) -> bool {
        if self.reachability.should_fail_over() {
            self.reachability.record_direct_call(false);
            return true;
        }
        if !self.reachability.record_refused_call() {
            return false;
        }
        let (direct, reachability) = (Rc::clone(&self.direct), Rc::clone(&self.reachability));
        // The read goes on when the refused call is given up.
        let probe = tokio::task::spawn_local(async move {
            let reply = direct.probe(RATE_PROBE_TIMEOUT).await;
            let is_accepted = reply.is_ok_and(|reply| !is_refused(&reply));
            reachability.record_rate_probe(is_accepted);
            !is_accepted
        });
        probe.await.unwrap_or(false)
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
        if reply.status == ANSWER_LOST_STATUS.as_u16() {
            let detail = format!("{relay} got no answer");
            return Err(RowStoreError::AnswerLost { detail });
        }
        Ok(reply)
    }
}

#[async_trait(?Send)]
impl Transport for FailoverTransport {
    async fn call(&self, request: StoreRequest) -> Result<StoreReply, RowStoreError> {
        if !self.reachability.is_unreachable() {
            let result = self.direct.call(request.clone()).await;
            let is_failed = match &result {
                Ok(reply) if reply.status == TOO_MANY_CALLS => self.is_turned_away().await,
                Ok(reply) => is_refused(reply),
                Err(_) => true,
            };
            if !matches!(&result, Ok(reply) if reply.status == TOO_MANY_CALLS) {
                self.reachability.record_direct_call(!is_failed);
            }
            // A write that may have taken effect must not be sent again.
            let may_have_written = request.method != Method::GET
                && matches!(result, Err(RowStoreError::AnswerLost { .. }));
            if !is_failed || may_have_written || !self.reachability.should_fail_over() {
                return result;
            }
            let Some(relay) = self.reachability.relay() else { return result };
            return self.call_relay(relay, request).await;
        }
        let Some(relay) = self.reachability.relay() else {
            // Callers are refused at once instead of after a timeout.
            let detail = "no node has reached it for some time".to_owned();
            return Err(RowStoreError::Unreachable { detail });
        };
        self.call_relay(relay, request).await
    }
}

/// Probes the store while it is unreachable, until the process ends.
///
/// A probe does not wait for the one before, so that the store's return is noticed within about
/// [`PROBE_INTERVAL`] although calls during an outage may get no answer at all.
pub async fn probe_store(direct: Rc<HttpTransport>, reachability: Rc<StoreReachability>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if !reachability.is_unreachable() {
            continue;
        }
        let (direct, reachability) = (Rc::clone(&direct), Rc::clone(&reachability));
        tokio::task::spawn_local(async move {
            let reply = direct.probe(PROBE_TIMEOUT).await;
            reachability.record_direct_call(reply.is_ok_and(|reply| !is_refused(&reply)));
        });
    }
}

/// Status of a call that the store refuses beyond its rate limit, or to a node that it turns away.
const TOO_MANY_CALLS: u16 = 429;

/// Returns whether the store refused the call.
fn is_refused(reply: &StoreReply) -> bool {
    matches!(reply.status, TOO_MANY_CALLS | 503)
}
