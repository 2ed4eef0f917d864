//! Admission: the checks and decisions made before a request is sent to a backend server.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dandelionfront_coordination::crashes::RequestKeys;
use dandelionfront_coordination::holdings::Holding;
use dandelionfront_coordination::ids::{ConfigVersion, TeamId};
use dandelionfront_coordination::limits::usage::{BucketLevel, RequestClass};
use dandelionfront_coordination::pauses::PauseCount;
use dandelionfront_coordination::prompts::SharedPart;
use dandelionfront_coordination::request::RequestContext;
use dandelionfront_coordination::routing::{RepeatPolicy, Route, RoutingTable, ServiceId};
use dandelionfront_coordination::streams::{StreamId, StreamOrigin};
use dandelionfront_coordination::{Refusal, RefusalKind};
use dandelionfront_platform::headers;
use http::{HeaderMap, HeaderValue, Method, header};
use ntex::http::Request;

use super::turn::{self, RunningTurn};
use crate::consts::TIME_LIMIT_DEFAULT;
use crate::front::connection::caller::CallerRequest;
use crate::front::process::FrontNode;

/// Maximum wait of a request for the list of the other nodes; a caller that is refused would typically
/// retry after about this time.
const MEMBERS_WAIT_MAX: Duration = Duration::from_millis(750);
/// A request may wait for the list for its time limit divided by this.
const MEMBERS_WAIT_DIVISOR: u32 = 3;

/// A request that was admitted and may be sent to a backend server.
pub struct Admitted {
    /// Decoded request headers.
    pub context: RequestContext,
    /// Configuration by which the request was admitted.
    pub config: ConfigBelief,
    /// Route that matched at admission.
    pub route: Route,
    /// Service chosen by the route, or the one that began the stream to resume.
    pub service: String,
    /// The stream, if it may be resumed.
    pub stream: Option<StreamId>,
    /// Origin of the stream that the request resumes.
    pub origin: Option<StreamOrigin>,
    /// Team that the request's key belongs to; `None` if no key is required.
    pub team: Option<AdmittedTeam>,
    /// Request method.
    pub method: Method,
    /// Path and query as received.
    pub target: String,
    /// What its repetitions share.
    pub keys: RequestKeys,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body to forward.
    pub body: Bytes,
    /// Earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// Time at which the request head was read.
    pub arrived_at: Instant,
    /// Set for turns with a token budget or on a route that stores turns.
    pub turn: Option<RunningTurn>,
    /// Placement key; requests with equal keys often share a prompt and prefer the same backend
    /// server.
    pub placement_key: String,
    /// Part of the prompt that other programs share, if any.
    pub shared_part: Option<SharedPart>,
    /// Whether the request is the first turn of a program.
    pub starts_program: bool,
    /// Token taken from the team's limit.
    pub limit_reservation: LimitReservation,
    /// What the request makes the process hold.
    pub holding: Rc<Holding>,
}

impl Admitted {
    /// Takes another token of the team's limit if the process has stood still since the first one
    /// was taken; the first one is lost, because the bucket may have been full since.
    ///
    /// # Errors
    ///
    /// Fails when the team is over its limit.
    pub async fn renew_limit_token(&mut self, node: &Rc<FrontNode>) -> Result<(), Refusal> {
        let Some(team) = self.team.as_ref().filter(|_| self.limit_reservation.has_lapsed()) else {
            return Ok(());
        };
        log::info!("event=limit_token_lapsed request={} team={}", self.context.id, team.name);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let class = request_class(self.starts_program, time_left);
        let (request, table) = (&self.context.id, node.table());
        self.limit_reservation =
            LimitReservation::acquire(node, request, &table, team, class).await?;
        Ok(())
    }

    /// Returns what identifies the request in the log.
    #[must_use]
    pub fn labels(&self) -> RequestLabels {
        RequestLabels {
            id: self.context.id.clone(),
            program: self.context.program.as_ref().map(|program| program.id.clone()),
            team: self.team.as_ref().map(|team| team.name.clone()),
            keys: Some(self.keys),
        }
    }
}

