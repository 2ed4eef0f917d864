//! Answers of every status on new and kept connections, alone and after a stream that broke off.

mod support;

use dandelionfront_standins::site::scripted::{
    LAST_CHUNK, chunk, chunked_stream_head, events, unframed_stream_head,
};
use dandelionfront_standins::site::{Script, Step};
use support::raw::RawAnswer;
use support::scripted::{ScriptedSite, whole};
use support::site::EVENTS_PER_STREAM;

/// Path of a stream that may be resumed.
const RESUMABLE: &str = "/stream/talk/a";
/// Statuses of failures; the first four promise callers that the request did not run.
const STATUSES: [u16; 11] = [408, 421, 429, 503, 302, 400, 404, 500, 502, 504, 599];
/// Body of each failure.
const TEXT: &str = "the text of a failure";

/// What marks the end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Length,
    Chunks,
    Connection,
}

const ENDS: [End; 3] = [End::Length, End::Chunks, End::Connection];

/// Returns the steps that answer with `status`; `states_not_run` adds the field by which servers
/// state that they did not run the request.
fn failure(status: u16, states_not_run: bool, end: End) -> Script {
    let field = if states_not_run { "not-executed: 1\r\n" } else { "" };
    let head = format!("HTTP/1.1 {status} Failure\r\nrequest-id: {{id}}\r\n{field}");
    let mut script = if states_not_run || status == 421 { vec![] } else { vec![Step::Run] };
    script.extend(with_text(&head, end));
    script
}

/// Returns the steps that write `head`, whose last fields are missing, and the text of a failure.
fn with_text(head: &str, end: End) -> Script {
    let answer = Step::Write(match end {
        End::Length => format!("{head}content-length: {}\r\n\r\n{TEXT}", TEXT.len()),
        End::Chunks => {
            format!("{head}transfer-encoding: chunked\r\n\r\n{}{LAST_CHUNK}", chunk(TEXT))
        }
        End::Connection => format!("{head}connection: close\r\n\r\n{TEXT}"),
    });
    if end == End::Connection { vec![answer, Step::Close] } else { vec![answer] }
}

/// Returns an execution that answers with `ok` and keeps or closes the connection.
fn run(is_kept: bool) -> Script {
    let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: s\r\n";
    if is_kept {
        vec![Step::Run, Step::Write(format!("{head}content-length: 2\r\n\r\nok"))]
    } else {
        vec![Step::Run, Step::Write(format!("{head}connection: close\r\n\r\nok")), Step::Close]
    }
}

/// Returns an execution that sends the events after `last` and keeps or closes the connection.
fn stream_after(last: u64, is_kept: bool) -> Script {
    let rest = events(last + 1, EVENTS_PER_STREAM);
    if is_kept {
        vec![Step::Run, Step::Write(chunked_stream_head() + &chunk(&rest) + LAST_CHUNK)]
    } else {
        vec![Step::Run, Step::Write(unframed_stream_head() + &rest), Step::Close]
    }
}

/// A request, the scripts of its attempts and its answer.
struct Case {
    id: String,
    scripts: Vec<Script>,
    /// `None` if the caller must be told that it is unknown whether the request ran.
    answer: Option<RawAnswer>,
}

/// Sends the requests of all cases, each on the connection that the case before has left; checks
/// their answers and that each took as many attempts as it has scripts.
async fn check(service: &str, (method, path): (&str, &str), cases: Vec<Case>) {
    let scripts = cases.iter().flat_map(|case| case.scripts.clone()).collect();
    let scripted = ScriptedSite::start(service, 1, scripts).await;
    let mut attempts = 0;
    for Case { id, scripts, answer } in cases {
        let reply = scripted.receive(method, path, &id).await;
        if let Some(answer) = answer {
            assert_eq!(reply, answer, "{method} {path}: {id}");
        } else {
            let told = (reply.status(), reply.run());
            assert_eq!(told, (Some(502), Some("unknown".to_owned())), "{id}: {reply:?}");
        }
        attempts += scripts.len();
        assert_eq!(scripted.server.received().len(), attempts, "{method} {path}: {id}");
        let runs = scripts.iter().filter(|script| script.contains(&Step::Run)).count();
        assert_eq!(scripted.runs(&id), runs, "{method} {path}: {id}");
    }
}

/// Returns the cases of requests that meet each failure; `run` answers further attempts.
fn failures(may_repeat: bool, run: impl Fn(bool) -> Script, success: &RawAnswer) -> Vec<Case> {
    let mut cases = Vec::new();
    for status in STATUSES {
        for (states_not_run, end) in
            [true, false].into_iter().flat_map(|stated| ENDS.map(|end| (stated, end)))
        {
            let is_refusal = states_not_run || status == 421;
            let is_promise = STATUSES[..4].contains(&status);
            let mut scripts = vec![failure(status, states_not_run, end)];
            let answer = if is_refusal || (is_promise && may_repeat) {
                // The next case begins on the connection of this execution, or on a new one.
                scripts.push(run(status % 2 == 0));
                Some(success.clone())
            } else if is_promise {
                None
            } else {
                Some(RawAnswer::Whole { status, body: TEXT.to_owned() })
            };
            // Servers see the heads in lower case.
            let id = format!("{status}-{states_not_run}-{end:?}").to_lowercase();
            cases.push(Case { id, scripts, answer });
        }
    }
    cases
}

