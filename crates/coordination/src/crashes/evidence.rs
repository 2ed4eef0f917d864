//! Evidence that requests crash the backend servers which run them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::{
    CRASH_RETENTION, CRASHES_MAX, ClearedKeys, Crash, LostState, Observation, RequestHash,
    RequestKeys,
};

/// Number of crashes from which a request is refused even if others were lost in as many, or if none
/// of its losses was observed.
const TIED_CRASHES_MAX: u32 = 6;
/// Time over which losses must be spread if some were not observed. When several servers end within a
/// shorter time, a sound request that is open at each of them has not had the time to complete.
const PARTLY_OBSERVED_SPAN_MIN: Duration = Duration::from_secs(1);
/// Time over which losses must be spread if none was observed. Servers that go on clear a request of
/// such losses after about this time.
const UNOBSERVED_SPAN_MIN: Duration = Duration::from_secs(5);
/// Number of crashes of other bodies from which all requests with the same path are refused.
const OTHER_BODIES_CRASHES_MIN: u32 = 2;
/// Time after its last crash for which a request with [`CRASHES_MAX`] crashes is refused; doubles
/// with each further crash.
const QUARANTINE_MIN: Duration = Duration::from_secs(600);
/// Tolerance in comparisons of times that different nodes report.
const TIME_TOLERANCE: Duration = Duration::from_millis(25);

/// Evidence by exact key and by path key, and the requests that it suffices to refuse.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    by_exact: CrashesByKey,
    by_path: CrashesByKey,
    /// Times until which requests are refused, by exact key or path key.
    refused_until: HashMap<RequestHash, Duration>,
}

impl Evidence {
    /// Weighs the evidence of `crashes`, in order of time.
    pub(super) fn weigh(crashes: &[&Crash]) -> Self {
        let mut lost_in: Vec<Vec<Loss>> = crashes.iter().map(|crash| Loss::all_of(crash)).collect();
        let by_exact = count(lost_in.iter().flatten(), KeyKind::Exact);
        let by_path = count(lost_in.iter().flatten(), KeyKind::Path);
        for losses in &mut lost_in {
            rank(losses, &by_exact, &by_path);
        }
        let losses: Vec<Loss> = lost_in.into_iter().flatten().collect();
        let mut refused_until = HashMap::new();
        for key in sufficient(&losses, KeyKind::Exact) {
            refused_until.insert(key, by_exact[&key].refused_until());
        }
        for key in sufficient(&losses, KeyKind::Path) {
            let crashes = by_path[&key];
            if crashes.count >= main_body_crashes(&losses, key) + OTHER_BODIES_CRASHES_MIN {
                refused_until.insert(key, crashes.refused_until());
            }
        }
        Self { by_exact, by_path, refused_until }
    }

    /// Returns the number of crashes in which a request, or those with its path, were lost.
    pub(super) fn crashes(&self, request: RequestKeys) -> u32 {
        count_of(&self.by_exact, request.exact).max(count_of(&self.by_path, request.path))
    }

    /// Returns the keys of refused requests.
    pub(super) fn refused(&self) -> impl Iterator<Item = RequestHash> {
        self.refused_until.keys().copied()
    }

    /// Returns whether requests with a key are refused.
    pub(super) fn is_refused(&self, key: RequestHash) -> bool {
        self.refused_until.contains_key(&key)
    }

    /// Returns the time until which a request is refused, if it is.
    pub(super) fn refused_until(&self, request: RequestKeys) -> Option<Duration> {
        let until = |key| self.refused_until.get(&key).copied();
        until(request.exact).max(until(request.path))
    }
}

/// Crashes in which requests with the same key were lost; servers that fail together count once.
#[derive(Debug, Clone, Copy, Default)]
struct Crashes {
    count: u32,
    first_at: Duration,
    last_at: Duration,
}

type CrashesByKey = HashMap<RequestHash, Crashes>;

impl Crashes {
    fn add(&mut self, loss: &Loss, kind: KeyKind) {
        let is_sent_later = loss.sent_at + TIME_TOLERANCE > self.last_at;
        let is_repeated = match kind {
            // Copies of one request rarely run on several servers that fail together.
            KeyKind::Exact => is_sent_later || loss.happened_at > self.last_at + TIME_TOLERANCE,
            KeyKind::Path => is_sent_later,
        };
        if self.count == 0 {
            self.first_at = loss.happened_at;
        }
        if self.count == 0 || is_repeated && loss.happened_at > self.last_at {
            self.count += 1;
            self.last_at = loss.happened_at;
        }
    }

    fn refused_until(self) -> Duration {
        let doublings = self.count.saturating_sub(CRASHES_MAX).min(8);
        self.last_at + (QUARANTINE_MIN * 2_u32.pow(doublings)).min(CRASH_RETENTION)
    }
}

/// Kind of a key.
#[derive(Debug, Clone, Copy)]
enum KeyKind {
    Exact,
    Path,
}

/// Number of a request's crashes, compared with those of the others lost in the same crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Others have more.
    Lower,
    /// Others have as many.
    Tied,
    /// Others have fewer.
    Highest,
}

/// A request lost in a crash.
#[derive(Debug)]
struct Loss {
    keys: RequestKeys,
    observation: Observation,
    cleared: ClearedKeys,
    sent_at: Duration,
    happened_at: Duration,
    /// Standing of the requests with its path among all.
    path_standing: Standing,
    /// Standing of the request itself.
    exact_standing: Standing,
}

