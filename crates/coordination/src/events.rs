//! Incremental parser for a stream of server-sent events.

use std::collections::VecDeque;

/// A complete event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event as received, including the empty line that ends it.
    pub raw: Vec<u8>,
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: Vec<u8>,
}

impl StreamEvent {
    /// Returns whether the event consists of comments and empty lines only, as sent to keep a
    /// connection open.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        self.raw.split(|byte| *byte == b'\n').all(|line| matches!(line, [] | b"\r" | [b':', ..]))
    }

    /// Returns whether the event names its id twice or, after its first line, has other fields than
    /// those of events, as when another answer follows on the connection in the middle of an event.
    #[must_use]
    pub fn has_foreign_lines(&self) -> bool {
        let lines = || {
            let lines = self.raw.split(|byte| *byte == b'\n');
            lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
        };
        let id_count = lines().filter(|line| field(line, b"id").is_some()).count();
        id_count > 1 || lines().skip(1).any(|line| !is_event_line(line))
    }
}

/// Maximum size of an incomplete event in the buffer; events of model engines are below 1 kB.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    events: VecDeque<StreamEvent>,
}

impl EventSplitter {
    /// Appends bytes; returns `false` if the incomplete event at the end exceeds the maximum size,
    /// after which the caller must stop reading the stream.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = event_length(&self.partial[start..]) {
            let raw = self.partial[start..start + length].to_vec();
            self.events.push_back(parse(raw));
            start += length;
        }
        self.partial.drain(..start);
        self.partial.len() <= EVENT_MAX_BYTES
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        self.events.pop_front()
    }

    /// Returns whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Returns the length of the first event including its empty line, or `None` if incomplete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

fn parse(raw: Vec<u8>) -> StreamEvent {
    let (mut id, mut data, mut has_data) = (None, Vec::new(), false);
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"data") {
            if has_data {
                data.push(b'\n');
            }
            data.extend_from_slice(value);
            has_data = true;
        } else if let Some(value) = field(line, b"id") {
            id = std::str::from_utf8(value).ok().and_then(|value| value.trim().parse().ok());
        }
    }
    StreamEvent { raw, id, data }
}

/// Returns whether a line is empty, a comment or a field of an event.
fn is_event_line(line: &[u8]) -> bool {
    let is_field = |name: &&[u8]| *name == line || field(line, name).is_some();
    let names: [&[u8]; 4] = [b"id", b"data", b"event", b"retry"];
    line.is_empty() || line.starts_with(b":") || names.iter().any(is_field)
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
