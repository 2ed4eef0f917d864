//! HTTP interface of the engine stand-in.

use std::collections::VecDeque;
use std::sync::Arc;

use dandelionfront_coordination::{Answer, CallEvent, CallFeed, Payload, Refusal};
use futures_util::stream::unfold;
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{
    self, HttpRequest, HttpResponse, types::Json, types::Path, types::Query, types::State,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{Engine, text};
use crate::http::{RecordedRequest, lock, unix_ms};

/// Body of a completion request; unknown fields are ignored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Messages with role and content.
    pub messages: Vec<Value>,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Whether to stream the completion.
    #[serde(default)]
    pub stream: bool,
}

/// Faults to inject into the engine stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Answers completion requests with a body that is not JSON, without generating tokens.
    pub garbage: bool,
    /// Refuses completion requests with 503.
    pub refuse: bool,
    /// Stalls streams before every event except the one at offset 0, without closing them.
    pub silent: bool,
}

/// Load reported to schedulers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that occupy a slot.
    pub active: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Total number of slots.
    pub slots: usize,
    /// Sum of the cached tokens of all programs; tokens that programs share count once for each.
    pub cached_tokens: u64,
}

/// Recent load reports with their times in Unix milliseconds, kept to report load with a lag.
#[derive(Debug, Default)]
pub struct LoadHistory(VecDeque<(u64, LoadReport)>);

/// Order from a scheduler; only its fencing number is read. Unless `ignore_fencing` is set, orders
/// with a number lower than the highest one seen are refused.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Order {
    fencing_number: u64,
}

#[derive(Debug, Deserialize)]
struct OffsetQuery {
    /// Number of events to skip.
    offset: usize,
}

#[derive(Debug, Deserialize)]
struct AfterQuery {
    /// Number of the last cache event already received.
    after: u64,
}

type Shared = State<Arc<Engine>>;

pub fn routes(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/v1/chat/completions").route(web::post().to(complete)))
        .service(
            web::resource("/v1/requests/{id}")
                .route(web::get().to(resume))
                .route(web::delete().to(cancel)),
        )
        .service(web::resource("/v1/load").route(web::get().to(get_load)))
        .service(web::resource("/v1/cache/events").route(web::get().to(get_events)))
        .service(
            web::resource("/v1/cache/programs/{id}")
                .route(web::get().to(get_cached_tokens))
                .route(web::put().to(cache_prompt))
                .route(web::delete().to(release_cache)),
        )
        .service(web::resource("/v1/orders").route(web::post().to(accept_order)))
        .service(web::resource("/standin/record").route(web::get().to(get_requests)))
        .service(web::resource("/standin/memory").route(web::get().to(get_memory)))
        .service(web::resource("/standin/faults").route(web::put().to(put_faults)));
}

async fn complete(engine: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    let faults = lock(&engine.faults).clone();
    if faults.refuse {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
        return HttpResponse::BadRequest().json(&json!({"error": "malformed request"}));
    };
    let recorded = {
        let mut requests = lock(&engine.requests);
        let number = requests.len() as u64 + 1;
        let path = request.path();
        requests.push(RecordedRequest::new(number, "POST", path, request.headers(), &body));
        requests[requests.len() - 1].clone()
    };
    if faults.garbage {
        return HttpResponse::Ok().content_type("application/json").body("<html>no JSON</html>");
    }
    let feed = CallFeed::new();
    let id = recorded.header("request-id").unwrap_or("anonymous").to_owned();
    lock(&engine.feeds).insert(id, Arc::clone(&feed));
    let stream = chat.stream;
    ntex::rt::spawn(generate(Arc::clone(&engine), chat, recorded, Arc::clone(&feed)));
    if stream { stream_from(&engine, &feed, 0) } else { non_streaming_response(&feed).await }
}

async fn non_streaming_response(feed: &Arc<CallFeed>) -> HttpResponse {
    let mut reader = feed.reader();
    loop {
        match reader.next().await {
            CallEvent::Delta(_) => {}
            CallEvent::Finished(answer) => {
                return HttpResponse::Ok().content_type("application/json").body(answer.body.0);
            }
            CallEvent::Refused(refusal) => {
                return HttpResponse::BadGateway().json(&json!({"error": refusal.message}));
            }
        }
    }
}

