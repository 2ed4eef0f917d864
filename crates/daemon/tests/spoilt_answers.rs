//! Answers and refusals of plain services that are doubled, cut short, unframed or not the
//! request's own.

mod support;

use std::time::Duration;

use dandelionfront_standins::site::scripted::{answer, chunk};
use dandelionfront_standins::site::{Script, Step};
use serde_json::json;
use support::http::eventually;
use support::raw::RawAnswer;
use support::scripted::{ScriptedSite, whole};
use support::site::Call;

/// Method and path of a request that must run once.
const ONCE: (&str, &str) = ("POST", "/plain/x");
/// Method and path of a request that may run again.
const REPEATABLE: (&str, &str) = ("GET", "/lookup/x");
/// Time for which a server stays silent, longer than any deadline of the tests.
const LONGER_THAN_DEADLINE: Duration = Duration::from_secs(6);
/// Size of a body of which the node forwards the begin before it has read the end.
const LARGE_BYTES: usize = 300 * 1024;

/// Returns the steps of an execution that is answered with the id of the request as body.
fn run() -> Script {
    vec![Step::Run, Step::Write(own_answer())]
}

fn own_answer() -> String {
    // The ids of the tests have three characters.
    answer("200 OK", "server-seal: s\r\n", "...").replace("...", "{id}")
}

/// Returns the steps of an execution that writes `early` before its answer.
fn run_with(early: Step) -> Script {
    vec![Step::Run, early, Step::Write(own_answer())]
}

/// Returns an execution that is answered with `text`, after which the connection is closed.
fn cut(text: &str) -> Script {
    vec![Step::Run, Step::write(text), Step::Close]
}

/// Returns an execution that is answered with `text`, after which the connection is reset.
fn reset(text: &str) -> Script {
    vec![Step::Run, Step::write(text), Step::Reset]
}

fn refusal(status: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}content-length: 0\r\n\r\n")
}

/// Returns refusals with the given fields, as statuses on which callers send the request again.
fn refusals(fields: &str) -> Vec<String> {
    let not_run = format!("not-executed: 1\r\n{fields}");
    vec![
        refusal("503 Service Unavailable", &not_run),
        refusal("429 Too Many Requests", &not_run),
        refusal("421 Misdirected Request", &not_run),
        refusal("421 Misdirected Request", fields),
    ]
}

/// Returns answers with the given fields instead of the request's id.
fn answers(fields: &str) -> Vec<String> {
    let body = "content-length: 7\r\n\r\nforeign";
    let ok = format!("HTTP/1.1 200 OK\r\nserver-seal: s\r\n{fields}{body}");
    let error = format!("HTTP/1.1 500 Internal Server Error\r\n{fields}{body}");
    vec![ok, error]
}

/// Sends a request that meets `early` before its own answer, on a new or on a kept connection;
/// checks what its caller is told and how often it ran.
async fn assert_not_believed(early: &str, is_kept: bool) {
    let spoilt = run_with(Step::write(early));
    let cases = [
        (ONCE, vec![spoilt.clone()]),
        (ONCE, vec![spoilt.clone(), run()]),
        (REPEATABLE, vec![spoilt, run()]),
    ];
    for ((method, path), mut scripts) in cases {
        // With a single server, the next request goes to the kept connection.
        let server_count = if is_kept { 1 } else { 2 };
        if is_kept {
            scripts.insert(0, run());
        }
        let scripted = ScriptedSite::start("desk", server_count, scripts).await;
        if is_kept {
            assert_eq!(scripted.receive(method, path, "r-0").await, whole("r-0"));
        }
        let reply = scripted.receive(method, path, "r-1").await;
        scripted.assert_honest("r-1", &reply, &whole("r-1"));
        if is_kept {
            scripted.assert_connection_kept();
        }
        let runs = scripted.runs("r-1");
        assert!(runs == 1 || (method, path) == REPEATABLE, "{early}: ran {runs} times");
    }
}

/// Guards against giving a caller the late second copy of the answer or refusal to another one.
#[ntex::test]
async fn copy_that_arrives_with_the_next_request_is_not_its_answer() {
    let error = answer("500 Internal Server Error", "", "broken");
    let firsts = refusals("request-id: {id}\r\n").into_iter().chain([own_answer(), error]);
    for first in firsts {
        for (method, path) in [ONCE, REPEATABLE] {
            let is_refusal = first.contains("not-executed") || first.contains("421");
            let mut scripts = vec![vec![Step::Write(first.clone())]];
            if is_refusal {
                scripts.push(run());
            }
            scripts.push(run_with(Step::RepeatPrevious));
            let scripted = ScriptedSite::start("desk", 1, scripts).await;
            scripted.receive(method, path, "r-0").await;
            for id in ["r-1", "r-2", "r-3"] {
                let reply = scripted.receive(method, path, id).await;
                scripted.assert_honest(id, &reply, &whole(id));
                assert!(scripted.runs(id) <= 1 || (method, path) == REPEATABLE, "{first}");
            }
            scripted.assert_connection_kept();
        }
    }
}

