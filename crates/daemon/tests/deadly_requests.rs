//! Requests that crash each backend server that runs them, and the requests beside them.

mod support;

use futures_util::future::join_all;
use support::deadly::{DeadlySite, ENDED_MAX, NODES, REPETITIONS, SERVERS};
use support::http::eventually;
use support::site::{Call, SiteNode};

/// Number of times that a request may be tried at each server while it waits for one: once in 15 ms
/// for a third of its 4 s.
const CONNECT_ROUNDS_MAX: usize = 90;

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

/// Guards against nodes that started anew and send the deadly request on.
#[ntex::test]
async fn deadly_request_stays_refused_when_nodes_are_replaced_one_by_one() {
    let path = "/lookup/deadly";
    let mut deadly = DeadlySite::start(path).await;
    deadly.repeat(path, &["body"]).await;
    for _ in 0..NODES {
        deadly.site.nodes.remove(0);
        deadly.site.add_node();
        deadly.site.wait_ready().await;
        deadly.wait_for_servers().await;
    }
    deadly.assert_refused_everywhere(path, "body").await;
}

/// Guards against evidence that is lost with the last node that has it.
#[ntex::test]
async fn deadly_request_stays_refused_when_all_nodes_are_killed_at_once() {
    let path = "/plain/deadly";
    let mut deadly = DeadlySite::start(path).await;
    deadly.repeat(path, &["body"]).await;
    eventually("the store has the evidence", async || {
        let path = "/v1/rows-get?table=quarantine&part=";
        let rows = deadly.site.http.get_json(&deadly.site.store, path).await;
        rows["rows"].as_array().is_some_and(|rows| !rows.is_empty()).then_some(())
    })
    .await;
    deadly.site.nodes.clear();
    deadly.site.add_nodes(NODES);
    deadly.site.wait_ready().await;
    deadly.wait_for_servers().await;
    deadly.assert_refused_everywhere(path, "body").await;
}

/// Guards against a node that was out of reach while the others learned of the request.
#[ntex::test]
async fn node_that_stood_still_refuses_the_deadly_request_too() {
    let path = "/lookup/deadly";
    let deadly = DeadlySite::start(path).await;
    let paused = &deadly.site.nodes[NODES - 1].process;
    paused.signal("STOP");
    for repetition in 0..REPETITIONS {
        let id = format!("d-{repetition}");
        let call = Call { id: &id, path, body: "body", ..Call::default() };
        deadly.send(repetition % (NODES - 1), &call).await;
    }
    paused.signal("CONT");
    eventually("the node knows of the request", async || {
        let is_told = |line: &String| line.contains("event=request_quarantined");
        paused.lines().iter().any(is_told).then_some(())
    })
    .await;
    deadly.assert_refused_everywhere(path, "body").await;
    assert!(deadly.ended() <= ENDED_MAX, "{} servers ended", deadly.ended());
}

/// Guards against refusals of requests that were on the same servers as the deadly one.
#[ntex::test]
async fn requests_beside_the_deadly_one_are_served() {
    let path = "/lookup/deadly";
    let deadly = DeadlySite::start(path).await;
    let bystanders = async {
        for round in 0..12 {
            let paths: Vec<String> =
                (0..4 * NODES).map(|n| format!("/lookup/beside-{round}-{n}")).collect();
            let replies = join_all(paths.iter().enumerate().map(|(n, path)| {
                let deadly = &deadly;
                async move { deadly.send_until_served(n % NODES, path).await }
            }));
            replies.await;
        }
    };
    futures_util::future::join(bystanders, deadly.repeat(path, &["body"])).await;
    let ended = deadly.ended();
    assert!(ended >= 3, "the test has ended {ended} servers only");
    assert!(ended <= ENDED_MAX + NODES, "{ended} servers ended");
}

/// Guards against a request that is refused because servers ended for other reasons.
#[ntex::test]
async fn request_that_completes_is_cleared_of_earlier_crashes() {
    let path = "/plain/deadly";
    let deadly = DeadlySite::start(path).await;
    for round in 0..4 {
        for repetition in 0..2 {
            let id = format!("crash-{round}-{repetition}");
            let call = Call { id: &id, path, body: "body", ..Call::default() };
            let reply = deadly.send(repetition, &call).await;
            assert_eq!((reply.status, reply.run()), (502, "unknown".to_owned()), "{}", reply.body);
        }
        for server in &deadly.servers {
            server.set_harmless(true);
        }
        let id = format!("served-{round}");
        let call = Call { id: &id, path, body: "body", ..Call::default() };
        assert_eq!(deadly.send(2, &call).await.status, 200);
        for server in &deadly.servers {
            server.set_harmless(false);
        }
        eventually("all nodes know that it has completed", async || {
            let is_cleared = |node: &SiteNode| {
                let lines = node.process.lines();
                lines.iter().filter(|line| line.contains("event=request_cleared")).count() > round
            };
            deadly.site.nodes.iter().all(is_cleared).then_some(())
        })
        .await;
    }
}

/// Guards against crashes that are forgotten with the nodes that saw them, before any node refuses
/// the request.
#[ntex::test]
async fn crashes_count_at_nodes_that_started_after_them() {
    let path = "/plain/deadly";
    let mut deadly = DeadlySite::start(path).await;
    for repetition in 0..2 {
        let id = format!("before-{repetition}");
        let call = Call { id: &id, path, body: "body", ..Call::default() };
        assert_eq!(deadly.send(repetition, &call).await.status, 502);
    }
    for _ in 0..NODES {
        deadly.site.nodes.remove(0);
        deadly.site.add_node();
        deadly.site.wait_ready().await;
        deadly.wait_for_servers().await;
    }
    let call = Call { id: "after", path, body: "body", ..Call::default() };
    assert_eq!(deadly.send(0, &call).await.status, 502);
    eventually("all nodes know that it is refused", async || {
        let is_told = |line: &String| line.contains("event=request_quarantined");
        let knows = |node: &SiteNode| node.process.lines().iter().any(is_told);
        deadly.site.nodes.iter().all(knows).then_some(())
    })
    .await;
    deadly.assert_refused_everywhere(path, "body").await;
    assert_eq!(deadly.ended(), 3);
}

/// Guards against a request that is bound to the last server that may have run it, and tried there
/// without a pause although nothing listens.
#[ntex::test]
async fn request_is_not_tried_without_a_pause_at_servers_that_have_ended() {
    let path = "/stream/talk/deadly";
    let deadly = DeadlySite::start(path).await;
    for number in 2..SERVERS {
        deadly.site.put_row("servers", &format!("crashing-{number}"), None).await;
    }
    eventually("the node knows that two servers are left", async || {
        deadly.site.metrics(0).await.contains("dandelionfront_servers 4\n").then_some(())
    })
    .await;
    for repetition in 0..4 {
        let id = format!("d-{repetition}");
        let call = Call { id: &id, path, body: "body", ..Call::default() };
        let reply = deadly.send(0, &call).await;
        assert!(matches!(reply.status, 502 | 503), "{}: {}", reply.status, reply.body);
    }
    assert_eq!(deadly.ended(), 2);
    let lines = deadly.site.nodes[0].process.lines();
    let refused = lines.iter().filter(|line| line.contains("step=connect")).count();
    // Each server is tried once in each pause, until a third of the request's time is over.
    assert!(refused <= 4 * 2 * CONNECT_ROUNDS_MAX, "{refused} connections refused");
}
