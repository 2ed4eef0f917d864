//! An accepted configuration takes effect on all nodes within seconds and is never reverted.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::fleet::{Fleet, FleetOptions};
use support::http::eventually;

/// Longest time from the acceptance of a version until it is in force on all nodes.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(5);

/// Returns the sample objects with an unused budget of `marker` tokens, so that objects with
/// different markers are different configurations.
fn objects_with_marker(fleet: &Fleet, marker: u64) -> Value {
    let mut objects = fleet.sample_objects();
    objects["budget"]["marker"] = json!({ "program_tokens": marker });
    objects
}

/// Waits until `version` is in force on all nodes and checks that this was within
/// [`MAX_PROPAGATION_TIME`] of `accepted`.
async fn check_in_force_in_time(fleet: &Fleet, version: u64, accepted: Instant) {
    fleet.wait_config(version).await;
    assert!(accepted.elapsed() < MAX_PROPAGATION_TIME, "in force after {:?}", accepted.elapsed());
}

#[ntex::test]
async fn one_of_two_concurrent_publications_is_accepted() {
    let fleet = Fleet::start(FleetOptions { nodes: 3, ..FleetOptions::default() }).await;
    for round in 0..3 {
        let base = json!(1 + round);
        let publish = |node: usize, marker: u64| {
            let id = format!("race-{round}-{node}");
            let (fleet, base) = (&fleet, &base);
            async move {
                let objects = objects_with_marker(fleet, marker);
                fleet.publish_on(&fleet.nodes[node].operator, base, objects, &id).await
            }
        };
        let (first, second) = futures_util::future::join(publish(0, 10), publish(1, 20)).await;
        let mut statuses = [first.status, second.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{} {}", first.body, second.body);
        let loser = if first.status == 409 { first } else { second };
        assert!(loser.body.contains("came first"), "{}", loser.body);
        check_in_force_in_time(&fleet, 2 + round, Instant::now()).await;
        let mut digests = Vec::new();
        for node in &fleet.nodes {
            digests.push(fleet.http.get_json(&node.operator, "/v1/config").await["digest"].clone());
        }
        assert!(digests.windows(2).all(|pair| pair[0] == pair[1]), "{digests:?}");
    }
}

/// Guards against a publication that fails or takes effect twice because the platform stores it but
/// the answer to the node is lost, and the operator publishes it again through another node.
#[ntex::test]
async fn repeat_after_a_lost_answer_publishes_nothing_new() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    fleet.platform_faults(json!({ "lose_answers": 1 })).await;
    let operator = &fleet.nodes[0].operator;
    let objects = objects_with_marker(&fleet, 10);
    let accepted =
        fleet.publish_on(operator, &json!(1), objects.clone(), "lost").await.expect_status(200);
    assert_eq!(accepted.json()["version"], 2);
    let other = &fleet.nodes[1].operator;
    let repeat = fleet.publish_on(other, &json!(1), objects, "lost").await.expect_status(200);
    assert_eq!(repeat.json()["version"], 2);
    check_in_force_in_time(&fleet, 2, Instant::now()).await;
    let history = fleet.http.get_json(operator, "/v1/config/history").await;
    assert_eq!(history.as_array().expect("list").len(), 2);
}

/// Guards against an accepted version that does not reach all nodes because the platform fails
/// right after the acceptance.
#[ntex::test]
async fn accepted_version_reaches_all_nodes_during_an_outage() {
    let fleet = Fleet::start(FleetOptions { nodes: 5, ..FleetOptions::default() }).await;
    let reply =
        fleet.publish(objects_with_marker(&fleet, 10), "before-outage").await.expect_status(200);
    let accepted = Instant::now();
    fleet.platform_faults(json!({ "outage": true })).await;
    assert_eq!(reply.json()["version"], 2);
    check_in_force_in_time(&fleet, 2, accepted).await;
}

