//! End-to-end tests of calls through separate processes.

mod support;

use serde_json::{Value, json};
use support::fleet::{ALPHA_KEY, BETA_KEY, ProgramCall};
use support::fleet::{Fleet, FleetOptions};

/// Returns the answer text of a chat completion.
fn answer_text(completion: &Value) -> String {
    completion["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
}

#[ntex::test]
async fn calls_forwarded_to_the_owner_run_once_and_are_recorded() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let (edge, owner) = (&fleet.nodes[0], &fleet.nodes[1]);
    let program = fleet.program_owned_by(owner, ALPHA_KEY).await;

    let call = |sequence, idempotency_key, content| ProgramCall {
        program: &program,
        sequence,
        idempotency_key,
        content,
    };
    let first = fleet.model_call(edge, ALPHA_KEY, &call(1, "a", "which datum")).await;
    let first = answer_text(&first.expect("first call").expect_status(200).json());
    let second = format!("{first} and the antenna");
    let second = fleet.model_call(edge, ALPHA_KEY, &call(2, "b", &second)).await;
    second.expect("second call").expect_status(200);
    let checkout = call(3, "c", "rover 7");
    let third = fleet.service_call(edge, ALPHA_KEY, &checkout).await;
    let third = third.expect("third call").expect_status(200).json();
    assert_eq!(third["execution"], 1);

    // A repeat of the non-repeatable call receives the recorded answer from either node.
    for node in [edge, owner] {
        let repeat = fleet.service_call(node, ALPHA_KEY, &checkout).await;
        assert_eq!(repeat.expect("repeat").expect_status(200).json(), third);
    }
    assert_eq!(fleet.executions("c").await, 1);

    let executed = fleet.engine_record(0).await;
    let prompts: Vec<_> = executed.iter().map(|request| request["body"].to_string()).collect();
    assert_eq!(prompts.len(), 2);
    assert!(prompts[1].contains(&first), "the second call does not contain the first answer");

    let history = fleet.history(edge, ALPHA_KEY, &program).await.expect_status(200).json();
    let calls: Vec<_> = history["calls"].as_array().expect("calls").iter().collect();
    let summary: Vec<_> = calls
        .iter()
        .map(|call| json!([call["sequence"], call["route"], call["state"], call["status"]]))
        .collect();
    insta::assert_json_snapshot!(summary);

    for request in executed.iter().chain(&fleet.service_record().await) {
        assert!(!request.to_string().contains(ALPHA_KEY), "a backend server saw the caller's key");
    }
    fleet.history(edge, BETA_KEY, &program).await.expect_status(404);
}

#[ntex::test]
async fn call_of_a_program_of_another_region_is_forwarded_to_that_region() {
    let mut fleet = Fleet::start(FleetOptions { nodes: 1, ..FleetOptions::default() }).await;
    let far = [("DANDELIONFRONT_REGION", "far"), ("DANDELIONFRONT_ZONE", "far-a")];
    let node = fleet.start_node(&fleet.platform_address, &far);
    fleet.nodes.push(node);
    fleet.wait_config(1).await;
    for index in [0, 1] {
        fleet.wait_for_all_shards(&[index]).await;
    }
    let program = fleet.program_owned_by(&fleet.nodes[1], ALPHA_KEY).await;
    assert!(program.starts_with("prg-far-"), "{program}");
    let call = ProgramCall { program: &program, sequence: 1, idempotency_key: "a", content: "x" };
    fleet.model_call(&fleet.nodes[0], ALPHA_KEY, &call).await.expect("call").expect_status(200);
    let history =
        fleet.history(&fleet.nodes[0], ALPHA_KEY, &program).await.expect_status(200).json();
    assert_eq!(history["calls"][0]["state"], "finished");
}

#[ntex::test]
async fn daemon_does_not_use_io_uring() {
    let fleet = Fleet::start(FleetOptions { nodes: 1, ..FleetOptions::default() }).await;
    let folder = format!("/proc/{}/fd", fleet.nodes[0].process.id());
    let links: Vec<String> = std::fs::read_dir(folder)
        .expect("the daemon runs")
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|target| target.display().to_string())
        .collect();
    assert!(links.iter().any(|link| link.contains("eventpoll")), "{links:?}");
    assert!(!links.iter().any(|link| link.contains("io_uring")), "{links:?}");
}
