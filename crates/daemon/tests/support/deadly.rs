//! A site with backend servers that end when they run certain requests.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use dandelionfront_standins::site::{CrashingServer, CrashingSettings};

use super::http::{Reply, eventually};
use super::site::{ALPHA_KEY, Call, EVENTS_PER_STREAM, HOST, Site};

/// Number of nodes.
pub const NODES: usize = 4;
/// Number of backend servers of the service that gets the deadly request.
pub const SERVERS: usize = 14;
/// Number of servers that a deadly request may end: three until it is known as such, and one for
/// each of three more tries that the users' rule allows.
pub const ENDED_MAX: usize = 6;
/// Number of times that the deadly request is sent.
pub const REPETITIONS: usize = 24;
/// Number of times that a caller sends a request until it is served.
const CALLER_ATTEMPTS_MAX: usize = 6;

/// Returns settings of servers that end soon after they have received a deadly request.
pub fn crashing_settings() -> CrashingSettings {
    CrashingSettings {
        deadly_path: "/deadly".to_owned(),
        crash_delay: Duration::from_millis(20),
        begins_answer: false,
        answer_delay: Duration::from_millis(60),
        event_count: EVENTS_PER_STREAM,
    }
}

/// A site in which one service consists of servers that crash.
pub struct DeadlySite {
    pub site: Site,
    pub servers: Vec<Arc<CrashingServer>>,
}

impl DeadlySite {
    pub async fn start(path: &str) -> Self {
        Self::start_with(path, crashing_settings()).await
    }

    /// Starts a site whose servers for `path` have the given settings.
    pub async fn start_with(path: &str, settings: CrashingSettings) -> Self {
        let site = Site::start(NODES).await;
        let (service, known) = if path.starts_with("/stream") {
            ("geo", &site.engines)
        } else {
            ("desk", &site.services)
        };
        for known in known {
            site.put_row("servers", &known.id, None).await;
        }
        let any_port = "127.0.0.1:0".parse().expect("valid");
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let (server, address) =
                CrashingServer::spawn(any_port, settings.clone()).expect("starts");
            let id = format!("crashing-{number}");
            site.put_server(&id, &address.to_string(), service, "ready").await;
            servers.push(server);
        }
        let deadly = Self { site, servers };
        deadly.wait_for_servers().await;
        deadly
    }

    /// Waits until every node knows the servers.
    pub async fn wait_for_servers(&self) {
        let line = format!("dandelionfront_servers {}\n", SERVERS + 2);
        for node in 0..self.site.nodes.len() {
            eventually("the node knows the servers", async || {
                self.site.metrics(node).await.contains(&line).then_some(())
            })
            .await;
        }
    }

    /// Returns the number of servers that have ended.
    pub fn ended(&self) -> usize {
        self.servers.iter().filter(|server| server.has_ended()).count()
    }

    /// Returns how often servers received the deadly request.
    pub fn deadly_received(&self) -> usize {
        let received = self.servers.iter().flat_map(|server| server.received());
        received.filter(|path| path.contains("/deadly")).count()
    }

    /// Sends a request to a node; a stream that is broken off has status 0.
    pub async fn send(&self, node: usize, call: &Call<'_>) -> Reply {
        self.site.send(node, call).await.unwrap_or_else(|error| Reply {
            status: 0,
            body: error,
            retry_after: None,
        })
    }

    /// Sends a request that may be repeated as a caller does, at another node after each failure.
    /// Panics if it is refused as deadly or not served in the end.
    pub async fn send_until_served(&self, first_node: usize, path: &str) {
        for attempt in 0..CALLER_ATTEMPTS_MAX {
            let id = format!("{path}-{attempt}");
            let call = Call { id: &id, path, ..Call::default() };
            let reply = self.send((first_node + attempt) % NODES, &call).await;
            if reply.status == 200 {
                return;
            }
            assert_ne!(reply.kind(), "request_quarantined", "{path}");
        }
        panic!("{path} was not served in {CALLER_ATTEMPTS_MAX} attempts");
    }

    /// Sends the deadly request at all nodes in turn, with the bodies in turn.
    pub async fn repeat(&self, path: &str, bodies: &[&str]) -> Vec<Reply> {
        let mut replies = Vec::new();
        for repetition in 0..REPETITIONS {
            let id = format!("d-{}-{repetition}", self.deadly_received());
            let body = bodies[repetition % bodies.len()];
            let call = Call { id: &id, path, body, ..Call::default() };
            replies.push(self.send(repetition % self.site.nodes.len(), &call).await);
        }
        replies
    }

    /// Panics unless each node refuses the deadly request without sending it to a server.
    pub async fn assert_refused_everywhere(&self, path: &str, body: &str) {
        let before = self.deadly_received();
        for node in 0..self.site.nodes.len() {
            let id = format!("refused-{node}-{before}");
            let reply = self.send(node, &Call { id: &id, path, body, ..Call::default() }).await;
            assert_refused(&reply);
        }
        assert_eq!(self.deadly_received(), before, "no server gets it anymore");
    }
}

/// Panics unless a request was refused as deadly.
pub fn assert_refused(reply: &Reply) {
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert_eq!(reply.kind(), "request_quarantined", "{}", reply.body);
    assert_eq!(reply.run(), "not_run", "{}", reply.body);
    assert!(reply.retry_after.is_some(), "it names when to come back");
}

/// A request whose caller may leave.
pub struct Caller {
    connection: TcpStream,
}

impl Caller {
    /// Sends a request with the body `body`.
    pub fn send(site: &Site, node: usize, id: &str, path: &str, deadline_ms: u64) -> Self {
        let mut connection =
            TcpStream::connect(&site.nodes[node].listen).expect("the node listens");
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\nkey: {ALPHA_KEY}\r\n\
             deadline-ms: {deadline_ms}\r\ncontent-length: 4\r\n\r\nbody"
        );
        connection.write_all(request.as_bytes()).expect("the node reads");
        connection.set_nonblocking(true).expect("valid");
        Self { connection }
    }

    /// Returns what has arrived of the answer; it is empty if the connection was closed.
    pub fn answer(&mut self) -> Option<String> {
        let mut answer = [0; 4096];
        let length = self.connection.read(&mut answer).ok()?;
        Some(String::from_utf8_lossy(&answer[..length]).into_owned())
    }
}

/// Returns whether a request was refused because of its crashes.
pub fn is_quarantined(answer: &str) -> bool {
    answer.contains("request_quarantined")
}
