//! End-to-end tests of nodes on the users' platform, as separate processes.

mod support;

use dandelionfront_standins::FaultProxy;
use serde_json::json;
use support::http::{Reply, eventually};
use support::site::{
    ALPHA_KEY, BETA_KEY, Call, EVENTS_PER_STREAM, SMALL_KEY, Site, TOKENS_PER_EVENT, config,
};

fn expected_stream() -> String {
    let events = (1..=EVENTS_PER_STREAM).map(|id| format!("id: {id}\ndata: token-{id}\n\n"));
    events.collect::<Vec<_>>().concat()
}

fn expected_output() -> String {
    (1..=EVENTS_PER_STREAM).map(|id| format!("token-{id}\n")).collect::<Vec<_>>().concat()
}

/// Sends a turn of a program with a budget.
async fn send_turn(
    site: &Site,
    node: usize,
    id: &str,
    path: &str,
    previous: Option<&str>,
    budget: &str,
) -> Reply {
    let mut headers = vec![
        ("program-id", "p-1"),
        ("session-id", "p-1"),
        ("finish-ms", "9000"),
        ("token-usage", "100,50"),
        ("token-budget", budget),
    ];
    headers.extend(previous.map(|previous| ("previous-turn", previous)));
    let input = format!("input-{id};");
    let call = Call { id, path, headers: &headers, body: &input, ..Call::default() };
    site.send(node, &call).await.expect("the node answers")
}

/// Guards against turns that run without their history, or are refused, after one of the nodes that
/// served the program was killed.
#[ntex::test]
async fn program_keeps_history_and_budget_when_a_node_is_killed() {
    let mut site = Site::start(3).await;
    let (mut expected, mut previous) = (String::new(), None::<String>);
    for step in 0..6_usize {
        if step == 3 {
            site.nodes[0].process.kill();
        }
        // Turns go to all three nodes before the kill and to the other two afterwards.
        let node = if step < 3 { step } else { 1 + step % 2 };
        let id = format!("turn-{step}");
        let reply =
            send_turn(&site, node, &id, "/stream/kept/a", previous.as_deref(), "2000").await;
        assert_eq!((reply.status, reply.body), (200, expected_stream()), "turn {step}");
        expected += "input-";
        expected += &id;
        expected += ";";
        let ran = site.recorded_requests(&site.engines).await;
        let ran = ran.iter().find(|request| Site::header(request, "request-id") == id);
        assert_eq!(ran.expect("the turn ran")["body"], expected.as_str(), "turn {step}");
        expected.push_str(&expected_output());
        previous = Some(id.clone());
        let tool = format!("tool-{step}");
        let call = Call { id: &tool, headers: &[("program-id", "p-1")], ..Call::default() };
        assert_eq!(site.send(node, &call).await.expect("the node answers").status, 200);
    }
    assert_eq!(site.recorded_requests(&site.engines).await.len(), 6);
    assert_eq!(site.recorded_requests(&site.services).await.len(), 6);
}

/// Guards against a program that overspends its budget, or cannot use all of it, because its turns
/// arrive at different nodes.
#[ntex::test]
async fn budget_is_enforced_across_nodes() {
    let site = Site::start(3).await;
    // A turn reserves 50 tokens at most and produces 40, so five turns fit into 210.
    let mut complete_turns = 0;
    for step in 0..9_usize {
        let id = format!("turn-{step}");
        let reply = send_turn(&site, step % 3, &id, "/stream/talk/a", None, "210").await;
        match reply.status {
            200 => complete_turns += 1,
            status => {
                assert_eq!((status, reply.kind().as_str()), (402, "budget_exhausted"));
                assert_eq!(reply.run(), "not_run");
            }
        }
    }
    assert_eq!(complete_turns * EVENTS_PER_STREAM * TOKENS_PER_EVENT, 200);
    assert_eq!(site.recorded_requests(&site.engines).await.len(), 5, "a refused turn ran");
}

