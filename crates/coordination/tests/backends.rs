//! Tests of the server list, placement, avoidance after failures, routing, freshness of the
//! configuration and the splitting of streams into events.

mod support;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dandelionfront_coordination::events::EventSplitter;
use dandelionfront_coordination::freshness::Freshness;
use dandelionfront_coordination::load::{LoadKeeper, NodeLoad, OthersLoad};
use dandelionfront_coordination::placement::{Placement, PlacementPolicy, PlacementRequest};
use dandelionfront_coordination::ranking::server_hash;
use dandelionfront_coordination::routing::{
    CallerLimits, RepeatPolicy, Route, RoutingTable, Target, Team,
};
use dandelionfront_coordination::servers::{
    LeavingServer, MISSING_GRACE, ServerChange, ServerEntry, ServerList, ServerState,
};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

fn entry(id: &str) -> ServerEntry {
    support::ready_server(id, 12)
}

/// Returns the placement request of a request that may run again.
fn placement_request<'a>(
    policy: PlacementPolicy,
    key: &'a str,
    excluded: &'a [String],
) -> PlacementRequest<'a> {
    PlacementRequest {
        policy,
        key,
        shared_part: None,
        last_server: None,
        may_repeat: true,
        excluded,
    }
}

fn ready(list: &ServerList) -> usize {
    list.ready("geo").count()
}

const MS: Duration = Duration::from_millis(1);

#[test]
fn draining_and_gone_servers_get_no_work() {
    let mut list = ServerList::default();
    assert_eq!(list.insert(entry("a")), Some(ServerChange::Seen("a".to_owned())));
    assert_eq!(list.insert(entry("a")), None);
    list.insert(entry("b"));
    let draining = ServerEntry { state: ServerState::Draining, ..entry("a") };
    assert_eq!(list.insert(draining), Some(ServerChange::Draining("a".to_owned())));
    assert_eq!(ready(&list), 1);
    assert_eq!(list.remove("b", 5 * MS), Some(ServerChange::Gone("b".to_owned())));
    assert_eq!(ready(&list), 0);
}

/// Guards against requests to a server that announced its leave in an answer, whatever its entry
/// says.
#[test]
fn a_server_that_announced_its_leave_gets_no_work_until_it_starts_anew() {
    let mut list = ServerList::default();
    let announce = |list: &mut ServerList, started_unix_ms, now| {
        list.note_leaving(LeavingServer { id: "a".to_owned(), started_unix_ms }, now)
    };
    list.insert(entry("a"));
    assert!(announce(&mut list, 1, MS));
    assert!(!announce(&mut list, 1, 2 * MS), "it is known");
    assert_eq!((ready(&list), list.ready_by_id("a")), (0, None));
    // The entry lapses and is written again.
    list.remove("a", 3 * MS);
    list.prune_leaving(4 * MS);
    list.insert(entry("a"));
    assert_eq!(ready(&list), 0);
    list.insert(ServerEntry { started_unix_ms: 2, ..entry("a") });
    assert_eq!(ready(&list), 1);
    assert!(!announce(&mut list, 1, 5 * MS), "a late announcement of the earlier start");
    assert_eq!(ready(&list), 1);
    // Announcements of servers that are not in the list are dropped after some time.
    list.remove("a", 6 * MS);
    list.prune_leaving(Duration::from_secs(3_600));
    assert_eq!(list.leaving().count(), 0);
}

/// Guards against a server that leaves in order as one that crashed, and against the reverse.
#[test]
fn server_leaves_in_order_if_it_said_so_or_its_entry_was_removed() {
    let mut list = ServerList::default();
    for id in ["a", "b", "c"] {
        list.insert(entry(id));
        assert!(!list.is_leaving(&entry(id)));
    }
    list.insert(ServerEntry { state: ServerState::Draining, ..entry("a") });
    list.remove("b", MS);
    let started_unix_ms = entry("c").started_unix_ms;
    list.note_leaving(LeavingServer { id: "c".to_owned(), started_unix_ms }, MS);
    assert!(["a", "b", "c"].iter().all(|id| list.is_leaving(&entry(id))));
    // It has started anew.
    let anew = ServerEntry { started_unix_ms: started_unix_ms + 1, ..entry("c") };
    list.insert(anew.clone());
    assert!(!list.is_leaving(&anew));
    // The store may have lost the entry in an outage.
    list.note_store_failure(2 * MS);
    list.remove("c", 3 * MS);
    assert!(!list.is_leaving(&anew));
}

