//! Scenarios, each of which varies one quantity and keeps all others constant.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::probe::{Point, measure};
use crate::support::fleet::{ALPHA_KEY, Fleet, FleetOptions};
use crate::support::http::{Http, eventually};

// Values of the varied quantity in each scenario.
const NODES: &[usize] = &[3, 6, 12, 24, 48];
const TEAMS: &[usize] = &[10, 100, 1_000, 4_000];
const PROGRAMS: &[usize] = &[100, 1_000, 5_000, 25_000];
const RUNNERS: &[usize] = &[10, 100, 500, 1_900];
const REQUESTS_PER_S: &[usize] = &[0, 10, 30, 90, 180];
const CHANGES_PER_MINUTE: &[usize] = &[0, 6, 30, 120];
/// Number of repetitions of the takeover scenario, each with a new fleet.
const TAKEOVER_RUNS: usize = 3;
/// Number of programs that are opened concurrently.
const OPENERS: usize = 64;

/// Returns the settings used in production instead of those that speed up failure tests.
fn production_args() -> Vec<String> {
    let args = [
        "--head-poll-ms",
        "1000",
        "--heartbeat-ms",
        "1000",
        "--suspect-ms",
        "3500",
        "--platform-timeout-ms",
        "2000",
        "--start-commit-wait-ms",
        "2000",
        "--dispatch-window-ms",
        "3000",
        "--log-level",
        "info",
    ];
    args.map(str::to_owned).to_vec()
}

async fn start(nodes: usize) -> Fleet {
    let engine_args = ["--token-interval-ms", "5", "--slots", "512"].map(str::to_owned).to_vec();
    let node_args = production_args();
    Fleet::start(FleetOptions { nodes, node_args, engine_args, ..FleetOptions::default() }).await
}

pub async fn run_all() -> Vec<Point> {
    let only = std::env::var("CAPACITY_ONLY").unwrap_or_default();
    let wanted = |name: &str| only.is_empty() || only.split(',').any(|item| item == name);
    let mut points = Vec::new();
    if wanted("nodes") {
        for nodes in NODES {
            points.push(nodes_point(*nodes).await);
        }
    }
    if wanted("teams") {
        for teams in TEAMS {
            points.push(objects_point("teams", *teams, with_teams).await);
        }
    }
    if wanted("runners") {
        for runners in RUNNERS {
            points.push(objects_point("runners", *runners, with_runners).await);
        }
    }
    if wanted("programs") {
        points.extend(programs_points().await);
    }
    if wanted("requests") {
        points.extend(requests_points().await);
    }
    if wanted("changes") {
        points.extend(changes_points().await);
    }
    if wanted("takeover") {
        points.push(takeover_point().await);
    }
    points
}

async fn nodes_point(nodes: usize) -> Point {
    let fleet = start(nodes).await;
    let mut point = Point::new("nodes", nodes);
    measure(&fleet, &mut point).await;
    point.print()
}

fn with_teams(mut objects: Value, teams: usize) -> Value {
    for index in 0..teams {
        let digest = dandelionfront_coordination::ids::sha256_hex(format!("k{index}").as_bytes());
        objects["team"][format!("team-{index}")] = json!({ "limit": "wide" });
        objects["key"][format!("key-{index}")] =
            json!({ "team": format!("team-{index}"), "sha256": digest });
    }
    objects
}

fn with_runners(mut objects: Value, runners: usize) -> Value {
    for index in 0..runners {
        objects["backend"][format!("runner-{index}")] = json!({
            "address": format!("10.{}.{}.{}:8000", index / 65_536, index / 256 % 256, index % 256),
            "zone": "local-a", "serves": ["geo-llm"], "state": "draining",
        });
    }
    objects
}

/// Publishes `count` additional objects, then a change of one object, and measures how fast both
/// reach all nodes.
async fn objects_point(
    scenario: &str,
    count: usize,
    add_objects: fn(Value, usize) -> Value,
) -> Point {
    let fleet = start(3).await;
    let mut point = Point::new(scenario, count);
    let objects = add_objects(fleet.sample_objects(), count);
    let started = Instant::now();
    fleet.publish(objects.clone(), "grown").await.expect_status(200);
    point.add("publish_s", started.elapsed().as_secs_f64());
    let accepted = Instant::now();
    fleet.wait_config(2).await;
    point.add("spread_s", accepted.elapsed().as_secs_f64());
    fleet.wait_settled().await;
    point.add("limits_prepared_s", accepted.elapsed().as_secs_f64());
    let mut changed = objects;
    changed["budget"]["marker"] = json!({ "program_tokens": 1 });
    fleet.publish(changed, "one-change").await.expect_status(200);
    let accepted = Instant::now();
    fleet.wait_config(3).await;
    point.add("one_change_spread_s", accepted.elapsed().as_secs_f64());
    measure(&fleet, &mut point).await;
    point.print()
}

async fn programs_points() -> Vec<Point> {
    let fleet = start(1).await;
    let mut opened = 0;
    let mut points = Vec::new();
    for programs in PROGRAMS {
        let mut point = Point::new("programs", *programs);
        let started = Instant::now();
        open_programs(&fleet, programs - opened).await;
        let count = f64::from(u32::try_from(programs - opened).unwrap_or(u32::MAX));
        point.add("opened_per_s", count / started.elapsed().as_secs_f64());
        opened = *programs;
        measure(&fleet, &mut point).await;
        points.push(point.print());
    }
    points
}

