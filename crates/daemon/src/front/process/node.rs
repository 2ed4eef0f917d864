//! State of a node.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandelionfront_coordination::cold::ServerStarts;
use dandelionfront_coordination::crashes::{AbandonedRequests, CrashTable, RequestKeys};
use dandelionfront_coordination::freshness::Freshness;
use dandelionfront_coordination::holdings::{HoldingLimits, Holdings};
use dandelionfront_coordination::ledger::{Ledgers, ReleaseRequester};
use dandelionfront_coordination::lending::Lender;
use dandelionfront_coordination::limits::UsageLimiter;
use dandelionfront_coordination::limits::bucket::BucketLimits;
use dandelionfront_coordination::limits::usage::{BucketLevel, RequestClass, team_hash};
use dandelionfront_coordination::moves::SessionMoves;
use dandelionfront_coordination::outage::{RETRY_SPREAD, retry_delay};
use dandelionfront_coordination::pauses::{PauseCount, PauseWatch};
use dandelionfront_coordination::placement::Placement;
use dandelionfront_coordination::prompts::{SharedPart, SharedPrompts};
use dandelionfront_coordination::request::PromptPart;
use dandelionfront_coordination::routing::{CallerLimits, RoutingTable, ServiceSpec, Team};
use dandelionfront_coordination::rows::SharedRowStore;
use dandelionfront_coordination::servers::{ServerChange, ServerList};
use dandelionfront_coordination::turns::{TurnRecord, Turns, store_retry_delay};
use dandelionfront_coordination::{Refusal, RefusalKind};
use dandelionfront_platform::{NodeSettings, StoreClient};
use tokio::sync::watch;
use tokio::time::timeout;

use super::clock::FrontClock;
use super::metrics::FrontMetrics;
use super::stop::{ActiveCount, StopSignal};
use crate::descriptors::sockets_max;
use crate::front::connection::BackendPool;
use crate::front::connection::backend_reach::BackendReachability;
use crate::front::connection::listener::ChunkTurns;
use crate::front::connection::paced::StorePacer;
use crate::front::connection::peers::Peers;
use crate::front::connection::reach::StoreReachability;
use crate::front::connection::tunnel::TunnelNeighbours;
use crate::front::version::list_age::ServerListAge;

/// Minimum `Retry-After` delay for callers over their team's limit.
const LIMIT_RETRY_AFTER_MIN_MS: u64 = 50;
/// Maximum `Retry-After` delay for callers over their team's limit.
const LIMIT_RETRY_AFTER_MAX_MS: u64 = 2_000;
/// Divisor of the process's memory limit; the quotient is the maximum size of the turn cache.
const TURN_CACHE_MEMORY_DIVISOR: u64 = 8;

/// A node's access to the platform's store.
pub struct StoreAccess {
    /// The store.
    pub client: StoreClient,
    /// Reachability of the store, directly and through other nodes.
    pub reachability: Rc<StoreReachability>,
    /// Pace of the writes.
    pub pacer: Rc<StorePacer>,
}

