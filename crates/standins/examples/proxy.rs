//! Runs the fault-injecting TCP proxy.

use std::net::SocketAddr;

use clap::Parser;
use dandelionfront_standins::FaultProxy;

/// Fault-injecting TCP proxy; `PUT /v1/faults` at its control address sets the faults.
#[derive(Debug, Parser)]
struct Cli {
    /// Address to listen on, as IP:PORT; port 0 picks a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of the control interface, as IP:PORT.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// Address to forward connections to, as IP:PORT.
    #[arg(long)]
    target: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let cli = Cli::parse();
    let (address, control) = FaultProxy::spawn(cli.listen, cli.control, cli.target)?;
    println!("control={control}");
    dandelionfront_standins::http::print_address_and_park(address);
}
