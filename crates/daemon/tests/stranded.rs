//! A node that is cut off from all backend servers, while callers and another node reach it.

mod support;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dandelionfront_standins::site::scripted::{events, unframed_stream_head};
use dandelionfront_standins::site::{
    CrashingServer, CrashingSettings, FaultyAnswer, FaultyServer, Script, ScriptedServer, Step,
};
use serde_json::{Value, json};
use support::deadly::{Caller, crashing_settings, is_quarantined};
use support::http::eventually;
use support::process::Build;
use support::raw::RawAnswer;
use support::site::{Call, EVENTS_PER_STREAM, Site, SiteRunner, refusing_address};

/// Time for which a server that has sent a part of an answer keeps its connection open; longer than
/// any request.
const KEPT_OPEN: Duration = Duration::from_secs(30);
/// Number of servers that a deadly request could end, and number that it may end: three until it is
/// known as such, and one for each of three more tries that the users' rule allows.
const CRASHING_SERVERS: usize = 12;
const CRASHES_ALLOWED: usize = 6;
/// Number of the parts of an answer so large that a node passes it on before its end.
const LARGE_PARTS: usize = 100_000;

/// Returns an answer of `parts` parts that ends with its connection.
fn unframed_answer(parts: usize) -> String {
    let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: s\r\n\r\n";
    head.to_owned() + &"part ".repeat(parts)
}

/// Two nodes that know each other, each with a store of its own, so that the first can be cut off:
/// its store names addresses at which nobody listens.
struct Cut {
    stranded: Site,
    neighbour: Site,
}

impl Cut {
    async fn start() -> Self {
        let stranded = Site::start(1).await;
        let mut neighbour = Self::start_neighbour(&stranded).await;
        neighbour.add_node();
        Self::between(stranded, neighbour).await
    }

    /// Starts a stranded node of the current build, and another of `neighbour`, or of any build.
    async fn start_current(neighbour: Option<Build>) -> Self {
        let mut stranded = Site::start(0).await;
        stranded.add_nodes_of(&[Build::Current], &stranded.store.clone());
        stranded.wait_ready().await;
        let mut site = Self::start_neighbour(&stranded).await;
        match neighbour {
            Some(build) => site.add_nodes_of(&[build], &site.store.clone()),
            None => site.add_node(),
        }
        Self::between(stranded, site).await
    }

    /// Starts the site of the other node, without that node.
    async fn start_neighbour(stranded: &Site) -> Site {
        let neighbour = Site::start(0).await;
        neighbour.put_row("nodes", &stranded.nodes[0].peer, Some(json!("zone-a"))).await;
        neighbour
    }

    /// Cuts the first node off, once both are ready.
    async fn between(stranded: Site, neighbour: Site) -> Self {
        neighbour.wait_ready().await;
        let cut = Self { stranded, neighbour };
        for runner in cut.stranded.engines.iter().chain(&cut.stranded.services) {
            let service = if runner.id.starts_with("engine") { "geo" } else { "desk" };
            let nowhere = refusing_address().to_string();
            cut.stranded.put_server(&runner.id, &nowhere, service, "ready").await;
        }
        eventually("the node has found the other one and has the new addresses", async || {
            let metrics = cut.stranded.metrics(0).await;
            let is_updated = cut.stranded.services.iter().all(|service| {
                let seen = format!("event=server_seen server={}", service.id);
                cut.count_lines(&seen) == 2
            });
            (is_updated && metrics.contains("dandelionfront_members_heard 1\n")).then_some(())
        })
        .await;
        cut
    }

    /// Sends a request to the stranded node; returns the status and body of the answer.
    async fn send(&self, method: &str, path: &str, id: &str) -> Result<(u16, String), String> {
        let call = Call { id, method, path, ..Call::default() };
        self.stranded.send(0, &call).await.map(|reply| (reply.status, reply.body))
    }

    fn count_lines(&self, words: &str) -> usize {
        let lines = self.stranded.nodes[0].process.lines();
        lines.iter().filter(|line| line.contains(words)).count()
    }