/// State shared by the requests and tasks of a node.
pub struct FrontNode {
    /// Settings of the process.
    pub settings: NodeSettings,
    /// Clocks.
    pub clock: FrontClock,
    /// Metrics.
    pub metrics: Rc<FrontMetrics>,
    /// The platform's store.
    pub store: StoreClient,
    /// Reachability of the store, directly and through other nodes.
    pub store_reachability: Rc<StoreReachability>,
    /// Pace of the writes to the store.
    pub store_pacer: Rc<StorePacer>,
    /// Backend servers in the platform's list.
    pub servers: RefCell<ServerList>,
    /// Time since the list was read.
    pub server_list_age: ServerListAge,
    /// Start times of backend servers.
    pub server_starts: RefCell<ServerStarts>,
    /// Load, recent failures and limits of backend servers.
    pub placement: RefCell<Placement>,
    /// Crashes of backend servers and the requests lost in them.
    pub crashes: RefCell<CrashTable>,
    /// Requests that servers may still run, though nobody waits for their answers.
    pub abandoned: RefCell<AbandonedRequests>,
    /// Abandoned requests whose outcome this node observes.
    pub observed: ActiveCount,
    /// Those of them that may be repeated and are observed to their ends.
    pub observed_whole: ActiveCount,
    /// Use of shared parts of prompts.
    pub prompts: RefCell<SharedPrompts>,
    /// Servers of the last turns of recent sessions.
    pub session_moves: RefCell<SessionMoves>,
    /// Limits of the teams, which apply over all nodes.
    pub limiter: RefCell<UsageLimiter>,
    /// Token budgets of programs.
    pub ledgers: Rc<Ledgers>,
    /// Loans of tokens to other nodes.
    pub lender: Lender,
    /// Stored turns.
    pub turns: Turns,
    /// Messages to and from the other nodes.
    pub peers: Rc<Peers>,
    /// Reachability of the backend servers, without other nodes.
    pub backend_reach: BackendReachability,
    /// Other nodes through which backend servers are reached.
    pub tunnel_neighbours: TunnelNeighbours,
    /// Open tunnels of other nodes to backend servers.
    pub tunnels: ActiveCount,
    /// Idle connections to backend servers.
    pub pool: BackendPool,
    /// Signal of a graceful shutdown.
    pub stop: StopSignal,
    /// What callers make the process hold.
    pub holdings: Arc<Holdings>,
    /// Turns of callers' bodies that arrive in many small chunks.
    pub chunk_turns: ChunkTurns,
    /// Open connections of callers.
    pub caller_connections: ActiveCount,
    /// Callers' requests in flight.
    pub caller_requests: ActiveCount,
    table: RefCell<Rc<RoutingTable>>,
    /// Limits of callers' connections in the active routing table.
    caller_limits: watch::Sender<CallerLimits>,
    freshness: RefCell<Freshness>,
    pauses: RefCell<PauseWatch>,
    /// Whether the list of backend servers was read at least once.
    has_read_servers: Cell<bool>,
    /// Whether the list of the other nodes was read at least once and they had time to report.
    has_read_members: watch::Sender<bool>,
}