#[test]
fn entries_that_expire_in_a_store_outage_are_kept_for_the_grace_period() {
    let mut list = ServerList::default();
    list.insert(entry("a"));
    list.insert(entry("b"));
    let failed_at = Duration::from_secs(10);
    list.note_store_failure(failed_at);
    let back_at = failed_at + 100 * MS;
    assert_eq!(list.remove("a", back_at), None);
    assert_eq!(list.remove("b", back_at), None);
    assert_eq!(ready(&list), 2);
    // One of them comes back, the other does not.
    assert_eq!(list.insert(entry("a")), Some(ServerChange::Seen("a".to_owned())));
    assert!(list.remove_missing(failed_at + MISSING_GRACE.saturating_sub(MS)).is_empty());
    let gone = list.remove_missing(failed_at + MISSING_GRACE);
    assert_eq!(gone, [ServerChange::Gone("b".to_owned())]);
    assert_eq!(ready(&list), 1);
}

#[test]
fn a_draining_server_whose_entry_expires_is_removed_at_once() {
    let mut list = ServerList::default();
    list.insert(ServerEntry { state: ServerState::Draining, ..entry("a") });
    list.note_store_failure(Duration::from_secs(1));
    assert!(list.remove("a", Duration::from_secs(1)).is_some());
}

#[test]
fn equal_keys_map_to_the_same_server_on_every_node() {
    let servers: Vec<ServerEntry> = (0..18).map(|index| entry(&format!("s{index}"))).collect();
    let choose = |placement: &Placement, key: &str, excluded: &[String]| {
        let policy = PlacementPolicy::Affinity;
        let chosen = placement.choose(
            placement_request(policy, key, excluded),
            servers.iter(),
            Duration::ZERO,
        );
        chosen.expect("some server").id.clone()
    };
    let (first, second) = (Placement::default(), Placement::default());
    let mut used: HashMap<String, u32> = HashMap::new();
    for key in 0..1_000 {
        let key = format!("program-{key}");
        let preferred = choose(&first, &key, &[]);
        assert_eq!(preferred, choose(&second, &key, &[]));
        // After the loss of its server, a key moves to the same other server on every node.
        let lost = [preferred.clone()];
        assert_eq!(choose(&first, &key, &lost), choose(&second, &key, &lost));
        *used.entry(preferred).or_default() += 1;
    }
    let busiest = used.values().max().expect("used");
    assert!(*busiest < 90, "{busiest} of 1000 keys on one of 18 servers");
}

#[test]
fn a_session_moves_only_if_the_load_exceeds_the_cost_of_a_new_prefill() {
    let servers: Vec<ServerEntry> = (0..4).map(|index| entry(&format!("s{index}"))).collect();
    let mut placement = Placement::default();
    let choose = |placement: &Placement| {
        let policy = PlacementPolicy::Affinity;
        let chosen =
            placement.choose(placement_request(policy, "p", &[]), servers.iter(), Duration::ZERO);
        chosen.expect("some server").id.clone()
    };
    let preferred = choose(&placement);
    (0..4).for_each(|_| placement.begin(&preferred));
    assert_eq!(choose(&placement), preferred);
    (0..4).for_each(|_| placement.begin(&preferred));
    assert_ne!(choose(&placement), preferred);
}

#[test]
fn the_load_of_another_node_counts_until_it_reports_none() {
    let servers = [entry("a"), entry("b")];
    let mut placement = Placement::default();
    let mut keeper = LoadKeeper::default();
    let choose = |placement: &mut Placement, keeper: &LoadKeeper| {
        for server in &servers {
            let hash = server_hash(&server.id);
            placement.set_others_load(hash, keeper.others_load(hash, "n0", MS), MS);
        }
        let policy = PlacementPolicy::LeastLoaded;
        let chosen = placement.choose(placement_request(policy, "k", &[]), servers.iter(), MS);
        chosen.expect("some server").id.clone()
    };
    let first = choose(&mut placement, &keeper);
    // Another node has two requests in flight at that server.
    let mut peer = Placement::default();
    peer.begin(&first);
    peer.begin(&first);
    let load = peer.own_load(&first, MS);
    let hash = server_hash(&first);
    keeper.update(hash, "n1", load, MS);
    keeper.update(hash, "n1", load, MS);
    assert_eq!(keeper.others_load(hash, "n0", MS).in_flight, 2, "counts replace each other");
    keeper.update(hash, "n2", load, MS);
    assert_ne!(choose(&mut placement, &keeper), first);
    keeper.update(hash, "n1", NodeLoad::default(), MS);
    assert_ne!(choose(&mut placement, &keeper), first);
    keeper.update(hash, "n2", NodeLoad::default(), MS);
    assert_eq!(choose(&mut placement, &keeper), first);
}

