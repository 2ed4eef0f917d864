//! Team limits shared by all nodes, enforced from periodic usage reports.
//!
//! Every node simulates the team's whole token bucket. It deducts its own admissions immediately
//! and those of other nodes when they report, and extrapolates the latter at their last known rate
//! between reports. If a report shows that more requests were admitted than estimated, the bucket
//! may go negative, and requests wait or are refused until the debt is repaid. The limit is thus
//! exceeded in any time window by at most what other nodes admit between two reports. A node that
//! no longer reports may be partitioned and still admit requests, so an equal share of the limit
//! stays reserved for it until it is removed after [`FORGET_AFTER`], and when it reports again, until
//! both nodes have had the time to tell each other all their counts. Until a node that misses its
//! reports is considered unreachable, it is assumed to use that share, and what it may have admitted
//! in this time stays charged.
//!
//! A restarted node does not know what was admitted before. While other nodes have run for as short a
//! time as itself, it leaves the tokens in its bucket to them as well, and if it hears no other, as
//! after a restart of the whole fleet, its buckets start with a debt.
//!
//! Near the limit, requests of started programs take precedence over new programs, because
//! finishing a few programs is worth more than starting many. The first turn of a program also
//! takes the average number of requests of a program from a second bucket, the program bucket.
//! While the team's bucket is below `PROGRAM_BUCKET_THRESHOLD`, a new program is refused if the
//! program bucket holds fewer tokens than that average, or if the team's bucket is below the
//! reserve for started programs.

mod member;
mod team_bucket;

use std::collections::HashMap;
use std::time::Duration;

use log::info;
use serde::{Deserialize, Serialize};

use self::member::Member;
use self::team_bucket::TeamBucket;
use super::bucket::BucketLimits;

/// Hash of a team's name, as in reports.
pub type TeamHash = u32;
/// Address at which other nodes reach a node; identifies it.
pub type MemberId = String;
/// Admissions of one process since its start, by team.
pub type AdmittedCounts = HashMap<TeamHash, Admitted>;

/// Admissions of one process for one team since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admitted {
    /// Requests admitted.
    pub requests: u64,
    /// Programs started.
    pub programs: u64,
    /// Tokens left in the team's bucket; nodes initialize their own bucket of the team from it.
    pub tokens_left: i64,
    /// Tokens left in the program bucket; used like `tokens_left`.
    pub program_tokens_left: i64,
    /// Time since the first admission, in milliseconds. A node that heard of the process only
    /// later does not know which of the requests are recent.
    pub first_admitted_ago_ms: u64,
}

/// What a node knows of a team's limit.
#[derive(Debug, Clone, Copy, Default)]
pub struct BucketLevel {
    /// Tokens left, less the requests that other nodes are estimated to have admitted.
    pub tokens_left: f64,
    /// Fraction of the limit that the node and those reporting to it may spend.
    pub reachable_share: f64,
}

/// Class of a request, which decides how long it may wait and from which buckets it takes tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestClass {
    /// The first turn of a program.
    NewProgram,
    /// Any other request, also one outside a program.
    Other {
        /// Time left until the deadline of the request.
        time_left: Duration,
    },
}

impl RequestClass {
    /// Returns the longest wait for a token.
    fn wait_max(self) -> Duration {
        match self {
            Self::NewProgram => Duration::ZERO,
            Self::Other { time_left } => (time_left / WAIT_DIVISOR).min(WAIT_MAX),
        }
    }
}

