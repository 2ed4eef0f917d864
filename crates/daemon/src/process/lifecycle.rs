//! Startup, listeners and graceful shutdown of a node.

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use std::{io, thread};

use dandelionfront_coordination::holdings::{HoldingLimits, Holdings};
use dandelionfront_coordination::{Clock as _, ConfigSnapshot};
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use log::{error, info, warn};
use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::rt::System;
use ntex::server::Server;
use ntex::time::{Seconds, sleep};
use ntex::web::{self, App, HttpServer};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::clock::SystemClock;
use super::control::Control;
use super::handle::ControlHandle;
use super::metrics::Metrics;
use super::platform::HttpPlatform;
use super::shared::{Shared, Worker};
use crate::connection::peers::{PeerRpcServer as _, PeerService};
use crate::connection::{Clients, clients};
use crate::descriptors::sockets_max;
use crate::front::connection::listener::limit_unread_bytes;
use crate::operator;
use crate::request::{chat, forwarded, programs, service};
use crate::settings::Settings;

/// Interval between checks and retries during the graceful shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the listeners stay open after draining, because the load balancer sends new
/// connections until it notices the shutdown.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_secs(1);
/// Time after which a stopping listener drops its remaining connections.
const CLOSE_TIMEOUT: Seconds = Seconds(2);
/// Time after which idle connections from callers, operators and forwarding nodes are closed.
const KEEP_ALIVE: Seconds = Seconds(75);
/// Time after which idle connections from the control thread to the platform and to engines are
/// closed.
const CONTROL_CLIENT_KEEP_ALIVE: Seconds = Seconds(30);

/// Running node with open listeners.
pub struct RunningNode {
    shared: Arc<Shared>,
    servers: Vec<Server>,
}

/// Runs a node until it receives a stop signal.
#[must_use]
pub fn run(settings: Settings) -> ExitCode {
    let system = System::build().name("main").build(ntex::rt::DefaultRuntime);
    let result = system.block_on(async move {
        let node = start(settings).await?;
        wait_for_stop_signal().await?;
        node.stop().await;
        io::Result::Ok(())
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("event=start_failed cause={error:?}");
            eprintln!("error: {error}; check the listen addresses");
            ExitCode::FAILURE
        }
    }
}

/// Starts the control thread and the listeners of a node.
///
/// # Errors
///
/// Fails when an address cannot be bound or a thread cannot be spawned.
pub async fn start(mut settings: Settings) -> io::Result<RunningNode> {
    let callers = bind(&mut settings.listen)?;
    let forward = bind(&mut settings.forward_listen)?;
    let operators = bind(&mut settings.operator_listen)?;
    let peers = bind(&mut settings.peer_listen)?;
    settings.fill_advertised_addresses();
    let shared = start_control(settings, peers)?;
    let settings = &shared.settings;
    limit_unread_bytes(&callers);
    let servers = vec![
        serve(&shared, callers, settings.workers, caller_routes)?,
        serve(&shared, forward, settings.workers, forwarded::routes)?,
        serve(&shared, operators, 1, operator::routes)?,
    ];
    info!(
        "event=started incarnation={} listen={} forward={} operator={}",
        settings.identity.id, settings.listen, settings.forward_listen, settings.operator_listen
    );
    Ok(RunningNode { shared, servers })
}