/// Guards against giving a caller the second copy of an answer that arrived while the connection
/// was idle.
#[ntex::test]
async fn copy_that_arrives_on_an_idle_connection_is_not_the_next_answer() {
    let error = answer("500 Internal Server Error", "", "broken");
    for first in [own_answer(), error, refusal("503 Service Unavailable", "not-executed: 1\r\n")] {
        for (method, path) in [ONCE, REPEATABLE] {
            let copied = vec![Step::Run, Step::write(&first), Step::write(&first)];
            let delayed = vec![
                Step::Run,
                Step::write(own_answer()),
                Step::Pause(Duration::from_millis(100)),
                Step::write(&first),
            ];
            for script in [copied, delayed] {
                if first.contains("not-executed") && script.len() == 3 {
                    continue;
                }
                let scripted = ScriptedSite::start("desk", 1, vec![script, run()]).await;
                scripted.receive(method, path, "r-0").await;
                eventually("the copy is written", async || {
                    (scripted.server.finished_count() > 0).then_some(())
                })
                .await;
                let reply = scripted.receive(method, path, "r-1").await;
                scripted.assert_honest("r-1", &reply, &whole("r-1"));
                assert!(scripted.runs("r-1") <= 1, "{first}");
            }
        }
    }
}

/// Guards against an answer or refusal to another request that is taken for the own.
#[ntex::test]
async fn early_answer_that_names_another_request_is_not_believed() {
    let fields = "request-id: r-9\r\n";
    for early in answers(fields).into_iter().chain(refusals(fields)) {
        for is_kept in [false, true] {
            assert_not_believed(&early, is_kept).await;
        }
    }
}

/// Guards against taking an answer that names no request for the own.
#[ntex::test]
async fn early_answer_that_names_no_request_is_not_believed() {
    for early in answers("") {
        for is_kept in [false, true] {
            assert_not_believed(&early, is_kept).await;
        }
    }
}

/// Guards against "not run" on the word of a refusal that names no request, on a new connection.
#[ntex::test]
async fn refusal_that_names_no_request_is_not_believed() {
    for early in refusals("") {
        assert_not_believed(&early, false).await;
    }
}

/// Guards against "not run" on the word of a refusal that names no request, on a kept connection.
#[ntex::test]
async fn refusal_that_names_no_request_is_not_believed_on_a_kept_connection() {
    for early in refusals("") {
        assert_not_believed(&early, true).await;
    }
}

/// Guards against taking an answer that names two requests for the own.
#[ntex::test]
async fn early_answer_that_names_two_requests_is_not_believed() {
    for fields in
        ["request-id: r-1\r\nrequest-id: r-9\r\n", "request-id: r-9\r\nrequest-id: r-1\r\n"]
    {
        for early in answers(fields) {
            for is_kept in [false, true] {
                assert_not_believed(&early, is_kept).await;
            }
        }
    }
}

/// Guards against "not run" on the word of a refusal that names two requests.
#[ntex::test]
async fn refusal_that_names_two_requests_is_not_believed() {
    for fields in
        ["request-id: r-1\r\nrequest-id: r-9\r\n", "request-id: r-9\r\nrequest-id: r-1\r\n"]
    {
        for early in refusals(fields) {
            for is_kept in [false, true] {
                assert_not_believed(&early, is_kept).await;
            }
        }
    }
}

/// Guards against telling the caller of a repeatable request that it did not run, because each
/// further attempt meets a second copy of the refusal of the one before.
#[ntex::test]
async fn copies_of_its_own_refusal_do_not_hide_that_a_request_ran() {
    let (method, path) = REPEATABLE;
    for refusal in refusals("request-id: {id}\r\n") {
        for end in [Step::Write(own_answer()), Step::Close] {
            let again = vec![Step::Run, Step::RepeatPrevious, end];
            // The copies go on for longer than a request waits for a busy service.
            let scripts = std::iter::repeat_n([vec![Step::write(&refusal)], again], 500);
            let scripted = ScriptedSite::start("desk", 1, scripts.flatten().collect()).await;
            let reply = scripted.receive(method, path, "r-1").await;
            scripted.assert_honest("r-1", &reply, &whole("r-1"));
        }
    }
}

