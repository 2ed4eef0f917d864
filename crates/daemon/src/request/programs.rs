//! Handlers of `POST /v1/programs`, `GET` and `DELETE /v1/programs/{id}` and `GET /v1/models`.

use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::ids::{
    CallSequence, ProgramId, RegionShard, RouteId, parse_program_id,
};
use dandelionfront_coordination::owner::ProgramSpec;
use dandelionfront_coordination::program::{Call, CallPhase};
use dandelionfront_coordination::record::CloseReason;
use dandelionfront_coordination::{
    Clock as _, ConfigSnapshot, Location, Payload, Program, Refusal, RefusalKind, RunState, Usage,
};
use ntex::time::sleep;
use ntex::web::{HttpRequest, HttpResponse, types, types::Path, types::State};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::answer::refuse;
use super::auth::{ANONYMOUS_TEAM, authenticate, key_missing};
use super::forwarded::serve_program_request;
use super::routes::{read_body, refuse_unread};
use crate::connection::forward::{
    ForwardError, ProgramReply, ProgramRequest, send_program_request,
};
use crate::process::metrics::RetryReason;
use crate::process::{Control, Worker};

/// Delay between attempts to reach the owner.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of the reply from another node.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Body of `POST /v1/programs`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct OpenBody {
    parent: Option<ProgramId>,
    budget_tokens: Option<u64>,
}

/// Opens a program.
pub async fn open_program(
    worker: State<Rc<Worker>>,
    request: HttpRequest,
    payload: types::Payload,
) -> HttpResponse {
    match open(&worker, &request, payload).await {
        Ok(id) => HttpResponse::Created().header("program-id", id.as_str()).json(&json!({
            "id": id,
            "state": "open",
            "next_sequence": 1,
        })),
        Err(refusal) => refuse(&worker.shared.metrics, &refusal),
    }
}

/// Returns the state and complete history of a program.
pub async fn get_program(
    worker: State<Rc<Worker>>,
    request: HttpRequest,
    id: Path<String>,
) -> HttpResponse {
    let found = async {
        let team = require_team(&worker, &request)?;
        let get = ProgramRequest::Get { id: id.clone(), team: Some(team) };
        program_view(&worker, &id, get).await
    };
    match found.await {
        Ok(view) => HttpResponse::Ok().json(&view),
        Err(refusal) => refuse(&worker.shared.metrics, &refusal),
    }
}

/// Ends a program.
pub async fn delete_program(
    worker: State<Rc<Worker>>,
    request: HttpRequest,
    id: Path<String>,
) -> HttpResponse {
    let ended = async {
        let team = Some(require_team(&worker, &request)?);
        close_program(&worker, &id, team, CloseReason::Ended).await
    };
    match ended.await {
        Ok(ended) => HttpResponse::Ok().json(&json!({ "ended": ended })),
        Err(refusal) => refuse(&worker.shared.metrics, &refusal),
    }
}

/// Ends a program that any node may serve.
///
/// # Errors
///
/// Refuses when the program is unknown or its owner cannot be reached.
pub async fn close_program(
    worker: &Worker,
    id: &str,
    team: Option<String>,
    reason: CloseReason,
) -> Result<Vec<ProgramId>, Refusal> {
    let region_shard = parse_program_id(id).ok_or_else(Refusal::program_unknown)?;
    let close = ProgramRequest::Close { id: id.to_owned(), team, reason };
    match send_to_owner(worker, &region_shard, close).await? {
        ProgramReply::Closed(ended) => Ok(ended),
        _ => Err(unexpected_owner_reply()),
    }
}

/// Reads a program that any node may serve, with all request and answer bodies.
///
/// # Errors
///
/// Refuses when the program is unknown, its owner cannot be reached or a body cannot be read.
pub async fn program_view(
    worker: &Worker,
    id: &str,
    request: ProgramRequest,
) -> Result<ProgramView, Refusal> {
    let region_shard = parse_program_id(id).ok_or_else(Refusal::program_unknown)?;
    let ProgramReply::State(program) = send_to_owner(worker, &region_shard, request).await? else {
        return Err(unexpected_owner_reply());
    };
    let load = move |control: Rc<Control>| async move { view(&control, *program).await };
    worker.shared.control.run(load).await?
}

