//! Budgets are enforced, and engines free the cached prefixes of programs that have ended.

mod support;

use serde_json::{Value, json};
use support::fleet::{ALPHA_KEY, Fleet, FleetOptions, ProgramCall};
use support::http::{Reply, eventually};

/// Prompt of the calls; `tokens=64` makes the stand-in engine generate 64 tokens. A call reserves
/// one token for each byte of its JSON message, plus its completion limit.
const CALL_CONTENT: &str = "tokens=64 again";

async fn open_program(fleet: &Fleet, node: usize, body: Value) -> String {
    let reply = fleet.open_program(&fleet.nodes[node], ALPHA_KEY, &body).await.expect_status(201);
    reply.json()["id"].as_str().expect("id").to_owned()
}

async fn send_call(fleet: &Fleet, node: usize, program: &str, sequence: u64) -> Option<Reply> {
    let key = format!("{program}-{sequence}");
    let call = ProgramCall { program, sequence, idempotency_key: &key, content: CALL_CONTENT };
    fleet.model_call(&fleet.nodes[node], ALPHA_KEY, &call).await.ok()
}

/// Returns the most tokens that the engine can have spent on the given programs: one for each word
/// of a prompt, as the engine counts them, plus the completion limit.
async fn tokens_spent_at_engine(fleet: &Fleet, programs: &[&str]) -> u64 {
    let record = fleet.engine_record(0).await;
    let of_programs = record.iter().filter(|request| {
        programs.iter().any(|program| request["headers"]["program-id"] == **program)
    });
    let spent = of_programs.map(|request| {
        let body: Value =
            serde_json::from_str(request["body"].as_str().expect("body")).expect("JSON");
        let prompt = body["messages"][0]["content"].as_str().expect("content");
        prompt.split_whitespace().count() as u64 + body["max_tokens"].as_u64().expect("max_tokens")
    });
    spent.sum()
}

#[ntex::test]
async fn budget_stops_a_looping_program() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let program = open_program(&fleet, 1, json!({ "budget_tokens": 400 })).await;
    let mut refused = None;
    for sequence in 1..=20 {
        let reply = send_call(&fleet, 0, &program, sequence).await.expect("the node answers");
        if reply.status != 200 {
            refused = Some(reply);
            break;
        }
    }
    let refused = refused.expect("the budget stops the loop");
    assert_eq!((refused.kind().as_str(), refused.run().as_str()), ("budget_exhausted", "not_run"));
    assert!(
        refused.body.contains(&program),
        "the refusal does not name the budget: {}",
        refused.body
    );
    let spent = tokens_spent_at_engine(&fleet, &[&program]).await;
    assert!((1..=400).contains(&spent), "{spent} tokens of 400");
}

#[ntex::test]
async fn parallel_sub_agents_share_their_parents_budget() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let parent = open_program(&fleet, 1, json!({ "budget_tokens": 500 })).await;
    let mut family = vec![parent.clone()];
    for _ in 0..8 {
        family.push(open_program(&fleet, 0, json!({ "parent": parent })).await);
    }
    let calls = family.iter().map(|program| send_call(&fleet, 0, program, 1));
    let replies = futures_util::future::join_all(calls).await;
    let refused = replies.iter().flatten().filter(|reply| reply.status == 402).count();
    assert!(refused > 0, "nine calls fit into a budget of 500");
    let programs: Vec<&str> = family.iter().map(String::as_str).collect();
    let spent = tokens_spent_at_engine(&fleet, &programs).await;
    assert!((1..=500).contains(&spent), "{spent} tokens of 500");
}

