//! Origins of streams in fleets of 11 to 1,000 nodes of which many are killed at once.
//!
//! Pattern: nodes are killed while streams run, and the callers resume at the nodes that are left,
//! whose views of the fleet differ.

use std::collections::HashMap;
use std::time::Duration;

use dandelionfront_coordination::streams::{
    ASKED_NODES, HOLDERS, ORIGIN_REFRESH, SoughtStream, StreamId, StreamOrigin, StreamOrigins,
    holders_of,
};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

const STREAMS: usize = 200;
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.02;
/// Share of the nodes that a node does not know.
const UNKNOWN_MEMBERS: f64 = 0.02;

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { service: "geo".to_owned(), software: software.to_owned() }
}

/// Returns the share of streams whose origin is found at a node that was not killed.
fn found_share(nodes: usize, killed_share: f64, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let ids: Vec<String> = (0..nodes).map(|index| format!("10.0.0.1:{index}")).collect();
    let mut origins: HashMap<&str, StreamOrigins> = HashMap::new();
    let is_alive: Vec<bool> = ids.iter().map(|_| !rng.random_bool(killed_share)).collect();
    let alive: Vec<&str> =
        ids.iter().zip(&is_alive).filter(|(_, alive)| **alive).map(|(id, _)| id.as_str()).collect();
    let mut found = 0;
    for stream in 0..STREAMS {
        let id = StreamId::new("team", format!("session-{stream}").as_bytes(), "r-1", b"body");
        let sought = id.resumed(Some("r-1"));
        let mut view = |own: &str| -> Vec<&str> {
            let known = ids.iter().filter(|id| *id != own && !rng.random_bool(UNKNOWN_MEMBERS));
            known.map(String::as_str).collect()
        };
        let began = ids[stream % nodes].as_str();
        let holders = holders_of(id.session, view(began).into_iter(), HOLDERS);
        let resumed = alive[stream % alive.len()];
        let asked = holders_of(id.session, view(resumed).into_iter(), ASKED_NODES);
        for holder in holders {
            if !rng.random_bool(LOSS) {
                origins.entry(holder).or_default().record(id, origin("v1"), Duration::ZERO);
            }
        }
        origins.entry(began).or_default().record(id, origin("v1"), Duration::ZERO);
        let knows = |node: &&str| {
            alive.contains(node)
                && origins.get(*node).is_some_and(|known| known.find(id.session, sought).is_some())
        };
        found += usize::from(knows(&resumed) || asked.iter().any(knows));
    }
    #[expect(clippy::cast_precision_loss, reason = "a few hundred streams")]
    let share = found as f64 / STREAMS as f64;
    share
}

/// Guards against streams that cannot be resumed after many nodes were killed.
#[test]
fn origins_survive_the_kill_of_many_nodes_at_any_size() {
    for nodes in [11, 30, 195, 359, 1_000] {
        for seed in 0..3 {
            let few = found_share(nodes, 0.1, seed);
            assert!(few >= 0.9, "{nodes} nodes, a tenth killed: {few}");
            // Streams must be resumed at least half as often as new ones begin.
            let half = found_share(nodes, 0.5, seed);
            assert!(half >= 0.5, "{nodes} nodes, half killed: {half}");
        }
    }
}

#[test]
fn an_origin_is_kept_while_it_is_refreshed() {
    let mut origins = StreamOrigins::default();
    let id = StreamId::new("team", b"s", "r-1", b"body");
    let mut now = Duration::ZERO;
    for _ in 0..20 {
        origins.record(id, origin("v1"), now);
        now += ORIGIN_REFRESH;
        origins.prune(now);
        assert_eq!(origins.find(id.session, id.resumed(Some("r-1"))), Some(&origin("v1")));
    }
    origins.prune(now + Duration::from_secs(60));
    assert!(origins.is_empty());
}

/// Guards against resuming a stream of another team, session or turn.
#[test]
fn a_stream_is_found_by_its_first_request_or_else_by_its_session_and_body() {
    let mut origins = StreamOrigins::default();
    let first = StreamId::new("team", b"s", "r-1", b"turn 1");
    let second = StreamId::new("team", b"s", "r-2", b"turn 1");
    origins.record(first, origin("v1"), Duration::ZERO);
    origins.record(second, origin("v2"), Duration::ZERO);
    let find = |id: StreamId, sought: SoughtStream| {
        origins.find(id.session, sought).map(|origin| origin.software.as_str())
    };
    let resuming = StreamId::new("team", b"s", "r-3", b"turn 1");
    assert_eq!(find(resuming, resuming.resumed(Some("r-1"))), Some("v1"));
    assert_eq!(find(resuming, resuming.resumed(Some("r-2"))), Some("v2"));
    assert_eq!(find(resuming, resuming.resumed(Some("r-0"))), None);
    assert_eq!(find(resuming, resuming.resumed(None)), Some("v2"), "the newest");
    let others = [("other", "s", "turn 1"), ("team", "t", "turn 1"), ("team", "s", "turn 2")];
    for (team, session, body) in others {
        let other = StreamId::new(team, session.as_bytes(), "r-3", body.as_bytes());
        assert_eq!(find(other, other.resumed(None)), None, "{team} {session} {body}");
    }
    assert_ne!(
        StreamId::new("a", b"bs", "r-1", b"").session,
        StreamId::new("ab", b"s", "r-1", b"").session
    );
}
