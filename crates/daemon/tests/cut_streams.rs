//! Streams whose backend servers write copies of earlier answers, break off or send events that do
//! not follow each other.

mod support;

use dandelionfront_standins::site::scripted::{
    LAST_CHUNK, answer, chunk, chunked_stream_head, events,
};
use dandelionfront_standins::site::{Script, Step};
use support::raw::RawAnswer;
use support::scripted::{ScriptedSite, whole};
use support::site::EVENTS_PER_STREAM;

/// Path of a stream that may be resumed.
const RESUMABLE: &str = "/stream/talk/a";
/// Path of a stream that must run once.
const ONCE: &str = "/stream/kept/a";
/// Size of a body of which the node forwards the begin before it has read the end.
const LARGE_BYTES: usize = 300 * 1024;

fn stream_after(last: u64) -> String {
    let rest = events(last + 1, EVENTS_PER_STREAM);
    let rest = if rest.is_empty() { rest } else { chunk(&rest) };
    chunked_stream_head() + &rest + LAST_CHUNK
}

/// Returns an execution that sends the events after `last` and ends the stream.
fn run_after(last: u64) -> Script {
    vec![Step::Run, Step::Write(stream_after(last))]
}

/// Returns an execution that is answered with `text`, after which the connection is closed.
fn cut(text: impl Into<String>) -> Script {
    vec![Step::Run, Step::write(text), Step::Close]
}

fn refusal(fields: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n{fields}content-length: 0\r\n\r\n"
    )
}

fn whole_stream() -> RawAnswer {
    whole(events(1, EVENTS_PER_STREAM))
}

/// Panics unless a stream that must run once ran once and broke off after `last`, or was refused as
/// possibly run before it began.
fn assert_broken_off(scripted: &ScriptedSite, id: &str, reply: &RawAnswer, last: u64) {
    if let RawAnswer::BrokenOff { body, .. } = reply {
        assert_eq!(*body, events(1, last));
    } else {
        let told = (last, reply.status(), reply.run());
        assert_eq!(told, (0, Some(502), Some("unknown".to_owned())), "{reply:?}");
    }
    assert_eq!(scripted.runs(id), 1);
}

/// Sends streams that a server begins with `begun` and breaks off after event `last`; checks that
/// they are resumed, or end as broken off if they must run once.
async fn assert_broken_off_after(last: u64, begun: &str) {
    let scripts = vec![cut(begun), run_after(last)];
    let scripted = ScriptedSite::start("geo", 1, scripts.clone()).await;
    let reply = scripted.receive("POST", RESUMABLE, "r-1").await;
    assert_eq!(reply, whole_stream(), "{begun}");
    let scripted = ScriptedSite::start("geo", 1, scripts).await;
    let reply = scripted.receive("POST", ONCE, "r-1").await;
    assert_broken_off(&scripted, "r-1", &reply, last);
}

/// Guards against the late second copy of a stream in the stream of another caller.
#[ntex::test]
async fn copy_of_a_stream_is_not_the_next_stream() {
    for path in [RESUMABLE, ONCE] {
        let again = vec![Step::Run, Step::RepeatPrevious, Step::Write(stream_after(0))];
        let scripted = ScriptedSite::start("geo", 1, vec![run_after(0), again]).await;
        for id in ["r-0", "r-1", "r-2", "r-3"] {
            let reply = scripted.receive("POST", path, id).await;
            scripted.assert_honest(id, &reply, &whole_stream());
            assert!(scripted.runs(id) == 1 || path == RESUMABLE);
        }
        scripted.assert_connection_kept();
    }
}

/// Guards against a copy of a refusal or of an error as answer to the next stream.
#[ntex::test]
async fn copy_of_a_refusal_is_not_the_answer_to_a_stream() {
    let error = answer("500 Internal Server Error", "", "broken");
    for first in [refusal("request-id: {id}\r\n"), error] {
        for path in [RESUMABLE, ONCE] {
            let mut scripts = vec![vec![Step::write(&first)]];
            if first.contains("not-executed") {
                scripts.push(run_after(0));
            }
            let mut again = run_after(0);
            again.insert(1, Step::RepeatPrevious);
            scripts.push(again);
            let scripted = ScriptedSite::start("geo", 1, scripts).await;
            scripted.receive("POST", path, "r-0").await;
            for id in ["r-1", "r-2"] {
                let reply = scripted.receive("POST", path, id).await;
                scripted.assert_honest(id, &reply, &whole_stream());
                assert!(scripted.runs(id) == 1 || path == RESUMABLE, "{first}");
            }
            scripted.assert_connection_kept();
        }
    }
}

