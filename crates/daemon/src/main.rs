//! The `dandelionfront` daemon.

use std::process::ExitCode;

use clap::Parser;
use dandelionfront::cli::{Cli, Command};
use dandelionfront::settings::Settings;
use dandelionfront::{front, logs, process};

/// Exit code for invalid usage.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    // This command installs a logger of its own.
    if let Some(Command::Front(args)) = &cli.command {
        return front::run(args, cli.log_level);
    }
    if let Err(error) = logs::init(cli.log_level) {
        eprintln!("cannot start logging: {error}");
        return ExitCode::FAILURE;
    }
    match cli.command {
        Some(Command::Trial(args)) => run_trial(&args),
        Some(Command::Front(args)) => front::run(&args, cli.log_level),
        None => match Settings::from_args(&cli.node) {
            Ok(settings) => process::run(settings),
            Err(errors) => {
                for error in &errors {
                    eprintln!("error: {error}");
                }
                ExitCode::from(EXIT_USAGE)
            }
        },
    }
}

#[cfg(feature = "trial")]
fn run_trial(args: &dandelionfront::cli::TrialArgs) -> ExitCode {
    dandelionfront::trial::run(args)
}

#[cfg(not(feature = "trial"))]
fn run_trial(_args: &dandelionfront::cli::TrialArgs) -> ExitCode {
    eprintln!("error: built without the feature trial; build with default features");
    ExitCode::from(EXIT_USAGE)
}
