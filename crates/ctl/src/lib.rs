//! Command line for operators: checks object files and sends requests to any node of the fleet.

mod check;
pub mod cli;
pub mod client;
pub mod commands;
pub mod error;
pub mod print;

pub use cli::Cli;
pub use commands::run;
pub use error::CtlError;
