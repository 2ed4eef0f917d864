//! Model engines and plain services that send bytes without end to nodes of the own interface.

mod support;

use dandelionfront_standins::site::{FaultyAnswer, FaultyServer};
use futures_util::future::join_all;
use serde_json::json;
use support::fleet::{ALPHA_KEY, Fleet, FleetOptions};
use support::http::Reply;

/// Calls that are under way at the same time.
const CALLS: usize = 8;
/// Memory that a node may use, in KB.
const MEMORY_MAX_KB: u64 = 256 * 1024;

/// Starts one node whose backend server `name` answers like `answer`, and sends calls to `path` at
/// the same time; checks the node's memory and returns the replies.
async fn replies_of(answer: FaultyAnswer, name: &str, path: &str) -> Vec<Reply> {
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let (_server, address) = FaultyServer::spawn(any_port, answer).expect("starts");
    let fleet = Fleet::start(FleetOptions { nodes: 1, ..FleetOptions::default() }).await;
    let mut objects = fleet.sample_objects();
    objects["backend"][name]["address"] = json!(address.to_string());
    fleet.publish(objects, "endless").await.expect_status(200);
    fleet.wait_config(2).await;
    let messages = json!([{ "role": "user", "content": "x" }]);
    let body = json!({ "model": "geo", "messages": messages }).to_string();
    let replies = join_all((0..CALLS).map(async |_| {
        let request = fleet.http.request("POST", &fleet.nodes[0].listen, path);
        let reply = fleet.http.send(request.bearer_auth(ALPHA_KEY), body.clone()).await;
        reply.expect("the node answers")
    }))
    .await;
    let status = format!("/proc/{}/status", fleet.nodes[0].process.id());
    let status = std::fs::read_to_string(status).expect("the node runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let peak_kb: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak_kb <= MEMORY_MAX_KB, "{answer:?}: {peak_kb} KB");
    replies
}

/// Guards against a node that keeps the endless answer of a service.
#[ntex::test]
async fn endless_answer_of_a_service_takes_bounded_memory() {
    let path = "/v1/services/desk/x";
    for reply in replies_of(FaultyAnswer::EndlessBody, "desk-1", path).await {
        assert!(reply.status >= 400 && reply.run() == "unknown", "{} {}", reply.status, reply.body);
    }
}

/// Guards against a node that keeps the endless completion of a model engine.
#[ntex::test]
async fn endless_completion_takes_bounded_memory() {
    let path = "/v1/chat/completions";
    for reply in replies_of(FaultyAnswer::EndlessCompletion, "engine-0", path).await {
        assert!(reply.status >= 400 && reply.run() == "unknown", "{} {}", reply.status, reply.body);
    }
}
