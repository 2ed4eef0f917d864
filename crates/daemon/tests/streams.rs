//! Streams that are resumed while backend servers of several software versions serve side by side.

mod support;

use std::collections::BTreeSet;

use serde_json::{Value, json};
use support::http::{Reply, eventually};
use support::site::{Call, EVENTS_PER_STREAM, Site, config};

/// Software versions of the engines; every version has two.
const SOFTWARE: [&str; 6] = ["v1", "v1", "v1.1", "v1.1", "v1.2", "v1.2"];
/// Number of streams in a test.
const STREAMS: usize = 24;

fn events_after(first: u64) -> String {
    let events =
        (first + 1..=EVENTS_PER_STREAM).map(|id| format!("id: {id}\ndata: token-{id}\n\n"));
    events.collect::<Vec<_>>().concat()
}

/// Returns the software versions of the engines that ran any of the requests `ids`.
async fn software_that_ran(site: &Site, ids: &[&str]) -> BTreeSet<&'static str> {
    let mut versions = BTreeSet::new();
    for (engine, software) in site.engines.iter().zip(SOFTWARE) {
        let ran = site.recorded_requests(std::slice::from_ref(engine)).await;
        if ran.iter().any(|request| ids.contains(&Site::header(request, "request-id"))) {
            versions.insert(software);
        }
    }
    versions
}

/// Resumes the stream `first_id` after its first event.
async fn resume(site: &Site, node: usize, first_id: &str, id: &str) -> Reply {
    let headers = [("last-event-id", "1"), ("resumes", first_id)];
    let call = Call { id, path: "/stream/talk/a", headers: &headers, ..Call::default() };
    site.send(node, &call).await.expect("the node answers")
}

/// Guards against a stream that a node resumes within one answer at a server of another software
/// version after its server broke off.
#[ntex::test]
async fn node_resumes_an_interrupted_stream_at_the_software_version_that_began_it() {
    let site = Site::start_with_engines(1, &SOFTWARE).await;
    for engine in &site.engines {
        site.set_faults(&engine.address, &json!({ "cut_streams": 2 })).await;
    }
    let mut complete = 0;
    for stream in 0..STREAMS {
        let id = format!("t-{stream}");
        let call = Call { id: &id, path: "/stream/talk/a", ..Call::default() };
        let reply = site.send(0, &call).await;
        complete += usize::from(reply.is_ok_and(|reply| reply.body == events_after(0)));
        let versions = software_that_ran(&site, &[&id]).await;
        assert_eq!(versions.len(), 1, "stream {stream} holds events of {versions:?}");
    }
    assert!(complete >= STREAMS / 2, "only {complete} streams were complete");
}

/// Guards against a stream that its caller resumes at another node, which does not know the
/// software version that began it.
#[ntex::test]
async fn caller_resumes_its_stream_at_another_node_at_the_software_version_that_began_it() {
    let site = Site::start_with_engines(3, &SOFTWARE).await;
    for stream in 0..STREAMS {
        let (first, second) = (format!("first-{stream}"), format!("second-{stream}"));
        let call = Call { id: &first, path: "/stream/talk/a", ..Call::default() };
        site.receive_first_event(stream % 3, &call).await;
        let reply = resume(&site, (stream + 1) % 3, &first, &second).await;
        assert_eq!((reply.status, reply.body), (200, events_after(1)), "stream {stream}");
        let versions = software_that_ran(&site, &[&first, &second]).await;
        assert_eq!(versions.len(), 1, "stream {stream} holds events of {versions:?}");
    }
}

/// Guards against refusing, or resuming at another software version, the streams of callers that do
/// not name the request that brought the first event.
#[ntex::test]
async fn stream_of_a_caller_that_does_not_name_it_is_resumed_at_the_software_version_that_began_it()
{
    let site = Site::start_with_engines(3, &SOFTWARE).await;
    for stream in 0..STREAMS {
        let (first, second) = (format!("first-{stream}"), format!("second-{stream}"));
        let (session, body) = (format!("session-{}", stream % 4), format!("turn {stream}"));
        let headers = [("program-id", "p-1"), ("session-id", session.as_str())];
        let path = "/stream/talk/a";
        let call = Call { id: &first, path, headers: &headers, body: &body, ..Call::default() };
        site.receive_first_event(stream % 3, &call).await;
        let headers = [headers[0], headers[1], ("last-event-id", "1")];
        let call = Call { id: &second, path, headers: &headers, body: &body, ..Call::default() };
        let reply = site.send((stream + 1) % 3, &call).await.expect("the node answers");
        assert_eq!((reply.status, reply.body), (200, events_after(1)), "stream {stream}");
        let versions = software_that_ran(&site, &[&first, &second]).await;
        assert_eq!(versions.len(), 1, "stream {stream} holds events of {versions:?}");
    }
}

