//! Backend servers that name in their answers how many requests a second they take from all nodes.

mod support;

use std::time::Instant;

use futures_util::future::join_all;
use serde_json::json;
use support::http::{Reply, eventually};
use support::site::{Call, EVENTS_PER_STREAM, Site, SiteNode, SiteRunner};

/// Number of nodes.
const NODES: usize = 4;
/// Limit that servers name, in requests a second.
const LIMIT_PER_S: f64 = 2.0;
/// Factor by which a server may get more than its limit in a period.
const OVERRUN: f64 = 1.5;
/// Requests that are sent at the same time where all servers have limits.
const CONCURRENT_REQUESTS: usize = 20;
/// Requests that a server may get beyond `OVERRUN` times its limit.
const SLACK: f64 = 5.0;

/// Returns the largest number of requests that a server with a limit may get in the time since
/// `since`.
fn allowed(since: Instant) -> f64 {
    OVERRUN * LIMIT_PER_S * since.elapsed().as_secs_f64() + SLACK
}

async fn executions(site: &Site, servers: &[SiteRunner]) -> usize {
    site.recorded_requests(servers).await.len()
}

async fn set_limit(site: &Site, servers: &[SiteRunner], limit_per_s: Option<f64>) {
    for server in servers {
        site.set_faults(&server.address, &json!({ "limit_per_s": limit_per_s })).await;
    }
}

async fn send(site: &Site, node: usize, id: &str, path: &str) -> Reply {
    let program = format!("program-{id}");
    let headers = [("program-id", program.as_str()), ("session-id", id)];
    let call = Call { id, path, headers: &headers, ..Call::default() };
    site.send(node, &call).await.expect("the node answers")
}

fn knows_limit(node: &SiteNode, server: &SiteRunner) -> bool {
    let line = format!("event=server_limit server={} limit_per_s={LIMIT_PER_S}", server.id);
    node.process.lines().iter().any(|known| known.contains(&line))
}

/// Sends requests until every node knows the limits of `servers`.
async fn teach(site: &Site, servers: &[SiteRunner], path: &str) {
    for (number, node) in site.nodes.iter().enumerate() {
        let mut requests = 0..;
        eventually("the node knows the limits", async || {
            let id = format!("teach-{number}-{:?}", requests.next());
            send(site, number, &id, path).await;
            servers.iter().all(|server| knows_limit(node, server)).then_some(())
        })
        .await;
    }
}

/// Guards against several times the requests of a server's limit, which all nodes send together.
#[ntex::test]
async fn server_gets_no_more_than_its_limit_from_all_nodes_together() {
    let site = Site::start(NODES).await;
    let limited = &site.services[..1];
    set_limit(&site, limited, Some(LIMIT_PER_S)).await;
    teach(&site, limited, "/plain/1").await;
    let (began, before) = (Instant::now(), executions(&site, limited).await);
    for request in 0..160 {
        let reply = send(&site, request % NODES, &format!("r-{request}"), "/plain/1").await;
        assert_eq!(reply.status, 200, "the other server has no limit: {}", reply.body);
    }
    let got = executions(&site, limited).await - before;
    #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
    let got = got as f64;
    assert!(got <= allowed(began), "{got} requests, {} allowed", allowed(began));
}

/// Guards against a server that gets few requests for good because nobody notices that its limit
/// has ended.
#[ntex::test]
async fn server_whose_limit_has_ended_is_used_as_before() {
    let site = Site::start(NODES).await;
    let limited = &site.services[..1];
    set_limit(&site, limited, Some(LIMIT_PER_S)).await;
    teach(&site, limited, "/plain/1").await;
    set_limit(&site, limited, None).await;
    for node in 0..NODES {
        eventually("the server gets its share of the requests again", async || {
            let before = executions(&site, limited).await;
            for request in 0..16 {
                let id = format!("again-{node}-{before}-{request}");
                assert_eq!(send(&site, node, &id, "/plain/1").await.status, 200);
            }
            (executions(&site, limited).await - before >= 4).then_some(())
        })
        .await;
    }
}

/// Guards against requests beyond the limits of all servers of a service that are sent all the same
/// or that wait until their deadline.
#[ntex::test]
async fn what_exceeds_the_limits_of_all_servers_is_refused_and_not_run() {
    let site = Site::start(NODES).await;
    set_limit(&site, &site.engines, Some(LIMIT_PER_S)).await;
    teach(&site, &site.engines, "/stream/talk/1").await;
    let (began, before) = (Instant::now(), executions(&site, &site.engines).await);
    let mut served = 0;
    for request in 0..80 {
        let reply = send(&site, request % NODES, &format!("s-{request}"), "/stream/talk/1").await;
        if reply.status == 200 {
            let events = reply.body.matches("data: ").count();
            assert_eq!(u64::try_from(events).expect("few"), EVENTS_PER_STREAM);
            served += 1;
        } else {
            assert_eq!(reply.status, 503, "{}", reply.body);
            assert!(reply.retry_after.is_some(), "{}", reply.body);
        }
    }
    let got = executions(&site, &site.engines).await - before;
    assert_eq!(got, served, "each refused request has not run");
    #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
    let (got, servers) = (got as f64, site.engines.len() as f64);
    let allowed = servers * allowed(began);
    assert!(got <= allowed, "{got} requests, {allowed} allowed");
}