/// Binds a listener and replaces port 0 in `address` with the port that was assigned.
fn bind(address: &mut SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(*address)
        .map_err(|error| io::Error::new(error.kind(), format!("cannot bind {address}: {error}")))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

impl RunningNode {
    /// Returns the state that the threads of the node share.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts down gracefully: releases the shards to other nodes and waits up to `drain_max` for
    /// the release and for the calls in flight.
    pub async fn stop(self) {
        info!("event=stop_begun");
        self.shared.draining.store(true, Ordering::Relaxed);
        let deadline = self.shared.clock.monotonic() + self.shared.settings.drain_max;
        self.announce_leaving(deadline).await;
        while !(self.has_released_shards().await && self.shared.metrics.calls_in_flight.get() == 0)
        {
            if self.shared.clock.monotonic() >= deadline {
                warn!("event=stop_overdue in_flight={}", self.shared.metrics.calls_in_flight.get());
                break;
            }
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        sleep(LISTENER_CLOSE_DELAY).await;
        self.deregister().await;
        for server in self.servers {
            server.stop(true).await;
        }
        info!("event=stopped");
    }

    async fn announce_leaving(&self, deadline: Duration) {
        loop {
            let announce = |control: Rc<Control>| async move { control.leave().await };
            match self.shared.control.run(announce).await {
                Ok(Ok(())) | Err(_) => return,
                Ok(Err(error)) => warn!("event=leaving_unannounced cause={error:?}"),
            }
            if self.shared.clock.monotonic() >= deadline {
                return;
            }
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    async fn has_released_shards(&self) -> bool {
        let released =
            |control: Rc<Control>| async move { control.node().has_released_all_shards() };
        self.shared.control.run(released).await.unwrap_or(true)
    }

    async fn deregister(&self) {
        let deregister = |control: Rc<Control>| async move { control.node().deregister().await };
        if let Ok(Err(error)) = self.shared.control.run(deregister).await {
            warn!("event=deregister_failed cause={error:?}");
        }
    }
}

/// Waits for the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signal handlers cannot be installed.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Spawns the control thread and returns the shared state.
fn start_control(settings: Settings, peers: TcpListener) -> io::Result<Arc<Shared>> {
    let (control, tasks) = ControlHandle::new();
    let (config_sender, config) = watch::channel(Arc::new(ConfigSnapshot::default()));
    let clock = SystemClock::new();
    let metrics = Metrics::new();
    let limits = HoldingLimits::of_process(settings.memory_max_bytes, sockets_max(None));
    let shared = Arc::new(Shared {
        holdings: Holdings::new(limits),
        settings,
        metrics,
        clock,
        config,
        control,
        draining: AtomicBool::new(false),
    });
    let (settings, metrics) = (shared.settings.clone(), shared.metrics.clone());
    let service = PeerService::new(shared.control.clone(), metrics.clone());
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let system = System::build().name("control").build(ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let client = match clients::build(CONTROL_CLIENT_KEEP_ALIVE).await {
                Ok(client) => client,
                Err(cause) => return error!("event=control_failed cause={cause:?}"),
            };
            let http = HttpPlatform::new(
                &settings.platform,
                client,
                settings.platform_timeout,
                metrics.clone(),
            );
            let peers = match serve_peers(peers, service) {
                Ok(handle) => handle,
                Err(cause) => return error!("event=control_failed cause={cause:?}"),
            };
            Control::new(settings, Rc::new(http), clock, metrics, config_sender).serve(tasks).await;
            drop(peers);
        });
    })?;
    Ok(shared)
}

/// Serves the control messages of other nodes on the current thread.
fn serve_peers(listener: TcpListener, service: PeerService) -> io::Result<ServerHandle> {
    listener.set_nonblocking(true)?;
    let server = ServerBuilder::default().build_from_tcp(listener)?;
    Ok(server.start(service.into_rpc()))
}

/// Starts a listener. Connections beyond the callers' limit wait until others are closed.
fn serve(
    shared: &Arc<Shared>,
    listener: TcpListener,
    workers: usize,
    configure: fn(&mut web::ServiceConfig),
) -> io::Result<Server> {
    let shared = Arc::clone(shared);
    // A number for each worker of all listeners, which the server library keeps for the process.
    let connections_max =
        shared.holdings.limits().connections_max.div_ceil(shared.settings.workers);
    let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE).set_max_buf_size(HEAD_MAX_BYTES);
    let server = HttpServer::new(async move || {
        let clients = Clients::new().await.expect("HTTP client settings are valid");
        let limit = shared.settings.body_max_bytes;
        let worker = Worker { shared: Arc::clone(&shared), clients: Rc::new(clients) };
        App::new()
            .state(Rc::new(worker))
            .state(web::types::PayloadConfig::new(limit))
            .state(web::types::JsonConfig::default().limit(INTERNAL_BODY_MAX_BYTES))
            .configure(configure)
    })
    .workers(workers)
    .disable_signals()
    .shutdown_timeout(CLOSE_TIMEOUT)
    .maxconn(connections_max)
    .config(SharedCfg::new("HTTP").add(http))
    .listen(listener)?
    .run();
    Ok(server)
}

/// Maximum size of a request head, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;
/// Maximum size of JSON bodies from other nodes and from operators.
const INTERNAL_BODY_MAX_BYTES: usize = 256 * 1024 * 1024;

/// Registers the handlers of the listener for callers.
fn caller_routes(config: &mut web::ServiceConfig) {
    config
        .service(
            web::resource("/v1/chat/completions").route(web::post().to(chat::chat_completions)),
        )
        .service(web::resource("/v1/models").route(web::get().to(programs::list_models)))
        .service(web::resource("/v1/programs").route(web::post().to(programs::open_program)))
        .service(
            web::resource("/v1/programs/{id}")
                .route(web::get().to(programs::get_program))
                .route(web::delete().to(programs::delete_program)),
        )
        .service(
            web::resource(format!("{}{{path}}*", service::SERVICES_PATH))
                .route(web::route().to(service::call_service)),
        );
}