/// Guards against access to turns of other teams, and against a turn that is reported as unknown
/// while the store cannot be read.
#[ntex::test]
async fn previous_turn_is_unknown_to_other_teams_but_unavailable_during_an_outage() {
    let site = Site::start(1).await;
    assert_eq!(send_turn(&site, 0, "t-1", "/stream/kept/a", None, "1000").await.status, 200);
    let headers = [("previous-turn", "t-1")];
    let path = "/stream/kept/a";
    let other = Call { id: "t-2", path, key: BETA_KEY, headers: &headers, ..Call::default() };
    let reply = site.send(0, &other).await.expect("the node answers");
    assert_eq!((reply.status, reply.kind().as_str()), (404, "turn_unknown"));
    site.set_faults(&site.store, &json!({ "outage": true })).await;
    let headers = [("previous-turn", "t-unknown")];
    let own = Call { id: "t-3", path, headers: &headers, ..Call::default() };
    let reply = site.send(0, &own).await.expect("the node answers");
    assert_eq!((reply.status, reply.kind().as_str()), (503, "platform_unavailable"));
}

#[ntex::test]
async fn call_with_a_lost_answer_is_retried_only_if_it_is_safe() {
    let site = Site::start(1).await;
    for service in &site.services {
        site.set_faults(&service.address, &json!({ "lose_answers": 1 })).await;
    }
    let reply =
        site.send(0, &Call { id: "u-1", ..Call::default() }).await.expect("the node answers");
    assert_eq!((reply.status, reply.run().as_str()), (502, "unknown"));
    assert_eq!(site.recorded_requests(&site.services).await.len(), 1);
    // A safe call is retried at the other server.
    let safe = Call { id: "s-1", method: "GET", path: "/lookup/x", ..Call::default() };
    assert_eq!(site.send(0, &safe).await.expect("the node answers").status, 200);
}

#[ntex::test]
async fn refused_call_is_retried_at_another_server_then_reported_as_not_run() {
    let site = Site::start(1).await;
    site.set_faults(&site.services[0].address, &json!({ "refuse": 1 })).await;
    site.set_faults(&site.services[1].address, &json!({ "refuse": 1 })).await;
    assert_eq!(site.send(0, &Call::default()).await.expect("the node answers").status, 200);
    for service in &site.services {
        site.set_faults(&service.address, &json!({ "refuse": 100_000 })).await;
    }
    let reply =
        site.send(0, &Call { id: "u-2", ..Call::default() }).await.expect("the node answers");
    assert_eq!((reply.status, reply.run().as_str()), (503, "not_run"));
    assert_eq!(site.recorded_requests(&site.services).await.len(), 1);
}

/// Guards against giving a caller the answer to another request, which a backend server sends when
/// it mixes up its answers.
#[ntex::test]
async fn answer_to_another_request_is_not_forwarded() {
    let site = Site::start(1).await;
    for service in &site.services {
        site.set_faults(&service.address, &json!({ "answer_foreign": 1 })).await;
    }
    let reply = site.send(0, &Call::default()).await.expect("the node answers");
    assert_eq!((reply.status, reply.run().as_str()), (502, "unknown"));
}

/// Guards against streams that lose, repeat or split an event when the connection to the engine is
/// closed in the middle of an event.
#[ntex::test]
async fn only_resumable_streams_are_resumed_after_an_interruption() {
    let site = Site::start(1).await;
    for engine in &site.engines {
        site.set_faults(&engine.address, &json!({ "cut_streams": 1 })).await;
    }
    let reply = send_turn(&site, 0, "t-1", "/stream/talk/a", None, "1000").await;
    assert_eq!((reply.status, reply.body), (200, expected_stream()));
    let resumed = site.recorded_requests(&site.engines).await;
    let after: Vec<&str> =
        resumed.iter().map(|request| Site::header(request, "last-event-id")).collect();
    assert!(after.contains(&"1"), "{after:?}");
    // A stream that may not be resumed is cut off.
    for engine in &site.engines {
        site.set_faults(&engine.address, &json!({ "cut_streams": 1 })).await;
    }
    let headers = [("token-usage", "10,50")];
    let path = "/stream/kept/a";
    let call = Call { id: "t-2", path, headers: &headers, ..Call::default() };
    site.send(0, &call).await.expect_err("the answer must not look complete");
}

