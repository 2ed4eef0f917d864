//! Transport to the platform's metadata store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use dandelionfront_coordination::rows::RowStoreError;
use dandelionfront_platform::store::{StoreReply, StoreRequest, Transport};
use http::{Method, Request, header};
use http_body_util::{BodyExt as _, Full};
use tokio::time::timeout;

use super::backend::{BackendConnection, BackendPool, SendOutcome};
use crate::consts::JSON;
use crate::front::process::metrics::FrontMetrics;

/// Longest idle time after which a connection is used again.
const REUSE_IDLE_MAX: Duration = Duration::from_secs(3);

/// Shortest wait for an answer, several times what the store takes in calm.
const ANSWER_TIMEOUT_MIN: Duration = Duration::from_millis(120);
/// Multiple of the time that answers take at which one counts as lost.
const ANSWER_TIMEOUT_FACTOR: u32 = 5;
/// Weight of the newest answer in the time that answers take, as a divisor.
const ANSWER_TIMEOUT_DECAY: u32 = 4;

/// HTTP transport with a pool of its own.
pub struct HttpTransport {
    address: SocketAddr,
    pool: BackendPool,
    metrics: Rc<FrontMetrics>,
    answer_timeout: Cell<Duration>,
    /// Whether the last call got no answer.
    is_last_answer_lost: Cell<bool>,
}

impl HttpTransport {
    /// Creates a transport to the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, metrics: Rc<FrontMetrics>) -> Self {
        Self {
            address,
            pool: BackendPool::default(),
            metrics,
            answer_timeout: Cell::new(ANSWER_TIMEOUT_MIN),
            is_last_answer_lost: Cell::new(false),
        }
    }

    async fn exchange(&self, request: &StoreRequest) -> Result<StoreReply, RowStoreError> {
        loop {
            let mut connection = match self.pool.take(self.address, REUSE_IDLE_MAX) {
                Some(connection) => connection,
                None => BackendConnection::open(self.address)
                    .await
                    .map_err(|error| RowStoreError::Unreachable { detail: error.to_string() })?,
            };
            let was_reused = connection.is_reused;
            let response = match connection.send(self.encode(request)?).await {
                SendOutcome::Answered(response) => response,
                // An idle connection that was closed says nothing about the store.
                SendOutcome::NotSent(_) if was_reused => continue,
                SendOutcome::NotSent(detail) => return Err(RowStoreError::Unreachable { detail }),
                SendOutcome::Lost(_) if was_reused && request.method == Method::GET => continue,
                SendOutcome::Lost(detail) => return Err(RowStoreError::AnswerLost { detail }),
            };
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body =
                body.map_err(|error| RowStoreError::AnswerLost { detail: error.to_string() });
            let body = body?.to_bytes();
            self.pool.put(self.address, connection);
            return Ok(StoreReply { status, body });
        }
    }

    /// Doubles the patience when calls in a row got no answer: a single lost answer says nothing
    /// of the store's pace.
    fn record_lost_answer(&self, time_limit: Duration) {
        if self.is_last_answer_lost.replace(true) {
            self.answer_timeout.set((self.answer_timeout.get() * 2).min(time_limit));
        }
    }

    /// Adapts the patience to the time that an answer took.
    fn record_answer_time(&self, taken: Duration) {
        self.is_last_answer_lost.set(false);
        let target = (taken * ANSWER_TIMEOUT_FACTOR).max(ANSWER_TIMEOUT_MIN);
        let answer_timeout = self.answer_timeout.get();
        let next = if target > answer_timeout {
            target
        } else {
            answer_timeout
                .saturating_sub(answer_timeout.saturating_sub(target) / ANSWER_TIMEOUT_DECAY)
        };
        self.answer_timeout.set(next);
    }

    fn encode(&self, request: &StoreRequest) -> Result<Request<Full<Bytes>>, RowStoreError> {
        Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, JSON)
            .body(Full::new(request.body.clone()))
            .map_err(|error| RowStoreError::Malformed { detail: error.to_string() })
    }
}

/// Returns the operation that a path names, without its query.
fn operation(path: &str) -> &str {
    let path = path.split('?').next().unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default()
}

#[async_trait(?Send)]
impl Transport for HttpTransport {
    async fn call(&self, request: StoreRequest) -> Result<StoreReply, RowStoreError> {
        let began_at = Instant::now();
        self.metrics.store_calls.with_label_values(&[operation(&request.path)]).inc();
        let time_limit = request.wait + self.answer_timeout.get().min(request.timeout);
        let result = timeout(time_limit, self.exchange(&request)).await.unwrap_or_else(|_| {
            self.record_lost_answer(request.timeout);
            let detail = format!("no answer within {} ms", time_limit.as_millis());
            Err(RowStoreError::AnswerLost { detail })
        });
        let taken = began_at.elapsed();
        if request.wait.is_zero() {
            self.metrics.store_seconds.observe(taken.as_secs_f64());
            if result.is_ok() {
                self.record_answer_time(taken);
            }
        }
        if let Err(error) = &result {
            self.metrics.store_failures.inc();
            log::debug!("event=store_call_failed path={} cause=\"{error}\"", request.path);
        }
        result
    }
}
