//! A graceful shutdown interrupts no request.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use serde_json::json;
use support::fleet::{ALPHA_KEY, Fleet, FleetOptions, ProgramCall};
use support::http::{Http, eventually};

/// Sends the calls of a program one after another until `stop` is set.
///
/// `address_index` selects the address of the node that gets the next call.
async fn keep_calling(
    http: Http,
    program: String,
    address_index: Rc<Cell<usize>>,
    addresses: Vec<String>,
    stop: Rc<Cell<bool>>,
) -> Result<u64, String> {
    let mut sequence = 0;
    while !stop.get() {
        sequence += 1;
        let key = format!("k-{sequence}");
        let call =
            ProgramCall { program: &program, sequence, idempotency_key: &key, content: &key };
        let address = &addresses[address_index.get()];
        let reply = if sequence % 3 == 0 {
            let request = call.service_request(&http, address, ALPHA_KEY);
            http.send(request, key.clone()).await
        } else {
            let (request, body) = call.model_request(&http, address, ALPHA_KEY);
            http.send(request, body).await
        };
        let reply = reply.map_err(|error| format!("{program} {sequence}: {error}"))?;
        if reply.status != 200 {
            return Err(format!("{program} {sequence}: {} {}", reply.status, reply.body));
        }
    }
    Ok(sequence)
}

#[ntex::test]
async fn rolling_shutdown_under_load_fails_no_call() {
    let engine_args = ["--token-interval-ms", "20", "--slots", "64"].map(str::to_owned).to_vec();
    let options = FleetOptions { nodes: 3, engine_args, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await;
    let stop = Rc::new(Cell::new(false));
    let address_index = Rc::new(Cell::new(0));
    let mut addresses: Vec<String> = fleet.nodes.iter().map(|node| node.listen.clone()).collect();
    for _ in 0..3 {
        fleet.add_node();
    }
    fleet.wait_settled().await;
    addresses.extend(fleet.nodes[3..].iter().map(|node| node.listen.clone()));

    let mut callers = Vec::new();
    for index in 0..12 {
        let program = fleet.program_owned_by(&fleet.nodes[index % 3], ALPHA_KEY).await;
        callers.push(ntex::rt::spawn(keep_calling(
            fleet.http.clone(),
            program,
            Rc::clone(&address_index),
            addresses.clone(),
            Rc::clone(&stop),
        )));
    }
    for stopped in 0..3 {
        fleet.pause(std::time::Duration::from_millis(500)).await;
        fleet.nodes[0].process.signal("TERM");
        eventually("the node is draining", async || {
            let request = fleet.http.request("GET", &fleet.nodes[0].operator, "/readyz");
            let reply = fleet.http.send(request, "").await;
            (!reply.is_ok_and(|reply| reply.status == 200)).then_some(())
        })
        .await;
        // Like a load balancer, the callers use the next node once this one is no longer ready.
        address_index.set(stopped + 1);
        let code = eventually("the node exits", async || fleet.nodes[0].process.try_exit()).await;
        assert_eq!(code, 0);
        fleet.nodes.remove(0);
    }
    stop.set(true);
    let mut calls = 0;
    for caller in callers {
        calls += caller.await.expect("task ends").expect("no call fails");
    }
    assert!(calls > 100, "only {calls} calls were sent");
    fleet.wait_settled().await;
}

#[ntex::test]
async fn stopping_node_finishes_its_calls() {
    let service_args = ["--delay-ms", "1500"].map(str::to_owned).to_vec();
    let mut fleet = Fleet::start(FleetOptions { service_args, ..FleetOptions::default() }).await;
    let program = fleet.program_owned_by(&fleet.nodes[0], ALPHA_KEY).await;
    let call = ProgramCall { program: &program, sequence: 1, idempotency_key: "k", content: "x" };
    let http = fleet.http.clone();
    let request = call.service_request(&http, &fleet.nodes[0].listen, ALPHA_KEY);
    let pending = ntex::rt::spawn(async move { http.send(request, "x").await });
    eventually("the call executes", async || (fleet.executions("k").await == 1).then_some(()))
        .await;
    fleet.nodes[0].process.signal("TERM");
    pending.await.expect("task ends").expect("the node answers").expect_status(200);
    let code = eventually("the node exits", async || fleet.nodes[0].process.try_exit()).await;
    assert_eq!(code, 0);
    let history =
        fleet.history(&fleet.nodes[1], ALPHA_KEY, &program).await.expect_status(200).json();
    assert_eq!(history["calls"][0]["state"], json!("finished"));
}
