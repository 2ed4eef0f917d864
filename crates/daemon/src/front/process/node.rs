//! State of a node.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandelionfront_coordination::freshness::Freshness;
use dandelionfront_coordination::ledger::Ledgers;
use dandelionfront_coordination::limits::UsageLimiter;
use dandelionfront_coordination::limits::bucket::BucketLimits;
use dandelionfront_coordination::limits::usage::{Step, team_hash};
use dandelionfront_coordination::placement::Placement;
use dandelionfront_coordination::routing::{RoutingTable, Team};
use dandelionfront_coordination::rows::SharedRowStore;
use dandelionfront_coordination::servers::{ServerChange, ServerList};
use dandelionfront_coordination::turns::{TurnRecord, Turns};
use dandelionfront_coordination::{Refusal, RefusalKind};
use dandelionfront_platform::{NodeSettings, StoreClient};

use super::clock::FrontClock;
use super::metrics::FrontMetrics;
use super::stop::{Count, StopSignal};
use crate::front::connection::BackendPool;
use crate::front::connection::peers::Peers;
use crate::front::connection::reach::StoreReach;

/// Shortest and longest pause that a caller over its team's limit is asked to make.
const LIMIT_RETRY_MIN_MS: u64 = 50;
const LIMIT_RETRY_MAX_MS: u64 = 2_000;
/// Part of the process's memory that cached turns may use.
const TURN_CACHE_SHARE: u64 = 8;
/// Shortest and longest pause before a turn's record is written once more.
const KEEP_RETRY_PAUSE_MIN: Duration = Duration::from_millis(50);
const KEEP_RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// Everything that the requests and tasks of a node share.
pub struct FrontNode {
    /// Settings of the process.
    pub settings: NodeSettings,
    /// Clocks.
    pub clock: FrontClock,
    /// Metrics.
    pub metrics: Rc<FrontMetrics>,
    /// The platform's store.
    pub store: StoreClient,
    /// Ways to the store.
    pub reach: Rc<StoreReach>,
    /// Backend servers by the platform's list.
    pub servers: RefCell<ServerList>,
    /// Load and failures of backend servers.
    pub placement: RefCell<Placement>,
    /// Team limits over all nodes.
    pub limiter: RefCell<UsageLimiter>,
    /// Token budgets.
    pub ledgers: Ledgers,
    /// Kept turns.
    pub turns: Turns,
    /// Idle connections to backend servers.
    pub pool: BackendPool,
    /// Planned stop.
    pub stop: StopSignal,
    /// Open connections of callers.
    pub caller_connections: Count,
    /// Requests of callers under way.
    pub caller_requests: Count,
    table: RefCell<Rc<RoutingTable>>,
    freshness: RefCell<Freshness>,
    has_servers: Cell<bool>,
    has_members: Cell<bool>,
}

