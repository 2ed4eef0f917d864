//! Startup and graceful shutdown of a node.

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
use tokio::time::timeout;

use super::clock::FrontClock;
use super::logs::{self, LogBuffer};
use super::metrics::FrontMetrics;
use super::node::{FrontNode, StoreAccess};
use super::stop::UNREADY_NOTICED_AFTER;
use crate::cli::FrontArgs;
use crate::front::connection::backend_reach::probe_backends;
use crate::front::connection::paced::{PacedTransport, StorePacer};
use crate::front::connection::peers::Peers;
use crate::front::connection::reach::{FailoverTransport, StoreReachability, probe_store};
use crate::front::connection::store::HttpTransport;
use crate::front::connection::{caller, relay_server, status};
use crate::front::version::follow;

/// Upper bound of the response timeout of store calls; even a slow store answers within it.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between writes of buffered log lines.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between runs that close idle connections, update gauges and evict idle programs.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Idle time after which a program's budget is evicted from the cache; longer than programs pause
/// between turns.
const PROGRAM_IDLE_MAX: Duration = Duration::from_secs(300);
/// At shutdown, the unused part of the claims of programs with a turn within this time is released,
/// because these programs probably continue on other nodes.
const STOP_RELEASE_WINDOW: Duration = Duration::from_secs(10);
/// Delay between the stop signal and the closing of idle caller connections.
const STOP_IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1_200);
/// Time before the end of the platform's grace period at which the final writes begin; requests that
/// are in flight go on beside them.
const FINAL_WRITES_MARGIN: Duration = Duration::from_millis(700);
/// Time before the end of the platform's grace period at which the process ends.
const STOP_MARGIN: Duration = Duration::from_millis(200);
/// Time reserved before this for the answers to requests that are given up.
const STOP_ANSWERS_MARGIN: Duration = Duration::from_millis(200);
/// Interval between checks of whether the shutdown can finish.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a node until it receives a stop signal.
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
    log_buffer.write_pending();
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
    let store_reachability = Rc::new(StoreReachability::new(clock.clone()));
    let transport = FailoverTransport::new(
        Rc::clone(&direct),
        Rc::clone(&store_reachability),
        Rc::clone(&metrics),
    );
    let store_pacer =
        Rc::new(StorePacer::new(clock.clone(), Rc::clone(&metrics), settings.store_writes_per_s));
    let transport = PacedTransport::new(Rc::new(transport), Rc::clone(&store_pacer));
    let store = StoreClient::new(Rc::new(transport), STORE_TIMEOUT);
    log::info!(
        "event=started vm={} zone={} callers={} store={} memory_max_bytes={} sockets_max={} \
         version={}",
        settings.vm_name,
        settings.zone,
        settings.caller_listen,
        settings.store_address,
        settings.memory_max_bytes,
        settings.sockets_max.map_or("-".to_owned(), |max| max.to_string()),
        env!("CARGO_PKG_VERSION"),
    );
    let node = Rc::new(FrontNode::new(
        settings,
        clock,
        StoreAccess { client: store, reachability: store_reachability, pacer: store_pacer },
        metrics,
        Rc::clone(&peers),
    ));
    tokio::task::spawn_local(follow::follow_config(Rc::clone(&node)));
    tokio::task::spawn_local(follow::follow_servers(Rc::clone(&node)));
    tokio::task::spawn_local(caller::accept(Rc::clone(&node), callers));
    tokio::task::spawn_local(status::accept(Rc::clone(&node), readiness));
    tokio::task::spawn_local(status::accept(Rc::clone(&node), metrics_listener));
    tokio::task::spawn_local(relay_server::accept(
        Rc::clone(&node),
        Rc::clone(&direct),
        relay_listener,
    ));
    tokio::task::spawn_local(probe_backends(Rc::clone(&node)));
    tokio::task::spawn_local(probe_store(direct, Rc::clone(&node.store_reachability)));
    tokio::task::spawn_local(run_housekeeping(Rc::clone(&node)));
    spawn_peer_tasks(&node, &peers);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(LOG_FLUSH_INTERVAL).await;
            logs.write_pending();
        }
    });
    wait_for_stop(&args.settings, &node).await?;
    shut_down(&node, &peers).await;
    Ok(())
}

fn spawn_peer_tasks(node: &Rc<FrontNode>, peers: &Rc<Peers>) {
    let (task_peers, task_node) = (Rc::clone(peers), Rc::clone(node));
    tokio::task::spawn_local(async move { task_peers.receive(&task_node).await });
    let (task_peers, task_node) = (Rc::clone(peers), Rc::clone(node));
    tokio::task::spawn_local(async move { task_peers.send_reports(&task_node).await });
    let (task_peers, task_node) = (Rc::clone(peers), Rc::clone(node));
    tokio::task::spawn_local(async move { task_peers.maintain_membership(&task_node).await });
}

