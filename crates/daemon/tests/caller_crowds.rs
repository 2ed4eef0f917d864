//! Crowds of callers that misbehave: whatever they send or leave unsent, a node's process lives, stays
//! within the memory and descriptors of its settings, and serves ordinary callers, both beside the
//! crowd and after it.
//!
//! Each test has the machine's crowd to itself (`.ci/run` runs this binary apart from the others).

mod support;

use std::sync::Arc;
use std::time::Duration;

use dandelionfront_standins::site::scripted::{
    LAST_CHUNK, answer, chunk, chunked_stream_head, events,
};
use dandelionfront_standins::site::{ScriptedServer, Step};
use serde_json::json;
use support::crowd::{
    Crowd, CrowdScript, Meter, ORDINARY_DEADLINE, Peaks, expect_served, head, one_at_a_time,
    request,
};
use support::http::eventually;
use support::site::{ALPHA_KEY, Call, HOST, ProcessLimits, Site, config};

/// Memory of the node's process, in MB.
const MEMORY_MB: u64 = 64;
/// Descriptors of the node's process where a test is about its memory.
const DESCRIPTORS_MAX: u64 = 4_000;
/// Descriptors of the node's process where a test is about them.
const FEW_DESCRIPTORS: u64 = 400;
/// Maximum size of a body and of a head in the configuration.
const BODY_MAX_BYTES: usize = 1024 * 1024;
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// Longest time for which a caller may take to send a head or leave a connection idle, and longest time
/// of a request; longer than the ordinary callers wait.
const WAIT_MAX_MS: u64 = 120_000;
/// Callers of a crowd; their bodies are larger together than the memory of the process.
const CALLERS: usize = 96;
/// Callers of a crowd that hold less each.
const MANY_CALLERS: usize = 800;
/// Callers of a crowd that takes descriptors; those that are not accepted wait in the system's queue.
const DESCRIPTOR_CALLERS: usize = 300;
/// Body of a turn that fits a row of the store as plain text, and number of callers that send one.
const TURN_BYTES: usize = 60_000;
const MANY_TURNS: usize = 600;
/// Programs whose earlier turns are larger together than the memory of the process, and the number of
/// turns of each.
const HISTORIES: usize = 160;
const HISTORY_TURNS: usize = 16;
/// Chunks of a byte that a caller sends, and number of these callers.
const BYTE_CHUNKS: usize = 256 * 1024;
const BYTE_CHUNK_CALLERS: usize = 192;
/// Time for which servers keep the requests of a crowd.
const LONG_WORK: Duration = Duration::from_secs(8);
/// Body of an ordinary request.
const ORDINARY_BYTES: usize = 2_000;

/// A node with a crowd, and servers of which `geo` may keep requests for long.
struct CrowdedSite {
    site: Site,
    meter: Meter,
    limits: ProcessLimits,
}

impl CrowdedSite {
    async fn start(limits: ProcessLimits) -> Self {
        Self::start_with(limits, LONG_WORK, "done").await
    }

    /// Starts a site whose service `geo` works for `work` on a turn and whose service `desk` gives the
    /// answer `body`.
    async fn start_with(limits: ProcessLimits, work: Duration, body: &str) -> Self {
        let mut site = Site::start(0).await;
        let mut patient = config(5);
        patient["limits"] = json!({
            "maxHeaderBytes": HEAD_MAX_BYTES, "maxBodyBytes": BODY_MAX_BYTES,
            "headerTimeoutMs": WAIT_MAX_MS, "idleTimeoutMs": WAIT_MAX_MS,
        });
        for route in patient["routes"].as_array_mut().expect("a list") {
            route["timeoutMs"] = json!(WAIT_MAX_MS);
        }
        site.publish(patient).await;
        site.add_limited_node(limits);
        site.wait_ready().await;
        let stream =
            Step::write([&chunked_stream_head(), &chunk(&events(1, 4)), LAST_CHUNK].concat());
        let talk = vec![Step::Run, Step::Pause(work), stream];
        let desk = vec![Step::Run, Step::write(answer("200 OK", "server-seal: s\r\n", body))];
        for (service, script) in [("geo", talk), ("desk", desk)] {
            let any_port = "127.0.0.1:0".parse().expect("valid");
            let spawned = ScriptedServer::spawn(any_port, vec![script]);
            let (server, address): (Arc<ScriptedServer>, _) = spawned.expect("starts");
            let second = server.listen(any_port).expect("starts");
            Self::replace_servers(&site, service, [address, second]).await;
        }
        let node = &site.nodes[0];
        let meter = Meter::start(node.process.id(), &node.listen);
        Self { site, meter, limits }
    }