/// Guards against a new owner that ignores the tokens that the killed owner had reserved for a call
/// in flight.
#[ntex::test]
async fn owner_killed_during_a_call_does_not_overspend_the_budget() {
    let engine_args = ["--token-interval-ms", "20"].map(str::to_owned).to_vec();
    let options = FleetOptions { nodes: 3, engine_args, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await;
    let program = open_program(&fleet, 2, json!({ "budget_tokens": 400 })).await;
    send_call(&fleet, 0, &program, 1).await.expect("the node answers").expect_status(200);
    let key = format!("{program}-2");
    let second = ProgramCall {
        program: &program,
        sequence: 2,
        idempotency_key: &key,
        content: CALL_CONTENT,
    };
    let http = fleet.http.clone();
    let (request, body) = second.model_request(&http, &fleet.nodes[0].listen, ALPHA_KEY);
    let pending = ntex::rt::spawn(async move { http.send(request, body).await });
    eventually("the call runs", async || (fleet.engine_record(0).await.len() == 2).then_some(()))
        .await;
    fleet.nodes[2].process.kill();
    let _ = pending.await;
    for sequence in 2..=10 {
        let reply = send_call(&fleet, 0, &program, sequence).await.expect("the node answers");
        if reply.status == 402 {
            break;
        }
    }
    let spent = tokens_spent_at_engine(&fleet, &[&program]).await;
    assert!(spent <= 400, "{spent} tokens of 400");
}

/// Waits until the engine has freed the cached prefix of `program`.
async fn wait_until_prefix_is_freed(fleet: &Fleet, program: &str) {
    eventually("the engine has freed the prefix", async || {
        let memory = fleet.http.get_json(&fleet.engines[0].1, "/standin/memory").await;
        memory.get(program).is_none().then_some(())
    })
    .await;
}

async fn has_cached_prefix(fleet: &Fleet, program: &str) -> bool {
    let memory = fleet.http.get_json(&fleet.engines[0].1, "/standin/memory").await;
    memory.get(program).is_some()
}

/// Sends a call whose prompt is long enough for the engine to cache it.
async fn call_with_cached_prompt(fleet: &Fleet, node: usize, program: &str) {
    let content = format!("{program} {}", "word ".repeat(64));
    let call = ProgramCall { program, sequence: 1, idempotency_key: program, content: &content };
    fleet
        .model_call(&fleet.nodes[node], ALPHA_KEY, &call)
        .await
        .expect("the node answers")
        .expect_status(200);
    assert!(has_cached_prefix(fleet, program).await, "the engine did not cache the prefix");
}

#[ntex::test]
async fn ended_and_cancelled_programs_free_engine_memory() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let ended = open_program(&fleet, 1, json!({})).await;
    call_with_cached_prompt(&fleet, 0, &ended).await;
    let request =
        fleet.http.request("DELETE", &fleet.nodes[0].listen, &format!("/v1/programs/{ended}"));
    fleet
        .http
        .send(request.bearer_auth(ALPHA_KEY), "")
        .await
        .expect("the node answers")
        .expect_status(200);
    wait_until_prefix_is_freed(&fleet, &ended).await;

    let parent = open_program(&fleet, 1, json!({})).await;
    let child = open_program(&fleet, 0, json!({ "parent": parent })).await;
    call_with_cached_prompt(&fleet, 0, &child).await;
    let request =
        fleet.http.request("DELETE", &fleet.nodes[0].operator, &format!("/v1/programs/{parent}"));
    fleet.http.send(request, "").await.expect("the node answers").expect_status(200);
    wait_until_prefix_is_freed(&fleet, &child).await;
    let closed = fleet.history(&fleet.nodes[1], ALPHA_KEY, &child).await.expect_status(200).json();
    assert_eq!((&closed["state"], &closed["closed"]), (&json!("closed"), &json!("parent_ended")));
}

/// Guards against memory that stays allocated at an engine because the owner of the program was
/// killed and its caller sends no further call.
#[ntex::test]
async fn abandoned_program_of_a_killed_owner_frees_engine_memory() {
    let node_args = ["--program-idle-s", "4"].map(str::to_owned).to_vec();
    let options = FleetOptions { nodes: 3, node_args, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await;
    let orphan = open_program(&fleet, 2, json!({})).await;
    call_with_cached_prompt(&fleet, 0, &orphan).await;
    fleet.nodes[2].process.kill();
    fleet.nodes.truncate(2);
    fleet.wait_for_all_shards(&[0, 1]).await;
    assert!(has_cached_prefix(&fleet, &orphan).await);
    wait_until_prefix_is_freed(&fleet, &orphan).await;
    let history =
        fleet.history(&fleet.nodes[0], ALPHA_KEY, &orphan).await.expect_status(200).json();
    assert_eq!(history["closed"], "abandoned");
}
