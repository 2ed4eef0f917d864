//! A key gives access to its own team only, is never shown to a backend server and stops working
//! within seconds of its withdrawal.

mod support;

use std::time::{Duration, Instant};

use ntex::client::ClientRequest;
use serde_json::{Value, json};
use support::fleet::{ALPHA_KEY, BETA_KEY, Fleet, FleetOptions, ProgramCall};
use support::http::eventually;

/// Longest time from the acceptance of a withdrawal to the last byte of a stream of the key.
const MAX_WITHDRAWAL_TIME: Duration = Duration::from_secs(5);

/// Length of a stream that outlasts [`MAX_WITHDRAWAL_TIME`], in tokens.
const LONG_STREAM_TOKENS: u32 = 200;

/// Returns options with engines whose streams of [`LONG_STREAM_TOKENS`] outlast
/// [`MAX_WITHDRAWAL_TIME`].
fn slow_engines() -> FleetOptions {
    let engine_args = ["--token-interval-ms", "100"].map(str::to_owned).to_vec();
    FleetOptions { engine_args, ..FleetOptions::default() }
}

fn stream_request(fleet: &Fleet, node: usize, key: &str, tokens: u32) -> (ClientRequest, String) {
    let request = fleet.http.request("POST", &fleet.nodes[node].listen, "/v1/chat/completions");
    let body = json!({
        "model": "geo",
        "messages": [{ "role": "user", "content": format!("tokens={tokens}") }],
        "max_tokens": tokens,
        "stream": true,
    });
    (request.bearer_auth(key), body.to_string())
}

/// Reads a stream to its end; returns its text and the time at which the last byte arrived.
async fn read_stream((request, body): (ClientRequest, String)) -> (String, Instant) {
    let response = request.send_body(body).await.expect("stream begins");
    let mut payload = response.take_payload();
    let (mut text, mut last_byte) = (String::new(), Instant::now());
    while let Some(Ok(chunk)) = payload.recv().await {
        text.push_str(&String::from_utf8_lossy(&chunk));
        last_byte = Instant::now();
    }
    (text, last_byte)
}

async fn withdraw(fleet: &Fleet, node: usize, key_name: &str) -> Instant {
    let path = format!("/v1/keys/{key_name}");
    let request = fleet.http.request("DELETE", &fleet.nodes[node].operator, &path);
    fleet.http.send(request, "").await.expect("withdrawal answers").expect_status(200);
    Instant::now()
}

#[ntex::test]
async fn withdrawn_key_ends_open_streams_and_refuses_new_requests() {
    let fleet = Fleet::start(slow_engines()).await;
    let streams: Vec<_> = (0..2)
        .map(|node| {
            ntex::rt::spawn(read_stream(stream_request(
                &fleet,
                node,
                ALPHA_KEY,
                LONG_STREAM_TOKENS,
            )))
        })
        .collect();
    let other = ntex::rt::spawn(read_stream(stream_request(&fleet, 1, BETA_KEY, 30)));
    eventually("the streams run", async || (fleet.engine_record(0).await.len() == 3).then_some(()))
        .await;
    let accepted = withdraw(&fleet, 0, "alpha-1").await;
    for stream in streams {
        let (text, last_byte) = stream.await.expect("task ends");
        assert!(last_byte.saturating_duration_since(accepted) < MAX_WITHDRAWAL_TIME);
        assert!(text.contains("key_withdrawn") && !text.contains("[DONE]"), "{text}");
    }
    for node in &fleet.nodes {
        let call = ProgramCall { program: "", sequence: 1, idempotency_key: "k", content: "x" };
        let reply = fleet
            .model_call(node, ALPHA_KEY, &call)
            .await
            .expect("the node answers")
            .expect_status(401);
        assert_eq!((reply.kind().as_str(), reply.run().as_str()), ("key_withdrawn", "not_run"));
    }
    let (text, _) = other.await.expect("task ends");
    assert!(text.contains("[DONE]"), "the other team's stream was cut off");
}

/// Guards against a withdrawn key that still works on a node whose connections to the table stay
/// open but carry no data.
#[ntex::test]
async fn withdrawal_reaches_a_node_without_table_access() {
    let mut fleet = Fleet::start(slow_engines()).await;
    let (proxy, control) = Fleet::proxy(&fleet.platform_address);
    let node = fleet.start_node(&proxy.1, &[]);
    fleet.nodes.push(node);
    fleet.wait_settled().await;
    let stream =
        ntex::rt::spawn(read_stream(stream_request(&fleet, 2, ALPHA_KEY, LONG_STREAM_TOKENS)));
    eventually("the stream runs", async || (fleet.engine_record(0).await.len() == 1).then_some(()))
        .await;
    let faults = json!({ "silence_all": true });
    fleet.http.put_json(&control, "/v1/faults", &faults).await;
    let accepted = withdraw(&fleet, 0, "alpha-1").await;
    let (text, last_byte) = stream.await.expect("task ends");
    assert!(last_byte.saturating_duration_since(accepted) < MAX_WITHDRAWAL_TIME);
    assert!(text.contains("key_withdrawn"), "{text}");
}

