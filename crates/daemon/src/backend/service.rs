//! HTTP client for plain services.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dandelionfront_coordination::{Answer, Payload, Refusal, RefusalKind, Usage};
use http::header::CONTENT_TYPE;
use http::{Method, Request};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use ntex::time::timeout;

use super::{BackendAnswer, BackendError};
use crate::connection::exchange::{self, ExchangeError};
use crate::consts::{
    BACKEND_ANSWER_MAX_BYTES, DEADLINE_HEADER, FENCING_NUMBER_HEADER, IDEMPOTENCY_KEY_HEADER,
    PROGRAM_ID_HEADER, STATUS_END,
};
use crate::upload::UploadProgress;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Idempotency key, by which the service can detect a repeated call.
    pub idempotency_key: String,
    /// Program that the call belongs to.
    pub program: String,
    /// Fencing token, by which the service can reject calls from an earlier owner of the program's
    /// shard.
    pub fencing_number: u64,
}

/// Operations of a plain service.
#[async_trait(?Send)]
pub trait PlainService {
    /// Sends the call once.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or does not return a complete answer.
    async fn call(&self, call: &ServiceCall) -> Result<BackendAnswer, BackendError>;
}

/// Plain service that is called over HTTP.
#[derive(Debug, Clone)]
pub struct HttpService {
    address: String,
    timeout: Duration,
}

impl HttpService {
    /// Creates a client; `timeout` applies to the entire call.
    #[must_use]
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self { address: address.to_owned(), timeout }
    }

    async fn send(&self, call: &ServiceCall, method: Method) -> Result<Answer, BackendError> {
        let request = Request::builder()
            .method(method)
            .uri(&call.path)
            .header(CONTENT_TYPE, &call.content_type)
            .header(IDEMPOTENCY_KEY_HEADER, &call.idempotency_key)
            .header(PROGRAM_ID_HEADER, &call.program)
            .header(FENCING_NUMBER_HEADER, call.fencing_number)
            .header(DEADLINE_HEADER, self.timeout.as_millis().to_string())
            .body(Bytes::from(call.body.clone()))
            .map_err(|_| service_unreachable())?;
        let response = match exchange::send(&self.address, request).await {
            Ok(response) => response,
            Err(ExchangeError::NotSent) => return Err(service_unreachable()),
            Err(ExchangeError::Lost) => return Err(lost("closed the connection")),
        };
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
        let status = response.status().as_u16();
        if status >= STATUS_END {
            return Err(lost("sent a status that is not one of HTTP"));
        }
        let is_unframed = exchange::is_unframed(&response);
        let (head, body) = response.into_parts();
        let body = Limited::new(body, BACKEND_ANSWER_MAX_BYTES).collect().await;
        let body = body.map_err(|error| match error.downcast::<LengthLimitError>() {
            Ok(_) => lost("sent an answer that is too long"),
            Err(_) => lost("cut its answer"),
        })?;
        if is_unframed && !UploadProgress::of(&head.extensions).is_sent() {
            return Err(lost("ended its answer before it had read the call"));
        }
        // The kernel closes the connections of a killed process in order.
        if is_unframed && exchange::has_ended(&self.address).await {
            return Err(lost("ended during its answer"));
        }
        Ok(Answer { status, content_type, body: Payload(body.to_bytes().to_vec()) })
    }
}

#[async_trait(?Send)]
impl PlainService for HttpService {
    async fn call(&self, call: &ServiceCall) -> Result<BackendAnswer, BackendError> {
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return Err(BackendError::NotRun(Refusal::not_run(
                RefusalKind::InvalidRequest,
                format!("{:?} is no HTTP method; send GET, POST, PUT or DELETE", call.method),
            )));
        };
        match timeout(self.timeout, self.send(call, method)).await {
            Ok(sent) => sent.map(|answer| BackendAnswer { answer, usage: Usage::default() }),
            Err(()) => Err(lost("did not answer in time")),
        }
    }
}

fn service_unreachable() -> BackendError {
    BackendError::NotRun(Refusal::not_run(
        RefusalKind::NoBackend,
        "the service cannot be reached; repeat the call after the pause",
    ))
}

fn lost(detail: &str) -> BackendError {
    BackendError::Lost(Refusal::may_have_run(
        RefusalKind::BackendFailed,
        format!("the service {detail}; repeat the call with the same Idempotency-Key"),
    ))
}
