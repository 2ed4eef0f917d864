//! Team limits over all nodes from what each node reports to have admitted.
//!
//! Every node simulates the team's whole token bucket: its own admissions count at once, those of
//! other nodes when they report, and in between they are extrapolated at their last rates. Debt
//! that shows later is paid before anything else is admitted, so no window exceeds the limit by
//! more than what was under way between two reports. Nodes that are not heard of keep their equal
//! part of the limit in reserve, because they may be cut off and spend it.
//!
//! Under pressure programs that have begun go before new ones: finishing few beats starting many.
//! The first turn of a program also takes the requests that a program needs on average from a
//! second bucket, which refuses once the first one runs low.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::bucket::BucketLimits;

/// Hash of a team's name, as in reports.
pub type TeamHash = u32;
/// Address of a node, as other nodes see it.
pub type MemberId = String;
/// What a process has admitted since its start, by team.
pub type AdmittedCounts = HashMap<TeamHash, Admitted>;

/// What a process has admitted of one team since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admitted {
    /// Requests.
    pub requests: u64,
    /// Programs begun.
    pub programs: u64,
    /// Tokens left in the team's bucket, from which a node that starts takes over.
    pub tokens_left: i64,
    /// Requests that new programs may still claim, for the same.
    pub program_tokens_left: i64,
}

/// Place of a request in its program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The first turn of a program.
    Begins,
    /// Any other request.
    Continues {
        /// Time left until its deadline.
        time_left: Duration,
    },
}

impl Step {
    /// Returns the longest wait for a token: none for a program that has not begun.
    fn wait_max(self) -> Duration {
        match self {
            Self::Begins => Duration::ZERO,
            Self::Continues { time_left } => (time_left / WAIT_DIVISOR).min(WAIT_MAX),
        }
    }
}

/// Shortest time between two reports to a node.
pub const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Time that each member adds to the pause, so that reports of a large fleet stay affordable.
const REPORT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(6);
/// Reports that a node misses before it counts as cut off.
const MISSED_REPORTS_MAX: u32 = 7;
/// Silence after which a node no longer counts as a member.
pub const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Longest wait for a token, about the pause after which a caller would ask again.
const WAIT_MAX: Duration = Duration::from_millis(750);
/// Part of the time left to a request that it may wait for a token.
const WAIT_DIVISOR: u32 = 3;
/// Weight of the newest interval in a node's rate.
const RATE_WEIGHT: f64 = 0.4;
/// Requests that a program needs until enough programs were seen.
const REQUESTS_PER_PROGRAM_DEFAULT: f64 = 12.0;
/// Programs that must have been seen for their average to count.
const PROGRAMS_SEEN_MIN: u64 = 8;
/// Time between two estimates of the average, which takes a look at all members and teams.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the burst below which new programs are counted against the second bucket.
const PRESSURE_THRESHOLD: f64 = 0.85;
/// Part of the burst that new programs leave to those that have begun.
const STARTED_PROGRAMS_RESERVE: f64 = 0.4;
/// Part of the burst that a bucket holds before any other node was heard: what was spent before a
/// restart of all nodes is unknown.
const INITIAL_FILL: f64 = 0.5;
/// Time over which a program spreads its requests, about a program's length.
const PROGRAM_DURATION: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Member {
    incarnation: u64,
    heard_at: Duration,
    admitted: AdmittedCounts,
    rates_per_s: HashMap<TeamHash, f64>,
}

#[derive(Debug, Default)]
struct TeamBucket {
    /// Tokens left; below 0 while debt is paid off.
    tokens: f64,
    /// Requests that new programs may still claim.
    program_tokens: f64,
    updated_at: Duration,
    own_admitted: Admitted,
}

/// Buckets of all teams and the members that share them.
#[derive(Debug, Default)]
pub struct UsageLimiter {
    members: HashMap<MemberId, Member>,
    teams: HashMap<TeamHash, TeamBucket>,
    /// Whether the buckets were taken over from another node.
    is_seeded: bool,
    /// Requests that a program needs on average, and the time of the estimate.
    requests_per_program: Option<(f64, Duration)>,
}

/// Returns the time between two reports of a node in a fleet with `members` other nodes.
#[must_use]
pub fn report_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    REPORT_INTERVAL_PER_MEMBER.saturating_mul(members).max(REPORT_INTERVAL_MIN)
}

/// Returns the silence after which a node counts as cut off, in a fleet with `members` others.
#[must_use]
pub fn silence_timeout(members: usize) -> Duration {
    report_interval(members).saturating_mul(MISSED_REPORTS_MAX)
}

