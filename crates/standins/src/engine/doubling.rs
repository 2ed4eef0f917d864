//! Stand-in for a model engine that refuses its first request and sends a second copy of each
//! answer, late.
//!
//! The copy is written when the next request arrives on the same connection, before that request's
//! own answer.

use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::http::lock;
use crate::site::repeater::read_request;

/// Refusal of a request without executing it.
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
/// Answer to a request that is no completion.
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// The doubling model engine stand-in.
#[derive(Debug, Default)]
pub struct DoublingEngine {
    received: Mutex<Vec<String>>,
}

impl DoublingEngine {
    /// Starts the stand-in on new threads; returns it and the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn spawn(listen: SocketAddr) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let engine = Arc::new(Self::default());
        let accepting = Arc::clone(&engine);
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let serving = Arc::clone(&accepting);
                // A connection ends with an error when the node closes it.
                thread::spawn(move || drop(serving.serve(&connection)));
            }
        });
        Ok((engine, address))
    }

    /// Returns the ids of the executed completions, in order of execution.
    pub fn executed(&self) -> Vec<String> {
        lock(&self.received).iter().skip(1).cloned().collect()
    }

    fn serve(&self, connection: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(connection);
        let mut writer = connection;
        let mut previous = String::new();
        while let Some(request) = read_request(&mut reader)? {
            writer.write_all(previous.as_bytes())?;
            // The memory of an ended program is released at any time.
            if request.method != "post" {
                writer.write_all(NO_CONTENT.as_bytes())?;
                NO_CONTENT.clone_into(&mut previous);
                continue;
            }
            let is_first = {
                let mut received = lock(&self.received);
                received.push(request.id);
                received.len() == 1
            };
            let answer = if is_first { REFUSAL.to_owned() } else { completion() };
            writer.write_all(answer.as_bytes())?;
            previous = answer;
        }
        Ok(())
    }
}

/// Returns an answer with a whole stream of one word.
fn completion() -> String {
    let stream = chunk_events(0, &["word"]) + &last_events(1);
    let length = stream.len();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n{stream}"
    )
}

/// Returns the events of a completion's words, numbered from `first`.
#[must_use]
pub fn chunk_events(first: usize, words: &[&str]) -> String {
    let event = |(index, word): (usize, &&str)| {
        let choice =
            format!(r#"{{"index":0,"delta":{{"content":"{word}"}},"finish_reason":null}}"#);
        chunk_event(first + index, &choice, "null")
    };
    words.iter().enumerate().map(event).collect()
}

/// Returns the events that end a stream: the chunk numbered `id` with the finish reason, and the
/// mark of the end.
#[must_use]
pub fn last_events(id: usize) -> String {
    let usage = r#"{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}"#;
    let choice = r#"{"index":0,"delta":{},"finish_reason":"stop"}"#;
    chunk_event(id, choice, usage) + "data: [DONE]\n\n"
}

fn chunk_event(id: usize, choice: &str, usage: &str) -> String {
    format!(
        "id: {id}\ndata: {{\"id\":\"chatcmpl-1\",\"created\":0,\"choices\":[{choice}],\"usage\":{usage}}}\n\n"
    )
}
