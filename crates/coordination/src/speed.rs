//! Speed of backend servers relative to the other servers of their service.
//!
//! Each node compares the time that an answer took with the answers that it has seen lately from
//! all servers of the service at a similar load, and tells the ratio to the server's keeper (see
//! [`crate::load`]). The keeper combines the ratios of all nodes. The result is a coarse step, so
//! that requests do not move with every change: a server is slow once nearly all answers of some
//! seconds were, or most answers of a second by a large factor. It is no longer slow after a few
//! normal answers in succession. As a slow server gets few requests, its keeper lets a request
//! through from time to time as a probe.
//!
//! Steps belong to one start of a server; a server that starts anew is assumed to be as fast as the
//! others.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::load::ServerHash;

/// Slowdown of a server in powers of two: 0 is as fast as other servers, 1 half as fast.
pub type SlowdownStep = u8;

/// Number of recent samples that determine the typical duration.
const TYPICAL_SAMPLES_MAX: usize = 32;
/// Minimum number of samples for a typical duration.
const TYPICAL_SAMPLES_MIN: usize = 8;
/// Quantile of the samples with which others are compared. It is low, so that it is a duration of
/// the fastest servers even if these are few.
const TYPICAL_QUANTILE: f64 = 0.1;
/// Number of ranges of load that are compared separately, up to a load of 1.
const LOAD_BANDS: usize = 4;
/// Maximum ratio of the typical duration in one range of load to the one in the range below it.
/// Servers that are slow may be the only ones with a certain load.
const LOAD_EFFECT_MAX: f64 = 1.15;

/// Recent durations of one kind of answer, by load of the server.
#[derive(Debug, Default)]
struct RecentDurations {
    bands: [VecDeque<f64>; LOAD_BANDS],
}

impl RecentDurations {
    fn record(&mut self, band: usize, seconds: f64) {
        let recent = &mut self.bands[band];
        if recent.len() == TYPICAL_SAMPLES_MAX {
            recent.pop_front();
        }
        recent.push_back(seconds);
    }

    /// Returns the typical duration at the load of `band`; it is not longer than at a higher load.
    fn typical(&self, band: usize) -> Option<f64> {
        let of_band = |recent: &VecDeque<f64>| {
            (recent.len() >= TYPICAL_SAMPLES_MIN)
                .then(|| quantile(recent.iter().copied(), TYPICAL_QUANTILE))
        };
        let (lower, same_or_higher) = self.bands.split_at(band);
        let mut longest = None;
        for typical in lower.iter().map(of_band) {
            let by_lower = longest.map(|longest: f64| longest * LOAD_EFFECT_MAX);
            longest = by_lower.into_iter().chain(typical).min_by(f64::total_cmp);
        }
        let by_lower = longest.map(|longest| longest * LOAD_EFFECT_MAX);
        let others = same_or_higher.iter().filter_map(of_band);
        by_lower.into_iter().chain(others).min_by(f64::total_cmp)
    }
}

/// Recent durations of answers at one node, by kind.
#[derive(Debug, Default)]
pub struct TypicalDurations {
    kinds: HashMap<String, RecentDurations>,
}

impl TypicalDurations {
    /// Records the duration of an answer or of a part of it, and returns its ratio to the typical
    /// one; `None` while too few are known.
    ///
    /// Durations of the same `kind` are compared with each other. `load` is the number of requests
    /// in flight per slot of the server.
    pub fn record(&mut self, kind: &str, load: f64, duration: Duration) -> Option<f64> {
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.to_owned(), RecentDurations::default());
        }
        let durations = self.kinds.get_mut(kind)?;
        let band = load_band(load);
        let seconds = duration.as_secs_f64();
        durations.record(band, seconds);
        let typical = durations.typical(band)?;
        (typical > 0.0).then(|| seconds / typical)
    }
}

fn load_band(load: f64) -> usize {
    let bands = [0.25, 0.5, 0.75];
    bands.iter().filter(|end| load >= **end).count()
}

/// Number of gaps between events that are measured together. Events that arrive together, and
/// prompts that the server prefills in between, would distort single gaps.
const GAPS_MEASURED: u32 = 4;

/// Measures the time between the events of a stream.
#[derive(Debug, Default)]
pub struct EventPace {
    begun_at: Option<Duration>,
    gaps: u32,
}

impl EventPace {
    /// Records an event; returns the mean time between the last events once enough have arrived.
    pub fn note_event(&mut self, now: Duration) -> Option<Duration> {
        let Some(begun_at) = self.begun_at else {
            self.begun_at = Some(now);
            return None;
        };
        self.gaps += 1;
        if self.gaps < GAPS_MEASURED {
            return None;
        }
        self.gaps = 0;
        self.begun_at = Some(now);
        Some(now.saturating_sub(begun_at) / GAPS_MEASURED)
    }

