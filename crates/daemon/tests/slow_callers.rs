//! Callers that send their requests slowly, or not to the end.

mod support;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use support::site::{ALPHA_KEY, Site};

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
