//! Responses to callers.

use std::fmt::Write as _;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dandelionfront_coordination::Refusal;
use dandelionfront_coordination::holdings::Stage;
use dandelionfront_platform::headers::{self, REQUEST_ID};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, StatusCode, Version};
use ntex::http::body::BodySize;
use ntex::http::h1::Message;
use ntex::http::header::HeaderValue;
use ntex::http::{ConnectionType, Response};
use tokio::time::timeout_at;

use super::caller::CallerConnection;
use crate::consts::{JSON, TIME_LIMIT_DEFAULT};
use crate::request::answer::refusal_json;

/// Length of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// Known in advance, in bytes.
    Known(u64),
    /// Not known in advance. A missing last chunk shows the caller that the body is incomplete; an
    /// HTTP/1.0 caller knows no chunks, and a reset of the connection shows it.
    Unknown,
}

/// Form of a response, which its head settles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseForm {
    /// An event stream, which the events of further answers may continue.
    Stream,
    /// A body, which belongs to a single answer.
    Body,
}

/// Writes one response to a caller's connection.
pub struct Responder<'a> {
    connection: &'a CallerConnection,
    /// HTTP version of the request.
    version: Version,
    /// Time until which the caller must have read enough for the response to fit into the buffer.
    deadline: Instant,
    begun: Option<ResponseForm>,
    /// Whether the end of the connection is the end of the body.
    ends_with_connection: bool,
    is_complete: bool,
    closes_connection: bool,
}

impl<'a> Responder<'a> {
    /// Creates a responder to the request of `version` that was last read from `connection`.
    #[must_use]
    pub fn new(connection: &'a CallerConnection, version: Version) -> Self {
        Self {
            connection,
            version,
            deadline: Instant::now() + TIME_LIMIT_DEFAULT,
            begun: None,
            ends_with_connection: false,
            is_complete: false,
            closes_connection: false,
        }
    }

    /// Sets the time after which a caller that does not read holds the response no longer.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = deadline;
    }

    /// Announces in the response head that the connection closes after the response.
    pub fn close_after_response(&mut self) {
        self.closes_connection = true;
    }

    /// Returns whether the response head announces that the connection closes after the response.
    #[must_use]
    pub fn announces_close(&self) -> bool {
        self.closes_connection
    }

    /// Returns whether the response head was written to the connection's buffer.
    #[must_use]
    pub fn is_head_sent(&self) -> bool {
        self.begun.is_some()
    }

    /// Returns what the response has begun as; `None` until its head is sent.
    #[must_use]
    pub fn begun(&self) -> Option<ResponseForm> {
        self.begun
    }

    /// Returns whether the complete response was written to the connection's buffer, or to the
    /// socket if it ends with the connection.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Sends a response head with a backend server's status and those of its headers that callers
    /// receive.
    ///
    /// # Errors
    ///
    /// Fails when the head cannot be encoded, a head was already sent or the connection cannot be
    /// set to be reset.
    pub fn send_head(
        &mut self,
        status: StatusCode,
        received: &HeaderMap,
        form: ResponseForm,
        length: BodyLength,
    ) -> io::Result<()> {
        let connection =
            received.get(http::header::CONNECTION).and_then(|value| value.to_str().ok());
        let connection = connection.unwrap_or_default();
        let mut response = Response::new(status).drop_body();
        for (name, value) in received {
            if headers::is_returned(name.as_str(), connection)
                && let Ok(value) = HeaderValue::from_bytes(value.as_bytes())
            {
                response.headers_mut().append(name.clone(), value);
            }
        }
        self.encode_head(response, form, length)
    }

    fn encode_head(
        &mut self,
        mut response: Response<()>,
        form: ResponseForm,
        length: BodyLength,
    ) -> io::Result<()> {
        // The caller would read a second head as a part of the body.
        if self.begun.is_some() {
            return Err(io::Error::other("the head of the response was already sent"));
        }
        if self.closes_connection {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let size = match length {
            BodyLength::Known(0) => BodySize::Empty,
            BodyLength::Known(bytes) => BodySize::Sized(bytes),
            BodyLength::Unknown => BodySize::Stream,
        };
        if size == BodySize::Stream && self.version < Version::HTTP_11 {
            response.head_mut().no_chunking(true);
            response.head_mut().set_connection_type(ConnectionType::Close);
            self.connection.set_reset_on_close(true)?;
            self.ends_with_connection = true;
        }
        self.begun = Some(form);
        self.encode(Message::Item((response, size)))
    }

    fn encode(&self, message: Message<(Response<()>, BodySize)>) -> io::Result<()> {
        let CallerConnection { io, codec, .. } = self.connection;
        io.encode(message, codec).map_err(io::Error::other)
    }

    /// Waits for space in the write buffer, or until it is empty if `full`.
    async fn flush(&self, full: bool) -> io::Result<()> {
        let mut flushing = pin!(self.connection.io.flush(full));
        if let Poll::Ready(flushed) = poll_fn(|cx| Poll::Ready(flushing.as_mut().poll(cx))).await {
            return flushed;
        }
        let holding = &self.connection.holding;
        let stage = |stage| holding.set_stage(stage, Instant::now()).map_err(io::Error::other);
        let before = stage(Stage::Answering)?;
        let flushed = timeout_at(self.deadline.into(), flushing).await.map_err(|_| {
            io::Error::new(io::ErrorKind::TimedOut, "the caller did not read it in time")
        })?;
        stage(before)?;
        flushed
    }

    /// Sends a chunk of the body; waits for space in the write buffer when the caller reads slowly.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed or the deadline passes.
    pub async fn send_chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let chunk = ntex::util::Bytes::copy_from_slice(&bytes);
        self.encode(Message::Chunk(Some(chunk)))?;
        self.flush(false).await
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed or the deadline passes.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.encode(Message::Chunk(None))?;
        self.flush(self.ends_with_connection).await?;
        if self.ends_with_connection {
            self.connection.set_reset_on_close(false)?;
        }
        self.is_complete = true;
        Ok(())
    }

    /// Sends a refusal as a complete response.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed, the deadline passes or a response head was already
    /// sent.
    pub async fn refuse(&mut self, request_id: &str, refusal: &Refusal) -> io::Result<()> {
        let status = StatusCode::from_u16(refusal.kind.http_status());
        let mut response =
            Response::new(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)).drop_body();
        let fields = response.headers_mut();
        fields.insert(CONTENT_TYPE, HeaderValue::from_static(JSON));
        if let Ok(value) = HeaderValue::from_str(request_id) {
            fields.insert(REQUEST_ID, value);
        }
        if let Some(retry_after_ms) = refusal.retry_after_ms
            && let Ok(value) =
                HeaderValue::from_str(&seconds(Duration::from_millis(retry_after_ms)))
        {
            fields.insert(RETRY_AFTER, value);
        }
        let body = Bytes::from(refusal_json(refusal));
        self.encode_head(response, ResponseForm::Body, BodyLength::Known(body.len() as u64))?;
        self.send_chunk(body).await?;
        self.finish().await
    }
}

/// Formats a duration as seconds with three decimals.
fn seconds(duration: Duration) -> String {
    let mut text = String::new();
    let _ = write!(text, "{:.3}", duration.as_secs_f64());
    text
}
