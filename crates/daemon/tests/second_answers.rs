//! Backend servers that send a second copy of an answer, late, on a connection that is used again.

mod support;

use std::sync::Arc;

use dandelionfront_standins::site::{Repeater, RepeaterSettings};
use support::http::eventually;
use support::site::{Call, Site};

/// Starts a site whose only plain service is a repeater.
async fn start_with_repeater(refuses_first: bool) -> (Site, Arc<Repeater>) {
    let site = Site::start(1).await;
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let settings = RepeaterSettings { id: "desk-r".to_owned(), refuses_first };
    let (repeater, address) = Repeater::spawn(any_port, settings).expect("starts");
    for service in &site.services {
        site.put_row("servers", &service.id, None).await;
    }
    site.put_server("desk-r", &address.to_string(), "desk", "ready").await;
    eventually("the node has the new list of servers", async || {
        site.metrics(0).await.contains("dandelionfront_servers 3\n").then_some(())
    })
    .await;
    (site, repeater)
}

/// Guards against giving a caller the second copy of another caller's answer.
#[ntex::test]
async fn second_copy_of_an_answer_reaches_no_other_caller() {
    let (site, repeater) = start_with_repeater(false).await;
    let mut answered = 0;
    for request in 0..20 {
        // Ids of equal length, so that the answers have equal lengths too.
        let id = format!("r-{request:02}");
        let (method, path) =
            if request % 2 == 0 { ("GET", "/lookup/x") } else { ("POST", "/plain/x") };
        let call = Call { id: &id, method, path, ..Call::default() };
        let reply = site.send(0, &call).await.expect("the node answers");
        match reply.status {
            200 => assert_eq!(reply.body, id),
            status => assert_eq!((status, reply.run().as_str()), (502, "unknown")),
        }
        answered += usize::from(reply.status == 200);
    }
    assert!(repeater.copy_count() > 0, "no connection was used again");
    assert!(answered >= 10, "{answered} answered");
}

/// Guards against taking the second copy of a refusal for the answer to a later attempt of the same
/// request, which then runs although its caller is told that it has not, or runs twice.
#[ntex::test]
async fn second_copy_of_a_refusal_does_not_make_a_request_run_twice() {
    let (site, repeater) = start_with_repeater(true).await;
    for request in 0..10 {
        let id = format!("r-{request:02}");
        let reply = site.send(0, &Call { id: &id, ..Call::default() }).await;
        let reply = reply.expect("the node answers");
        let runs = repeater.executed().iter().filter(|ran| **ran == id).count();
        match reply.status {
            200 => assert_eq!((reply.body.as_str(), runs), (id.as_str(), 1)),
            503 => assert_eq!((reply.run().as_str(), runs), ("not_run", 0)),
            status => {
                assert_eq!((status, reply.run().as_str()), (502, "unknown"));
                assert!(runs <= 1, "{id} ran {runs} times");
            }
        }
    }
    assert!(!repeater.executed().is_empty(), "no request ran");
}
