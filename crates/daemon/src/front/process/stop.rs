//! Graceful shutdown: the signal to connections, and counters of open connections and requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandelionfront_coordination::{Refusal, RefusalKind};
use tokio::sync::watch;

/// Time from the stop signal after which the load balancer sends no new connections: it checks
/// readiness every second, and two checks must have failed.
pub const UNREADY_NOTICED_AFTER: Duration = Duration::from_millis(3_200);

/// Time from the stop signal from which a request that may outlast the process is not passed on. The
/// platform allows answers to be cut that were requested up to 3 s after the signal, which a busy
/// process notices a little later.
const REFUSES_OUTLASTING_AFTER: Duration = Duration::from_millis(2_800);

/// Phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// Answers carry `Connection: close`; new connections are still served.
    Leaving,
    /// Idle connections are closed.
    Closing,
    /// The process is about to end; no request is passed on.
    Ending,
}

/// Notifies the connections of a node of its shutdown.
#[derive(Debug)]
pub struct StopSignal {
    phase: watch::Sender<Phase>,
    schedule: watch::Sender<Option<StopSchedule>>,
}

/// Times of a graceful shutdown.
#[derive(Debug, Clone, Copy)]
struct StopSchedule {
    began_at: Instant,
    /// Time at which requests that are still in flight are given up.
    requests_end_at: Instant,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self { phase: watch::Sender::new(Phase::Serving), schedule: watch::Sender::new(None) }
    }
}

impl StopSignal {
    /// Starts the shutdown: answers carry `Connection: close` from now on, and requests end at
    /// `requests_end_at` at the latest.
    pub fn leave(&self, requests_end_at: Instant) {
        let schedule = StopSchedule { began_at: Instant::now(), requests_end_at };
        self.schedule.send_replace(Some(schedule));
        self.phase.send_replace(Phase::Leaving);
    }

    /// Checks that a request with this deadline may be passed on to a backend server.
    ///
    /// # Errors
    ///
    /// Fails once the stop has gone on for a while if the request may outlast the process, and just
    /// before the process ends.
    pub fn require_time_until(&self, deadline: Instant) -> Result<(), Refusal> {
        let may_be_cut = self.schedule.borrow().is_some_and(|schedule| {
            deadline > schedule.requests_end_at
                && schedule.began_at.elapsed() >= REFUSES_OUTLASTING_AFTER
        });
        if !may_be_cut && *self.phase.borrow() < Phase::Ending {
            return Ok(());
        }
        let message = "the node stops before the request's deadline; send it to another node";
        Err(Refusal::not_run(RefusalKind::Stopping, message))
    }

    /// Waits until requests that are still in flight must be given up.
    pub async fn wait_for_requests_end(&self) {
        let mut schedule = self.schedule.subscribe();
        // `self` holds the sender, so waiting cannot fail.
        let Ok(schedule) = schedule.wait_for(Option::is_some).await.map(|schedule| *schedule)
        else {
            return;
        };
        if let Some(schedule) = schedule {
            tokio::time::sleep_until(schedule.requests_end_at.into()).await;
        }
    }

    /// Signals that idle connections must be closed.
    pub fn close_idle(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Signals that the process is about to end.
    pub fn end(&self) {
        self.phase.send_replace(Phase::Ending);
    }

    /// Returns whether the shutdown has started.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Waits until idle connections must be closed.
    pub async fn wait_for_idle_close(&self) {
        let mut phase = self.phase.subscribe();
        // `self` holds the sender, so waiting cannot fail.
        let _ = phase.wait_for(|phase| *phase >= Phase::Closing).await;
    }
}

/// Number of active connections or requests, shared by all clones.
#[derive(Debug, Clone, Default)]
pub struct ActiveCount(Rc<Cell<usize>>);

/// Guard that counts one connection or request as active until dropped.
#[derive(Debug)]
pub struct ActiveGuard(ActiveCount);

impl ActiveCount {
    /// Increments the count until the returned guard is dropped.
    #[must_use]
    pub fn track(&self) -> ActiveGuard {
        self.0.set(self.0.get() + 1);
        ActiveGuard(self.clone())
    }

    /// Returns the count.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get().saturating_sub(1));
    }
}