    /// Replaces the servers of `service`; those of both services have ids of their own.
    async fn replace_servers(site: &Site, service: &str, addresses: [std::net::SocketAddr; 2]) {
        let replaced = if service == "geo" { &site.engines } else { &site.services };
        for server in replaced {
            site.put_row("servers", &server.id, None).await;
        }
        site.wait_server_count(2).await;
        for (number, address) in addresses.iter().enumerate() {
            let id = format!("scripted-{service}-{number}");
            site.put_server(&id, &address.to_string(), service, "ready").await;
        }
        site.wait_server_count(4).await;
    }

    fn listen(&self) -> &str {
        &self.site.nodes[0].listen
    }

    /// Lets a crowd come, stay and leave; checks that ordinary requests are served beside it and
    /// after it, the latter one as large as the limits allow, and what the process held at most.
    async fn check(self, count: usize, script: &CrowdScript) {
        let crowd = Crowd::start(self.listen(), count, script);
        crowd.settle().await;
        expect_served("beside the crowd", self.listen(), ordinary(ORDINARY_BYTES)).await;
        crowd.leave();
        expect_served("after the crowd", self.listen(), ordinary(BODY_MAX_BYTES)).await;
        self.check_peaks();
    }

    fn check_peaks(self) {
        let peaks = self.meter.peaks();
        println!("most held: {peaks:?}");
        let Peaks { memory_kb, descriptors, .. } = peaks;
        let memory_max_kb = self.limits.memory_mb * 1024;
        assert!(memory_kb <= memory_max_kb, "{memory_kb} KB held, {memory_max_kb} KB allowed");
        let descriptors_max = self.limits.descriptors_max.expect("set by all tests");
        assert!(descriptors as u64 <= descriptors_max, "{descriptors} descriptors");
    }
}

/// Limits of a process in tests of its memory.
fn little_memory() -> ProcessLimits {
    ProcessLimits { memory_mb: MEMORY_MB, descriptors_max: Some(DESCRIPTORS_MAX) }
}

/// Limits of a process in tests of its descriptors.
fn few_descriptors() -> ProcessLimits {
    ProcessLimits { memory_mb: 100, descriptors_max: Some(FEW_DESCRIPTORS) }
}

/// Head fields of a request with an own id.
fn fields<'a>(id: &'a str, key: &'a str) -> [(&'a str, &'a str); 3] {
    [("host", HOST), ("request-id", id), ("key", key)]
}

/// Returns an ordinary request to a service that answers at once.
fn ordinary(body_bytes: usize) -> Vec<u8> {
    let deadline_ms = ORDINARY_DEADLINE.as_millis().to_string();
    let deadline = [("deadline-ms", deadline_ms.as_str())];
    let fields = [fields("ordinary", ALPHA_KEY).as_slice(), &deadline].concat();
    request("POST /plain/x", &fields, body_bytes)
}

/// Returns the head of a crowd's request with the field that tells how its body is framed.
fn crowd_head(path: &str, key: &str, framing: &str) -> String {
    let line = format!("POST {path}");
    format!("{}{framing}\r\n\r\n", head(&line, &fields("crowd-{number}", key)))
}

/// Returns a script of bodies that are announced and sent whole but for their last byte.
fn almost_whole(path: &str, key: &str) -> CrowdScript {
    CrowdScript {
        begin: crowd_head(path, key, &format!("content-length: {BODY_MAX_BYTES}")),
        piece: vec![b'x'; BODY_MAX_BYTES - 1],
        repeats: 1,
        reads: true,
        returns: 3,
        ..CrowdScript::default()
    }
}

#[ntex::test]
async fn crowd_of_bodies_without_their_last_byte() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    site.check(CALLERS, &almost_whole("/plain/x", ALPHA_KEY)).await;
}

#[ntex::test]
async fn crowd_of_bodies_in_pieces_without_their_last_byte() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let piece_bytes = BODY_MAX_BYTES / 32;
    let script = CrowdScript {
        piece: vec![b'x'; piece_bytes],
        repeats: 31,
        end: vec![b'x'; piece_bytes - 1],
        ..almost_whole("/plain/x", ALPHA_KEY)
    };
    site.check(CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_bodies_with_an_unknown_key() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    site.check(CALLERS, &almost_whole("/plain/x", "unknown")).await;
}

#[ntex::test]
async fn crowd_of_bodies_to_no_route() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    site.check(CALLERS, &almost_whole("/nowhere/x", ALPHA_KEY)).await;
}