/// Simulated load on backend servers, sent by nodes that periodically learn the load by the other
/// nodes' requests.
struct SimulatedLoad {
    nodes: usize,
    report_interval_ms: u64,
    calls_per_s: u64,
    servers: usize,
    /// Number of sessions; each call belongs to a random one.
    sessions: u64,
}

/// Result of a simulation of ten seconds.
#[derive(Debug, Default)]
struct SimulationResult {
    calls: u64,
    rejected: u64,
    /// Calls sent to a different server than the previous call of their session.
    moved: u64,
}

/// Calls that a backend server runs concurrently.
const SERVER_SLOTS: usize = 6;
/// Calls that wait at a backend server; more are rejected.
const SERVER_QUEUE_MAX: usize = 24;
/// Mean duration of a call on an idle server.
const CALL_MEAN_MS: f64 = 33.0;

impl SimulatedLoad {
    fn simulate(&self, policy: PlacementPolicy) -> SimulationResult {
        let mut random = StdRng::seed_from_u64(20_261_204);
        let servers: Vec<ServerEntry> =
            (0..self.servers).map(|index| entry(&format!("s{index}"))).collect();
        let mut nodes: Vec<Placement> = (0..self.nodes).map(|_| Placement::default()).collect();
        // Calls at each server, with the node that sent each and its remaining duration.
        let mut running: Vec<VecDeque<(usize, f64)>> = vec![VecDeque::new(); self.servers];
        let mut result = SimulationResult::default();
        let mut last_servers: HashMap<u64, usize> = HashMap::new();
        for now_ms in 0..10_000 {
            for (server, queue) in servers.iter().zip(&mut running) {
                queue.iter_mut().take(SERVER_SLOTS).for_each(|(_, left_ms)| *left_ms -= 1.0);
                for (node, _) in queue.iter().filter(|(_, left_ms)| *left_ms <= 0.0) {
                    nodes[*node].end(&server.id);
                }
                queue.retain(|(_, left_ms)| *left_ms > 0.0);
            }
            if now_ms % self.report_interval_ms == 0 {
                let now = Duration::from_millis(now_ms);
                for (server, queue) in servers.iter().zip(&running) {
                    for (index, node) in nodes.iter_mut().enumerate() {
                        let others = queue.iter().filter(|(sender, _)| *sender != index).count();
                        let in_flight = u32::try_from(others).expect("a few");
                        let load = OthersLoad { in_flight, avoiding: 0 };
                        node.set_others_load(server_hash(&server.id), load, now);
                    }
                }
            }
            while result.calls * 1_000 < self.calls_per_s * now_ms {
                result.calls += 1;
                let node = random.random_range(0..self.nodes);
                let session = random.random_range(0..self.sessions);
                let key = format!("{session}");
                let now = Duration::from_millis(now_ms);
                let chosen =
                    nodes[node].choose(placement_request(policy, &key, &[]), servers.iter(), now);
                let chosen = chosen.expect("some server").id.clone();
                let index = servers.iter().position(|server| server.id == chosen).expect("listed");
                if running[index].len() >= SERVER_SLOTS + SERVER_QUEUE_MAX {
                    result.rejected += 1;
                    continue;
                }
                let last = last_servers.insert(session, index);
                result.moved += u64::from(last.is_some_and(|last| last != index));
                let work_ms = -CALL_MEAN_MS * (1.0 - random.random::<f64>()).ln();
                nodes[node].begin(&chosen);
                running[index].push_back((node, work_ms));
            }
        }
        result
    }
}