/// Minimum interval between two reports to a node.
pub const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Time that each member adds to the report interval, which bounds the traffic of a large fleet.
const REPORT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(6);
/// Number of missed reports after which a node is considered unreachable.
const MISSED_REPORTS_MAX: u32 = 7;
/// Time without a report after which a node is removed from the members.
pub const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Longest wait for a token; a caller that is refused would typically retry after about this time.
const WAIT_MAX: Duration = Duration::from_millis(750);
/// A request may wait for a token for its remaining time divided by this.
const WAIT_DIVISOR: u32 = 3;
/// Number of rounds in which a change is reported, because reports may be lost.
const REPORTED_ROUNDS: u64 = 3;
/// Number of report intervals without a report after which a node is late. It may be out of reach,
/// and is assumed to use at least its share of each limit.
const LATE_AFTER_REPORTS: u32 = 2;
/// Number of report intervals after its start from which a process knows the rates of the others,
/// and they know its.
const SETTLED_AFTER_REPORTS: u32 = 4;
/// Number of report intervals after which the counts of a node that reports again are known: it
/// names all teams in its next [`REPORTED_ROUNDS`].
const KNOWN_AFTER_REPORTS: u32 = 4;
/// Each team is also reported once in this number of rounds, for nodes that missed its changes.
const REFRESH_ROUNDS: u64 = 16;
/// Weight of the latest interval in the moving average of a node's rate.
const RATE_WEIGHT: f64 = 0.4;
/// Rate below which a node's use of a team's limit is not extrapolated.
const RATE_MIN_PER_S: f64 = 0.01;
/// Requests per program assumed until [`PROGRAMS_SEEN_MIN`] programs have started.
const REQUESTS_PER_PROGRAM_DEFAULT: f64 = 12.0;
/// Number of programs that must have started before the measured average is used.
const PROGRAMS_SEEN_MIN: u64 = 8;
/// Interval between updates of the average, whose computation visits all members and teams.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(250);
/// Fraction of the burst below which new programs may be refused in favor of started ones.
const PROGRAM_BUCKET_THRESHOLD: f64 = 0.85;
/// Fraction of the burst that is reserved for started programs.
const STARTED_PROGRAMS_RESERVE: f64 = 0.4;
/// Token buckets of all teams, and the members that share them.
#[derive(Debug, Default)]
pub struct UsageLimiter {
    members: HashMap<MemberId, Member>,
    teams: HashMap<TeamHash, TeamBucket>,
    /// Whether the buckets were initialized from the report of another node.
    is_seeded: bool,
    /// Time at which this process learned that an earlier one of this node served callers.
    restarted_at: Option<Duration>,
    /// Number of the current round of reports; each node gets one report in a round.
    round: u64,
    /// Estimated average number of requests per program, and the time of the estimate.
    cached_estimate: Option<(f64, Duration)>,
}

/// Returns the report interval of a node in a fleet with `members` other nodes.
#[must_use]
pub fn report_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    REPORT_INTERVAL_PER_MEMBER.saturating_mul(members).max(REPORT_INTERVAL_MIN)
}

/// Returns the time without a report after which a node is considered unreachable, in a fleet
/// with `members` other nodes.
#[must_use]
pub fn report_timeout(members: usize) -> Duration {
    report_interval(members).saturating_mul(MISSED_REPORTS_MAX)
}

/// Returns the time without a report after which a node is late, in a fleet with `members` other
/// nodes.
fn late_after(members: usize) -> Duration {
    report_interval(members).saturating_mul(LATE_AFTER_REPORTS)
}

/// Returns the time from its start after which a process knows the rates of `members` other nodes.
fn settled_after(members: usize) -> Duration {
    report_interval(members) * SETTLED_AFTER_REPORTS
}

/// Returns the hash of a team's name.
#[must_use]
pub fn team_hash(team: &str) -> TeamHash {
    let hash = xxhash_rust::xxh3::xxh3_64(team.as_bytes());
    TeamHash::try_from(hash & u64::from(TeamHash::MAX)).unwrap_or_default()
}

impl UsageLimiter {
    /// Records that an earlier process of this node served callers, so that requests from before the
    /// start of this one count toward the limits.
    pub fn note_restart(&mut self, now: Duration) {
        self.restarted_at = Some(now);
    }

