//! Nodes that reach the store but cannot tell whether their configuration is the newest.

mod support;

use serde_json::json;
use support::http::{Reply, eventually};
use support::site::{Call, Site, config};

/// Number of the route that needs no key.
const OPEN_ROUTE: usize = 2;

/// Starts a node that can read all tables of the store but the operator's.
async fn start_with_unreadable_config() -> Site {
    let site = Site::start(1).await;
    let store = site.store.clone();
    site.set_faults(&store, &json!({ "unreadable_table": "op" })).await;
    // The node must read the whole table again.
    site.http.put_json(&store, "/standin/forget", &json!({})).await;
    site
}

async fn send_open(site: &Site) -> Reply {
    let call = Call { id: "open", path: "/open/x", ..Call::default() };
    site.send(0, &call).await.expect("the node answers")
}

async fn is_ready(site: &Site) -> bool {
    let request = site.http.request("GET", &site.nodes[0].ready, "/v1/ready");
    site.http.send(request, "").await.expect("the node answers").status == 200
}

/// Guards against a removed route without a key that a node goes on to serve while it cannot read
/// the configuration.
#[ntex::test]
async fn removed_route_without_a_key_is_not_served_while_the_configuration_cannot_be_read() {
    let site = start_with_unreadable_config().await;
    let mut without_open = config(5);
    without_open["routes"].as_array_mut().expect("a list").remove(OPEN_ROUTE);
    site.publish(without_open).await;
    eventually("the route is refused", async || {
        let reply = send_open(&site).await;
        (reply.status == 503 && reply.kind() == "config_stale").then_some(())
    })
    .await;
    site.set_faults(&site.store, &json!({})).await;
    eventually("the route is unknown", async || {
        (send_open(&site).await.status == 404).then_some(())
    })
    .await;
}

/// Guards against a node that is sent callers although it refuses nearly all of them.
#[ntex::test]
async fn node_is_not_ready_while_its_configuration_cannot_be_read() {
    let site = start_with_unreadable_config().await;
    eventually("the node is not ready", async || (!is_ready(&site).await).then_some(())).await;
    site.set_faults(&site.store, &json!({})).await;
    eventually("the node is ready", async || is_ready(&site).await.then_some(())).await;
}

/// Guards against refusals of routes without a key while no node reaches the store.
#[ntex::test]
async fn route_without_a_key_is_served_while_the_store_is_down() {
    let site = Site::start(1).await;
    site.set_faults(&site.store, &json!({ "outage": true })).await;
    eventually("requests with a key are refused", async || {
        let reply = site.send(0, &Call::default()).await.ok()?;
        (reply.status == 503 && reply.kind() == "config_stale").then_some(())
    })
    .await;
    assert_eq!(send_open(&site).await.status, 200);
    assert!(is_ready(&site).await);
}

/// Guards against keys that stay valid because the configuration that withdraws them is malformed.
#[ntex::test]
async fn keys_are_refused_while_the_newest_configuration_is_malformed() {
    let site = Site::start(1).await;
    let mut malformed = config(5);
    malformed["tenants"] = json!([]);
    malformed["routes"] = json!("none");
    site.publish(malformed).await;
    eventually("requests with a key are refused", async || {
        let reply = site.send(0, &Call::default()).await.ok()?;
        (reply.status == 503 && reply.kind() == "config_stale").then_some(())
    })
    .await;
    site.publish(config(7)).await;
    eventually("requests with a key are served", async || {
        (site.send(0, &Call::default()).await.ok()?.status == 200).then_some(())
    })
    .await;
}
