//! Command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Checks and publishes configuration objects, issues keys and shows the state of a dandelionfront
/// fleet.
#[derive(Debug, Parser)]
#[command(name = "dandelionctl", version)]
pub struct Cli {
    /// Address of any node's operator listener, as IP:PORT.
    #[arg(long, global = true, env = "DANDELIONCTL_NODE", default_value = "127.0.0.1:8083")]
    pub node: String,

    /// Prints JSON instead of text.
    #[arg(long, global = true)]
    pub json: bool,

    /// Maximum time to wait for an answer, in milliseconds.
    #[arg(long, global = true, env = "DANDELIONCTL_TIMEOUT_MS", default_value_t = 30_000)]
    pub timeout_ms: u32,

    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks a configuration before it is sent: faults, entries without effect, limits that
    /// contradict each other, and differences from the version in force.
    Check(CheckArgs),
    /// Checks object files and publishes them as the next version.
    Publish(PublishArgs),
    /// Shows the configuration in force.
    Show,
    /// Lists all published versions.
    History,
    /// Issues and withdraws callers' keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Drains backend servers.
    #[command(subcommand)]
    Backend(BackendCommand),
    /// Shows and cancels programs.
    #[command(subcommand)]
    Program(ProgramCommand),
    /// Shows the state of the node and the members it knows.
    Status,
}

/// Arguments of `check`.
#[derive(Debug, Default, Args)]
pub struct CheckArgs {
    /// TOML files, or folders whose `.toml` files are read.
    #[arg(required_unless_present = "platform", conflicts_with = "platform")]
    pub files: Vec<PathBuf>,

    /// Configuration of the users' platform to check instead of object files.
    #[arg(long, value_name = "FILE")]
    pub platform: Option<PathBuf>,

    /// Configuration to compare with instead of the one in force at the node: a file or folder of
    /// the same kind, or the output of `dandelionctl --json show`.
    #[arg(long, value_name = "PATH", visible_alias = "in-force")]
    pub against: Option<PathBuf>,

    /// Does not ask the node for the configuration in force.
    #[arg(long)]
    pub offline: bool,

    /// Adds the keys of the version in force that the files do not define, as `publish` does.
    #[arg(long, conflicts_with_all = ["offline", "platform"])]
    pub keep_keys: bool,

    /// Fails also on entries without effect and on contradictions.
    #[arg(long)]
    pub deny_warnings: bool,
}

/// Object files.
#[derive(Debug, Args)]
pub struct FileArgs {
    /// TOML files, or folders whose `.toml` files are read.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `publish`.
#[derive(Debug, Args)]
pub struct PublishArgs {
    /// Object files.
    #[command(flatten)]
    pub files: FileArgs,

    /// Version that the files are based on, by default the version in force; the publication is
    /// refused if another version is in force.
    #[arg(long)]
    pub base_version: Option<u64>,

    /// Identifier of the publication; reuse it to retry after a lost answer. Random by default.
    #[arg(long)]
    pub publish_id: Option<String>,

    /// Author recorded in the history of versions.
    #[arg(long, env = "DANDELIONCTL_AUTHOR", default_value = "operator")]
    pub author: String,

    /// Keeps the keys of the version in force that the files do not define.
    #[arg(long)]
    pub keep_keys: bool,
}

/// Key commands.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Issues a key and prints it; the key cannot be shown again.
    Issue {
        /// Name of the new key object.
        #[arg(long)]
        name: String,
        /// Team that requests with the key belong to.
        #[arg(long)]
        team: String,
    },
    /// Withdraws a key; it stops working within seconds, even for connected callers.
    Withdraw {
        /// Name of the key object.
        name: String,
    },
}

/// Backend server commands.
#[derive(Debug, Subcommand)]
pub enum BackendCommand {
    /// Stops sending new work to a backend server.
    Drain {
        /// Name of the backend object.
        name: String,
    },
}

/// Program commands.
#[derive(Debug, Subcommand)]
pub enum ProgramCommand {
    /// Shows the state and full history of a program.
    Show {
        /// Program id.
        id: String,
    },
    /// Cancels a program and its sub-agents.
    Cancel {
        /// Program id.
        id: String,
    },
}