/// Guards against streams that cannot be resumed because the node that began them was killed.
#[ntex::test]
async fn streams_of_a_killed_node_are_resumed_at_the_software_version_that_began_them() {
    let mut site = Site::start_with_engines(4, &SOFTWARE).await;
    for stream in 0..STREAMS {
        let id = format!("first-{stream}");
        let call = Call { id: &id, path: "/stream/talk/a", ..Call::default() };
        site.receive_first_event(0, &call).await;
    }
    site.nodes[0].process.kill();
    for stream in 0..STREAMS {
        let (first, second) = (format!("first-{stream}"), format!("second-{stream}"));
        let reply = resume(&site, 1 + stream % 3, &first, &second).await;
        assert_eq!((reply.status, reply.body), (200, events_after(1)), "stream {stream}");
        let versions = software_that_ran(&site, &[&first, &second]).await;
        assert_eq!(versions.len(), 1, "stream {stream} holds events of {versions:?}");
    }
}

/// Guards against resuming a stream at any software version when no node knows which one began it,
/// or when no server of that version is left.
#[ntex::test]
async fn stream_without_a_server_of_its_software_version_is_refused_as_not_run() {
    let site = Site::start_with_engines(2, &SOFTWARE).await;
    let unknown = resume(&site, 0, "never-begun", "second-0").await;
    assert_eq!((unknown.status, unknown.run().as_str()), (503, "not_run"), "{}", unknown.body);

    let call = Call { id: "first-1", path: "/stream/talk/a", ..Call::default() };
    site.receive_first_event(0, &call).await;
    let began = software_that_ran(&site, &["first-1"]).await;
    for (engine, software) in site.engines.iter().zip(SOFTWARE) {
        if began.contains(software) {
            site.put_row("servers", &engine.id, None).await;
        }
    }
    eventually("the servers are gone", async || {
        let metrics = site.metrics(1).await;
        metrics.contains("dandelionfront_servers 6\n").then_some(())
    })
    .await;
    let left = resume(&site, 1, "first-1", "second-1").await;
    assert_eq!((left.status, left.run().as_str()), (503, "not_run"), "{}", left.body);
    assert!(software_that_ran(&site, &["second-0", "second-1"]).await.is_empty());
}

/// Guards against a resumed stream that goes to another service of a route that splits its traffic.
#[ntex::test]
async fn resumed_stream_stays_with_the_service_that_began_it() {
    let site = Site::start_with_engines(2, &SOFTWARE).await;
    // Every second engine of a version belongs to the other service.
    for (engine, software) in site.engines.iter().zip(SOFTWARE).skip(1).step_by(2) {
        site.put_server_of(&engine.id, &engine.address, "geo-b", "ready", software).await;
    }
    let mut split = config(5);
    split["routes"][3]["service"] = Value::Null;
    split["routes"][3]["trafficSplit"] =
        json!([{ "service": "geo", "weight": 50 }, { "service": "geo-b", "weight": 50 }]);
    let services = split["services"].as_array_mut().expect("services");
    let other = json!({ "name": "geo-b", "maxConnections": 100, "engine": services[0]["engine"] });
    services.push(other);
    site.publish(split).await;
    eventually("both nodes send streams to both services", async || {
        for request in 0..16_usize {
            let id = format!("wait-{request}");
            let call = Call { id: &id, path: "/stream/talk/a", ..Call::default() };
            let reply = site.send(request % 2, &call).await.expect("the node answers");
            if reply.status != 200 {
                return None;
            }
        }
        let versions = [site.metrics(0).await, site.metrics(1).await];
        let is_new = |metrics: &String| metrics.contains("dandelionfront_config_version 5\n");
        versions.iter().all(is_new).then_some(())
    })
    .await;
    for stream in 0..STREAMS {
        let (first, second) = (format!("first-{stream}"), format!("second-{stream}"));
        let call = Call { id: &first, path: "/stream/talk/a", ..Call::default() };
        site.receive_first_event(0, &call).await;
        let reply = resume(&site, 1, &first, &second).await;
        assert_eq!((reply.status, reply.body), (200, events_after(1)), "stream {stream}");
        let mut services = BTreeSet::new();
        for (index, engine) in site.engines.iter().enumerate() {
            let ran = site.recorded_requests(std::slice::from_ref(engine)).await;
            let ids = [first.as_str(), second.as_str()];
            if ran.iter().any(|request| ids.contains(&Site::header(request, "request-id"))) {
                services.insert(index % 2);
            }
        }
        assert_eq!(services.len(), 1, "stream {stream} went to both services");
    }
}