/// A token taken from a team's limit; refunded on drop unless the request was sent and may have run,
/// or the process has stood still since.
#[derive(Default)]
pub struct LimitReservation {
    refund_to: Option<(Rc<FrontNode>, TeamId)>,
    /// Id of the request.
    request: String,
    /// What the node knew of the limit once the token was taken.
    pub level: BucketLevel,
    /// Whether the request is being sent, or was sent with an unknown outcome.
    is_in_use: bool,
    /// Pauses of the process before the token was taken.
    pauses: PauseCount,
}

impl LimitReservation {
    /// Takes a token and waits until it may be used.
    async fn acquire(
        node: &Rc<FrontNode>,
        request: &str,
        table: &RoutingTable,
        team: &AdmittedTeam,
        class: RequestClass,
    ) -> Result<Self, Refusal> {
        // Never `None`, because the key was found in the same table.
        let Some(spec) = table.team_of_key(&team.key) else { return Ok(Self::default()) };
        let pauses = node.pause_count();
        let wait = node.acquire_limit_token(spec, class)?;
        node.metrics.limit_wait_seconds.observe(wait.as_secs_f64());
        let reservation = Self {
            refund_to: Some((Rc::clone(node), team.name.clone())),
            request: request.to_owned(),
            level: node.limit_level(&team.name),
            is_in_use: false,
            pauses,
        };
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(reservation)
    }

    /// Returns whether the process has stood still since the unused token was taken.
    pub fn has_lapsed(&self) -> bool {
        self.refund_to.as_ref().is_some_and(|(node, _)| node.pause_count() != self.pauses)
    }

    /// Records that the request is being sent. Its handling may end at any time, because the caller
    /// leaves, and the token is not refunded then.
    pub fn begin_use(&mut self) {
        self.is_in_use = true;
    }

    /// Records that the request that was sent did not run.
    pub fn end_use(&mut self) {
        self.is_in_use = false;
    }

    /// Keeps the token, because a backend server may have run the request.
    pub fn commit(&mut self) {
        self.refund_to = None;
    }
}

impl Drop for LimitReservation {
    fn drop(&mut self) {
        let has_lapsed = self.has_lapsed();
        if let Some((node, team)) = self.refund_to.take()
            && !has_lapsed
            && !self.is_in_use
        {
            log::info!("event=limit_token_refunded request={} team={team}", self.request);
            node.refund_limit_token(&team);
        }
    }
}

/// The team of an admitted request.
pub struct AdmittedTeam {
    /// Team name.
    pub name: TeamId,
    /// Key sent with the request; checked again before each attempt.
    pub key: String,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
}

/// The configuration by which a request was admitted.
#[derive(Debug, Clone, Copy)]
pub struct ConfigBelief {
    /// Its version.
    pub version: ConfigVersion,
    /// Time since it was last confirmed as current, in milliseconds; -1 if it never was.
    pub age_ms: i64,
}

/// What identifies a request in the log.
#[derive(Debug, Default)]
pub struct RequestLabels {
    /// Request id; empty if the request had none.
    pub id: String,
    /// Program id, if the request named one.
    pub program: Option<String>,
    /// Team of the request's key, if it is known.
    pub team: Option<TeamId>,
    /// Keys, if the request's team is known or its route is open to all.
    pub keys: Option<RequestKeys>,
}

/// A request that was refused at admission.
pub struct RefusedRequest {
    /// What identifies the request in the log.
    pub labels: RequestLabels,
    /// Refusal to send to the caller.
    pub refusal: Refusal,
}

/// The route of a request, and the team that it belongs to.
struct Identified {
    table: Rc<RoutingTable>,
    route: Route,
    team: Option<AdmittedTeam>,
    keys: RequestKeys,
}

