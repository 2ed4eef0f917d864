//! Clock that moves only when somebody sleeps.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::Clock;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;

/// Turns that other tasks get before a sleep ends.
const YIELDS_PER_SLEEP: usize = 100;

/// Clock for tests of the coordination library: a sleep lets others run and then advances it.
#[derive(Debug, Clone, Default)]
pub struct StepClock(Rc<Cell<Duration>>);

impl StepClock {
    /// Moves the clock forward.
    pub fn advance(&self, duration: Duration) {
        self.0.set(self.0.get() + duration);
    }
}

impl Clock for StepClock {
    fn monotonic(&self) -> Duration {
        self.0.get()
    }

    fn unix(&self) -> Duration {
        self.0.get()
    }

    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        let now = Rc::clone(&self.0);
        async move {
            for _ in 0..YIELDS_PER_SLEEP {
                tokio::task::yield_now().await;
            }
            now.set(now.get() + duration);
        }
        .boxed_local()
    }
}