fn stream_from(engine: &Arc<Engine>, feed: &Arc<CallFeed>, offset: usize) -> HttpResponse {
    let engine = Arc::clone(engine);
    let state = (feed.reader_from(offset), offset, false);
    let events = unfold(state, move |(mut reader, offset, done)| {
        let engine = Arc::clone(&engine);
        async move {
            if done {
                return None;
            }
            while lock(&engine.faults).silent && offset > 0 {
                sleep(Millis(10)).await;
            }
            let (text, done) = match reader.next().await {
                CallEvent::Delta(chunk) => {
                    (format!("id: {offset}\ndata: {}\n\n", chunk.to_text()), false)
                }
                CallEvent::Finished(_) => ("data: [DONE]\n\n".to_owned(), true),
                CallEvent::Refused(_) => return None,
            };
            Some((Ok::<_, std::io::Error>(Bytes::from(text)), (reader, offset + 1, done)))
        }
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(events))
}

async fn generate(
    engine: Arc<Engine>,
    chat: ChatRequest,
    recorded: RecordedRequest,
    feed: Arc<CallFeed>,
) {
    let prompt = prompt_text(&chat);
    let prompt_tokens = text::tokens(&prompt);
    let priority = recorded.header("priority").and_then(|value| value.parse().ok()).unwrap_or(0);
    let program = recorded.header("program-id").unwrap_or("anonymous").to_owned();
    let slot = engine.batch.acquire_slot(priority).await;
    if feed.is_closed() {
        return;
    }
    let cached = lock(&engine.cache).lookup(&prompt_tokens);
    let uncached = (prompt_tokens.len() as u64).saturating_sub(cached);
    let prefill_ms = uncached * 1_000 / engine.settings.prefill_tokens_per_s.max(1);
    sleep(Millis(u32::try_from(prefill_ms).unwrap_or(u32::MAX))).await;
    if feed.is_closed() {
        return;
    }
    lock(&engine.cache).insert(&program, &prompt_tokens);

    let hash = text::prompt_hash(&prompt);
    let count = text::completion_tokens(&prompt, chat.max_tokens.unwrap_or(u64::MAX));
    let id = format!("chatcmpl-{hash:016x}");
    let mut answer = String::new();
    let mut without_reader_ms = 0;
    for index in 0..count {
        if feed.is_closed() {
            return;
        }
        let token = text::completion_token(hash, index);
        answer.push_str(&token);
        let chunk =
            chunk(&id, &chat.model, &json!({"role": "assistant", "content": token}), None, None);
        feed.push(Payload::from(chunk.to_string().as_str()));
        sleep(Millis(engine.settings.token_interval_ms)).await;
        without_reader_ms = if feed.reader_count() > 0 {
            0
        } else {
            without_reader_ms + engine.settings.token_interval_ms
        };
        if without_reader_ms > engine.settings.resume_grace_ms {
            feed.close(Err(Refusal::outcome_unknown()));
            return;
        }
    }
    drop(slot);
    let usage = json!({
        "prompt_tokens": prompt_tokens.len(),
        "completion_tokens": count,
        "total_tokens": prompt_tokens.len() as u64 + count,
        "prompt_tokens_details": {"cached_tokens": cached},
    });
    let last = chunk(&id, &chat.model, &json!({}), Some("stop"), Some(&usage));
    feed.push(Payload::from(last.to_string().as_str()));
    let completion = json!({
        "id": id, "object": "chat.completion", "created": 0, "model": chat.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": answer},
            "finish_reason": "stop",
        }],
        "usage": usage,
    });
    let body = Payload::from(completion.to_string().as_str());
    feed.close(Ok(Answer { status: 200, content_type: "application/json".to_owned(), body }));
}

fn chunk(
    id: &str,
    model: &str,
    delta: &Value,
    finish: Option<&str>,
    usage: Option<&Value>,
) -> Value {
    json!({
        "id": id, "object": "chat.completion.chunk", "created": 0, "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        "usage": usage,
    })
}

fn prompt_text(chat: &ChatRequest) -> String {
    let contents = chat.messages.iter().map(|message| match &message["content"] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    });
    contents.collect::<Vec<_>>().join("\n")
}

async fn resume(engine: Shared, id: Path<String>, query: Query<OffsetQuery>) -> HttpResponse {
    match lock(&engine.feeds).get(id.as_str()) {
        Some(feed) => stream_from(&engine, feed, query.offset),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn cancel(engine: Shared, id: Path<String>) -> HttpResponse {
    if let Some(feed) = lock(&engine.feeds).get(id.as_str()) {
        feed.close(Err(Refusal::outcome_unknown()));
    }
    HttpResponse::NoContent().finish()
}

async fn get_load(engine: Shared) -> HttpResponse {
    let (active, waiting) = engine.batch.load();
    let cached_tokens = lock(&engine.cache).held_tokens().values().sum();
    let report = LoadReport { active, waiting, slots: engine.settings.slots, cached_tokens };
    let mut history = lock(&engine.load_history);
    let now = unix_ms();
    history.0.push_back((now, report));
    let visible_until = now.saturating_sub(engine.settings.load_lag_ms);
    // Returns the newest report that is at least `load_lag_ms` old. There may be none, because load
    // is sampled only on request; the oldest report is returned then.
    while history.0.len() > 1 && history.0[1].0 <= visible_until {
        history.0.pop_front();
    }
    HttpResponse::Ok().json(&history.0[0].1)
}

async fn get_events(engine: Shared, query: Query<AfterQuery>) -> HttpResponse {
    HttpResponse::Ok()
        .json(&lock(&engine.cache).events_after(query.after, engine.settings.load_lag_ms))
}

async fn get_cached_tokens(engine: Shared, program: Path<String>) -> HttpResponse {
    let held = lock(&engine.cache).held_tokens();
    match held.get(program.as_str()) {
        Some(tokens) => HttpResponse::Ok().json(&json!({"tokens": tokens})),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn cache_prompt(engine: Shared, program: Path<String>, body: Bytes) -> HttpResponse {
    let prompt = String::from_utf8_lossy(&body).into_owned();
    lock(&engine.cache).insert(&program, &text::tokens(&prompt));
    HttpResponse::NoContent().finish()
}

async fn release_cache(engine: Shared, program: Path<String>) -> HttpResponse {
    let freed = lock(&engine.cache).release(&program);
    HttpResponse::Ok().json(&json!({"freed_tokens": freed}))
}

async fn accept_order(engine: Shared, order: Json<Order>) -> HttpResponse {
    let mut newest = lock(&engine.fencing_number);
    if order.fencing_number < *newest && !engine.settings.ignore_fencing {
        return HttpResponse::Conflict().json(&json!({"newest": *newest}));
    }
    *newest = order.fencing_number.max(*newest);
    HttpResponse::NoContent().finish()
}

async fn get_requests(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(&engine.requests))
}

async fn get_memory(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&engine.cache).held_tokens())
}

async fn put_faults(engine: Shared, faults: Json<EngineFaults>) -> HttpResponse {
    *lock(&engine.faults) = faults.into_inner();
    HttpResponse::NoContent().finish()
}
