//! Transport that paces writes to the platform's store and repeats refused ones.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dandelionfront_coordination::rows::RowStoreError;
use dandelionfront_coordination::store_pace::{
    CallClass, PacePolicy, StorePace, WaitingCalls, retry_delay_max,
};
use dandelionfront_platform::store::{StoreReply, StoreRequest, Transport};
use tokio::sync::oneshot;

use crate::front::process::{FrontClock, FrontMetrics};

/// Status of a call beyond the store's rate limit.
const TOO_MANY_CALLS: u16 = 429;
/// Status of a call that the store did not execute for another reason.
const UNAVAILABLE: u16 = 503;

/// Paces the writes of a node and holds those that wait.
pub struct StorePacer {
    clock: FrontClock,
    metrics: Rc<FrontMetrics>,
    pace: RefCell<StorePace>,
    waiting: RefCell<WaitingCalls<oneshot::Sender<()>>>,
    /// Whether a task lets waiting calls go.
    is_running: Cell<bool>,
}

impl StorePacer {
    /// Creates a pacer without a limit.
    ///
    /// `store_limit_per_s` is the number of writes per second that the store accepts from all nodes
    /// together, if it is known.
    #[must_use]
    pub fn new(
        clock: FrontClock,
        metrics: Rc<FrontMetrics>,
        store_limit_per_s: Option<f64>,
    ) -> Self {
        Self {
            clock,
            metrics,
            pace: RefCell::new(StorePace::new(PacePolicy::default(), store_limit_per_s)),
            waiting: RefCell::default(),
            is_running: Cell::new(false),
        }
    }

    /// Sets the number of live nodes, including this one, and lifts a limit that is no longer
    /// needed.
    pub fn refresh(&self, members: usize) {
        let now = self.clock.monotonic_now();
        self.waiting.borrow_mut().retain(|call| !call.is_closed());
        self.pace.borrow_mut().set_members(members);
        if self.waiting.borrow().is_empty() && self.pace.borrow_mut().lift(now) {
            log::info!("event=store_pace is_limited=false members={members}");
        }
        let rate_per_s = self.pace.borrow().rate_per_s().map_or(-1.0, f64::round);
        #[expect(clippy::cast_possible_truncation, reason = "rates are far below the limit")]
        self.metrics.store_pace_per_s.set(rate_per_s as i64);
        let waiting = self.waiting.borrow().len();
        self.metrics.store_calls_waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }

    /// Returns the retry delay of a new program with `time_left` if its calls would wait for too
    /// long, and the number of calls that wait before them.
    #[must_use]
    pub fn new_program_retry_delay(&self, time_left: Duration) -> Option<(Duration, usize)> {
        let ahead = self.waiting.borrow().ahead_of(CallClass::NewProgram);
        let delay = self.pace.borrow().new_program_retry_delay(ahead, time_left)?;
        Some((delay, ahead))
    }

    /// Waits until a call of `class` may be made.
    async fn wait(self: &Rc<Self>, class: CallClass) {
        let now = self.clock.monotonic_now();
        if self.waiting.borrow().is_empty() && self.pace.borrow_mut().take(now).is_ok() {
            return;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(class, sender, now);
        if !self.is_running.replace(true) {
            tokio::task::spawn_local(Rc::clone(self).run());
        }
        if receiver.await.is_err() {
            log::error!("event=store_pace_lost class={}", class.label());
        }
        let waited = self.clock.monotonic_now().saturating_sub(now);
        self.metrics.store_wait_seconds.observe(waited.as_secs_f64());
    }

    /// Lets waiting calls go until none is left.
    async fn run(self: Rc<Self>) {
        while !self.waiting.borrow().is_empty() {
            let now = self.clock.monotonic_now();
            let taken = self.pace.borrow_mut().take(now);
            if let Err(wait) = taken {
                tokio::time::sleep(wait).await;
                continue;
            }
            let is_made = loop {
                let Some(call) = self.waiting.borrow_mut().pop(now) else { break false };
                // Calls whose time is over have been dropped.
                if call.send(()).is_ok() {
                    break true;
                }
            };
            if !is_made {
                self.pace.borrow_mut().give_back();
            }
        }
        self.is_running.set(false);
    }

    async fn wait_for_retry(&self, retry: u32) {
        let spread = rand::random_range(0.0..1.0);
        let mut delay = retry_delay_max(retry).mul_f64(spread);
        loop {
            tokio::time::sleep(delay).await;
            match self.pace.borrow_mut().take_retry(self.clock.monotonic_now()) {
                Ok(()) => return,
                Err(wait) => delay = wait.mul_f64(rand::random_range(0.5..1.0)),
            }
        }
    }

    fn note_refused(&self, class: CallClass) {
        self.metrics.store_refusals.with_label_values(&[class.label()]).inc();
        let now = self.clock.monotonic_now();
        let is_new = self.pace.borrow_mut().note_refused(now);
        if is_new {
            let pace = self.pace.borrow();
            log::warn!(
                "event=store_pace is_limited=true class={} rate_per_s={:.1} share_per_s={:.1}",
                class.label(),
                pace.rate_per_s().unwrap_or_default(),
                pace.share_per_s(),
            );
        }
    }
}

/// Transport that paces writes and repeats those that the store refused because of its rate limit.
pub struct PacedTransport {
    inner: Rc<dyn Transport>,
    pacer: Rc<StorePacer>,
}

impl PacedTransport {
    /// Creates a transport over `inner`.
    #[must_use]
    pub fn new(inner: Rc<dyn Transport>, pacer: Rc<StorePacer>) -> Self {
        Self { inner, pacer }
    }
}

#[async_trait(?Send)]
impl Transport for PacedTransport {
    async fn call(&self, request: StoreRequest) -> Result<StoreReply, RowStoreError> {
        let Some(class) = request.class else { return self.inner.call(request).await };
        let mut retries = 0;
        loop {
            self.pacer.wait(class).await;
            let result = self.inner.call(request.clone()).await;
            match &result {
                Ok(reply) if reply.status == TOO_MANY_CALLS => self.pacer.note_refused(class),
                Ok(reply) if reply.status != UNAVAILABLE => {
                    let now = self.pacer.clock.monotonic_now();
                    self.pacer.pace.borrow_mut().note_accepted(retries > 0, now);
                    return result;
                }
                _ => return result,
            }
            if retries >= class.retries_max() {
                return result;
            }
            retries += 1;
            self.pacer.wait_for_retry(retries).await;
            self.pacer.metrics.store_retries.with_label_values(&[class.label()]).inc();
        }
    }
}
