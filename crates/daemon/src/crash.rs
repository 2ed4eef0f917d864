//! Crash points: debug builds can abort or stop the process at a named step.
//!
//! `DANDELIONFRONT_CRASH_POINT=STEP:ACTION` with ACTION `abort` or `stop` acts at the first time
//! the step is reached. Release builds carry none of this.

/// Point at which the process can be made to crash or stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
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

    use super::CrashPoint;

    const ENV_VARIABLE: &str = "DANDELIONFRONT_CRASH_POINT";
    const POINT_NAMES: &[(CrashPoint, &str)] = &[
        (CrashPoint::Arrived, "arrived"),
        (CrashPoint::Started, "started"),
        (CrashPoint::Answered, "answered"),
        (CrashPoint::Finished, "finished"),
    ];

    static CONFIGURED: LazyLock<Option<(String, String)>> = LazyLock::new(|| {
        let value = std::env::var(ENV_VARIABLE).ok()?;
        value.split_once(':').map(|(point, action)| (point.to_owned(), action.to_owned()))
    });
    static TRIGGERED: AtomicBool = AtomicBool::new(false);

    pub fn hit(point: CrashPoint) {
        let Some((configured, action)) = CONFIGURED.as_ref() else { return };
        let name = POINT_NAMES.iter().find(|(known, _)| *known == point).map(|(_, name)| *name);
        if name != Some(configured) || TRIGGERED.swap(true, Ordering::SeqCst) {
            return;
        }
        log::warn!("event=crash_point step={configured} action={action}");
        if action == "stop" {
            // Sent to this thread: a signal to the process may stop another thread first, while
            // this one goes on and leaves the step.
            if let Err(error) = raise(SIGSTOP) {
                log::error!("event=crash_point_failed step={configured} cause=\"{error}\"");
            }
        } else {
            std::process::abort();
        }
    }
}

/// Fails here if the process was started with this step as its crash point.
#[cfg(debug_assertions)]
pub fn hit(point: CrashPoint) {
    active::hit(point);
}

/// Does nothing in release builds.
#[cfg(not(debug_assertions))]
pub fn hit(_point: CrashPoint) {}
