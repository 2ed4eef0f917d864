//! Streams with long pauses, and streams that never finish an event.

mod support;

use dandelionfront_standins::site::{FaultyAnswer, FaultyServer};
use support::http::eventually;
use support::site::{Call, EVENTS_PER_STREAM, Site};

/// Guards against cutting a slow but sound stream because of a pause between its events.
#[ntex::test]
async fn stream_with_long_pauses_is_whole() {
    let site = Site::start(1).await;
    // Four such events take most of the caller's deadline.
    site.start_engine(800).await;
    let call = Call { id: "slow", path: "/stream/talk/x", ..Call::default() };
    let reply = site.send(0, &call).await.expect("the node answers").expect_status(200);
    let events = u64::try_from(reply.body.matches("data: token-").count()).expect("few");
    assert_eq!(events, EVENTS_PER_STREAM, "{}", reply.body);
}

/// Guards against a stalled stream that never ends because it sends a byte now and then.
#[ntex::test]
async fn stream_that_never_finishes_an_event_ends_with_the_deadline() {
    let site = Site::start(1).await;
    for engine in &site.engines {
        site.put_row("servers", &engine.id, None).await;
    }
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let (server, address) =
        FaultyServer::spawn(any_port, FaultyAnswer::TrickledEvent).expect("starts");
    site.put_server("faulty", &address.to_string(), "geo", "ready").await;
    eventually("the node has the new list of servers", async || {
        site.metrics(0).await.contains("dandelionfront_servers 3\n").then_some(())
    })
    .await;
    let call = Call { id: "trickle", path: "/stream/kept/x", ..Call::default() };
    let reply = site.send(0, &call).await;
    assert!(!matches!(&reply, Ok(reply) if reply.status == 200), "{reply:?}");
    assert_eq!(server.request_count(), 1, "a stream that may not be repeated");
    eventually("the node has closed its connection to the server", async || {
        (server.open_connections() == 0).then_some(())
    })
    .await;
}
