//! Classifies answers of backend servers by their heads.

use std::fmt;
use std::net::SocketAddr;

use dandelionfront_platform::headers;
use http::{HeaderMap, Response, StatusCode, header};
use hyper::body::{Body as _, Incoming};

use crate::consts::STATUS_END;

/// Classification of a response by its head.
#[derive(Debug)]
pub enum ResponseKind {
    /// The backend server states that it did not run the request.
    NotRun(StatusCode),
    /// A valid answer to this request, to be forwarded to the caller.
    Valid,
    /// Not a valid answer to this request. The connection must be closed.
    Invalid(AnswerFault),
}

/// Reason why an answer, or the rest of one, does not reach the caller; also the label of the
/// counter of such answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
    /// It names another request.
    OtherRequest,
    /// It names no request.
    NoRequest,
    /// It is an interim response where only a final one is valid.
    Interim,
    /// Its status is not one of HTTP.
    InvalidStatus,
    /// Its body is encoded.
    Encoded,
    /// It is a success without a signature.
    Unsigned,
    /// Its status promises that the request has not run, which the backend server did not state.
    FalsePromise,
    /// Its body ended early, or not at all before the deadline.
    Incomplete,
    /// It does not continue the stream that the caller has begun to receive.
    NoContinuation,
}

impl AnswerFault {
    /// Returns the label for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::OtherRequest => "other_request",
            Self::NoRequest => "no_request",
            Self::Interim => "interim",
            Self::InvalidStatus => "invalid_status",
            Self::Encoded => "encoded",
            Self::Unsigned => "unsigned",
            Self::FalsePromise => "false_promise",
            Self::Incomplete => "incomplete",
            Self::NoContinuation => "unrelated",
        }
    }
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::OtherRequest => "it names another request",
            Self::NoRequest => "it names no request",
            Self::Interim => "it is an interim response",
            Self::InvalidStatus => "its status is not one of HTTP",
            Self::Encoded => "its body is encoded",
            Self::Unsigned => "it bears no signature",
            Self::FalsePromise => "it promises what the backend server did not",
            Self::Incomplete => "it is incomplete",
            Self::NoContinuation => "it does not continue the stream",
        })
    }
}

/// Request that an answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Echo {
    /// The request to which an answer is expected.
    Own,
    /// Another request, also beside its own.
    Other,
    /// None.
    Missing,
}

impl Echo {
    fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Missing => "missing",
        }
    }
}

/// What marks the end of an answer's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Its length, which is zero for an answer without a body.
    Length,
    /// Its last chunk.
    Chunked,
    /// The end of the connection.
    Unframed {
        /// Node through which the connection goes.
        via: Option<SocketAddr>,
    },
}

impl Framing {
    fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Unframed { .. } => "unframed",
        }
    }
}

/// What the head of an answer tells; its `Display` is a part of log lines.
#[derive(Debug, Clone, Copy)]
pub struct AnswerHead {
    /// Status.
    pub status: StatusCode,
    /// Request that the answer names.
    pub echo: Echo,
    /// What marks the end of the body.
    pub framing: Framing,
}

impl AnswerHead {
    /// Reads the head of an answer to the request with the given id, on a connection through the
    /// node `via`.
    #[must_use]
    pub fn read(response: &Response<Incoming>, request_id: &str, via: Option<SocketAddr>) -> Self {
        let mut echoed = response.headers().get_all(headers::REQUEST_ID).iter().peekable();
        let echo = if echoed.peek().is_none() {
            Echo::Missing
        } else if echoed.all(|id| id.as_bytes() == request_id.as_bytes()) {
            Echo::Own
        } else {
            Echo::Other
        };
        let body = response.body();
        let framing = if body.is_end_stream() || body.size_hint().exact().is_some() {
            Framing::Length
        } else if response.headers().contains_key(header::TRANSFER_ENCODING) {
            Framing::Chunked
        } else {
            Framing::Unframed { via }
        };
        Self { status: response.status(), echo, framing }
    }
}

impl fmt::Display for AnswerHead {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (status, echo, framing) =
            (self.status.as_u16(), self.echo.label(), self.framing.label());
        write!(formatter, "status={status} echo={echo} framing={framing}")
    }
}

/// Classifies a response by its head.
#[must_use]
pub fn classify(response: &Response<Incoming>, head: AnswerHead) -> ResponseKind {
    let fields = response.headers();
    let status = head.status;
    // What names no request may have been sent for an earlier one, refusals included.
    match head.echo {
        Echo::Own => {}
        Echo::Other => return ResponseKind::Invalid(AnswerFault::OtherRequest),
        Echo::Missing => return ResponseKind::Invalid(AnswerFault::NoRequest),
    }
    if fields.contains_key(headers::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseKind::NotRun(status);
    }
    // Only 101 gets here, and no request asks for another protocol.
    if status.is_informational() {
        return ResponseKind::Invalid(AnswerFault::Interim);
    }
    if status.as_u16() >= STATUS_END {
        return ResponseKind::Invalid(AnswerFault::InvalidStatus);
    }
    if fields.contains_key(header::CONTENT_ENCODING) || has_other_encoding_than_chunked(fields) {
        return ResponseKind::Invalid(AnswerFault::Encoded);
    }
    // Only the presence of the signature is checked.
    if status.is_success() && !fields.contains_key(headers::SERVER_SIGNATURE) {
        return ResponseKind::Invalid(AnswerFault::Unsigned);
    }
    if matches!(status.as_u16(), 408 | 429 | 503) {
        // Callers take these statuses to mean that the request did not run, but the backend server
        // did not send the header that states it.
        return ResponseKind::Invalid(AnswerFault::FalsePromise);
    }
    ResponseKind::Valid
}

/// Returns whether the `Transfer-Encoding` of a response names more than chunks.
fn has_other_encoding_than_chunked(fields: &HeaderMap) -> bool {
    let mut encodings = fields.get_all(header::TRANSFER_ENCODING).iter();
    encodings.any(|value| !value.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Returns the idle timeout in seconds from the `Keep-Alive` header of a response.
#[must_use]
pub fn keep_alive_seconds(response: &Response<Incoming>) -> Option<u64> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|field| field.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}