/// Returns the answer to `id` as its server writes it.
fn answer_to(id: &str) -> String {
    own_answer().replace("{id}", id)
}

/// Guards against an answer that was cut at any point, and ends with its connection, as a whole
/// one.
#[ntex::test]
async fn answer_cut_anywhere_is_not_whole() {
    let count = answer_to("000").len();
    let text = |number: usize| answer_to(&format!("{number:03}"))[..number].to_owned();
    let once = (0..count).map(|number| cut(&text(number))).collect();
    let scripted = ScriptedSite::start("desk", 1, once).await;
    for number in 0..count {
        let id = format!("{number:03}");
        let reply = scripted.receive(ONCE.0, ONCE.1, &id).await;
        let told = (reply.status(), reply.run());
        assert_eq!(told, (Some(502), Some("unknown".to_owned())), "{:?}: {reply:?}", text(number));
        assert_eq!(scripted.runs(&id), 1);
    }
    let repeatable = (0..count).flat_map(|number| [cut(&text(number)), run()]).collect();
    let scripted = ScriptedSite::start("desk", 1, repeatable).await;
    for number in 0..count {
        let id = format!("{number:03}");
        let reply = scripted.receive(REPEATABLE.0, REPEATABLE.1, &id).await;
        assert_eq!(reply, whole(&id), "{:?}", text(number));
    }
}

/// Guards against an answer that was cut by the reset of its connection as a whole one.
#[ntex::test]
async fn answer_cut_by_a_reset_is_not_whole() {
    let whole_answer = answer_to("000");
    let points =
        ["HTTP/1.1", " 200", " OK\r\n", "request-i", "server-seal: s\r\n", "length: ", "3"];
    let mut ends: Vec<usize> =
        points.iter().map(|point| whole_answer.find(point).expect(point) + point.len()).collect();
    let length = whole_answer.len();
    ends.extend([0, length - 5, length - 4, length - 3, length - 1]);
    for (number, end) in ends.into_iter().enumerate() {
        let id = format!("{number:03}");
        let text = &answer_to(&id)[..end];
        let scripted = ScriptedSite::start("desk", 1, vec![reset(text), run()]).await;
        let reply = scripted.receive(ONCE.0, ONCE.1, &id).await;
        let told = (reply.status(), reply.run());
        assert_eq!(told, (Some(502), Some("unknown".to_owned())), "{text:?}: {reply:?}");
        assert_eq!(scripted.runs(&id), 1);
        let scripted = ScriptedSite::start("desk", 1, vec![reset(text), run()]).await;
        let reply = scripted.receive(REPEATABLE.0, REPEATABLE.1, &id).await;
        assert_eq!(reply, whole(&id), "{text:?}");
    }
}

/// Sends requests that a server answers with `text`, and checks that no caller takes it for an
/// answer.
async fn assert_no_answer(text: &str) {
    let scripted = ScriptedSite::start("desk", 1, vec![cut(text), run()]).await;
    let reply = scripted.receive(ONCE.0, ONCE.1, "r-1").await;
    let told = (reply.status(), reply.run());
    assert_eq!(told, (Some(502), Some("unknown".to_owned())), "{text:?}: {reply:?}");
    let scripted = ScriptedSite::start("desk", 1, vec![cut(text), run()]).await;
    let reply = scripted.receive(REPEATABLE.0, REPEATABLE.1, "r-1").await;
    assert_eq!(reply, whole("r-1"), "{text:?}");
}

fn ok(fields: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nrequest-id: {{id}}\r\nserver-seal: s\r\n{fields}\r\n")
}

/// Guards against a body of which the declared length is wrong or contradictory.
#[ntex::test]
async fn answer_with_a_false_length_is_no_answer() {
    assert_no_answer(&(ok("content-length: 9\r\n") + "short")).await;
    assert_no_answer(&(ok("content-length: 5\r\ncontent-length: 4\r\n") + "short")).await;
    assert_no_answer(&(ok("content-length: 5, 4\r\n") + "short")).await;
    assert_no_answer(&(ok("content-length: -5\r\n") + "short")).await;
    assert_no_answer(&(ok("content-length: 5x\r\n") + "short")).await;
}

/// Guards against a body in chunks that ends early, or of which a chunk's size can't be read.
#[ntex::test]
async fn answer_with_broken_chunks_is_no_answer() {
    let head = ok("transfer-encoding: chunked\r\n");
    for body in
        ["", "5\r\n", "5\r\nsho", "5\r\nshort\r\n", "5\r\nshort\r\n0\r\n", "zz\r\nshort\r\n"]
    {
        assert_no_answer(&(head.clone() + body)).await;
    }
}