    async fn ran(&self, servers: &[SiteRunner]) -> Vec<Value> {
        self.neighbour.recorded_requests(servers).await
    }

    /// Replaces the servers of `service` with a scripted one that only the neighbour reaches.
    async fn start_scripted(&self, service: &str, scripts: Vec<Script>) -> Arc<ScriptedServer> {
        let any_port = "127.0.0.1:0".parse().expect("valid");
        let (server, address) = ScriptedServer::spawn(any_port, scripts).expect("starts");
        self.replace_servers(service, &[address]).await;
        server
    }

    /// Replaces the servers of `service` with those at `addresses`, which only the neighbour reaches.
    async fn replace_servers(&self, service: &str, addresses: &[SocketAddr]) {
        let known = if service == "geo" { &self.stranded.engines } else { &self.stranded.services };
        for site in [&self.neighbour, &self.stranded] {
            for server in known {
                site.put_row("servers", &server.id, None).await;
            }
            site.wait_server_count(2).await;
            for (number, address) in addresses.iter().enumerate() {
                let is_reached = std::ptr::eq(site, &raw const self.neighbour);
                let address = if is_reached { *address } else { refusing_address() };
                let id = format!("scripted-{number}");
                site.put_server(&id, &address.to_string(), service, "ready").await;
            }
            site.wait_server_count(2 + addresses.len()).await;
        }
    }

    /// Replaces the engines of both nodes with one that takes half a second for each event.
    async fn start_slow_engine(&self) -> SiteRunner {
        let engine = self.neighbour.start_engine(500).await;
        for known in &self.stranded.engines {
            self.stranded.put_row("servers", &known.id, None).await;
        }
        self.stranded.wait_server_count(2).await;
        let nowhere = refusing_address().to_string();
        self.stranded.put_server(&engine.id, &nowhere, "geo", "ready").await;
        self.stranded.wait_server_count(3).await;
        engine
    }
}

/// Guards against callers of a cut-off node that wait for their deadlines while other nodes reach
/// the servers, and against requests that run twice on the way.
#[ntex::test]
async fn cut_off_node_serves_its_callers_through_another_node() {
    let cut = Cut::start().await;
    for request in 0..30 {
        let path = if request % 2 == 0 { "/plain/x" } else { "/lookup/x" };
        let (status, body) =
            cut.send("POST", path, &format!("r-{request}")).await.expect("answers");
        assert_eq!(status, 200, "{body}");
    }
    let ran = cut.ran(&cut.neighbour.services).await;
    let ids: Vec<&str> = ran.iter().map(|ran| Site::header(ran, "request-id")).collect();
    let ids: Vec<&str> = ids.into_iter().filter(|id| id.starts_with("r-")).collect();
    let distinct: HashSet<&&str> = ids.iter().collect();
    assert_eq!((ids.len(), distinct.len()), (30, 30), "each request ran once");
    assert!(ran.iter().all(|ran| Site::header(ran, "tenant") == "alpha"));
}

/// Guards against streams that are cut, joined or left running at the engine when they go through
/// another node.
#[ntex::test]
async fn stream_through_another_node_is_whole_and_ends_with_its_caller() {
    let cut = Cut::start().await;
    let (status, body) = cut.send("POST", "/stream/talk/1", "s-1").await.expect("answers");
    assert_eq!(status, 200, "{body}");
    let events = u64::try_from(body.matches("data: token-").count()).expect("few");
    assert_eq!(events, EVENTS_PER_STREAM, "{body}");

    let engine = cut.start_slow_engine().await;
    let call = Call { id: "s-2", path: "/stream/talk/2", ..Call::default() };
    cut.stranded.receive_first_event(0, &call).await;
    eventually("the engine no longer runs the stream", async || {
        let streams = cut.neighbour.http.get_json(&engine.address, "/standin/streams").await;
        (streams["open"] == 0).then_some(())
    })
    .await;
}

