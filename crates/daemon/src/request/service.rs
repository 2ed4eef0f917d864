//! Handler of `/v1/services/{route}/...` for all HTTP methods.

use std::rc::Rc;
use std::time::Instant;

use dandelionfront_coordination::ids::ProgramId;
use dandelionfront_coordination::{Answer, CallRequest, CallTarget, Payload, Refusal, RefusalKind};
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, types, types::State};

use super::answer::{complete, refuse};
use super::auth::{KeyWatcher, authenticate};
use super::routes::{
    HeldBody, InFlightGuard, acquire_team_token, authorize_route, read_body, read_identity,
    refuse_unread,
};
use super::submit::CallStream;
use crate::process::Worker;

/// Path prefix of calls to plain services.
pub const SERVICES_PATH: &str = "/v1/services/";

/// Handles a call to a plain service.
pub async fn call_service(
    worker: State<Rc<Worker>>,
    request: HttpRequest,
    payload: types::Payload,
) -> HttpResponse {
    match serve(&worker, &request, payload).await {
        Ok((program, answer)) => complete(&program, answer),
        Err(refusal) => refuse(&worker.shared.metrics, &refusal),
    }
}

async fn serve(
    worker: &Worker,
    request: &HttpRequest,
    payload: types::Payload,
) -> Result<(ProgramId, Answer), Refusal> {
    let arrived = Instant::now();
    // Also checked with the body, because the configuration may change until it has arrived.
    if let Err(refusal) = prepare(worker, request, &Bytes::new()) {
        return Err(refuse_unread(payload, refusal).await);
    }
    let HeldBody { bytes, holding } = read_body(worker, payload).await?;
    let in_flight = InFlightGuard::new(&worker.shared.metrics, arrived, holding);
    let (call, key_watcher) = prepare(worker, request, &bytes)?;
    acquire_team_token(worker, &call).await?;
    let mut stream = CallStream::new(worker.clone(), call, key_watcher);
    let answer = stream.outcome().await?;
    in_flight.answered();
    Ok((stream.program().to_owned(), answer))
}

fn prepare(
    worker: &Worker,
    request: &HttpRequest,
    body: &Bytes,
) -> Result<(CallRequest, KeyWatcher), Refusal> {
    let config = worker.shared.config();
    let caller = authenticate(&config, request)?;
    let full_path = request.uri().path_and_query().map_or("", |path| path.as_str());
    let route_and_path = full_path.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (route_id, path) =
        route_and_path.split_at(route_and_path.find(['/', '?']).unwrap_or(route_and_path.len()));
    let (route, team) = authorize_route(&config, route_id, caller.as_ref())?;
    if route.service.is_none() {
        return Err(Refusal::not_run(
            RefusalKind::InvalidRequest,
            format!("route {route_id:?} is a model; call it at /v1/chat/completions"),
        ));
    }
    let identity = read_identity(&worker.shared.settings, request, &team)?;
    let content_type = request.headers().get("content-type").and_then(|value| value.to_str().ok());
    let target = CallTarget::Service {
        method: request.method().as_str().to_owned(),
        path: if path.starts_with('/') { path.to_owned() } else { format!("/{path}") },
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
    };
    let call = CallRequest {
        program: identity.program,
        single: identity.single,
        sequence: identity.sequence,
        idempotency_key: identity.idempotency_key,
        team,
        route: route_id.to_owned(),
        repeatable: route.repeatable,
        target,
        stream: false,
        body: Payload(body.to_vec()),
    };
    Ok((call, KeyWatcher::new(caller, worker.shared.config.clone())))
}
