//! Crash points: debug builds can abort or stop the process at a named step.
//!
//! `DANDELIONFRONT_CRASH_POINT=STEP:ACTION` with ACTION `abort` or `stop` acts at the first time
//! the step is reached. Release builds carry none of this.

/// Step at which a process can be made to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A non-repeatable call reached its owner.
    Arrived,
    /// Its start is recorded and nothing was sent to a backend server.
    Started,
    /// The backend server answered and nothing is recorded of it.
    Answered,
    /// The answer is recorded and was not handed to the caller.
    Finished,
}

#[cfg(debug_assertions)]
mod active {
    use std::sync::LazyLock;
    use std::sync::atomic::{AtomicBool, Ordering};

    use signal_hook::consts::SIGSTOP;
    use signal_hook::low_level::raise;

    use super::Step;

    const VARIABLE: &str = "DANDELIONFRONT_CRASH_POINT";
    const STEPS: &[(Step, &str)] = &[
        (Step::Arrived, "arrived"),
        (Step::Started, "started"),
        (Step::Answered, "answered"),
        (Step::Finished, "finished"),
    ];

    static WANTED: LazyLock<Option<(String, String)>> = LazyLock::new(|| {
        let value = std::env::var(VARIABLE).ok()?;
        value.split_once(':').map(|(step, action)| (step.to_owned(), action.to_owned()))
    });
    static REACHED: AtomicBool = AtomicBool::new(false);

    pub fn reach(step: Step) {
        let Some((wanted, action)) = WANTED.as_ref() else { return };
        let name = STEPS.iter().find(|(known, _)| *known == step).map(|(_, name)| *name);
        if name != Some(wanted) || REACHED.swap(true, Ordering::SeqCst) {
            return;
        }
        log::warn!("event=crash_point step={wanted} action={action}");
        if action == "stop" {
            // Sent to this thread: a signal to the process may stop another thread first, while
            // this one goes on and leaves the step.
            if let Err(error) = raise(SIGSTOP) {
                log::error!("event=crash_point_failed step={wanted} cause=\"{error}\"");
            }
        } else {
            std::process::abort();
        }
    }
}

/// Fails here if the process was started with this step as its crash point.
#[cfg(debug_assertions)]
pub fn reach(step: Step) {
    active::reach(step);
}

/// Does nothing in release builds.
#[cfg(not(debug_assertions))]
pub fn reach(_step: Step) {}
