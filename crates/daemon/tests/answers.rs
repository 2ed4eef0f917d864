//! A caller receives the complete answer to its own request, or an error.

mod support;

use std::collections::HashMap;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::{Value, json};
use support::fleet::{ALPHA_KEY, Fleet, FleetOptions, Node};
use support::http::eventually;

/// Longest wait for the next bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Requests a streamed completion; returns its text and whether `[DONE]` marked it as complete.
async fn stream_completion(
    fleet: &Fleet,
    node: &Node,
    content: &str,
) -> Result<(String, bool), String> {
    let request = fleet.http.request("POST", &node.listen, "/v1/chat/completions");
    let body = json!({
        "model": "geo", "stream": true, "max_tokens": 64,
        "messages": [{ "role": "user", "content": content }],
    });
    let reply = fleet.http.send(request.bearer_auth(ALPHA_KEY), body.to_string()).await?;
    let mut text = String::new();
    for data in reply.body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return Ok((text, true));
        }
        let chunk: Value = serde_json::from_str(data).map_err(|error| error.to_string())?;
        text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    Ok((text, false))
}

/// Returns the answer to each prompt while no fault is simulated.
async fn undisturbed_answers(fleet: &Fleet, contents: &[String]) -> HashMap<String, String> {
    let mut answers = HashMap::new();
    for content in contents {
        let (text, complete) =
            stream_completion(fleet, &fleet.nodes[0], content).await.expect("the node answers");
        assert!(complete, "an answer without faults is incomplete");
        answers.insert(content.clone(), text);
    }
    answers
}

/// Returns fleet options that resume a stream after its connection has been silent for 700 ms.
fn short_silence_options(nodes: usize) -> FleetOptions {
    let node_args = ["--engine-silence-ms", "700"].map(str::to_owned).to_vec();
    FleetOptions { nodes, node_args, ..FleetOptions::default() }
}

/// Routes the traffic to the first engine through a proxy; returns the proxy and the address that
/// controls its faults.
async fn proxy_first_engine(fleet: &Fleet) -> (support::process::ChildProcess, String) {
    let (proxy, control) = Fleet::proxy(&fleet.engines[0].1);
    let mut objects = fleet.sample_objects();
    objects["backend"]["engine-0"]["address"] = json!(proxy.1);
    fleet.publish(objects, "proxied").await.expect_status(200);
    fleet.wait_config(2).await;
    (proxy.0, control)
}

/// Guards against answers that contain text of other calls or end early but are marked as complete,
/// when connections to an engine are cut, delayed, closed, silenced or refused during a stream.
#[ntex::test]
async fn engine_connection_faults_never_corrupt_answers() {
    let fleet = Fleet::start(short_silence_options(2)).await;
    let contents: Vec<String> = (0..4).map(|index| format!("tokens=40 q{index}")).collect();
    let answers = undisturbed_answers(&fleet, &contents).await;
    let (_proxy, control) = proxy_first_engine(&fleet).await;
    let faults = [
        json!({ "cut_after_bytes": 3000 }),
        json!({ "delay_ms": 15 }),
        json!({ "close_open": true }),
        json!({ "silence_open": true }),
        json!({ "refuse": true }),
    ];
    let mut complete_count = 0;
    for fault in faults {
        fleet.http.put_json(&control, "/v1/faults", &json!({})).await;
        let calls = contents.iter().zip(fleet.nodes.iter().cycle()).map(|(content, node)| async {
            (content.clone(), stream_completion(&fleet, node, content).await)
        });
        let inject = async {
            fleet.pause(std::time::Duration::from_millis(80)).await;
            fleet.http.put_json(&control, "/v1/faults", &fault).await;
        };
        let (results, ()) =
            futures_util::future::join(futures_util::future::join_all(calls), inject).await;
        for (content, result) in results {
            let (text, is_complete) = result.expect("an answer or an error event");
            let answer = &answers[&content];
            assert!(
                answer.starts_with(&text),
                "{fault}: {text:?} is not the beginning of {answer:?}"
            );
            assert!(!is_complete || text == *answer, "{fault}: a short answer was marked complete");
            complete_count += usize::from(is_complete);
        }
    }
    assert!(complete_count >= 8, "only {complete_count} of 20 answers were complete");
}