impl Loss {
    fn all_of(crash: &Crash) -> Vec<Self> {
        let new = |(keys, state): (&RequestKeys, &LostState)| Self {
            keys: *keys,
            observation: state.observation,
            cleared: state.cleared(),
            sent_at: state.sent_at,
            happened_at: crash.happened_at,
            path_standing: Standing::Lower,
            exact_standing: Standing::Lower,
        };
        crash.lost.iter().map(new).collect()
    }

    /// Returns a key, unless the loss does not count for it.
    fn key(&self, kind: KeyKind) -> Option<RequestHash> {
        match kind {
            KeyKind::Exact => (!self.cleared.exact).then_some(self.keys.exact),
            KeyKind::Path => (!self.cleared.path).then_some(self.keys.path),
        }
    }

    /// Returns the standing of the requests with a key.
    fn standing(&self, kind: KeyKind) -> Standing {
        match kind {
            KeyKind::Exact => self.exact_standing,
            KeyKind::Path => self.path_standing,
        }
    }
}

/// Counts the crashes of each key; `losses` are in order of time.
fn count<'a>(losses: impl Iterator<Item = &'a Loss>, kind: KeyKind) -> CrashesByKey {
    let mut crashes = CrashesByKey::new();
    for loss in losses {
        if let Some(key) = loss.key(kind) {
            crashes.entry(key).or_default().add(loss, kind);
        }
    }
    crashes
}

fn count_of(crashes: &CrashesByKey, key: RequestHash) -> u32 {
    crashes.get(&key).map_or(0, |crashes| crashes.count)
}

/// Returns the crashes of the body with the most of them among the requests with a path, counted
/// like those of the path.
fn main_body_crashes(losses: &[Loss], path: RequestHash) -> u32 {
    let mut bodies = CrashesByKey::new();
    for loss in losses.iter().filter(|loss| loss.keys.path == path) {
        if let Some(body) = loss.key(KeyKind::Exact) {
            bodies.entry(body).or_default().add(loss, KeyKind::Path);
        }
    }
    bodies.values().map(|crashes| crashes.count).max().unwrap_or_default()
}

/// Compares the requests lost in one crash: the paths with one another, and the bodies of each path.
fn rank(losses: &mut [Loss], by_exact: &CrashesByKey, by_path: &CrashesByKey) {
    let mut paths = Ranking::default();
    let mut bodies: HashMap<RequestHash, Ranking> = HashMap::new();
    for loss in &*losses {
        let of_exact = loss.key(KeyKind::Exact).map_or(0, |key| count_of(by_exact, key));
        let of_path = loss.key(KeyKind::Path).map_or(0, |key| count_of(by_path, key));
        paths.add(loss.keys.path, of_exact.max(of_path));
        bodies.entry(loss.keys.path).or_default().add(loss.keys.exact, of_exact);
    }
    let paths = paths.standings();
    let bodies: HashMap<_, _> =
        bodies.into_iter().map(|(path, bodies)| (path, bodies.standings())).collect();
    for loss in losses {
        loss.path_standing = paths[&loss.keys.path];
        let of_body = bodies[&loss.keys.path][&loss.keys.exact];
        loss.exact_standing = match (loss.path_standing, of_body) {
            (Standing::Highest, standing) | (standing, Standing::Highest) => standing,
            (Standing::Tied, Standing::Tied) => Standing::Tied,
            _ => Standing::Lower,
        };
    }
}

/// Highest score of each key.
#[derive(Debug, Default)]
struct Ranking {
    scores: HashMap<RequestHash, u32>,
}

impl Ranking {
    fn add(&mut self, key: RequestHash, score: u32) {
        let known = self.scores.entry(key).or_default();
        *known = score.max(*known);
    }

    /// Returns the standing of each key.
    fn standings(&self) -> HashMap<RequestHash, Standing> {
        let highest = self.scores.values().copied().max().unwrap_or_default();
        let holders = self.scores.values().filter(|score| **score == highest).count();
        let standing = |score: u32| match score {
            _ if score < highest => Standing::Lower,
            _ if holders > 1 => Standing::Tied,
            _ => Standing::Highest,
        };
        self.scores.iter().map(|(key, score)| (*key, standing(*score))).collect()
    }
}

/// Returns the keys with sufficient evidence.
fn sufficient(losses: &[Loss], kind: KeyKind) -> HashSet<RequestHash> {
    let is_highest = |loss: &&Loss| loss.standing(kind) == Standing::Highest;
    let is_not_lower = |loss: &&Loss| loss.standing(kind) != Standing::Lower;
    let attributed = count(losses.iter().filter(is_highest), kind);
    let unexplained = count(losses.iter().filter(is_not_lower), kind);
    let with = |observation: Observation| -> HashSet<RequestHash> {
        let losses = losses.iter().filter(|loss| loss.observation == observation);
        losses.filter_map(|loss| loss.key(kind)).collect()
    };
    let (observed, unobserved) = (with(Observation::Observed), with(Observation::Unobserved));
    let is_spread = |key: &RequestHash, crashes: &Crashes| {
        let span_min = match (observed.contains(key), unobserved.contains(key)) {
            (_, false) => Duration::ZERO,
            (true, true) => PARTLY_OBSERVED_SPAN_MIN,
            (false, true) => UNOBSERVED_SPAN_MIN,
        };
        crashes.last_at >= crashes.first_at + span_min
    };
    let attributed = attributed
        .into_iter()
        .filter(|(key, it)| it.count >= CRASHES_MAX && observed.contains(key));
    let unexplained = unexplained.into_iter().filter(|(_, it)| it.count >= TIED_CRASHES_MAX);
    let sufficient = attributed.chain(unexplained).filter(|(key, it)| is_spread(key, it));
    sufficient.map(|(key, _)| key).collect()
}