/// Guards against herding on stale load reports. Nodes that see the same outdated loads all choose
/// the server that was least loaded, which then rejects calls although fewer than half of all slots
/// are needed.
#[test]
fn stale_loads_of_a_large_fleet_do_not_send_all_nodes_to_one_server() {
    let load = SimulatedLoad {
        nodes: 87,
        report_interval_ms: 490,
        calls_per_s: 2_000,
        servers: 26,
        sessions: 1_000_000,
    };
    let least_loaded = load.simulate(PlacementPolicy::LeastLoaded);
    let two_choices = load.simulate(PlacementPolicy::TwoChoices);
    println!("{two_choices:?}, least loaded {least_loaded:?}");
    assert_eq!(two_choices.rejected, 0);
    assert!(
        least_loaded.rejected > 0,
        "the baseline shows no herding, so the simulation proves nothing"
    );
}

/// Guards against sessions that move from server to server. Each move away from a loaded server
/// requires another prefill of the prompt, which adds load, so a session must move only to the next
/// server in its ranking, not to an arbitrary one that looks idle.
#[test]
fn sessions_that_leave_a_loaded_server_do_not_keep_moving() {
    let load = SimulatedLoad {
        nodes: 81,
        report_interval_ms: 480,
        calls_per_s: 4_500,
        servers: 56,
        sessions: 500,
    };
    let anywhere = load.simulate(PlacementPolicy::AffinityAllServers);
    let next = load.simulate(PlacementPolicy::Affinity);
    println!("{next:?}, anywhere {anywhere:?}");
    assert!(next.moved * 2 < anywhere.moved, "{next:?}, anywhere {anywhere:?}");
    assert!(next.rejected <= anywhere.rejected, "{next:?}, anywhere {anywhere:?}");
}

/// Choosing between only two servers also works in a small fleet.
#[test]
fn two_choices_suffice_in_a_small_fleet() {
    let load = SimulatedLoad {
        nodes: 13,
        report_interval_ms: 100,
        calls_per_s: 250,
        servers: 9,
        sessions: 1_000_000,
    };
    assert_eq!(load.simulate(PlacementPolicy::TwoChoices).rejected, 0);
}

#[test]
fn a_failed_server_is_avoided_for_longer_each_time_until_it_answers() {
    let servers = [entry("a"), entry("b")];
    let mut placement = Placement::default();
    let choose = |placement: &Placement, now| {
        let policy = PlacementPolicy::LeastLoaded;
        let chosen = placement.choose(placement_request(policy, "k", &[]), servers.iter(), now);
        chosen.expect("some server").id.clone()
    };
    let first = choose(&placement, Duration::ZERO);
    let pause = placement.note_failure(&first, Duration::ZERO);
    assert_ne!(choose(&placement, pause.saturating_sub(MS)), first);
    assert_eq!(choose(&placement, pause), first);
    assert!(placement.note_failure(&first, pause) > pause);
    placement.note_success(&first);
    assert_eq!(choose(&placement, pause), first);
}

/// Guards against failures of non-repeatable requests at servers that look healthy but reset
/// connections. Only repeatable requests may probe whether such a server has recovered.
#[test]
fn non_repeatable_requests_avoid_servers_that_have_not_recovered() {
    let servers = [entry("a"), entry("b")];
    let mut placement = Placement::default();
    let choose = |placement: &Placement, may_repeat, now| {
        let request = PlacementRequest {
            may_repeat,
            ..placement_request(PlacementPolicy::TwoChoices, "k", &[])
        };
        placement.choose(request, servers.iter(), now).expect("some server").id.clone()
    };
    let first = choose(&placement, false, Duration::ZERO);
    let pause = placement.note_failure(&first, Duration::ZERO);
    assert_eq!(choose(&placement, true, pause), first, "requests that may run again probe it");
    assert_ne!(choose(&placement, false, pause), first);
    placement.note_success(&first);
    assert_eq!(choose(&placement, false, pause), first);
}

