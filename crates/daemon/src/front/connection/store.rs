//! HTTP transport to the platform's metadata store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use dandelionfront_coordination::rows::RowStoreError;
use dandelionfront_platform::store::{StoreReply, StoreRequest, Transport};
use http::{Method, Request, header};
use http_body_util::BodyDataStream;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;

use super::backend::{BackendConnection, BackendPool, SendOutcome};
use crate::consts::JSON;
use crate::front::process::metrics::FrontMetrics;
use crate::transfer::Transfer;

/// Maximum idle time of a connection that is reused.
const REUSE_IDLE_MAX: Duration = Duration::from_secs(3);

/// Maximum size of a response's body, several times that of the largest configuration.
const BODY_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Waiting time for the first part of a response's body, whose begin arrives with its head.
const BODY_WINDOW: Duration = Duration::from_millis(500);

/// Lower bound of the time limit until a response begins; several times the store's response time
/// under low load.
const RESPONSE_TIMEOUT_MIN: Duration = Duration::from_millis(120);
/// Time limit as a multiple of the measured time until a response begins.
const RESPONSE_TIMEOUT_FACTOR: u32 = 5;
/// Divisor of the difference between the timeout and a lower target; each response lowers the
/// timeout by the quotient.
const RESPONSE_TIMEOUT_DECAY: u32 = 4;

/// Response of the store whose body is still arriving.
#[derive(Debug)]
pub struct OpenReply {
    /// HTTP status.
    pub status: u16,
    /// Length of the body, if the head declares it.
    pub length: Option<u64>,
    /// Body.
    pub body: Transfer<BodyDataStream<Incoming>>,
    /// Connection on which the body arrives.
    connection: BackendConnection,
}

/// HTTP transport with its own connection pool.
pub struct HttpTransport {
    address: SocketAddr,
    pool: BackendPool,
    metrics: Rc<FrontMetrics>,
    response_timeout: Cell<Duration>,
    /// Whether a call has timed out since the last measured response.
    is_last_response_lost: Cell<bool>,
}

impl HttpTransport {
    /// Creates a transport to the store, or to a relay for it, at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, metrics: Rc<FrontMetrics>) -> Self {
        Self {
            address,
            pool: BackendPool::default(),
            metrics,
            response_timeout: Cell::new(RESPONSE_TIMEOUT_MIN),
            is_last_response_lost: Cell::new(false),
        }
    }

    /// Sends a call, on a connection that is closed with an unfinished call, and waits for the head
    /// of the response.
    async fn exchange(&self, request: &StoreRequest) -> Result<OpenReply, RowStoreError> {
        loop {
            let mut connection = match self.pool.take(self.address, REUSE_IDLE_MAX, &[]) {
                Some(connection) => connection,
                None => BackendConnection::open(self.address)
                    .await
                    .map_err(|error| RowStoreError::Unreachable { detail: error.to_string() })?,
            };
            let was_reused = connection.is_reused;
            let response = match connection.send(self.encode(request)?).await {
                SendOutcome::Answered(response) => response,
                // The peer may have closed the idle connection, which does not mean that the store
                // is unreachable.
                SendOutcome::NotSent(_) if was_reused => continue,
                SendOutcome::NotSent(detail) => return Err(RowStoreError::Unreachable { detail }),
                // Reads can be sent again.
                SendOutcome::Lost(_) if was_reused && request.method == Method::GET => continue,
                SendOutcome::Lost(detail) => return Err(RowStoreError::AnswerLost { detail }),
            };
            let status = response.status().as_u16();
            let length = response.body().size_hint().exact();
            let body = BodyDataStream::new(response.into_body());
            let body = Transfer::new(body, BODY_MAX_BYTES, BODY_WINDOW);
            return Ok(OpenReply { status, length, body, connection });
        }
    }

    /// Reads from the store, waiting for at most `time_limit`.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached or does not answer in time.
    pub async fn probe(&self, time_limit: Duration) -> Result<StoreReply, RowStoreError> {
        self.call_within(StoreRequest::probe(time_limit), time_limit).await
    }

    /// Doubles the response timeout, up to `max`, when consecutive calls time out.
    ///
    /// A single lost response does not show that the store has become slower.
    fn record_lost_response(&self, max: Duration) {
        if self.is_last_response_lost.replace(true) {
            self.response_timeout.set((self.response_timeout.get() * 2).min(max));
        }
    }

    /// Adapts the response timeout to a measured response time.
    ///
    /// The timeout rises at once and falls gradually.
    fn record_response_time(&self, taken: Duration) {
        self.is_last_response_lost.set(false);
        let target = (taken * RESPONSE_TIMEOUT_FACTOR).max(RESPONSE_TIMEOUT_MIN);
        let response_timeout = self.response_timeout.get();
        let next = if target > response_timeout {
            target
        } else {
            response_timeout
                .saturating_sub(response_timeout.saturating_sub(target) / RESPONSE_TIMEOUT_DECAY)
        };
        self.response_timeout.set(next);
    }

    fn encode(&self, request: &StoreRequest) -> Result<Request<Bytes>, RowStoreError> {
        Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, JSON)
            .body(request.body.clone())
            .map_err(|error| RowStoreError::Malformed { detail: error.to_string() })
    }
}

