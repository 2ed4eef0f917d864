//! Backend servers that announce only in their answers that they leave.

mod support;

use serde_json::{Value, json};
use support::http::eventually;
use support::site::{Call, Site, SiteRunner};

/// Number of requests after which every ready server has been used.
const REQUESTS: usize = 24;

/// Writes the entry of a service's server as ready.
async fn announce_ready(site: &Site, server: &SiteRunner, sequence: u64, born: u64) {
    let entry = json!({
        "service": "desk", "address": server.address, "zone": "zone-a", "version": "v1", "slots": 4,
        "state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": born,
    });
    site.put_row("servers", &server.id, Some(entry)).await;
}

/// Sends requests to a node and returns how many of them the first service ran.
async fn send_and_count(site: &Site, node: usize, name: &str) -> usize {
    let first = &site.services[..1];
    let before = site.recorded_requests(first).await.len();
    for request in 0..REQUESTS {
        let id = format!("{name}-{request}");
        let reply = site.send(node, &Call { id: &id, ..Call::default() }).await;
        assert_eq!(reply.expect("the node answers").status, 200);
    }
    site.recorded_requests(first).await.len() - before
}

async fn wait_for_line(site: &Site, node: usize, words: &[&str]) {
    eventually("the line is written", async || {
        let lines = site.nodes[node].process.lines();
        lines.iter().any(|line| words.iter().all(|word| line.contains(word))).then_some(())
    })
    .await;
}

/// Guards against requests to a server that has announced in an answer that it leaves, while its
/// entry in the store says that it is ready.
#[ntex::test]
async fn server_that_announces_its_leave_in_an_answer_gets_no_requests_until_it_starts_anew() {
    let mut site = Site::start(2).await;
    let server =
        SiteRunner { id: site.services[0].id.clone(), address: site.services[0].address.clone() };
    site.set_faults(&server.address, &json!({ "leaving": true })).await;
    assert!(send_and_count(&site, 0, "learn").await <= 1, "used after it announced its leave");
    wait_for_line(&site, 0, &["event=server_leaving", "source=answer"]).await;
    // The other node has been told.
    wait_for_line(&site, 1, &["event=server_leaving", "source=node"]).await;
    assert_eq!(send_and_count(&site, 1, "told").await, 0);

    // The entry is written again, and is removed and written again, as after an outage of the store.
    let gone: Option<Value> = None;
    announce_ready(&site, &server, 2, 1).await;
    site.put_row("servers", &server.id, gone).await;
    wait_for_line(&site, 0, &["event=server_gone", &server.id]).await;
    announce_ready(&site, &server, 3, 1).await;
    eventually("the node has seen the entry again", async || {
        let lines = site.nodes[0].process.lines();
        let seen = |line: &&String| line.contains("event=server_seen server=desk-1");
        (lines.iter().filter(seen).count() >= 2).then_some(())
    })
    .await;
    assert_eq!(send_and_count(&site, 0, "again").await, 0);

    // A node that starts now asks the others.
    site.add_node();
    site.wait_ready().await;
    wait_for_line(&site, 2, &["event=server_leaving", "source=node"]).await;
    assert_eq!(send_and_count(&site, 2, "started").await, 0);

    site.set_faults(&server.address, &json!({ "leaving": false })).await;
    announce_ready(&site, &server, 1, 2).await;
    eventually("the server that has started anew is used", async || {
        (send_and_count(&site, 0, "anew").await > 0).then_some(())
    })
    .await;
}

/// Guards against taking a server out of use for the answer of another server that has its address.
#[ntex::test]
async fn only_the_server_that_answered_is_taken_out_of_use() {
    let site = Site::start(1).await;
    // The entry names a server that no longer has this address; the one there leaves.
    let taken = SiteRunner { id: "desk-old".to_owned(), address: site.services[0].address.clone() };
    announce_ready(&site, &taken, 1, 1).await;
    site.set_faults(&taken.address, &json!({ "leaving": true })).await;
    wait_for_line(&site, 0, &["event=server_seen server=desk-old"]).await;
    for request in 0..REQUESTS {
        let id = format!("r-{request}");
        let reply = site.send(0, &Call { id: &id, ..Call::default() }).await;
        assert_eq!(reply.expect("the node answers").status, 200);
    }
    let lines = site.nodes[0].process.lines();
    let wrong = lines.iter().find(|line| line.contains("event=server_leaving server=desk-old"));
    assert_eq!(wrong, None);
}
