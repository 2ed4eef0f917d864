//! Stand-in for a backend server on the users' platform, used as model engine or plain service.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use futures_util::StreamExt as _;
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, types::Json, types::State};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{RecordedRequest, lock, serve};

/// Settings of the backend server stand-in.
#[derive(Debug, Clone)]
pub struct RunnerSettings {
    /// Instance identifier; requests whose `expect-instance` header is absent or differs are
    /// refused with 421.
    pub id: String,
    /// Number of events in a complete stream.
    pub event_count: u64,
    /// Delay before each event of a stream, or before a non-streamed answer, in milliseconds.
    pub delay_ms: u32,
}

/// Faults to inject into the backend server stand-in.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RunnerFaults {
    /// Number of upcoming requests to refuse without executing them.
    pub refuse: u32,
    /// Number of upcoming streams to cut in the middle of their second event.
    pub cut_streams: u32,
    /// Number of upcoming requests to execute before closing the connection without a complete
    /// answer.
    pub lose_answers: u32,
    /// Number of upcoming requests to answer with `request-id: other` instead of their own id.
    pub answer_foreign: u32,
    /// Whether all answers carry the header with which a leaving server announces that it leaves.
    pub leaving: bool,
    /// Limit that all answers name, in requests a second from all nodes together.
    pub limit_per_s: Option<f64>,
}

/// The backend server stand-in.
#[derive(Debug)]
pub struct Runner {
    settings: RunnerSettings,
    requests: Mutex<Vec<RecordedRequest>>,
    faults: Mutex<RunnerFaults>,
    open_streams: AtomicU64,
}

impl Runner {
    /// Starts the stand-in on a new thread and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn spawn(listen: SocketAddr, settings: RunnerSettings) -> io::Result<SocketAddr> {
        let runner = Self {
            settings,
            requests: Mutex::default(),
            faults: Mutex::default(),
            open_streams: AtomicU64::new(0),
        };
        serve(listen, Arc::new(runner), routes)
    }

    /// Decrements the counter of a fault; returns whether the fault applies to this request.
    fn consume_fault(&self, fault: impl Fn(&mut RunnerFaults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let remaining = fault(&mut faults);
        let is_active = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_active
    }

    /// Adds the headers with which the server announces its leave and its limit.
    fn announce(&self, response: &mut web::HttpResponseBuilder) {
        let faults = lock(&self.faults);
        if faults.leaving {
            response.header("server-leaving", "1");
        }
        if let Some(limit_per_s) = faults.limit_per_s {
            response.header("server-limit", limit_per_s.to_string());
        }
    }
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/standin/record").route(web::get().to(get_requests)))
        .service(web::resource("/standin/streams").route(web::get().to(get_streams)))
        .service(web::resource("/standin/faults").route(web::put().to(put_faults)))
        .service(web::resource("/{path}*").route(web::route().to(execute)));
}

type Shared = State<Arc<Runner>>;

async fn get_requests(runner: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(&runner.requests))
}

async fn get_streams(runner: Shared) -> HttpResponse {
    let open = runner.open_streams.load(Ordering::Relaxed);
    HttpResponse::Ok().json(&json!({ "open": open }))
}

/// Decrements the number of open streams when dropped.
struct OpenStreamGuard(Shared);

impl Drop for OpenStreamGuard {
    fn drop(&mut self) {
        self.0.open_streams.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn put_faults(runner: Shared, faults: Json<RunnerFaults>) -> HttpResponse {
    *lock(&runner.faults) = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn execute(runner: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = header("request-id");
    if header("expect-instance") != runner.settings.id {
        let mut response = HttpResponse::build(ntex::http::StatusCode::MISDIRECTED_REQUEST);
        runner.announce(&mut response);
        response.header("request-id", id);
        return response.header("instance-id", runner.settings.id.clone()).finish();
    }
    if runner.consume_fault(|faults| &mut faults.refuse) {
        let mut response = HttpResponse::ServiceUnavailable();
        runner.announce(&mut response);
        response.header("request-id", id);
        return response.header("not-executed", "1").finish();
    }
    let path = request.uri().path_and_query().map_or("", |path| path.as_str());
    let number = {
        let mut requests = lock(&runner.requests);
        let number = requests.len() as u64 + 1;
        let method = request.method().as_str();
        requests.push(RecordedRequest::new(number, method, path, request.headers(), &body));
        number
    };
    if runner.consume_fault(|faults| &mut faults.lose_answers) {
        return truncated_response();
    }
    let answered_id = if runner.consume_fault(|faults| &mut faults.answer_foreign) {
        "other".to_owned()
    } else {
        id
    };
    let mut response = HttpResponse::Ok();
    runner.announce(&mut response);
    response.header("request-id", answered_id);
    // Stands in for the backend server's signature; it differs for each execution.
    response.header("server-seal", format!("{}.{number}", runner.settings.id));
    if path.contains("/stream/") {
        let first_id = header("last-event-id").parse::<u64>().unwrap_or_default() + 1;
        return stream(runner, response, first_id);
    }
    sleep(Millis(runner.settings.delay_ms)).await;
    response.json(&json!({ "server": runner.settings.id, "execution": number }))
}

/// Returns a response whose body fails before its first byte, which closes the connection.
fn truncated_response() -> HttpResponse {
    let error = futures_util::stream::once(async { Err::<Bytes, _>(io::Error::other("cut")) });
    HttpResponse::Ok().streaming(Box::pin(error))
}

fn stream(runner: Shared, mut response: web::HttpResponseBuilder, first_id: u64) -> HttpResponse {
    let is_cut = runner.consume_fault(|faults| &mut faults.cut_streams);
    let last_id = if is_cut { first_id + 1 } else { runner.settings.event_count };
    runner.open_streams.fetch_add(1, Ordering::Relaxed);
    let open = Rc::new(OpenStreamGuard(runner.clone()));
    let events = futures_util::stream::unfold(first_id, move |id| {
        let (runner, open) = (runner.clone(), Rc::clone(&open));
        async move {
            let _open = open;
            if id > last_id {
                return None;
            }
            sleep(Millis(runner.settings.delay_ms)).await;
            if is_cut && id == last_id {
                // Sends half of the event. An id above `last_id` then ends `events`, and `cut`
                // closes the connection.
                let half = Bytes::from(format!("id: {id}\nda"));
                return Some((Ok(half), u64::MAX - 1));
            }
            let event = Bytes::from(format!("id: {id}\ndata: {}\n\n", event_data(id)));
            Some((Ok(event), id + 1))
        }
    });
    let cut = futures_util::stream::unfold(is_cut, |is_cut| async move {
        is_cut.then(|| (Err::<Bytes, _>(io::Error::other("cut")), false))
    });
    response.header("content-type", "text/event-stream");
    response.streaming(Box::pin(events.chain(cut)))
}

/// Returns the data of the event with the given `id`.
#[must_use]
pub fn event_data(id: u64) -> String {
    format!("token-{id}")
}