    /// Takes a token for one request of `team` and returns the delay before it may be sent.
    ///
    /// A new program is never delayed. Any other request may wait for its token for a fraction of
    /// its remaining time, up to `WAIT_MAX`.
    ///
    /// # Errors
    ///
    /// Returns the time after which a request may be admitted again.
    pub fn take(
        &mut self,
        team: TeamHash,
        limits: BucketLimits,
        class: RequestClass,
        now: Duration,
    ) -> Result<Duration, Duration> {
        self.charge_silent_members(now);
        let reachable_share = self.reachable_share(now);
        let unreported = self.estimate_unreported(team, limits.rate_per_s, now);
        let settled_share = self.settled_share(now);
        let requests_per_program = self.requests_per_program(now);
        let round = self.round;
        let is_spending_known = self.restarted_at.is_none() || self.hears_settled_member();
        let settled_after = settled_after(self.members.len());
        let bucket = self.teams.entry(team).or_insert_with(|| {
            if is_spending_known {
                TeamBucket::initial(limits)
            } else {
                TeamBucket::restarted(limits, settled_after)
            }
        });
        bucket.accrue(limits, reachable_share, unreported.late, now);
        let available = bucket.available(unreported.total(), settled_share);
        let usable_share = reachable_share * settled_share;
        let rate_per_s = (limits.rate_per_s * usable_share).max(f64::MIN_POSITIVE);
        let wait = seconds((1.0 - available).max(0.0) / rate_per_s);
        if wait > class.wait_max() {
            return Err(wait);
        }
        if class == RequestClass::NewProgram {
            let burst = limits.burst * usable_share;
            let missing_program_tokens = requests_per_program - bucket.program_tokens;
            let missing_reserve = burst * STARTED_PROGRAMS_RESERVE - available;
            if available < burst * PROGRAM_BUCKET_THRESHOLD
                && missing_program_tokens.max(missing_reserve) > 0.0
            {
                return Err(seconds(missing_program_tokens.max(missing_reserve) / rate_per_s));
            }
            bucket.program_tokens -= requests_per_program;
            bucket.own_admitted.programs += 1;
        }
        bucket.tokens -= 1.0;
        bucket.own_admitted.requests += 1;
        bucket.first_admitted_at.get_or_insert(now);
        bucket.changed_in_round = round;
        Ok(wait)
    }

    /// Refunds the token of a request that was admitted but never sent; a new program's tokens from
    /// the program bucket are not refunded.
    pub fn refund(&mut self, team: TeamHash) {
        if let Some(bucket) = self.teams.get_mut(&team) {
            bucket.tokens += 1.0;
            bucket.own_admitted.requests = bucket.own_admitted.requests.saturating_sub(1);
            bucket.changed_in_round = self.round;
        }
    }

    /// Returns what this node knows of the limit of `team`.
    #[must_use]
    pub fn level(&self, team: TeamHash, now: Duration) -> BucketLevel {
        let bucket = self.teams.get(&team);
        let (tokens, rate_per_s) =
            bucket.map_or((0.0, 0.0), |bucket| (bucket.tokens, bucket.rate_per_s));
        BucketLevel {
            tokens_left: tokens - self.estimate_unreported(team, rate_per_s, now).total(),
            reachable_share: self.reachable_share(now),
        }
    }

    /// Returns the admissions of this node since its start.
    #[must_use]
    pub fn own_admitted(&self, now: Duration) -> AdmittedCounts {
        self.admitted_of(|_, _| true, now)
    }

    /// Begins a round of reports, in which each other node gets one.
    pub fn begin_report_round(&mut self) {
        self.round += 1;
    }

    /// Returns the admissions to report: those of teams whose requests were admitted in the last
    /// few rounds, and some of the others in turn.
    #[must_use]
    pub fn report(&self, now: Duration) -> AdmittedCounts {
        let is_due = |team: TeamHash, bucket: &TeamBucket| {
            self.round < bucket.changed_in_round + REPORTED_ROUNDS
                || (u64::from(team) + self.round).is_multiple_of(REFRESH_ROUNDS)
        };
        self.admitted_of(is_due, now)
    }

