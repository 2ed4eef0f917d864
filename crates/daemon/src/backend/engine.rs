//! HTTP client for model engines.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dandelionfront_coordination::events::{EventSplitter, StreamEvent};
use dandelionfront_coordination::{Answer, Payload, Refusal, RefusalKind};
use futures_util::StreamExt as _;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response};
use http_body_util::{BodyDataStream, BodyExt as _, Collected, Limited};
use hyper::body::Incoming;
use ntex::time::timeout;

use super::chat::CompletionAssembler;
use super::{BackendAnswer, BackendError};
use crate::connection::exchange::{self, ExchangeError};
use crate::consts::{
    BACKEND_ANSWER_MAX_BYTES, DEADLINE_HEADER, JSON, PRIORITY_HEADER, PROGRAM_ID_HEADER,
    REQUEST_ID_HEADER,
};

/// Data of the last event of a stream.
const DONE: &[u8] = b"[DONE]";
/// Maximum number of times that an interrupted or idle stream is resumed.
const RESUMES_MAX: u32 = 3;

/// A completion to generate.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// Identifier of the request, needed to resume or cancel it.
    pub request_id: String,
    /// Program that the request belongs to; the engine keeps a cache per program.
    pub program: String,
    /// Scheduling priority; lower values run first.
    pub priority: u32,
    /// Request body.
    pub body: Vec<u8>,
    /// Route, which the answer names as its model.
    pub route: String,
}

/// Receives the progress of a completion.
pub trait GenerationSink {
    /// Called with the data of each chunk of the stream.
    fn on_chunk(&mut self, data: &str);

    /// Called before an interrupted or idle stream is resumed.
    fn on_resumed(&mut self);
}

/// Operations of a model engine.
#[async_trait(?Send)]
pub trait ModelEngine {
    /// Generates a completion; `sink` receives each chunk of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached, rejects the request or sends an incomplete stream.
    async fn generate(
        &self,
        call: &EngineCall,
        sink: &mut dyn GenerationSink,
    ) -> Result<BackendAnswer, BackendError>;

    /// Cancels a request.
    async fn cancel(&self, request_id: &str);

    /// Releases the memory that the engine holds for a program; returns whether it confirmed.
    async fn release(&self, program: &str) -> bool;
}

/// Model engine that is called over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    address: String,
    idle_timeout: Duration,
}

impl HttpEngine {
    /// Creates a client; `idle_timeout` limits the wait for a response and for each chunk.
    #[must_use]
    pub fn new(address: &str, idle_timeout: Duration) -> Self {
        Self { address: address.to_owned(), idle_timeout }
    }

    async fn start(&self, call: &EngineCall) -> Result<Response<Incoming>, BackendError> {
        let request = Request::post("/v1/chat/completions")
            .header(CONTENT_TYPE, JSON)
            .header(REQUEST_ID_HEADER, &call.request_id)
            .header(PROGRAM_ID_HEADER, &call.program)
            .header(PRIORITY_HEADER, call.priority)
            .header(DEADLINE_HEADER, self.idle_timeout.as_millis().to_string())
            .body(Bytes::from(call.body.clone()))
            .map_err(|_| not_run("cannot be reached"))?;
        match timeout(self.idle_timeout, exchange::send(&self.address, request)).await {
            Ok(Ok(response)) => self.check_status(response).await,
            Ok(Err(ExchangeError::NotSent)) => Err(not_run("cannot be reached")),
            Ok(Err(ExchangeError::Lost)) => Err(lost("closed the connection")),
            Err(()) => Err(lost("did not answer in time")),
        }
    }

    /// Requests the stream again, starting after the chunks already received.
    async fn resume(&self, call: &EngineCall, received_chunks: u64) -> Option<Response<Incoming>> {
        let path = format!("/v1/requests/{}?offset={received_chunks}", call.request_id);
        self.send_empty(Method::GET, &path).await
    }

    /// Sends a request without a body; returns the response if it reports success.
    async fn send_empty(&self, method: Method, path: &str) -> Option<Response<Incoming>> {
        let request = Request::builder().method(method).uri(path).body(Bytes::new()).ok()?;
        let sent = timeout(self.idle_timeout, exchange::send(&self.address, request)).await;
        sent.ok()?.ok().filter(|response| response.status().is_success())
    }

    async fn check_status(
        &self,
        response: Response<Incoming>,
    ) -> Result<Response<Incoming>, BackendError> {
        const DETAIL_MAX_BYTES: usize = 4096;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        if status.as_u16() == 503 || status.as_u16() == 429 {
            return Err(not_run("is overloaded"));
        }
        if !status.is_client_error() {
            return Err(lost("failed"));
        }
        let body = Limited::new(response.into_body(), DETAIL_MAX_BYTES).collect();
        let body = timeout(self.idle_timeout, body).await.ok().and_then(Result::ok);
        let body = body.map(Collected::to_bytes).unwrap_or_default();
        let detail = String::from_utf8_lossy(&body);
        Err(BackendError::NotRun(Refusal::not_run(
            RefusalKind::InvalidRequest,
            format!("the engine rejected the request with status {status}: {detail}"),
        )))
    }

