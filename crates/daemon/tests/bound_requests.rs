//! Requests that are bound to the server that may have run them.

mod support;

use dandelionfront_standins::site::scripted::answer;
use dandelionfront_standins::site::{Script, Step};
use support::scripted::{ScriptedSite, whole};

/// Path of a request that may run again.
const PATH: &str = "/lookup/x";
/// Maximum number of attempts at a server that refuses each of them.
const ATTEMPTS_MAX: usize = 16;

/// Returns an execution whose answer is lost.
fn lost() -> Script {
    vec![Step::Run, Step::Close]
}

fn refused(fields: &str) -> Script {
    let fields = format!("not-executed: 1\r\n{fields}");
    vec![Step::write(answer("503 Service Unavailable", &fields, ""))]
}

/// Starts a site in which a request may be sent to a single server.
async fn start(scripts: Vec<Script>) -> ScriptedSite {
    let scripted = ScriptedSite::start("desk", 1, scripts).await;
    scripted.change_route(1, "maxAttempts", 1.into()).await;
    scripted
}

/// Sends a request that runs once without an answer; panics unless its caller is told so.
async fn assert_unknown(scripted: &ScriptedSite) {
    let reply = scripted.receive("GET", PATH, "r-1").await;
    assert!(matches!(reply.status(), Some(502 | 504)), "{reply:?}");
    assert_eq!(reply.run().as_deref(), Some("unknown"), "{reply:?}");
    assert_eq!(scripted.runs("r-1"), 1);
}

/// Guards against asking a server that refuses again and again without a delay.
#[ntex::test]
async fn server_that_refuses_a_request_bound_to_it_is_not_asked_without_a_delay() {
    let scripted = start(vec![lost(), refused("")]).await;
    assert_unknown(&scripted).await;
    let count = scripted.server.received().len();
    assert!((3..=ATTEMPTS_MAX).contains(&count), "{count} attempts");
}

/// Guards against asking a refusing server again before the time that it names.
#[ntex::test]
async fn server_that_names_a_long_delay_is_asked_once_after_it() {
    let scripted = start(vec![lost(), refused("retry-after: 30.5\r\n")]).await;
    assert_unknown(&scripted).await;
    assert_eq!(scripted.server.received().len(), 3);
}

/// Guards against giving a request up that its server takes after some refusals.
#[ntex::test]
async fn server_that_refuses_for_a_while_answers_the_request_bound_to_it() {
    let served = vec![Step::Run, Step::write(answer("200 OK", "server-seal: s\r\n", "served"))];
    let busy = refused("retry-after: 0.05\r\n");
    let scripted = start(vec![lost(), busy.clone(), busy, refused(""), served]).await;
    assert_eq!(scripted.receive("GET", PATH, "r-1").await, whole("served"));
    assert_eq!(scripted.server.received().len(), 5);
}

/// Guards against connecting without a delay to a server that accepts no connections.
#[ntex::test]
async fn server_to_which_a_request_is_bound_is_not_connected_to_without_a_delay() {
    let mut last = refused("connection: close\r\n");
    last.insert(0, Step::StopListening);
    let scripted = start(vec![lost(), last]).await;
    assert_unknown(&scripted).await;
    let lines = scripted.site.nodes[0].process.lines();
    let is_failed =
        |line: &&String| line.contains("event=attempt_failed") && line.contains("step=connect");
    let count = lines.iter().filter(is_failed).count();
    assert!((1..=ATTEMPTS_MAX).contains(&count), "{count} connections");
}