/// Returns the operation of a call, which is the last segment of its path.
fn operation(path: &str) -> &str {
    let path = path.split('?').next().unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default()
}

#[async_trait(?Send)]
impl Transport for HttpTransport {
    async fn call(&self, request: StoreRequest) -> Result<StoreReply, RowStoreError> {
        let time_limit = self.time_limit(&request);
        self.call_within(request, time_limit).await
    }
}

impl HttpTransport {
    async fn call_within(
        &self,
        request: StoreRequest,
        time_limit: Duration,
    ) -> Result<StoreReply, RowStoreError> {
        let started_at = Instant::now();
        let result = self.open_within(&request, time_limit).await;
        let result = match result {
            Ok(OpenReply { status, body, connection, .. }) => match body.rest().await {
                Ok(body) => {
                    self.pool.put(self.address, connection);
                    Ok(StoreReply { status, body })
                }
                Err(error) => Err(RowStoreError::AnswerLost { detail: error.to_string() }),
            },
            Err(error) => Err(error),
        };
        // The duration of other calls includes the wait for a change.
        if request.wait.is_zero() {
            self.metrics.store_seconds.observe(started_at.elapsed().as_secs_f64());
        }
        if let Err(error) = &result {
            self.metrics.store_failures.inc();
            log::debug!("event=store_call_failed path={} cause=\"{error}\"", request.path);
        }
        result
    }

    /// Sends a call and waits for the head of the response for at most `time_limit`.
    async fn open_within(
        &self,
        request: &StoreRequest,
        time_limit: Duration,
    ) -> Result<OpenReply, RowStoreError> {
        let started_at = Instant::now();
        self.metrics.store_calls.with_label_values(&[operation(&request.path)]).inc();
        let result = timeout(time_limit, self.exchange(request)).await.unwrap_or_else(|_| {
            self.record_lost_response(request.timeout);
            let detail = format!("no answer within {} ms", time_limit.as_millis());
            Err(RowStoreError::AnswerLost { detail })
        });
        if request.wait.is_zero() && result.is_ok() {
            self.record_response_time(started_at.elapsed());
        }
        result
    }

    fn time_limit(&self, request: &StoreRequest) -> Duration {
        request.wait + self.response_timeout.get().min(request.timeout)
    }

    /// Sends a call and waits for the head of the response, whose body the caller reads.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached or does not begin to answer in time.
    pub async fn open(&self, request: &StoreRequest) -> Result<OpenReply, RowStoreError> {
        let result = self.open_within(request, self.time_limit(request)).await;
        if result.is_err() {
            self.metrics.store_failures.inc();
        }
        result
    }

    /// Keeps the connection of a response whose body was read to its end.
    pub fn reuse(&self, reply: OpenReply) {
        self.pool.put(self.address, reply.connection);
    }
}
