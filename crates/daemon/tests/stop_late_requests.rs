//! Requests that reach a node late in a planned stop, or outlast it.

mod support;

use std::time::{Duration, Instant};

use dandelionfront_standins::site::scripted::{LAST_CHUNK, chunk, chunked_stream_head, events};
use dandelionfront_standins::site::{Runner, RunnerSettings, ScriptedServer, Step};
use futures_util::future::join;
use serde_json::json;
use support::http::{Reply, eventually};
use support::site::{Call, EVENTS_PER_STREAM, Site, SiteRunner, config};

/// Time that the server takes for each answer; longer than the grace period of the nodes, 8 s.
const ANSWER_DELAY_MS: u32 = 60_000;
/// Time limit of the requests, within which the node is not done with them before it ends.
const TIME_LIMIT_MS: u64 = 20_000;
/// Time from the signal after which the load balancer sends no new connections.
const LATE: Duration = Duration::from_millis(3_500);

/// Time from the signal after which the platform allows no answer to a new request to be cut.
const UNCUT_AFTER: Duration = Duration::from_secs(3);
/// Duration of a stream that ends within the grace period of the nodes, 8 s.
const LONG_STREAM: Duration = Duration::from_millis(7_450);

/// Starts a node that lets requests take longer than its grace period.
async fn start_patient_site() -> Site {
    let site = Site::start(1).await;
    let mut patient = config(4);
    for route in patient["routes"].as_array_mut().expect("a list") {
        route["timeoutMs"] = json!(TIME_LIMIT_MS);
    }
    site.publish(patient).await;
    eventually("the node has the new configuration", async || {
        site.metrics(0).await.contains("dandelionfront_config_version 4\n").then_some(())
    })
    .await;
    site
}

/// Starts a node before a server that does not answer in time.
async fn start_site() -> (Site, SiteRunner) {
    let site = start_patient_site().await;
    let settings =
        RunnerSettings { id: "scripted-0".to_owned(), event_count: 1, delay_ms: ANSWER_DELAY_MS };
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let address = Runner::spawn(any_port, settings).expect("starts");
    site.replace_servers("desk", &[address]).await;
    (site, SiteRunner { id: "scripted-0".to_owned(), address: address.to_string() })
}

async fn send(site: &Site, id: &str) -> Result<Reply, String> {
    send_to(site, "/plain/x", id).await
}

async fn send_to(site: &Site, path: &str, id: &str) -> Result<Reply, String> {
    let limit = TIME_LIMIT_MS.to_string();
    let headers = [("deadline-ms", limit.as_str())];
    site.send(0, &Call { id, path, headers: &headers, ..Call::default() }).await
}

/// Tells the node to stop and waits until `delay` has passed since.
async fn stop_and_wait(site: &Site, delay: Duration) {
    let signalled_at = Instant::now();
    site.nodes[0].process.signal("TERM");
    eventually("the stop goes on", async || (signalled_at.elapsed() > delay).then_some(())).await;
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
        stop_and_wait(&site, LATE).await;
        send(&site, "late").await
    };
    let (early, late) = join(send(&site, "early"), late).await;
    let late = late.expect("the late request is answered");
    assert_eq!((late.status, late.run().as_str()), (503, "not_run"), "{}", late.body);
    assert_eq!(ids_that_ran(&site, &server).await, ["early"]);
    let early = early.expect("the early request is answered");
    assert_eq!((early.status, early.run().as_str()), (504, "unknown"), "{}", early.body);
}

/// Guards against a stream that is sent just after the time up to which a stop may cut it, is taken
/// all the same, and is cut when the process ends.
#[ntex::test]
async fn stream_sent_when_no_stop_may_cut_it_is_refused_if_it_may_outlast_the_process() {
    let site = start_patient_site().await;
    let engine = site.start_engine(2_000).await;
    stop_and_wait(&site, UNCUT_AFTER).await;
    let late = send_to(&site, "/stream/talk/x", "late").await.expect("it is answered");
    assert_eq!((late.status, late.run().as_str()), (503, "not_run"), "{}", late.body);
    assert!(ids_that_ran(&site, &engine).await.is_empty());
}

/// Guards against a request that is admitted early in the stop, waits for a busy server, and is passed
/// on so late that it is cut.
#[ntex::test]
async fn request_that_waits_through_the_stop_is_refused_before_it_runs() {
    let site = start_patient_site().await;
    let busy = "HTTP/1.1 503 Service Unavailable\r\nrequest-id: {id}\r\nnot-executed: 1\r\n\
                content-length: 0\r\n\r\n";
    let busy = vec![Step::Pause(Duration::from_secs(1)), Step::write(busy)];
    let stream = vec![Step::Run, Step::write(chunked_stream_head() + &chunk(&events(1, 1)))];
    let scripts = vec![busy.clone(), busy.clone(), busy.clone(), busy, stream];
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let (server, address) = ScriptedServer::spawn(any_port, scripts).expect("starts");
    site.replace_servers("geo", &[address]).await;
    let stopping = async {
        eventually("the server is asked", async || (!server.received().is_empty()).then_some(()))
            .await;
        site.nodes[0].process.signal("TERM");
    };
    let (reply, ()) = join(send_to(&site, "/stream/talk/x", "waiting"), stopping).await;
    let reply = reply.expect("it is answered");
    assert_eq!((reply.status, reply.run().as_str()), (503, "not_run"), "{}", reply.body);
    assert!(server.executed().is_empty(), "{:?}", server.received());
}

/// Guards against a process that ends long before the end of its grace period and cuts a stream which
/// it has time to finish.
#[ntex::test]
async fn stream_that_ends_shortly_before_the_grace_period_is_whole() {
    let site = start_patient_site().await;
    let stream = vec![
        Step::Run,
        Step::write(chunked_stream_head() + &chunk(&events(1, 1))),
        Step::Pause(LONG_STREAM),
        Step::write(chunk(&events(2, EVENTS_PER_STREAM)) + LAST_CHUNK),
    ];
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let (server, address) = ScriptedServer::spawn(any_port, vec![stream]).expect("starts");
    site.replace_servers("geo", &[address]).await;
    let stopping = async {
        eventually("the stream runs", async || (!server.executed().is_empty()).then_some(())).await;
        site.nodes[0].process.signal("TERM");
    };
    let (reply, ()) = join(send_to(&site, "/stream/talk/x", "long"), stopping).await;
    let reply = reply.expect("the answer is whole");
    assert_eq!((reply.status, reply.body), (200, events(1, EVENTS_PER_STREAM)));
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
