//! Stand-in for a backend server whose process ends when it runs certain requests.

use std::io::{self, BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::repeater::{ReceivedRequest, read_request};
use crate::http::lock;

/// Interval between two checks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Settings of the crashing backend server stand-in.
#[derive(Debug, Clone)]
pub struct CrashingSettings {
    /// The process ends when it runs a request whose path contains this text.
    pub deadly_path: String,
    /// Time from the arrival of a deadly request to the end of the process.
    pub crash_delay: Duration,
    /// Whether the answer to a deadly request begins before the process ends.
    pub begins_answer: bool,
    /// Time from the arrival of any other request to its answer.
    pub answer_delay: Duration,
    /// Number of events in the answer to a request whose path contains `/stream/`.
    pub event_count: u64,
}

/// The crashing backend server stand-in. Once its process has "ended", nothing listens at its
/// address and its connections are closed.
#[derive(Debug)]
pub struct CrashingServer {
    settings: CrashingSettings,
    is_harmless: AtomicBool,
    has_ended: AtomicBool,
    is_listening: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Paths of the requests received.
    received: Mutex<Vec<String>>,
    /// Number of deadly requests whose answers have begun.
    answers_begun: AtomicUsize,
}

impl CrashingServer {
    /// Starts the stand-in on new threads; returns it and the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn spawn(
        listen: SocketAddr,
        settings: CrashingSettings,
    ) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let server = Arc::new(Self {
            settings,
            is_harmless: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            is_listening: AtomicBool::new(true),
            connections: Mutex::default(),
            received: Mutex::default(),
            answers_begun: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || accepting.accept(listener));
        Ok((server, address))
    }

    /// Sets whether deadly requests are answered as any other.
    pub fn set_harmless(&self, is_harmless: bool) {
        self.is_harmless.store(is_harmless, Ordering::SeqCst);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Returns the paths of the requests received, in order of arrival.
    pub fn received(&self) -> Vec<String> {
        lock(&self.received).clone()
    }

    /// Returns the number of deadly requests received.
    pub fn deadly_received(&self) -> usize {
        let deadly_path = &self.settings.deadly_path;
        lock(&self.received).iter().filter(|path| path.contains(deadly_path)).count()
    }

    /// Returns the number of deadly requests whose answers have begun.
    pub fn answers_begun(&self) -> usize {
        self.answers_begun.load(Ordering::SeqCst)
    }

    /// Ends the process: nothing listens anymore, and then the connections are closed.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        while self.is_listening.load(Ordering::SeqCst) {
            thread::sleep(ACCEPT_INTERVAL);
        }
        for connection in lock(&self.connections).drain(..) {
            // Fails if the peer has closed the connection.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        while !self.has_ended() {
            let Ok((connection, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let Ok(kept) = connection.try_clone() else { continue };
            lock(&self.connections).push(kept);
            let serving = Arc::clone(&self);
            // Fails when the process ends.
            thread::spawn(move || serving.serve(&connection));
        }
        drop(listener);
        self.is_listening.store(false, Ordering::SeqCst);
    }

    fn serve(&self, connection: &TcpStream) -> io::Result<()> {
        connection.set_nonblocking(false)?;
        let mut reader = BufReader::new(connection);
        let mut writer = connection;
        while let Some(ReceivedRequest { id, target, .. }) = read_request(&mut reader)? {
            lock(&self.received).push(target.clone());
            let is_deadly = target.contains(&self.settings.deadly_path)
                && !self.is_harmless.load(Ordering::SeqCst);
            if is_deadly {
                if self.settings.begins_answer {
                    writer.write_all(self.answer_part(&id, &target).as_bytes())?;
                    self.answers_begun.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(self.settings.crash_delay);
                self.end();
                return Ok(());
            }
            thread::sleep(self.settings.answer_delay);
            writer.write_all(self.answer(&id, &target).as_bytes())?;
        }
        Ok(())
    }

    /// Returns an answer without its last byte.
    fn answer_part(&self, id: &str, target: &str) -> String {
        let mut answer = self.answer(id, target);
        answer.pop();
        answer
    }

    fn answer(&self, id: &str, target: &str) -> String {
        let (content_type, body) = if target.contains("/stream/") {
            let event = |number| format!("id: {number}\ndata: token-{number}\n\n");
            ("text/event-stream", (1..=self.settings.event_count).map(event).collect())
        } else {
            ("text/plain", id.to_owned())
        };
        format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: s\r\ncontent-type: {content_type}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len(),
        )
    }
}