    /// Discards the measurement that has begun, because something other than the server delayed the
    /// events.
    pub fn restart(&mut self) {
        *self = Self::default();
    }
}

/// Ratios from which a server is considered slow by 1, 2 or 3 steps.
const STEP_RATIOS: [f64; 3] = [1.6, 2.9, 5.7];
/// Ratio of the threshold for leaving a step to the one for entering it.
const LEAVE_FRACTION: f64 = 0.8;
/// Period in which a server is considered slow if nearly all of its answers were.
const LONG_WINDOW: Duration = Duration::from_secs(4);
/// Minimum number of samples in the long period.
const LONG_SAMPLES_MIN: usize = 8;
/// Quantile of the ratios in the long period, the same as that of the typical durations: the prefill
/// of other prompts makes many answers longer at a server of any speed.
const LONG_QUANTILE: f64 = TYPICAL_QUANTILE;
/// Period in which a server is considered slow if nearly all of its answers were very slow.
const SHORT_WINDOW: Duration = Duration::from_millis(800);
/// Minimum ratio of these answers; exceeds the effect of usual short disturbances.
const SHORT_RATIO_MIN: f64 = STEP_RATIOS[1];
/// Minimum number of samples in the short period.
const SHORT_SAMPLES_MIN: usize = 4;
/// Minimum time between the first and the last of these samples.
const SHORT_SPAN_MIN: Duration = Duration::from_millis(300);
/// Quantile of the ratios in the short period.
const SHORT_QUANTILE: f64 = 0.2;
/// Number of faster answers in succession after which a server is no longer considered slow.
const RECOVERY_SAMPLES: usize = 3;
/// Maximum number of samples kept for a server.
const SAMPLES_MAX: usize = 64;
/// Time between two invitations to a probe. A node may choose another server all the same.
const PROBE_INVITATION_INTERVAL: Duration = Duration::from_millis(250);
/// First time between two probes of a slow server; doubles with each slow answer to a probe.
const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Maximum time between two probes. A probe costs a caller the slow answer.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(15);
/// Time for which nodes use a step that they were told.
pub const STEP_MAX_AGE: Duration = Duration::from_secs(10);
/// Time after which the samples of a server are discarded if no further one arrives.
const RETENTION: Duration = Duration::from_secs(60);

/// Step of a server, valid for one start of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerSpeed {
    /// Time of the server's start.
    pub started_unix_ms: u64,
    /// Its slowdown.
    pub step: SlowdownStep,
}

#[derive(Debug)]
struct KeptSpeed {
    started_unix_ms: u64,
    /// Times and ratios of the last answers.
    samples: VecDeque<(Duration, f64)>,
    step: SlowdownStep,
    /// Time of the last change of the step.
    changed_at: Duration,
    probe_interval: Duration,
    next_probe_at: Duration,
    /// Whether a node was invited to a probe since the last sample.
    is_probed: bool,
}

impl KeptSpeed {
    fn new(started_unix_ms: u64) -> Self {
        Self {
            started_unix_ms,
            samples: VecDeque::new(),
            step: 0,
            changed_at: Duration::ZERO,
            probe_interval: PROBE_INTERVAL_MIN,
            next_probe_at: Duration::ZERO,
            is_probed: false,
        }
    }

    fn record(&mut self, ratio: f64, now: Duration) {
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back((now, ratio));
        let step = self.step_by_samples(now);
        let is_probed = std::mem::replace(&mut self.is_probed, false);
        if step == self.step {
            if ratio < STEP_RATIOS[0] * LEAVE_FRACTION {
                // The server may have recovered, so it is probed again without delay.
                self.probe_interval = PROBE_INTERVAL_MIN;
                self.next_probe_at = now;
            } else if is_probed {
                self.probe_interval = (self.probe_interval * 2).min(PROBE_INTERVAL_MAX);
                self.next_probe_at = now + self.probe_interval;
            }
            return;
        }
        if step < self.step {
            let recovered_from = self.samples.len().saturating_sub(RECOVERY_SAMPLES);
            self.samples.drain(..recovered_from);
        }
        if self.step == 0 {
            self.probe_interval = PROBE_INTERVAL_MIN;
            self.next_probe_at = now + PROBE_INTERVAL_MIN;
        }
        self.step = step;
        self.changed_at = now;
    }

