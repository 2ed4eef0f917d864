//! Streams that are resumed at a node that is out of step. Nodes of earlier builds resume them at any
//! software version, so these tests are not among those with nodes of both builds.

mod support;

use serde_json::Value;
use support::site::{Call, Site};

/// Software versions of the engines.
const SOFTWARE: [&str; 2] = ["v1", "v1.1"];

/// Lists the engines of one software version only, and waits until all nodes know it.
async fn list_engines_of(site: &Site, listed: &[&str]) {
    for (engine, software) in site.engines.iter().zip(SOFTWARE) {
        if listed.contains(&software) {
            site.put_server_of(&engine.id, &engine.address, "geo", "ready", software).await;
        } else {
            site.put_row("servers", &engine.id, None).await;
        }
    }
    let engines = SOFTWARE.iter().filter(|software| listed.contains(software)).count();
    site.wait_server_count(site.services.len() + engines).await;
}

/// Guards against a stream that goes on at another software version, because the node that its caller
/// reaches is out of step: it knows an older stream of the session with the same body, and not the
/// newer one that another node began.
#[ntex::test]
async fn node_that_hears_no_other_resumes_no_stream_that_may_not_be_the_newest() {
    let site = Site::start_with_engines(3, &SOFTWARE).await;
    let headers = [("program-id", "p-1"), ("session-id", "s-1")];
    let path = "/stream/talk/a";
    let begin =
        |id: &'static str| Call { id, path, headers: &headers, body: "turn", ..Call::default() };
    list_engines_of(&site, &["v1"]).await;
    site.receive_first_event(0, &begin("older")).await;
    list_engines_of(&site, &["v1.1"]).await;
    site.receive_first_event(1, &begin("newer")).await;
    list_engines_of(&site, &SOFTWARE).await;
    for node in &site.nodes[1..] {
        node.process.signal("STOP");
    }
    let headers = [headers[0], headers[1], ("last-event-id", "1")];
    let call = Call { id: "resumed", headers: &headers, ..begin("resumed") };
    let reply = site.send(0, &call).await.expect("the node answers");
    assert_eq!((reply.status, reply.run().as_str()), (503, "not_run"), "{}", reply.body);
    let ran: Vec<Value> = site.recorded_requests(&site.engines).await;
    assert!(ran.iter().all(|request| Site::header(request, "request-id") != "resumed"));
}
