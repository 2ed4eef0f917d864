//! Runs the platform stand-in: tables, objects and VM list in memory.

use std::net::SocketAddr;

use clap::Parser;
use dandelionfront_standins::Platform;

/// Platform stand-in: transactional tables, objects and VM list in memory.
#[derive(Debug, Parser)]
struct Cli {
    /// Address to listen on, as IP:PORT; port 0 picks a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let address = Platform::spawn(Cli::parse().listen)?;
    dandelionfront_standins::http::print_address_and_park(address);
}
