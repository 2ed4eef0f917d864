//! Several requests on one connection of a caller.

mod support;

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use dandelionfront_standins::site::scripted::{LAST_CHUNK, chunk, chunked_stream_head, events};
use dandelionfront_standins::site::{Script, ScriptedServer, Step};
use support::http::eventually;
use support::site::{ALPHA_KEY, Site};

/// Longest wait for the next bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a body in the configuration of the tests.
const BODY_MAX_BYTES: usize = 65_536;

/// Size of a body that the buffers of both ends of a connection can't hold.
const UNREAD_BYTES: usize = 32 * 1024 * 1024;

/// Returns the head of a request.
fn head(method: &str, path: &str, version: &str, id: &str, fields: &str) -> String {
    format!(
        "{method} {path} {version}\r\nhost: calls.example\r\nrequest-id: {id}\r\nkey: {ALPHA_KEY}\r\n\
         deadline-ms: 4000\r\n{fields}\r\n"
    )
}

/// Returns the head of the last request on a connection.
fn last_head(method: &str, path: &str, id: &str) -> String {
    head(method, path, "HTTP/1.1", id, "connection: close\r\n")
}

/// Sends bytes on a new connection; returns what arrives until it ends, and whether it was reset.
async fn exchange(site: &Site, bytes: String) -> (String, bool) {
    let (connection, received) = begin_exchange(site, bytes, "").await;
    finish_exchange(connection, received).await
}

/// Sends bytes on a new connection and reads until `part` has arrived; returns what arrived.
async fn begin_exchange(site: &Site, bytes: String, part: &'static str) -> (TcpStream, Vec<u8>) {
    let address = site.nodes[0].listen.clone();
    let begun = ntex::rt::spawn_blocking(move || {
        let mut connection = TcpStream::connect(address).expect("the node listens");
        connection.set_read_timeout(Some(READ_TIMEOUT)).expect("valid");
        connection.write_all(bytes.as_bytes()).expect("written");
        let mut received = Vec::new();
        while !String::from_utf8_lossy(&received).contains(part) {
            let mut buffer = [0; 1024];
            let length = connection.read(&mut buffer).expect("the node answers");
            assert_ne!(length, 0, "the connection ended: {}", String::from_utf8_lossy(&received));
            received.extend_from_slice(&buffer[..length]);
        }
        (connection, received)
    });
    begun.await.expect("no panic")
}

/// Reads until a connection ends; returns all that arrived, and whether the connection was reset.
async fn finish_exchange(mut connection: TcpStream, mut received: Vec<u8>) -> (String, bool) {
    let received = ntex::rt::spawn_blocking(move || {
        let is_reset = match connection.read_to_end(&mut received) {
            Ok(_) => false,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => true,
            Err(error) => panic!("{error}"),
        };
        (String::from_utf8_lossy(&received).into_owned(), is_reset)
    });
    received.await.expect("no panic")
}

/// Takes an answer without a body off `text`; returns its head in lower case.
fn take_head(text: &mut &str) -> String {
    let (head, rest) = text.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("HTTP/1."), "{head}");
    *text = rest;
    head.to_ascii_lowercase()
}

/// Takes an answer framed by its length off `text`; returns its head and body.
fn take_answer(text: &mut &str) -> (String, String) {
    let head = take_head(text);
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.expect("a length").parse().expect("a number");
    let (body, rest) = text.split_at(length);
    *text = rest;
    (head, body.to_owned())
}

async fn start_scripted(service: &str, scripts: Vec<Script>) -> Site {
    let site = Site::start(1).await;
    let any_port = "127.0.0.1:0".parse().expect("valid");
    let (_, address) = ScriptedServer::spawn(any_port, scripts).expect("starts");
    site.replace_servers(service, &[address]).await;
    site
}

/// Returns the answer of a server with additional fields and what follows its head.
fn sealed(status: &str, rest: &str) -> Script {
    let head = format!("HTTP/1.1 {status}\r\nrequest-id: {{id}}\r\nserver-seal: s\r\n{rest}");
    vec![Step::Write(head)]
}

