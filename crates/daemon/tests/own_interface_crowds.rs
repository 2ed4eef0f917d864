//! Crowds of callers that misbehave at the own interface; see `caller_crowds`.

mod support;

use std::collections::HashMap;

use support::crowd::{Crowd, CrowdScript, Meter, expect_served, head, one_at_a_time, request};
use support::fleet::{ALPHA_KEY, Fleet, FleetOptions};
use support::http::eventually;

/// Memory of the process, in MB.
const MEMORY_MB: u64 = 96;
/// Maximum size of a body.
const BODY_MAX_BYTES: usize = 1024 * 1024;
/// Callers of a crowd; their bodies are larger together than the memory of the process.
const CALLERS: usize = 128;
/// Callers of a crowd that sends heads, and size of a head, which is below the server's limit.
const HEAD_CALLERS: usize = 1_600;
const HEAD_BYTES: usize = 60 * 1024;
/// Chunks of a byte that a caller sends, and number of these callers.
const BYTE_CHUNKS: usize = 256 * 1024;
const BYTE_CHUNK_CALLERS: usize = 384;
/// Longest wait for a body, in milliseconds.
const BODY_WAIT_MAX_MS: u64 = 4_000;
/// Body of an ordinary request.
const ORDINARY_BYTES: usize = 2_000;

async fn start() -> (Fleet, Meter) {
    let environment: HashMap<&'static str, String> = HashMap::from([
        ("DANDELIONFRONT_MEMORY_MB", MEMORY_MB.to_string()),
        ("DANDELIONFRONT_BODY_MAX_BYTES", BODY_MAX_BYTES.to_string()),
        ("DANDELIONFRONT_BODY_TIMEOUT_MS", BODY_WAIT_MAX_MS.to_string()),
    ]);
    let options = FleetOptions {
        nodes: 1,
        node_environment: environment.into_iter().collect(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await;
    let node = &fleet.nodes[0];
    let meter = Meter::start(node.process.id(), &node.listen);
    (fleet, meter)
}

/// Returns a request to a plain service, whose body may be anything.
fn ordinary(body_bytes: usize) -> Vec<u8> {
    let key = format!("Bearer {ALPHA_KEY}");
    request("POST /v1/services/desk/x", &[("host", "node"), ("authorization", &key)], body_bytes)
}

/// Returns a script of bodies that are announced and sent whole but for their last byte.
fn almost_whole(key: &str) -> CrowdScript {
    let key = format!("Bearer {key}");
    let head = head("POST /v1/services/desk/x", &[("host", "node"), ("authorization", &key)]);
    CrowdScript {
        begin: format!("{head}content-length: {BODY_MAX_BYTES}\r\n\r\n"),
        piece: vec![b'x'; BODY_MAX_BYTES - 1],
        repeats: 1,
        reads: true,
        ..CrowdScript::default()
    }
}

/// Lets a crowd come, stay and leave; checks that ordinary requests are served beside it and after
/// it, the latter one as large as the limits allow, and what the process held at most.
async fn check(count: usize, script: &CrowdScript) {
    let (fleet, meter) = start().await;
    let listen = fleet.nodes[0].listen.as_str();
    let crowd = Crowd::start(listen, count, script);
    crowd.settle().await;
    expect_served("beside the crowd", listen, ordinary(ORDINARY_BYTES)).await;
    crowd.leave();
    expect_served("after the crowd", listen, ordinary(BODY_MAX_BYTES)).await;
    let peaks = meter.peaks();
    println!("most held: {peaks:?}");
    assert!(peaks.memory_kb <= MEMORY_MB * 1024, "{} KB held", peaks.memory_kb);
}

#[ntex::test]
async fn crowd_of_own_bodies_without_their_last_byte() {
    let _alone = one_at_a_time();
    check(CALLERS, &almost_whole(ALPHA_KEY)).await;
}

#[ntex::test]
async fn crowd_of_own_bodies_with_an_unknown_key() {
    let _alone = one_at_a_time();
    check(CALLERS, &almost_whole("unknown")).await;
}

#[ntex::test]
async fn crowd_of_own_large_chunks_without_end() {
    let _alone = one_at_a_time();
    let data = vec![b'x'; 64 * 1024];
    let whole = almost_whole(ALPHA_KEY);
    let (head, _) = whole.begin.split_once("content-length").expect("announced");
    let script = CrowdScript {
        begin: format!("{head}transfer-encoding: chunked\r\n\r\n"),
        piece: [format!("{:x}\r\n", data.len()).as_bytes(), &data, b"\r\n"].concat(),
        repeats: BODY_MAX_BYTES / data.len(),
        ..whole
    };
    check(CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_own_chunks_of_a_byte() {
    let _alone = one_at_a_time();
    let whole = almost_whole(ALPHA_KEY);
    let (head, _) = whole.begin.split_once("content-length").expect("announced");
    let script = CrowdScript {
        begin: format!("{head}transfer-encoding: chunked\r\n\r\n"),
        piece: b"1\r\nx\r\n".repeat(8 * 1024),
        repeats: BYTE_CHUNKS / (8 * 1024),
        ..whole
    };
    check(BYTE_CHUNK_CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_own_whole_bodies() {
    let _alone = one_at_a_time();
    let script =
        CrowdScript { piece: vec![b'x'; BODY_MAX_BYTES], reads: false, ..almost_whole(ALPHA_KEY) };
    check(CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_own_heads_without_their_end() {
    let _alone = one_at_a_time();
    let begin = head("POST /v1/services/desk/x", &[("host", "node")]) + "x-field: ";
    let script = CrowdScript {
        begin,
        piece: vec![b'x'; HEAD_BYTES],
        repeats: 1,
        reads: true,
        ..CrowdScript::default()
    };
    check(HEAD_CALLERS, &script).await;
}

/// Guards against bodies that never end; a body may take `DANDELIONFRONT_BODY_TIMEOUT_MS`.
#[ntex::test]
async fn crowd_of_own_stalled_bodies_is_turned_away() {
    let _alone = one_at_a_time();
    let (fleet, _) = start().await;
    let count = 8;
    let crowd = Crowd::start(&fleet.nodes[0].listen, count, &almost_whole(ALPHA_KEY));
    let all = u64::try_from(count).expect("few");
    eventually("the bodies are refused", async || (crowd.ended() == all).then_some(())).await;
}

/// Guards against a process that a crowd keeps from stopping.
#[ntex::test]
async fn crowd_of_own_stalled_bodies_at_a_shutdown() {
    let _alone = one_at_a_time();
    let (mut fleet, _) = start().await;
    let crowd = Crowd::start(&fleet.nodes[0].listen, CALLERS, &almost_whole(ALPHA_KEY));
    crowd.settle().await;
    let process = &mut fleet.nodes[0].process;
    process.signal("TERM");
    let code = eventually("the process ends", async || process.try_exit()).await;
    assert_eq!(code, 0);
}