/// Guards against a stream that runs twice, or whose caller is told that it did not run, on the
/// word of a refusal that names no request.
#[ntex::test]
async fn refusal_of_a_stream_that_names_no_request_is_not_believed() {
    for is_last in [false, true] {
        let mut scripts =
            vec![vec![Step::Run, Step::Write(refusal("")), Step::Write(stream_after(0))]];
        if !is_last {
            scripts.push(run_after(0));
        }
        let scripted = ScriptedSite::start("geo", 2, scripts).await;
        let reply = scripted.receive("POST", ONCE, "r-1").await;
        scripted.assert_honest("r-1", &reply, &whole_stream());
        assert_eq!(scripted.runs("r-1"), 1);
    }
}

/// Guards against taking a copy of the refusal of a resumed stream for a promise that it does not
/// run.
#[ntex::test]
async fn resumed_stream_meets_a_copy_of_its_own_refusal() {
    let begun = chunked_stream_head() + &chunk(&events(1, 2));
    let mut again = run_after(2);
    again.insert(1, Step::RepeatPrevious);
    let scripts =
        vec![cut(begun), vec![Step::Write(refusal("request-id: {id}\r\n"))], again.clone(), again];
    let scripted = ScriptedSite::start("geo", 1, scripts).await;
    let reply = scripted.receive("POST", RESUMABLE, "r-1").await;
    assert_eq!(reply, whole_stream());
}

/// Guards against telling the caller of a stream that it did not run, because each further attempt
/// meets a second copy of the refusal of the one before.
#[ntex::test]
async fn copies_of_its_own_refusal_do_not_hide_that_a_stream_ran() {
    let refused = vec![Step::Write(refusal("request-id: {id}\r\n"))];
    let again = vec![Step::Run, Step::RepeatPrevious, Step::Close];
    // The copies go on for longer than a request waits for a busy service.
    let scripts = std::iter::repeat_n([refused, again], 500).flatten().collect();
    let scripted = ScriptedSite::start("geo", 1, scripts).await;
    let reply = scripted.receive("POST", RESUMABLE, "r-1").await;
    if !matches!(reply, RawAnswer::BrokenOff { .. }) {
        scripted.assert_honest("r-1", &reply, &whole_stream());
    }
}

/// Guards against a stream whose head was cut, at any point, as a stream without events.
#[ntex::test]
async fn stream_whose_head_is_cut_anywhere_is_not_whole() {
    let head = |id: &str| chunked_stream_head().replace("{id}", id);
    let count = head("000").len();
    let text = |number: usize| head(&format!("{number:03}"))[..number].to_owned();
    let scripts = (0..count).map(|number| cut(text(number))).collect();
    let scripted = ScriptedSite::start("geo", 1, scripts).await;
    for number in 0..count {
        let id = format!("{number:03}");
        let reply = scripted.receive("POST", ONCE, &id).await;
        assert_broken_off(&scripted, &id, &reply, 0);
    }
    let scripts = (0..count).flat_map(|number| [cut(text(number)), run_after(0)]).collect();
    let scripted = ScriptedSite::start("geo", 1, scripts).await;
    for number in 0..count {
        let id = format!("{number:03}");
        let reply = scripted.receive("POST", RESUMABLE, &id).await;
        assert_eq!(reply, whole_stream(), "{:?}", text(number));
    }
}

/// Guards against a stream whose head was cut by a reset as a stream without events.
#[ntex::test]
async fn stream_whose_head_is_cut_by_a_reset_is_not_whole() {
    let head = chunked_stream_head();
    let length = head.len();
    for end in [0, 8, 12, 17, 25, length - 4, length - 2, length - 1, length] {
        let begun = vec![Step::Run, Step::write(&head[..end]), Step::Reset];
        let scripts = vec![begun, run_after(0)];
        let scripted = ScriptedSite::start("geo", 1, scripts.clone()).await;
        let reply = scripted.receive("POST", RESUMABLE, "r-1").await;
        assert_eq!(reply, whole_stream(), "{:?}", &head[..end]);
        let scripted = ScriptedSite::start("geo", 1, scripts).await;
        let reply = scripted.receive("POST", ONCE, "r-1").await;
        assert_broken_off(&scripted, "r-1", &reply, 0);
    }
}

