//! Answers of model engines and plain services that are cut short, doubled or unframed.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use dandelionfront_standins::engine::DoublingEngine;
use dandelionfront_standins::engine::doubling::{chunk_events, last_events};
use dandelionfront_standins::site::scripted::{LAST_CHUNK, chunk};
use dandelionfront_standins::site::{Script, ScriptedServer, Step};
use serde_json::{Value, json};
use support::fleet::{ALPHA_KEY, Fleet, FleetOptions};
use support::http::Reply;

/// Head of an answer whose body comes in chunks.
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                            transfer-encoding: chunked\r\n\r\n";
/// Head of an answer that ends with its connection.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                             connection: close\r\n\r\n";

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("valid")
}

/// Starts one node whose backend server `name` has the address `address`.
async fn start(name: &str, address: SocketAddr) -> Fleet {
    let fleet = Fleet::start(FleetOptions { nodes: 1, ..FleetOptions::default() }).await;
    let mut objects = fleet.sample_objects();
    objects["backend"][name]["address"] = json!(address.to_string());
    fleet.publish(objects, "spoilt").await.expect_status(200);
    fleet.wait_config(2).await;
    fleet
}

/// Starts one node whose backend server `name` follows `scripts`.
async fn start_scripted(name: &str, scripts: Vec<Script>) -> (Fleet, Arc<ScriptedServer>) {
    let (server, address) = ScriptedServer::spawn(any_port(), scripts).expect("starts");
    (start(name, address).await, server)
}

/// Sends a call that may not be repeated to the service.
async fn call_service(fleet: &Fleet, method: &str) -> Reply {
    let request = fleet.http.request(method, &fleet.nodes[0].listen, "/v1/services/desk/x");
    fleet.http.send(request.bearer_auth(ALPHA_KEY), "").await.expect("the node answers")
}

/// Sends a model call.
async fn call_model(fleet: &Fleet, stream: bool) -> Reply {
    let request = fleet.http.request("POST", &fleet.nodes[0].listen, "/v1/chat/completions");
    let messages = json!([{ "role": "user", "content": "x" }]);
    let body = json!({ "model": "geo", "stream": stream, "messages": messages });
    let reply = fleet.http.send(request.bearer_auth(ALPHA_KEY), body.to_string()).await;
    reply.expect("the node answers")
}

/// Returns the text of a whole answer.
fn text(reply: &Reply) -> Value {
    reply.json()["choices"][0]["message"]["content"].clone()
}