/// Guards against a second run of a request that may not be repeated, when its answer is lost on
/// the way through another node.
#[ntex::test]
async fn lost_answer_through_another_node_is_not_asked_for_again() {
    let cut = Cut::start().await;
    for service in &cut.neighbour.services {
        cut.neighbour.set_faults(&service.address, &json!({ "lose_answers": 1 })).await;
    }
    let (status, body) = cut.send("POST", "/plain/x", "once").await.expect("answers");
    assert_eq!(status, 502, "{body}");
    let ran = cut.ran(&cut.neighbour.services).await;
    let runs = ran.iter().filter(|ran| Site::header(ran, "request-id") == "once").count();
    assert_eq!(runs, 1);
}

/// Guards against an answer that looks complete although its server reset the connection, because
/// the node between closed the other one in order.
#[ntex::test]
async fn reset_reaches_the_cut_off_node_as_a_reset() {
    let cut = Cut::start().await;
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let (server, address) = FaultyServer::spawn(any_port, FaultyAnswer::Reset).expect("starts");
    for (site, address) in [(&cut.neighbour, address), (&cut.stranded, refusing_address())] {
        for service in &site.services {
            site.put_row("servers", &service.id, None).await;
        }
        site.wait_server_count(2).await;
        site.put_server("desk-f", &address.to_string(), "desk", "ready").await;
        site.wait_server_count(3).await;
    }
    let answer = cut.send("POST", "/plain/x", "reset").await;
    assert_eq!(server.request_count(), 1);
    assert!(!matches!(answer, Ok((200, _))), "{answer:?}");
}

/// Guards against an unframed answer that looks complete although the node between was killed,
/// whose kernel closes its connections in order.
#[ntex::test]
async fn answer_through_a_node_that_is_killed_does_not_look_complete() {
    let large_part = unframed_answer(LARGE_PARTS);
    let stream_part = unframed_stream_head() + &events(1, 2);
    for (service, path, part, arrived) in [
        ("desk", "/plain/x", large_part, "part "),
        ("geo", "/stream/kept/1", stream_part, "token-2\n\n"),
    ] {
        let mut cut = Cut::start().await;
        let script = vec![Step::Write(part), Step::Pause(KEPT_OPEN)];
        let server = cut.start_scripted(service, vec![script]).await;
        let call = Call { id: "killed", path, ..Call::default() };
        let begun = cut.stranded.receive_raw_until(0, &call, arrived).await;
        assert_eq!(server.received().len(), 1);
        cut.neighbour.nodes[0].process.kill();
        let answer = begun.finish().await;
        assert!(matches!(answer, RawAnswer::BrokenOff { .. }), "{path}: looks complete");
        let headers = [("previous-turn", "killed")];
        let call =
            Call { id: "next", path: "/stream/kept/1", headers: &headers, ..Call::default() };
        let reply = cut.stranded.send(0, &call).await.expect("the node answers");
        assert_eq!((reply.status, reply.kind()), (404, "turn_unknown".to_owned()));
    }
}

/// Guards against an unframed answer that looks complete although its server's process ended, when
/// it goes through another node, and against breaking off a whole one.
#[ntex::test]
async fn unframed_answer_through_another_node_is_whole_only_if_its_server_runs_on() {
    let whole_stream = unframed_stream_head() + &events(1, EVENTS_PER_STREAM);
    let stream_part = unframed_stream_head() + &events(1, 2);
    for (service, path, whole, part) in [
        ("desk", "/plain/x", unframed_answer(1), unframed_answer(LARGE_PARTS)),
        ("geo", "/stream/kept/1", whole_stream, stream_part),
    ] {
        // The node that is cut off judges the answer, whatever the build of the other one.
        let cut = Cut::start_current(None).await;
        let whole = vec![Step::Write(whole), Step::Close];
        let part = vec![Step::Write(part), Step::StopListening, Step::Close];
        cut.start_scripted(service, vec![whole, part]).await;
        let call = Call { id: "whole", path, ..Call::default() };
        let answer = cut.stranded.receive_raw(0, &call).await;
        assert!(matches!(answer, RawAnswer::Whole { status: 200, .. }), "{path}: {answer:?}");
        let call = Call { id: "part", path, ..Call::default() };
        let answer = cut.stranded.receive_raw(0, &call).await;
        assert!(matches!(answer, RawAnswer::BrokenOff { .. }), "{path}: looks complete");
    }
}