/// Guards against taking the rest of a refused request for a request of its own.
#[ntex::test]
async fn rest_of_a_refused_request_is_never_a_request() {
    let site = Site::start(1).await;
    let smuggled = head("POST", "/plain/x", "HTTP/1.1", "smuggled", "content-length: 0\r\n");
    let padding = "x".repeat(BODY_MAX_BYTES + 1);
    let too_long = format!("content-length: {}\r\n", BODY_MAX_BYTES + smuggled.len());
    let refused = [
        head("POST", "/plain/x", "HTTP/1.1", "declared", &too_long),
        head("POST", "/plain/x", "HTTP/1.1", "chunks", "transfer-encoding: chunked\r\n")
            + &chunk(&padding),
        head("POST", "/plain/x", "HTTP/1.1", "faulty", "transfer-encoding: chunked\r\n") + "zz\r\n",
        head("POST", "/plain/x", "HTTP/1.1", "head", &format!("x-more: {padding}\r\n")),
        head("POST", "/plain/x", "HTTP/1.1", "field", "faulty field\r\n"),
        head(
            "POST",
            "/plain/x",
            "HTTP/1.1",
            "two-framings",
            "content-length: 4\r\ntransfer-encoding: chunked\r\n",
        ),
        head(
            "POST",
            "/plain/x",
            "HTTP/1.1",
            "two-lengths",
            "content-length: 4\r\ncontent-length: 0\r\n",
        ),
    ];
    for begin in refused {
        let (received, _) = exchange(&site, begin.clone() + &smuggled + &smuggled).await;
        let begin = &begin[..begin.len().min(200)];
        // A reset may discard the refusal, but nothing else may be answered.
        assert!(
            received.lines().filter(|line| line.starts_with("HTTP/1.1 ")).count() <= 1,
            "{begin}: {received}"
        );
        assert!(received.is_empty() || received.starts_with("HTTP/1.1 4"), "{begin}: {received}");
    }
    assert!(site.recorded_requests(&site.services).await.is_empty(), "a request ran");
}

/// Guards against answers to pipelined requests that come out of order or run into each other.
#[ntex::test]
async fn pipelined_requests_are_answered_in_order() {
    let site = Site::start(1).await;
    let mut requests = String::new();
    for number in 0..6 {
        let id = format!("p-{number}");
        requests += &match number % 3 {
            0 => head("POST", "/plain/x", "HTTP/1.1", &id, "content-length: 2\r\n") + "in",
            1 => head("GET", "/lookup/x", "HTTP/1.1", &id, ""),
            _ => head("GET", "/unknown/x", "HTTP/1.1", &id, ""),
        };
    }
    let (received, is_reset) =
        exchange(&site, requests + &last_head("GET", "/lookup/x", "p-6")).await;
    let mut rest = received.as_str();
    for number in 0..=6 {
        let (head, body) = take_answer(&mut rest);
        assert!(head.contains(&format!("request-id: p-{number}")), "{head}");
        assert_eq!(head.contains(" 200 "), number % 3 != 2, "{head}: {body}");
    }
    assert_eq!((rest, is_reset), ("", false));
}

/// Guards against bytes after the head of an answer that has no body, which a caller would take for
/// its next answer.
#[ntex::test]
async fn nothing_follows_the_head_of_an_answer_without_a_body() {
    let next = sealed("200 OK", "content-length: 4\r\n\r\nnext");
    for (method, status, fields) in [
        ("HEAD", "200 OK", "content-length: 10\r\n"),
        ("HEAD", "200 OK", "content-length: 400000\r\n"),
        ("HEAD", "200 OK", "transfer-encoding: chunked\r\n"),
        ("HEAD", "500 Internal Server Error", "content-length: 10\r\n"),
        ("GET", "204 No Content", ""),
        ("GET", "204 No Content", "content-length: 0\r\n"),
        ("GET", "304 Not Modified", "content-length: 10\r\n"),
        ("GET", "304 Not Modified", ""),
    ] {
        let scripts = vec![sealed(status, &format!("{fields}\r\n")), next.clone()];
        let site = start_scripted("desk", scripts).await;
        let requests = head(method, "/lookup/x", "HTTP/1.1", "first", "")
            + &last_head("GET", "/lookup/x", "second");
        let (received, is_reset) = exchange(&site, requests).await;
        let mut rest = received.as_str();
        let first = take_head(&mut rest);
        assert!(first.starts_with(&format!("http/1.1 {}", &status[..3])), "{received}");
        assert!(first.contains("request-id: first"), "{first}");
        let (second, body) = take_answer(&mut rest);
        assert!(second.contains("request-id: second"), "{second}");
        assert_eq!((body.as_str(), rest, is_reset), ("next", "", false), "{method} {status}");
    }
}

