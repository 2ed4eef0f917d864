//! State of the control thread: the node, the configuration and the dispatcher.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dandelionfront_coordination::config::publish::{Publication, PublishError, Published};
use dandelionfront_coordination::ids::{
    BackendId, ProgramId, ShardId, TeamId, parse_program_id, program_id,
};
use dandelionfront_coordination::journal::load_body;
use dandelionfront_coordination::owner::ProgramSpec;
use dandelionfront_coordination::payload::Body;
use dandelionfront_coordination::peers::TakeReply;
use dandelionfront_coordination::platform::{PlatformResult, VmList as _, VmState};
use dandelionfront_coordination::record::CloseReason;
use dandelionfront_coordination::{
    Admission, AttemptEnd, CallRequest, CallTicket, Clock as _, ConfigSnapshot, Dispatcher, Node,
    Payload, Placement, Platform, Program, Refusal, RefusalKind,
};
use log::{debug, info, warn};
use tokio::sync::{mpsc, watch};

use super::clock::SystemClock;
use super::handle::ControlTask;
use super::metrics::Metrics;
use super::platform::HttpPlatform;
use crate::backend::Releaser;
use crate::connection::peers::RpcPeers;
use crate::crash::CrashPoint;
use crate::request::execute;
use crate::settings::Settings;
use crate::version::ConfigFollower;

/// Delay between attempts to register the node.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval between clean-ups, each of which ends abandoned programs and releases engine memory.
const CLEAN_UP_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_millis(500);

/// State that only the control thread accesses.
pub struct Control {
    settings: Settings,
    platform: Platform,
    vm_list: Rc<HttpPlatform>,
    clock: SystemClock,
    metrics: Metrics,
    peers: Rc<RpcPeers>,
    node: RefCell<Rc<Node>>,
    config_follower: ConfigFollower,
    dispatcher: Dispatcher,
    shutting_down: Cell<bool>,
}

impl Control {
    /// Creates the state without starting any task; see [`Control::serve`].
    #[must_use]
    pub fn new(
        settings: Settings,
        http: Rc<HttpPlatform>,
        clock: SystemClock,
        metrics: Metrics,
        config: watch::Sender<Arc<ConfigSnapshot>>,
    ) -> Rc<Self> {
        let peers = Rc::new(RpcPeers::new(metrics.clone()));
        let platform = Platform { table: Rc::clone(&http) as _, objects: Rc::clone(&http) as _ };
        let node = Node::new(
            platform.clone(),
            Rc::new(clock),
            Rc::clone(&peers) as _,
            settings.identity.clone(),
            settings.node.clone(),
        );
        Rc::new(Self {
            config_follower: ConfigFollower::new(
                platform.clone(),
                Rc::clone(&peers) as _,
                config,
                metrics.clone(),
            ),
            settings,
            platform,
            vm_list: http,
            clock,
            metrics,
            peers,
            node: RefCell::new(node),
            dispatcher: Dispatcher::default(),
            shutting_down: Cell::new(false),
        })
    }

    /// Returns the current incarnation of the node.
    #[must_use]
    pub fn node(&self) -> Rc<Node> {
        Rc::clone(&self.node.borrow())
    }

    /// Returns the dispatcher.
    #[must_use]
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// Returns the follower, which keeps the configuration of this node up to date.
    #[must_use]
    pub fn config_follower(&self) -> &ConfigFollower {
        &self.config_follower
    }

    /// Starts the graceful shutdown of the node; from then on, a fenced node is not replaced by a
    /// new incarnation.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; the call is idempotent and can be retried.
    pub async fn leave(&self) -> PlatformResult<()> {
        self.shutting_down.set(true);
        self.node().leave().await
    }

    /// Returns the platform's services.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Runs the node and the tasks that other threads send; a fenced node restarts as a new
    /// incarnation.
    pub async fn serve(self: Rc<Self>, mut tasks: mpsc::UnboundedReceiver<ControlTask>) {
        ntex::rt::spawn(Rc::clone(&self).run_incarnations());
        ntex::rt::spawn(Rc::clone(&self).update_gauges());
        ntex::rt::spawn(Rc::clone(&self).watch_vms());
        ntex::rt::spawn(Rc::clone(&self).clean_up_programs());
        while let Some(task) = tasks.recv().await {
            ntex::rt::spawn(task(Rc::clone(&self)));
        }
    }

    /// Admits a call to a program that this node serves.
    ///
    /// # Errors
    ///
    /// Refuses as documented at [`dandelionfront_coordination::Owner::admit`].
    pub async fn admit(&self, request: &CallRequest) -> Result<Admission, Refusal> {
        let (node, shard) = self.node_and_shard(&request.program)?;
        let mut admission = node.owner().admit(request).await?;
        if let Admission::Run(ticket) = &mut admission {
            ticket.fencing_number = node.shards().epoch(shard).unwrap_or(0);
        }
        Ok(admission)
    }