#[ntex::test]
async fn backend_servers_receive_the_team_but_no_key_or_forged_headers() {
    let site = Site::start(1).await;
    let headers = [
        ("tenant", "beta"),
        ("hold", "h"),
        ("pin-ms", "9"),
        ("kv-from", "x"),
        ("kv-backup", "y"),
        ("request-priority", "0"),
        ("expect-instance", "other"),
        ("x-own", "kept"),
    ];
    let call = Call { headers: &headers, body: "body", ..Call::default() };
    assert_eq!(site.send(0, &call).await.expect("the node answers").status, 200);
    let record = site.recorded_requests(&site.services).await;
    let seen = record[0]["headers"].as_object().expect("headers");
    assert_eq!(seen["tenant"], "alpha");
    assert_eq!(seen["x-own"], "kept");
    assert!(seen["expect-instance"].as_str().is_some_and(|id| id.starts_with("desk-")));
    for name in ["key", "hold", "pin-ms", "kv-from", "kv-backup", "request-priority"] {
        assert!(!seen.contains_key(name), "{name} was forwarded");
    }
    assert!(!record[0].to_string().contains(ALPHA_KEY));
}

#[ntex::test]
async fn published_changes_take_effect_and_never_revert() {
    let site = Site::start(2).await;
    let mut newer = config(5);
    newer["tenants"][1]["apiKeys"] = json!([]);
    newer["routes"].as_array_mut().expect("routes").retain(|route| route["name"] != "lookup");
    site.publish(newer).await;
    for node in 0..2 {
        eventually("the key stops working", async || {
            let call = Call { key: BETA_KEY, ..Call::default() };
            let reply = site.send(node, &call).await.expect("the node answers");
            (reply.status == 401).then_some(())
        })
        .await;
        let lookup = Call { path: "/lookup/x", method: "GET", ..Call::default() };
        assert_eq!(site.send(node, &lookup).await.expect("the node answers").status, 404);
    }
    site.publish(config(4)).await;
    site.put_row("op", "other", Some(json!({}))).await;
    let late = Call { key: BETA_KEY, ..Call::default() };
    assert_eq!(site.send(0, &late).await.expect("the node answers").status, 401);
    // The small team's burst allows two requests over all nodes together.
    let mut statuses = Vec::new();
    for step in 0..6_usize {
        let call = Call { key: SMALL_KEY, ..Call::default() };
        statuses.push(site.send(step % 2, &call).await.expect("the node answers").status);
        ntex::time::sleep(std::time::Duration::from_millis(250)).await;
    }
    assert!(statuses.iter().filter(|status| **status == 200).count() <= 2, "{statuses:?}");
    assert!(statuses.ends_with(&[429]), "{statuses:?}");
    // A draining server receives no more requests.
    let draining = &site.services[0];
    site.put_server(&draining.id, &draining.address, "desk", "draining").await;
    let before = eventually("the node sends nothing to the draining server", async || {
        let count = site.recorded_requests(&site.services[..1]).await.len();
        for id in 0..8 {
            let id = format!("d-{id}");
            site.send(0, &Call { id: &id, ..Call::default() }).await.expect("the node answers");
        }
        (site.recorded_requests(&site.services[..1]).await.len() == count).then_some(count)
    })
    .await;
    assert_eq!(site.recorded_requests(&site.services[..1]).await.len(), before);
}

/// Guards against failed requests during a shutdown: running streams must finish, and requests that
/// arrive until the load balancer has noticed must be served.
#[ntex::test]
async fn graceful_shutdown_finishes_streams_and_reports_not_ready() {
    let mut site = Site::start(1).await;
    let call = Call { id: "t-1", path: "/stream/talk/a", ..Call::default() };
    let (request, http) = (site.request(0, &call), site.http.clone());
    let running = ntex::rt::spawn(async move { http.send(request, "in").await });
    eventually("the stream runs", async || {
        (!site.recorded_requests(&site.engines).await.is_empty()).then_some(())
    })
    .await;
    site.nodes[0].process.signal("TERM");
    let reply = running.await.expect("no panic").expect("a whole answer");
    assert_eq!((reply.status, reply.body), (200, expected_stream()));
    eventually("the node is not ready", async || {
        let request = site.http.request("GET", &site.nodes[0].ready, "/v1/ready");
        let reply = site.http.send(request, "").await;
        reply.is_ok_and(|reply| reply.status == 503).then_some(())
    })
    .await;
    // Requests that the load balancer still sends must be served.
    let late = Call { id: "t-2", ..Call::default() };
    assert_eq!(site.send(0, &late).await.expect("the node answers").status, 200);
    let code = eventually("the process ends", async || site.nodes[0].process.try_exit()).await;
    assert_eq!(code, 0);
}