/// Returns the hash of a team's name.
#[must_use]
pub fn team_hash(team: &str) -> TeamHash {
    let hash = xxhash_rust::xxh3::xxh3_64(team.as_bytes());
    TeamHash::try_from(hash & u64::from(TeamHash::MAX)).unwrap_or_default()
}

impl UsageLimiter {
    /// Takes one request from the limit of `team` and returns the time after which it may be
    /// sent; a request that continues a program may wait a part of its time for its token.
    ///
    /// # Errors
    ///
    /// Returns the time after which a request may be admitted again.
    pub fn take(
        &mut self,
        team: TeamHash,
        limits: BucketLimits,
        step: Step,
        now: Duration,
    ) -> Result<Duration, Duration> {
        let covered = self.covered_share(now);
        let estimated_unreported = self.estimated_unreported(team, now);
        let requests_per_program = self.requests_per_program(now);
        let bucket = self.teams.entry(team).or_insert_with(|| TeamBucket::initial(limits));
        bucket.accrue(limits, covered, now);
        let available = bucket.tokens - estimated_unreported;
        let rate_per_s = (limits.rate_per_s * covered).max(f64::MIN_POSITIVE);
        let wait = seconds((1.0 - available).max(0.0) / rate_per_s);
        if wait > step.wait_max() {
            return Err(wait);
        }
        if step == Step::Begins {
            let burst = limits.burst * covered;
            let missing = requests_per_program - bucket.program_tokens;
            let short = burst * STARTED_PROGRAMS_RESERVE - available;
            if available < burst * PRESSURE_THRESHOLD && missing.max(short) > 0.0 {
                return Err(seconds(missing.max(short) / rate_per_s));
            }
            bucket.program_tokens -= requests_per_program;
            bucket.own_admitted.programs += 1;
        }
        bucket.tokens -= 1.0;
        bucket.own_admitted.requests += 1;
        Ok(wait)
    }

    /// Gives back a request that was admitted but never sent.
    pub fn refund(&mut self, team: TeamHash) {
        if let Some(bucket) = self.teams.get_mut(&team) {
            bucket.tokens += 1.0;
            bucket.own_admitted.requests = bucket.own_admitted.requests.saturating_sub(1);
        }
    }

    /// Returns what this node has admitted since its start.
    #[must_use]
    pub fn own_admitted(&self) -> AdmittedCounts {
        let served = self.teams.iter().filter(|(_, bucket)| bucket.own_admitted.requests > 0);
        served.map(|(team, bucket)| (*team, bucket.report())).collect()
    }

    /// Takes the tokens of all teams over from the first report after the start.
    fn seed_from_report(&mut self, admitted: &AdmittedCounts, now: Duration) {
        self.is_seeded = true;
        for (team, count) in admitted {
            let bucket = self.teams.entry(*team).or_default();
            let own_admitted = bucket.own_admitted;
            *bucket = TeamBucket { own_admitted, ..TeamBucket::from_report(count, now) };
            bucket.tokens -= signed_difference(own_admitted.requests, 0);
        }
    }

    /// Records the report of another node.
    pub fn note_report(
        &mut self,
        member: &str,
        incarnation: u64,
        admitted: AdmittedCounts,
        now: Duration,
    ) {
        if !self.is_seeded {
            self.seed_from_report(&admitted, now);
        }
        let known = self.members.remove(member);
        let is_new = known.as_ref().is_none_or(|known| known.heard_at.is_zero());
        let is_restarted = known.as_ref().is_some_and(|known| known.incarnation != incarnation);
        let mut known = known.unwrap_or_else(|| Member {
            incarnation,
            heard_at: now,
            admitted: admitted.clone(),
            rates_per_s: HashMap::new(),
        });
        if is_restarted && !is_new {
            known.admitted.clear();
        }
        let requests_per_program = self.requests_per_program(now);
        // Reports that were held up arrive together; their spacing says nothing of the rate.
        let elapsed_s = now.saturating_sub(known.heard_at).max(REPORT_INTERVAL_MIN).as_secs_f64();
        for (team, count) in &admitted {
            let before = known.admitted.get(team).copied().unwrap_or_default();
            // A refund may lower a count; the difference is given back.
            let delta = signed_difference(count.requests, before.requests);
            let started = signed_difference(count.programs, before.programs);
            match self.teams.get_mut(team) {
                Some(bucket) if !is_new => {
                    bucket.tokens -= delta;
                    bucket.program_tokens -= started * requests_per_program;
                }
                Some(_) => {}
                // A team that this node has not served yet; what others spent counts from now on.
                None => drop(self.teams.insert(*team, TeamBucket::from_report(count, now))),
            }
            let rate = known.rates_per_s.entry(*team).or_default();
            *rate += RATE_WEIGHT * ((delta / elapsed_s).max(0.0) - *rate);
        }
        known.incarnation = incarnation;
        known.heard_at = now;
        known.admitted = admitted;
        self.members.insert(member.to_owned(), known);
    }

