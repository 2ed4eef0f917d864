//! Responses to callers.

use std::fmt::Write as _;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use dandelionfront_coordination::Refusal;
use dandelionfront_platform::headers::{self, REQUEST_ID};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use ntex::http::body::BodySize;
use ntex::http::h1::{Codec, Message};
use ntex::http::header::HeaderValue;
use ntex::http::{ConnectionType, Response};
use ntex::io::Io;

use crate::consts::JSON;
use crate::request::answer::refusal_json;

/// Length of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// Known in advance, in bytes.
    Known(u64),
    /// Sent in chunks; a missing last chunk shows the caller that the body is incomplete.
    Chunked,
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
    io: &'a Io,
    codec: &'a Codec,
    begun: Option<ResponseForm>,
    is_complete: bool,
    closes_connection: bool,
}

impl<'a> Responder<'a> {
    /// Creates a responder to the request that was last read from `io`.
    #[must_use]
    pub fn new(io: &'a Io, codec: &'a Codec) -> Self {
        Self { io, codec, begun: None, is_complete: false, closes_connection: false }
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

    /// Returns whether the complete response was written to the connection's buffer.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Sends a response head with a backend server's status and those of its headers that callers
    /// receive.
    ///
    /// # Errors
    ///
    /// Fails when the head cannot be encoded or a head was already sent.
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
            BodyLength::Chunked => BodySize::Stream,
        };
        self.begun = Some(form);
        self.io.encode(Message::Item((response, size)), self.codec).map_err(io::Error::other)
    }

    /// Sends a chunk of the body; waits for space in the write buffer when the caller reads slowly.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed.
    pub async fn send_chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let chunk = ntex::util::Bytes::copy_from_slice(&bytes);
        self.io.encode(Message::Chunk(Some(chunk)), self.codec).map_err(io::Error::other)?;
        self.io.flush(false).await
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.io.encode(Message::Chunk(None), self.codec).map_err(io::Error::other)?;
        self.is_complete = true;
        self.io.flush(false).await
    }

    /// Sends a refusal as a complete response.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed or a response head was already sent.
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
