//! Answers that begin, and end, while their request is still being sent.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dandelionfront_standins::site::scripted::{
    LAST_CHUNK, answer, chunk, chunked_stream_head, events, unframed_stream_head,
};
use dandelionfront_standins::site::{Script, ScriptedServer, Step};
use serde_json::json;
use support::fleet::{ALPHA_KEY as FLEET_KEY, Fleet, FleetOptions};
use support::raw::RawAnswer;
use support::scripted::whole;
use support::site::{Call, EVENTS_PER_STREAM, ProcessLimits, Site, config};

/// Size of a request that the buffers between node and server do not hold.
const UPLOAD_BYTES: usize = 10 * 1024 * 1024;
/// Memory of the node's process, in MB.
const MEMORY_MB: u64 = 400;
/// Number of the parts of an answer so large that a node passes it on before its end.
const LARGE_PARTS: usize = 100_000;

/// Returns an answer of `parts` parts that ends with its connection.
fn unframed_answer(parts: usize) -> String {
    let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: s\r\n\r\n";
    head.to_owned() + &"part ".repeat(parts)
}

/// Returns an execution that answers before it has read the request, ends the answer in order, and
/// then resets the connection.
fn answer_early(answer: String) -> Script {
    let pause = Step::Pause(Duration::from_millis(5));
    vec![Step::Run, Step::Write(answer), Step::EndWriting, pause, Step::Reset, Step::ReadBody]
}

/// Starts a node that accepts long requests, before two servers of `service` that follow `scripts`.
async fn start(service: &str, scripts: Vec<Script>) -> (Site, Arc<ScriptedServer>) {
    let mut site = Site::start(0).await;
    let mut long = config(4);
    long["limits"]["maxBodyBytes"] = json!(2 * UPLOAD_BYTES);
    site.publish(long).await;
    site.add_limited_node(ProcessLimits { memory_mb: MEMORY_MB, descriptors_max: None });
    site.wait_ready().await;
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let (server, address) = ScriptedServer::spawn(any_port, scripts).expect("starts");
    let second = server.listen(any_port).expect("starts");
    site.replace_servers(service, &[address, second]).await;
    (site, server)
}

/// Sends a long request and returns what the caller receives.
async fn upload(site: &Site, path: &str) -> RawAnswer {
    let body = "x".repeat(UPLOAD_BYTES);
    let headers = [("deadline-ms", "20000")];
    let call = Call { id: "r-1", path, headers: &headers, body: &body, ..Call::default() };
    site.receive_raw(0, &call).await
}

/// Guards against the part of an answer without a length that looks whole, because its connection
/// ended in order before it was reset under the upload.
#[ntex::test]
async fn unframed_answer_that_ends_under_the_upload_is_not_whole() {
    for parts in [1, LARGE_PARTS] {
        let (site, server) = start("desk", vec![answer_early(unframed_answer(parts))]).await;
        let reply = upload(&site, "/plain/x").await;
        if parts == 1 {
            let told = (reply.status(), reply.run());
            assert_eq!(told, (Some(502), Some("unknown".to_owned())), "{reply:?}");
        } else {
            assert!(matches!(reply, RawAnswer::BrokenOff { .. }), "looks whole");
        }
        assert_eq!(server.executed(), ["r-1"]);
    }
}

/// Guards against the same part in place of the answer of another run, where the request may run
/// again.
#[ntex::test]
async fn request_whose_answer_ended_under_the_upload_is_repeated_if_it_may_be() {
    let run = vec![Step::Run, Step::Write(answer("200 OK", "server-seal: s\r\n", "whole"))];
    let (site, server) = start("desk", vec![answer_early(unframed_answer(1)), run]).await;
    assert_eq!(upload(&site, "/lookup/x").await, whole("whole"));
    assert_eq!(server.executed().len(), 2);
}

/// Guards against a stream that ends between two events as a whole one.
#[ntex::test]
async fn stream_that_ends_under_the_upload_is_resumed() {
    let begun = answer_early(unframed_stream_head() + &events(1, 2));
    let rest = chunked_stream_head() + &chunk(&events(3, EVENTS_PER_STREAM)) + LAST_CHUNK;
    let (site, server) = start("geo", vec![begun, vec![Step::Run, Step::Write(rest)]]).await;
    let reply = upload(&site, "/stream/talk/x").await;
    assert_eq!(reply, whole(events(1, EVENTS_PER_STREAM)));
    assert_eq!(server.executed().len(), 2);
}

/// Guards against the same part at a caller of the own interface.
#[ntex::test]
async fn service_answer_that_ends_under_the_upload_is_no_answer() {
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let (server, address) =
        ScriptedServer::spawn(any_port, vec![answer_early(unframed_answer(1))]).expect("starts");
    let limits = [format!("--body-max-bytes={UPLOAD_BYTES}"), format!("--memory-mb={MEMORY_MB}")];
    let options = FleetOptions { nodes: 1, node_args: limits.to_vec(), ..FleetOptions::default() };
    let fleet = Fleet::start(options).await;
    let mut objects = fleet.sample_objects();
    objects["backend"]["desk-1"]["address"] = json!(address.to_string());
    fleet.publish(objects, "early").await.expect_status(200);
    fleet.wait_config(2).await;
    let request = fleet.http.request("POST", &fleet.nodes[0].listen, "/v1/services/desk/x");
    let body = "x".repeat(UPLOAD_BYTES);
    let reply = fleet.http.send(request.bearer_auth(FLEET_KEY), body).await;
    let reply = reply.expect("the node answers");
    assert_eq!(server.received().len(), 1);
    assert_ne!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.run(), "unknown", "{}", reply.body);
}

/// Guards against whole answers that are refused: with a length, however early; and without one, once
/// the request was read.
#[ntex::test]
async fn answer_is_whole_if_its_length_or_its_end_shows_it() {
    let framed = answer("200 OK", "server-seal: s\r\n", "part ");
    let early = vec![Step::Run, Step::Write(framed), Step::ReadBody];
    let late = vec![Step::ReadBody, Step::Run, Step::Write(unframed_answer(1)), Step::Close];
    for script in [early, late] {
        let (site, _server) = start("desk", vec![script]).await;
        assert_eq!(upload(&site, "/plain/x").await, whole("part "));
    }
}