/// Guards against a withdrawn key that still works on other nodes because the table fails right
/// after the withdrawal.
#[ntex::test]
async fn withdrawal_reaches_all_nodes_during_a_table_outage() {
    let fleet = Fleet::start(slow_engines()).await;
    let stream =
        ntex::rt::spawn(read_stream(stream_request(&fleet, 1, ALPHA_KEY, LONG_STREAM_TOKENS)));
    eventually("the stream runs", async || (fleet.engine_record(0).await.len() == 1).then_some(()))
        .await;
    let accepted = withdraw(&fleet, 0, "alpha-1").await;
    fleet.platform_faults(json!({ "outage": true })).await;
    let (text, last_byte) = stream.await.expect("task ends");
    assert!(last_byte.saturating_duration_since(accepted) < MAX_WITHDRAWAL_TIME);
    assert!(text.contains("key_withdrawn"), "{text}");
}

#[ntex::test]
async fn keys_appear_neither_at_backend_servers_nor_in_logs() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    for (sequence, node) in [(1, 0), (2, 1)] {
        let key = format!("m-{sequence}");
        let call = ProgramCall { program: &program, sequence, idempotency_key: &key, content: "x" };
        fleet
            .model_call(&fleet.nodes[node], ALPHA_KEY, &call)
            .await
            .expect("the node answers")
            .expect_status(200);
    }
    let call = ProgramCall { program: &program, sequence: 3, idempotency_key: "s", content: "x" };
    fleet
        .service_call(&fleet.nodes[0], ALPHA_KEY, &call)
        .await
        .expect("the node answers")
        .expect_status(200);
    let open = fleet.http.request("GET", &fleet.nodes[0].listen, "/v1/services/status/now");
    fleet
        .http
        .send(open.bearer_auth(ALPHA_KEY), "")
        .await
        .expect("the node answers")
        .expect_status(200);
    fleet
        .service_call(&fleet.nodes[0], "unknown-key-text", &call)
        .await
        .expect("the node answers")
        .expect_status(401);

    let mut seen = fleet.engine_record(0).await;
    seen.extend(fleet.service_record().await);
    assert_eq!(seen.len(), 4);
    let forbidden = [ALPHA_KEY, "unknown-key-text", "authorization"];
    let shown = |text: &str| forbidden.iter().any(|word| text.to_lowercase().contains(word));
    for request in &seen {
        assert!(!shown(&request.to_string()), "a backend server saw a key: {request}");
    }
    for node in &fleet.nodes {
        for line in node.process.lines() {
            assert!(!shown(&line), "a log line shows a key: {line}");
        }
    }
}

#[ntex::test]
async fn keys_give_access_only_to_their_own_team() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let mut objects = fleet.sample_objects();
    objects["route"]["desk"]["teams"] = json!(["alpha"]);
    fleet.publish(objects, "narrow").await.expect_status(200);
    fleet.wait_config(2).await;
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    let missing = program.replace(&program[program.len() - 4..], "0000");

    let call = |program| ProgramCall { program, sequence: 1, idempotency_key: "k", content: "x" };
    let foreign = fleet
        .model_call(&fleet.nodes[0], BETA_KEY, &call(&program))
        .await
        .expect("the node answers");
    let absent = fleet
        .model_call(&fleet.nodes[0], BETA_KEY, &call(&missing))
        .await
        .expect("the node answers");
    assert_eq!(
        (foreign.status, &foreign.body),
        (absent.status, &absent.body),
        "the answer shows whether the program exists"
    );
    let foreign = fleet.history(&fleet.nodes[0], BETA_KEY, &program).await;
    let absent = fleet.history(&fleet.nodes[0], BETA_KEY, &missing).await;
    assert_eq!(
        (foreign.status, &foreign.body),
        (absent.status, &absent.body),
        "the answer shows whether the program exists"
    );
    fleet
        .service_call(&fleet.nodes[0], BETA_KEY, &call(&program))
        .await
        .expect("the node answers")
        .expect_status(404);

    let without_program =
        fleet.http.request("POST", &fleet.nodes[0].listen, "/v1/services/desk/checkout");
    let without_program = fleet
        .http
        .send(without_program.bearer_auth(BETA_KEY), "x")
        .await
        .expect("the node answers");
    assert_eq!((without_program.status, without_program.kind().as_str()), (404, "route_unknown"));

    let status = |key: Option<&str>| {
        let request = fleet.http.request("GET", &fleet.nodes[0].listen, "/v1/services/status/now");
        let request = match key {
            Some(key) => request.bearer_auth(key),
            None => request,
        };
        fleet.http.send(request, "")
    };
    status(None).await.expect("the node answers").expect_status(200);
    status(Some("no-such-key")).await.expect("the node answers").expect_status(401);
    let executed: Vec<Value> = fleet.service_record().await;
    assert_eq!(executed.len(), 1, "expected only the call of the open route: {executed:?}");
    assert!(fleet.engine_record(0).await.is_empty());
}