#[ntex::test]
async fn bad_input_is_refused_with_a_remedy() {
    let site = Site::start(1).await;
    let long = "x".repeat(70_000);
    let wide = "y".repeat(5_000);
    let wide_header = [("x-wide", wide.as_str())];
    let calls = [
        ("unknown path", Call { path: "/nowhere/", ..Call::default() }, 404),
        ("unknown key", Call { key: "wrong", ..Call::default() }, 401),
        ("no request id", Call { id: "", ..Call::default() }, 400),
        ("long body", Call { body: &long, ..Call::default() }, 413),
        ("long head", Call { headers: &wide_header, ..Call::default() }, 431),
    ];
    let mut seen = Vec::new();
    for (what, call, status) in calls {
        let reply = site.send(0, &call).await.expect("the node answers");
        assert_eq!(reply.status, status, "{what}: {}", reply.body);
        seen.push(format!("{what}: {} {}", reply.status, reply.body));
    }
    insta::assert_debug_snapshot!(seen);
    let open = Call { path: "/open/x", method: "GET", key: "wrong", ..Call::default() };
    assert_eq!(site.send(0, &open).await.expect("the node answers").status, 200);
    let metrics = site.metrics(0).await;
    assert!(
        metrics.contains("dandelionfront_refusals_total{reason=\"key_unknown\"} 1"),
        "{metrics}"
    );
}

/// Guards against retrying a repeatable request, up to 100 times a second, until its deadline while
/// no server completes an answer.
#[ntex::test]
async fn request_whose_answers_are_all_lost_has_bounded_attempts() {
    let site = Site::start(1).await;
    for service in &site.services {
        site.set_faults(&service.address, &json!({ "lose_answers": 1_000 })).await;
    }
    let call = Call { id: "r-lost", method: "GET", path: "/lookup/x", ..Call::default() };
    let reply = site.send(0, &call).await.expect("the node answers");
    assert_eq!(reply.status, 502, "{}", reply.body);
    let runs = site.recorded_requests(&site.services).await.len();
    assert!((2..=4).contains(&runs), "{runs} runs");
}

#[ntex::test]
async fn oversized_body_is_refused_before_it_arrives() {
    use std::io::{Read as _, Write as _};

    let site = Site::start(1).await;
    let address = site.nodes[0].listen.clone();
    let reply = ntex::rt::spawn_blocking(move || {
        let mut stream = std::net::TcpStream::connect(address).expect("connects");
        let head = format!(
            "POST /plain/x HTTP/1.1\r\nhost: h\r\nrequest-id: r\r\nkey: {ALPHA_KEY}\r\n\
             content-length: 100000000\r\n\r\nfirst bytes"
        );
        stream.write_all(head.as_bytes()).expect("written");
        // The rest of the body is never sent, and the answer must not wait for it.
        let mut reply = Vec::new();
        stream.read_to_end(&mut reply).expect("the answer and the end of the connection");
        String::from_utf8(reply).expect("text")
    });
    let reply = reply.await.expect("the task ends");
    assert!(reply.starts_with("HTTP/1.1 413 "), "{reply}");
    assert!(reply.contains("connection: close"), "{reply}");
    assert!(reply.contains("send a smaller one"), "{reply}");
}

