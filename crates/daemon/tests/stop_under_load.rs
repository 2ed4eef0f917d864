//! A planned stop while callers keep sending on open connections.

mod support;

use std::collections::HashMap;
use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use support::http::eventually;
use support::site::{ALPHA_KEY, Site};

/// Connections that send one request after another.
const CONNECTIONS: usize = 50;
/// Requests that all connections together send before the stop.
const REQUESTS_BEFORE_STOP: usize = 300;
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// How the last request of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// A complete answer that announced the close of the connection.
    Announced,
    /// No byte of an answer; the request must not have run.
    NoAnswer,
    /// A part of an answer.
    CutAnswer,
}

/// Requests that a connection sent, and how the last one ended.
struct Sent {
    last_id: String,
    end: End,
}

/// Reads an answer; returns whether the connection stays open, or `None` if it ended before the
/// answer, and fails if the answer is cut.
fn read_answer(reader: &mut BufReader<&TcpStream>) -> Result<Option<bool>, End> {
    let (mut length, mut is_chunked, mut stays_open, mut is_first) = (0, false, true, true);
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) if is_first && line.is_empty() => return Ok(None),
            Ok(0) | Err(_) => return Err(End::CutAnswer),
            Ok(_) => {}
        }
        is_first = false;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        match line.split_once(':') {
            Some(("content-length", value)) => length = value.trim().parse().expect("a number"),
            Some(("transfer-encoding", _)) => is_chunked = true,
            Some(("connection", value)) => stays_open = value.trim() != "close",
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).map_err(|_| End::CutAnswer)?;
    while is_chunked {
        let mut size = String::new();
        reader.read_line(&mut size).map_err(|_| End::CutAnswer)?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| End::CutAnswer)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).map_err(|_| End::CutAnswer)?;
        is_chunked = size > 0;
    }
    Ok(Some(stays_open))
}

/// Sends requests on one connection until it ends or its close is announced.
fn send_until_closed(address: &str, connection: usize, sent_count: &AtomicUsize) -> Sent {
    let stream = TcpStream::connect(address).expect("the node listens");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("valid");
    let mut reader = BufReader::new(&stream);
    let paths = ["/plain/x", "/lookup/x", "/stream/talk/a", "/stream/kept/a"];
    for request in 0.. {
        let id = format!("c{connection}-{request}");
        let path = paths[(connection + request) % paths.len()];
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: calls.example\r\nrequest-id: {id}\r\nkey: {ALPHA_KEY}\r\n\
             deadline-ms: 4000\r\ncontent-length: 8\r\n\r\n"
        );
        // The body follows in two parts, so that the stop meets requests at every stage.
        let is_sent = [head.as_bytes(), b"half", b"rest"].into_iter().all(|part| {
            thread::sleep(Duration::from_millis(1));
            (&stream).write_all(part).is_ok()
        });
        sent_count.fetch_add(1, Ordering::Relaxed);
        let end = match read_answer(&mut reader) {
            Ok(Some(true)) if is_sent => continue,
            Ok(Some(_)) => End::Announced,
            Ok(None) => End::NoAnswer,
            Err(end) => end,
        };
        return Sent { last_id: id, end };
    }
    unreachable!("the loop has no end")
}

/// Guards against a stop that cuts requests which the node has accepted, while signals repeat.
#[ntex::test]
async fn planned_stop_under_load_cuts_no_accepted_request() {
    let mut site = Site::start(1).await;
    let sent_count = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|connection| {
            let (address, count) = (site.nodes[0].listen.clone(), Arc::clone(&sent_count));
            thread::spawn(move || send_until_closed(&address, connection, &count))
        })
        .collect();
    eventually("the node is under load", async || {
        (sent_count.load(Ordering::Relaxed) >= REQUESTS_BEFORE_STOP).then_some(())
    })
    .await;
    for signal in ["HUP", "TERM", "HUP", "TERM"] {
        site.nodes[0].process.signal(signal);
    }
    let code = eventually("the process ends", async || site.nodes[0].process.try_exit()).await;
    assert_eq!(code, 0);
    let mut ends: HashMap<&str, usize> = HashMap::new();
    let mut ran = site.recorded_requests(&site.services).await;
    ran.extend(site.recorded_requests(&site.engines).await);
    for client in clients {
        let Sent { last_id, end } = client.join().expect("no panic");
        match end {
            End::Announced => *ends.entry("announced").or_default() += 1,
            End::NoAnswer => {
                let has_run =
                    ran.iter().any(|request| Site::header(request, "request-id") == last_id);
                assert!(!has_run, "{last_id} ran, and its connection ended without an answer");
                *ends.entry("crossed the close").or_default() += 1;
            }
            End::CutAnswer => panic!("the answer to {last_id} was cut"),
        }
    }
    assert!(ends.get("announced").is_some_and(|count| *count >= CONNECTIONS / 2), "{ends:?}");
}
