//! Stand-in for a backend server that sends a second copy of each answer, late.
//!
//! The copy is sent when the next request arrives on the same connection, before that request's own
//! answer. It is written byte by byte, because no HTTP server library sends such answers.

use std::collections::HashSet;
use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::http::lock;

/// Settings of the stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepeaterSettings {
    /// Instance identifier, used in signatures.
    pub id: String,
    /// Whether the first arrival of each request is refused without executing it.
    pub refuses_first: bool,
}

/// The repeating backend server stand-in.
#[derive(Debug)]
pub struct Repeater {
    settings: RepeaterSettings,
    refused: Mutex<HashSet<String>>,
    executed: Mutex<Vec<String>>,
    copies: Mutex<u64>,
}

impl Repeater {
    /// Starts the stand-in on new threads; returns it and the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn spawn(
        listen: SocketAddr,
        settings: RepeaterSettings,
    ) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let repeater = Arc::new(Self {
            settings,
            refused: Mutex::default(),
            executed: Mutex::default(),
            copies: Mutex::default(),
        });
        let accepting = Arc::clone(&repeater);
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let serving = Arc::clone(&accepting);
                // A connection ends with an error when the node closes it.
                thread::spawn(move || drop(serving.serve(&connection)));
            }
        });
        Ok((repeater, address))
    }

    /// Returns the ids of the executed requests, in order of execution.
    pub fn executed(&self) -> Vec<String> {
        lock(&self.executed).clone()
    }

    /// Returns the number of second copies that were sent.
    pub fn copy_count(&self) -> u64 {
        *lock(&self.copies)
    }

    fn serve(&self, connection: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(connection);
        let mut writer = connection;
        let mut previous: Option<String> = None;
        while let Some(ReceivedRequest { id, .. }) = read_request(&mut reader)? {
            if let Some(copy) = previous {
                *lock(&self.copies) += 1;
                writer.write_all(copy.as_bytes())?;
            }
            let answer = self.answer(&id);
            writer.write_all(answer.as_bytes())?;
            previous = Some(answer);
        }
        Ok(())
    }

    fn answer(&self, id: &str) -> String {
        if self.settings.refuses_first && lock(&self.refused).insert(id.to_owned()) {
            return format!(
                "HTTP/1.1 503 Service Unavailable\r\nrequest-id: {id}\r\nnot-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            );
        }
        lock(&self.executed).push(id.to_owned());
        format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: {}\r\ncontent-length: {}\r\n\r\n{id}",
            self.settings.id,
            id.len(),
        )
    }
}

/// A request as read from a connection.
pub(crate) struct ReceivedRequest {
    /// Its id; empty if it has none.
    pub(crate) id: String,
    /// Method, in lower case.
    pub(crate) method: String,
    /// Path and query, in lower case.
    pub(crate) target: String,
    /// Id of the last event that its sender has, if it resumes a stream.
    pub(crate) last_event: Option<u64>,
    /// Length of its body, in bytes.
    pub(crate) length: u64,
}

/// Reads a request with a declared length; returns `None` at the end of the connection.
pub(crate) fn read_request(
    reader: &mut BufReader<&TcpStream>,
) -> io::Result<Option<ReceivedRequest>> {
    let Some(request) = read_head(reader)? else { return Ok(None) };
    io::copy(&mut reader.take(request.length), &mut io::sink())?;
    Ok(Some(request))
}

/// Reads a request up to its body; returns `None` at the end of the connection.
pub(super) fn read_head(reader: &mut BufReader<&TcpStream>) -> io::Result<Option<ReceivedRequest>> {
    let (mut id, mut start, mut last_event, mut length) = (None, None, None, 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if start.is_none() {
            let mut words = line.split(' ').map(str::to_owned);
            start = Some((words.next().unwrap_or_default(), words.next().unwrap_or_default()));
        } else if let Some((name, value)) = line.split_once(':') {
            match name {
                "request-id" => id = Some(value.trim().to_owned()),
                "last-event-id" => last_event = value.trim().parse().ok(),
                "content-length" => length = value.trim().parse().unwrap_or_default(),
                _ => {}
            }
        }
    }
    let (id, (method, target)) = (id.unwrap_or_default(), start.unwrap_or_default());
    Ok(Some(ReceivedRequest { id, method, target, last_event, length }))
}
