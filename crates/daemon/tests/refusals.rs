//! Bad input is refused with an error that names the remedy; nothing runs and nothing is lost.

mod support;

use serde_json::{Value, json};
use support::fleet::{ALPHA_KEY, BETA_KEY, Fleet, FleetOptions, ProgramCall};
use support::http::Reply;

/// Returns the status and error of a refusal, with the program's identifier replaced.
fn summary(reply: &Reply, program: &str) -> Value {
    let mut error = reply.json()["error"].clone();
    let message = error["message"].as_str().unwrap_or_default().replace(program, "PROGRAM");
    error["message"] = Value::String(message);
    json!({ "status": reply.status, "error": error })
}

async fn send_chat(
    fleet: &Fleet,
    key: Option<&str>,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    let mut request = fleet.http.request("POST", &fleet.nodes[0].listen, "/v1/chat/completions");
    if let Some(key) = key {
        request = request.bearer_auth(key);
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    fleet.http.send(request, body).await.expect("the node answers")
}

#[ntex::test]
async fn bad_input_is_refused_with_a_remedy() {
    let node_args = vec!["--body-max-bytes".to_owned(), "20000".to_owned()];
    let fleet = Fleet::start(FleetOptions { node_args, ..FleetOptions::default() }).await;
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    let first = ProgramCall { program: &program, sequence: 1, idempotency_key: "a", content: "x" };
    fleet.model_call(&fleet.nodes[0], ALPHA_KEY, &first).await.expect("call").expect_status(200);

    let body = r#"{"model":"geo","messages":[{"role":"user","content":"hi"}]}"#;
    let key = Some(ALPHA_KEY);
    let headers = |sequence: &'static str, idempotency_key: &'static str| {
        vec![
            ("program-id", program.as_str()),
            ("program-sequence", sequence),
            ("idempotency-key", idempotency_key),
        ]
    };
    let large = body.replace("hi", &"x".repeat(30_000));
    let cases = [
        ("no key", send_chat(&fleet, None, &[], body).await),
        ("unknown key", send_chat(&fleet, Some("nobody"), &[], body).await),
        ("unknown route", send_chat(&fleet, key, &[], &body.replace("geo", "moon")).await),
        ("service as model", send_chat(&fleet, key, &[], &body.replace("geo", "desk")).await),
        ("malformed JSON", send_chat(&fleet, key, &[], "{").await),
        ("no messages", send_chat(&fleet, key, &[], r#"{"model":"geo","messages":[]}"#).await),
        ("body too large", send_chat(&fleet, key, &[], &large).await),
        ("no sequence", send_chat(&fleet, key, &headers("1", "a")[..1], body).await),
        ("bad sequence", send_chat(&fleet, key, &headers("zero", "b"), body).await),
        ("taken sequence", send_chat(&fleet, key, &headers("1", "b"), body).await),
        ("reused key", send_chat(&fleet, key, &headers("2", "a"), body).await),
        ("other body", send_chat(&fleet, key, &headers("1", "a"), body).await),
        ("other team", send_chat(&fleet, Some(BETA_KEY), &headers("2", "b"), body).await),
        (
            "no program",
            send_chat(
                &fleet,
                key,
                &[("program-id", "x"), headers("2", "b")[1], headers("2", "b")[2]],
                body,
            )
            .await,
        ),
    ];
    let summaries: serde_json::Map<String, Value> =
        cases.iter().map(|(name, reply)| ((*name).to_owned(), summary(reply, &program))).collect();
    insta::assert_json_snapshot!(summaries);

    assert_eq!(fleet.engine_record(0).await.len(), 1, "a refused call ran");
    let history = fleet.history(&fleet.nodes[0], ALPHA_KEY, &program).await.json();
    assert_eq!(history["calls"].as_array().expect("calls").len(), 1, "history changed");
}

#[ntex::test]
async fn call_that_skips_sequence_numbers_is_refused_as_not_run() {
    let node_args = vec!["--order-wait-ms".to_owned(), "200".to_owned()];
    let fleet = Fleet::start(FleetOptions { node_args, ..FleetOptions::default() }).await;
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    let third = ProgramCall { program: &program, sequence: 3, idempotency_key: "c", content: "x" };
    let reply =
        fleet.model_call(&fleet.nodes[0], ALPHA_KEY, &third).await.expect("the node answers");
    assert_eq!((reply.kind().as_str(), reply.run().as_str()), ("sequence_ahead", "not_run"));
    assert!(fleet.engine_record(0).await.is_empty());
}

#[ntex::test]
async fn malformed_engine_answer_gives_a_502_with_unknown_outcome() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let faults = json!({ "garbage": true });
    fleet.http.put_json(&fleet.engines[0].1, "/standin/faults", &faults).await;
    let body = r#"{"model":"geo","messages":[{"role":"user","content":"hi"}]}"#;
    let reply = send_chat(&fleet, Some(ALPHA_KEY), &[], body).await;
    assert_eq!((reply.status, reply.run().as_str()), (502, "unknown"), "{}", reply.body);
}

#[ntex::test]
async fn call_of_a_killed_engine_is_not_reported_as_not_run() {
    let engine_args = vec!["--token-interval-ms".to_owned(), "200".to_owned()];
    let mut fleet = Fleet::start(FleetOptions { engine_args, ..FleetOptions::default() }).await;
    let request = fleet.http.request("POST", &fleet.nodes[0].listen, "/v1/chat/completions");
    let request = request.bearer_auth(ALPHA_KEY);
    let body = r#"{"model":"geo","messages":[{"role":"user","content":"hi"}]}"#;
    let http = fleet.http.clone();
    let call = ntex::rt::spawn(async move { http.send(request, body).await });
    support::http::eventually("the engine executes", async || {
        (fleet.engine_record(0).await.len() == 1).then_some(())
    })
    .await;
    fleet.engines[0].0.kill();
    let reply = call.await.expect("task ends").expect("the node answers");
    assert_eq!(reply.run(), "unknown", "the call ran at the engine: {}", reply.body);
}

#[ntex::test]
async fn invalid_settings_are_reported_together() {
    let args = ["--workers", "0", "--head-poll-ms", "9", "--zone", "", "--platform", "x"];
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let mut process = support::process::ChildProcess::daemon(&args, &[]);
    let code = support::http::eventually("the daemon exits", async || process.try_exit()).await;
    assert_eq!(code, 2);
    let lines = support::http::eventually("all errors are printed", async || {
        Some(process.lines()).filter(|lines| lines.len() == 4)
    })
    .await;
    insta::assert_json_snapshot!(lines);
}