async fn open_programs(fleet: &Fleet, count: usize) {
    let left = Rc::new(Cell::new(count));
    let openers: Vec<_> = (0..OPENERS)
        .map(|_| {
            let (http, left) = (fleet.http.clone(), Rc::clone(&left));
            let listen = fleet.nodes[0].listen.clone();
            ntex::rt::spawn(async move {
                while left.get() > 0 {
                    left.set(left.get() - 1);
                    let request = http.request("POST", &listen, "/v1/programs");
                    let opened = http.send(request.bearer_auth(ALPHA_KEY), "").await;
                    opened.expect("open answers").expect_status(201);
                }
            })
        })
        .collect();
    for opener in openers {
        opener.await.expect("opener ends");
    }
}

async fn requests_points() -> Vec<Point> {
    let fleet = start(3).await;
    let mut points = Vec::new();
    for per_s in REQUESTS_PER_S {
        let mut point = Point::new("requests", *per_s);
        let stop = Rc::new(Cell::new(false));
        let load = ntex::rt::spawn(send_calls(
            fleet.http.clone(),
            fleet.nodes.iter().map(|node| node.listen.clone()).collect(),
            *per_s,
            Rc::clone(&stop),
        ));
        fleet.pause(Duration::from_secs(2)).await;
        measure(&fleet, &mut point).await;
        stop.set(true);
        let failed = load.await.expect("load ends");
        assert_eq!(failed, 0, "calls failed at {per_s} requests a second");
        points.push(point.print());
    }
    points
}

/// Sends model calls without a program at a constant rate until `stop` is set; returns how many
/// failed.
async fn send_calls(http: Http, listen: Vec<String>, per_s: usize, stop: Rc<Cell<bool>>) -> usize {
    if per_s == 0 {
        return 0;
    }
    let pause = Duration::from_secs(1) / u32::try_from(per_s).unwrap_or(u32::MAX);
    let failed = Rc::new(Cell::new(0));
    let in_flight = Rc::new(Cell::new(0_usize));
    let started = Instant::now();
    let mut sent = 0_u32;
    while !stop.get() {
        let request =
            http.request("POST", &listen[sent as usize % listen.len()], "/v1/chat/completions");
        let body = json!({
            "model": "geo", "stream": true,
            "messages": [{ "role": "user", "content": format!("question {sent}") }],
        });
        let (http, failed, in_flight) = (http.clone(), Rc::clone(&failed), Rc::clone(&in_flight));
        in_flight.set(in_flight.get() + 1);
        ntex::rt::spawn(async move {
            let reply = http.send(request.bearer_auth(ALPHA_KEY), body.to_string()).await;
            if !reply.is_ok_and(|reply| reply.body.contains("[DONE]")) {
                failed.set(failed.get() + 1);
            }
            in_flight.set(in_flight.get() - 1);
        });
        sent += 1;
        ntex::time::sleep((pause * sent).saturating_sub(started.elapsed())).await;
    }
    eventually("all calls have ended", async || (in_flight.get() == 0).then_some(())).await;
    failed.get()
}

async fn changes_points() -> Vec<Point> {
    let fleet = start(3).await;
    let base = with_teams(fleet.sample_objects(), 1_000);
    fleet.publish(base.clone(), "base").await.expect_status(200);
    fleet.wait_settled().await;
    let mut version = 2;
    let mut points = Vec::new();
    for per_minute in CHANGES_PER_MINUTE {
        let mut point = Point::new("changes", *per_minute);
        let stop = Rc::new(Cell::new(false));
        let publisher = ntex::rt::spawn(publish_changes(
            fleet.http.clone(),
            fleet.nodes[0].operator.clone(),
            (version, base.clone()),
            *per_minute,
            Rc::clone(&stop),
        ));
        measure(&fleet, &mut point).await;
        stop.set(true);
        version = publisher.await.expect("publisher ends");
        points.push(point.print());
    }
    points
}

/// Publishes at most `per_minute` changes of one object per minute until `stop` is set; returns the
/// last version.
async fn publish_changes(
    http: Http,
    operator: String,
    (mut version, mut objects): (u64, Value),
    per_minute: usize,
    stop: Rc<Cell<bool>>,
) -> u64 {
    if per_minute == 0 {
        return version;
    }
    let pause = Duration::from_secs(60) / u32::try_from(per_minute).unwrap_or(u32::MAX);
    while !stop.get() {
        objects["budget"]["marker"] = json!({ "program_tokens": version + 10 });
        let publication = json!({
            "base_version": version, "publish_id": format!("change-{version}"),
            "author": "bench", "objects": objects,
        });
        let request =
            http.request("POST", &operator, "/v1/config").content_type("application/json");
        let reply = http.send(request, publication.to_string()).await.expect("publish answers");
        version = reply.expect_status(200).json()["version"].as_u64().expect("version");
        ntex::time::sleep(pause).await;
    }
    version
}

/// Kills one of twelve nodes and measures the time and the platform writes until all shards are
/// served again.
async fn takeover_point() -> Point {
    let mut point = Point::new("takeover", 12);
    for _ in 0..TAKEOVER_RUNS {
        let mut fleet = start(12).await;
        let before = platform_writes(&fleet).await;
        let started = Instant::now();
        fleet.nodes[11].process.kill();
        fleet.nodes.truncate(11);
        let survivors: Vec<usize> = (0..11).collect();
        fleet.wait_for_all_shards(&survivors).await;
        point.add("takeover_s", started.elapsed().as_secs_f64());
        point.add("takeover_platform_writes", platform_writes(&fleet).await - before);
    }
    point.print()
}

async fn platform_writes(fleet: &Fleet) -> f64 {
    let stats = fleet.http.get_json(&fleet.platform_address, "/v1/stats").await;
    stats["writes"].as_f64().unwrap_or(0.0)
}