/// Guards against a request that is read from a connection whose last answer was broken off.
#[ntex::test]
async fn no_answer_follows_one_that_was_broken_off() {
    let begin = chunked_stream_head() + &chunk(&events(1, 2));
    let site = start_scripted("geo", vec![vec![Step::Write(begin), Step::Close]]).await;
    let requests = head("POST", "/stream/kept/1", "HTTP/1.1", "first", "content-length: 0\r\n")
        + &last_head("GET", "/lookup/x", "second");
    let (received, _) = exchange(&site, requests).await;
    // Without a last chunk, the caller can tell the part from a whole body.
    assert!(received.contains("token-2") && !received.contains("\r\n0\r\n"), "{received}");
    assert!(!received.contains("second"), "{received}");
    assert!(site.recorded_requests(&site.services).await.is_empty(), "the next request ran");
}

/// Guards against framing in the body of an answer to an HTTP/1.0 caller, which knows no chunks.
#[ntex::test]
async fn stream_to_an_http_1_0_caller_ends_with_its_connection() {
    let whole = chunk(&events(1, 4)) + LAST_CHUNK;
    let site = start_scripted("geo", vec![vec![Step::Write(chunked_stream_head() + &whole)]]).await;
    let request = head("POST", "/stream/talk/1", "HTTP/1.0", "old", "content-length: 0\r\n");
    let (received, is_reset) = exchange(&site, request).await;
    let mut rest = received.as_str();
    let head = take_head(&mut rest);
    assert!(!head.contains("transfer-encoding"), "{head}");
    assert_eq!((rest, is_reset), (events(1, 4).as_str(), false));
}

/// Guards against an answer to an HTTP/1.0 caller that looks complete although it was broken off.
#[ntex::test]
async fn broken_off_stream_to_an_http_1_0_caller_is_reset() {
    let begin = chunked_stream_head() + &chunk(&events(1, 2));
    let site = start_scripted("geo", vec![vec![Step::Write(begin), Step::Close]]).await;
    let request = head("POST", "/stream/kept/1", "HTTP/1.0", "old", "content-length: 0\r\n");
    let (received, is_reset) = exchange(&site, request).await;
    assert!(is_reset, "{received}");
}

/// Guards against a body of unknown length that an HTTP/1.0 caller cannot tell from its framing, or
/// a part of it from the whole.
#[ntex::test]
async fn large_body_to_an_http_1_0_caller_ends_with_its_connection() {
    let body = "x".repeat(300_000);
    for declared in [body.len(), body.len() + 1] {
        let rest = format!("content-length: {declared}\r\n\r\n{body}");
        let mut script = sealed("200 OK", &rest);
        script.push(Step::Close);
        let site = start_scripted("desk", vec![script]).await;
        let request = head("GET", "/lookup/x", "HTTP/1.0", "old", "connection: keep-alive\r\n");
        let (received, is_reset) = exchange(&site, request).await;
        let is_whole = declared == body.len();
        assert_eq!(is_reset, !is_whole, "{declared} bytes were declared");
        if is_whole {
            let mut rest = received.as_str();
            let head = take_head(&mut rest);
            for field in ["content-length", "transfer-encoding", "keep-alive"] {
                assert!(!head.contains(field), "{head}");
            }
            assert!(rest == body, "{} bytes arrived", rest.len());
        }
    }
}

/// Guards against an interim response or an open connection that an HTTP/1.0 caller did not ask
/// for.
#[ntex::test]
async fn http_1_0_caller_keeps_its_connection_only_if_it_asks() {
    let script = sealed("200 OK", "content-length: 4\r\n\r\nnext");
    let no_body = sealed("200 OK", "content-length: 10\r\n\r\n");
    let site = start_scripted("desk", vec![no_body, script]).await;
    let keep = "connection: keep-alive\r\n";
    let expecting = format!("{keep}content-length: 2\r\nexpect: 100-continue\r\n");
    let requests = head("HEAD", "/lookup/x", "HTTP/1.0", "a", keep)
        + &head("POST", "/lookup/x", "HTTP/1.0", "b", &expecting)
        + "in"
        + &head("GET", "/lookup/x", "HTTP/1.0", "c", "");
    let (received, is_reset) = exchange(&site, requests).await;
    let mut rest = received.as_str();
    let first = take_head(&mut rest);
    assert!(first.contains("content-length: 10") && first.contains(keep.trim_end()), "{first}");
    let (second, body) = take_answer(&mut rest);
    assert!(second.contains("request-id: b") && second.contains(keep.trim_end()), "{second}");
    assert_eq!(body, "next");
    let (third, body) = take_answer(&mut rest);
    assert!(third.contains("request-id: c") && !third.contains("keep-alive"), "{third}");
    assert_eq!((body.as_str(), rest, is_reset), ("next", "", false));
}

