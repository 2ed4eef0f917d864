//! Connections to the store after calls whose answers are late, lost or malformed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dandelionfront::front::connection::store::HttpTransport;
use dandelionfront::front::process::FrontMetrics;
use dandelionfront_coordination::rows::RowStoreError;
use dandelionfront_platform::store::{StoreReply, StoreRequest, Transport as _};
use dandelionfront_standins::site::scripted::answer;
use dandelionfront_standins::site::{Script, ScriptedServer, Step};
use http::Method;

/// Time after which a late answer arrives, well above the response timeout.
const LATE: Duration = Duration::from_secs(1);
/// Time limit of calls that are to be answered.
const LONG: Duration = Duration::from_secs(20);

/// Starts a store that follows `first` in answer to the first call and then answers "second", after
/// any late answer to the first; returns it with a client.
fn start(mut first: Script) -> (Arc<ScriptedServer>, HttpTransport) {
    first.extend([Step::Pause(LATE), Step::write(answer("200 OK", "", "first"))]);
    let second = vec![Step::Pause(2 * LATE), Step::write(answer("200 OK", "", "second"))];
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let (server, address) = ScriptedServer::spawn(any_port, vec![first, second]).expect("starts");
    (server, HttpTransport::new(address, Rc::new(FrontMetrics::new())))
}

/// Calls the store; the time limit is `wait` and the response timeout.
async fn call(store: &HttpTransport, wait: Duration) -> Result<StoreReply, RowStoreError> {
    let (method, path) = (Method::POST, "/v1/rows-tx".to_owned());
    let (body, timeout) = (Bytes::from_static(b"{}"), Duration::from_secs(1));
    store.call(StoreRequest { method, path, body, wait, timeout, class: None }).await
}

/// Panics unless the next call gets its own answer.
async fn assert_own_answer(store: &HttpTransport, first: &str) {
    let reply = call(store, LONG).await.expect("answered");
    assert_eq!((reply.status, &*reply.body), (200, &b"second"[..]), "{first}");
}

/// Guards against the late answer to a call that was given up as the answer to the next one.
#[ntex::test]
async fn late_answer_to_a_call_that_timed_out_is_not_the_answer_to_the_next_call() {
    let (server, store) = start(vec![]);
    while server.received().is_empty() {
        let first = call(&store, Duration::ZERO).await;
        assert!(matches!(first, Err(RowStoreError::AnswerLost { .. })), "{first:?}");
    }
    assert_own_answer(&store, "timed out").await;
}

/// Guards against the late answer to a call whose caller has left as the answer to the next one.
#[ntex::test]
async fn late_answer_to_a_cancelled_call_is_not_the_answer_to_the_next_call() {
    let (server, store) = start(vec![]);
    let is_received = async {
        while server.received().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::select! {
        first = call(&store, LONG) => panic!("the first call has ended: {first:?}"),
        () = is_received => {}
    }
    assert_own_answer(&store, "cancelled").await;
}

/// Guards against the rest of a malformed answer as the answer to the next call.
#[ntex::test]
async fn call_after_a_malformed_answer_gets_its_own_answer() {
    for rest in ["content-length: x\r\n\r\n", "content-length: 9\r\n\r\nshort"] {
        let malformed = format!("HTTP/1.1 200 OK\r\n{rest}");
        let (server, store) = start(vec![Step::write(&malformed)]);
        while server.received().is_empty() {
            let first = call(&store, Duration::ZERO).await;
            assert!(first.is_err(), "{first:?}");
        }
        assert_own_answer(&store, &malformed).await;
    }
}

/// Guards against a second copy of an answer, sent right after it, as the answer to the next call.
#[ntex::test]
async fn copy_of_an_answer_is_not_the_answer_to_the_next_call() {
    let once = answer("200 OK", "", "first");
    let (_server, store) = start(vec![Step::write(once.repeat(2))]);
    assert_eq!(&*call(&store, LONG).await.expect("answered").body, b"first");
    assert_own_answer(&store, "doubled").await;
}
