//! Streams whose backend servers break off, and whose next answers are no streams.

mod support;

use std::sync::Arc;

use dandelionfront_standins::site::scripted::{
    LAST_CHUNK, answer, chunk, chunked_stream_head, events,
};
use dandelionfront_standins::site::{Script, ScriptedServer, Step};
use support::raw::RawAnswer;
use support::site::{Call, EVENTS_PER_STREAM, Site};

/// Path of a stream that may be resumed.
const RESUMABLE: &str = "/stream/talk/a";

/// Starts a site whose only model engine follows `scripts`.
async fn start(scripts: Vec<Script>) -> (Site, Arc<ScriptedServer>) {
    let site = Site::start(1).await;
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let (server, address) = ScriptedServer::spawn(any_port, scripts).expect("starts");
    site.replace_servers("geo", &[address]).await;
    (site, server)
}

/// Returns a script that sends events up to `last` and half of another one.
fn broken_off_after(last: u64) -> Script {
    let head = chunked_stream_head();
    let part = chunk(&format!("{}id: {}\nda", events(1, last), last + 1));
    vec![Step::Write(head + &part), Step::Close]
}

/// Returns a script that sends the events after `last` and ends the stream.
fn complete_after(last: u64) -> Script {
    let rest = chunk(&events(last + 1, EVENTS_PER_STREAM));
    vec![Step::Write(chunked_stream_head() + &rest + LAST_CHUNK)]
}

/// Returns a script that answers with an error.
fn error(status: &str) -> Script {
    vec![Step::Write(answer(status, "server-seal: s\r\n", "the error of a server"))]
}

/// Returns answers that no caller of a stream that has begun may see.
fn errors() -> Vec<Script> {
    let statuses = ["500 Internal Server Error", "404 Not Found", "400 Bad Request", "302 Found"];
    statuses.iter().map(|status| error(status)).collect()
}

/// Guards against head and body of an error that are written into a stream that has begun (MIXED).
#[ntex::test]
async fn error_after_a_broken_off_stream_is_not_written_into_it() {
    for last in [0, 2] {
        for error in errors() {
            let (site, server) = start(vec![broken_off_after(last), error.clone()]).await;
            let call = Call { path: RESUMABLE, ..Call::default() };
            let reply = site.receive_raw(0, &call).await;
            assert!(matches!(reply, RawAnswer::BrokenOff { .. }), "{error:?}: {reply:?}");
            assert_eq!(reply.body(), events(1, last), "{error:?}");
            assert!(server.received().len() > 1, "the stream was not resumed");
        }
    }
}

/// Guards against giving up a stream because one server cannot resume it.
#[ntex::test]
async fn stream_that_meets_an_error_is_resumed_by_a_further_attempt() {
    for error in errors() {
        let scripts = vec![broken_off_after(2), error.clone(), complete_after(2)];
        let (site, server) = start(scripts).await;
        let reply = site.receive_raw(0, &Call { path: RESUMABLE, ..Call::default() }).await;
        let whole = RawAnswer::Whole { status: 200, body: events(1, EVENTS_PER_STREAM) };
        assert_eq!(reply, whole, "{error:?}");
        let resumed: Vec<_> = server.received().iter().map(|request| request.last_event).collect();
        assert_eq!(resumed, [None, Some(2), Some(2)], "{error:?}");
    }
}