/// Returns the refusal of a request whose body has not been read yet, if its route or its key is
/// unknown or the process stops before its deadline.
pub fn refusal_of_head(node: &FrontNode, head: &Request) -> Option<RefusedRequest> {
    let context = decode(head);
    let checked = find_route_and_team(node, &node.table(), head).and_then(|(route, _)| {
        node.stop.require_time_until(Instant::now() + time_limit(&context, &route))
    });
    Some(RefusedRequest { labels: labels(&context), refusal: checked.err()? })
}

/// Returns the time within which a request must be answered.
fn time_limit(context: &RequestContext, route: &Route) -> Duration {
    context.deadline.unwrap_or(TIME_LIMIT_DEFAULT).min(route.timeout)
}

fn decode(head: &Request) -> RequestContext {
    headers::decode_request(|name| head.headers().get(name).and_then(|value| value.to_str().ok()))
}

fn labels(context: &RequestContext) -> RequestLabels {
    RequestLabels {
        id: context.id.clone(),
        program: context.program.as_ref().map(|program| program.id.clone()),
        ..RequestLabels::default()
    }
}

/// Admits a request or refuses it.
pub async fn admit(
    node: &Rc<FrontNode>,
    request: &CallerRequest,
) -> Result<Admitted, RefusedRequest> {
    let context = decode(&request.head);
    let mut labels = labels(&context);
    if let Err(refusal) = require_members(node, &context).await {
        return Err(RefusedRequest { labels, refusal });
    }
    let identified = match identify(node, request) {
        Ok(identified) => identified,
        Err(refusal) => return Err(RefusedRequest { labels, refusal }),
    };
    labels.team = identified.team.as_ref().map(|team| team.name.clone());
    labels.keys = Some(identified.keys);
    let result = admit_identified(node, request, context, identified).await;
    result.map_err(|refusal| RefusedRequest { labels, refusal })
}

/// Waits until the node knows the others. Callers reach a node before it is ready: for some time
/// after a restart, and if most nodes of its zone are not ready either. Until then it does not know
/// what other nodes and earlier processes spent of the limits, nor which requests are quarantined.
async fn require_members(node: &FrontNode, context: &RequestContext) -> Result<(), Refusal> {
    if node.has_read_members() || node.table().version() == 0 {
        return Ok(());
    }
    let waited_since = Instant::now();
    let time_limit = context.deadline.unwrap_or(TIME_LIMIT_DEFAULT);
    let is_known =
        node.wait_for_members(MEMBERS_WAIT_MAX.min(time_limit / MEMBERS_WAIT_DIVISOR)).await;
    log::info!(
        "event=waited_for_members request={} is_known={is_known} waited_ms={}",
        context.id,
        waited_since.elapsed().as_millis(),
    );
    if is_known {
        return Ok(());
    }
    let message = "the list of the other nodes has not arrived yet; retry shortly";
    Err(Refusal::not_run(RefusalKind::NotReady, message))
}

fn identify(node: &FrontNode, request: &CallerRequest) -> Result<Identified, Refusal> {
    let table = node.table();
    let (route, team) = find_route_and_team(node, &table, &request.head)?;
    let team_name = team.as_ref().map_or("", |team| team.name.as_str());
    let (method, target) = (request.head.method().as_str(), target(request));
    let keys = RequestKeys::new(team_name, method, target, &request.body);
    Ok(Identified { table, route, team, keys })
}

fn find_route_and_team(
    node: &FrontNode,
    table: &RoutingTable,
    head: &Request,
) -> Result<(Route, Option<AdmittedTeam>), Refusal> {
    if table.version() == 0 {
        let message = "no configuration has arrived yet; retry shortly";
        return Err(Refusal::not_run(RefusalKind::NotReady, message));
    }
    let route = find_route(node, table, head)?;
    let team = find_team(node, table, head, &route)?;
    Ok((route, team))
}

/// Returns the path and query of a request.
fn target(request: &CallerRequest) -> &str {
    request.head.uri().path_and_query().map_or("/", |target| target.as_str())
}