async fn run_housekeeping(node: Rc<FrontNode>) {
    let mut displaced_count = 0;
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        // Without it, the time between two requests would count as a pause.
        node.pause_count();
        node.pool.prune();
        node.update_gauges();
        log_displaced(&node, &mut displaced_count);
        let now = node.clock.monotonic_now();
        node.peers.prune(now);
        node.peers.update_protocol(&node);
        node.servers.borrow_mut().prune_leaving(now);
        node.crashes.borrow_mut().prune(now);
        node.peers.expire_abandoned(&node, now);
        let lender_node = Rc::clone(&node);
        tokio::task::spawn_local(async move { lender_node.lender.expire().await });
        node.ledgers.evict_idle(now.saturating_sub(PROGRAM_IDLE_MAX));
        let reporting = {
            let limiter = node.limiter.borrow();
            limiter.members(now).filter(|(_, is_reporting)| *is_reporting).count()
        };
        node.store_pacer.refresh(reporting + 1);
    }
}

/// Logs that callers were turned away since `logged_count` of them, because others needed the room.
fn log_displaced(node: &FrontNode, logged_count: &mut u64) {
    let count = node.metrics.holdings.displaced.get();
    if count == *logged_count {
        return;
    }
    log::warn!(
        "event=callers_displaced count={} connections={} connections_max={} held_bytes={} \
         held_max_bytes={}",
        count - *logged_count,
        node.caller_connections.get(),
        node.holdings.limits().connections_max,
        node.holdings.held_bytes(),
        node.holdings.limits().memory_max_bytes,
    );
    *logged_count = count;
}

/// Waits for SIGTERM or SIGINT; on SIGHUP, only logs whether the settings file has changed.
async fn wait_for_stop(settings_path: &Path, node: &FrontNode) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => compare_settings(settings_path, node),
        }
    }
}

/// Logs whether the settings file differs from the active settings.
fn compare_settings(path: &Path, node: &FrontNode) {
    match NodeSettings::read(path) {
        Ok(settings) if settings == node.settings => log::info!("event=reloaded changed=false"),
        Ok(_) => log::warn!("event=reloaded changed=true remedy=\"restart to apply\""),
        Err(error) => log::error!("event=reload_failed cause=\"{error}\" kept=true"),
    }
}

/// Releases what the node has claimed of the budgets of programs and not used.
async fn release_budgets(node: &FrontNode) {
    let now = node.clock.monotonic_now();
    node.ledgers.release_unused_since(now.saturating_sub(STOP_RELEASE_WINDOW)).await;
}

/// Shuts down gracefully: serves requests until none is in flight and new connections are no longer
/// expected, or until just before the grace period ends.
async fn shut_down(node: &Rc<FrontNode>, peers: &Peers) {
    let started_at = Instant::now();
    log::info!(
        "event=stop_begun connections={} requests={}",
        node.caller_connections.get(),
        node.caller_requests.get()
    );
    let grace = node.settings.stop_grace;
    let final_writes_at = started_at + grace.saturating_sub(FINAL_WRITES_MARGIN);
    let end_at = started_at + grace.saturating_sub(STOP_MARGIN);
    node.stop.leave(end_at.checked_sub(STOP_ANSWERS_MARGIN).unwrap_or(started_at));
    tokio::time::sleep(STOP_IDLE_CLOSE_DELAY).await;
    node.stop.close_idle();
    while Instant::now() < final_writes_at {
        let is_idle = node.caller_requests.get() == 0
            && node.tunnels.get() == 0
            && node.lender.open_count() == 0;
        if is_idle && started_at.elapsed() >= UNREADY_NOTICED_AFTER {
            break;
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    // Requests that arrive during the final writes are refused.
    node.stop.end();
    release_budgets(node).await;
    peers.announce_leaving(node).await;
    let requests_left = node.caller_requests.get();
    while node.caller_requests.get() + node.tunnels.get() > 0 && Instant::now() < end_at {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    if requests_left > 0 {
        // What the last requests did not use. The process may be killed at any time from now on.
        let _ = timeout(STOP_MARGIN, release_budgets(node)).await;
    }
    peers.hand_over_abandoned(node);
    log::info!(
        "event=stopped elapsed_ms={} connections={} requests={}",
        started_at.elapsed().as_millis(),
        node.caller_connections.get(),
        node.caller_requests.get()
    );
}