#[ntex::test]
async fn crowd_of_large_chunks_without_end() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let data = "x".repeat(64 * 1024);
    let script = CrowdScript {
        begin: crowd_head("/plain/x", ALPHA_KEY, "transfer-encoding: chunked"),
        piece: chunk(&data).into_bytes(),
        // As much as a body may hold; the last chunk never comes.
        repeats: BODY_MAX_BYTES / data.len(),
        reads: true,
        returns: 3,
        ..CrowdScript::default()
    };
    site.check(CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_single_chunks_without_their_last_byte() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let mut body = chunk(&"x".repeat(BODY_MAX_BYTES)).into_bytes();
    body.truncate(body.len() - "x\r\n".len());
    let script = CrowdScript {
        begin: crowd_head("/plain/x", ALPHA_KEY, "transfer-encoding: chunked"),
        piece: body,
        repeats: 1,
        reads: true,
        returns: 3,
        ..CrowdScript::default()
    };
    site.check(CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_chunks_of_a_byte() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let chunks_per_piece = 8 * 1024;
    let script = CrowdScript {
        begin: crowd_head("/plain/x", ALPHA_KEY, "transfer-encoding: chunked"),
        piece: chunk("x").repeat(chunks_per_piece).into_bytes(),
        repeats: BYTE_CHUNKS / chunks_per_piece,
        reads: true,
        ..CrowdScript::default()
    };
    site.check(BYTE_CHUNK_CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_chunk_extensions_without_end() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let script = CrowdScript {
        begin: crowd_head("/plain/x", ALPHA_KEY, "transfer-encoding: chunked") + "5;x=",
        piece: vec![b'x'; 32 * 1024],
        repeats: 32,
        reads: true,
        ..CrowdScript::default()
    };
    site.check(CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_announced_bodies_far_over_the_limit() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let script = CrowdScript {
        begin: crowd_head("/plain/x", ALPHA_KEY, "content-length: 1000000000"),
        piece: vec![b'x'; BODY_MAX_BYTES],
        repeats: 4,
        reads: true,
        returns: 3,
        ..CrowdScript::default()
    };
    site.check(CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_bodies_far_over_the_limit() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let data = "x".repeat(256 * 1024);
    let script = CrowdScript {
        begin: crowd_head("/plain/x", ALPHA_KEY, "transfer-encoding: chunked"),
        piece: chunk(&data).into_bytes(),
        repeats: 16,
        returns: 3,
        ..CrowdScript::default()
    };
    site.check(CALLERS, &script).await;
}

/// The requests wait for a server or are at one, while the crowd stays.
#[ntex::test]
async fn crowd_of_whole_bodies() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let script = CrowdScript {
        begin: crowd_head(
            "/stream/talk/x",
            ALPHA_KEY,
            &format!("content-length: {BODY_MAX_BYTES}"),
        ),
        piece: vec![b'x'; BODY_MAX_BYTES],
        repeats: 1,
        ..CrowdScript::default()
    };
    site.check(CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_whole_bodies_of_kept_turns() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let script = CrowdScript {
        begin: crowd_head(
            "/stream/kept/x",
            ALPHA_KEY,
            &format!("content-length: {BODY_MAX_BYTES}"),
        ),
        piece: vec![b'x'; BODY_MAX_BYTES],
        repeats: 1,
        ..CrowdScript::default()
    };
    site.check(CALLERS, &script).await;
}

/// Returns a script of whole turns with the given body on the route that keeps turns.
fn kept_turn(body: Vec<u8>) -> CrowdScript {
    let framing = format!("content-length: {}", body.len());
    CrowdScript {
        begin: crowd_head("/stream/kept/x", ALPHA_KEY, &framing),
        piece: body,
        repeats: 1,
        reads: true,
        ..CrowdScript::default()
    }
}

/// Lets a crowd of turns come while the store refuses to store turns, so that their writes are
/// repeated.
async fn check_turns_that_cannot_be_stored(body: Vec<u8>, count: usize) {
    let site = CrowdedSite::start_with(little_memory(), Duration::ZERO, "done").await;
    let faults = json!({ "unwritable_table": "turns" });
    site.site.set_faults(&site.site.store, &faults).await;
    site.check(count, &kept_turn(body)).await;
}

/// Guards against turns of control characters whose JSON, Base64 and call to the store hold many
/// times their size.
#[ntex::test]
async fn crowd_of_kept_turns_that_grow_when_they_are_encoded() {
    let _alone = one_at_a_time();
    check_turns_that_cannot_be_stored(vec![0; TURN_BYTES], MANY_TURNS).await;
}

/// Guards against turns of plain text whose copies in memory are not all counted.
#[ntex::test]
async fn crowd_of_kept_turns_whose_writes_are_repeated() {
    let _alone = one_at_a_time();
    check_turns_that_cannot_be_stored(vec![b'x'; TURN_BYTES], MANY_TURNS).await;
}

/// Guards against few turns of the largest size that hold many times their size while they are
/// stored.
#[ntex::test]
async fn crowd_of_large_kept_turns_that_grow_when_they_are_encoded() {
    let _alone = one_at_a_time();
    check_turns_that_cannot_be_stored(vec![0; BODY_MAX_BYTES], CALLERS).await;
}

/// Guards against turns whose earlier turns take more memory while they are read than is counted.
#[ntex::test]
async fn crowd_of_turns_that_continue_long_histories() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start_with(little_memory(), Duration::ZERO, "done").await;
    let body = "x".repeat(TURN_BYTES);
    for history in 0..HISTORIES {
        let mut previous = String::new();
        for turn in 0..HISTORY_TURNS {
            let id = format!("{turn}-of-{history}");
            let named = [("previous-turn", previous.as_str())];
            let headers = if turn == 0 { [].as_slice() } else { &named };
            let call =
                Call { id: &id, path: "/stream/kept/x", headers, body: &body, ..Call::default() };
            site.site.send(0, &call).await.expect("the node answers").expect_status(200);
            previous = id;
        }
    }
    let last = HISTORY_TURNS - 1;
    let framing = format!("previous-turn: {last}-of-{{number}}\r\ncontent-length: 2000");
    let script = CrowdScript {
        begin: crowd_head("/stream/kept/x", ALPHA_KEY, &framing),
        piece: vec![b'x'; 2_000],
        repeats: 1,
        reads: true,
        ..CrowdScript::default()
    };
    site.check(HISTORIES, &script).await;
}

#[ntex::test]
async fn crowd_of_heads_without_their_end() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let begin = head("POST /plain/x", &fields("crowd-{number}", ALPHA_KEY)) + "x-field: ";
    let script = CrowdScript {
        piece: vec![b'x'; HEAD_MAX_BYTES - 1_000],
        begin,
        repeats: 1,
        reads: true,
        returns: 3,
        ..CrowdScript::default()
    };
    site.check(MANY_CALLERS, &script).await;
}

/// Each connection serves one small request and is closed by its caller's wish.
#[ntex::test]
async fn crowd_of_short_connections() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let framing = "connection: close\r\ncontent-length: 2000";
    let script = CrowdScript {
        begin: crowd_head("/plain/x", ALPHA_KEY, framing),
        piece: vec![b'x'; 2_000],
        repeats: 1,
        reads: true,
        returns: 99,
        ..CrowdScript::default()
    };
    site.check(CALLERS, &script).await;
}

/// The requests run one after the other; what waits behind a running one is not read.
#[ntex::test]
async fn crowd_of_queued_requests() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(little_memory()).await;
    let next = crowd_head("/stream/talk/x", ALPHA_KEY, "content-length: 2000") + &"x".repeat(2_000);
    let script = CrowdScript {
        begin: next.clone(),
        piece: next.into_bytes(),
        repeats: 500,
        ..CrowdScript::default()
    };
    site.check(4 * CALLERS, &script).await;
}