    /// Takes a rate limit token of `team`, waiting up to `token_wait` for one.
    ///
    /// # Errors
    ///
    /// Refuses when the team exceeds its rate and burst, or no holder of its limit can be reached.
    pub async fn acquire_token(&self, team: &TeamId) -> Result<(), Refusal> {
        let config = self.config_follower.current();
        let Some(limit) = config.team_limit(team) else { return Ok(()) };
        let node = self.node();
        node.limits().acquire(team, limit, &node.membership().members()).await
    }

    /// Takes a token from this node's share of the limit of `team`, on behalf of another node.
    pub async fn take_from_own_share(&self, team: &TeamId, row_version: u64) -> TakeReply {
        let config = self.config_follower.current();
        let Some(limit) = config.team_limit(team) else { return TakeReply::NotHolder };
        let node = self.node();
        node.limits().take_own(team, row_version, limit, &node.membership().members()).await
    }

    /// Records the result of an attempt; if an earlier incarnation of this node started it, only
    /// refuses the waiting callers.
    pub async fn finish(&self, ticket: &CallTicket, request: &CallRequest, end: AttemptEnd) {
        let node = self.node();
        if node.incarnation().id() == ticket.incarnation {
            let recorded = || execute::hit_crash_point(request.repeatable, CrashPoint::Finished);
            node.owner().finish(ticket, request, end, recorded).await;
        } else {
            ticket.feed.close(Err(Refusal::may_have_run(
                RefusalKind::NotOwner,
                "the program moved to another node; repeat the call with the same Idempotency-Key",
            )));
        }
    }

    /// Selects a backend server that is not in `tried` for `route`, or for the first fallback route
    /// that has one.
    ///
    /// # Errors
    ///
    /// Refuses when no backend server can take the call, or when the route was removed.
    pub fn place(
        &self,
        program: &str,
        route: &str,
        tried: &[BackendId],
    ) -> Result<Placement, Refusal> {
        // Only the server that answers is recorded, but those tried before may also hold cached
        // state for the program, which must be released.
        if !tried.is_empty() {
            self.node().owner().mark_unrecorded_backends(program);
        }
        let config = self.config_follower.current();
        let mut refusal = None;
        let mut next = Some(route);
        while let Some(object) = next.and_then(|name| config.objects().route.get(name)) {
            let served = object.model.as_ref().or(object.service.as_ref());
            match self.dispatcher.place(&config, served.map_or("", |name| name), tried) {
                Ok(placement) => return Ok(placement),
                Err(refused) => refusal.get_or_insert(refused),
            };
            next = object.fallback.as_deref();
        }
        Err(refusal.unwrap_or_else(|| {
            Refusal::not_run(RefusalKind::RouteUnknown, "the route was removed; see GET /v1/models")
        }))
    }

    /// Opens a program on its parent's shard, or on any shard of this node if it has no parent.
    ///
    /// # Errors
    ///
    /// Refuses when the parent is unknown or not served by this node, and when this node serves no
    /// shard.
    pub async fn open_program(&self, spec: ProgramSpec) -> Result<ProgramId, Refusal> {
        let (node, shard) = match &spec.parent {
            Some(parent) => self.node_and_shard(parent)?,
            None => (self.node(), self.pick_shard().ok_or_else(not_ready)?),
        };
        let id = program_id(&self.settings.identity.region, shard, rand::random());
        node.owner().open(id.clone(), spec).await?;
        Ok(id)
    }

    /// Ends a program that this node serves and its sub-agents; returns the ids of all that ended.
    ///
    /// # Errors
    ///
    /// Refuses when this node does not serve the program or it belongs to another team.
    pub async fn close_program(
        &self,
        id: &str,
        team: Option<String>,
        reason: CloseReason,
    ) -> Result<Vec<ProgramId>, Refusal> {
        let (node, _) = self.node_and_shard(id)?;
        let opened_unix_ms = node.owner().program(id, None).map(|program| program.opened_unix_ms);
        let ended = node.owner().close(id, team.as_deref(), reason).await?;
        if let Some(opened_unix_ms) = opened_unix_ms {
            let duration = self.clock.unix().saturating_sub(Duration::from_millis(opened_unix_ms));
            self.metrics.program_seconds.observe(duration.as_secs_f64());
        }
        Ok(ended)
    }

    /// Returns a program that this node serves.
    ///
    /// # Errors
    ///
    /// Refuses when this node does not serve the program or it belongs to another team.
    pub fn program(&self, id: &str, team: Option<&str>) -> Result<Program, Refusal> {
        let (node, _) = self.node_and_shard(id)?;
        node.owner().program(id, team).ok_or_else(Refusal::program_unknown)
    }