async fn admit_identified(
    node: &Rc<FrontNode>,
    request: &CallerRequest,
    context: RequestContext,
    identified: Identified,
) -> Result<Admitted, Refusal> {
    let Identified { table, route, team, keys } = identified;
    let config = ConfigBelief { version: table.version(), age_ms: node.config_age_ms() };
    if context.id.is_empty() {
        let message = "the request has no Request-Id; send a new one with each attempt";
        return Err(Refusal::not_run(RefusalKind::InvalidRequest, message));
    }
    node.require_harmless(keys)?;
    require_whole_turn(&context, &route)?;
    let deadline = request.arrived_at + time_limit(&context, &route);
    node.stop.require_time_until(deadline)?;
    let team_name = team.as_ref().map(|team| team.name.as_str()).unwrap_or_default();
    let is_resumable = route.repeat == RepeatPolicy::ResumableStream;
    let mut stream = is_resumable.then(|| stream_id(&context, team_name, &request.body));
    if route.repeat.is_stream() && route.keeps_turns && context.previous_turn.is_none() {
        let time_left = deadline.saturating_duration_since(Instant::now());
        node.require_store_room(&context.id, time_left)?;
    }
    let mut origin = None;
    if let Some(resuming) = stream
        && context.resume_after.is_some()
    {
        origin = Some(find_origin(node, &context, resuming).await?);
        stream = Some(resuming.continued(context.resumes.as_deref()));
    }
    let service = choose_service(&route, &context, origin.as_ref())?;
    let service_spec = table.service(&service);
    let prepared =
        turn::prepare(node, &context, &route, service_spec, team_name, request, deadline)
            .await
            .map_err(|refusal| match refusal.kind {
                RefusalKind::PlatformUnavailable => node.during_outage(refusal),
                _ => refusal,
            })?;
    let time_left = deadline.saturating_duration_since(Instant::now());
    let class = request_class(prepared.starts_program, time_left);
    let limit_reservation = match &team {
        Some(team) => LimitReservation::acquire(node, &context.id, &table, team, class).await?,
        None => LimitReservation::default(),
    };
    let placement_key = prepared.placement_key;
    let shared_part = node.record_prompt(&service, service_spec, &context.prompt);
    Ok(Admitted {
        holding: Rc::clone(&request.holding),
        headers: forwarded_headers(request, team.as_ref(), &route),
        method: request.head.method().clone(),
        target: target(request).to_owned(),
        keys,
        context,
        config,
        service,
        stream,
        origin,
        team,
        body: prepared.body,
        deadline,
        arrived_at: request.arrived_at,
        turn: prepared.turn,
        placement_key,
        shared_part,
        starts_program: prepared.starts_program,
        limit_reservation,
        route,
    })
}

/// Refuses to resume a turn on a route that keeps turns: its first events are known only to the
/// node that began it, and the turn would be stored without them.
fn require_whole_turn(context: &RequestContext, route: &Route) -> Result<(), Refusal> {
    if context.resume_after.is_none() || !route.repeat.is_stream() || !route.keeps_turns {
        return Ok(());
    }
    let message = "a turn that is kept cannot be resumed; send it again from its start, without \
                   Last-Event-Id";
    Err(Refusal::not_run(RefusalKind::StreamUnknown, message))
}

fn request_class(starts_program: bool, time_left: Duration) -> RequestClass {
    if starts_program { RequestClass::NewProgram } else { RequestClass::Other { time_left } }
}

fn stream_id(context: &RequestContext, team: &str, body: &[u8]) -> StreamId {
    let session = context.program.as_ref().map(|program| program.session.as_bytes());
    let affinity = context.affinity.as_ref().map(String::as_bytes);
    StreamId::new(team, session.or(affinity).unwrap_or(body), &context.id, body)
}

