//! Crash records in fleets of 11 to 1,000 nodes, among lost messages, restarts and other crashes.
//!
//! Pattern: a deadly request comes again at random nodes while servers with many requests end with
//! it, or for other reasons. Each node keeps its own table from the messages that reach it.

use std::time::Duration;

use dandelionfront_coordination::crashes::{CRASHES_MAX, CrashTable, LostRequest, RequestKeys};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.03;
/// Requests that a server loses when it ends, beside the one that ends it.
const BYSTANDERS: usize = 30;
/// Requests that one node loses when a server ends.
const LOST_PER_NODE: usize = 8;
/// Number of nodes from which the model plays a shorter time, because each node is played.
const MEDIUM_FLEET: usize = 100;
/// Servers.
const SERVERS: u64 = 18;
/// Time between two repetitions of the deadly request.
const REPETITION_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two rounds of reports, in which each node hears others again.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of nodes whose reports reach a node in each round.
const REPORTS_HEARD: usize = 4;
/// Number of repeated losses in a report.
const REPEATED_MAX: usize = 32;

fn keys(path: &str, body: &str) -> RequestKeys {
    RequestKeys::new("team", "POST", path, body.as_bytes())
}

fn lost(server: u64, request: RequestKeys, sent_before_ms: u32) -> LostRequest {
    LostRequest { server, request, age_ms: 0, sent_before_ms }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Fleet {
    tables: Vec<CrashTable>,
    rng: StdRng,
}

impl Fleet {
    fn new(nodes: usize, seed: u64) -> Self {
        let tables = (0..nodes).map(|_| CrashTable::default()).collect();
        Self { tables, rng: StdRng::seed_from_u64(seed) }
    }

    /// Records lost requests at the nodes that sent them and at those that the messages reach.
    fn tell_lost(&mut self, losses: &[LostRequest], now: Duration) {
        for losses in losses.chunks(LOST_PER_NODE) {
            let sender = self.rng.random_range(0..self.tables.len());
            for (node, table) in self.tables.iter_mut().enumerate() {
                if node == sender || !self.rng.random_bool(LOSS) {
                    table.note_lost(losses, now);
                }
            }
        }
    }

    fn tell_completed(&mut self, request: RequestKeys) {
        for table in &mut self.tables {
            if !self.rng.random_bool(LOSS) {
                table.note_completed(request);
            }
        }
    }

    fn exchange_reports(&mut self, now: Duration) {
        for receiver in 0..self.tables.len() {
            self.hear_reports(receiver, now);
        }
    }

    /// Lets a node hear the reports of some others, which learn what has completed.
    fn hear_reports(&mut self, receiver: usize, now: Duration) {
        for _ in 0..REPORTS_HEARD {
            let sender = self.rng.random_range(0..self.tables.len());
            let losses = self.tables[sender].repeated_losses(REPEATED_MAX, now);
            if sender != receiver && !losses.is_empty() && !self.rng.random_bool(LOSS) {
                self.tables[receiver].note_lost(&losses, now);
                for completed in self.tables[receiver].completed_since(&losses) {
                    self.tables[sender].note_completed(completed);
                }
            }
        }
    }

    /// Starts a random node anew; it takes requests once it has had time to hear reports.
    fn restart_one(&mut self, now: Duration) {
        let restarted = self.rng.random_range(0..self.tables.len());
        self.tables[restarted] = CrashTable::default();
        self.hear_reports(restarted, now);
    }
}

/// Outcome of a run with a deadly request.
struct Outcome {
    /// Servers that the deadly request ended.
    ended: u32,
    /// Bystanders that any node refuses at the end of the run.
    refused_bystanders: usize,
    /// Largest number of lost requests that a node remembers.
    remembered_max: usize,
}

/// Plays a deadly request that comes again all the time, beside crashes that it does not cause.
fn play(nodes: usize, other_crashes: u64, seed: u64) -> Outcome {
    let end = Duration::from_secs(if nodes > MEDIUM_FLEET { 4 } else { 20 });
    let mut fleet = Fleet::new(nodes, seed);
    let deadly = keys("/deadly", "body");
    let (mut ended, mut run) = (0, 0_u64);
    let mut bystanders: Vec<RequestKeys> = Vec::new();
    // Bystanders of one crash meet again in the next, as long as they are on the same server.
    let mut waiting: Vec<RequestKeys> = Vec::new();
    let (mut next_report, mut next_other) = (Duration::ZERO, 0);
    let mut now = at(1);
    while now < end {
        if now >= next_report {
            fleet.exchange_reports(now);
            next_report = now + REPORT_INTERVAL;
            fleet.restart_one(now);
        }
        let node = fleet.rng.random_range(0..nodes);
        let is_deadly_sent = fleet.tables[node].refused_for(deadly, now).is_none();
        let is_other = next_other < other_crashes && fleet.rng.random_bool(0.1);
        if is_deadly_sent || is_other {
            run += 1;
            next_other += u64::from(is_other);
            ended += u32::from(is_deadly_sent);
            let mut aboard: Vec<RequestKeys> =
                (0..BYSTANDERS).map(|n| keys(&format!("/b/{run}/{n}"), "b")).collect();
            // Two in SERVERS of those that wait are on this server by chance.
            let again = waiting.len() * 2 / usize::try_from(SERVERS).expect("few");
            aboard.extend(waiting.drain(..again));
            bystanders.extend(&aboard);
            let mut losses: Vec<LostRequest> =
                aboard.iter().map(|request| lost(run, *request, 300)).collect();
            if is_deadly_sent {
                losses.push(lost(run, deadly, 60));
            }
            fleet.tell_lost(&losses, now);
            // Most bystanders complete at their next server; the others wait.
            for request in aboard {
                if fleet.rng.random_bool(0.7) {
                    fleet.tell_completed(request);
                } else {
                    waiting.push(request);
                }
            }
        }
        now += REPETITION_INTERVAL;
    }
    let is_refused = |request: &&RequestKeys| {
        fleet.tables.iter().any(|table| table.refused_for(**request, now).is_some())
    };
    Outcome {
        ended,
        refused_bystanders: bystanders.iter().filter(is_refused).count(),
        remembered_max: fleet.tables.iter().map(CrashTable::len).max().unwrap_or_default(),
    }
}

/// Guards against a deadly request that goes on at nodes that missed messages or started anew, and
/// against refusals of requests that merely ran beside it, at any size of the fleet.
#[test]
fn deadly_request_is_refused_by_all_nodes_and_bystanders_by_none() {
    for (nodes, seeds) in [(11, 0..6), (100, 0..1), (1_000, 0..1)] {
        for seed in seeds {
            let outcome = play(nodes, 0, seed);
            // The users' rule allows three more tries after the third crash.
            assert!(outcome.ended <= CRASHES_MAX + 3, "{nodes} nodes, {seed}: {}", outcome.ended);
            assert_eq!(outcome.refused_bystanders, 0, "{nodes} nodes, seed {seed}");
        }
    }
}

/// Guards against refusals of requests that were lost in crashes nobody caused by a request.
#[test]
fn bystanders_of_other_crashes_are_not_refused() {
    for seed in 0..3 {
        let outcome = play(11, 12, seed);
        assert!(outcome.ended <= CRASHES_MAX + 3, "seed {seed}: {}", outcome.ended);
        assert_eq!(outcome.refused_bystanders, 0, "seed {seed}");
    }
}

/// Guards against crashes that seem to have happened together, because their reports waited at a node
/// that stood still.
#[test]
fn delayed_reports_are_corrected_by_later_ones() {
    let mut table = CrashTable::default();
    let request = keys("/chat", "body");
    let reports = [1, 2, 3].map(|server| lost(server, request, 60));
    table.note_lost(&reports, at(9_000));
    assert_eq!(table.crashes(request), 1);
    let aged = reports.map(|lost| LostRequest {
        age_ms: u32::try_from(9_000 - 2_000 * lost.server).expect("small"),
        ..lost
    });
    assert!(table.note_lost(&aged, at(9_000)));
    assert_eq!(table.crashes(request), 3);
    assert!(table.refused_for(request, at(9_000)).is_some());
}

/// Guards against a refusal of all that a team sends to one path when several servers fail at once.
#[test]
fn servers_that_fail_together_count_once() {
    let mut table = CrashTable::default();
    for server in 0..10 {
        let request = keys("/chat", &format!("body {server}"));
        table.note_lost(&[lost(server, request, 500)], at(1_000 + server));
    }
    assert_eq!(table.crashes(keys("/chat", "other")), 1);
    assert_eq!(table.refused_for(keys("/chat", "other"), at(1_100)), None);
}

/// Guards against a refusal of all that a team sends to one path because of one deadly body.
#[test]
fn other_bodies_of_the_path_are_served_if_one_body_is_deadly() {
    let mut table = CrashTable::default();
    for server in 0..5 {
        let now = at(1_000 * (server + 1));
        table.note_lost(&[lost(server, keys("/chat", "deadly"), 60)], now);
        table.note_lost(&[lost(server, keys("/chat", &format!("body {server}")), 60)], now);
    }
    assert!(table.refused_for(keys("/chat", "deadly"), at(5_000)).is_some());
    assert_eq!(table.refused_for(keys("/chat", "other"), at(5_000)), None);
}

/// Guards against a refusal of a request that was lost more often than each single body of a deadly
/// path.
#[test]
fn bystander_is_not_refused_though_each_deadly_body_has_fewer_crashes() {
    let mut table = CrashTable::default();
    let bystander = keys("/bystander", "body");
    for server in 0..8 {
        let now = at(1_000 * (server + 1));
        table.note_lost(&[lost(server, keys("/deadly", &format!("body {server}")), 60)], now);
        if server < 5 {
            table.note_lost(&[lost(server, bystander, 60)], now);
        }
    }
    assert!(table.refused_for(keys("/deadly", "another body"), at(8_000)).is_some());
    assert_eq!(table.refused_for(bystander, at(8_000)), None);
}

/// Guards against a refusal of a request that completes now and then: it does not crash each server
/// that runs it.
#[test]
fn completed_request_is_cleared_of_earlier_crashes() {
    let mut table = CrashTable::default();
    let request = keys("/chat", "body");
    for server in 0..12 {
        let now = at(1_000 * (server + 1));
        assert!(table.note_lost(&[lost(server, request, 60)], now));
        assert_eq!(table.refused_for(request, now), None, "crash {server}");
        if server % 2 == 1 {
            assert!(table.note_completed(request));
            assert!(!table.is_suspect(request));
        }
    }
    // What others still tell of earlier crashes does not count again.
    assert!(!table.note_lost(&[lost(0, request, 60), lost(1, request, 60)], at(20_000)));
    assert_eq!(table.completed_since(&[lost(0, request, 60)]), [request]);
}

/// Guards against two requests that are lost together each time and shield each other.
#[test]
fn requests_lost_together_each_time_are_refused_in_the_end() {
    let mut table = CrashTable::default();
    let requests = [keys("/one", "body"), keys("/two", "body")];
    for server in 0..6 {
        let now = at(1_000 * (server + 1));
        for request in requests {
            assert_eq!(table.refused_for(request, now), None, "crash {server}");
            table.note_lost(&[lost(server, request, 60)], now);
        }
    }
    for request in requests {
        assert!(table.refused_for(request, at(6_000)).is_some());
    }
}

/// Guards against a request that is refused for good, and one that is refused as briefly each time.
#[test]
fn refusal_ends_and_is_longer_after_each_further_crash() {
    let mut table = CrashTable::default();
    let request = keys("/chat", "body");
    let mut pauses = Vec::new();
    for server in 0..6 {
        let now = at(1_000 * (server + 1));
        table.note_lost(&[lost(server, request, 60)], now);
        pauses.push(table.refused_for(request, now).map(|pause| pause.as_secs()));
    }
    assert_eq!(pauses, [None, None, Some(600), Some(1_200), Some(2_400), Some(3_600)]);
    table.prune(Duration::from_secs(4_000));
    assert!(table.is_empty());
    assert_eq!(table.refused_for(request, Duration::from_secs(4_000)), None);
}

/// Guards against evidence that no node stores, because the last crash needed was told by another
/// node than those that have sent the request.
#[test]
fn own_request_is_newly_refused_also_if_another_node_tells_of_the_last_crash() {
    let mut table = CrashTable::default();
    let request = keys("/chat", "body");
    table.note_own_loss(lost(1, request, 60), at(1_000));
    table.note_lost(&[lost(2, request, 60)], at(2_000));
    assert_eq!(table.take_newly_refused(), []);
    table.note_lost(&[lost(3, request, 60)], at(3_000));
    assert_eq!(table.take_newly_refused(), [request]);
    assert!(table.is_own(request));
    assert_eq!(table.take_newly_refused(), []);
}

/// Guards against memory that grows with the number of crashes.
#[test]
fn table_is_bounded() {
    let mut table = CrashTable::default();
    for server in 0..40 {
        let losses: Vec<LostRequest> =
            (0..600).map(|n| lost(server, keys(&format!("/{server}/{n}"), ""), 60)).collect();
        table.note_lost(&losses, at(10 * (server + 1)));
    }
    assert_eq!(table.len(), 16_384);
    let outcome = play(11, 40, 1);
    assert!(outcome.remembered_max < 2_500, "{}", outcome.remembered_max);
}

/// Guards against a second deadly body of a path that ends as many servers as the first one had
/// ended, because servers that fail together counted for the body but not for its path.
#[test]
fn second_body_of_a_path_is_refused_after_two_crashes_although_the_first_had_two_at_once() {
    let mut table = CrashTable::default();
    let (first, second) = (keys("/talk", "first"), keys("/talk", "second"));
    for (server, happened_ms, sent_before_ms) in
        [(1, 5_558, 124), (2, 5_958, 228), (3, 6_436, 126), (4, 6_572, 248)]
    {
        table.note_lost(&[lost(server, first, sent_before_ms)], at(happened_ms));
    }
    assert!(table.refused_for(first, at(6_600)).is_some());
    assert!(table.refused_for(second, at(6_600)).is_none(), "nothing is known of this body");
    table.note_lost(&[lost(5, second, 135)], at(10_107));
    assert!(table.refused_for(second, at(10_120)).is_none(), "it may have run beside another");
    table.note_lost(&[lost(6, second, 78)], at(10_440));
    assert!(table.refused_for(second, at(10_450)).is_some());
}

/// Guards against a request that is never refused because its callers leave before it ends its servers,
/// and against one that is refused although nobody saw it end a server.
#[test]
fn unobserved_losses_count_beside_one_that_was_observed() {
    let mut table = CrashTable::default();
    let request = keys("/orders", "body");
    table.note_unobserved(&[lost(1, request, 300)], at(1_000));
    assert!(table.is_suspect(request));
    table.note_own_unobserved(&[lost(2, request, 300)], at(2_000));
    table.note_unobserved(&[lost(3, request, 300)], at(3_000));
    assert_eq!(table.crashes(request), 3);
    assert_eq!(table.refused_for(request, at(3_000)), None, "nobody saw it end a server");
    // Another node waited for the answer of the third server.
    assert!(table.note_lost(&[lost(3, request, 300)], at(3_010)));
    assert!(table.refused_for(request, at(3_010)).is_some());
    assert!(!table.note_unobserved(&[lost(3, request, 300)], at(3_020)), "it stays observed");
    assert!(table.refused_for(request, at(3_020)).is_some());
}

/// Guards against a request whose losses are never observed and which is sent on without end.
#[test]
fn unobserved_losses_alone_suffice_once_they_are_many() {
    let mut table = CrashTable::default();
    let request = keys("/orders", "body");
    for server in 0..6 {
        assert_eq!(table.refused_for(request, at(1_000 * server)), None, "crash {server}");
        table.note_unobserved(&[lost(server, request, 300)], at(1_000 * (server + 1)));
    }
    assert!(table.refused_for(request, at(6_000)).is_some());
}

/// Guards against a popular request that is refused because many servers end within a short time: those
/// that go on have not had the time to clear it.
#[test]
fn unobserved_losses_within_a_short_time_do_not_suffice() {
    let mut table = CrashTable::default();
    let request = keys("/orders", "body");
    for server in 0..12 {
        table.note_unobserved(&[lost(server, request, 30)], at(1_000 + 400 * server));
    }
    assert_eq!(table.crashes(request), 12);
    assert_eq!(table.refused_for(request, at(6_000)), None);
    table.note_unobserved(&[lost(12, request, 30)], at(6_000));
    assert!(table.refused_for(request, at(6_000)).is_some());
    let mut table = CrashTable::default();
    table.note_unobserved(&[lost(0, request, 30)], at(1_000));
    for server in 1..8 {
        table.note_lost(&[lost(server, request, 30)], at(1_000 + 120 * server));
    }
    assert_eq!(table.refused_for(request, at(1_900)), None);
    table.note_lost(&[lost(9, request, 30)], at(2_000));
    assert!(table.refused_for(request, at(2_000)).is_some());
}

/// Guards against a popular request that is refused because its callers left before servers ended for
/// other reasons, and against losses that are observed and yet cleared by a server that went on.
#[test]
fn server_that_goes_on_clears_unobserved_losses_only() {
    let mut table = CrashTable::default();
    let (request, other) = (keys("/orders", "body"), keys("/other", "body"));
    for server in 0..20 {
        let now = at(1_000 * (server + 1));
        table.note_unobserved(&[lost(server, request, 300)], now);
        assert_eq!(table.refused_for(request, now), None, "crash {server}");
        assert!(!table.note_outlived(other));
        assert!(table.note_outlived(request));
        assert!(!table.is_suspect(request));
    }
    for server in 20..23 {
        table.note_lost(&[lost(server, request, 300)], at(1_000 * (server + 1)));
        table.note_outlived(request);
    }
    assert!(table.refused_for(request, at(23_000)).is_some());
}

/// Guards against evidence that nodes which were out of reach are not told, or are told as observed.
#[test]
fn repeated_losses_are_told_as_they_were_observed() {
    let mut table = CrashTable::default();
    let request = keys("/orders", "body");
    table.note_unobserved(&[lost(1, request, 300)], at(1_000));
    assert_eq!(table.repeated_unobserved(9, at(1_000)), [], "one loss is not repeated");
    table.note_lost(&[lost(2, request, 300)], at(2_000));
    let servers = |losses: Vec<LostRequest>| -> Vec<u64> {
        losses.into_iter().map(|lost| lost.server).collect()
    };
    assert_eq!(servers(table.repeated_unobserved(9, at(2_000))), [1]);
    assert_eq!(servers(table.repeated_losses(9, at(2_000))), [2]);
    table.note_completed(request);
    assert_eq!(table.repeated_unobserved(9, at(2_000)), []);
}
