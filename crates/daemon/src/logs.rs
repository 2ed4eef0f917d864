//! Logging with one line of key=value pairs per event.

use std::time::UNIX_EPOCH;

use log::{LevelFilter, SetLoggerError};

/// Installs a logger that writes to standard error.
///
/// # Errors
///
/// Fails when a logger is already installed.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    dispatch(level).chain(std::io::stderr()).apply()
}

/// Returns a logger that has its format and levels set but no output yet.
///
/// The level is `level` for the crates of this project and `warn` for other libraries.
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