/// Guards against a planned stop that cuts requests of another node.
#[ntex::test]
async fn planned_stop_of_the_node_between_cuts_no_stream() {
    let cut = Cut::start().await;
    let engine = cut.start_slow_engine().await;
    let call = Call { id: "s-3", path: "/stream/talk/3", ..Call::default() };
    let stop = async {
        eventually("the engine runs the stream", async || {
            let streams = cut.neighbour.http.get_json(&engine.address, "/standin/streams").await;
            (streams["open"] == 1).then_some(())
        })
        .await;
        cut.neighbour.nodes[0].process.signal("TERM");
    };
    let (reply, ()) = futures_util::join!(cut.stranded.send(0, &call), stop);
    let reply = reply.expect("the node answers").expect_status(200);
    let events = u64::try_from(reply.body.matches("data: token-").count()).expect("few");
    assert_eq!(events, EVENTS_PER_STREAM, "{}", reply.body);
}

/// Guards against a node that goes on through others after its own way is back.
#[ntex::test]
async fn node_uses_its_own_way_again_once_it_is_back() {
    let cut = Cut::start().await;
    let (status, body) = cut.send("POST", "/plain/x", "cut").await.expect("answers");
    assert_eq!(status, 200, "{body}");
    for (known, reached) in cut.stranded.services.iter().zip(&cut.neighbour.services) {
        cut.stranded.put_server(&known.id, &reached.address, "desk", "ready").await;
    }
    eventually("the node reaches the servers", async || {
        (cut.count_lines("event=backend_reach is_lost=false") == 1).then_some(())
    })
    .await;
    let (status, body) = cut.send("POST", "/plain/x", "direct").await.expect("answers");
    assert_eq!(status, 200, "{body}");
    let sent = eventually("the sending is logged", async || {
        let lines = cut.stranded.nodes[0].process.lines();
        lines.into_iter().find(|line| line.contains("event=sent request=direct"))
    })
    .await;
    assert!(sent.contains(" via=- "), "{sent}");
}

/// Guards against a request that crashes server after server without end, because the node that
/// sends it reaches them through another node only.
#[ntex::test]
async fn deadly_request_is_refused_at_a_node_that_is_cut_off() {
    for (service, path) in [("desk", "/plain/deadly"), ("geo", "/stream/talk/deadly")] {
        let cut = Cut::start_current(Some(Build::Current)).await;
        let settings = CrashingSettings {
            deadly_path: "/deadly".to_owned(),
            crash_delay: Duration::from_millis(20),
            begins_answer: false,
            answer_delay: Duration::from_millis(20),
            event_count: EVENTS_PER_STREAM,
        };
        let any_port = "127.0.0.1:0".parse().expect("valid");
        let servers = (0..CRASHING_SERVERS)
            .map(|_| CrashingServer::spawn(any_port, settings.clone()).expect("starts"));
        let (servers, addresses): (Vec<_>, Vec<_>) = servers.unzip();
        cut.replace_servers(service, &addresses).await;
        for attempt in 0..CRASHING_SERVERS {
            // A stream may be broken off, after its head or before.
            let _ = cut.send("POST", path, &format!("d-{attempt}")).await;
        }
        let ended = servers.iter().filter(|server| server.has_ended()).count();
        assert!(ended <= CRASHES_ALLOWED, "{path}: {ended} servers ended");
        let call = Call { id: "refused", path, ..Call::default() };
        let reply = cut.stranded.send(0, &call).await.expect("the node answers");
        assert_eq!((reply.kind(), reply.run()), ("request_quarantined".into(), "not_run".into()));
    }
}

