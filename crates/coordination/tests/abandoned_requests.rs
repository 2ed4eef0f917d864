//! Requests whose handling ended while a server may still run them, and the ends of servers.

use std::time::Duration;

use dandelionfront_coordination::crashes::{
    AbandonedRequest, AbandonedRequests, LostRequest, RequestKeys, ServerRun, server_run,
};
use dandelionfront_coordination::servers::{ServerEntry, ServerState};

const RUN_MAX: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn keys(path: &str) -> RequestKeys {
    RequestKeys::new("team", "POST", path, b"body")
}

fn server(id: &str, started_unix_ms: u64) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address: "127.0.0.1:1".parse().expect("valid"),
        zone: "zone-a".to_owned(),
        software: "v1".to_owned(),
        slots: 4,
        state: ServerState::Ready,
        started_unix_ms,
        cold_for: Duration::ZERO,
    }
}

fn run(id: &str, started_unix_ms: u64) -> ServerRun {
    server_run(&server(id, started_unix_ms))
}

fn abandoned(id: &str, path: &str, sent_ms: u64) -> AbandonedRequest {
    AbandonedRequest {
        server: server(id, 1),
        request: keys(path),
        sent_at: at(sent_ms),
        run_max: RUN_MAX,
    }
}

/// Guards against a request that ends a server after its caller has left and is forgotten.
#[test]
fn request_is_lost_when_its_server_ends() {
    let mut requests = AbandonedRequests::default();
    assert_eq!(requests.insert(abandoned("a", "/x", 1_000), at(1_300)), None);
    assert_eq!(requests.insert(abandoned("b", "/y", 1_000), at(1_300)), None);
    // Another node tells of the end after 20 ms.
    let lost = requests.note_ended(run("a", 1), at(20), at(1_520));
    let expected =
        LostRequest { server: run("a", 1), request: keys("/x"), age_ms: 20, sent_before_ms: 500 };
    assert_eq!(lost, [expected]);
    assert_eq!(requests.note_ended(run("a", 1), at(20), at(1_600)), [], "it counts once");
    assert_eq!(requests.len(), 1);
}

/// Guards against a request that is forgotten because the end of its server is known before its
/// handling ends, and against blaming one that was sent later.
#[test]
fn request_that_is_abandoned_after_the_end_of_its_server_is_lost_at_once() {
    let mut requests = AbandonedRequests::default();
    assert_eq!(requests.note_ended(run("a", 1), Duration::ZERO, at(1_500)), []);
    assert!(requests.has_ended(run("a", 1)));
    let lost = requests.insert(abandoned("a", "/x", 1_000), at(1_600));
    assert_eq!(lost.map(|lost| (lost.age_ms, lost.sent_before_ms)), Some((100, 500)));
    // The server took a request after its end was told, so it runs.
    assert_eq!(requests.insert(abandoned("a", "/x", 2_000), at(2_100)), None);
    assert!(!requests.has_ended(run("a", 1)));
    assert_eq!(requests.len(), 1);
}

/// Guards against an end that no request and no refused connection shows: the server is back before.
#[test]
fn server_that_was_started_anew_has_ended() {
    let mut requests = AbandonedRequests::default();
    requests.insert(abandoned("a", "/x", 1_000), at(1_300));
    assert_eq!(requests.replaced_by(&server("a", 1)), []);
    assert_eq!(requests.replaced_by(&server("b", 9)), []);
    let replaced = requests.replaced_by(&server("a", 9));
    assert_eq!(replaced, [server("a", 1)]);
    assert_eq!(requests.note_ended(server_run(&replaced[0]), at(0), at(3_500)).len(), 1);
    assert!(requests.is_empty());
}

/// Guards against blaming a request for the end of a server that leaves in order.
#[test]
fn requests_at_a_leaving_server_are_discarded() {
    let mut requests = AbandonedRequests::default();
    requests.insert(abandoned("a", "/x", 1_000), at(1_300));
    requests.discard_at("a");
    assert_eq!(requests.note_ended(run("a", 1), at(0), at(1_500)), []);
}

/// Guards against blaming a request for the end of a server that went on for long after it.
#[test]
fn request_is_outlived_after_its_longest_run_and_then_discarded() {
    let mut requests = AbandonedRequests::default();
    requests.insert(abandoned("a", "/x", 1_000), at(1_300));
    // Later copies neither hide that the first was outlived nor count apart.
    requests.insert(abandoned("a", "/x", 4_000), at(4_300));
    let mut outlived = |now| requests.take_outlived(9, now, |request| request == keys("/x"));
    assert_eq!(outlived(at(4_999)), []);
    assert_eq!(outlived(at(5_000)), [(server("a", 1), keys("/x"))]);
    assert_eq!(outlived(at(5_999)), [], "its server is being asked");
    assert_eq!(outlived(at(6_000)).len(), 1);
    assert_eq!(requests.take_outlived(9, at(9_000), |_| false), []);
    assert_eq!(requests.len(), 1);
    assert_eq!(requests.expire(at(16_999)), 0);
    assert_eq!(requests.expire(at(17_000)), 1);
    assert!(requests.is_empty());
    assert_eq!(requests.note_ended(run("a", 1), at(0), at(17_001)), []);
}

/// Guards against memory that grows with the number of callers that leave.
#[test]
fn requests_and_ends_are_bounded() {
    let mut requests = AbandonedRequests::default();
    for number in 0..5_000 {
        requests.insert(abandoned(&format!("s-{}", number % 50), &format!("/{number}"), 1), at(2));
        requests.note_ended(run("ended", number), at(0), at(number));
    }
    assert_eq!(requests.len(), 4_096);
    assert!(!requests.has_ended(run("ended", 0)));
    assert!(requests.has_ended(run("ended", 4_999)));
    requests.expire(at(100_000));
    assert!(!requests.has_ended(run("ended", 4_999)));
}