/// Guards against a short or empty body that counts as the whole answer of a service (MIXED).
#[ntex::test]
async fn service_answer_that_is_cut_short_is_no_answer() {
    let answers = [
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        "HTTP/1.0 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\n",
        "HTTP/1.1 000 None\r\ncontent-length: 5\r\n\r\nwhole",
        "HTTP/1.1 099 None\r\ncontent-length: 5\r\n\r\nwhole",
        "HTTP/1.1 600 None\r\ncontent-length: 5\r\n\r\nwhole",
        "HTTP/1.1 999 None\r\ncontent-length: 5\r\n\r\nwhole",
        "no answer",
    ];
    let mut failures = Vec::new();
    for answer in answers {
        let (fleet, _server) =
            start_scripted("desk-1", vec![vec![Step::write(answer), Step::Close]]).await;
        let reply = call_service(&fleet, "POST").await;
        if reply.status <= 200 || reply.run() != "unknown" {
            failures.push((answer, reply));
        }
    }
    let unframed = Step::write(format!("{UNFRAMED_HEAD}short"));
    // The kernel also closes the connections of a killed process in order.
    let killed = vec![unframed.clone(), Step::StopListening, Step::Close];
    for (end, script) in [("reset", vec![unframed, Step::Reset]), ("killed", killed)] {
        let (fleet, _server) = start_scripted("desk-1", vec![script]).await;
        let reply = call_service(&fleet, "POST").await;
        if reply.status == 200 || reply.run() != "unknown" {
            failures.push((end, reply));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against the body of an answer without a length that is dropped (MIXED).
#[ntex::test]
async fn service_answer_is_whole_however_it_is_framed() {
    let answers = [
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole",
        "HTTP/1.0 200 OK\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole and more",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\nmore",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
    ];
    let mut failures = Vec::new();
    for answer in answers {
        let (fleet, _server) =
            start_scripted("desk-1", vec![vec![Step::write(answer), Step::Close]]).await;
        let reply = call_service(&fleet, "POST").await;
        if (reply.status, reply.body.as_str()) != (200, "whole") {
            failures.push((answer, reply));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a late second copy of a refusal that is taken for the answer to the next request:
/// "not run" for a call that the engine runs (MIXED).
#[ntex::test]
async fn second_copy_of_a_refusal_is_not_taken_for_the_next_answer() {
    let (engine, address) = DoublingEngine::spawn(any_port()).expect("starts");
    let fleet = start("engine-0", address).await;
    let refused = call_model(&fleet, false).await;
    assert_eq!((refused.status, refused.run().as_str()), (503, "not_run"), "{}", refused.body);
    for run in 1..=3 {
        let reply = call_model(&fleet, false).await;
        assert_eq!(engine.executed().len(), run, "{}", reply.body);
        assert_eq!(text(&reply.expect_status(200)), "word");
    }
}

/// Guards against a stream without a length that cannot be read.
#[ntex::test]
async fn engine_stream_that_ends_with_its_connection_is_whole() {
    let stream = chunk_events(0, &["a", "b"]) + &last_events(2);
    let script = vec![Step::write(format!("{UNFRAMED_HEAD}{stream}")), Step::Close];
    let (fleet, server) = start_scripted("engine-0", vec![script]).await;
    assert_eq!(text(&call_model(&fleet, false).await.expect_status(200)), "ab");
    assert_eq!(server.received().len(), 1, "the stream was resumed");
}

/// Returns events without the ids for which `is_dropped` is true, by their position.
fn without_ids(events: &str, is_dropped: impl Fn(usize) -> bool) -> String {
    let events = events.split_inclusive("\n\n").enumerate();
    let strip = |(position, event): (usize, &str)| match event.split_once('\n') {
        Some((id, rest)) if id.starts_with("id:") && is_dropped(position) => rest.to_owned(),
        _ => event.to_owned(),
    };
    events.map(strip).collect()
}

/// Guards against whole streams that are refused because not all of their events have ids.
#[ntex::test]
async fn engine_stream_is_whole_whichever_events_have_ids() {
    let stream = chunk_events(0, &["a", "a", "b"]) + &last_events(3);
    let streams = [
        without_ids(&stream, |_| true),
        without_ids(&stream, |position| position == 3),
        without_ids(&stream, |position| position > 0),
        without_ids(&stream, |position| position % 2 == 0),
    ];
    let mut failures = Vec::new();
    for stream in streams {
        let script = vec![Step::write(CHUNKED_HEAD.to_owned() + &chunk(&stream) + LAST_CHUNK)];
        let (fleet, _server) = start_scripted("engine-0", vec![script]).await;
        let reply = call_model(&fleet, false).await;
        if reply.status != 200 || text(&reply) != "aab" {
            failures.push((stream, reply));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against text that is there twice because a stream was begun anew, by the engine or by a
/// second copy of its answer (MIXED).
#[ntex::test]
async fn stream_that_begins_anew_is_not_continued() {
    let whole = chunk_events(0, &["a", "b", "c"]) + &last_events(3);
    let part = chunk_events(0, &["a", "b"]);
    let broken_off = vec![Step::write(CHUNKED_HEAD.to_owned() + &chunk(&part)), Step::Close];
    let anew = vec![Step::write(CHUNKED_HEAD.to_owned() + &chunk(&whole) + LAST_CHUNK)];
    let doubled_text =
        |part: &str, whole: &str| format!("HTTP/1.0 200 OK\r\n\r\n{part}{CHUNKED_HEAD}{whole}");
    let doubled = vec![Step::write(doubled_text(&part, &whole)), Step::Close];
    // Without ids nothing shows where a resumed stream begins.
    let [part_without, whole_without] = [&part, &whole].map(|events| without_ids(events, |_| true));
    let unnumbered = vec![
        vec![Step::write(CHUNKED_HEAD.to_owned() + &chunk(&part_without)), Step::Close],
        vec![Step::write(CHUNKED_HEAD.to_owned() + &chunk(&whole_without) + LAST_CHUNK)],
    ];
    let unnumbered_anew = vec![broken_off.clone(), unnumbered[1].clone()];
    let doubled_without =
        vec![Step::write(doubled_text(&part_without, &whole_without)), Step::Close];
    let other = chunk_events(2, &["other"]).replace("chatcmpl-1", "chatcmpl-2") + &last_events(3);
    let mixed = vec![Step::write(CHUNKED_HEAD.to_owned() + &chunk(&(part.clone() + &other)))];
    let mut failures = Vec::new();
    for scripts in [
        vec![broken_off, anew],
        vec![doubled],
        vec![mixed],
        unnumbered,
        unnumbered_anew,
        vec![doubled_without],
    ] {
        for stream in [false, true] {
            let (fleet, _server) = start_scripted("engine-0", scripts.clone()).await;
            let reply = call_model(&fleet, stream).await;
            let is_sound = if stream {
                reply.body.contains(r#""run":"unknown""#) && !reply.body.contains("[DONE]")
            } else {
                reply.status != 200 && reply.run() == "unknown"
            };
            if !is_sound {
                failures.push((scripts.clone(), reply));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
