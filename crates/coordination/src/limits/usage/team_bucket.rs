//! A node's view of the bucket of one team.

use std::time::Duration;

use super::{Admitted, fair_rate_per_s, signed_difference};
use crate::limits::bucket::BucketLimits;

/// Initial fraction of the burst in a bucket that is not initialized from a report.
const INITIAL_FILL: f64 = 0.5;
/// Fraction of the burst, or of what accrues until the rates are known, that earlier processes may have
/// spent beyond the limit.
const RESTART_DEBT: f64 = 0.5;
/// Approximate duration of a program. The program bucket can hold the burst and the tokens accrued
/// in this time, because a program spreads its requests over its duration.
const PROGRAM_DURATION: Duration = Duration::from_secs(2);

/// Tokens of one team.
#[derive(Debug, Default)]
pub(super) struct TeamBucket {
    /// Tokens left; negative while the team has spent more than has accrued.
    pub tokens: f64,
    /// Tokens in the program bucket; negative while new programs have taken more than has accrued.
    pub program_tokens: f64,
    updated_at: Duration,
    /// Rate of the limit with which the last request came.
    pub rate_per_s: f64,
    pub own_admitted: Admitted,
    /// Time of this node's first admission.
    pub first_admitted_at: Option<Duration>,
    /// Round of reports in which `own_admitted` changed last.
    pub changed_in_round: u64,
}

impl TeamBucket {
    /// Returns the bucket of a team that no node has reported. Its first update adds the tokens
    /// accrued since time zero of the clock, which is the start of the process.
    pub fn initial(limits: BucketLimits) -> Self {
        let tokens = limits.burst * INITIAL_FILL;
        Self { tokens, program_tokens: tokens, ..Self::default() }
    }

    /// Returns the bucket of a team after a restart of all nodes, where earlier spending is unknown.
    /// It may have exceeded the limit by what nodes admit until they know each other's rates, which
    /// takes `settled_after`.
    pub fn restarted(limits: BucketLimits, settled_after: Duration) -> Self {
        let accrued = limits.rate_per_s * settled_after.as_secs_f64();
        Self { tokens: -limits.burst.min(accrued) * RESTART_DEBT, ..Self::initial(limits) }
    }

    /// Sets the tokens to those that another node reports, less the requests that this node has
    /// already admitted.
    pub fn initialize(&mut self, count: &Admitted, now: Duration) {
        let reported = Self::from_report(count, now);
        self.tokens = reported.tokens - signed_difference(self.own_admitted.requests, 0);
        self.program_tokens = reported.program_tokens;
        self.updated_at = now;
    }

    /// Returns the bucket of a team as reported by another node.
    pub fn from_report(count: &Admitted, now: Duration) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "bursts are small")]
        let (tokens, program_tokens) = (count.tokens_left as f64, count.program_tokens_left as f64);
        Self { tokens, program_tokens, updated_at: now, ..Self::default() }
    }

    /// Returns the counts to report; `late_requests` may have been admitted by nodes that are late.
    pub fn report(&self, late_requests: f64, now: Duration) -> Admitted {
        #[expect(clippy::cast_possible_truncation, reason = "bursts are small")]
        let (tokens_left, program_tokens_left) =
            ((self.tokens - late_requests).floor() as i64, self.program_tokens.floor() as i64);
        let first_admitted_at = self.first_admitted_at.unwrap_or(now);
        let first_admitted_ago = now.saturating_sub(first_admitted_at);
        let first_admitted_ago_ms = u64::try_from(first_admitted_ago.as_millis());
        Admitted {
            tokens_left,
            program_tokens_left,
            first_admitted_ago_ms: first_admitted_ago_ms.unwrap_or(u64::MAX),
            ..self.own_admitted
        }
    }

    /// Returns the tokens that this node may use: all of them, less those of unreported requests,
    /// or an equal part if it is `settled_share`.
    pub fn available(&self, unreported: f64, settled_share: f64) -> f64 {
        let available = self.tokens - unreported;
        if settled_share >= 1.0 {
            return available;
        }
        let own = signed_difference(self.own_admitted.requests, 0);
        (available + own) * settled_share - own
    }

    /// Returns the part of the limit's rate that falls to each of `nodes` nodes.
    pub fn fair_rate_per_s(&self, nodes: usize) -> f64 {
        fair_rate_per_s(self.rate_per_s, nodes)
    }

    /// Adds the accrued tokens. `late_requests` are an estimate and may turn out not to have been
    /// admitted, so they do not count toward the burst.
    pub fn accrue(
        &mut self,
        limits: BucketLimits,
        reachable_share: f64,
        late_requests: f64,
        now: Duration,
    ) {
        self.rate_per_s = limits.rate_per_s;
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let burst = limits.burst.max(1.0) * reachable_share;
        let accrued = elapsed_s * limits.rate_per_s * reachable_share;
        let program_burst =
            burst + limits.rate_per_s * reachable_share * PROGRAM_DURATION.as_secs_f64();
        self.tokens = (self.tokens + accrued).min(burst.max(1.0) + late_requests);
        self.program_tokens = (self.program_tokens + accrued).min(program_burst);
        // The debt is bounded, because a larger one would delay new programs for longer than the
        // overload lasts.
        self.program_tokens = self.program_tokens.max(-program_burst);
        self.updated_at = now;
    }
}