    /// Returns the admissions of this node since its start for some of the teams that it admitted.
    fn admitted_of(
        &self,
        is_included: impl Fn(TeamHash, &TeamBucket) -> bool,
        now: Duration,
    ) -> AdmittedCounts {
        let has_late_member = self.has_late_member(now);
        let is_included = |team: TeamHash, bucket: &TeamBucket| {
            bucket.first_admitted_at.is_some() && is_included(team, bucket)
        };
        self.teams
            .iter()
            .filter(|(team, bucket)| is_included(**team, bucket))
            .map(|(team, bucket)| {
                let late = if has_late_member {
                    self.estimate_unreported(*team, bucket.rate_per_s, now).late
                } else {
                    0.0
                };
                (*team, bucket.report(late, now))
            })
            .collect()
    }

    /// Initializes the buckets of the reported teams from the first report received after the
    /// start, less the requests that this node has already admitted.
    fn seed_from_report(&mut self, member: &str, admitted: &AdmittedCounts, now: Duration) {
        self.is_seeded = true;
        info!(
            "event=limits_initialized member={member} teams={} uptime_ms={}",
            admitted.len(),
            now.as_millis()
        );
        for (team, count) in admitted {
            self.teams.entry(*team).or_default().initialize(count, now);
        }
    }

    /// Records the report of another node. The counts of teams that it does not name are unchanged.
    pub fn note_report(
        &mut self,
        member: &str,
        incarnation: u64,
        admitted: AdmittedCounts,
        now: Duration,
    ) {
        if !self.is_seeded {
            self.seed_from_report(member, &admitted, now);
        }
        let (interval, timeout) =
            (report_interval(self.members.len()), report_timeout(self.members.len()));
        let known = self.members.remove(member);
        let is_new = known.as_ref().is_none_or(|known| known.last_report_at.is_zero());
        let is_restarted =
            !is_new && known.as_ref().is_some_and(|it| it.incarnation != incarnation);
        let mut known = known.unwrap_or_else(|| Member::heard(incarnation, now));
        if is_new {
            known.heard_since = now;
        } else if now >= known.last_report_at + timeout {
            // Either node may have missed counts that are not reported again for a while.
            known.known_from = now + interval * KNOWN_AFTER_REPORTS;
            let round = self.round;
            self.teams.values_mut().for_each(|bucket| bucket.changed_in_round = round);
        }
        let nodes = self.members.len() + 2;
        if is_restarted {
            known.restart(&mut self.teams, interval, nodes);
        } else {
            known.return_charges(&mut self.teams);
        }
        known.note_admissions(&admitted, settled_after(self.members.len()));
        // Since the timeout, a share of each limit was reserved for it.
        let reserved_for = now.saturating_sub(known.last_report_at + timeout);
        let is_settling = self.is_settling(now);
        let requests_per_program = self.requests_per_program(now);
        // Delayed reports may arrive together; without a minimum interval, the rate would be
        // overestimated.
        let elapsed_s =
            now.saturating_sub(known.last_report_at).max(REPORT_INTERVAL_MIN).as_secs_f64();
        let mut rates_per_s = std::mem::take(&mut known.rates_per_s);
        for rate in rates_per_s.values_mut() {
            *rate *= 1.0 - RATE_WEIGHT;
        }
        rates_per_s.retain(|_, rate| *rate >= RATE_MIN_PER_S);
        for (team, count) in admitted {
            let before = known.admitted.insert(team, count);
            // The first counts may include requests from before the member was heard.
            let first_admitted_ago = Duration::from_millis(count.first_admitted_ago_ms);
            let is_recent = now > known.heard_since + first_admitted_ago;
            let is_unknown = before.is_none() && !is_recent;
            let before = before.unwrap_or(if is_recent { Admitted::default() } else { count });
            // A refund may lower a count; a negative difference returns tokens to the bucket.
            let delta = signed_difference(count.requests, before.requests);
            let started = signed_difference(count.programs, before.programs);
            match self.teams.get_mut(&team) {
                Some(bucket) => {
                    let reserved = bucket.fair_rate_per_s(nodes) * reserved_for.as_secs_f64();
                    bucket.tokens -= delta - reserved.clamp(0.0, delta.max(0.0));
                    bucket.program_tokens -= started * requests_per_program;
                    if is_unknown && is_settling {
                        // Some of its requests came after this process had started.
                        let fair_rate_per_s = bucket.fair_rate_per_s(nodes);
                        bucket.tokens -= fair_rate_per_s * now.min(interval).as_secs_f64();
                    }
                }
                // This node has not served the team yet; the reported bucket already reflects
                // earlier usage.
                None => drop(self.teams.insert(team, TeamBucket::from_report(&count, now))),
            }
            if delta > 0.0 {
                *rates_per_s.entry(team).or_default() += RATE_WEIGHT * delta / elapsed_s;
            }
        }
        known.rates_per_s = rates_per_s;
        known.incarnation = incarnation;
        known.last_report_at = now;
        self.members.insert(member.to_owned(), known);
    }

