//! Failure detection: choice of each member's observers, and suspicion of silent members.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::IncarnationId;
use crate::members::{Member, MemberState};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of observers of a member; a region with fewer other members provides fewer.
pub const OBSERVERS_PER_MEMBER: usize = 3;
/// Number of observers that must suspect a member before it is fenced, or all of them if there are
/// fewer.
pub const OBSERVER_QUORUM: usize = 2;

/// Returns the members of `target`'s region that observe it, preferring one from each other zone.
#[must_use]
pub fn observers<'a>(members: &'a [Member], target: &Member) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members
        .iter()
        .filter(|member| member.id != target.id && member.region == target.region)
        .filter(|member| member.state != MemberState::Fenced)
        .collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(observer_weight(&member.id, &target.id)));
    let mut chosen: Vec<&Member> = Vec::with_capacity(OBSERVERS_PER_MEMBER);
    let mut others = Vec::new();
    for member in ranked {
        let new_zone = chosen.iter().all(|known| known.zone != member.zone);
        if new_zone && member.zone != target.zone {
            chosen.push(member);
        } else {
            others.push(member);
        }
    }
    chosen.extend(others);
    chosen.truncate(OBSERVERS_PER_MEMBER);
    chosen
}

fn observer_weight(observer: &str, target: &str) -> u64 {
    xxh3_64(format!("{target}/{observer}").as_bytes())
}

/// Timing of failure detection.
#[derive(Debug, Clone)]
pub struct DetectorSettings {
    /// Time between two heartbeats.
    pub interval: Duration,
    /// Time without a heartbeat after which a member is suspected.
    pub suspect_after: Duration,
}

impl Default for DetectorSettings {
    fn default() -> Self {
        Self { interval: Duration::from_secs(1), suspect_after: Duration::from_millis(3_500) }
    }
}

/// Tracks the time of the last heartbeat of each observed member.
#[derive(Debug)]
pub struct Detector {
    settings: DetectorSettings,
    last_heartbeats: HashMap<IncarnationId, Duration>,
    last_update: Duration,
}

impl Detector {
    /// Creates a detector that observes no members yet.
    #[must_use]
    pub fn new(settings: DetectorSettings, now: Duration) -> Self {
        Self { settings, last_heartbeats: HashMap::new(), last_update: now }
    }

    /// Records a heartbeat from `member`.
    pub fn record_heartbeat(&mut self, member: &str, now: Duration) {
        self.last_heartbeats.insert(member.to_owned(), now);
    }

    /// Sets the members that this node observes; new ones are treated as if they had sent a
    /// heartbeat at `now`.
    ///
    /// If more than two heartbeat intervals have passed since the last call, this node itself was
    /// paused and may have missed heartbeats. The time beyond one interval then counts as nobody's
    /// silence; after a pause as long as [`DetectorSettings::suspect_after`], all members are
    /// treated as new.
    pub fn set_observed(&mut self, observed: &[IncarnationId], now: Duration) {
        let elapsed = now.saturating_sub(self.last_update);
        let uncounted = if elapsed >= self.settings.suspect_after {
            Duration::MAX
        } else if elapsed > self.settings.interval * 2 {
            elapsed.saturating_sub(self.settings.interval)
        } else {
            Duration::ZERO
        };
        self.last_update = now;
        self.last_heartbeats.retain(|member, _| observed.contains(member));
        for member in observed {
            let last = self.last_heartbeats.entry(member.clone()).or_insert(now);
            *last = last.saturating_add(uncounted).min(now);
        }
    }

    /// Returns whether `member` is observed and has sent no heartbeat for too long.
    #[must_use]
    pub fn is_suspect(&self, member: &str, now: Duration) -> bool {
        let silent = |last: &Duration| now.saturating_sub(*last) >= self.settings.suspect_after;
        self.last_heartbeats.get(member).is_some_and(silent)
    }

    /// Returns all suspected members, sorted by id.
    #[must_use]
    pub fn suspects(&self, now: Duration) -> Vec<IncarnationId> {
        let mut suspects: Vec<_> = self
            .last_heartbeats
            .keys()
            .filter(|member| self.is_suspect(member, now))
            .cloned()
            .collect();
        suspects.sort();
        suspects
    }
}
