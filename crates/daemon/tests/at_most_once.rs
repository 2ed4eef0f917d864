//! A non-repeatable call runs at most once, and a call that is refused as "not run" has not run.

mod support;

use serde_json::json;
use support::fleet::{ALPHA_KEY, Fleet, FleetOptions, ProgramCall};
use support::http::{Reply, eventually};

/// Repeats a call at `node` with its idempotency key until the answer is final.
async fn call_until_final(fleet: &Fleet, node: usize, call: &ProgramCall<'_>) -> Reply {
    eventually("the call has a final answer", async || {
        let reply = fleet.service_call(&fleet.nodes[node], ALPHA_KEY, call).await.ok()?;
        check_not_run(fleet, call, &reply).await;
        let is_final = reply.status == 200 || reply.kind() == "outcome_unknown";
        is_final.then_some(reply)
    })
    .await
}

/// Checks that a call that was refused as not run has not run.
async fn check_not_run(fleet: &Fleet, call: &ProgramCall<'_>, reply: &Reply) {
    if reply.status != 200 && reply.run() == "not_run" {
        assert_eq!(fleet.executions(call.idempotency_key).await, 0, "not run: {}", reply.body);
    }
}

/// Sends a call whose owner crashes (`STEP:abort`) or freezes (`STEP:stop`) at `crash_point`;
/// returns the number of executions and the final status.
async fn call_with_crashing_owner(crash_point: &str) -> (usize, u16) {
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    let owner = fleet.add_crashing_node(crash_point).await;
    let program = fleet.program_owned_by(&fleet.nodes[owner], ALPHA_KEY).await;
    let call = ProgramCall {
        program: &program,
        sequence: 1,
        idempotency_key: "transfer",
        content: "10 lipsticks",
    };
    let first = fleet.service_call(&fleet.nodes[0], ALPHA_KEY, &call).await;
    if let Ok(reply) = &first {
        check_not_run(&fleet, &call, reply).await;
    }
    fleet.wait_for_all_shards(&[0, 1]).await;
    let last = call_until_final(&fleet, 1, &call).await;
    if crash_point.ends_with("stop") {
        fleet.nodes[owner].process.signal("CONT");
        fleet.wait_settled().await;
    }
    let again = call_until_final(&fleet, 0, &call).await;
    assert_eq!(again.status, last.status, "a repeat got another outcome: {}", again.body);

    // The next call of the program must still run.
    let next = ProgramCall { sequence: 2, idempotency_key: "next", ..call };
    call_until_final(&fleet, 1, &next).await;
    let record = fleet.service_record().await;
    let keys: Vec<_> = record.iter().map(|call| &call["headers"]["idempotency-key"]).collect();
    assert_eq!(keys.last().expect("the next call ran"), &"next");
    (fleet.executions("transfer").await, last.status)
}

#[ntex::test]
async fn call_runs_once_if_owner_is_killed_on_arrival() {
    assert_eq!(call_with_crashing_owner("arrived:abort").await, (1, 200));
}

#[ntex::test]
async fn call_does_not_run_but_has_unknown_outcome_if_owner_is_killed_before_dispatch() {
    assert_eq!(call_with_crashing_owner("started:abort").await, (0, 409));
}

#[ntex::test]
async fn call_runs_once_with_unknown_outcome_if_owner_is_killed_before_recording_the_answer() {
    assert_eq!(call_with_crashing_owner("answered:abort").await, (1, 409));
}

#[ntex::test]
async fn recorded_answer_is_repeated_if_owner_is_killed_after_recording() {
    assert_eq!(call_with_crashing_owner("finished:abort").await, (1, 200));
}

#[ntex::test]
async fn call_runs_once_if_owner_is_frozen_on_arrival() {
    assert_eq!(call_with_crashing_owner("arrived:stop").await, (1, 200));
}

#[ntex::test]
async fn call_does_not_run_but_has_unknown_outcome_if_owner_is_frozen_before_dispatch() {
    assert_eq!(call_with_crashing_owner("started:stop").await, (0, 409));
}

