//! Pace of one node's writes to a store whose rate limit all nodes share.
//!
//! The store refuses calls beyond its limit, and refused calls count as well, so nodes that repeat
//! them at once keep the store overloaded after the demand has fallen. A [`StorePace`] limits its
//! node's writes from the first refusal on: the rate falls with refusals, grows with accepted calls,
//! and the limit is lifted once the store has accepted everything for some time. Nodes need not
//! agree on their rates. [`WaitingCalls`] orders the calls that wait.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ledger::LEDGER_TABLE;
use crate::rows::RowWrite;
use crate::turns::TURNS_TABLE;

/// Factor of the rate after a refusal.
const REFUSED_FACTOR: f64 = 0.7;
/// Minimum time between two reductions; the refusals of calls in flight have one cause.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(100);
/// Growth of the rate for each accepted call, as a fraction of the node's equal share.
const ACCEPTED_GROWTH: f64 = 0.01;
/// Time without a refusal after which the rate grows exponentially.
const GROWTH_AFTER: Duration = Duration::from_millis(400);
/// Time in which the rate doubles without refusals.
const DOUBLING_TIME: Duration = Duration::from_millis(700);
/// Time without a refusal or a waiting call after which the rate is no longer limited.
const CALM_AFTER: Duration = Duration::from_secs(2);
/// Minimum rate as a fraction of the node's equal share. With less, a node with few calls would
/// take seconds to recover from two refusals.
const RATE_MIN_SHARE: f64 = 0.5;
/// Minimum rate in calls per second, unless the equal share is less; bounds the wait at a node whose
/// share is small.
const RATE_MIN_PER_S: f64 = 1.0;
/// Equal share of a node when the store's limit is unknown, in calls per second.
const SHARE_DEFAULT_PER_S: f64 = 10.0;
/// Time for which unused calls accumulate.
const BURST: Duration = Duration::from_millis(50);
/// Time constant of the average rate of accepted calls.
const AVERAGE_TIME: Duration = Duration::from_secs(1);
/// Retries allowed for each accepted first attempt.
const RETRIES_PER_ACCEPTED: f64 = 0.1;
/// Retries allowed per second without accepted calls.
const RETRIES_MIN_PER_S: f64 = 2.0;
/// Maximum number of accumulated retries.
const RETRIES_MAX: f64 = 20.0;
/// Maximum delay before the first retry; doubles with each further one.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
/// Maximum delay before any retry.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(400);
/// Wait after which an upkeep call goes before all others.
const UPKEEP_WAIT_MAX: Duration = Duration::from_secs(1);
/// A new program is refused if its calls would wait for more than its remaining time divided by
/// this.
const WAIT_DIVISOR: u32 = 8;
/// Minimum retry delay of a refused program.
const PROGRAM_RETRY_DELAY_MIN: Duration = Duration::from_millis(200);

/// Purpose of a write, in the order in which waiting calls are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallClass {
    /// Stores a turn whose answer is complete but for its end.
    FinishedTurn,
    /// Claims, settles or releases budget of a program that has begun.
    BegunProgram,
    /// Claims budget for a program's first turn.
    NewProgram,
    /// Registers nodes, or shares what nodes have learned.
    Upkeep,
}

impl CallClass {
    /// All classes in order.
    pub const ALL: [Self; 4] =
        [Self::FinishedTurn, Self::BegunProgram, Self::NewProgram, Self::Upkeep];

    /// Returns the class of a write.
    #[must_use]
    pub fn of_write(write: &RowWrite<'_>) -> Self {
        match write.table {
            TURNS_TABLE => Self::FinishedTurn,
            LEDGER_TABLE if write.expected_version == 0 => Self::NewProgram,
            LEDGER_TABLE => Self::BegunProgram,
            _ => Self::Upkeep,
        }
    }

    /// Returns the label used in metrics and log lines.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::FinishedTurn => "finished_turn",
            Self::BegunProgram => "begun_program",
            Self::NewProgram => "new_program",
            Self::Upkeep => "upkeep",
        }
    }

    /// Returns the number of retries after refusals; the caller's own time limit ends them earlier.
    #[must_use]
    pub fn retries_max(self) -> u32 {
        match self {
            Self::FinishedTurn => u32::MAX,
            Self::BegunProgram | Self::NewProgram => 5,
            Self::Upkeep => 0,
        }
    }
}