/// Lists the routes that the caller may use.
pub async fn list_models(worker: State<Rc<Worker>>, request: HttpRequest) -> HttpResponse {
    let config = worker.shared.config();
    match authenticate(&config, &request) {
        Ok(caller) => {
            let team = caller.as_ref().map(|caller| caller.team.as_str());
            let data: Vec<_> = visible_models(&config, team)
                .map(|id| json!({ "id": id, "object": "model", "created": 0, "owned_by": "fleet" }))
                .collect();
            HttpResponse::Ok().json(&json!({ "object": "list", "data": data }))
        }
        Err(refusal) => refuse(&worker.shared.metrics, &refusal),
    }
}

fn visible_models<'a>(
    config: &'a ConfigSnapshot,
    team: Option<&'a str>,
) -> impl Iterator<Item = &'a RouteId> {
    let routes = config.objects().route.iter();
    let usable = move |name: &&RouteId| config.route(name, team).is_ok();
    routes.filter(|(_, route)| route.model.is_some()).map(|(name, _)| name).filter(usable)
}

async fn open(
    worker: &Worker,
    request: &HttpRequest,
    payload: types::Payload,
) -> Result<ProgramId, Refusal> {
    if let Err(refusal) = require_team(worker, request) {
        return Err(refuse_unread(payload, refusal).await);
    }
    let body = read_body(worker, payload).await?;
    // The key may have been withdrawn until the body had arrived.
    let team = require_team(worker, request)?;
    let wanted: OpenBody = if body.bytes.is_empty() {
        OpenBody::default()
    } else {
        serde_json::from_slice(&body.bytes).map_err(|error| {
            Refusal::not_run(
                RefusalKind::InvalidRequest,
                format!("the body is malformed ({error}); send parent and budget_tokens, or none"),
            )
        })?
    };
    let config = worker.shared.config();
    let budget_tokens = team_budget(&config, &team).map_or(wanted.budget_tokens, |team_max| {
        Some(wanted.budget_tokens.unwrap_or(team_max).min(team_max))
    });
    let spec = ProgramSpec { team, parent: wanted.parent, budget_tokens };
    let region_shard = match &spec.parent {
        Some(parent) => parse_program_id(parent).ok_or_else(Refusal::program_unknown)?,
        None => choose_opening_shard(worker).await?,
    };
    match send_to_owner(worker, &region_shard, ProgramRequest::Open(spec)).await? {
        ProgramReply::Opened(id) => Ok(id),
        _ => Err(unexpected_owner_reply()),
    }
}

/// Selects a shard whose owner opens a program without a parent: a random one that this node
/// serves, or any shard of the region if this node serves none. The owner selects the program's
/// own shard.
async fn choose_opening_shard(worker: &Worker) -> Result<RegionShard, Refusal> {
    let serving = |control: Rc<Control>| async move { control.node().shards().serving() };
    let shards = worker.shared.control.run(serving).await?;
    let position = rand::random_range(0..shards.len().max(1));
    let any = || rand::random_range(0..worker.shared.settings.node.shard_count);
    let shard = shards.get(position).copied().unwrap_or_else(any);
    Ok(RegionShard { region: worker.shared.settings.identity.region.clone(), shard })
}

fn team_budget(config: &ConfigSnapshot, team: &str) -> Option<u64> {
    let budget = config.objects().team.get(team)?.budget.as_ref()?;
    Some(config.objects().budget.get(budget)?.program_tokens)
}

fn require_team(worker: &Worker, request: &HttpRequest) -> Result<String, Refusal> {
    let caller = authenticate(&worker.shared.config(), request)?.ok_or_else(key_missing)?;
    debug_assert_ne!(caller.team, ANONYMOUS_TEAM);
    Ok(caller.team)
}