/// Guards against nodes that report ready before they know each other, because each read the list
/// of nodes before the others had registered.
#[ntex::test]
async fn nodes_started_together_know_each_other_once_ready() {
    let mut site = Site::start(0).await;
    // With this delay, every node reads the list of nodes before any of them is in it.
    site.set_faults(&site.store, &json!({ "delay_ms": 200 })).await;
    site.add_nodes(3);
    site.wait_ready().await;
    for node in 0..3 {
        let metrics = site.metrics(node).await;
        assert!(metrics.contains("dandelionfront_members_heard 2\n"), "node {node}: {metrics}");
    }
}

/// Guards against a node that stops serving when it cannot reach the store but other nodes can.
#[ntex::test]
async fn node_without_store_access_uses_the_store_through_another_node() {
    let mut site = Site::start(1).await;
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let target = site.store.parse().expect("an address");
    let (proxy, control) = FaultProxy::spawn(any_port, any_port, target).expect("starts");
    site.add_nodes_with_store(1, &proxy.to_string());
    site.wait_ready().await;
    let refuse = json!({ "refuse": true, "close_open": true });
    site.http.put_json(&control.to_string(), "/v1/faults", &refuse).await;
    eventually("the node is not ready", async || {
        let request = site.http.request("GET", &site.nodes[1].ready, "/v1/ready");
        let reply = site.http.send(request, "").await;
        reply.is_ok_and(|reply| reply.status == 503).then_some(())
    })
    .await;
    // Budgets, stored turns and keys must still work on this node, and it must adopt new versions.
    let first = send_turn(&site, 1, "t-1", "/stream/kept/a", None, "1000").await;
    assert_eq!((first.status, first.body), (200, expected_stream()));
    let second = send_turn(&site, 0, "t-2", "/stream/kept/a", Some("t-1"), "1000").await;
    assert_eq!(second.status, 200);
    let mut newer = config(9);
    newer["tenants"][1]["apiKeys"] = json!([]);
    site.publish(newer).await;
    eventually("the key stops working", async || {
        let call = Call { key: BETA_KEY, ..Call::default() };
        let reply = site.send(1, &call).await.expect("the node answers");
        (reply.status == 401).then_some(())
    })
    .await;
}

/// Guards against turns that each wait for a timeout although the store is known to be down.
#[ntex::test]
async fn turns_that_need_the_store_are_refused_at_once_while_it_is_down() {
    let site = Site::start(1).await;
    site.set_faults(&site.store, &json!({ "outage": true })).await;
    eventually("turns are refused without a call to the store", async || {
        let reply = send_turn(&site, 0, "t-1", "/stream/kept/a", None, "1000").await;
        assert_eq!(reply.status, 503, "{}", reply.body);
        reply.body.contains("no node has reached it").then_some(())
    })
    .await;
    site.set_faults(&site.store, &json!({ "outage": false })).await;
    eventually("turns are served again", async || {
        let reply = send_turn(&site, 0, "t-2", "/stream/kept/a", None, "1000").await;
        (reply.status == 200).then_some(())
    })
    .await;
}

/// Guards against engines that generate for callers that have disconnected.
#[ntex::test]
async fn disconnected_caller_ends_its_stream_at_the_engine() {
    let site = Site::start(1).await;
    // The engine takes a second for each event, so the stream still runs when the caller
    // disconnects.
    let slow = site.start_slow_engine().await;
    let call = Call { id: "t-1", path: "/stream/talk/a", ..Call::default() };
    let (request, http) = (site.request(0, &call), site.http.clone());
    let running = ntex::rt::spawn(async move { http.send(request, "in").await });
    eventually("the stream runs", async || {
        (!site.recorded_requests(std::slice::from_ref(&slow)).await.is_empty()).then_some(())
    })
    .await;
    running.cancel();
    eventually("the node notices that the caller has disconnected", async || {
        let metrics = site.http.request("GET", &site.nodes[0].metrics, "/metrics");
        let metrics =
            site.http.send(metrics, "").await.expect("the node answers").expect_status(200).body;
        metrics.contains("dandelionfront_callers_gone_total 1").then_some(())
    })
    .await;
    eventually("the stream ends at the engine", async || {
        let streams = site.http.get_json(&slow.address, "/standin/streams").await;
        (streams["open"] == 0).then_some(())
    })
    .await;
}