/// Guards against a stream in chunks that counts as whole without its last chunk.
#[ntex::test]
async fn stream_that_is_closed_between_two_events_is_broken_off() {
    for last in [0, 1, 3] {
        let sent = if last == 0 { String::new() } else { chunk(&events(1, last)) };
        for end in ["", "0\r\n"] {
            assert_broken_off_after(last, &(chunked_stream_head() + &sent + end)).await;
        }
    }
}

/// Guards against bytes that are no chunk in a stream.
#[ntex::test]
async fn stream_with_a_malformed_chunk_is_broken_off() {
    let begun = chunked_stream_head() + &chunk(&events(1, 2));
    let third = events(3, 3);
    for size in ["zz", "-1", "", "fffffffffffffffff"] {
        assert_broken_off_after(2, &format!("{begun}{size}\r\n{third}\r\n{LAST_CHUNK}")).await;
    }
    // The chunk does not end where its size says.
    assert_broken_off_after(2, &format!("{begun}2\r\n{third}\r\n{LAST_CHUNK}")).await;
}

/// Guards against events that are missing, out of order or repeated in a caller's stream.
#[ntex::test]
async fn stream_whose_events_do_not_follow_each_other_is_broken_off() {
    for wrong in [events(1, 1), events(2, 2), events(4, 4)] {
        let body = chunk(&events(1, 2)) + &chunk(&wrong) + LAST_CHUNK;
        assert_broken_off_after(2, &(chunked_stream_head() + &body)).await;
    }
}

/// Guards against a stream that does not begin with its first event.
#[ntex::test]
async fn stream_that_begins_with_a_later_event_is_broken_off() {
    let body = chunk(&events(2, EVENTS_PER_STREAM)) + LAST_CHUNK;
    assert_broken_off_after(0, &(chunked_stream_head() + &body)).await;
}

/// Guards against an event without an id, of which nothing shows that it is the stream's own,
/// between events with ids.
#[ntex::test]
async fn event_without_an_id_among_events_with_ids_is_not_forwarded() {
    let other = "data: token-9\n\n";
    let between = events(1, 2) + other + &events(3, EVENTS_PER_STREAM);
    let body = chunk(&between) + LAST_CHUNK;
    assert_broken_off_after(2, &(chunked_stream_head() + &body)).await;
}

/// Guards against dropping comments, with which servers keep a connection open.
#[ntex::test]
async fn comment_among_events_does_not_break_a_stream_off() {
    let text = events(1, 2) + ": wait\n\n" + &events(3, EVENTS_PER_STREAM);
    let body = chunk(&text) + LAST_CHUNK;
    for path in [RESUMABLE, ONCE] {
        let head = chunked_stream_head();
        let scripted = ScriptedSite::start("geo", 1, vec![cut(head + &body)]).await;
        let reply = scripted.receive("POST", path, "r-1").await;
        assert!(matches!(reply, RawAnswer::Whole { status: 200, .. }), "{reply:?}");
        assert_eq!(reply.body().replace(": wait\n\n", ""), events(1, EVENTS_PER_STREAM));
    }
}

/// Guards against a stream in the body of a large error that broke off.
#[ntex::test]
async fn large_error_that_broke_off_is_not_continued_by_a_stream() {
    let large = "a".repeat(LARGE_BYTES);
    let head = "HTTP/1.1 500 Internal Server Error\r\nrequest-id: {id}\r\n";
    let sized = format!("{head}content-length: {}\r\n\r\n{large}", 2 * LARGE_BYTES);
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n{}", chunk(&large));
    for begun in [sized, chunked] {
        let scripted = ScriptedSite::start("geo", 1, vec![cut(begun), run_after(0)]).await;
        let reply = scripted.receive("POST", RESUMABLE, "r-1").await;
        if reply != whole_stream() {
            let shown = format!("{reply:?}").replace(&large, "aaa...");
            assert!(matches!(reply, RawAnswer::BrokenOff { status: Some(500), .. }), "{shown}");
            assert!(reply.body().bytes().all(|byte| byte == b'a'), "{shown}");
        }
    }
}
