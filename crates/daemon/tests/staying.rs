//! Sessions stay at their backend server, whichever node their turns arrive at.

mod support;

use dandelionfront_coordination::protocol::PROTOCOL;
use support::http::eventually;
use support::process::Build;
use support::site::{Call, Site, SiteRunner};

const SESSIONS: usize = 16;

async fn wait_for_metric(site: &Site, node: usize, line: &str) {
    eventually(&format!("node {node} shows {line}"), async || {
        site.metrics(node).await.contains(&format!("\n{line}\n")).then_some(())
    })
    .await;
}

/// Waits until the nodes know each other, and that all of them let sessions stay or do not.
async fn wait_for_protocol(site: &Site, lowest: u32) {
    for node in 0..site.nodes.len() {
        let members = site.nodes.len() - 1;
        wait_for_metric(site, node, &format!("dandelionfront_members_heard {members}")).await;
        wait_for_metric(site, node, &format!("dandelionfront_protocol_lowest {lowest}")).await;
    }
}

/// Changes the state of an engine and waits until `nodes` know it.
async fn set_state(site: &Site, nodes: &[usize], engine: &SiteRunner, state: &str) {
    site.put_server(&engine.id, &engine.address, "geo", state).await;
    for node in nodes {
        let draining = u32::from(state == "draining");
        wait_for_metric(site, *node, &format!("dandelionfront_servers_draining {draining}")).await;
    }
}

/// Sends the turn with this number of all sessions to `node`; returns the number of those that
/// `engine` ran.
async fn send_turns(site: &Site, node: usize, turn: usize, engine: &SiteRunner) -> usize {
    for session in 0..SESSIONS {
        let (name, previous) = (format!("s-{session}"), format!("s-{session}-{}", turn.max(1) - 1));
        let mut headers = vec![("program-id", name.as_str()), ("session-id", name.as_str())];
        headers.extend((turn > 0).then_some(("previous-turn", previous.as_str())));
        let id = format!("{name}-{turn}");
        let call = Call {
            id: &id,
            path: "/stream/kept/a",
            headers: &headers,
            body: "x",
            ..Call::default()
        };
        let reply = site.send(node, &call).await.expect("the node answers");
        assert_eq!(reply.status, 200, "{id}: {}", reply.body);
    }
    let ran = site.recorded_requests(std::slice::from_ref(engine)).await;
    let suffix = format!("-{turn}");
    ran.iter().filter(|request| Site::header(request, "request-id").ends_with(&suffix)).count()
}

/// Guards against sessions that move again when a server that was draining returns, as when
/// successors join, because the node of their next turn doesn't know the server of the last one.
#[ntex::test]
async fn sessions_stay_where_another_node_has_sent_them() {
    let mut site = Site::start(2).await;
    wait_for_protocol(&site, PROTOCOL).await;
    let first = send_turns(&site, 0, 0, &site.engines[0]).await;
    assert!((1..SESSIONS).contains(&first), "{first} of {SESSIONS} at the first engine");
    set_state(&site, &[0, 1], &site.engines[0], "draining").await;
    assert_eq!(send_turns(&site, 1, 1, &site.engines[1]).await, SESSIONS);
    set_state(&site, &[0, 1], &site.engines[0], "ready").await;
    assert_eq!(send_turns(&site, 0, 2, &site.engines[1]).await, SESSIONS, "another node");
    site.add_node();
    site.wait_ready().await;
    wait_for_protocol(&site, PROTOCOL).await;
    assert_eq!(send_turns(&site, 2, 3, &site.engines[1]).await, SESSIONS, "a new node");
}

/// With a node of the build before, all nodes rank servers as it does.
#[ntex::test]
async fn sessions_return_while_a_node_of_the_build_before_runs() {
    if !Build::has_production() {
        return;
    }
    let mut site = Site::start(0).await;
    site.add_nodes_of(&[Build::Current, Build::Production], &site.store.clone());
    site.wait_ready().await;
    wait_for_metric(&site, 0, "dandelionfront_members_heard 1").await;
    wait_for_metric(&site, 0, "dandelionfront_protocol_lowest 0").await;
    let second = site.engines.len() - 1;
    let home = send_turns(&site, 0, 0, &site.engines[second]).await;
    set_state(&site, &[0], &site.engines[second], "draining").await;
    assert_eq!(send_turns(&site, 0, 1, &site.engines[second]).await, 0);
    set_state(&site, &[0], &site.engines[second], "ready").await;
    assert_eq!(send_turns(&site, 0, 2, &site.engines[second]).await, home);
}
