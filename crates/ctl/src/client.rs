//! HTTP client for the operator listener of a node.

use dandelionfront_coordination::config::Problem;
use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::rt::System;
use ntex::time::{Millis, timeout};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::ResultExt as _;

use crate::error::{CtlError, InvalidObjectsSnafu, MalformedSnafu, RefusedSnafu, UnreachableSnafu};

/// Client of one node.
#[derive(Debug, Clone)]
pub struct NodeClient {
    address: String,
    timeout: Millis,
}

/// Body of an error response; `error` is a string or an object with a `message`.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: Value,
    #[serde(default)]
    problems: Vec<Problem>,
}

impl NodeClient {
    /// Creates a client for the node at `address`.
    #[must_use]
    pub fn new(address: &str, timeout_ms: u32) -> Self {
        Self { address: address.to_owned(), timeout: Millis(timeout_ms) }
    }

    /// Sends a request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer, refuses the request, or sends a malformed response.
    pub fn send<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, CtlError> {
        let body = body.map(serde_json::to_vec).transpose().context(MalformedSnafu)?;
        let system = System::build().name("ctl").build(ntex::rt::DefaultRuntime);
        let response = self.clone().send_async(method.to_owned(), path.to_owned(), body);
        let (status, bytes) = system.block_on(response)?;
        if status < 300 {
            return serde_json::from_slice(&bytes).context(MalformedSnafu);
        }
        let error: ErrorBody = serde_json::from_slice(&bytes).context(MalformedSnafu)?;
        if !error.problems.is_empty() {
            return InvalidObjectsSnafu { problems: error.problems }.fail();
        }
        let message = error.error["message"].as_str().or(error.error.as_str());
        RefusedSnafu { message: message.unwrap_or("the node gave no reason") }.fail()
    }

    async fn send_async(
        self,
        method: String,
        path: String,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), CtlError> {
        let unreachable =
            |detail: String| UnreachableSnafu { node: self.address.clone(), detail }.build();
        // The client's own timeouts are disabled because `self.timeout` limits the whole exchange,
        // and its payload limit because configurations and histories may be large.
        let client = Client::builder()
            .connector::<()>(Connector::new())
            .disable_timeout()
            .response_payload_limit(usize::MAX)
            .response_payload_timeout(Millis::ZERO)
            .build(SharedCfg::new("CTL"))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let method = method.parse().map_err(|_| unreachable("invalid HTTP method".to_owned()))?;
        let request = client
            .request(method, format!("http://{}{path}", self.address))
            .content_type("application/json");
        let round_trip = async {
            let sent = request.send_body(body.unwrap_or_default()).await;
            let response = sent.map_err(|error| unreachable(error.to_string()))?;
            let status = response.status().as_u16();
            let bytes = response.body().await.map_err(|error| unreachable(error.to_string()))?;
            Ok((status, bytes.to_vec()))
        };
        match timeout(self.timeout, round_trip).await {
            Ok(result) => result,
            Err(()) => Err(unreachable("timed out waiting for the response".to_owned())),
        }
    }
}
