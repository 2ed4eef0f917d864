//! Callers that send their requests slowly, or not to the end.

mod support;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;
use support::http::eventually;
use support::site::{ALPHA_KEY, Site, config};

/// Number of bytes that are sent one by one.
const TRICKLED_BYTES: usize = 600;
/// Pause between two of them. All together take longer than any time limit in the tests.
const TRICKLE_PAUSE: Duration = Duration::from_millis(15);

/// Sends `begin` and then single bytes; returns the answer and how many bytes were sent before it.
fn trickle(address: &str, begin: &str) -> (String, usize) {
    let mut connection = TcpStream::connect(address).expect("the node listens");
    connection.set_read_timeout(Some(TRICKLE_PAUSE)).expect("valid");
    connection.write_all(begin.as_bytes()).expect("written");
    let (mut answer, mut buffer) = (Vec::new(), [0; 1024]);
    for sent in 0..TRICKLED_BYTES {
        match connection.read(&mut buffer) {
            Ok(0) => return (String::from_utf8_lossy(&answer).into_owned(), sent),
            Ok(length) => answer.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                // The write fails once the node has closed the connection; the answer is read next.
                let _ = connection.write_all(b"x");
            }
            Err(_) => return (String::from_utf8_lossy(&answer).into_owned(), sent),
        }
    }
    (String::from_utf8_lossy(&answer).into_owned(), TRICKLED_BYTES)
}

/// Guards against bodies that occupy a connection for as long as a byte arrives now and then.
#[ntex::test]
async fn body_that_does_not_arrive_within_the_deadline_is_refused_as_not_run() {
    let site = Site::start(1).await;
    let address = site.nodes[0].listen.clone();
    let head = format!(
        "POST /plain/x HTTP/1.1\r\nhost: calls.example\r\nrequest-id: slow\r\nkey: {ALPHA_KEY}\r\n\
         deadline-ms: 500\r\ncontent-length: 10000\r\n\r\n"
    );
    let (answer, sent) =
        ntex::rt::spawn_blocking(move || trickle(&address, &head)).await.expect("no panic");
    assert!(answer.starts_with("HTTP/1.1 408 "), "after {sent} bytes: {answer}");
    assert!(answer.contains("not_run"), "{answer}");
    assert!(sent < TRICKLED_BYTES);
    assert!(site.recorded_requests(&site.services).await.is_empty());
}

/// Guards against heads that occupy a connection beyond the configured time limit.
#[ntex::test]
async fn head_that_does_not_arrive_within_its_time_limit_is_refused_as_not_run() {
    let site = Site::start(1).await;
    let address = site.nodes[0].listen.clone();
    let begin = "POST /plain/x HTTP/1.1\r\nhost: calls.example\r\nx-slow: ".to_owned();
    let (answer, sent) =
        ntex::rt::spawn_blocking(move || trickle(&address, &begin)).await.expect("no panic");
    assert!(answer.starts_with("HTTP/1.1 408 "), "after {sent} bytes: {answer}");
    assert!(sent < TRICKLED_BYTES);
}

/// Guards against a shutdown that closes a connection on which a request is arriving.
#[ntex::test]
async fn request_whose_head_is_arriving_at_a_shutdown_is_served() {
    let mut site = Site::start(1).await;
    // The head may take longer than the node leaves idle connections open after the signal.
    let mut patient = config(5);
    patient["limits"]["headerTimeoutMs"] = json!(20_000);
    site.publish(patient).await;
    eventually("the node has the new version", async || {
        site.metrics(0).await.contains("dandelionfront_config_version 5\n").then_some(())
    })
    .await;
    let mut connection = TcpStream::connect(&site.nodes[0].listen).expect("the node listens");
    let idle = TcpStream::connect(&site.nodes[0].listen).expect("the node listens");
    connection.write_all(b"POST /plain/x HTTP/1.1\r\nhost: calls.example\r\n").expect("written");
    eventually("the connections are open", async || {
        site.metrics(0).await.contains("dandelionfront_connections 2\n").then_some(())
    })
    .await;
    site.nodes[0].process.signal("TERM");
    // The node closes idle connections at one time; the head is complete only afterwards.
    let closed = ntex::rt::spawn_blocking(move || (&idle).read(&mut [0; 16]));
    assert_eq!(closed.await.expect("no panic").expect("closed, not reset"), 0);
    let rest = format!(
        "request-id: late\r\nkey: {ALPHA_KEY}\r\ndeadline-ms: 4000\r\ncontent-length: 2\r\n\r\nin"
    );
    let answer = ntex::rt::spawn_blocking(move || {
        connection.write_all(rest.as_bytes()).expect("written");
        let mut answer = String::new();
        connection.read_to_string(&mut answer).expect("the answer and the end of the connection");
        answer
    });
    let answer = answer.await.expect("no panic");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    let code = eventually("the process ends", async || site.nodes[0].process.try_exit()).await;
    assert_eq!(code, 0);
}