/// The callers read nothing of their answers, which are larger together than the process's memory.
#[ntex::test]
async fn crowd_of_unread_answers() {
    let _alone = one_at_a_time();
    let body = "x".repeat(BODY_MAX_BYTES);
    let site = CrowdedSite::start_with(little_memory(), LONG_WORK, &body).await;
    let begin = crowd_head("/plain/x", ALPHA_KEY, "content-length: 0");
    let script = CrowdScript { begin, ..CrowdScript::default() };
    site.check(2 * CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_stalled_bodies_at_few_descriptors() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(few_descriptors()).await;
    let script = CrowdScript {
        begin: crowd_head("/plain/x", ALPHA_KEY, "content-length: 2000"),
        piece: vec![b'x'; 1_000],
        repeats: 1,
        reads: true,
        ..CrowdScript::default()
    };
    site.check(DESCRIPTOR_CALLERS, &script).await;
}

#[ntex::test]
async fn crowd_of_idle_connections_at_few_descriptors() {
    let _alone = one_at_a_time();
    let site = CrowdedSite::start(few_descriptors()).await;
    // Each has sent one request and keeps its connection.
    let begin = crowd_head("/plain/x", ALPHA_KEY, "content-length: 0");
    let script = CrowdScript { begin, reads: true, ..CrowdScript::default() };
    site.check(DESCRIPTOR_CALLERS, &script).await;
}

/// Guards against a process that a crowd keeps from stopping.
#[ntex::test]
async fn crowd_at_a_shutdown() {
    let _alone = one_at_a_time();
    let mut site = CrowdedSite::start(little_memory()).await;
    let crowd = Crowd::start(site.listen(), CALLERS, &almost_whole("/plain/x", ALPHA_KEY));
    crowd.settle().await;
    let process = &mut site.site.nodes[0].process;
    process.signal("TERM");
    let code = eventually("the process ends", async || process.try_exit()).await;
    assert_eq!(code, 0);
}
