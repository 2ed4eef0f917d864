//! Calls run in order, and a program's history is never lost or mixed with another one.

mod support;

use serde_json::json;
use support::fleet::{ALPHA_KEY, Fleet, FleetOptions, ProgramCall};
use support::http::eventually;

/// Repeats a call at `node` with its idempotency key until it succeeds; returns the answer.
async fn call_until_answered(fleet: &Fleet, node: usize, call: &ProgramCall<'_>) -> String {
    eventually("the call is answered", async || {
        let reply = fleet.model_call(&fleet.nodes[node], ALPHA_KEY, call).await.ok()?;
        if reply.status != 200 {
            println!("call {} answered {}", call.sequence, reply.body);
        }
        (reply.status == 200).then(|| reply.json()["choices"][0]["message"]["content"].to_string())
    })
    .await
}

/// Checks that the history read through `node` holds exactly `answers`, in order.
async fn check_history(fleet: &Fleet, node: usize, program: &str, answers: &[String]) {
    let history =
        fleet.history(&fleet.nodes[node], ALPHA_KEY, program).await.expect_status(200).json();
    let calls = history["calls"].as_array().expect("calls");
    assert_eq!(calls.len(), answers.len(), "turns in {history}");
    for (index, (call, answer)) in calls.iter().zip(answers).enumerate() {
        assert_eq!(call["sequence"], index + 1);
        assert_eq!(call["state"], "finished");
        let recorded = call["answer"].as_str().expect("answer is text");
        let recorded: serde_json::Value = serde_json::from_str(recorded).expect("answer is JSON");
        assert_eq!(recorded["choices"][0]["message"]["content"].to_string(), *answer);
    }
}

/// Guards against calls that are missing from the history because their owner gave the answer to
/// the caller before it was recorded, and was then killed.
#[ntex::test]
async fn acknowledged_calls_survive_killed_owners() {
    let node_args = ["--checkpoint-interval-ms", "100"].map(str::to_owned).to_vec();
    let options = FleetOptions { nodes: 4, node_args, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await;
    let own = fleet.program_owned_by(&fleet.nodes[3], ALPHA_KEY).await;
    let other = fleet.program_owned_by(&fleet.nodes[2], ALPHA_KEY).await;
    let (mut own_answers, mut other_answers) = (Vec::new(), Vec::new());
    for sequence in 1..=6 {
        // The delay of the platform lets the kill happen before the recording if an owner wrongly
        // answers first.
        let kills = sequence % 2 == 0 && fleet.nodes.len() > 2;
        fleet.platform_faults(json!({ "delay_ms": if kills { 100 } else { 0 } })).await;
        let key = format!("k-{sequence}");
        let content = format!("own {sequence} {}", "word ".repeat(20));
        let call =
            |program, content| ProgramCall { program, sequence, idempotency_key: &key, content };
        own_answers.push(call_until_answered(&fleet, 0, &call(&own, &content)).await);
        other_answers.push(call_until_answered(&fleet, 1, &call(&other, "other")).await);
        if kills {
            let last = fleet.nodes.len() - 1;
            fleet.nodes[last].process.kill();
            fleet.nodes.truncate(last);
        }
    }
    check_history(&fleet, 1, &own, &own_answers).await;
    check_history(&fleet, 0, &other, &other_answers).await;
}

/// Guards against an owner that is frozen, loses its shards to another node and, once it resumes,
/// still commits with its stale ownership.
#[ntex::test]
async fn frozen_owner_commits_nothing_after_takeover() {
    let mut fleet = Fleet::start(FleetOptions { nodes: 3, ..FleetOptions::default() }).await;
    let program = fleet.program_owned_by(&fleet.nodes[2], ALPHA_KEY).await;
    let mut answers = Vec::new();
    for round in 0..3_u64 {
        let keys = [format!("a-{round}"), format!("b-{round}")];
        let call = |step: u64, key| ProgramCall {
            program: &program,
            sequence: round * 2 + step,
            idempotency_key: key,
            content: "turn",
        };
        answers.push(call_until_answered(&fleet, 2, &call(1, &keys[0])).await);
        fleet.nodes[2].process.signal("STOP");
        fleet.wait_for_all_shards(&[0, 1]).await;
        answers.push(call_until_answered(&fleet, 0, &call(2, &keys[1])).await);
        fleet.nodes[2].process.signal("CONT");
        fleet.wait_settled().await;
        check_history(&fleet, 2, &program, &answers).await;
    }
    assert!(fleet.nodes[2].process.try_exit().is_none(), "the resumed node has exited");
}

#[ntex::test]
async fn history_survives_outages_and_lost_answers_of_the_platform() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    let mut answers = Vec::new();
    for sequence in 1..=4 {
        let key = format!("k-{sequence}");
        let call = ProgramCall { program: &program, sequence, idempotency_key: &key, content: "x" };
        fleet.platform_faults(json!({ "outage": true })).await;
        let http = fleet.http.clone();
        let pending = call.model_request(&http, &fleet.nodes[0].listen, ALPHA_KEY);
        let pending = ntex::rt::spawn(async move { http.send(pending.0, pending.1).await });
        fleet.pause(std::time::Duration::from_millis(300)).await;
        fleet.platform_faults(json!({ "lose_answers": 1 })).await;
        let _ = pending.await;
        answers.push(call_until_answered(&fleet, 0, &call).await);
    }
    check_history(&fleet, 0, &program, &answers).await;
    check_history(&fleet, 1, &program, &answers).await;
}