/// Guards against a keeper's loss that gives the server a second burst.
#[ntex::test]
async fn limit_holds_while_nodes_are_killed() {
    let mut site = Site::start(NODES).await;
    let limited =
        [SiteRunner { id: site.services[0].id.clone(), address: site.services[0].address.clone() }];
    set_limit(&site, &limited, Some(LIMIT_PER_S)).await;
    teach(&site, &limited, "/plain/1").await;
    let (began, before) = (Instant::now(), executions(&site, &limited).await);
    for round in 0..3 {
        for request in 0..60 {
            let node = request % site.nodes.len();
            let reply = send(&site, node, &format!("k-{round}-{request}"), "/plain/1").await;
            assert_eq!(reply.status, 200, "the other server has no limit: {}", reply.body);
        }
        site.nodes.pop();
    }
    let got = executions(&site, &limited).await - before;
    #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
    let got = got as f64;
    assert!(got <= allowed(began), "{got} requests, {} allowed", allowed(began));
}

/// Guards against a second burst when the keeper stands still for a moment and goes on.
#[ntex::test]
async fn limit_holds_while_nodes_stand_still() {
    let site = Site::start(NODES).await;
    let limited = &site.services[..1];
    set_limit(&site, limited, Some(LIMIT_PER_S)).await;
    teach(&site, limited, "/plain/1").await;
    let (began, before) = (Instant::now(), executions(&site, limited).await);
    for paused in 0..NODES {
        site.nodes[paused].process.signal("STOP");
        for request in 0..40 {
            let node = (paused + 1 + request % (NODES - 1)) % NODES;
            let reply = send(&site, node, &format!("p-{paused}-{request}"), "/plain/1").await;
            assert_eq!(reply.status, 200, "the other server has no limit: {}", reply.body);
        }
        site.nodes[paused].process.signal("CONT");
    }
    let got = executions(&site, limited).await - before;
    #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
    let got = got as f64;
    assert!(got <= allowed(began), "{got} requests, {} allowed", allowed(began));
}

/// Sends requests at `nodes` in turn, some at the same time, of which each is served or refused with
/// a delay; panics on any other answer.
async fn send_beyond_limit(site: &Site, nodes: &[usize], round: &str, count: usize) {
    let requests: Vec<usize> = (0..count).collect();
    for requests in requests.chunks(CONCURRENT_REQUESTS) {
        let replies = join_all(requests.iter().map(|request| async move {
            let node = nodes[request % nodes.len()];
            send(site, node, &format!("{round}-{request}"), "/plain/1").await
        }));
        for reply in replies.await {
            let is_refused = reply.status == 503 && reply.retry_after.is_some();
            assert!(reply.status == 200 || is_refused, "{}: {}", reply.status, reply.body);
        }
    }
}

/// Panics if one of the servers got more requests than its limit allows since `began`.
async fn assert_each_within_limit(site: &Site, began: Instant, before: &[usize]) {
    for (server, before) in site.services.iter().zip(before) {
        let ran = site.recorded_requests(std::slice::from_ref(server)).await.len() - before;
        #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
        let ran = ran as f64;
        assert!(ran <= allowed(began), "{}: {ran} requests, {} allowed", server.id, allowed(began));
    }
}

async fn executions_of_each(site: &Site) -> Vec<usize> {
    let mut counts = Vec::new();
    for server in &site.services {
        counts.push(site.recorded_requests(std::slice::from_ref(server)).await.len());
    }
    counts
}

/// Guards against limits that hold only because placement prefers other servers.
#[ntex::test]
async fn permits_hold_the_limits_if_all_servers_have_one() {
    let site = Site::start(NODES).await;
    set_limit(&site, &site.services, Some(LIMIT_PER_S)).await;
    teach(&site, &site.services, "/plain/1").await;
    let (began, before) = (Instant::now(), executions_of_each(&site).await);
    send_beyond_limit(&site, &[0, 1, 2, 3], "all", 160).await;
    assert_each_within_limit(&site, began, &before).await;
}

/// Guards against a second burst from the keeper that takes over, if placement has no other server.
#[ntex::test]
async fn permits_hold_the_limits_of_all_servers_while_nodes_are_killed() {
    let mut site = Site::start(NODES).await;
    set_limit(&site, &site.services, Some(LIMIT_PER_S)).await;
    teach(&site, &site.services, "/plain/1").await;
    let (began, before) = (Instant::now(), executions_of_each(&site).await);
    for round in 0..3 {
        let nodes: Vec<usize> = (0..site.nodes.len()).collect();
        send_beyond_limit(&site, &nodes, &format!("killed-{round}"), 60).await;
        site.nodes.pop();
    }
    assert_each_within_limit(&site, began, &before).await;
}

/// Guards against a second burst from a keeper that stood still, if placement has no other server.
#[ntex::test]
async fn permits_hold_the_limits_of_all_servers_while_nodes_stand_still() {
    let site = Site::start(NODES).await;
    set_limit(&site, &site.services, Some(LIMIT_PER_S)).await;
    teach(&site, &site.services, "/plain/1").await;
    let (began, before) = (Instant::now(), executions_of_each(&site).await);
    for paused in 0..NODES {
        site.nodes[paused].process.signal("STOP");
        let others: Vec<usize> = (0..NODES).filter(|node| *node != paused).collect();
        send_beyond_limit(&site, &others, &format!("paused-{paused}"), 40).await;
        site.nodes[paused].process.signal("CONT");
    }
    assert_each_within_limit(&site, began, &before).await;
}