/// Guards against forwarding a compressed body as if it were plain.
#[ntex::test]
async fn answer_with_a_compressed_transfer_is_no_answer() {
    let chunks = chunk("short") + "0\r\n\r\n";
    assert_no_answer(&(ok("transfer-encoding: gzip, chunked\r\n") + &chunks)).await;
    assert_no_answer(&(ok("transfer-encoding: gzip\r\n") + "short")).await;
}

/// Guards against forwarding a change of protocols for which no caller asked.
#[ntex::test]
async fn change_of_protocols_is_no_answer() {
    for fields in ["", "connection: upgrade\r\nupgrade: other\r\n"] {
        let text = "HTTP/1.1 101 Switching Protocols\r\nrequest-id: {id}\r\n".to_owned() + fields;
        assert_no_answer(&(text + "\r\n")).await;
    }
}

/// Guards against bytes after an answer without a body that become part of it or of the next one.
#[ntex::test]
async fn bytes_after_an_answer_without_body_reach_no_caller() {
    for (status, line) in [(204, "204 No Content"), (304, "304 Not Modified")] {
        let head = format!("HTTP/1.1 {line}\r\nrequest-id: {{id}}\r\nserver-seal: s\r\n\r\n");
        let scripts = vec![vec![Step::Run, Step::Write(head + "more")], run()];
        let scripted = ScriptedSite::start("desk", 1, scripts).await;
        let reply = scripted.receive(ONCE.0, ONCE.1, "r-0").await;
        assert_eq!(reply, RawAnswer::Whole { status, body: String::new() });
        let reply = scripted.receive(ONCE.0, ONCE.1, "r-1").await;
        scripted.assert_honest("r-1", &reply, &whole("r-1"));
        assert!(scripted.runs("r-1") <= 1);
    }
}

/// Guards against refusing an answer because it ends with its connection.
#[ntex::test]
async fn unframed_answer_that_ends_with_its_connection_is_whole() {
    let scripted =
        ScriptedSite::start("desk", 1, vec![cut(&(ok("connection: close\r\n") + "body"))]).await;
    for (number, (method, path)) in [ONCE, REPEATABLE].into_iter().enumerate() {
        let id = format!("r-{number}");
        assert_eq!(scripted.receive(method, path, &id).await, whole("body"));
        assert_eq!(scripted.runs(&id), 1);
    }
}

/// Guards against taking the reset of a connection for the end of an unframed answer.
#[ntex::test]
async fn unframed_answer_whose_connection_is_reset_is_not_whole() {
    let text = ok("connection: close\r\n") + "bo";
    let scripted = ScriptedSite::start("desk", 1, vec![reset(&text), run()]).await;
    let reply = scripted.receive(ONCE.0, ONCE.1, "r-1").await;
    assert_eq!((reply.status(), reply.run().as_deref()), (Some(502), Some("unknown")));
    assert_eq!(scripted.runs("r-1"), 1);
    let scripted = ScriptedSite::start("desk", 1, vec![reset(&text), run()]).await;
    let reply = scripted.receive(REPEATABLE.0, REPEATABLE.1, "r-1").await;
    assert_eq!(reply, whole("r-1"));
}

/// Guards against an unframed answer that counts as whole although its server's process has ended,
/// or cannot be reached, so that it may have ended.
#[ntex::test]
async fn unframed_answer_of_a_server_that_ended_is_not_whole() {
    for end in [Step::StopListening, Step::StopAccepting] {
        let text = ok("connection: close\r\n") + "bo";
        let ended = vec![Step::Run, Step::Write(text), end, Step::Close];
        let scripted = ScriptedSite::start("desk", 2, vec![ended.clone(), run()]).await;
        let reply = scripted.receive(ONCE.0, ONCE.1, "r-1").await;
        assert_eq!((reply.status(), reply.run().as_deref()), (Some(502), Some("unknown")));
        assert_eq!(scripted.runs("r-1"), 1);
        let scripted = ScriptedSite::start("desk", 2, vec![ended, run()]).await;
        let reply = scripted.receive(REPEATABLE.0, REPEATABLE.1, "r-1").await;
        assert_eq!(reply, whole("r-1"));
    }
}

/// Guards against refusing a request as deadly because servers that announced their leave ended
/// with the connections of its answers.
#[ntex::test]
async fn servers_that_leave_are_no_evidence_against_a_request() {
    let text = ok("connection: close\r\nserver-leaving: 1\r\n") + "bo";
    let leaves = vec![Step::Run, Step::Write(text), Step::StopListening, Step::Close];
    let scripts = vec![leaves.clone(), leaves.clone(), leaves, run()];
    let scripted = ScriptedSite::start("desk", 4, scripts).await;
    for id in ["r-1", "r-2", "r-3"] {
        let reply = scripted.receive(ONCE.0, ONCE.1, id).await;
        assert_eq!((reply.status(), reply.run().as_deref()), (Some(502), Some("unknown")));
    }
    assert_eq!(scripted.receive(ONCE.0, ONCE.1, "r-4").await, whole("r-4"));
}

