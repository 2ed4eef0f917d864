//! The trial.
use std::process::ExitCode;
/// Runs the trial.
#[must_use]
pub fn run(_args: &crate::cli::TrialArgs) -> ExitCode {
    ExitCode::FAILURE
}
