//! Streams without length and chunks, which end with their connection.

mod support;

use dandelionfront_standins::site::scripted::{events, unframed_stream_head};
use dandelionfront_standins::site::{Script, Step};
use support::raw::RawAnswer;
use support::scripted::{ScriptedSite, whole};
use support::site::EVENTS_PER_STREAM;

/// Path of a stream that may be resumed.
const RESUMABLE: &str = "/stream/talk/a";
/// Path of a stream that must run once.
const ONCE: &str = "/stream/kept/a";

/// Returns an execution that writes `body` as a stream, and then takes the steps of `end`.
fn run(body: &str, end: &[Step]) -> Script {
    [&[Step::Run, Step::Write(unframed_stream_head() + body)], end].concat()
}

fn run_after(last: u64) -> Script {
    run(&events(last + 1, EVENTS_PER_STREAM), &[Step::Close])
}

fn whole_stream() -> RawAnswer {
    whole(events(1, EVENTS_PER_STREAM))
}

/// Sends streams of which a server breaks off the first one after event `last`, and checks that
/// they are resumed by another server, or end as broken off if they must run once.
async fn assert_broken_off_after(last: u64, begun: Script) {
    let scripts = vec![begun, run_after(last)];
    let scripted = ScriptedSite::start("geo", 2, scripts.clone()).await;
    let reply = scripted.receive("POST", RESUMABLE, "r-1").await;
    assert_eq!(reply, whole_stream());
    let scripted = ScriptedSite::start("geo", 2, scripts).await;
    let reply = scripted.receive("POST", ONCE, "r-1").await;
    if let RawAnswer::BrokenOff { body, .. } = &reply {
        assert_eq!(*body, events(1, last));
    } else {
        let told = (last, reply.status(), reply.run());
        assert_eq!(told, (0, Some(502), Some("unknown".to_owned())), "{reply:?}");
    }
    assert_eq!(scripted.runs("r-1"), 1);
}

/// Guards against refusing a stream because it ends with its connection.
#[ntex::test]
async fn unframed_stream_is_whole() {
    for path in [RESUMABLE, ONCE] {
        let scripted = ScriptedSite::start("geo", 2, vec![run_after(0)]).await;
        for id in ["r-0", "r-1"] {
            assert_eq!(scripted.receive("POST", path, id).await, whole_stream());
            assert_eq!(scripted.runs(id), 1);
        }
    }
}

/// Guards against a stream that ends inside an event as a whole one.
#[ntex::test]
async fn unframed_stream_that_ends_inside_an_event_is_broken_off() {
    let third = events(3, 3);
    for end in 1..third.len() {
        // Covers the field names, the values and the line ends of the event.
        if end % 3 == 0 || end + 2 > third.len() {
            let begun = events(1, 2) + &third[..end];
            assert_broken_off_after(2, run(&begun, &[Step::Close])).await;
        }
    }
}

/// Guards against taking the reset of a connection for the end of a stream.
#[ntex::test]
async fn unframed_stream_whose_connection_is_reset_is_broken_off() {
    for last in [0, 2] {
        assert_broken_off_after(last, run(&events(1, last), &[Step::Reset])).await;
    }
}

/// Guards against a stream that ends between two events because its server's process ended, or may
/// have ended because it cannot be reached, as a whole one.
#[ntex::test]
async fn unframed_stream_of_a_server_that_ended_is_broken_off() {
    let ends = [(1, Step::StopListening), (3, Step::StopListening), (2, Step::StopAccepting)];
    for (last, end) in ends {
        assert_broken_off_after(last, run(&events(1, last), &[end, Step::Close])).await;
    }
}

/// Guards against a stream without any event as a whole one.
#[ntex::test]
async fn unframed_stream_without_events_is_broken_off() {
    assert_broken_off_after(0, run("", &[Step::Close])).await;
}

/// Guards against the head of a second answer and the events of its body in a caller's stream.
#[ntex::test]
async fn second_answer_after_an_unframed_stream_does_not_reach_the_caller() {
    let error = "HTTP/1.1 500 Internal Server Error\r\nrequest-id: {id}\r\ncontent-length: 6\r\n\r\n\
                 broken";
    let last = events(1, EVENTS_PER_STREAM);
    let copy = unframed_stream_head() + &last;
    for second in [copy, unframed_stream_head() + "data: x\n\n", error.to_owned()] {
        for path in [RESUMABLE, ONCE] {
            let scripts =
                vec![run(&(last.clone() + &second), &[Step::Close]), run_after(EVENTS_PER_STREAM)];
            let scripted = ScriptedSite::start("geo", 2, scripts).await;
            let reply = scripted.receive("POST", path, "r-1").await;
            assert_eq!(reply.body(), last, "{second}: {reply:?}");
            assert_eq!(reply.status(), Some(200));
        }
    }
}

/// Guards against a stream that goes on after the head of a second answer in its middle.
#[ntex::test]
async fn second_answer_within_an_unframed_stream_breaks_it_off() {
    let second = unframed_stream_head() + &events(3, EVENTS_PER_STREAM);
    assert_broken_off_after(2, run(&(events(1, 2) + &second), &[Step::Close])).await;
}

/// Guards against the head of a second answer inside an event that a server did not finish.
#[ntex::test]
async fn second_answer_within_an_event_breaks_the_stream_off() {
    let third = events(3, 3);
    let second = unframed_stream_head() + &events(1, EVENTS_PER_STREAM);
    for end in 0..third.len() - 1 {
        let begun = events(1, 2) + &third[..end] + &second;
        assert_broken_off_after(2, run(&begun, &[Step::Close])).await;
    }
}

/// Guards against a resumed stream that ends as whole because a server sent only the head of it.
#[ntex::test]
async fn resumed_unframed_stream_without_events_is_resumed_again() {
    let scripts = vec![run(&(events(1, 2) + "id: 3"), &[Step::Close]), run("", &[Step::Close])];
    let scripts = [scripts, vec![run_after(2)]].concat();
    let scripted = ScriptedSite::start("geo", 2, scripts).await;
    assert_eq!(scripted.receive("POST", RESUMABLE, "r-1").await, whole_stream());
}
