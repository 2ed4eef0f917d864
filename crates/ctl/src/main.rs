//! Entry point of `dandelionctl`.

use std::process::ExitCode;

use clap::Parser;
use dandelionctl::{Cli, run};

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(output) => {
            print!("{}", output.text);
            if output.is_failure { ExitCode::FAILURE } else { ExitCode::SUCCESS }
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