    /// Reads chunks until the stream ends; returns whether it ended with [`DONE`].
    async fn read_chunks(
        &self,
        response: Response<Incoming>,
        state: &mut StreamState<'_>,
    ) -> Result<bool, BackendError> {
        let mut body = BodyDataStream::new(response.into_body());
        let mut splitter = EventSplitter::default();
        loop {
            match timeout(self.idle_timeout, next_event(&mut body, &mut splitter)).await {
                Ok(Some(event)) if event.has_foreign_lines() || event.raw.starts_with(b"HTTP/") => {
                    return Err(lost("sent lines that belong to no event"));
                }
                Ok(Some(event)) if event.data == DONE => return Ok(true),
                Ok(Some(event)) => state.add_chunk(&event)?,
                Ok(None) | Err(()) => return Ok(false),
            }
        }
    }
}

/// Returns the next event that is no comment, or `None` if the stream ends or cannot be read.
async fn next_event(
    body: &mut BodyDataStream<Incoming>,
    splitter: &mut EventSplitter,
) -> Option<StreamEvent> {
    loop {
        while let Some(event) = splitter.next_event() {
            if !event.is_comment() {
                return Some(event);
            }
        }
        let data = body.next().await?.ok()?;
        if !splitter.push(&data) {
            return None;
        }
    }
}

struct StreamState<'a> {
    assembler: CompletionAssembler,
    chunks: u64,
    /// Size of the chunks.
    received_bytes: usize,
    /// Whether each chunk had its number as its id, as needed to resume the stream.
    is_numbered: bool,
    /// Whether the next chunk must have an id, because it is the first one of a resumed stream.
    must_be_numbered: bool,
    sink: &'a mut dyn GenerationSink,
}

impl StreamState<'_> {
    fn add_chunk(&mut self, event: &StreamEvent) -> Result<(), BackendError> {
        if event.data.is_empty() {
            return Ok(());
        }
        match event.id {
            Some(id) if id != self.chunks => return Err(lost("sent a part out of order")),
            None if self.must_be_numbered => {
                return Err(lost("resumed the stream without the number of a part"));
            }
            id => self.is_numbered &= id.is_some(),
        }
        self.must_be_numbered = false;
        self.received_bytes += event.data.len();
        if self.received_bytes > BACKEND_ANSWER_MAX_BYTES {
            return Err(lost("sent a completion that is too long"));
        }
        let data = std::str::from_utf8(&event.data).unwrap_or_default();
        let added = self.assembler.add(data);
        added.map_err(|_| lost("sent a part that is no chunk of the completion"))?;
        self.chunks += 1;
        self.sink.on_chunk(data);
        Ok(())
    }

    /// Prepares for a resumed stream; fails if nothing would show where it begins.
    fn resume(&mut self) -> Result<(), BackendError> {
        if !self.is_numbered {
            return Err(lost("cut a stream whose parts have no numbers"));
        }
        self.must_be_numbered = self.chunks > 0;
        self.sink.on_resumed();
        Ok(())
    }
}

#[async_trait(?Send)]
impl ModelEngine for HttpEngine {
    async fn generate(
        &self,
        call: &EngineCall,
        sink: &mut dyn GenerationSink,
    ) -> Result<BackendAnswer, BackendError> {
        let mut response = self.start(call).await?;
        let mut state = StreamState {
            assembler: CompletionAssembler::default(),
            chunks: 0,
            received_bytes: 0,
            is_numbered: true,
            must_be_numbered: false,
            sink,
        };
        let mut resumes = 0;
        while !self.read_chunks(response, &mut state).await? {
            resumes += 1;
            if resumes > RESUMES_MAX {
                return Err(lost("cut the stream too often"));
            }
            state.resume()?;
            response =
                self.resume(call, state.chunks).await.ok_or_else(|| lost("cut the stream"))?;
        }
        let usage = state.assembler.usage();
        let (true, Some(usage)) = (state.assembler.is_complete(), usage) else {
            return Err(lost("ended the stream without a finish reason and usage"));
        };
        let answer = Answer {
            status: 200,
            content_type: JSON.to_owned(),
            body: Payload(state.assembler.completion(&call.route)),
        };
        Ok(BackendAnswer { answer, usage })
    }

    async fn cancel(&self, request_id: &str) {
        self.send_empty(Method::DELETE, &format!("/v1/requests/{request_id}")).await;
    }

    async fn release(&self, program: &str) -> bool {
        let path = format!("/v1/cache/programs/{program}");
        self.send_empty(Method::DELETE, &path).await.is_some()
    }
}

fn not_run(detail: &str) -> BackendError {
    BackendError::NotRun(Refusal::not_run(
        RefusalKind::NoBackend,
        format!("the engine {detail}; repeat the call after the pause"),
    ))
}

fn lost(detail: &str) -> BackendError {
    BackendError::Lost(Refusal::may_have_run(
        RefusalKind::BackendFailed,
        format!("the engine {detail}; repeat the call with the same Idempotency-Key"),
    ))
}
