//! Shared helpers of the handlers for callers: call identity, body, route access, call metrics.

use std::time::{Duration, Instant};

use dandelionfront_coordination::config::objects::Route;
use dandelionfront_coordination::config::snapshot::Caller;
use dandelionfront_coordination::holdings::{Holding, HoldingError, REQUEST_BYTES, Stage};
use dandelionfront_coordination::ids::{CallSequence, ProgramId, TeamId, single_call_program_id};
use dandelionfront_coordination::{CallRequest, ConfigSnapshot, Refusal, RefusalKind};
use ntex::time::timeout;
use ntex::util::{Bytes, BytesMut};
use ntex::web::{HttpRequest, types};

use super::auth::{ANONYMOUS_TEAM, key_missing};
use crate::consts::{IDEMPOTENCY_KEY_HEADER, PROGRAM_ID_HEADER, PROGRAM_SEQUENCE_HEADER};
use crate::process::{Metrics, Worker};
use crate::settings::Settings;

/// Maximum length of an idempotency key.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 256;

/// Copies of a body while its call is served: as received, as sent to the backend server, in the
/// journal and for another node.
pub const BODY_COPIES: u64 = 4;
/// Maximum time for discarding the rest of a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of a chunk below which the queue between connection and handler takes more memory than what
/// it holds.
const SMALL_CHUNK_BYTES: usize = 64;
/// Memory of the queue of a body in small chunks, in bytes.
const SMALL_CHUNKS_QUEUE_BYTES: u64 = 160 * 1024;

/// Identity of a call within its program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallIdentity {
    /// Program of the call; created implicitly for a single call.
    pub program: ProgramId,
    /// Whether the program consists of this call alone.
    pub single: bool,
    /// Position of the call in the program.
    pub sequence: CallSequence,
    /// Key that identifies retries of the call.
    pub idempotency_key: String,
}

/// Reads the identity of a call from its headers.
///
/// # Errors
///
/// Refuses malformed headers and incomplete combinations of headers.
pub fn read_identity(
    settings: &Settings,
    request: &HttpRequest,
    team: &str,
) -> Result<CallIdentity, Refusal> {
    let key = read_header(request, IDEMPOTENCY_KEY_HEADER)?;
    if key.is_some_and(|key| key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES) {
        return Err(invalid(format!(
            "Idempotency-Key must have 1 to {IDEMPOTENCY_KEY_MAX_BYTES} characters"
        )));
    }
    let program = read_header(request, PROGRAM_ID_HEADER)?;
    let sequence = read_header(request, PROGRAM_SEQUENCE_HEADER)?;
    match (program, sequence) {
        (None, None) => {
            let key = key.map_or_else(random_key, str::to_owned);
            let (region, shards) = (&settings.identity.region, settings.node.shard_count);
            let program = single_call_program_id(region, shards, team, &key);
            Ok(CallIdentity { program, single: true, sequence: 1, idempotency_key: key })
        }
        (Some(program), Some(sequence)) => {
            let sequence =
                sequence.parse().ok().filter(|sequence| *sequence > 0).ok_or_else(|| {
                    invalid("Program-Sequence must be a whole number from 1".to_owned())
                })?;
            let key =
                key.ok_or_else(|| invalid("a program's call needs an Idempotency-Key".to_owned()))?;
            Ok(CallIdentity {
                program: program.to_owned(),
                single: false,
                sequence,
                idempotency_key: key.to_owned(),
            })
        }
        _ => Err(invalid("send Program-Id and Program-Sequence together, or neither".to_owned())),
    }
}

/// A request body, and what its request makes the process hold.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    /// Kept until the request has been answered.
    pub holding: Holding,
}

/// Reads the body of a request.
///
/// # Errors
///
/// Refuses bodies above the size limit, incomplete bodies, and those that take too long or for which
/// there is no room.
pub async fn read_body(worker: &Worker, mut payload: types::Payload) -> Result<HeldBody, Refusal> {
    match hold_body(worker, &mut payload).await {
        Ok(body) => Ok(body),
        Err(refusal) => Err(refuse_unread(payload, refusal).await),
    }
}

/// Reads and discards the rest of a refused request's body for a limited time, and returns the
/// refusal. The server library closes a connection whose body is not read, and its caller may then lose
/// the response.
pub async fn refuse_unread(mut payload: types::Payload, refusal: Refusal) -> Refusal {
    let rest = async { while let Some(Ok(_)) = payload.recv().await {} };
    // The connection of a caller that is still sending is closed.
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
    refusal
}