/// Guards against a failure that reaches the caller as another answer, or a request that runs
/// again, by the status of the failure and by what marks its end.
#[ntex::test]
async fn failure_of_a_request_is_told_as_the_server_told_it() {
    check("desk", ("POST", "/plain/x"), failures(false, run, &whole("ok"))).await;
    check("desk", ("GET", "/lookup/x"), failures(true, run, &whole("ok"))).await;
}

/// Guards against a failure in place of a stream, or a stream that runs again.
#[ntex::test]
async fn failure_of_a_stream_is_told_as_the_server_told_it() {
    let success = whole(events(1, EVENTS_PER_STREAM));
    let run = |is_kept| stream_after(0, is_kept);
    check("geo", ("POST", "/stream/kept/a"), failures(false, run, &success)).await;
    check("geo", ("POST", RESUMABLE), failures(true, run, &success)).await;
}

/// Guards against a failure of any status within a stream that has begun, before its first event,
/// between two events and within one.
#[ntex::test]
async fn failure_after_a_stream_has_begun_is_not_seen_by_the_caller() {
    let mut cases = Vec::new();
    for (last, part) in [(0, ""), (0, "id: 1\nda"), (2, ""), (2, "id: 3\ndata: {\"t")] {
        for (status, end) in STATUSES.into_iter().flat_map(|status| ENDS.map(|end| (status, end))) {
            let begun = events(1, last) + part;
            let begun = if begun.is_empty() { begun } else { chunk(&begun) };
            let begun = vec![Step::Run, Step::Write(chunked_stream_head() + &begun), Step::Close];
            let failure = failure(status, status == 503, end);
            cases.push(Case {
                id: format!("{last}-{}-{status}-{end:?}", part.len()).to_lowercase(),
                scripts: vec![begun, failure, stream_after(last, status % 2 == 0)],
                answer: Some(whole(events(1, EVENTS_PER_STREAM))),
            });
        }
    }
    check("geo", ("POST", RESUMABLE), cases).await;
}

/// Guards against a stream that ends as whole because the next server had nothing to send (ORDER).
#[ntex::test]
async fn success_without_content_is_not_the_rest_of_a_stream() {
    let begun = Step::Write(chunked_stream_head() + &chunk(&(events(1, 2) + "id: 3")));
    let empty = "HTTP/1.1 204 No Content\r\nrequest-id: {id}\r\nserver-seal: s\r\n\r\n";
    let cases = vec![Case {
        id: "r-1".to_owned(),
        scripts: vec![
            vec![Step::Run, begun, Step::Close],
            vec![Step::Run, Step::write(empty)],
            stream_after(2, true),
        ],
        answer: Some(whole(events(1, EVENTS_PER_STREAM))),
    }];
    check("geo", ("POST", RESUMABLE), cases).await;
}

/// Guards against bytes after the head of an answer without content to a stream (MIXED).
#[ntex::test]
async fn answer_without_content_to_a_stream_has_no_body() {
    let answer = |status: u16| {
        let fields = "request-id: {id}\r\nserver-seal: s\r\n";
        vec![Step::Run, Step::Write(format!("HTTP/1.1 {status} Empty\r\n{fields}\r\n"))]
    };
    let case = |status| Case {
        id: format!("r-{status}"),
        scripts: vec![answer(status)],
        answer: Some(RawAnswer::Whole { status, body: String::new() }),
    };
    for path in ["/stream/kept/a", RESUMABLE] {
        check("geo", ("POST", path), vec![case(304), case(204)]).await;
    }
}

/// Guards against an answer whose status HTTP does not know, which callers get as an answer.
#[ntex::test]
async fn answer_with_an_invalid_status_is_no_answer() {
    for end in ENDS {
        for status in ["000", "099", "600", "999"] {
            let head = format!("HTTP/1.1 {status} Odd\r\nrequest-id: {{id}}\r\nserver-seal: s\r\n");
            let odd = [vec![Step::Run], with_text(&head, end)].concat();
            let id = format!("once-{status}");
            let once = Case { id, scripts: vec![odd.clone()], answer: None };
            check("desk", ("POST", "/plain/a"), vec![once]).await;
            let (id, scripts) = (format!("repeated-{status}"), vec![odd, run(true)]);
            let repeated = Case { id, scripts, answer: Some(whole("ok")) };
            check("desk", ("GET", "/lookup/a"), vec![repeated]).await;
        }
    }
}
