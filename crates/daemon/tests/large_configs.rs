//! Large configurations over slow links to the store.

mod support;

use std::net::SocketAddr;

use dandelionfront_standins::FaultProxy;
use serde_json::{Value, json};
use support::http::eventually;
use support::site::{Call, Site, config};

/// Rate of a slow link, at which a large configuration takes some seconds.
const BYTES_PER_S: u32 = 500_000;
/// Routes of a large configuration that no request uses.
const UNUSED_ROUTES: usize = 4_200;
/// Number of the route that needs no key.
const OPEN_ROUTE: usize = 2;

/// Starts a proxy between nodes and the store, for the begin with a fast link; returns its address
/// and that of its control interface.
fn proxy(site: &Site) -> (SocketAddr, SocketAddr) {
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let target = site.store.parse().expect("an address");
    FaultProxy::spawn(any_port, any_port, target).expect("starts")
}

async fn set_faults(site: &Site, control: SocketAddr, faults: &Value) {
    site.http.put_json(&control.to_string(), "/v1/faults", faults).await;
}

/// Returns a large configuration with version 5, which calls the route without a key `/added/`
/// instead of `/open/`.
fn large_config() -> Value {
    let mut large = config(5);
    large["routes"][OPEN_ROUTE]["pathPrefix"] = "/added/".into();
    let unused = large["routes"][0].clone();
    let routes = large["routes"].as_array_mut().expect("a list");
    routes.extend((0..UNUSED_ROUTES).map(|number| {
        let mut route = unused.clone();
        route["name"] = format!("unused-{number}").into();
        route["pathPrefix"] = format!("/unused-{number}/").into();
        route
    }));
    large
}

/// Waits until a node serves requests as the large configuration says.
async fn wait_in_force(site: &Site, node: usize) {
    eventually("the large configuration is in force", async || {
        let added = Call { id: "added", path: "/added/x", ..Call::default() };
        let removed = Call { id: "removed", path: "/open/x", ..Call::default() };
        let added = site.send(node, &added).await.ok()?;
        let removed = site.send(node, &removed).await.ok()?;
        ((added.status, removed.status) == (200, 404)).then_some(())
    })
    .await;
}

/// Guards against a node that goes on with an older configuration because each read of the newest one
/// is cut off by a time limit and begins anew.
#[ntex::test]
async fn large_configuration_is_in_force_at_a_node_with_a_slow_link() {
    let mut site = Site::start(0).await;
    let (store, control) = proxy(&site);
    site.add_nodes_with_store(1, &store.to_string());
    site.wait_ready().await;
    set_faults(&site, control, &json!({ "bytes_per_s": BYTES_PER_S })).await;
    site.publish(large_config()).await;
    wait_in_force(&site, 0).await;
}

/// Guards against the same at a node that reaches the store through another one.
#[ntex::test]
async fn large_configuration_is_in_force_at_a_node_that_reads_it_through_another_one() {
    let mut site = Site::start(0).await;
    let (helping, isolated) = (proxy(&site), proxy(&site));
    site.add_nodes_with_store(1, &helping.0.to_string());
    site.add_nodes_with_store(1, &isolated.0.to_string());
    site.wait_ready().await;
    set_faults(&site, helping.1, &json!({ "bytes_per_s": BYTES_PER_S })).await;
    set_faults(&site, isolated.1, &json!({ "refuse": true, "close_open": true })).await;
    site.publish(large_config()).await;
    wait_in_force(&site, 1).await;
}

/// Guards against a node that never becomes ready because it cannot read its first configuration.
#[ntex::test]
async fn node_with_a_slow_link_starts_with_a_large_configuration() {
    let mut site = Site::start(0).await;
    site.publish(large_config()).await;
    let (store, control) = proxy(&site);
    set_faults(&site, control, &json!({ "bytes_per_s": BYTES_PER_S })).await;
    site.add_nodes_with_store(1, &store.to_string());
    site.wait_ready().await;
    wait_in_force(&site, 0).await;
}
