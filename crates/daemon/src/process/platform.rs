//! HTTP client for the platform's table service, object store and VM list.

use std::time::Duration;

use async_trait::async_trait;
use dandelionfront_coordination::platform::{
    KeyQuery, ObjectStore, PlatformError, PlatformResult, Row, ScanQuery, Table, TableService,
    Transaction, TransactionOutcome, Vm, VmList,
};
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::StatusCode;
use ntex::time::timeout;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::metrics::Metrics;
use crate::connection::clients::proves_not_sent;
use crate::consts::INTERNAL_ANSWER_MAX_BYTES;
use crate::transfer::Transfer;

/// Platform services that are called over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    base_url: String,
    client: Client,
    timeout: Duration,
    metrics: Metrics,
}

impl HttpPlatform {
    /// Creates a client for the services at `base_url`.
    #[must_use]
    pub fn new(base_url: &str, client: Client, timeout: Duration, metrics: Metrics) -> Self {
        Self { base_url: base_url.to_owned(), client, timeout, metrics }
    }

    async fn send(&self, request: ClientRequest, body: Vec<u8>) -> PlatformResult<ClientResponse> {
        let lost = |detail: String| PlatformError::AnswerLost { detail };
        match timeout(self.timeout, request.send_body(body)).await {
            Ok(Ok(response)) => check_status(response),
            Ok(Err(error)) if proves_not_sent(&error) => {
                Err(PlatformError::Unreachable { detail: error.to_string() })
            }
            Ok(Err(error)) => Err(lost(error.to_string())),
            Err(()) => Err(lost("no answer in time".to_owned())),
        }
    }

    async fn body(&self, response: &ClientResponse) -> PlatformResult<Vec<u8>> {
        let parts = response.take_payload();
        let body = Transfer::new(parts, INTERNAL_ANSWER_MAX_BYTES, self.timeout).rest().await;
        body.map(Vec::from).map_err(|error| PlatformError::AnswerLost { detail: error.to_string() })
    }

    async fn json<T: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: Vec<u8>,
    ) -> PlatformResult<T> {
        let response = self.send(request, body).await?;
        let bytes = self.body(&response).await?;
        serde_json::from_slice(&bytes)
            .map_err(|error| PlatformError::Malformed { detail: error.to_string() })
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &impl Serialize,
    ) -> PlatformResult<T> {
        let request = self.client.get(format!("{}{path}", self.base_url)).query(query);
        let request = request.map_err(|error| malformed_query(&error))?;
        self.json(request, Vec::new()).await
    }

    fn count_request(&self, kind: &str) {
        self.metrics.platform_requests.with_label_values(&[kind]).inc();
    }

    fn object_url(&self, key: &str) -> String {
        format!("{}/v1/objects/{key}", self.base_url)
    }
}

fn malformed_query(error: &impl ToString) -> PlatformError {
    PlatformError::Malformed { detail: error.to_string() }
}

/// Accepts success and 404; status 503 guarantees that the request had no effect, after any other
/// status its effect is unknown.
fn check_status(response: ClientResponse) -> PlatformResult<ClientResponse> {
    match response.status() {
        status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(response),
        StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::Unreachable { detail: "status 503".to_owned() })
        }
        status => Err(PlatformError::AnswerLost { detail: format!("status {status}") }),
    }
}

#[async_trait(?Send)]
impl TableService for HttpPlatform {
    async fn get(&self, table: Table, key: &str) -> PlatformResult<Option<Row>> {
        self.count_request("get");
        self.read("/v1/table/row", &KeyQuery { table, key: key.to_owned() }).await
    }

    async fn scan(
        &self,
        table: Table,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> PlatformResult<Vec<Row>> {
        self.count_request("scan");
        let query = ScanQuery { table, prefix: prefix.to_owned(), after: after.to_owned(), limit };
        self.read("/v1/table/rows", &query).await
    }

    async fn transact(&self, transaction: &Transaction) -> PlatformResult<TransactionOutcome> {
        self.count_request("transact");
        let body = serde_json::to_vec(transaction)
            .map_err(|error| PlatformError::Malformed { detail: error.to_string() })?;
        let request = self
            .client
            .post(format!("{}/v1/table/transactions", self.base_url))
            .content_type(crate::consts::JSON);
        self.json(request, body).await
    }
}

#[async_trait(?Send)]
impl ObjectStore for HttpPlatform {
    async fn put(&self, key: &str, bytes: Vec<u8>) -> PlatformResult<()> {
        self.count_request("object");
        self.send(self.client.put(self.object_url(key)), bytes).await.map(drop)
    }

    async fn get(&self, key: &str) -> PlatformResult<Option<Vec<u8>>> {
        self.count_request("object");
        let response = self.send(self.client.get(self.object_url(key)), Vec::new()).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.body(&response).await.map(Some)
    }

    async fn delete(&self, key: &str) -> PlatformResult<()> {
        self.send(self.client.delete(self.object_url(key)), Vec::new()).await.map(drop)
    }
}

#[async_trait(?Send)]
impl VmList for HttpPlatform {
    async fn vms(&self) -> PlatformResult<Vec<Vm>> {
        let request = self.client.get(format!("{}/v1/vms", self.base_url));
        self.json(request, Vec::new()).await
    }
}