/// Ways in which an answer ends early that its backend server has not broken off.
#[derive(Debug, Clone, Copy)]
enum End {
    /// The caller ends its side of the connection and reads on.
    HalfClose,
    /// The deadline passes.
    Deadline,
    /// The node is killed while it stops.
    Kill,
}

/// Guards against a part of an answer that looks whole because of how it ended.
#[ntex::test]
async fn answer_that_ends_early_looks_incomplete() {
    for version in ["HTTP/1.0", "HTTP/1.1"] {
        for end in [End::HalfClose, End::Deadline, End::Kill] {
            let begin = chunked_stream_head() + &chunk(&events(1, 2));
            let script = vec![Step::Write(begin), Step::Pause(READ_TIMEOUT)];
            let mut site = start_scripted("geo", vec![script]).await;
            let request = head("POST", "/stream/kept/1", version, "part", "content-length: 0\r\n");
            let (connection, received) = begin_exchange(&site, request, "token-2").await;
            match end {
                End::HalfClose => connection.shutdown(Shutdown::Write).expect("open"),
                End::Deadline => {}
                End::Kill => {
                    site.nodes[0].process.signal("TERM");
                    site.nodes[0].process.kill();
                }
            }
            let (received, is_reset) = finish_exchange(connection, received).await;
            let is_chunked = received.contains("transfer-encoding: chunked");
            assert_eq!(is_chunked, version == "HTTP/1.1", "{received}");
            let looks_whole = if is_chunked { received.contains("\r\n0\r\n") } else { !is_reset };
            assert!(!looks_whole, "{version} {end:?}: {received}");
        }
    }
}

/// Guards against a request that a caller holds beyond its deadline because it does not read.
#[ntex::test]
async fn caller_that_reads_nothing_does_not_hold_its_request() {
    let body = "x".repeat(UNREAD_BYTES);
    let rest = format!("content-length: {UNREAD_BYTES}\r\n\r\n{body}");
    let site = start_scripted("desk", vec![sealed("200 OK", &rest)]).await;
    let (connection, received) =
        begin_exchange(&site, last_head("GET", "/lookup/x", "held"), "").await;
    eventually("the request is sent on", async || {
        let lines = site.nodes[0].process.lines();
        lines.iter().any(|line| line.contains("event=sent request=held")).then_some(())
    })
    .await;
    // The gauge is updated from time to time, and is 0 at first.
    for (step, count) in [("the request is held", 1), ("the request ends", 0)] {
        let line = format!("dandelionfront_requests {count}\n");
        eventually(step, async || site.metrics(0).await.contains(&line).then_some(())).await;
    }
    let (received, _) = finish_exchange(connection, received).await;
    assert!(received.starts_with("HTTP/1.1 200 ") && received.len() < UNREAD_BYTES);
    assert!(!received.ends_with(LAST_CHUNK), "a part looks whole");
}

/// Guards against a final answer that callers take for an interim one, after which they wait for
/// another or take the next one.
#[ntex::test]
async fn switch_of_protocols_is_no_answer() {
    let site = start_scripted("desk", vec![sealed("101 Switching Protocols", "\r\n")]).await;
    let (received, _) = exchange(&site, last_head("POST", "/plain/x", "switch")).await;
    assert!(received.starts_with("HTTP/1.1 502 "), "{received}");
}

/// Guards against waiting until the deadline for the body of a request that has none, because it
/// asks for another protocol.
#[ntex::test]
async fn request_for_another_protocol_is_refused_at_once() {
    let site = Site::start(1).await;
    let upgrade = "connection: upgrade\r\nupgrade: h2c\r\n";
    for (method, path) in [("GET", "/lookup/x"), ("POST", "/stream/talk/1"), ("CONNECT", "/x")] {
        let (received, _) =
            exchange(&site, head(method, path, "HTTP/1.1", "upgrade", upgrade)).await;
        let mut rest = received.as_str();
        let (head, body) = take_answer(&mut rest);
        assert!(head.starts_with("http/1.1 400 "), "{method}: {received}");
        assert!(body.contains("without Upgrade"), "{method}: {received}");
        assert_eq!(rest, "", "{method}");
    }
    assert!(site.recorded_requests(&site.services).await.is_empty(), "a request ran");
}
