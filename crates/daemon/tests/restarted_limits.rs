//! Team limits over restarts of all nodes.

mod support;

use futures_util::future::join_all;
use serde_json::json;
use support::http::{Reply, eventually};
use support::site::{Call, Site};

/// Key of a team with a rate of one request in 100 seconds and a burst of [`BURST`] requests.
const LIMITED_KEY: &str = "key-of-limited";
const BURST: usize = 10;

async fn send(site: &Site, id: &str) -> Reply {
    let call = Call { id, key: LIMITED_KEY, ..Call::default() };
    site.send(0, &call).await.expect("the node answers")
}

/// Starts a site whose only node knows the limited team.
async fn start_site() -> Site {
    let mut site = Site::start(1).await;
    let limited =
        json!({ "name": "limited", "apiKeys": [LIMITED_KEY], "ratePerS": 0.01, "burst": BURST });
    site.config["tenants"].as_array_mut().expect("a list").push(limited);
    site.config["version"] = json!(4);
    site.publish(site.config.clone()).await;
    wait_configured(&site).await;
    site
}

async fn wait_configured(site: &Site) {
    eventually("the node has the configuration", async || {
        site.metrics(0).await.contains("dandelionfront_config_version 4\n").then_some(())
    })
    .await;
}

/// Sends as many requests as the burst allows, and returns how many ran.
async fn send_burst(site: &Site, name: &str) -> usize {
    let replies = (0..BURST).map(async |number| {
        let reply = send(site, &format!("{name}-{number}")).await;
        assert!([200, 429, 503].contains(&reply.status), "{}", reply.body);
        usize::from(reply.status == 200)
    });
    join_all(replies).await.into_iter().sum()
}

/// Guards against a team that gets more than its limit, because each process starts with tokens that
/// earlier ones have spent.
#[ntex::test]
async fn tokens_spent_before_a_restart_are_not_spent_again() {
    let mut site = start_site().await;
    let mut ran = 0;
    for round in 0..3 {
        ran += send_burst(&site, &format!("r-{round}")).await;
        let build = site.nodes[0].build;
        site.nodes[0].restart(build);
        site.wait_node_ready(0).await;
    }
    assert!(ran <= BURST, "{ran} requests ran, {BURST} allowed");
}

/// Guards against a team that gets more than its limit, because callers reach a restarted node that
/// has its configuration, but does not know yet that there were others or an earlier process.
#[ntex::test]
async fn node_that_has_not_read_the_list_of_nodes_admits_no_requests() {
    let mut site = start_site().await;
    let mut ran = send_burst(&site, "before").await;
    site.set_faults(&site.store, &json!({ "unreadable_table": "nodes" })).await;
    for round in 0..2 {
        let build = site.nodes[0].build;
        site.nodes[0].restart(build);
        wait_configured(&site).await;
        ran += send_burst(&site, &format!("unready-{round}")).await;
    }
    assert!(ran <= BURST, "{ran} requests ran, {BURST} allowed");
    site.set_faults(&site.store, &json!({})).await;
    site.wait_node_ready(0).await;
}