/// Returns the origin of the stream that a request resumes; refuses the request if no node knows
/// it.
async fn find_origin(
    node: &FrontNode,
    context: &RequestContext,
    stream: StreamId,
) -> Result<StreamOrigin, Refusal> {
    let sought = stream.resumed(context.resumes.as_deref());
    let found = node.peers.find_origin(node, stream.session, sought).await;
    log::info!(
        "event=stream_resumed request={} resumes={} resume_after={} service={} software=\"{}\"",
        context.id,
        context.resumes.as_deref().unwrap_or("-"),
        context.resume_after.unwrap_or_default(),
        found.as_ref().map_or("-", |origin| &origin.service),
        found.as_ref().map_or("-", |origin| &origin.software),
    );
    found.ok_or_else(|| {
        let message = "no node knows which software version began the stream; \
                       name the request that brought its first event in Resumes, or start it anew";
        Refusal::not_run(RefusalKind::StreamUnknown, message)
    })
}

fn choose_service(
    route: &Route,
    context: &RequestContext,
    origin: Option<&StreamOrigin>,
) -> Result<ServiceId, Refusal> {
    let Some(origin) = origin else {
        return route.service_for(&context.id).cloned().ok_or_else(|| {
            Refusal::not_run(RefusalKind::NoBackend, "the route names no service; publish one")
        });
    };
    if route.targets.iter().any(|target| target.service == origin.service) {
        return Ok(origin.service.clone());
    }
    let message = format!(
        "the route no longer names service {}, which began the stream; start the stream anew",
        origin.service
    );
    Err(Refusal::not_run(RefusalKind::StreamUnknown, message))
}

fn find_route(node: &FrontNode, table: &RoutingTable, head: &Request) -> Result<Route, Refusal> {
    let host = head.headers().get(header::HOST).and_then(|value| value.to_str().ok());
    if let Some(route) = table.route(host.unwrap_or_default(), head.path()) {
        node.require_plausible_config()?;
        return Ok(route.clone());
    }
    // A newer configuration may have the route, so it is reported as unknown only if the active
    // configuration is current.
    node.require_fresh()?;
    Err(Refusal::not_run(
        RefusalKind::RouteUnknown,
        format!("no route for this host and path in version {}; check both", table.version()),
    ))
}

fn find_team(
    node: &FrontNode,
    table: &RoutingTable,
    head: &Request,
    route: &Route,
) -> Result<Option<AdmittedTeam>, Refusal> {
    if route.is_public || !table.uses_keys() {
        return Ok(None);
    }
    node.require_fresh()?;
    let key = head.headers().get(headers::KEY).and_then(|value| value.to_str().ok());
    let team = key.and_then(|key| table.team_of_key(key));
    let Some((team, key)) = team.zip(key) else {
        return Err(Refusal::not_run(
            RefusalKind::KeyUnknown,
            format!("the key is unknown in version {}; send a key in force", table.version()),
        ));
    };
    Ok(Some(AdmittedTeam { name: team.name.clone(), key: key.to_owned(), priority: team.priority }))
}

fn forwarded_headers(
    request: &CallerRequest,
    team: Option<&AdmittedTeam>,
    route: &Route,
) -> HeaderMap {
    let received = request.head.headers();
    let connection = received.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    let connection = connection.unwrap_or_default();
    let mut forwarded = HeaderMap::with_capacity(received.len());
    for (name, value) in received {
        if headers::is_forwarded(name.as_str(), connection)
            && let Ok(value) = HeaderValue::from_bytes(value.as_bytes())
        {
            forwarded.append(name.clone(), value);
        }
    }
    if let Some(value) = team.and_then(|team| HeaderValue::from_str(&team.name).ok()) {
        forwarded.insert(headers::TEAM, value);
    }
    if route.repeat.is_stream() {
        let priority = team.and_then(|team| team.priority).unwrap_or(route.priority);
        let engine_priority = u64::from(priority) + ENGINE_PRIORITY_BASE;
        forwarded.insert(headers::ENGINE_PRIORITY, engine_priority.min(ENGINE_PRIORITY_MAX).into());
    }
    forwarded
}

/// Engine priority of requests with priority 0; lower values are left for more urgent requests.
const ENGINE_PRIORITY_BASE: u64 = 3;
/// Maximum engine priority value, which is the least urgent.
const ENGINE_PRIORITY_MAX: u64 = 9;
