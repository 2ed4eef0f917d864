//! Runs the plain service stand-in.

use std::net::SocketAddr;

use clap::Parser;
use dandelionfront_standins::{Service, ServiceSettings};

/// Plain service stand-in that records every call it executes.
#[derive(Debug, Parser)]
struct Cli {
    /// Address to listen on, as IP:PORT; port 0 picks a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(flatten)]
    settings: ServiceSettings,
}

fn main() -> std::io::Result<()> {
    let cli = Cli::parse();
    let address = Service::spawn(cli.listen, cli.settings)?;
    dandelionfront_standins::http::print_address_and_park(address);
}