/// Guards against streams that wait forever for a connection that stays open but carries no more
/// data.
#[ntex::test]
async fn stream_on_a_silent_connection_is_resumed() {
    let fleet = Fleet::start(short_silence_options(1)).await;
    let content = "tokens=60 silent".to_owned();
    let answers = undisturbed_answers(&fleet, std::slice::from_ref(&content)).await;
    let (_proxy, control) = proxy_first_engine(&fleet).await;
    let call = stream_completion(&fleet, &fleet.nodes[0], &content);
    let inject = async {
        fleet.pause(std::time::Duration::from_millis(100)).await;
        fleet.http.put_json(&control, "/v1/faults", &json!({ "silence_open": true })).await;
    };
    let (result, ()) = futures_util::future::join(call, inject).await;
    assert_eq!(result, Ok((answers[&content].clone(), true)));
    let metrics = fleet.http.request("GET", &fleet.nodes[0].operator, "/metrics");
    let metrics = fleet.http.send(metrics, "").await.expect("metrics").body;
    assert!(
        metrics.contains("retries_total{reason=\"stream_resumed\"} 1"),
        "the stream was not resumed: {metrics}"
    );
}

/// Guards against a stream that repeats, skips or mixes text when the owner of its program is
/// killed and another node resumes it.
#[ntex::test]
async fn stream_of_a_killed_owner_matches_the_recorded_answer() {
    let engine_args = ["--token-interval-ms", "20"].map(str::to_owned).to_vec();
    let options = FleetOptions { nodes: 3, engine_args, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await;
    let program = fleet.program_owned_by(&fleet.nodes[2], ALPHA_KEY).await;
    let request = fleet.http.request("POST", &fleet.nodes[0].listen, "/v1/chat/completions");
    let request = request
        .bearer_auth(ALPHA_KEY)
        .header("program-id", program.as_str())
        .header("program-sequence", "1")
        .header("idempotency-key", "k");
    let body = json!({
        "model": "geo", "stream": true, "max_tokens": 64,
        "messages": [{ "role": "user", "content": "tokens=60 owner" }],
    });
    let http = fleet.http.clone();
    let pending = ntex::rt::spawn(async move { http.send(request, body.to_string()).await });
    eventually("the call runs", async || (fleet.engine_record(0).await.len() == 1).then_some(()))
        .await;
    fleet.pause(std::time::Duration::from_millis(300)).await;
    fleet.nodes[2].process.kill();
    let reply = pending.await.expect("task ends").expect("the node answers");
    let history = eventually("the call is recorded", async || {
        let history = fleet.history(&fleet.nodes[1], ALPHA_KEY, &program).await;
        (history.status == 200).then(|| history.json())
    })
    .await;
    let recorded = history["calls"][0]["answer"].as_str().unwrap_or_default().to_owned();
    let recorded: Value =
        serde_json::from_str(&recorded).expect("the successor recorded the answer");
    let recorded = recorded["choices"][0]["message"]["content"].as_str().expect("text").to_owned();
    let parts = reply.body.lines().filter_map(|line| line.strip_prefix("data: {"));
    let text: String = parts
        .filter_map(|data| serde_json::from_str::<Value>(&format!("{{{data}")).ok())
        .filter_map(|chunk| Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect();
    assert_eq!(text, recorded);
    assert!(reply.body.ends_with("data: [DONE]\n\n"), "{}", reply.body);
}

/// Guards against framing in the events of an answer to an HTTP/1.0 caller, which knows no chunks.
#[ntex::test]
async fn stream_to_an_http_1_0_caller_ends_with_its_connection() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let body = json!({
        "model": "geo", "stream": true, "max_tokens": 8,
        "messages": [{ "role": "user", "content": "old" }],
    })
    .to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.0\r\nauthorization: Bearer {ALPHA_KEY}\r\n\
         connection: keep-alive\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    let address = fleet.nodes[0].listen.clone();
    let received = ntex::rt::spawn_blocking(move || {
        let mut connection = TcpStream::connect(address).expect("the node listens");
        connection.set_read_timeout(Some(READ_TIMEOUT)).expect("valid");
        connection.write_all(request.as_bytes()).expect("written");
        let mut received = String::new();
        connection.read_to_string(&mut received).expect("the answer and the connection's end");
        received
    });
    let received = received.await.expect("no panic");
    let (head, events) = received.split_once("\r\n\r\n").expect("a head");
    assert!(!head.contains("transfer-encoding") && !head.contains("keep-alive"), "{head}");
    assert!(events.ends_with("data: [DONE]\n\n"), "{events}");
    let is_event = |line: &str| line.is_empty() || line.starts_with("data: ");
    assert!(events.lines().all(is_event), "{events}");
}