    /// Returns the current incarnation of this node and the shard of a program.
    ///
    /// # Errors
    ///
    /// Refuses when this node does not serve the shard.
    fn node_and_shard(&self, program: &str) -> Result<(Rc<Node>, ShardId), Refusal> {
        let region_shard = parse_program_id(program).ok_or_else(Refusal::program_unknown)?;
        let node = self.node();
        let is_own_region = region_shard.region == self.settings.identity.region;
        if is_own_region && node.shards().is_serving(region_shard.shard) {
            Ok((node, region_shard.shard))
        } else {
            Err(Refusal::not_owner())
        }
    }

    /// Publishes a configuration and activates it on this node immediately.
    ///
    /// # Errors
    ///
    /// Fails as documented at [`dandelionfront_coordination::ConfigStore::publish`].
    pub async fn publish(&self, publication: &Publication) -> Result<Published, PublishError> {
        self.config_follower.publish(publication, self.clock.unix()).await
    }

    /// Loads a recorded body.
    ///
    /// # Errors
    ///
    /// Refuses when the object store cannot be read.
    pub async fn load_body(&self, body: &Body) -> Result<Payload, Refusal> {
        load_body(&*self.platform.objects, body).await.map_err(|error| {
            warn!("event=body_unreadable cause={error:?}");
            Refusal::may_have_run(
                RefusalKind::PlatformUnavailable,
                "the recorded answer cannot be read now; repeat the request after the pause",
            )
        })
    }

    fn pick_shard(&self) -> Option<u16> {
        let serving = self.node().shards().serving();
        let position = rand::random_range(0..serving.len().max(1));
        serving.get(position).copied()
    }

    async fn run_incarnations(self: Rc<Self>) {
        loop {
            let node = self.node();
            let commit_seconds = self.metrics.commit_seconds.clone();
            node.journal().set_observer(Box::new(move |elapsed| {
                commit_seconds.observe(elapsed.as_secs_f64());
            }));
            while let Err(error) = node.membership().register().await {
                warn!("event=register_failed cause={error:?}");
                ntex::time::sleep(REGISTER_RETRY_DELAY).await;
            }
            let head = node.membership().head();
            futures_util::future::select(
                std::pin::pin!(node.run(&self.config_follower)),
                std::pin::pin!(self.config_follower.follow(head)),
            )
            .await;
            if self.shutting_down.get() {
                return;
            }
            let mut identity = self.settings.identity.clone();
            identity.id = format!("node-{:016x}", rand::random::<u64>());
            info!("event=new_incarnation incarnation={}", identity.id);
            let node = Node::new(
                self.platform.clone(),
                Rc::new(self.clock),
                Rc::clone(&self.peers) as _,
                identity,
                self.settings.node.clone(),
            );
            *self.node.borrow_mut() = node;
        }
    }

    /// Polls the platform's VM list, so that leaving VMs get no new calls.
    async fn watch_vms(self: Rc<Self>) {
        loop {
            match self.vm_list.vms().await {
                Ok(vms) => {
                    let leaving = vms.into_iter().filter(|vm| vm.state != VmState::Live);
                    self.dispatcher.set_leaving(leaving.map(|vm| vm.address).collect());
                }
                Err(error) => debug!("event=vm_list_unreadable cause={error:?}"),
            }
            ntex::time::sleep(self.settings.vm_poll).await;
        }
    }

    /// Ends abandoned programs and releases the engine memory of ended ones.
    async fn clean_up_programs(self: Rc<Self>) {
        let releaser = Releaser::new(self.settings.engine_silence);
        loop {
            let node = self.node();
            let idle_before = self.clock.monotonic().checked_sub(self.settings.program_idle);
            for program in idle_before.map_or_else(Vec::new, |time| node.owner().idle_since(time)) {
                info!("event=program_abandoned program={program}");
                let _ = node.owner().close(&program, None, CloseReason::Abandoned).await;
            }
            let config = self.config_follower.current();
            let freed = releaser.release(&config, node.owner().unreleased()).await;
            if !freed.is_empty() {
                node.owner().mark_released(&freed);
            }
            ntex::time::sleep(CLEAN_UP_INTERVAL).await;
        }
    }

    async fn update_gauges(self: Rc<Self>) {
        loop {
            let node = self.node();
            self.metrics.shards.set(i64::try_from(node.shards().owned_count()).unwrap_or(i64::MAX));
            let programs = node.owner().program_count();
            self.metrics.programs.set(i64::try_from(programs).unwrap_or(i64::MAX));
            ntex::time::sleep(GAUGE_INTERVAL).await;
        }
    }
}

fn not_ready() -> Refusal {
    Refusal::not_run(
        RefusalKind::NotReady,
        "the node serves no programs yet; repeat the request at another node",
    )
}