impl FrontNode {
    /// Creates a node without configuration, backend servers or known nodes.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        clock: FrontClock,
        store: StoreAccess,
        metrics: Rc<FrontMetrics>,
        peers: Rc<Peers>,
    ) -> Self {
        let StoreAccess { client: store, reachability: store_reachability, pacer: store_pacer } =
            store;
        let claimant = peers.claimant();
        log::info!("event=claimant vm={} claimant={claimant}", settings.vm_name);
        let requester = Rc::clone(&peers) as Rc<dyn ReleaseRequester>;
        let rows: SharedRowStore = Rc::new(store.clone());
        let monotonic = clock.monotonic_clock();
        let ledgers = Rc::new(Ledgers::new(Rc::clone(&rows), monotonic, claimant, requester));
        let cache_max_bytes =
            usize::try_from(settings.memory_max_bytes / TURN_CACHE_MEMORY_DIVISOR)
                .unwrap_or(usize::MAX);
        Self {
            metrics,
            store,
            store_reachability,
            store_pacer,
            servers: RefCell::default(),
            server_list_age: ServerListAge::new(settings.server_leave_time),
            server_starts: RefCell::default(),
            placement: RefCell::default(),
            crashes: RefCell::default(),
            abandoned: RefCell::default(),
            observed: ActiveCount::default(),
            observed_whole: ActiveCount::default(),
            prompts: RefCell::default(),
            session_moves: RefCell::default(),
            limiter: RefCell::default(),
            lender: Lender::new(Rc::clone(&ledgers), clock.monotonic_clock()),
            ledgers,
            peers,
            turns: Turns::new(rows, cache_max_bytes).with_row_max(settings.store_row_max_bytes),
            backend_reach: BackendReachability::default(),
            tunnel_neighbours: TunnelNeighbours::default(),
            tunnels: ActiveCount::default(),
            pool: BackendPool::default(),
            stop: StopSignal::default(),
            holdings: Holdings::new(HoldingLimits::of_process(
                settings.memory_max_bytes,
                sockets_max(settings.sockets_max),
            )),
            chunk_turns: ChunkTurns::default(),
            caller_connections: ActiveCount::default(),
            caller_requests: ActiveCount::default(),
            table: RefCell::default(),
            caller_limits: watch::Sender::default(),
            freshness: RefCell::new(Freshness::new(settings.key_withdrawal)),
            pauses: RefCell::default(),
            has_read_servers: Cell::new(false),
            has_read_members: watch::Sender::new(false),
            clock,
            settings,
        }
    }

    /// Returns the number of times that the process has stood still; called at least with each run
    /// of housekeeping.
    pub fn pause_count(&self) -> PauseCount {
        self.pauses.borrow_mut().observe(self.clock.boot_now())
    }

    /// Returns the active routing table; its version is 0 before the first one.
    #[must_use]
    pub fn table(&self) -> Rc<RoutingTable> {
        Rc::clone(&self.table.borrow())
    }

    /// Replaces the active routing table.
    pub fn replace_table(&self, table: Rc<RoutingTable>) {
        self.caller_limits.send_if_modified(|limits| {
            let is_changed = limits != table.limits();
            limits.clone_from(table.limits());
            is_changed
        });
        self.table.replace(table);
    }

    /// Returns the limits of callers' connections, which change with the routing table.
    #[must_use]
    pub fn caller_limits(&self) -> watch::Receiver<CallerLimits> {
        self.caller_limits.subscribe()
    }

    /// Returns the time since the configuration was last confirmed as current, in milliseconds; -1 if
    /// it never was.
    #[must_use]
    pub fn config_age_ms(&self) -> i64 {
        self.freshness.borrow().age(self.clock.boot_now()).map_or(-1, millis_i64)
    }

    /// Records that the store had no newer valid configuration at `requested_at`.
    pub fn confirm_config(&self, requested_at: Duration) {
        let was_fresh = self.freshness.borrow().is_fresh(self.clock.boot_now());
        self.freshness.borrow_mut().confirm(requested_at);
        if !was_fresh {
            log::info!("event=config_fresh version={}", self.table().version());
        }
    }

    /// Checks that the configuration was confirmed as current recently enough to rely on its keys
    /// and routes.
    ///
    /// # Errors
    ///
    /// Fails when the configuration was last confirmed as current too long ago.
    pub fn require_fresh(&self) -> Result<(), Refusal> {
        let now = self.clock.boot_now();
        let freshness = self.freshness.borrow();
        if freshness.is_fresh(now) {
            return Ok(());
        }
        let age_ms = self.config_age_ms();
        let message =
            format!("the configuration was last proved current {age_ms} ms ago; retry elsewhere");
        Err(self.during_outage(Refusal::not_run(RefusalKind::ConfigStale, message)))
    }

    /// Checks that the active configuration may be the newest one. A node that reaches the store, but
    /// has not been told for long that it is, probably fails to read a newer one.
    ///
    /// # Errors
    ///
    /// Fails when the store is reached, but the configuration was last confirmed as current too long
    /// ago.
    pub fn require_plausible_config(&self) -> Result<(), Refusal> {
        if self.store_reachability.is_unreachable() { Ok(()) } else { self.require_fresh() }
    }

    /// Adapts the retry delay of a refusal whose cause is the store to the length of the outage, if
    /// no node reaches the store; otherwise, the caller may retry at another node.
    #[must_use]
    pub fn during_outage(&self, refusal: Refusal) -> Refusal {
        let Some(outage) = self.store_reachability.outage() else { return refusal };
        let delay = retry_delay(outage, rand::random_range(RETRY_SPREAD));
        refusal.retry_after_ms(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX))
    }

    /// Checks that a request, or those with its path, did not end several backend servers.
    ///
    /// # Errors
    ///
    /// Fails while the request is refused because of the servers that ended.
    pub fn require_harmless(&self, request: RequestKeys) -> Result<(), Refusal> {
        let crashes = self.crashes.borrow();
        let Some(refused_for) = crashes.refused_for(request, self.clock.monotonic_now()) else {
            return Ok(());
        };
        let message = format!(
            "{} backend servers ended while they ran this request or others with its path; change \
             the request, or retry after the pause",
            crashes.crashes(request)
        );
        let refused_for_ms = u64::try_from(refused_for.as_millis()).unwrap_or(u64::MAX);
        let refusal = Refusal::not_run(RefusalKind::RequestQuarantined, message);
        Err(refusal.retry_after_ms(refused_for_ms))
    }

    /// Takes a token from the limit of `team`; returns the delay before the request may be sent.
    ///
    /// # Errors
    ///
    /// Fails when the team is over its limit.
    pub fn acquire_limit_token(
        &self,
        team: &Team,
        class: RequestClass,
    ) -> Result<Duration, Refusal> {
        if team.rate_per_s <= 0.0 {
            return Ok(Duration::ZERO);
        }
        let limits = BucketLimits { rate_per_s: team.rate_per_s, burst: team.burst };
        let now = self.clock.monotonic_now();
        let result = self.limiter.borrow_mut().take(team_hash(&team.name), limits, class, now);
        result.map_err(|wait| {
            let covered = self.limiter.borrow().reachable_share(now);
            let message = format!(
                "team {} is over its limit of {} requests a second (share in reach {covered:.2}); \
                 retry after the pause",
                team.name, team.rate_per_s
            );
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            let wait_ms = wait_ms.clamp(LIMIT_RETRY_AFTER_MIN_MS, LIMIT_RETRY_AFTER_MAX_MS);
            Refusal::not_run(RefusalKind::RateLimited, message).retry_after_ms(wait_ms)
        })
    }

    /// Records a request's prompt and returns the part that other programs share, if any.
    pub fn record_prompt(
        &self,
        service: &str,
        spec: Option<&ServiceSpec>,
        prompt: &[PromptPart],
    ) -> Option<SharedPart> {
        let engine = spec?.engine.as_ref()?;
        let servers = self.servers.borrow().ready(service).count();
        self.prompts.borrow_mut().record(service, prompt, engine.cache_tokens, servers)
    }

    /// Returns what this node knows of the limit of `team`.
    #[must_use]
    pub fn limit_level(&self, team: &str) -> BucketLevel {
        self.limiter.borrow().level(team_hash(team), self.clock.monotonic_now())
    }

    /// Refunds the token of a request that no backend server may have run.
    pub fn refund_limit_token(&self, team: &str) {
        self.metrics.limit_tokens_refunded.inc();
        self.limiter.borrow_mut().refund(team_hash(team));
    }

    /// Checks that the writes of a new program with `time_left` would not wait for too long.
    ///
    /// # Errors
    ///
    /// Fails while the store is short of room.
    pub fn require_store_room(&self, request: &str, time_left: Duration) -> Result<(), Refusal> {
        let Some((delay, ahead)) = self.store_pacer.new_program_retry_delay(time_left) else {
            return Ok(());
        };
        let delay = delay.mul_f64(rand::random_range(RETRY_SPREAD));
        log::info!(
            "event=store_short request={request} ahead={ahead} time_left_ms={} retry_after_ms={}",
            time_left.as_millis(),
            delay.as_millis(),
        );
        let message = format!("{ahead} writes wait for the platform's store; retry later");
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        Err(Refusal::not_run(RefusalKind::PlatformUnavailable, message).retry_after_ms(delay_ms))
    }

    /// Returns whether the load balancer may send new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.table().version() > 0
            && self.has_read_servers.get()
            && self.has_read_members()
            && !self.stop.is_stopping()
            && !self.store_reachability.is_isolated()
            && self.require_plausible_config().is_ok()
    }

    /// Records that the list of backend servers was read by a call that began at `requested_at`, and
    /// updates its gauges.
    pub fn record_servers_read(&self, requested_at: Duration) {
        self.server_list_age.note_read(requested_at);
        let servers = self.servers.borrow();
        self.metrics.servers.set(gauge_value(servers.len()));
        self.metrics.servers_draining.set(gauge_value(servers.draining_count()));
        self.has_read_servers.set(true);
    }

    /// Updates the gauges of the configuration's age and of open requests and connections.
    pub fn update_gauges(&self) {
        self.metrics.config.age_ms.set(self.config_age_ms());
        self.metrics.requests.set(gauge_value(self.caller_requests.get()));
        self.metrics.connections.set(gauge_value(self.caller_connections.get()));
        self.metrics
            .holdings
            .held_bytes
            .set(i64::try_from(self.holdings.held_bytes()).unwrap_or(i64::MAX));
        let (servers, placement) = (self.servers.borrow(), self.placement.borrow());
        let now = self.clock.monotonic_now();
        let slow = servers.all_ready().filter_map(|server| {
            let (step, _) = placement.speed(server, now).filter(|(step, _)| *step > 0)?;
            Some((&server.id, 1_i64 << step))
        });
        self.metrics.set_slow_servers(slow);
        self.metrics.servers_cold.set(gauge_value(placement.limits().cold_count(now)));
    }

    /// Returns whether the list of the other nodes was read and they had time to report.
    #[must_use]
    pub fn has_read_members(&self) -> bool {
        *self.has_read_members.borrow()
    }

    /// Waits until the list of the other nodes was read and they had time to report; returns `false`
    /// after `wait_max`.
    pub async fn wait_for_members(&self, wait_max: Duration) -> bool {
        let mut has_read_members = self.has_read_members.subscribe();
        timeout(wait_max, has_read_members.wait_for(|has_read| *has_read)).await.is_ok()
    }

    /// Records that the list of the other nodes was read and that they had time to report.
    pub fn record_members_read(&self) {
        if !self.has_read_members.send_replace(true) {
            let covered = self.limiter.borrow().reachable_share(self.clock.monotonic_now());
            log::info!("event=members_known covered_share={covered:.2}");
        }
    }

    /// Logs changes to the list of backend servers and drops the state of removed servers.
    pub fn apply_server_changes(&self, changes: &[ServerChange]) {
        for change in changes {
            match change {
                ServerChange::Seen(id) => {
                    let servers = self.servers.borrow();
                    let software = servers.ready_by_id(id).map_or("-", |entry| &entry.software);
                    log::info!("event=server_seen server={id} software=\"{software}\"");
                    let now = self.clock.monotonic_now();
                    self.session_moves.borrow_mut().note_listed(id, now);
                }
                ServerChange::Draining(id) => {
                    log::info!("event=server_draining server={id}");
                    self.abandoned.borrow_mut().discard_at(id);
                }
                ServerChange::Gone(id) => {
                    log::info!("event=server_gone server={id}");
                    self.placement.borrow_mut().forget(id);
                    self.session_moves.borrow_mut().note_gone(id);
                }
            }
        }
    }

    /// Considers all backend servers healthy and closes idle connections, once this node is found
    /// to be cut off; the servers' keepers are told.
    pub fn forgive_servers(&self) {
        self.pool.close_all();
        let failed = self.placement.borrow_mut().forgive();
        for server in failed {
            self.peers.send_load(self, &server);
        }
    }

    /// Stores a turn; returns whether the store accepted it before `deadline`.
    ///
    /// The answer is completed only after the turn is stored, so that a caller with a complete
    /// answer can continue from the turn, whatever fails afterwards.
    pub async fn persist_turn(
        &self,
        turn: &str,
        record: Rc<TurnRecord>,
        deadline: Instant,
    ) -> bool {
        for attempts in 1.. {
            let write = self.turns.store(turn, Rc::clone(&record));
            let (cause, is_final) = match tokio::time::timeout_at(deadline.into(), write).await {
                Ok(Ok(())) => return true,
                Ok(Err(error)) => (error.to_string(), !error.may_be_stored_later()),
                Err(_) => ("the deadline passed".to_owned(), true),
            };
            let time_left = deadline.saturating_duration_since(Instant::now());
            let delay = store_retry_delay(attempts, time_left).filter(|_| !is_final);
            log::warn!(
                "event=turn_not_kept request={turn} cause=\"{cause}\" retried={} time_left_ms={}",
                delay.is_some(),
                time_left.as_millis(),
            );
            let Some(delay) = delay else { break };
            tokio::time::sleep(delay).await;
        }
        false
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn millis_i64(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