#[ntex::test]
async fn call_runs_once_with_unknown_outcome_if_owner_is_frozen_before_recording_the_answer() {
    assert_eq!(call_with_crashing_owner("answered:stop").await, (1, 409));
}

#[ntex::test]
async fn call_runs_once_with_unknown_outcome_if_owner_is_killed_during_execution() {
    let service_args = vec!["--delay-ms".to_owned(), "3000".to_owned()];
    let mut fleet =
        Fleet::start(FleetOptions { nodes: 3, service_args, ..FleetOptions::default() }).await;
    let program = fleet.program_owned_by(&fleet.nodes[2], ALPHA_KEY).await;
    let call = ProgramCall { program: &program, sequence: 1, idempotency_key: "k", content: "x" };
    let http = fleet.http.clone();
    let first = ntex::rt::spawn({
        let request = call.service_request(&http, &fleet.nodes[0].listen, ALPHA_KEY);
        async move { http.send(request, "x").await }
    });
    eventually("the service executes", async || (fleet.executions("k").await == 1).then_some(()))
        .await;
    fleet.nodes[2].process.kill();
    let first = first.await.expect("caller task ends").expect("caller gets an answer");
    assert_eq!((first.status, first.run().as_str()), (409, "unknown"), "{}", first.body);
    let again = call_until_final(&fleet, 1, &call).await;
    assert_eq!(again.kind(), "outcome_unknown");
    assert_eq!(fleet.executions("k").await, 1);
}

/// Guards against "not run" for a call that ran, while the next owner of its program has not
/// recorded yet that its outcome is unknown.
#[ntex::test]
async fn call_whose_unknown_outcome_is_not_recorded_yet_is_not_reported_as_not_run() {
    let service_args = ["--delay-ms", "30000"].map(str::to_owned).to_vec();
    let node_args = ["--order-wait-ms", "1"].map(str::to_owned).to_vec();
    let options = FleetOptions { node_args, service_args, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await;
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    let call = ProgramCall { program: &program, sequence: 1, idempotency_key: "k", content: "x" };
    let http = fleet.http.clone();
    let request = call.service_request(&http, &fleet.nodes[0].listen, ALPHA_KEY);
    let first = ntex::rt::spawn(async move { http.send(request, "x").await });
    eventually("the service executes", async || (fleet.executions("k").await == 1).then_some(()))
        .await;
    // The record takes longer than the first repeat at the next owner.
    fleet.platform_faults(json!({ "delay_ms": 200 })).await;
    fleet.nodes[1].process.kill();
    let reply = first.await.expect("caller task ends").expect("the node answers");
    assert_eq!((reply.kind().as_str(), reply.run().as_str()), ("outcome_unknown", "unknown"));
}

/// Guards against calls that are recorded or run twice because the answer to a commit that took
/// effect is lost and the commit is retried.
#[ntex::test]
async fn calls_run_once_if_commit_answers_are_lost() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    for sequence in 1..=5 {
        fleet.platform_faults(json!({ "lose_answers": 2 })).await;
        let key = format!("lost-{sequence}");
        let call = ProgramCall { program: &program, sequence, idempotency_key: &key, content: "x" };
        call_until_final(&fleet, 0, &call).await;
        call_until_final(&fleet, 1, &call).await;
        assert_eq!(fleet.executions(&key).await, 1);
    }
}

#[ntex::test]
async fn calls_are_refused_as_not_run_during_a_table_outage() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    let call = ProgramCall { program: &program, sequence: 1, idempotency_key: "k", content: "x" };
    fleet.platform_faults(json!({ "outage": true })).await;
    for node in [0, 1, 0] {
        let reply = fleet
            .service_call(&fleet.nodes[node], ALPHA_KEY, &call)
            .await
            .expect("the node answers");
        assert_eq!(
            (reply.kind().as_str(), reply.run().as_str()),
            ("platform_unavailable", "not_run")
        );
    }
    assert_eq!(fleet.executions("k").await, 0);
    fleet.platform_faults(json!({})).await;
    assert_eq!(call_until_final(&fleet, 0, &call).await.status, 200);
    assert_eq!(fleet.executions("k").await, 1);
}