impl FrontNode {
    /// Creates a node that knows nothing yet.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        clock: FrontClock,
        (store, reach): (StoreClient, Rc<StoreReach>),
        metrics: Rc<FrontMetrics>,
        peers: Rc<Peers>,
    ) -> Self {
        let claimant = peers.claimant();
        log::info!("event=claimant vm={} claimant={claimant}", settings.vm_name);
        let rows: SharedRowStore = Rc::new(store.clone());
        let cache_max_bytes =
            usize::try_from(settings.memory_max_bytes / TURN_CACHE_SHARE).unwrap_or(usize::MAX);
        Self {
            metrics,
            store,
            reach,
            servers: RefCell::default(),
            placement: RefCell::default(),
            limiter: RefCell::default(),
            ledgers: Ledgers::new(Rc::clone(&rows), clock.steady(), claimant, peers),
            turns: Turns::new(rows, cache_max_bytes),
            pool: BackendPool::default(),
            stop: StopSignal::default(),
            caller_connections: Count::default(),
            caller_requests: Count::default(),
            table: RefCell::default(),
            freshness: RefCell::new(Freshness::new(settings.key_withdrawal)),
            has_servers: Cell::new(false),
            has_members: Cell::new(false),
            clock,
            settings,
        }
    }

    /// Returns the routing table in force; version 0 stands for none.
    #[must_use]
    pub fn table(&self) -> Rc<RoutingTable> {
        Rc::clone(&self.table.borrow())
    }

    /// Puts a routing table in force.
    pub fn replace_table(&self, table: Rc<RoutingTable>) {
        self.table.replace(table);
    }

    /// Records that the store had no newer configuration at `asked_at`.
    pub fn prove_fresh(&self, asked_at: Duration) {
        let was_fresh = self.freshness.borrow().is_fresh(self.clock.boot_now());
        self.freshness.borrow_mut().confirm(asked_at);
        if !was_fresh {
            log::info!("event=config_fresh version={}", self.table().version());
        }
    }

    /// Checks that withdrawn keys and new routes would be known.
    ///
    /// # Errors
    ///
    /// Fails when the last proof of freshness is too old.
    pub fn require_fresh(&self) -> Result<(), Refusal> {
        let now = self.clock.boot_now();
        let freshness = self.freshness.borrow();
        if freshness.is_fresh(now) {
            return Ok(());
        }
        let age_ms = freshness.age(now).map_or(-1, millis_i64);
        Err(Refusal::not_run(
            RefusalKind::ConfigStale,
            format!("the configuration was last proved current {age_ms} ms ago; retry elsewhere"),
        ))
    }

    /// Takes one request from the limit of `team`; returns the time after which it may be sent.
    ///
    /// # Errors
    ///
    /// Fails when the team is over its limit.
    pub fn take_limit(&self, team: &Team, step: Step) -> Result<Duration, Refusal> {
        if team.rate_per_s <= 0.0 {
            return Ok(Duration::ZERO);
        }
        let limits = BucketLimits { rate_per_s: team.rate_per_s, burst: team.burst };
        let now = self.clock.monotonic_now();
        let result = self.limiter.borrow_mut().take(team_hash(&team.name), limits, step, now);
        result.map_err(|wait| {
            let covered = self.limiter.borrow().covered_share(now);
            let message = format!(
                "team {} is over its limit of {} requests a second (share in reach {covered:.2}); \
                 retry after the pause",
                team.name, team.rate_per_s
            );
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            let wait_ms = wait_ms.clamp(LIMIT_RETRY_MIN_MS, LIMIT_RETRY_MAX_MS);
            Refusal::not_run(RefusalKind::RateLimited, message).retry_after_ms(wait_ms)
        })
    }

    /// Gives back a request that was counted and never sent.
    pub fn refund_limit(&self, team: &str) {
        self.limiter.borrow_mut().refund(team_hash(team));
    }

    /// Returns whether the balancer may send new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.table().version() > 0
            && self.has_servers.get()
            && self.has_members.get()
            && !self.stop.is_stopping()
            && !self.reach.is_cut_off()
    }

    /// Records that the list of backend servers was read.
    pub fn note_servers_read(&self) {
        let servers = self.servers.borrow();
        self.metrics.servers.set(gauge_value(servers.len()));
        self.metrics.servers_draining.set(gauge_value(servers.draining_count()));
        self.has_servers.set(true);
    }

    /// Shows in the metrics what changes with time and requests.
    pub fn update_gauges(&self) {
        let age = self.freshness.borrow().age(self.clock.boot_now());
        self.metrics.config_age_ms.set(age.map_or(-1, millis_i64));
        self.metrics.requests.set(gauge_value(self.caller_requests.get()));
        self.metrics.connections.set(gauge_value(self.caller_connections.get()));
    }

    /// Records that the other nodes are listed and had time to report.
    pub fn note_members_known(&self) {
        if !self.has_members.replace(true) {
            let covered = self.limiter.borrow().covered_share(self.clock.monotonic_now());
            log::info!("event=members_known covered_share={covered:.2}");
        }
    }

    /// Logs changes of the list and drops what belonged to servers that are gone.
    pub fn note_server_changes(&self, changes: &[ServerChange]) {
        for change in changes {
            match change {
                ServerChange::Seen(id) => log::info!("event=server_seen server={id}"),
                ServerChange::Draining(id) => log::info!("event=server_draining server={id}"),
                ServerChange::Gone(id) => {
                    log::info!("event=server_gone server={id}");
                    self.placement.borrow_mut().forget(id);
                }
            }
        }
    }

    /// Keeps a turn; returns whether the store accepted it before `ends_at`.
    ///
    /// The end of the answer waits for this: a caller that has it may rely on the turn, whatever
    /// fails afterwards.
    pub async fn keep_turn(&self, turn: &str, record: Rc<TurnRecord>, ends_at: Instant) -> bool {
        let mut pause = KEEP_RETRY_PAUSE_MIN;
        loop {
            let work = self.turns.keep(turn, Rc::clone(&record));
            let cause = match tokio::time::timeout_at(ends_at.into(), work).await {
                Ok(Ok(())) => return true,
                Ok(Err(error)) => error.to_string(),
                Err(_) => "the deadline passed".to_owned(),
            };
            let is_retried = Instant::now() + pause < ends_at;
            log::warn!("event=turn_not_kept request={turn} cause=\"{cause}\" retried={is_retried}");
            if !is_retried {
                return false;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(KEEP_RETRY_PAUSE_MAX);
        }
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn millis_i64(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
