//! Start, reload and planned stop of a node.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use std::{io, path::Path};

use dandelionfront_platform::{NodeSettings, StoreClient};
use log::LevelFilter;
use ntex::rt::System;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use super::clock::FrontClock;
use super::logs::{self, LogBuffer};
use super::metrics::FrontMetrics;
use super::node::FrontNode;
use crate::cli::FrontArgs;
use crate::front::connection::peers::Peers;
use crate::front::connection::reach::{ReachingTransport, StoreReach};
use crate::front::connection::store::HttpTransport;
use crate::front::connection::{caller, relay_server, status};
use crate::front::version::follow;

/// Longest wait for an answer of the store, within which even a slow one has answered.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two writes of buffered log lines.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a turn after which a program's budget is forgotten, longer than programs pause.
const PROGRAM_FORGET_AFTER: Duration = Duration::from_secs(300);
/// Time since the last turn of programs whose claims are given back at a planned stop: those that
/// probably go on elsewhere.
const STOP_GIVE_BACK: Duration = Duration::from_secs(10);
/// Time after the stop signal for which idle connections of callers are kept.
const STOP_IDLE_KEEP: Duration = Duration::from_millis(1_200);
/// Time after the stop signal for which new connections still come: the balancer asks every
/// second and needs two misses.
const STOP_LINGER: Duration = Duration::from_millis(3_200);
/// Part of the platform's grace that is left for the last writes.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time between two checks of a stop's progress.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Runs a node until it is told to stop.
#[must_use]
pub fn run(args: &FrontArgs, level: LevelFilter) -> ExitCode {
    let log_buffer = match logs::init(level) {
        Ok(buffer) => buffer,
        Err(error) => {
            eprintln!("error: cannot start logging: {error}");
            return ExitCode::FAILURE;
        }
    };
    let settings = match NodeSettings::read(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    let system = System::build().name("front").build(ntex::rt::DefaultRuntime);
    let (args, buffer) = (args.clone(), log_buffer.clone());
    let result = system.block_on(async move { serve(settings, &args, buffer).await });
    if let Err(error) = &result {
        log::error!("event=start_failed cause=\"{error}\"");
        eprintln!("error: {error}; check the listen addresses");
    }
    log_buffer.flush();
    if result.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn serve(settings: NodeSettings, args: &FrontArgs, logs: LogBuffer) -> io::Result<()> {
    let callers = TcpListener::bind(settings.caller_listen).await?;
    let readiness = TcpListener::bind(settings.readiness_listen).await?;
    let metrics_listener = TcpListener::bind((settings.vm_ip.as_str(), args.metrics_port)).await?;
    let peer_address = format!("{}:{}", settings.vm_ip, settings.peer_ports.0);
    let peer_address: SocketAddr = peer_address.parse().map_err(io::Error::other)?;
    let peers = Rc::new(Peers::bind(peer_address).await?);
    let metrics = Rc::new(FrontMetrics::new());
    let relay_listener = TcpListener::bind(peer_address).await?;
    let clock = FrontClock::new();
    let direct = Rc::new(HttpTransport::new(settings.store_address, Rc::clone(&metrics)));
    let reach = Rc::new(StoreReach::new(clock.clone()));
    let transport =
        ReachingTransport::new(Rc::clone(&direct), Rc::clone(&reach), Rc::clone(&metrics));
    let store = StoreClient::new(Rc::new(transport), STORE_TIMEOUT);
    log::info!(
        "event=started vm={} zone={} callers={} store={} memory_max_bytes={} version={}",
        settings.vm_name,
        settings.zone,
        settings.caller_listen,
        settings.store_address,
        settings.memory_max_bytes,
        env!("CARGO_PKG_VERSION"),
    );
    let node = Rc::new(FrontNode::new(settings, clock, (store, reach), metrics, Rc::clone(&peers)));
    tokio::task::spawn_local(follow::follow_config(Rc::clone(&node)));
    tokio::task::spawn_local(follow::follow_servers(Rc::clone(&node)));
    tokio::task::spawn_local(caller::accept(Rc::clone(&node), callers));
    tokio::task::spawn_local(status::accept(Rc::clone(&node), readiness));
    tokio::task::spawn_local(status::accept(Rc::clone(&node), metrics_listener));
    tokio::task::spawn_local(relay_server::accept(direct, relay_listener));
    tokio::task::spawn_local(keep_house(Rc::clone(&node)));
    spawn_peers(&node, &peers);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(LOG_FLUSH_INTERVAL).await;
            logs.flush();
        }
    });
    wait_for_stop(&args.settings, &node).await?;
    stop(&node, &peers).await;
    Ok(())
}

fn spawn_peers(node: &Rc<FrontNode>, peers: &Rc<Peers>) {
    let (receiving, receiver) = (Rc::clone(peers), Rc::clone(node));
    tokio::task::spawn_local(async move { receiving.receive(&receiver).await });
    let (reporting, reporter) = (Rc::clone(peers), Rc::clone(node));
    tokio::task::spawn_local(async move { reporting.report(&reporter).await });
    let (listing, listed) = (Rc::clone(peers), Rc::clone(node));
    tokio::task::spawn_local(async move { listing.keep_listed(&listed).await });
}

async fn keep_house(node: Rc<FrontNode>) {
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        node.pool.prune();
        node.update_gauges();
        let now = node.clock.monotonic_now();
        node.ledgers.forget(now.saturating_sub(PROGRAM_FORGET_AFTER));
    }
}

/// Waits for the signal to stop; reads the settings again when told to.
async fn wait_for_stop(settings_path: &Path, node: &FrontNode) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => check_settings(settings_path, node),
        }
    }
}

/// Compares the settings file with the settings in force.
fn check_settings(path: &Path, node: &FrontNode) {
    match NodeSettings::read(path) {
        Ok(settings) if settings == node.settings => log::info!("event=reloaded changed=false"),
        Ok(_) => log::warn!("event=reloaded changed=true remedy=\"restart to apply\""),
        Err(error) => log::error!("event=reload_failed cause=\"{error}\" kept=true"),
    }
}

/// Stops as planned: serves what is under way and what still comes.
async fn stop(node: &Rc<FrontNode>, peers: &Peers) {
    let begun_at = Instant::now();
    log::info!(
        "event=stop_begun connections={} requests={}",
        node.caller_connections.get(),
        node.caller_requests.get()
    );
    node.stop.leave();
    tokio::time::sleep(STOP_IDLE_KEEP).await;
    node.stop.close_idle();
    let ends_at = begun_at + node.settings.stop_grace.saturating_sub(STOP_MARGIN);
    while Instant::now() < ends_at {
        if node.caller_requests.get() == 0 && begun_at.elapsed() >= STOP_LINGER {
            break;
        }
        tokio::time::sleep(STOP_CHECK).await;
    }
    let now = node.clock.monotonic_now();
    node.ledgers.release_unused_since(now.saturating_sub(STOP_GIVE_BACK)).await;
    peers.say_goodbye(node).await;
    log::info!(
        "event=stopped elapsed_ms={} connections={} requests={}",
        begun_at.elapsed().as_millis(),
        node.caller_connections.get(),
        node.caller_requests.get()
    );
}