    fn step_by_samples(&self, now: Duration) -> SlowdownStep {
        let entered = entered_step(self.lasting_ratio(now));
        if entered >= self.step {
            return entered;
        }
        let since_change = self.samples.iter().filter(|(at, _)| *at > self.changed_at);
        let last = since_change.rev().take(RECOVERY_SAMPLES).map(|(_, ratio)| *ratio);
        if last.clone().count() < RECOVERY_SAMPLES {
            return self.step;
        }
        let left = entered_step(last.fold(0.0, f64::max) / LEAVE_FRACTION);
        left.min(self.step)
    }

    /// Returns the ratio that has lasted longer than a short disturbance.
    fn lasting_ratio(&self, now: Duration) -> f64 {
        let within = |window: Duration| {
            self.samples.iter().filter(move |(at, _)| *at + window > now).copied()
        };
        let long: Vec<f64> = within(LONG_WINDOW).map(|(_, ratio)| ratio).collect();
        let by_long = if long.len() >= LONG_SAMPLES_MIN {
            quantile(long.into_iter(), LONG_QUANTILE)
        } else {
            0.0
        };
        let short: Vec<(Duration, f64)> = within(SHORT_WINDOW).collect();
        let span = match (short.first(), short.last()) {
            (Some((first, _)), Some((last, _))) => last.saturating_sub(*first),
            _ => Duration::ZERO,
        };
        let by_short = if short.len() >= SHORT_SAMPLES_MIN && span >= SHORT_SPAN_MIN {
            quantile(short.into_iter().map(|(_, ratio)| ratio), SHORT_QUANTILE)
        } else {
            0.0
        };
        if by_short >= SHORT_RATIO_MIN { by_long.max(by_short) } else { by_long }
    }
}

/// Returns the step that a lasting ratio leads to.
fn entered_step(ratio: f64) -> SlowdownStep {
    let steps = STEP_RATIOS.iter().filter(|entered| ratio >= **entered).count();
    SlowdownStep::try_from(steps).unwrap_or(SlowdownStep::MAX)
}

/// Returns the factor by which answers of a server take longer than those of other servers.
#[must_use]
pub fn slowdown(step: SlowdownStep) -> f64 {
    f64::from(1_u32 << u32::from(step).min(8))
}

/// Speeds of the servers that this node keeps for all nodes.
#[derive(Debug, Default)]
pub struct SpeedKeeper {
    servers: HashMap<ServerHash, KeptSpeed>,
}

impl SpeedKeeper {
    /// Records the ratio of an answer's duration to the typical one; returns the server's step if
    /// this has changed it.
    pub fn record(
        &mut self,
        server: ServerHash,
        started_unix_ms: u64,
        ratio: f64,
        now: Duration,
    ) -> Option<SlowdownStep> {
        let kept = self.servers.entry(server).or_insert_with(|| KeptSpeed::new(started_unix_ms));
        if started_unix_ms < kept.started_unix_ms || !ratio.is_finite() {
            return None;
        }
        if started_unix_ms > kept.started_unix_ms {
            *kept = KeptSpeed::new(started_unix_ms);
        }
        let previous = kept.step;
        kept.record(ratio, now);
        (kept.step != previous).then_some(kept.step)
    }

    /// Returns the step of `server` for a node that is about to place a request; `None` if it has
    /// not been slow for so long that no node remembers it.
    ///
    /// Now and then a slow server is reported as fast, which invites the node to place the request
    /// there as a probe.
    pub fn speed_for_placement(
        &mut self,
        server: ServerHash,
        now: Duration,
    ) -> Option<ServerSpeed> {
        let kept = self.servers.get_mut(&server)?;
        let is_forgotten = kept.changed_at + STEP_MAX_AGE <= now;
        if kept.step == 0 && (kept.changed_at == Duration::ZERO || is_forgotten) {
            return None;
        }
        let mut step = kept.step;
        if step > 0 && now >= kept.next_probe_at {
            kept.is_probed = true;
            kept.next_probe_at = now + PROBE_INVITATION_INTERVAL;
            step = 0;
        }
        Some(ServerSpeed { started_unix_ms: kept.started_unix_ms, step })
    }

    /// Discards servers without recent samples.
    pub fn prune(&mut self, now: Duration) {
        self.servers.retain(|_, kept| {
            kept.samples.back().is_some_and(|(last_at, _)| now < *last_at + RETENTION)
        });
    }
}

/// Returns a quantile of `values`; 0 if there are none.
fn quantile(values: impl Iterator<Item = f64>, fraction: f64) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few samples"
    )]
    let index = (sorted.len().saturating_sub(1) as f64 * fraction) as usize;
    sorted.get(index).copied().unwrap_or_default()
}
