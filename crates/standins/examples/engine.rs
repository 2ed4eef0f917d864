//! Runs the model engine stand-in.

use std::net::SocketAddr;

use clap::Parser;
use dandelionfront_standins::{Engine, EngineSettings};

/// Model engine stand-in with continuous batching and a prefix cache.
#[derive(Debug, Parser)]
struct Cli {
    /// Address to listen on, as IP:PORT; port 0 picks a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(flatten)]
    settings: EngineSettings,
}

fn main() -> std::io::Result<()> {
    let cli = Cli::parse();
    let address = Engine::spawn(cli.listen, cli.settings)?;
    dandelionfront_standins::http::print_address_and_park(address);
}
