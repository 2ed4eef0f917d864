//! Stand-in for a backend server that answers each request with scripted bytes.
//!
//! The bytes are written as they are, because no HTTP server library sends answers that are
//! doubled, cut short or unframed.

use std::io::{self, BufReader, Read as _, Write as _};
use std::mem;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rustix::net::{self, sockopt};

use super::repeater::{ReceivedRequest, read_head};
use super::runner::event_data;
use crate::http::lock;

/// Time before a reset, in which the peer reads what was written; a reset discards the rest.
const RESET_DELAY: Duration = Duration::from_millis(50);
/// Time after which a connection that was not established finds the queue full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between two checks whether connections are still accepted.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// One step of a script.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Writes the text, with `{id}` replaced by the id of the request and `{previous}` by that of
    /// the request before it on the same connection.
    Write(String),
    /// Writes once more what was written in answer to the request before it on the same connection;
    /// nothing if there was none.
    RepeatPrevious,
    /// Reads the rest of the request. A script without this step begins when the request was read.
    ReadBody,
    /// Records that the request runs.
    Run,
    /// Waits.
    Pause(Duration),
    /// Closes the address, as when the process ends: new connections are refused.
    StopListening,
    /// Lets new connections wait, as when the host cannot be reached: they are not accepted.
    StopAccepting,
    /// Ends what is written in order; the connection stays open to read.
    EndWriting,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

impl Step {
    /// Creates a step that writes `text`.
    pub fn write(text: impl Into<String>) -> Self {
        Self::Write(text.into())
    }
}

/// Steps in answer to one request. The connection stays open after the last one, unless it closes
/// or resets the connection.
pub type Script = Vec<Step>;

/// A request that the stand-in received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptedRequest {
    /// Its id; empty if it has none.
    pub id: String,
    /// Number of its connection, from 0 in the order of their acceptance.
    pub connection: usize,
    /// Number of the last event that its sender has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Method and path.
    pub line: String,
}

/// The scripted backend server stand-in.
#[derive(Debug)]
pub struct ScriptedServer {
    scripts: Vec<Script>,
    received: Mutex<Vec<ScriptedRequest>>,
    run: Mutex<Vec<String>>,
    bodies: Mutex<Vec<Vec<u8>>>,
    finished: AtomicUsize,
    connections: AtomicUsize,
}

/// A bound address.
#[derive(Debug)]
struct Listener {
    socket: TcpListener,
    /// Whether the next connection is the last to be accepted.
    is_stopping: AtomicBool,
    is_accepting: AtomicBool,
}

impl ScriptedServer {
    /// Starts the stand-in on new threads; returns it and the bound address. Request number `n`
    /// over all connections is answered by `scripts[n]`, and by the last script from then on.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    ///
    /// # Panics
    ///
    /// Panics when `scripts` is empty.
    pub fn spawn(listen: SocketAddr, scripts: Vec<Script>) -> io::Result<(Arc<Self>, SocketAddr)> {
        assert!(!scripts.is_empty(), "give at least one script");
        let server = Arc::new(Self {
            scripts,
            received: Mutex::default(),
            run: Mutex::default(),
            bodies: Mutex::default(),
            finished: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
        });
        let address = server.listen(listen)?;
        Ok((server, address))
    }