/// Guards against a node that returns to an older version after an outage, a lost answer or the
/// failure of another node.
#[ntex::test]
async fn adopted_versions_only_increase() {
    let mut fleet = Fleet::start(FleetOptions { nodes: 3, ..FleetOptions::default() }).await;
    for version in 2..=8 {
        let reply = fleet
            .publish(objects_with_marker(&fleet, version), &format!("v-{version}"))
            .await
            .expect_status(200);
        assert_eq!(reply.json()["version"], version);
        let accepted = Instant::now();
        match version {
            3 => fleet.platform_faults(json!({ "outage": true })).await,
            4 => fleet.platform_faults(json!({ "lose_answers": 1 })).await,
            5 => {
                fleet.nodes[2].process.kill();
                fleet.nodes.truncate(2);
                fleet.add_node();
            }
            _ => {}
        }
        check_in_force_in_time(&fleet, version, accepted).await;
        fleet.platform_faults(json!({})).await;
    }
    for node in &fleet.nodes {
        let adopted: Vec<u64> = node
            .process
            .lines()
            .iter()
            .filter_map(|line| line.split_once("event=config_adopted version=")?.1.parse().ok())
            .collect();
        assert!(adopted.is_sorted_by(|earlier, later| earlier < later), "{adopted:?}");
    }
}

#[ntex::test]
async fn invalid_objects_are_refused_and_change_nothing() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let mut objects = fleet.sample_objects();
    // The model name is misspelt, the fallbacks form a cycle and the burst is zero.
    objects["route"]["geo"]["model"] = json!("geo-lmm");
    objects["route"]["a"] = json!({ "model": "geo-llm", "open": true, "fallback": "b" });
    objects["route"]["b"] = json!({ "model": "geo-llm", "open": true, "fallback": "a" });
    objects["limit"]["wide"]["burst"] = json!(0);
    let reply = fleet.publish(objects, "faulty").await.expect_status(422);
    insta::assert_json_snapshot!(reply.json());
    let history = fleet.http.get_json(&fleet.nodes[0].operator, "/v1/config/history").await;
    assert_eq!(history.as_array().expect("list").len(), 1);
}

#[ntex::test]
async fn drained_backend_server_receives_no_new_calls() {
    let fleet = Fleet::start(FleetOptions { engines: 2, ..FleetOptions::default() }).await;
    let drain = fleet.http.request("POST", &fleet.nodes[0].operator, "/v1/backends/engine-0/drain");
    fleet.http.send(drain, "").await.expect("drain answers").expect_status(200);
    eventually("the drain is in force", async || {
        fleet.wait_config(2).await;
        Some(())
    })
    .await;
    check_only_second_engine_is_called(&fleet).await;
}

#[ntex::test]
async fn leaving_vm_receives_no_new_calls() {
    let fleet = Fleet::start(FleetOptions { engines: 2, ..FleetOptions::default() }).await;
    let vms = json!([{ "address": fleet.engines[0].1, "state": "leaving" }]);
    fleet.http.put_json(&fleet.platform_address, "/v1/vms", &vms).await;
    // A leaving VM must receive no new calls after three seconds.
    fleet.pause(Duration::from_secs(3)).await;
    check_only_second_engine_is_called(&fleet).await;
}

async fn check_only_second_engine_is_called(fleet: &Fleet) {
    let before = fleet.engine_record(0).await.len();
    for index in 0..10 {
        let node = &fleet.nodes[index % 2];
        let request = fleet.http.request("POST", &node.listen, "/v1/chat/completions");
        let body = json!({ "model": "geo", "messages": [{ "role": "user", "content": "x" }] });
        let request = request.bearer_auth(support::fleet::ALPHA_KEY);
        fleet
            .http
            .send(request, body.to_string())
            .await
            .expect("the node answers")
            .expect_status(200);
    }
    assert_eq!(fleet.engine_record(0).await.len(), before);
    assert_eq!(fleet.engine_record(1).await.len(), 10);
}
