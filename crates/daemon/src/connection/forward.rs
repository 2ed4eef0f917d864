//! Forwarding of calls and program requests to the owner node.

use std::time::Duration;

use dandelionfront_coordination::ids::ProgramId;
use dandelionfront_coordination::owner::ProgramSpec;
use dandelionfront_coordination::record::CloseReason;
use dandelionfront_coordination::{CallEvent, CallRequest, Program, Refusal};
use eventsource_stream::{EventStream, Eventsource as _};
use futures_util::StreamExt as _;
use ntex::client::Client;
use ntex::http::Payload;
use ntex::time::timeout;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::clients::proves_not_sent;
use crate::consts::{INTERNAL_ANSWER_MAX_BYTES, JSON};

/// Path of forwarded calls.
pub const CALL_PATH: &str = "/v1/forward/calls";
/// Path of forwarded program requests.
pub const PROGRAM_PATH: &str = "/v1/forward/programs";

/// Type of the keep-alive events that are sent while a call produces no output.
pub const KEEP_ALIVE_EVENT: &str = "keep-alive";

/// Program request that is forwarded to the owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramRequest {
    /// Opens a program, on its parent's shard if it has a parent.
    Open(ProgramSpec),
    /// Reads the state and history of a program.
    Get {
        /// Program to read.
        id: ProgramId,
        /// Team of the requester; `None` for an operator.
        team: Option<String>,
    },
    /// Ends a program.
    Close {
        /// Program to end.
        id: ProgramId,
        /// Team of the requester; `None` for an operator.
        team: Option<String>,
        /// Reason for the end.
        reason: CloseReason,
    },
}

/// Reply to a [`ProgramRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramReply {
    /// The program was opened.
    Opened(ProgramId),
    /// The state and history of the program.
    State(Box<Program>),
    /// The programs that ended, including sub-agents.
    Closed(Vec<ProgramId>),
    /// The request was refused.
    Refused(Refusal),
}

/// Failure of a request to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardError {
    /// Nothing was sent: the owner is unknown or refused the connection, or the request is invalid.
    NeverSent,
    /// The request may have been sent, but no valid response arrived.
    Lost,
}

/// Event stream of a call that was forwarded to another node.
pub struct RemoteCall {
    events: EventStream<Payload>,
}

impl RemoteCall {
    /// Sends a call to the owner at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the owner cannot be reached or does not accept the call within
    /// `response_timeout`.
    pub async fn send(
        client: &Client,
        address: &str,
        request: &CallRequest,
        response_timeout: Duration,
    ) -> Result<Self, ForwardError> {
        let response = post(client, address, CALL_PATH, request, response_timeout).await?;
        if !response.status().is_success() {
            return Err(ForwardError::Lost);
        }
        Ok(Self { events: response.take_payload().eventsource() })
    }

    /// Returns the next event except keep-alives, or `None` if the connection fails, is idle for
    /// `idle_timeout` or delivers a malformed event.
    pub async fn next(&mut self, idle_timeout: Duration) -> Option<CallEvent> {
        loop {
            let event = timeout(idle_timeout, self.events.next()).await.ok()??.ok()?;
            if event.event != KEEP_ALIVE_EVENT {
                return serde_json::from_str(&event.data).ok();
            }
        }
    }
}

/// Sends a program request to the owner at `address`.
///
/// # Errors
///
/// Fails when the owner cannot be reached or sends no valid reply within `response_timeout`.
pub async fn send_program_request(
    client: &Client,
    address: &str,
    request: &ProgramRequest,
    response_timeout: Duration,
) -> Result<ProgramReply, ForwardError> {
    let response = post(client, address, PROGRAM_PATH, request, response_timeout).await?;
    read_json(&response, response_timeout).await
}

async fn post(
    client: &Client,
    address: &str,
    path: &str,
    message: &impl Serialize,
    response_timeout: Duration,
) -> Result<ntex::client::ClientResponse, ForwardError> {
    let body = serde_json::to_vec(message).map_err(|_| ForwardError::NeverSent)?;
    let request = client.post(format!("http://{address}{path}")).content_type(JSON);
    match timeout(response_timeout, request.send_body(body)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if proves_not_sent(&error) => Err(ForwardError::NeverSent),
        Ok(Err(_)) | Err(()) => Err(ForwardError::Lost),
    }
}

async fn read_json<T: DeserializeOwned>(
    response: &ntex::client::ClientResponse,
    response_timeout: Duration,
) -> Result<T, ForwardError> {
    match timeout(response_timeout, response.body().limit(INTERNAL_ANSWER_MAX_BYTES)).await {
        Ok(Ok(bytes)) => serde_json::from_slice(&bytes).map_err(|_| ForwardError::Lost),
        _ => Err(ForwardError::Lost),
    }
}
