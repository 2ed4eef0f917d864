//! Requests that reach a node late in a planned stop, or outlast it.

mod support;

use std::time::{Duration, Instant};

use dandelionfront_standins::site::{Runner, RunnerSettings};
use futures_util::future::join;
use serde_json::json;
use support::http::{Reply, eventually};
use support::site::{Call, Site, SiteRunner, config};

/// Time that the server takes for each answer; longer than the grace period of the nodes, 8 s.
const ANSWER_DELAY_MS: u32 = 60_000;
/// Time limit of the requests, within which the node is not done with them before it ends.
const TIME_LIMIT_MS: u64 = 20_000;
/// Time from the signal after which the load balancer sends no new connections.
const LATE: Duration = Duration::from_millis(3_500);

/// Starts a node before a server that does not answer in time.
async fn start_site() -> (Site, SiteRunner) {
    let site = Site::start(1).await;
    let mut patient = config(4);
    for route in patient["routes"].as_array_mut().expect("a list") {
        route["timeoutMs"] = json!(TIME_LIMIT_MS);
    }
    site.publish(patient).await;
    let settings =
        RunnerSettings { id: "scripted-0".to_owned(), event_count: 1, delay_ms: ANSWER_DELAY_MS };
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let address = Runner::spawn(any_port, settings).expect("starts");
    site.replace_servers("desk", &[address]).await;
    eventually("the node has the new configuration", async || {
        site.metrics(0).await.contains("dandelionfront_config_version 4\n").then_some(())
    })
    .await;
    (site, SiteRunner { id: "scripted-0".to_owned(), address: address.to_string() })
}

async fn send(site: &Site, id: &str) -> Result<Reply, String> {
    let limit = TIME_LIMIT_MS.to_string();
    let headers = [("deadline-ms", limit.as_str())];
    site.send(0, &Call { id, headers: &headers, ..Call::default() }).await
}

async fn ids_that_ran(site: &Site, server: &SiteRunner) -> Vec<String> {
    let ran = site.recorded_requests(std::slice::from_ref(server)).await;
    ran.iter().map(|request| Site::header(request, "request-id").to_owned()).collect()
}

/// Guards against requests that are taken although the process ends before their deadline, and are
/// cut without an answer; against an answer that is missing for those that were taken before.
#[ntex::test]
async fn stopping_node_cuts_no_request_without_an_answer() {
    let (site, server) = start_site().await;
    let late = async {
        eventually("the first request runs", async || {
            (ids_that_ran(&site, &server).await == ["early"]).then_some(())
        })
        .await;
        let signalled_at = Instant::now();
        site.nodes[0].process.signal("TERM");
        eventually("the stop is late", async || (signalled_at.elapsed() > LATE).then_some(()))
            .await;
        send(&site, "late").await
    };
    let (early, late) = join(send(&site, "early"), late).await;
    let late = late.expect("the late request is answered");
    assert_eq!((late.status, late.run().as_str()), (503, "not_run"), "{}", late.body);
    assert_eq!(ids_that_ran(&site, &server).await, ["early"]);
    let early = early.expect("the early request is answered");
    assert_eq!((early.status, early.run().as_str()), (504, "unknown"), "{}", early.body);
}

/// Guards against requests that are taken while an idle node makes its final writes, and are cut when
/// it ends.
#[ntex::test]
async fn request_during_the_final_writes_is_not_cut() {
    let mut site = Site::start(1).await;
    let engine = site.start_engine(400).await;
    let headers = [("program-id", "p-1"), ("token-usage", "100,50"), ("token-budget", "100000")];
    let path = "/stream/talk/a";
    let turn = Call { id: "turn", path, headers: &headers, ..Call::default() };
    assert_eq!(site.send(0, &turn).await.expect("the node answers").status, 200);
    // The claim on the budget is released at the end, by a write that takes this time.
    site.set_faults(&site.store, &json!({ "delay_ms": 700 })).await;
    site.nodes[0].process.signal("TERM");
    let mut answers = Vec::new();
    while site.nodes[0].process.try_exit().is_none() {
        let id = format!("late-{}", answers.len());
        let call = Call { id: &id, path, ..Call::default() };
        let reply = site.send(0, &call).await;
        answers.push((id, reply));
        // Longer than the interval in which the node looks for requests in flight.
        ntex::time::sleep(Duration::from_millis(120)).await;
    }
    let ran = ids_that_ran(&site, &engine).await;
    for (id, reply) in answers {
        let is_answered = reply.is_ok_and(|reply| reply.status == 200 || reply.run() == "not_run");
        assert!(is_answered || !ran.contains(&id), "{id} ran and got no answer");
    }
}
