//! Team limits over many nodes: bounds under floods and cuts, and programs that finish.

use std::collections::HashMap;
use std::time::Duration;

use dandelionfront_coordination::limits::bucket::BucketLimits;
use dandelionfront_coordination::limits::usage::{
    Step, UsageLimiter, report_interval, silent_after, team_hash,
};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

const LIMITS: BucketLimits = BucketLimits { rate_per_s: 50.0, burst: 50.0 };
const STEP: Duration = Duration::from_millis(10);
const REPORT_EVERY: u32 = 10;
const WINDOW: Duration = Duration::from_secs(5);

/// Nodes that report to each other every 100 ms, 10 ms late, except across a cut.
struct Fleet {
    nodes: Vec<UsageLimiter>,
    now: Duration,
    steps: u32,
    cut: Vec<usize>,
    sent_at: Vec<Duration>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut nodes: Vec<UsageLimiter> = (0..count).map(|_| UsageLimiter::default()).collect();
        for (index, node) in nodes.iter_mut().enumerate() {
            (0..count).filter(|other| *other != index).for_each(|other| {
                node.note_listed(&format!("n{other}"));
            });
        }
        let now = Duration::from_secs(1);
        Self { nodes, now, steps: 0, cut: Vec::new(), sent_at: Vec::new() }
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.steps += 1;
        if !self.steps.is_multiple_of(REPORT_EVERY) {
            return;
        }
        for sender in 0..self.nodes.len() {
            let admitted = self.nodes[sender].own_admitted();
            for receiver in 0..self.nodes.len() {
                let is_cut = self.cut.contains(&sender) != self.cut.contains(&receiver);
                if sender != receiver && !is_cut {
                    let name = format!("n{sender}");
                    self.nodes[receiver].note_report(&name, 1, admitted.clone(), self.now);
                }
            }
        }
    }

    fn take(&mut self, node: usize, step: Step) -> bool {
        let team = team_hash("alpha");
        match self.nodes[node].take(team, LIMITS, step, self.now) {
            Ok(wait) => {
                self.sent_at.push(self.now + wait);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns the most requests sent within any window.
    fn busiest_window(&mut self) -> usize {
        self.sent_at.sort_unstable();
        let mut busiest = 0;
        let mut first = 0;
        for last in 0..self.sent_at.len() {
            while self.sent_at[last] > self.sent_at[first] + WINDOW {
                first += 1;
            }
            busiest = busiest.max(last - first + 1);
        }
        busiest
    }
}

/// What a window may hold: rate and burst, a tenth over, and 20 requests.
const WINDOW_MAX: usize = 350;

#[test]
fn a_flood_through_all_nodes_stays_within_the_limit_and_uses_it() {
    let mut random = StdRng::seed_from_u64(1);
    let mut fleet = Fleet::new(13);
    for _ in 0..2_000 {
        fleet.advance();
        for _ in 0..4 {
            let node = random.random_range(0..13);
            fleet.take(node, Step::Continues);
        }
    }
    let sent = fleet.sent_at.len();
    let busiest = fleet.busiest_window();
    assert!(busiest <= WINDOW_MAX, "{busiest} in a window");
    // 20 s at 50 a second and the burst.
    assert!(sent >= 1_000, "only {sent} of 1050 were used");
}

#[test]
fn uneven_nodes_need_no_shares() {
    let mut fleet = Fleet::new(13);
    let mut refused = 0;
    for step in 0..2_000 {
        fleet.advance();
        // 40 a second, all through one node.
        if step % 5 < 2 && !fleet.take(3, Step::Continues) {
            refused += 1;
        }
    }
    assert_eq!(refused, 0);
}

#[test]
fn cut_nodes_and_the_others_together_stay_within_the_limit() {
    let mut random = StdRng::seed_from_u64(2);
    let mut fleet = Fleet::new(12);
    for step in 0..3_000 {
        if step == 1_000 {
            fleet.cut = vec![0, 1, 2];
        }
        if step == 2_000 {
            fleet.cut.clear();
        }
        fleet.advance();
        for _ in 0..4 {
            let node = random.random_range(0..12);
            fleet.take(node, Step::Continues);
        }
    }
    let busiest = fleet.busiest_window();
    assert!(busiest <= WINDOW_MAX, "{busiest} in a window");
}

#[test]
fn a_silent_node_keeps_its_part_in_reserve() {
    let mut fleet = Fleet::new(4);
    (0..200).for_each(|_| fleet.advance());
    assert!((fleet.nodes[0].covered_share(fleet.now) - 1.0).abs() < f64::EPSILON);
    fleet.cut = vec![3];
    let silent_at = fleet.now + silent_after(3) + Duration::from_millis(200);
    while fleet.now < silent_at {
        fleet.advance();
    }
    assert!((fleet.nodes[0].covered_share(fleet.now) - 0.75).abs() < f64::EPSILON);
    assert!((fleet.nodes[3].covered_share(fleet.now) - 0.25).abs() < f64::EPSILON);
}

#[test]
fn a_large_fleet_that_reports_at_its_own_pace_is_not_silent() {
    for members in [1, 12, 86, 359] {
        let mut limiter = UsageLimiter::default();
        let mut now = Duration::from_secs(1);
        for _ in 0..5 {
            for member in 0..members {
                limiter.note_report(&format!("n{member}"), 1, HashMap::new(), now);
            }
            now += report_interval(members);
        }
        // Two reports in a row may be lost.
        now += 2 * report_interval(members);
        let covered = limiter.covered_share(now);
        assert!((covered - 1.0).abs() < f64::EPSILON, "{covered} with {members} members");
    }
}

#[test]
fn reports_that_arrive_together_do_not_count_as_a_flood() {
    let mut limiter = UsageLimiter::default();
    let team = team_hash("alpha");
    let mut now = Duration::from_secs(20);
    let counts = |requests| {
        let admitted = dandelionfront_coordination::limits::usage::Admitted {
            requests,
            programs: 0,
            tokens_left: 40,
        };
        HashMap::from([(team, admitted)])
    };
    limiter.take(team, LIMITS, Step::Continues, now).expect("full");
    limiter.note_report("n1", 1, counts(0), now);
    // Two reports were held up for 300 ms and are read within a tenth of a millisecond.
    now += Duration::from_millis(300);
    limiter.note_report("n1", 1, counts(2), now);
    limiter.note_report("n1", 1, counts(4), now + Duration::from_micros(100));
    now += Duration::from_millis(200);
    let wait = limiter.take(team, LIMITS, Step::Begins, now);
    assert_eq!(wait, Ok(Duration::ZERO));
}

#[test]
fn a_node_that_starts_takes_the_buckets_over() {
    let mut fleet = Fleet::new(4);
    for _ in 0..1_000 {
        fleet.advance();
        fleet.take(0, Step::Continues);
    }
    // The flood has emptied the bucket; a fresh node must not hold a burst of its own.
    let mut fresh = UsageLimiter::default();
    let report = fleet.nodes[1].own_admitted();
    let spent = fleet.nodes[0].own_admitted();
    fresh.note_report("n0", 1, spent, fleet.now);
    fresh.note_report("n1", 1, report, fleet.now);
    let team = team_hash("alpha");
    let admitted = (0..50).filter(|_| fresh.take(team, LIMITS, Step::Continues, fleet.now).is_ok());
    // A wait of up to 300 ms holds 15 tokens.
    assert!(admitted.count() <= 16);
}

#[test]
fn a_node_alone_serves_at_once_after_its_start() {
    let mut limiter = UsageLimiter::default();
    let (team, now) = (team_hash("alpha"), Duration::from_millis(300));
    // Half of the burst holds three programs of the length assumed at first.
    for _ in 0..3 {
        assert_eq!(limiter.take(team, LIMITS, Step::Begins, now), Ok(Duration::ZERO));
    }
}

/// Pattern: a team whose limit was lowered far below what its programs need. Finishing few
/// programs beats starting many.
fn programs_finished(holds_new_back: bool) -> usize {
    const REQUESTS: u32 = 15;
    let mut random = StdRng::seed_from_u64(3);
    let mut fleet = Fleet::new(13);
    // Requests done and step of the next one, by program.
    let mut programs: Vec<(u32, u32)> = Vec::new();
    let mut finished = 0;
    for step in 0..3_000_u32 {
        fleet.advance();
        // 6.7 programs a second need 100 requests a second; the limit holds 50.
        if step % 15 == 0 {
            programs.push((0, step));
        }
        let mut kept = Vec::new();
        for (done, at) in programs.drain(..) {
            if at > step {
                kept.push((done, at));
                continue;
            }
            let is_first = done == 0 && holds_new_back;
            let place = if is_first { Step::Begins } else { Step::Continues };
            let is_sent = fleet.take(random.random_range(0..13), place);
            match done + u32::from(is_sent) {
                REQUESTS => finished += 1,
                // A refused program is lost.
                _ if !is_sent => {}
                done => kept.push((done, step + random.random_range(5..20))),
            }
        }
        programs = kept;
    }
    finished
}

#[test]
fn holding_new_programs_back_finishes_more_of_them() {
    let (with, without) = (programs_finished(true), programs_finished(false));
    println!("finished {with} programs, {without} without holding back");
    // 30 s at 50 requests a second hold 100 programs of 15; the baseline treats all requests alike.
    assert!(with >= 80, "{with} finished");
    assert!(with > without, "{with} finished, {without} without holding back");
}