    /// Records for how long the process of another node has run, as told with its report.
    pub fn note_uptime(&mut self, member: &str, uptime: Duration) {
        let settled_after = settled_after(self.members.len());
        if let Some(member) = self.members.get_mut(member) {
            member.is_settled |= uptime >= settled_after;
        }
    }

    /// Adds a node from the membership table that has not reported yet.
    pub fn note_listed(&mut self, member: &str) {
        self.members.entry(member.to_owned()).or_insert_with(Member::listed);
    }

    /// Removes a node that shut down gracefully.
    pub fn forget(&mut self, member: &str) {
        self.members.remove(member);
    }

    /// Removes and returns nodes that have not reported for [`FORGET_AFTER`]. A node that has never
    /// reported is treated as if it had reported at time zero of the clock.
    pub fn forget_inactive(&mut self, now: Duration) -> Vec<MemberId> {
        let silent: Vec<MemberId> = self
            .members
            .iter()
            .filter(|(_, member)| now >= member.last_report_at + FORGET_AFTER)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &silent {
            self.members.remove(id);
        }
        silent
    }

    /// Returns the fraction of each limit that this node and the nodes reporting to it may spend.
    #[must_use]
    pub fn reachable_share(&self, now: Duration) -> f64 {
        let report_timeout = report_timeout(self.members.len());
        let is_reporting =
            |member: &&Member| member.is_reporting(now, report_timeout) && now >= member.known_from;
        let reporting = self.members.values().filter(is_reporting).count();
        count_f64(reporting + 1) / count_f64(self.members.len() + 1)
    }

    /// Returns whether there is no other node.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the other nodes and whether each has reported within the report timeout.
    pub fn members(&self, now: Duration) -> impl Iterator<Item = (&MemberId, bool)> {
        let report_timeout = report_timeout(self.members.len());
        self.members.iter().map(move |(id, member)| (id, member.is_reporting(now, report_timeout)))
    }

    /// Returns the average number of requests per program over all teams.
    ///
    /// An average per team would be too low for teams near their limit, whose programs are cut
    /// short.
    fn requests_per_program(&mut self, now: Duration) -> f64 {
        match self.cached_estimate {
            Some((estimate, at)) if now < at + ESTIMATE_INTERVAL => estimate,
            _ => {
                let estimate = self.estimate_requests_per_program();
                self.cached_estimate = Some((estimate, now));
                estimate
            }
        }
    }