async fn hold_body(worker: &Worker, payload: &mut types::Payload) -> Result<HeldBody, Refusal> {
    let time_limit = worker.shared.settings.body_timeout;
    let opened = worker.shared.holdings.open(Instant::now());
    let holding = opened.map_err(HoldingError::refusal)?;
    let reading = async {
        tokio::select! {
            biased;
            body = receive_body(worker, &holding, payload) => body,
            () = holding.displaced() => Err(HoldingError::Displaced.refusal()),
        }
    };
    let bytes = timeout(time_limit, reading).await.unwrap_or_else(|()| {
        let message =
            format!("the body did not arrive within {} ms; send it faster", time_limit.as_millis());
        Err(Refusal::not_run(RefusalKind::RequestTimeout, message))
    })?;
    let now = Instant::now();
    let held = holding.set_stage(Stage::Serving, now);
    let held = held.and_then(|_| holding.hold(BODY_COPIES * bytes.len() as u64, now));
    held.map_err(HoldingError::refusal)?;
    Ok(HeldBody { bytes, holding })
}

async fn receive_body(
    worker: &Worker,
    holding: &Holding,
    payload: &mut types::Payload,
) -> Result<Bytes, Refusal> {
    let limit = worker.shared.settings.body_max_bytes;
    let mut body = BytesMut::new();
    let mut queue_bytes = 0;
    holding.set_stage(Stage::Arriving, Instant::now()).map_err(HoldingError::refusal)?;
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| invalid("the body did not arrive whole".to_owned()))?;
        if body.len() + chunk.len() > limit {
            return Err(Refusal::not_run(
                RefusalKind::BodyTooLarge,
                format!("the body is over the limit of {limit} bytes; send a shorter one"),
            ));
        }
        let now = Instant::now();
        holding.note_progress(now);
        if chunk.len() < SMALL_CHUNK_BYTES {
            queue_bytes = SMALL_CHUNKS_QUEUE_BYTES;
        }
        // A full buffer is moved to one of twice the size.
        let body_bytes = 2 * (body.len() + chunk.len()) as u64;
        holding
            .hold(REQUEST_BYTES + queue_bytes + body_bytes, now)
            .map_err(HoldingError::refusal)?;
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Takes a rate limit token of the caller's team, if the caller has a key; called once per request,
/// before forwarding.
///
/// # Errors
///
/// Refuses when the team exceeds its rate and burst, or no holder of its limit can be reached.
pub async fn acquire_team_token(worker: &Worker, call: &CallRequest) -> Result<(), Refusal> {
    if call.team == ANONYMOUS_TEAM {
        return Ok(());
    }
    worker.shared.control.acquire_token(call.team.clone()).await
}

/// Returns the requested route and the team of the call.
///
/// # Errors
///
/// Refuses routes that are unknown or not open to the caller.
pub fn authorize_route<'a>(
    config: &'a ConfigSnapshot,
    route: &str,
    caller: Option<&Caller>,
) -> Result<(&'a Route, TeamId), Refusal> {
    let team = caller.map(|caller| caller.team.as_str());
    match config.route(route, team) {
        Ok(object) => Ok((object, team.unwrap_or(ANONYMOUS_TEAM).to_owned())),
        Err(_) if caller.is_none() => Err(key_missing()),
        Err(refusal) => Err(refusal),
    }
}

fn read_header<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| invalid(format!("header {name} must be ASCII text")))?;
    Ok(Some(text.trim()))
}

fn random_key() -> String {
    format!("auto-{:032x}", rand::random::<u128>())
}

fn invalid(message: String) -> Refusal {
    Refusal::not_run(RefusalKind::InvalidRequest, message)
}

/// Counts a call as in flight, and keeps what it makes the process hold, until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    metrics: Metrics,
    arrived: Instant,
    _holding: Holding,
}

impl InFlightGuard {
    /// Starts to count a call whose head arrived at `arrived` and whose body has been read.
    #[must_use]
    pub fn new(metrics: &Metrics, arrived: Instant, holding: Holding) -> Self {
        metrics.calls_in_flight.inc();
        Self { metrics: metrics.clone(), arrived, _holding: holding }
    }

    /// Returns the time since the call arrived.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Records that the complete answer is available.
    pub fn answered(&self) {
        self.metrics.calls_answered.inc();
        self.metrics.call_seconds.observe(self.elapsed().as_secs_f64());
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.metrics.calls_in_flight.dec();
    }
}
