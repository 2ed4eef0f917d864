//! Answers as the bytes that a caller receives.

use std::fmt::Write as _;
use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use super::site::{Call, HOST, Site};

/// Longest wait for the next bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// What a caller received on a connection before it was closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RawAnswer {
    /// One whole answer and nothing else.
    Whole { status: u16, body: String },
    /// The beginning of an answer that a caller can tell from a whole one.
    BrokenOff { status: Option<u16>, body: String },
    /// Bytes that are not one answer; holds the cause and the bytes.
    Malformed { cause: String, bytes: String },
}

impl RawAnswer {
    /// Returns the body as far as it arrived.
    ///
    /// # Panics
    ///
    /// Panics when the answer is malformed.
    pub fn body(&self) -> &str {
        match self {
            Self::Whole { body, .. } | Self::BrokenOff { body, .. } => body,
            Self::Malformed { cause, bytes } => panic!("{cause}: {bytes}"),
        }
    }

    fn parse(bytes: &[u8], is_reset: bool) -> Self {
        match Self::parse_text(&String::from_utf8_lossy(bytes), is_reset) {
            Ok(answer) => answer,
            Err(cause) => {
                Self::Malformed { cause, bytes: String::from_utf8_lossy(bytes).into_owned() }
            }
        }
    }

    fn parse_text(text: &str, is_reset: bool) -> Result<Self, String> {
        let Some((head, rest)) = text.split_once("\r\n\r\n") else {
            return Ok(Self::BrokenOff { status: None, body: String::new() });
        };
        let head = head.to_ascii_lowercase();
        let status = head.strip_prefix("http/1.1 ").and_then(|line| line.get(..3)?.parse().ok());
        let status: u16 = status.ok_or("no status line")?;
        if matches!(status, 204 | 304) {
            let whole = || Self::Whole { status, body: String::new() };
            return rest.is_empty().then(whole).ok_or(format!("bytes after the answer: {rest}"));
        }
        let field = |name: &str| {
            let mut fields = head.lines().filter_map(|line| line.split_once(": "));
            fields.find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
        };
        let (body, end) = match (field("content-length"), field("transfer-encoding")) {
            (Some(_), Some(_)) => return Err("two framings".to_owned()),
            (Some(length), None) => take_sized(rest, &length)?,
            (None, Some(_)) => take_chunks(rest)?,
            (None, None) => (rest.to_owned(), (!is_reset).then_some("")),
        };
        match end {
            None => Ok(Self::BrokenOff { status: Some(status), body }),
            Some("") => Ok(Self::Whole { status, body }),
            Some(more) => Err(format!("bytes after the answer: {more}")),
        }
    }
}

/// Takes a body with a declared length; returns it, and what follows if it is whole.
fn take_sized<'a>(text: &'a str, length: &str) -> Result<(String, Option<&'a str>), String> {
    let length: usize = length.parse().map_err(|error| format!("a length: {error}"))?;
    let body = &text[..length.min(text.len())];
    Ok((body.to_owned(), text.get(length..)))
}

/// Takes a body in chunks; returns its data, and what follows if it is whole.
fn take_chunks(mut text: &str) -> Result<(String, Option<&str>), String> {
    let mut body = String::new();
    loop {
        let Some((size, rest)) = text.split_once("\r\n") else {
            let is_size = text.chars().all(|digit| digit.is_ascii_hexdigit() || digit == '\r');
            let cause = || format!("a chunk's size can't be read: {text}");
            return is_size.then_some((body, None)).ok_or_else(cause);
        };
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| format!("a chunk's size can't be read: {size}"))?;
        let Some(data) = rest.get(..size) else {
            body.push_str(rest);
            return Ok((body, None));
        };
        body.push_str(data);
        let rest = &rest[size..];
        let Some(rest) = rest.strip_prefix("\r\n") else {
            let cause = || format!("a chunk does not end: {rest}");
            return "\r\n".starts_with(rest).then_some((body, None)).ok_or_else(cause);
        };
        if size == 0 {
            return Ok((body, Some(rest)));
        }
        text = rest;
    }
}

/// An answer of which the beginning has arrived.
pub struct BegunAnswer {
    connection: TcpStream,
    bytes: Vec<u8>,
}

impl BegunAnswer {
    /// Reads the rest of the answer.
    pub async fn finish(mut self) -> RawAnswer {
        let received = ntex::rt::spawn_blocking(move || {
            let is_reset = read_rest(&mut self.connection, &mut self.bytes)?;
            io::Result::Ok(RawAnswer::parse(&self.bytes, is_reset))
        });
        received.await.expect("no panic").expect("the connection ends")
    }
}

impl Site {
    /// Sends a request to a node on a connection of its own, and reads until the connection ends.
    pub async fn receive_raw(&self, node: usize, call: &Call<'_>) -> RawAnswer {
        self.receive_raw_until(node, call, "").await.finish().await
    }

    /// Sends a request to a node on a connection of its own, and reads until `part` has arrived.
    ///
    /// # Panics
    ///
    /// Panics when the connection ends before.
    pub async fn receive_raw_until(&self, node: usize, call: &Call<'_>, part: &str) -> BegunAnswer {
        let mut request = format!("{} {} HTTP/1.1\r\nhost: {HOST}\r\n", call.method, call.path);
        let fixed = [
            ("request-id", call.id),
            ("deadline-ms", "4000"),
            ("key", call.key),
            ("connection", "close"),
        ];
        for (name, value) in fixed.iter().chain(call.headers) {
            write!(request, "{name}: {value}\r\n").expect("a string");
        }
        let length = call.body.len();
        write!(request, "content-length: {length}\r\n\r\n{}", call.body).expect("a string");
        let (address, part) = (self.nodes[node].listen.clone(), part.to_owned());
        let begun = ntex::rt::spawn_blocking(move || begin_exchange(&address, &request, &part));
        begun.await.expect("no panic").expect("the node answers")
    }
}

/// Sends `request` and reads until `part` has arrived.
fn begin_exchange(address: &str, request: &str, part: &str) -> io::Result<BegunAnswer> {
    let mut connection = TcpStream::connect(address)?;
    connection.set_read_timeout(Some(READ_TIMEOUT))?;
    connection.write_all(request.as_bytes())?;
    let (mut bytes, mut buffer) = (Vec::new(), [0; 8 * 1024]);
    while !String::from_utf8_lossy(&bytes).contains(part) {
        match connection.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => bytes.extend_from_slice(&buffer[..length]),
        }
    }
    Ok(BegunAnswer { connection, bytes })
}

/// Reads the bytes that arrive until the connection ends; returns whether it was reset.
fn read_rest(connection: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<bool> {
    match connection.read_to_end(bytes) {
        Ok(_) => Ok(false),
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Ok(true),
        Err(error) => Err(error),
    }
}