/// Guards against the same request if its callers leave before the crash: what the node that is cut off
/// knows of it must outlive its tunnel.
#[ntex::test]
async fn deadly_request_whose_callers_leave_is_refused_at_a_node_that_is_cut_off() {
    for path in ["/plain/deadly", "/lookup/deadly"] {
        let cut = Cut::start_current(Some(Build::Current)).await;
        let settings =
            CrashingSettings { crash_delay: Duration::from_millis(250), ..crashing_settings() };
        let any_port = "127.0.0.1:0".parse().expect("valid");
        let servers = (0..CRASHING_SERVERS)
            .map(|_| CrashingServer::spawn(any_port, settings.clone()).expect("starts"));
        let (servers, addresses): (Vec<_>, Vec<_>) = servers.unzip();
        cut.replace_servers("desk", &addresses).await;
        let ended = || servers.iter().filter(|server| server.has_ended()).count();
        let received = || servers.iter().map(|server| server.deadly_received()).sum::<usize>();
        let mut is_refused = false;
        for attempt in 0..CRASHING_SERVERS {
            let (ended_before, received_before) = (ended(), received());
            let id = format!("d-{attempt}");
            let mut caller = Caller::send(&cut.stranded, 0, &id, path, 4_000);
            let answer = eventually("a server has it, or it is refused", async || {
                let is_received = received() > received_before;
                if is_received { Some(String::new()) } else { caller.answer() }
            })
            .await;
            is_refused = is_quarantined(&answer);
            if is_refused {
                break;
            }
            drop(caller);
            eventually("the server has ended", async || (ended() > ended_before).then_some(()))
                .await;
            // Others find that it has ended.
            for sound in 0..2 * CRASHING_SERVERS {
                let id = format!("sound-{attempt}-{sound}");
                let _ = cut.send("POST", &format!("/lookup/{id}"), &id).await;
            }
        }
        assert!(is_refused, "{path}: {} servers ended", ended());
        assert!(ended() <= CRASHES_ALLOWED, "{path}: {} servers ended", ended());
    }
}

/// Guards against crashes that are held against a request whose server only closed its connection, or
/// went out of reach together with the node between.
#[ntex::test]
async fn only_servers_that_have_ended_count_as_crashed_through_another_node() {
    let cut = Cut::start_current(Some(Build::Current)).await;
    let (closed, unreachable) = (
        vec![Step::Run, Step::Close],
        vec![Step::Run, Step::Pause(Duration::from_millis(500)), Step::StopListening, Step::Reset],
    );
    let server = cut.start_scripted("desk", vec![closed, unreachable]).await;
    assert_eq!(cut.send("POST", "/plain/x", "closed").await.expect("answers").0, 502);
    let cutting = async {
        eventually("the server runs it", async || (server.executed().len() == 2).then_some(()))
            .await;
        for engine in &cut.stranded.engines {
            let nowhere = refusing_address().to_string();
            cut.neighbour.put_server(&engine.id, &nowhere, "geo", "ready").await;
        }
        eventually("the neighbour has the new addresses", async || {
            let lines = cut.neighbour.nodes[0].process.lines();
            let is_seen = |engine: &SiteRunner| {
                let seen = format!("event=server_seen server={}", engine.id);
                lines.iter().filter(|line| line.contains(&seen)).count() == 2
            };
            cut.stranded.engines.iter().all(is_seen).then_some(())
        })
        .await;
    };
    let sending = cut.send("POST", "/plain/x", "unreachable");
    let (reply, ()) = futures_util::join!(sending, cutting);
    assert_eq!(reply.expect("answers").0, 502);
    eventually("the failure is logged", async || {
        (cut.count_lines("event=refused request=unreachable") == 1).then_some(())
    })
    .await;
    assert_eq!(cut.count_lines("event=server_ended"), 0);
}
