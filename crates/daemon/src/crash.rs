//! Crash points, at which a debug build can abort the process or suspend it with SIGSTOP.
//!
//! `DANDELIONFRONT_CRASH_POINT=STEP:ACTION` executes ACTION, `abort` or `stop`, when the crash
//! point named STEP is hit for the first time. Release builds contain no crash points.

/// Point in the execution of a non-repeatable call at which the process can abort or be suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    /// The call has reached the owner of its program.
    Arrived,
    /// The start of the call is recorded; nothing was sent to a backend server yet.
    Started,
    /// The backend server has answered; the answer is not recorded yet.
    Answered,
    /// The answer is recorded; it was not sent to the caller yet.
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
            // Raised on this thread, because a signal to the process may suspend another thread
            // first while this thread continues beyond the crash point.
            if let Err(error) = raise(SIGSTOP) {
                log::error!("event=crash_point_failed step={configured} cause=\"{error}\"");
            }
        } else {
            std::process::abort();
        }
    }
}

/// Aborts or suspends the process if `point` is the configured crash point.
#[cfg(debug_assertions)]
pub fn hit(point: CrashPoint) {
    active::hit(point);
}

/// Does nothing in release builds.
#[cfg(not(debug_assertions))]
pub fn hit(_point: CrashPoint) {}
