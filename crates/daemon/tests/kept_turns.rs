//! Turns whose streams are resumed on a route that keeps turns.

mod support;

use dandelionfront_standins::site::scripted::{LAST_CHUNK, chunk, chunked_stream_head, events};
use dandelionfront_standins::site::{Script, Step};
use support::http::{Reply, eventually};
use support::scripted::ScriptedSite;
use support::site::{Call, EVENTS_PER_STREAM};

/// Path of the route that keeps turns.
const PATH: &str = "/stream/kept/a";

/// Returns an execution that sends the events after `last` and ends the stream.
fn run_after(last: u64) -> Script {
    let rest = chunked_stream_head() + &chunk(&events(last + 1, EVENTS_PER_STREAM)) + LAST_CHUNK;
    vec![Step::Run, Step::Write(rest)]
}

/// Returns an execution that sends the events up to `last` and no more.
fn begin_until(last: u64) -> Script {
    vec![Step::Run, Step::Write(chunked_stream_head() + &chunk(&events(1, last)))]
}

/// Starts a site with a server on whose route turns are kept and may be resumed.
async fn start(scripts: Vec<Script>) -> ScriptedSite {
    let scripted = ScriptedSite::start("geo", 1, scripts).await;
    scripted.change_route(4, "resumable", true.into()).await;
    scripted
}

/// Sends a turn with the input "more;" that continues from the turn `previous`.
async fn continue_from(scripted: &ScriptedSite, id: &str, previous: &str) -> Reply {
    let headers = [("previous-turn", previous)];
    let call = Call { id, path: PATH, headers: &headers, body: "more;", ..Call::default() };
    scripted.site.send(0, &call).await.expect("the node answers")
}

/// Guards against a history without the first events of a turn, because its caller resumed it and
/// the node stored the rest.
#[ntex::test]
async fn turn_that_its_caller_resumes_is_not_stored_from_its_middle() {
    let scripted = start(vec![begin_until(1), run_after(1), run_after(0)]).await;
    let begun = Call { id: "t-1", path: PATH, body: "in;", ..Call::default() };
    scripted.site.receive_first_event(0, &begun).await;
    let headers = [("last-event-id", "1"), ("resumes", "t-1")];
    let resumed = Call { id: "t-2", headers: &headers, ..begun };
    let resumed = scripted.site.send(0, &resumed).await.expect("the node answers");
    let next = continue_from(&scripted, "t-3", "t-2").await;
    assert_eq!(scripted.server.bodies(), [b"in;".to_vec()], "{}", next.body);
    let told = (resumed.status, resumed.kind(), resumed.run());
    assert_eq!(told, (503, "stream_unknown".to_owned(), "not_run".to_owned()), "{}", resumed.body);
}

/// Guards against a history in which events are missing or repeated after the node resumed a turn.
#[ntex::test]
async fn turn_that_the_node_resumes_is_stored_with_each_event_once() {
    let mut begun = begin_until(2);
    begun.push(Step::Close);
    let scripted = start(vec![begun, run_after(2), run_after(0)]).await;
    let first = Call { id: "t-1", path: PATH, body: "in;", ..Call::default() };
    let first = scripted.site.send(0, &first).await.expect("the node answers");
    assert_eq!((first.status, first.body), (200, events(1, EVENTS_PER_STREAM)));
    assert_eq!(continue_from(&scripted, "t-2", "t-1").await.status, 200);
    let history = "in;token-1\ntoken-2\ntoken-3\ntoken-4\nmore;";
    let bodies = scripted.server.bodies();
    assert_eq!(bodies.last().map(|body| String::from_utf8_lossy(body)), Some(history.into()));
}

/// Guards against a turn that runs although the store cannot keep it, so that its answer is broken off
/// at its end.
#[ntex::test]
async fn turn_that_no_row_can_hold_is_refused_before_it_runs() {
    let scripted = start(vec![run_after(0)]).await;
    // Base64 is the shortest form of these bytes, and does not fit a row.
    let body = "\0".repeat(60_000);
    let call = Call { id: "t-1", path: PATH, body: &body, ..Call::default() };
    let reply = scripted.site.send(0, &call).await.expect("the node answers");
    let told = (reply.status, reply.kind(), reply.run(), reply.retry_after.clone());
    let expected = (503, "turn_too_large".to_owned(), "not_run".to_owned(), None);
    assert_eq!(told, expected, "{}", reply.body);
    assert!(scripted.server.received().is_empty());
}

/// Guards against a turn whose answer ends only at the deadline, because it does not fit a row and is
/// sent to the store until then.
#[ntex::test]
async fn turn_that_outgrows_a_row_with_its_output_is_broken_off_at_once() {
    let scripted = start(vec![run_after(0)]).await;
    // Fits a row without what belongs to it beside the input.
    let body = "x".repeat(65_500);
    let call = Call { id: "t-1", path: PATH, body: &body, ..Call::default() };
    let broken_off = scripted.site.send(0, &call).await;
    assert!(broken_off.is_err(), "{broken_off:?}");
    assert_eq!(scripted.server.executed(), ["t-1"]);
    let failed = eventually("the node logs that the turn is not kept", async || {
        let lines = scripted.site.nodes[0].process.lines().into_iter();
        let failed: Vec<_> = lines.filter(|line| line.contains("event=turn_not_kept")).collect();
        (!failed.is_empty()).then_some(failed)
    });
    let failed = failed.await;
    assert!(failed[0].contains("retried=false"), "{failed:#?}");
}
