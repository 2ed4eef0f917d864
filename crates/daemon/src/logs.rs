//! Logging: one line of key=value pairs for each event.

use std::time::UNIX_EPOCH;

use log::{LevelFilter, SetLoggerError};

/// Starts logging to standard error.
///
/// # Errors
///
/// Fails when a logger was set before.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    dispatch(level).chain(std::io::stderr()).apply()
}

/// Returns the format and the levels of all log lines, without an output.
///
/// Libraries log from `warn` on, the project's own crates from `level` on.
pub fn dispatch(level: LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let elapsed = UNIX_EPOCH.elapsed().unwrap_or_default();
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("time={:.3} level={level} {message}", elapsed.as_secs_f64()));
        })
        .level(LevelFilter::Warn)
        .level_for("dandelionfront", level)
        .level_for("dandelionfront_coordination", level)
        .level_for("dandelionfront_platform", level)
}