/// Sends a program request to the owner of its shard; retries until `owner_wait` has elapsed.
async fn send_to_owner(
    worker: &Worker,
    region_shard: &RegionShard,
    request: ProgramRequest,
) -> Result<ProgramReply, Refusal> {
    let process = &worker.shared;
    let deadline = process.clock.monotonic() + process.settings.owner_wait;
    let mut may_have_run = false;
    loop {
        let sent = try_send_to_owner(worker, region_shard, &request).await;
        let failure = match sent.map_err(|refusal| refusal.after_attempt(may_have_run))? {
            Ok(ProgramReply::Refused(refusal)) if refusal.kind == RefusalKind::NotOwner => {
                may_have_run |= refusal.run != RunState::NotRun;
                RetryReason::OwnerMoved
            }
            Ok(ProgramReply::Refused(refusal)) => return Err(refusal.after_attempt(may_have_run)),
            Ok(reply) => return Ok(reply),
            Err(ForwardError::NeverSent) => RetryReason::OwnerUnreachable,
            Err(ForwardError::Lost) => {
                may_have_run = true;
                RetryReason::OwnerLost
            }
        };
        process.metrics.count_retry(failure);
        if process.clock.monotonic() >= deadline {
            let message = "the program's owner cannot be reached; repeat the request";
            let refusal = Refusal::not_run(RefusalKind::OwnerUnreachable, message);
            return Err(refusal.after_attempt(may_have_run));
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Sends a program request once; the inner error can be retried, the outer one cannot.
async fn try_send_to_owner(
    worker: &Worker,
    region_shard: &RegionShard,
    request: &ProgramRequest,
) -> Result<Result<ProgramReply, ForwardError>, Refusal> {
    Ok(match worker.shared.control.locate(region_shard).await? {
        Location::Local => Ok(serve_program_request(worker, request.clone()).await),
        Location::Remote(address) => {
            send_program_request(&worker.clients.peers, &address, request, REPLY_TIMEOUT).await
        }
        Location::Unknown => Err(ForwardError::NeverSent),
    })
}

fn unexpected_owner_reply() -> Refusal {
    Refusal::may_have_run(
        RefusalKind::OwnerUnreachable,
        "the owner gave an answer of another version; finish the upgrade of all nodes and repeat",
    )
}

/// A program as shown to its team.
#[derive(Debug, Clone, Serialize)]
pub struct ProgramView {
    id: ProgramId,
    team: String,
    parent: Option<ProgramId>,
    state: &'static str,
    closed: Option<CloseReason>,
    budget_tokens: Option<u64>,
    spent_tokens: u64,
    next_sequence: CallSequence,
    calls: Vec<CallView>,
}

/// A call as shown to its team.
#[derive(Debug, Clone, Serialize)]
struct CallView {
    sequence: CallSequence,
    idempotency_key: String,
    route: RouteId,
    state: &'static str,
    request: Option<Payload>,
    status: Option<u16>,
    answer: Option<Payload>,
    usage: Option<Usage>,
}

async fn view(control: &Control, program: Program) -> Result<ProgramView, Refusal> {
    let next_sequence = program.next_sequence();
    let mut calls = Vec::with_capacity(program.calls.len());
    for call in program.calls.into_values() {
        calls.push(call_view(control, call).await?);
    }
    Ok(ProgramView {
        id: program.id,
        team: program.team,
        parent: program.parent,
        state: if program.closed.is_some() { "closed" } else { "open" },
        closed: program.closed.map(|(reason, _)| reason),
        budget_tokens: program.budget_tokens,
        spent_tokens: program.spent_tokens,
        next_sequence,
        calls,
    })
}

async fn call_view(control: &Control, call: Call) -> Result<CallView, Refusal> {
    let mut view = CallView {
        sequence: call.key.sequence,
        idempotency_key: call.key.idempotency_key,
        route: call.key.route,
        state: "open",
        request: None,
        status: None,
        answer: None,
        usage: None,
    };
    match call.phase {
        CallPhase::Started { .. } => view.state = "running",
        CallPhase::InDoubt => view.state = "unknown",
        CallPhase::Open => {}
        CallPhase::Finished { request, answer, usage } => {
            view.state = "finished";
            view.request = Some(control.load_body(&request).await?);
            view.answer = Some(control.load_body(&answer.body).await?);
            view.status = Some(answer.status);
            view.usage = Some(usage);
        }
    }
    Ok(view)
}
