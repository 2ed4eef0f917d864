//! Requests that crash each backend server that runs them, and the requests beside them.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dandelionfront_standins::site::{CrashingServer, CrashingSettings};
use support::http::{Reply, eventually};
use support::site::{Call, EVENTS_PER_STREAM, Site};

/// Number of nodes.
const NODES: usize = 4;
/// Number of backend servers of the service that gets the deadly request.
const SERVERS: usize = 14;
/// Number of servers that a deadly request may end: three until it is known as such, and one for
/// each of three more tries that the users' rule allows.
const ENDED_MAX: usize = 6;
/// Number of times that the deadly request is sent.
const REPETITIONS: usize = 24;

/// A site in which one service consists of servers that crash.
struct DeadlySite {
    site: Site,
    servers: Vec<Arc<CrashingServer>>,
}

impl DeadlySite {
    async fn start(path: &str) -> Self {
        let site = Site::start(NODES).await;
        let (service, known) = if path.starts_with("/stream") {
            ("geo", &site.engines)
        } else {
            ("desk", &site.services)
        };
        for known in known {
            site.put_row("servers", &known.id, None).await;
        }
        let settings = CrashingSettings {
            deadly_path: "/deadly".to_owned(),
            crash_delay: Duration::from_millis(20),
            answer_delay: Duration::from_millis(60),
            event_count: EVENTS_PER_STREAM,
        };
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
    async fn wait_for_servers(&self) {
        let line = format!("dandelionfront_servers {}\n", SERVERS + 2);
        for node in 0..self.site.nodes.len() {
            eventually("the node knows the servers", async || {
                self.site.metrics(node).await.contains(&line).then_some(())
            })
            .await;
        }
    }

    fn ended(&self) -> usize {
        self.servers.iter().filter(|server| server.has_ended()).count()
    }

    /// Returns how often servers received the deadly request.
    fn deadly_received(&self) -> usize {
        let received = self.servers.iter().flat_map(|server| server.received());
        received.filter(|path| path.contains("/deadly")).count()
    }

    async fn send(&self, node: usize, call: &Call<'_>) -> Reply {
        self.site.send(node, call).await.unwrap_or_else(|error| Reply {
            // A stream that is broken off.
            status: 0,
            body: error,
            retry_after: None,
        })
    }

    /// Sends the deadly request at all nodes in turn, with the bodies in turn.
    async fn repeat(&self, path: &str, bodies: &[&str]) -> Vec<Reply> {
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
    async fn assert_refused_everywhere(&self, path: &str, body: &str) {
        let before = self.deadly_received();
        for node in 0..self.site.nodes.len() {
            let id = format!("refused-{node}-{before}");
            let reply = self.send(node, &Call { id: &id, path, body, ..Call::default() }).await;
            assert_refused(&reply);
        }
        assert_eq!(self.deadly_received(), before, "no server gets it anymore");
    }
}

fn assert_refused(reply: &Reply) {
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert_eq!(reply.kind(), "request_quarantined", "{}", reply.body);
    assert_eq!(reply.run(), "not_run", "{}", reply.body);
    assert!(reply.retry_after.is_some(), "it names when to come back");
}

async fn check_deadly(path: &str, bodies: &[&str]) {
    let deadly = DeadlySite::start(path).await;
    deadly.repeat(path, bodies).await;
    let ended = deadly.ended();
    assert!(ended <= ENDED_MAX, "{ended} servers ended, {ENDED_MAX} may");
    for body in bodies {
        deadly.assert_refused_everywhere(path, body).await;
    }
}

/// Guards against a request that crashes server after server of a resumable stream's route.
#[ntex::test]
async fn deadly_resumable_stream_is_refused() {
    check_deadly("/stream/talk/deadly", &["body"]).await;
}

/// Guards against a request that crashes server after server of a route that keeps turns.
#[ntex::test]
async fn deadly_turn_is_refused() {
    check_deadly("/stream/kept/deadly", &["body"]).await;
}

/// Guards against a request that crashes server after server of a tool's route.
#[ntex::test]
async fn deadly_repeatable_call_is_refused() {
    check_deadly("/lookup/deadly", &["body"]).await;
}

/// Guards against a request that crashes server after server although each copy runs at most once.
#[ntex::test]
async fn deadly_call_that_runs_at_most_once_is_refused() {
    check_deadly("/plain/deadly", &["body"]).await;
}

/// Guards against deadly turns that are not recognized because each holds its program's prompt.
#[ntex::test]
async fn deadly_request_is_recognized_by_path_if_its_bodies_differ() {
    let bodies: Vec<String> = (0..REPETITIONS).map(|body| format!("prompt {body}")).collect();
    let bodies: Vec<&str> = bodies.iter().map(String::as_str).collect();
    check_deadly("/stream/talk/deadly", &bodies).await;
}
