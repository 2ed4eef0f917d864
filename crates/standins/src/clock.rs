//! Simulated clock for tests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::Clock;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;

/// Number of times that a sleep yields, so that other ready tasks run before the clock advances.
const YIELDS_PER_SLEEP: usize = 100;

/// Clock that advances only when a task sleeps or a test calls [`StepClock::advance`].
///
/// Each sleep first yields to other tasks and then advances the clock by its whole duration, so two
/// concurrent sleeps of 1 s advance it by 2 s. Unix time starts at 0 and equals monotonic time.
#[derive(Debug, Clone, Default)]
pub struct StepClock(Rc<Cell<Duration>>);

impl StepClock {
    /// Advances the clock by `duration`.
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