/// Guards against calls that run twice or out of order when they arrive in reverse order and at two
/// nodes each.
#[ntex::test]
async fn reordered_and_duplicate_calls_run_once_and_in_order() {
    let fleet = Fleet::start(FleetOptions { nodes: 3, ..FleetOptions::default() }).await;
    let program = fleet.program_owned_by(&fleet.nodes[2], ALPHA_KEY).await;
    let mut pending = Vec::new();
    for sequence in (1..=6).rev() {
        for node in &fleet.nodes[..2] {
            let key = format!("k-{sequence}");
            let call =
                ProgramCall { program: &program, sequence, idempotency_key: &key, content: &key };
            let http = fleet.http.clone();
            let (request, body) = call.model_request(&http, &node.listen, ALPHA_KEY);
            pending.push(ntex::rt::spawn(async move { http.send(request, body).await }));
        }
    }
    for call in pending {
        call.await.expect("task ends").expect("the node answers").expect_status(200);
    }
    let executed = fleet.engine_record(0).await;
    // A request id ends with the sequence number and the attempt of the call.
    let order: Vec<_> = executed
        .iter()
        .map(|request| request["headers"]["request-id"].as_str().expect("id").rsplit('-').nth(1))
        .collect();
    assert_eq!(order, ["1", "2", "3", "4", "5", "6"].map(Some));
}

/// Guards against an owner that, during a platform outage, gives an answer before it is recorded,
/// or discards the answer and runs the call again.
#[ntex::test]
async fn unrecorded_answer_is_withheld_until_it_is_recorded() {
    let node_args = ["--end-commit-wait-ms", "300"].map(str::to_owned).to_vec();
    let fleet = Fleet::start(FleetOptions { node_args, ..FleetOptions::default() }).await;
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    let call = ProgramCall { program: &program, sequence: 1, idempotency_key: "k", content: "x" };
    fleet.platform_faults(json!({ "outage": true })).await;
    for node in [0, 1] {
        let reply =
            fleet.model_call(&fleet.nodes[node], ALPHA_KEY, &call).await.expect("the node answers");
        assert_eq!((reply.kind().as_str(), reply.run().as_str()), ("platform_unavailable", "ran"));
    }
    let open = fleet.open_program(&fleet.nodes[1], ALPHA_KEY, &json!({})).await;
    assert_eq!((open.status, open.run().as_str()), (503, "not_run"), "{}", open.body);
    fleet.platform_faults(json!({})).await;
    let answer = call_until_answered(&fleet, 0, &call).await;
    check_history(&fleet, 1, &program, &[answer]).await;
    assert_eq!(fleet.engine_record(0).await.len(), 1, "the call ran again");
}