/// How a node reacts to refusals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PacePolicy {
    /// The node limits its rate and its retries.
    #[default]
    Adaptive,
    /// The node sends every call and retry when it is due; the baseline of the tests.
    Unlimited,
}

/// Rate and retry limits of one node's writes. All times are monotonic.
#[derive(Debug, Clone)]
pub struct StorePace {
    policy: PacePolicy,
    store_limit_per_s: Option<f64>,
    members: usize,
    /// Rate in calls per second, while it is limited.
    rate_per_s: Option<f64>,
    /// Calls that may be made now; negative values delay the next one.
    credit: f64,
    retry_credit: f64,
    /// Average rate of accepted calls.
    accepted_per_s: f64,
    updated_at: Duration,
    refused_at: Duration,
    reduced_at: Duration,
}

impl StorePace {
    /// Creates a pace without a limit.
    ///
    /// `store_limit_per_s` is the number of writes per second that the store accepts from all nodes
    /// together, if it is known.
    #[must_use]
    pub fn new(policy: PacePolicy, store_limit_per_s: Option<f64>) -> Self {
        Self {
            policy,
            store_limit_per_s,
            members: 1,
            rate_per_s: None,
            credit: 0.0,
            retry_credit: RETRIES_MAX,
            accepted_per_s: 0.0,
            updated_at: Duration::ZERO,
            refused_at: Duration::ZERO,
            reduced_at: Duration::ZERO,
        }
    }

    /// Sets the number of live nodes, including this one.
    pub fn set_members(&mut self, members: usize) {
        self.members = members.max(1);
    }

    /// Returns the current rate in calls per second; `None` if it is not limited.
    #[must_use]
    pub fn rate_per_s(&self) -> Option<f64> {
        self.rate_per_s
    }

    /// Returns the node's equal share of the store's limit, in calls per second.
    #[must_use]
    pub fn share_per_s(&self) -> f64 {
        let members = f64::from(u32::try_from(self.members).unwrap_or(u32::MAX));
        self.store_limit_per_s.map_or(SHARE_DEFAULT_PER_S, |limit| limit / members)
    }