/// Guards against nodes that learn of a failed server only from failures of their own requests.
#[test]
fn a_server_that_two_other_nodes_avoid_is_avoided() {
    let servers = [entry("a"), entry("b")];
    let mut placement = Placement::default();
    let mut keeper = LoadKeeper::default();
    let choose = |placement: &mut Placement, keeper: &LoadKeeper, now| {
        for server in &servers {
            let hash = server_hash(&server.id);
            placement.set_others_load(hash, keeper.others_load(hash, "n0", now), now);
        }
        let request = placement_request(PlacementPolicy::TwoChoices, "k", &[]);
        placement.choose(request, servers.iter(), now).expect("some").id.clone()
    };
    let first = choose(&mut placement, &keeper, MS);
    let mut peer = Placement::default();
    peer.note_failure(&first, MS);
    let load = peer.own_load(&first, MS);
    let hash = server_hash(&first);
    keeper.update(hash, "n1", load, MS);
    keeper.update(hash, "n1", load, MS);
    let chosen = choose(&mut placement, &keeper, MS);
    assert_eq!(chosen, first, "a single node may have lost its network path");
    keeper.update(hash, "n2", load, MS);
    assert_ne!(choose(&mut placement, &keeper, MS), first);
    keeper.forget("n1");
    assert_eq!(choose(&mut placement, &keeper, MS), first);
    keeper.update(hash, "n1", load, MS);
    let later = Duration::from_secs(1);
    assert_eq!(peer.own_load(&first, later), NodeLoad::default(), "the avoidance has expired");
    assert_eq!(choose(&mut placement, &keeper, later), first);
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        repeat: RepeatPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 0,
        targets: vec![
            Target { service: "x".to_owned(), weight: 90.0 },
            Target { service: "y".to_owned(), weight: 10.0 },
        ],
        attempts_max: 2,
        keeps_turns: false,
        turn_retention: Duration::ZERO,
        is_public: false,
        is_sticky: false,
    }
}

#[test]
fn the_route_with_the_longest_path_prefix_is_chosen() {
    let team = Team {
        name: "t".to_owned(),
        keys: vec!["k".to_owned()],
        priority: None,
        rate_per_s: 1.0,
        burst: 1.0,
    };
    let routes =
        vec![route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "i", "/")];
    let table = RoutingTable::new(7, routes, Vec::new(), Some(vec![team]), CallerLimits::default());
    let name = |host, path| table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(name("H:8080", "/a/b/c"), Some("long"));
    assert_eq!(name("h", "/a/bc"), Some("short"));
    assert_eq!(name("h", "/b/"), None);
    assert_eq!(name("i", "/b/"), Some("other"));
    assert_eq!(name("j", "/a/"), None);
    assert_eq!(table.team_of_key("k").map(|team| team.name.as_str()), Some("t"));
    assert_eq!(table.team_of_key("K"), None);
}

#[test]
fn a_traffic_split_depends_on_its_weights_and_the_request_id() {
    let route = route("r", "h", "/");
    let ids: Vec<String> = (0..2_000).map(|id| format!("{id:x}")).collect();
    let to_y =
        ids.iter().filter(|id| route.service_for(id).is_some_and(|name| name == "y")).count();
    assert!((150..250).contains(&to_y), "{to_y} of 2000 for a weight of 10 in 100");
    assert!(ids.iter().all(|id| route.service_for(id) == route.service_for(id)));
}

#[test]
fn the_configuration_is_stale_once_its_last_confirmation_is_too_old() {
    let second = Duration::from_secs(1);
    let mut freshness = Freshness::new(5 * second);
    assert!(!freshness.is_fresh(second));
    freshness.confirm(10 * second);
    assert!(freshness.is_fresh(14 * second));
    assert!(!freshness.is_fresh(15 * second));
    // A late answer to an older query does not extend the confirmation.
    freshness.confirm(9 * second);
    assert_eq!(freshness.age(12 * second), Some(2 * second));
}

#[test]
fn a_stream_is_split_into_whole_events_whatever_its_chunk_size() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: note\n\nid: x\ndata: d\n\nid: 3\nda";
    for size in 1..stream.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for chunk in stream.chunks(size) {
            assert!(splitter.push(chunk));
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        let seen: Vec<(Option<u64>, &[u8])> =
            events.iter().map(|event| (event.id, event.data.as_slice())).collect();
        let expected: [(Option<u64>, &[u8]); 4] =
            [(Some(1), b"a"), (Some(2), b"b\nc"), (None, b""), (None, b"d")];
        assert_eq!(seen, expected);
        assert!(splitter.has_partial());
        let raw: Vec<u8> = events.into_iter().flat_map(|event| event.raw).collect();
        assert_eq!(raw, stream[..stream.len() - 8]);
    }
}
