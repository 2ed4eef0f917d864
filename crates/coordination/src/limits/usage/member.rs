//! What a node knows of another one's requests.

use std::collections::HashMap;
use std::time::Duration;

use super::team_bucket::TeamBucket;
use super::{AdmittedCounts, TeamHash};

/// Another node.
#[derive(Debug, Default)]
pub(super) struct Member {
    pub incarnation: u64,
    /// Time of the last report; zero if there was none.
    pub last_report_at: Duration,
    /// Time of the first report.
    pub heard_since: Duration,
    /// Time from which its counts are known again after a gap between its reports.
    pub known_from: Duration,
    /// Whether its process has run for long enough that all nodes know its rates.
    pub is_settled: bool,
    pub admitted: AdmittedCounts,
    pub rates_per_s: HashMap<TeamHash, f64>,
    /// Requests charged to the buckets since its last report, by team.
    pub charged: HashMap<TeamHash, f64>,
}

impl Member {
    /// Creates a node that has not reported yet.
    pub fn listed() -> Self {
        Self::default()
    }

    /// Creates a node at its first report.
    pub fn heard(incarnation: u64, now: Duration) -> Self {
        Self { incarnation, last_report_at: now, heard_since: now, ..Self::default() }
    }

    /// Returns whether the node has reported within `timeout`.
    pub fn is_reporting(&self, now: Duration, timeout: Duration) -> bool {
        now < self.last_report_at + timeout && self.last_report_at > Duration::ZERO
    }

    /// Returns whether the node has reported, but not within `timeout`.
    pub fn is_silent(&self, now: Duration, timeout: Duration) -> bool {
        now >= self.last_report_at + timeout && self.last_report_at > Duration::ZERO
    }

    /// Marks a process as settled if it admitted its first request long enough ago. Only this is
    /// known of nodes that do not tell for how long they have run.
    pub fn note_admissions(&mut self, admitted: &AdmittedCounts, settled_after: Duration) {
        let first_ago_ms = admitted.values().map(|count| count.first_admitted_ago_ms).max();
        let first_ago = Duration::from_millis(first_ago_ms.unwrap_or_default());
        self.is_settled |= first_ago >= settled_after;
    }

    /// Estimates the requests that the node admitted within `elapsed` at its last known rate.
    pub fn estimate(&self, team: TeamHash, elapsed: Duration) -> f64 {
        self.rates_per_s.get(&team).copied().unwrap_or_default() * elapsed.as_secs_f64()
    }

    /// Estimates the requests of a node that is late, and may have admitted its part of the limit.
    pub fn estimate_late(&self, team: TeamHash, fair_rate_per_s: f64, elapsed: Duration) -> f64 {
        self.estimate(team, elapsed).max(fair_rate_per_s * elapsed.as_secs_f64())
    }

    /// Charges requests in advance of the node's next report.
    pub fn charge(&mut self, team: TeamHash, bucket: &mut TeamBucket, requests: f64) {
        if requests > 0.0 {
            bucket.tokens -= requests;
            self.charged.insert(team, requests);
        }
    }

    /// Returns what was charged in advance, because the node's report names its actual requests.
    pub fn return_charges(&mut self, teams: &mut HashMap<TeamHash, TeamBucket>) {
        for (team, requests) in self.charged.drain() {
            if let Some(bucket) = teams.get_mut(&team) {
                bucket.tokens += requests;
            }
        }
    }

    /// Prepares for the counts of a new process. What the last one admitted in the `interval` after
    /// its last report is never reported and stays charged: an equal part of the limit at least,
    /// because its last known rate may be from before the demand rose.
    pub fn restart(
        &mut self,
        teams: &mut HashMap<TeamHash, TeamBucket>,
        interval: Duration,
        nodes: usize,
    ) {
        if self.charged.is_empty() {
            for (team, bucket) in teams {
                let fair_rate_per_s = bucket.fair_rate_per_s(nodes);
                bucket.tokens -= self.estimate_late(*team, fair_rate_per_s, interval);
            }
        }
        self.charged.clear();
        self.admitted.clear();
        self.is_settled = false;
    }
}