    fn estimate_requests_per_program(&self) -> f64 {
        let own = self.teams.values().map(|bucket| bucket.own_admitted);
        let others = self.members.values().flat_map(|member| member.admitted.values().copied());
        let (requests, programs) = others
            .chain(own)
            .fold((0, 0), |sum, count| (sum.0 + count.requests, sum.1 + count.programs));
        if programs < PROGRAMS_SEEN_MIN {
            return REQUESTS_PER_PROGRAM_DEFAULT;
        }
        signed_difference(requests, 0) / signed_difference(programs, 0)
    }

    /// Returns an estimate of the requests that other nodes admitted since their last reports.
    fn estimate_unreported(&self, team: TeamHash, rate_per_s: f64, now: Duration) -> Unreported {
        let timeout = report_timeout(self.members.len());
        let late_after = late_after(self.members.len());
        let fair_rate_per_s = fair_rate_per_s(rate_per_s, self.members.len() + 1);
        let mut unreported = Unreported::default();
        for member in self.members.values().filter(|member| member.is_reporting(now, timeout)) {
            let elapsed = now.saturating_sub(member.last_report_at);
            if elapsed > late_after {
                unreported.late += member.estimate_late(team, fair_rate_per_s, elapsed);
            } else {
                unreported.in_time += member.estimate(team, elapsed);
            }
        }
        unreported
    }

    fn has_late_member(&self, now: Duration) -> bool {
        let timeout = report_timeout(self.members.len());
        let late_after = late_after(self.members.len());
        self.members.values().any(|member| {
            member.is_reporting(now, timeout) && !member.is_reporting(now, late_after)
        })
    }

    /// Charges the requests that nodes may have admitted until the report timeout, from which a share
    /// is reserved for them; without it, their tokens would be free again.
    fn charge_silent_members(&mut self, now: Duration) {
        let timeout = report_timeout(self.members.len());
        let nodes = self.members.len() + 1;
        let silent = self.members.values_mut().filter(|member| member.is_silent(now, timeout));
        for member in silent.filter(|member| member.charged.is_empty()) {
            for (team, bucket) in &mut self.teams {
                let requests = member.estimate_late(*team, bucket.fair_rate_per_s(nodes), timeout);
                member.charge(*team, bucket, requests);
            }
        }
    }

    /// Returns whether this process was restarted so recently that nodes do not know each other's
    /// rates yet.
    fn is_settling(&self, now: Duration) -> bool {
        let settled_after = settled_after(self.members.len());
        self.restarted_at.is_some_and(|restarted_at| now < restarted_at + settled_after)
    }

    fn hears_settled_member(&self) -> bool {
        self.members.values().any(|member| member.is_settled)
    }

    /// Returns the fraction of the tokens that this node may use while it and other nodes, which
    /// were restarted as well, do not know of each other's requests.
    ///
    /// Each of them could use all tokens. A few are reached by few requests, so that the fraction
    /// falls with the square of their number.
    fn settled_share(&self, now: Duration) -> f64 {
        if !self.is_settling(now) {
            return 1.0;
        }
        let timeout = report_timeout(self.members.len());
        let is_unsettled =
            |member: &&Member| member.is_reporting(now, timeout) && !member.is_settled;
        let unsettled = count_f64(self.members.values().filter(is_unsettled).count());
        1.0 / (1.0 + unsettled * unsettled / count_f64(self.members.len() + 1))
    }
}

/// Estimated requests of other nodes since their last reports.
#[derive(Debug, Default)]
struct Unreported {
    /// Requests of the nodes whose next reports are due.
    in_time: f64,
    /// Requests of the nodes that are late.
    late: f64,
}

impl Unreported {
    fn total(&self) -> f64 {
        self.in_time + self.late
    }
}

/// Returns an equal part of a team's rate for one of `nodes` nodes.
fn fair_rate_per_s(rate_per_s: f64, nodes: usize) -> f64 {
    rate_per_s / count_f64(nodes)
}

#[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
fn count_f64(count: usize) -> f64 {
    count as f64
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
fn signed_difference(new: u64, old: u64) -> f64 {
    if new >= old { (new - old) as f64 } else { -((old - new) as f64) }
}
