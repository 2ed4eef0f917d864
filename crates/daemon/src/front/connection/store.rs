//! Transport to the platform's metadata store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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

/// HTTP transport with a pool of its own.
pub struct HttpTransport {
    address: SocketAddr,
    pool: BackendPool,
    metrics: Rc<FrontMetrics>,
}

impl HttpTransport {
    /// Creates a transport to the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, metrics: Rc<FrontMetrics>) -> Self {
        Self { address, pool: BackendPool::default(), metrics }
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

#[async_trait(?Send)]
impl Transport for HttpTransport {
    async fn call(&self, request: StoreRequest) -> Result<StoreReply, RowStoreError> {
        let timer = self.metrics.store_seconds.start_timer();
        let result = timeout(request.timeout, self.exchange(&request)).await.unwrap_or_else(|_| {
            let detail = format!("no answer within {} ms", request.timeout.as_millis());
            Err(RowStoreError::AnswerLost { detail })
        });
        timer.observe_duration();
        if let Err(error) = &result {
            self.metrics.store_failures.inc();
            log::debug!("event=store_call_failed path={} cause=\"{error}\"", request.path);
        }
        result
    }
}