#[ntex::test]
async fn concurrent_repeats_at_all_nodes_run_the_call_once() {
    let fleet = Fleet::start(FleetOptions { nodes: 3, ..FleetOptions::default() }).await;
    let program = fleet.program_owned_by(&fleet.nodes[2], ALPHA_KEY).await;
    let call = ProgramCall { program: &program, sequence: 1, idempotency_key: "k", content: "x" };
    let mut repeats = Vec::new();
    for node in fleet.nodes.iter().cycle().take(12) {
        let http = fleet.http.clone();
        let request = call.service_request(&http, &node.listen, ALPHA_KEY);
        repeats.push(ntex::rt::spawn(async move { http.send(request, "x").await }));
    }
    for repeat in repeats {
        let reply = repeat.await.expect("caller task ends").expect("the node answers");
        assert_eq!(reply.expect_status(200).json()["execution"], 1);
    }
    assert_eq!(fleet.executions("k").await, 1);
}

/// Guards against "not run" for a call that an engine runs, when the owner of its program is killed
/// and the next owner refuses the call; also by its status or a `Retry-After`, which are read as
/// "not run".
#[ntex::test]
async fn call_that_the_next_owner_refuses_is_not_reported_as_not_run() {
    let engine_args = ["--token-interval-ms", "50"].map(str::to_owned).to_vec();
    let mut fleet = Fleet::start(FleetOptions { engine_args, ..FleetOptions::default() }).await;
    // One attempt reserves more than half of the budget.
    let program = json!({ "budget_tokens": 150 });
    let opened = fleet.open_program(&fleet.nodes[1], ALPHA_KEY, &program).await.expect_status(201);
    let program = opened.json()["id"].as_str().expect("text").to_owned();
    let content = "tokens=60 once";
    let call = ProgramCall { program: &program, sequence: 1, idempotency_key: "k", content };
    let http = fleet.http.clone();
    let (request, body) = call.model_request(&http, &fleet.nodes[0].listen, ALPHA_KEY);
    let first = ntex::rt::spawn(async move { http.send(request, body).await });
    eventually("the call runs", async || (fleet.engine_record(0).await.len() == 1).then_some(()))
        .await;
    fleet.nodes[1].process.kill();
    let reply = first.await.expect("caller task ends").expect("the node answers");
    assert_eq!(reply.kind(), "budget_exhausted", "{}", reply.body);
    assert_eq!(reply.run(), "unknown", "{}", reply.body);
    assert_eq!((reply.status, reply.retry_after), (502, None), "{}", reply.body);
}

/// Guards against a status or a `Retry-After` that promises "not run" for a call whose owner is
/// lost and cannot be reached any more.
#[ntex::test]
async fn call_whose_owner_is_lost_has_no_status_of_a_call_that_did_not_run() {
    let service_args = ["--delay-ms", "30000"].map(str::to_owned).to_vec();
    let node_args = ["--owner-wait-ms", "10"].map(str::to_owned).to_vec();
    let options = FleetOptions { node_args, service_args, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await;
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    let call = ProgramCall { program: &program, sequence: 1, idempotency_key: "k", content: "x" };
    let http = fleet.http.clone();
    let request = call.service_request(&http, &fleet.nodes[0].listen, ALPHA_KEY);
    let first = ntex::rt::spawn(async move { http.send(request, "x").await });
    eventually("the service executes", async || (fleet.executions("k").await == 1).then_some(()))
        .await;
    fleet.nodes[1].process.kill();
    let reply = first.await.expect("caller task ends").expect("the node answers");
    assert_eq!((reply.kind().as_str(), reply.run().as_str()), ("owner_unreachable", "unknown"));
    assert_eq!((reply.status, reply.retry_after), (502, None), "{}", reply.body);
}
