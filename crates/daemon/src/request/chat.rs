//! Handler of `POST /v1/chat/completions`.

use std::rc::Rc;
use std::time::Instant;

use dandelionfront_coordination::Payload as CallBody;
use dandelionfront_coordination::ids::RouteId;
use dandelionfront_coordination::{
    CallEvent, CallRequest, CallTarget, Clock as _, ConfigSnapshot, Refusal, RefusalKind,
};
use futures_util::stream::unfold;
use ntex::http::Version;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, types::Payload, types::State};

use super::answer::{complete, event_stream, refusal_json, refuse, sse_event};
use super::auth::{KeyWatcher, authenticate};
use super::routes::{
    CallIdentity, HeldBody, InFlightGuard, acquire_team_token, authorize_route, read_body,
    read_identity, refuse_unread,
};
use super::submit::CallStream;
use crate::backend::{ChatBody, single_chunk};
use crate::process::Worker;

/// Handles a chat completion request.
pub async fn chat_completions(
    worker: State<Rc<Worker>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    match receive(&worker, &request, payload).await {
        Ok((call, key_watcher, in_flight)) => {
            let stream = CallStream::new((**worker).clone(), call, key_watcher);
            respond(&worker, request.version(), stream, in_flight).await
        }
        Err(refusal) => refuse(&worker.shared.metrics, &refusal),
    }
}

/// Reads and validates a request and takes a rate limit token of its team.
async fn receive(
    worker: &Worker,
    request: &HttpRequest,
    payload: Payload,
) -> Result<(CallRequest, KeyWatcher, InFlightGuard), Refusal> {
    let arrived = Instant::now();
    if let Err(refusal) = authenticate(&worker.shared.config(), request) {
        return Err(refuse_unread(payload, refusal).await);
    }
    let HeldBody { bytes, holding } = read_body(worker, payload).await?;
    let in_flight = InFlightGuard::new(&worker.shared.metrics, arrived, holding);
    let (call, key_watcher) = prepare(worker, request, &bytes)?;
    acquire_team_token(worker, &call).await?;
    Ok((call, key_watcher, in_flight))
}

fn prepare(
    worker: &Worker,
    request: &HttpRequest,
    body: &Bytes,
) -> Result<(CallRequest, KeyWatcher), Refusal> {
    let config = worker.shared.config();
    let caller = authenticate(&config, request)?;
    let chat = ChatBody::parse(body)
        .map_err(|error| Refusal::not_run(RefusalKind::InvalidRequest, error.to_string()))?;
    let route_id = chat.model.clone();
    let (route, team) = authorize_route(&config, &route_id, caller.as_ref())?;
    let Some(model) = route.model.clone() else {
        return Err(Refusal::not_run(
            RefusalKind::InvalidRequest,
            format!("route {route_id:?} is a service; call it at /v1/services/{route_id}/"),
        ));
    };
    let identity = read_identity(&worker.shared.settings, request, &team)?;
    let call = model_call(&config, chat, identity, (route_id, model), team)?;
    Ok((call, KeyWatcher::new(caller, worker.shared.config.clone())))
}

fn model_call(
    config: &ConfigSnapshot,
    chat: ChatBody,
    identity: CallIdentity,
    (route, model): (RouteId, String),
    team: String,
) -> Result<CallRequest, Refusal> {
    let object = config.objects().model.get(&model);
    let context_tokens = object.map_or(u64::MAX, |model| model.context_tokens);
    let default_tokens = object.map_or(1024, |model| model.default_completion_tokens);
    let completion_tokens_max = chat.completion_limit().unwrap_or(default_tokens);
    if completion_tokens_max > context_tokens {
        return Err(Refusal::not_run(
            RefusalKind::InvalidRequest,
            format!("max_tokens is over the model's context; ask for at most {context_tokens}"),
        ));
    }
    let stream = chat.stream;
    let target =
        CallTarget::Model { prompt_tokens_max: chat.prompt_tokens_max(), completion_tokens_max };
    Ok(CallRequest {
        program: identity.program,
        single: identity.single,
        sequence: identity.sequence,
        idempotency_key: identity.idempotency_key,
        team,
        route,
        repeatable: true,
        target,
        stream,
        body: CallBody(chat.for_engine(&model, completion_tokens_max)),
    })
}

/// Responds with an event stream or a complete body, as the caller asked; a refusal becomes an
/// error response unless the stream has already started.
async fn respond(
    worker: &Worker,
    version: Version,
    mut stream: CallStream,
    in_flight: InFlightGuard,
) -> HttpResponse {
    let metrics = worker.shared.metrics.clone();
    let first = stream.next().await;
    metrics.first_token_seconds.observe(in_flight.elapsed().as_secs_f64());
    let wants_stream = stream.wants_stream();
    let program = stream.program().to_owned();
    match first {
        CallEvent::Refused(refusal) => refuse(&metrics, &refusal),
        CallEvent::Finished(answer) if !wants_stream => {
            in_flight.answered();
            complete(&program, answer)
        }
        CallEvent::Delta(_) if !wants_stream => match stream.outcome().await {
            Ok(answer) => {
                in_flight.answered();
                complete(&program, answer)
            }
            Err(refusal) => refuse(&metrics, &refusal),
        },
        first => event_stream(version, &program, stream_events(worker, stream, first, in_flight)),
    }
}

fn stream_events(
    worker: &Worker,
    stream: CallStream,
    first: CallEvent,
    in_flight: InFlightGuard,
) -> impl futures_util::Stream<Item = Result<Bytes, std::convert::Infallible>> + 'static {
    let metrics = worker.shared.metrics.clone();
    let clock = worker.shared.clock;
    let state = Some((stream, Some(first), in_flight, false));
    unfold(state, move |state| {
        let metrics = metrics.clone();
        async move {
            let (mut stream, first, in_flight, chunks_sent) = state?;
            let started = clock.monotonic();
            let next = if let Some(event) = first {
                event
            } else {
                let next = stream.next().await;
                let waited = clock.monotonic().saturating_sub(started);
                metrics.between_tokens_seconds.observe(waited.as_secs_f64());
                next
            };
            match next {
                CallEvent::Delta(chunk) => {
                    let bytes = sse_event(&chunk.to_text());
                    Some((Ok(bytes), Some((stream, None, in_flight, true))))
                }
                CallEvent::Finished(answer) => {
                    in_flight.answered();
                    Some((Ok(last_events(&answer.body, chunks_sent)), None))
                }
                CallEvent::Refused(refusal) => {
                    metrics.count_refusal(refusal.kind);
                    Some((Ok(sse_event(&refusal_json(&refusal))), None))
                }
            }
        }
    })
}

/// Returns the final events of a stream; if no chunk was sent, because the answer was recorded
/// earlier, the complete answer comes first as a single chunk.
fn last_events(completion: &CallBody, chunks_sent: bool) -> Bytes {
    let mut bytes = Vec::new();
    if !chunks_sent {
        let chunk = single_chunk(&completion.0);
        bytes.extend_from_slice(&sse_event(&String::from_utf8_lossy(&chunk)));
    }
    bytes.extend_from_slice(&sse_event("[DONE]"));
    Bytes::from(bytes)
}