    /// Records a node that is listed but was not heard yet.
    pub fn note_listed(&mut self, member: &str) {
        self.members.entry(member.to_owned()).or_insert_with(|| Member {
            incarnation: 0,
            heard_at: Duration::ZERO,
            admitted: AdmittedCounts::new(),
            rates_per_s: HashMap::new(),
        });
    }

    /// Forgets a node that left as planned.
    pub fn forget(&mut self, member: &str) {
        self.members.remove(member);
    }

    /// Forgets nodes silent for [`FORGET_AFTER`] and returns them.
    pub fn forget_silent(&mut self, now: Duration) -> Vec<MemberId> {
        let silent: Vec<MemberId> = self
            .members
            .iter()
            .filter(|(_, member)| now >= member.heard_at + FORGET_AFTER)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &silent {
            self.members.remove(id);
        }
        silent
    }

    /// Returns the part of each limit that the nodes in contact with this one may spend.
    #[must_use]
    pub fn covered_share(&self, now: Duration) -> f64 {
        let silence_timeout = silence_timeout(self.members.len());
        let is_heard = |member: &&Member| member.is_heard(now, silence_timeout);
        let heard = self.members.values().filter(is_heard).count();
        #[expect(clippy::cast_precision_loss, reason = "a few hundred members")]
        let share = (heard + 1) as f64 / (self.members.len() + 1) as f64;
        share
    }

    /// Returns the other nodes and whether each was heard lately.
    pub fn members(&self, now: Duration) -> impl Iterator<Item = (&MemberId, bool)> {
        let silence_timeout = silence_timeout(self.members.len());
        self.members.iter().map(move |(id, member)| (id, member.is_heard(now, silence_timeout)))
    }

    /// Returns the requests that a program needs on average, over all teams: programs of a team
    /// under pressure are cut short.
    fn requests_per_program(&mut self, now: Duration) -> f64 {
        match self.requests_per_program {
            Some((estimate, at)) if now < at + ESTIMATE_INTERVAL => estimate,
            _ => {
                let estimate = self.estimate_requests_per_program();
                self.requests_per_program = Some((estimate, now));
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

    /// Returns what other nodes have probably admitted since their last reports.
    fn estimated_unreported(&self, team: TeamHash, now: Duration) -> f64 {
        let silence_timeout = silence_timeout(self.members.len());
        self.members
            .values()
            .filter(|member| member.is_heard(now, silence_timeout))
            .map(|member| {
                let rate = member.rates_per_s.get(&team).copied().unwrap_or_default();
                rate * now.saturating_sub(member.heard_at).as_secs_f64()
            })
            .sum()
    }
}

impl Member {
    fn is_heard(&self, now: Duration, silence_timeout: Duration) -> bool {
        now < self.heard_at + silence_timeout && self.heard_at > Duration::ZERO
    }
}

impl TeamBucket {
    /// Returns the bucket of a team unknown so far; it accrues from the start of the clock.
    fn initial(limits: BucketLimits) -> Self {
        let tokens = limits.burst * INITIAL_FILL;
        Self { tokens, program_tokens: tokens, ..Self::default() }
    }

    /// Returns the bucket of a team as another node sees it.
    fn from_report(count: &Admitted, now: Duration) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "bursts are small")]
        let (tokens, program_tokens) = (count.tokens_left as f64, count.program_tokens_left as f64);
        Self { tokens, program_tokens, updated_at: now, ..Self::default() }
    }

    fn report(&self) -> Admitted {
        #[expect(clippy::cast_possible_truncation, reason = "bursts are small")]
        let (tokens_left, program_tokens_left) =
            (self.tokens.floor() as i64, self.program_tokens.floor() as i64);
        Admitted { tokens_left, program_tokens_left, ..self.own_admitted }
    }

    fn accrue(&mut self, limits: BucketLimits, covered: f64, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let burst = limits.burst.max(1.0) * covered;
        let accrued = elapsed_s * limits.rate_per_s * covered;
        let program_burst = burst + limits.rate_per_s * covered * PROGRAM_DURATION.as_secs_f64();
        self.tokens = (self.tokens + accrued).min(burst.max(1.0));
        self.program_tokens = (self.program_tokens + accrued).min(program_burst);
        // Debt beyond one program length would hold new programs back for longer than it lasts.
        self.program_tokens = self.program_tokens.max(-program_burst);
        self.updated_at = now;
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "counts of one interval are small")]
fn signed_difference(new: u64, old: u64) -> f64 {
    if new >= old { (new - old) as f64 } else { -((old - new) as f64) }
}