/// Guards against the head of a second answer in the body of a large one that broke off.
#[ntex::test]
async fn large_answer_that_broke_off_is_not_continued_by_another() {
    let large = "a".repeat(LARGE_BYTES);
    let sized = ok(&format!("content-length: {}\r\n", 2 * LARGE_BYTES)) + &large;
    let chunked = ok("transfer-encoding: chunked\r\n") + &chunk(&large);
    let error = answer("500 Internal Server Error", "", "broken");
    for begun in [sized, chunked] {
        for next in [run(), vec![Step::Run, Step::Write(error.clone())]] {
            let scripts = vec![cut(&begun), next.clone()];
            let scripted = ScriptedSite::start("desk", 1, scripts).await;
            let reply = scripted.receive(REPEATABLE.0, REPEATABLE.1, "r-1").await;
            let shown = format!("{reply:?}").replace(&large, "aaa...");
            assert!(matches!(reply, RawAnswer::BrokenOff { status: Some(200), .. }), "{shown}");
            assert!(reply.body().bytes().all(|byte| byte == b'a'), "{shown}");
        }
    }
}

/// Guards against waiting for a refusal's body, so that the request does not reach another server
/// before its deadline.
#[ntex::test]
async fn refusal_whose_body_never_arrives_does_not_hold_up_a_request() {
    let refusal = refusal("503 Service Unavailable", "not-executed: 1\r\nrequest-id: {id}\r\n");
    let refusal = refusal.replace("content-length: 0", "content-length: 9");
    for (method, path) in [ONCE, REPEATABLE] {
        let silent = vec![Step::write(&refusal), Step::Pause(LONGER_THAN_DEADLINE), Step::Close];
        let scripted = ScriptedSite::start("desk", 2, vec![silent, run()]).await;
        assert_eq!(scripted.receive(method, path, "r-1").await, whole("r-1"));
        assert_eq!(scripted.runs("r-1"), 1);
    }
}

/// Guards against other bytes where a server still reads the body of a request that it has
/// answered.
#[ntex::test]
async fn next_request_begins_after_the_body_that_was_answered_early() {
    let refusal = refusal("503 Service Unavailable", "not-executed: 1\r\nrequest-id: {id}\r\n");
    let too_large = answer("413 Payload Too Large", "", "broken");
    let error = answer("500 Internal Server Error", "", "broken");
    for early in [refusal, too_large, error] {
        let is_refusal = early.contains("not-executed");
        let status = if early.contains("413") { 413 } else { 500 };
        let rejected = vec![
            Step::Write(early.clone()),
            Step::Pause(Duration::from_millis(100)),
            Step::ReadBody,
        ];
        let scripted = ScriptedSite::start("desk", 1, vec![rejected, run()]).await;
        let mut config = scripted.site.config.clone();
        config["version"] = json!(4);
        config["limits"]["maxBodyBytes"] = json!(LONG_BODY_BYTES);
        scripted.site.publish(config).await;
        eventually("the node knows the limit", async || {
            let lines = scripted.site.nodes[0].process.lines();
            lines.iter().any(|line| line.contains("event=config_seen version=4 ")).then_some(())
        })
        .await;
        let body = "b".repeat(LONG_BODY_BYTES);
        let call = Call { id: "r-0", body: &body, ..Call::default() };
        let reply = scripted.site.receive_raw(0, &call).await;
        if is_refusal {
            assert_eq!(reply, whole("r-0"));
        } else {
            assert_eq!(reply, RawAnswer::Whole { status, body: "broken".to_owned() });
        }
        for id in ["r-1", "r-2"] {
            let reply = scripted.receive(ONCE.0, ONCE.1, id).await;
            assert_eq!(reply, whole(id), "{early}");
            assert_eq!(scripted.runs(id), 1);
        }
        for request in scripted.server.received() {
            assert_eq!(request.line, "post /plain/x", "{early}");
        }
        let is_begin = |read: &Vec<u8>| body.as_bytes().starts_with(read);
        assert!(scripted.server.bodies().iter().all(is_begin), "{early}");
    }
}

/// Size of a body that does not fit into the buffers of a connection.
const LONG_BODY_BYTES: usize = 12 * 1024 * 1024;