    /// Starts a further server, whose requests are answered in one order with those of the others;
    /// returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn listen(self: &Arc<Self>, listen: SocketAddr) -> io::Result<SocketAddr> {
        let listener = Arc::new(Listener {
            socket: TcpListener::bind(listen)?,
            is_stopping: AtomicBool::new(false),
            is_accepting: AtomicBool::new(true),
        });
        let address = listener.socket.local_addr()?;
        let accepting = Arc::clone(self);
        thread::spawn(move || {
            // Fails once the address is closed.
            while let Ok((connection, _)) = listener.socket.accept() {
                if listener.is_stopping.load(Ordering::SeqCst) {
                    listener.is_accepting.store(false, Ordering::SeqCst);
                    // The address stays bound.
                    mem::forget(listener);
                    return;
                }
                let number = accepting.connections.fetch_add(1, Ordering::Relaxed);
                let (serving, listener) = (Arc::clone(&accepting), Arc::clone(&listener));
                // A connection ends with an error when the node closes it.
                thread::spawn(move || drop(serving.serve(&connection, number, &listener)));
            }
        });
        Ok(address)
    }

    /// Returns the requests received, in order of arrival.
    pub fn received(&self) -> Vec<ScriptedRequest> {
        lock(&self.received).clone()
    }

    /// Returns the ids of the requests that ran, in order of execution.
    pub fn executed(&self) -> Vec<String> {
        lock(&self.run).clone()
    }

    /// Returns the bodies that were read, in the order of their ends.
    pub fn bodies(&self) -> Vec<Vec<u8>> {
        lock(&self.bodies).clone()
    }

    /// Returns the number of scripts of which every step was taken.
    pub fn finished_count(&self) -> usize {
        self.finished.load(Ordering::Relaxed)
    }

    fn serve(&self, connection: &TcpStream, number: usize, listener: &Listener) -> io::Result<()> {
        let mut reader = BufReader::new(connection);
        let mut writer = connection;
        let (mut previous, mut previous_text) = (String::new(), String::new());
        while let Some(request) = read_head(&mut reader)? {
            let script = self.receive(&request, number);
            let mut is_body_read = !script.contains(&Step::ReadBody);
            if is_body_read {
                self.read_body(&mut reader, request.length)?;
            }
            let mut written = String::new();
            for step in script {
                match step {
                    Step::Write(text) => {
                        let text = text.replace("{id}", &request.id);
                        let text = text.replace("{previous}", &previous);
                        writer.write_all(text.as_bytes())?;
                        written += &text;
                    }
                    Step::RepeatPrevious => writer.write_all(previous_text.as_bytes())?,
                    Step::ReadBody if is_body_read => {}
                    Step::ReadBody => {
                        self.read_body(&mut reader, request.length)?;
                        is_body_read = true;
                    }
                    Step::Run => lock(&self.run).push(request.id.clone()),
                    Step::Pause(duration) => thread::sleep(duration),
                    Step::StopListening => net::shutdown(&listener.socket, net::Shutdown::Both)?,
                    Step::StopAccepting => listener.stop_accepting()?,
                    Step::EndWriting => connection.shutdown(Shutdown::Write)?,
                    Step::Close => return connection.shutdown(Shutdown::Both),
                    Step::Reset => {
                        thread::sleep(RESET_DELAY);
                        return Ok(sockopt::set_socket_linger(connection, Some(Duration::ZERO))?);
                    }
                }
            }
            self.finished.fetch_add(1, Ordering::Relaxed);
            (previous, previous_text) = (request.id, written);
        }
        Ok(())
    }

    /// Records a request whose head was read; returns its script.
    fn receive(&self, request: &ReceivedRequest, connection: usize) -> Script {
        let mut received = lock(&self.received);
        let script = self.scripts.get(received.len()).or(self.scripts.last());
        received.push(ScriptedRequest {
            id: request.id.clone(),
            connection,
            last_event: request.last_event,
            line: format!("{} {}", request.method, request.target),
        });
        script.cloned().unwrap_or_default()
    }

    fn read_body(&self, reader: &mut BufReader<&TcpStream>, length: u64) -> io::Result<()> {
        let mut body = Vec::new();
        reader.take(length).read_to_end(&mut body)?;
        lock(&self.bodies).push(body);
        Ok(())
    }
}

impl Listener {
    /// Ends the acceptance of connections, and fills the queue of those that wait for it.
    fn stop_accepting(&self) -> io::Result<()> {
        let address = self.socket.local_addr()?;
        net::listen(&self.socket, 0)?;
        self.is_stopping.store(true, Ordering::SeqCst);
        let _last = TcpStream::connect(address)?;
        while self.is_accepting.load(Ordering::SeqCst) {
            thread::sleep(STOP_CHECK_INTERVAL);
        }
        while let Ok(waiting) = TcpStream::connect_timeout(&address, QUEUE_FULL_TIMEOUT) {
            mem::forget(waiting);
        }
        Ok(())
    }
}

/// Returns an answer with the given status line and body, framed by its length.
#[must_use]
pub fn answer(status: &str, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nrequest-id: {{id}}\r\n{fields}content-length: {}\r\n\r\n{body}",
        body.len(),
    )
}

/// Returns the events `from` to `to` of a stream.
#[must_use]
pub fn events(from: u64, to: u64) -> String {
    let event = |id| format!("id: {id}\ndata: {}\n\n", event_data(id));
    (from..=to).map(event).collect()
}

/// Returns the head of a stream in chunks.
#[must_use]
pub fn chunked_stream_head() -> String {
    format!("{}transfer-encoding: chunked\r\n\r\n", stream_head_fields())
}

/// Returns the head of a stream that ends with its connection.
#[must_use]
pub fn unframed_stream_head() -> String {
    format!("{}connection: close\r\n\r\n", stream_head_fields())
}

fn stream_head_fields() -> &'static str {
    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: s\r\ncontent-type: text/event-stream\r\n"
}

/// Returns `text` as one chunk of a body.
#[must_use]
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// End of a body in chunks.
pub const LAST_CHUNK: &str = "0\r\n\r\n";