    /// Takes credit for one call.
    ///
    /// # Errors
    ///
    /// Returns the time until the next call may be made.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.advance(now);
        let Some(rate) = self.rate_per_s else { return Ok(()) };
        if self.credit < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.credit) / rate));
        }
        self.credit -= 1.0;
        Ok(())
    }

    /// Returns the credit of a call that was not made.
    pub fn give_back(&mut self) {
        if self.rate_per_s.is_some() {
            self.credit += 1.0;
        }
    }

    /// Takes a retry from the budget.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again.
    pub fn take_retry(&mut self, now: Duration) -> Result<(), Duration> {
        self.advance(now);
        if self.policy == PacePolicy::Unlimited {
            return Ok(());
        }
        if self.retry_credit < 1.0 {
            return Err(RETRY_DELAY_MAX);
        }
        self.retry_credit -= 1.0;
        Ok(())
    }

    /// Records a call that the store accepted.
    pub fn note_accepted(&mut self, is_retry: bool, now: Duration) {
        self.advance(now);
        self.accepted_per_s += 1.0 / AVERAGE_TIME.as_secs_f64();
        if !is_retry {
            self.retry_credit = (self.retry_credit + RETRIES_PER_ACCEPTED).min(RETRIES_MAX);
        }
        let growth = ACCEPTED_GROWTH * self.share_per_s();
        if let Some(rate) = &mut self.rate_per_s {
            *rate += growth;
        }
    }

    /// Records a call that the store refused; returns whether the rate was not limited before.
    pub fn note_refused(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.refused_at = now;
        if self.policy == PacePolicy::Unlimited {
            return false;
        }
        let share = self.share_per_s();
        let rate_min = (RATE_MIN_SHARE * share).max(RATE_MIN_PER_S.min(share));
        let Some(rate) = self.rate_per_s else {
            self.rate_per_s = Some(self.accepted_per_s.max(rate_min));
            self.credit = 0.0;
            self.reduced_at = now;
            return true;
        };
        if now >= self.reduced_at + REDUCTION_INTERVAL {
            self.rate_per_s = Some((rate * REFUSED_FACTOR).max(rate_min));
            self.reduced_at = now;
        }
        false
    }

    /// Lifts the limit if the store has refused nothing for some time, while no call waits; returns
    /// whether it was lifted.
    pub fn lift(&mut self, now: Duration) -> bool {
        now >= self.refused_at + CALM_AFTER && self.rate_per_s.take().is_some()
    }

    /// Returns the time for which a call waits behind `ahead` others.
    #[must_use]
    pub fn wait_behind(&self, ahead: usize) -> Duration {
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let wait_s = self.rate_per_s.map_or(0.0, |rate| ahead / rate);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Returns the retry delay of a new program with `time_left` that is refused because `ahead`
    /// calls wait; `None` if the program may start.
    #[must_use]
    pub fn new_program_retry_delay(&self, ahead: usize, time_left: Duration) -> Option<Duration> {
        let wait = self.wait_behind(ahead);
        (wait > time_left / WAIT_DIVISOR).then(|| wait.max(PROGRAM_RETRY_DELAY_MIN))
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        if elapsed.is_zero() {
            return;
        }
        self.updated_at = now;
        let elapsed_s = elapsed.as_secs_f64();
        self.accepted_per_s *= (-elapsed_s / AVERAGE_TIME.as_secs_f64()).exp();
        self.retry_credit = (self.retry_credit + RETRIES_MIN_PER_S * elapsed_s).min(RETRIES_MAX);
        if let Some(rate) = &mut self.rate_per_s {
            let calm_from = (self.refused_at + GROWTH_AFTER).max(now.saturating_sub(elapsed));
            let calm_s = now.saturating_sub(calm_from).as_secs_f64();
            *rate *= (calm_s / DOUBLING_TIME.as_secs_f64()).exp2();
            let credit_max = (*rate * BURST.as_secs_f64()).max(1.0);
            self.credit = (self.credit + *rate * elapsed_s).min(credit_max);
        }
    }
}

/// Returns the maximum delay before retry number `retry`, which starts at 1. The delay is drawn
/// between zero and this, so that calls refused together are not repeated together.
#[must_use]
pub fn retry_delay_max(retry: u32) -> Duration {
    let doublings = retry.saturating_sub(1).min(RETRY_DELAY_MAX.as_millis().ilog2());
    (RETRY_DELAY_MIN * 2_u32.pow(doublings)).min(RETRY_DELAY_MAX)
}

/// Calls that wait for credit, in order of their class and then of their arrival.
#[derive(Debug)]
pub struct WaitingCalls<T> {
    by_class: [VecDeque<(Duration, T)>; CallClass::ALL.len()],
}

impl<T> Default for WaitingCalls<T> {
    fn default() -> Self {
        Self { by_class: std::array::from_fn(|_| VecDeque::new()) }
    }
}

impl<T> WaitingCalls<T> {
    /// Adds a call.
    pub fn push(&mut self, class: CallClass, call: T, now: Duration) {
        self.by_class[class as usize].push_back((now, call));
    }

    /// Removes the next call.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        let upkeep = &mut self.by_class[CallClass::Upkeep as usize];
        if upkeep.front().is_some_and(|(since, _)| now >= *since + UPKEEP_WAIT_MAX) {
            return upkeep.pop_front().map(|(_, call)| call);
        }
        self.by_class.iter_mut().find_map(VecDeque::pop_front).map(|(_, call)| call)
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_class.iter().map(VecDeque::len).sum()
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_class.iter().all(VecDeque::is_empty)
    }

    /// Returns the number of waiting calls that go before a later one of `class`.
    #[must_use]
    pub fn ahead_of(&self, class: CallClass) -> usize {
        self.by_class[..=class as usize].iter().map(VecDeque::len).sum()
    }

    /// Removes calls that are no longer wanted.
    pub fn retain(&mut self, mut is_wanted: impl FnMut(&T) -> bool) {
        for calls in &mut self.by_class {
            calls.retain(|(_, call)| is_wanted(call));
        }
    }
}
